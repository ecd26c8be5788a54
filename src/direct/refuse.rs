//! Responses that the entry writes itself, to requests that no endpoint answers.

use bytes::Bytes;

use crate::clock::Millis;
use crate::direct::answerer::Answerer;
use crate::direct::decision::{Decision, RefusalReason};
use crate::direct::dialect::{ErrorResponse, ParsedRequest};
use crate::direct::entry::{Entry, ProcessState};
use crate::direct::intake::BodyRefusal;
use crate::direct::known::load;
use crate::direct::resolve::Denied;

/// Retry delay sent while this entry can't decide on requests; another entry can.
pub const RETRY_ELSEWHERE_AFTER: Millis = Millis(60);
/// Shortest retry delay where there is no memory for a request.
const MEMORY_RETRY_DELAY: Millis = Millis(150);
/// Time over which callers come back after it.
const MEMORY_RETRY_SPREAD: Millis = Millis(600);

/// Logs and writes the refusal of a request that may not run. Returns false if the connection must
/// be closed.
pub async fn deny(
    entry: &Entry,
    answerer: &mut Answerer,
    ask: &ParsedRequest,
    received_at: Millis,
    denied: Denied,
) -> bool {
    log(entry, ask, received_at, RefusalReason::Denied(denied), None);
    write(entry, answerer, error_response(denied), Some(ask)).await
}

/// The response to a request that may not run.
pub fn error_response(denied: Denied) -> ErrorResponse {
    match denied {
        Denied::NoRoute => ErrorResponse::NoRoute,
        Denied::NoKey => ErrorResponse::NoKey,
        Denied::NoCatalog | Denied::StaleCatalog => ErrorResponse::NotRun(RETRY_ELSEWHERE_AFTER),
    }
}

/// Writes a refusal; returns false if the connection must be closed.
pub async fn write(
    entry: &Entry,
    answerer: &mut Answerer,
    refusal: ErrorResponse,
    ask: Option<&ParsedRequest>,
) -> bool {
    let head = entry
        .dialect
        .error_response(refusal, ask.map(|ask| &ask.id));
    let close = entry.process_state() != ProcessState::Serving;
    let written = answerer.send_response(head, Bytes::new(), close).await;
    written.is_ok() && answerer.keeps_connection()
}

/// The retry delay where this entry has no memory for a request of an urgency band: others may have
/// some, and what is held here ends soon. The more urgent callers come back first.
pub fn delay_without_memory(band: usize) -> Millis {
    let part = (band as f64 + rand::random::<f64>()) / load::BANDS as f64;
    MEMORY_RETRY_DELAY + Millis((MEMORY_RETRY_SPREAD.0 as f64 * part) as u64)
}

/// Logs and counts the refusal of a request whose body was not read completely.
pub fn record_body(entry: &Entry, refusal: &BodyRefusal) {
    let BodyRefusal {
        parsed,
        received_at,
        why,
        route,
        ..
    } = refusal;
    let allowed = route.as_ref().map(|(_, urgency)| AllowedRequest {
        urgency: *urgency,
        free_endpoints: 0,
        passed_over: 0,
    });
    log(entry, parsed, *received_at, *why, allowed);
    let outcome = match why {
        RefusalReason::NoMemory { .. } => "no_memory",
        RefusalReason::BodyTooLarge { .. } => "body_too_large",
        RefusalReason::BodyTooSlow { .. } => "body_too_slow",
        _ => return,
    };
    if let Some((pool, urgency)) = route {
        entry.metrics.request(pool, Some(*urgency), outcome);
    }
}

/// Details of a refused request that was authorized, for the decision log.
#[derive(Debug, Clone, Copy)]
pub struct AllowedRequest {
    /// Urgency of its route.
    pub urgency: u8,
    /// Number of endpoints of its pool that had capacity.
    pub free_endpoints: usize,
    /// Number of endpoints that it passed over because they refused the connection.
    pub passed_over: u32,
}

/// Logs a refusal. `allowed` holds the details if the request was authorized, `None` if not.
pub fn log(
    entry: &Entry,
    ask: &ParsedRequest,
    received_at: Millis,
    why: RefusalReason,
    allowed: Option<AllowedRequest>,
) {
    let refused = Decision::Refused {
        why,
        target: format!("{}{}", ask.host, ask.path),
        catalog: entry.version(),
        proof_age_ms: entry.proof_age().map(|age| age.0),
        held_ms: (entry.clock.now() - received_at).0,
        urgency: allowed.map(|allowed| allowed.urgency),
        free_endpoints: allowed.map(|allowed| allowed.free_endpoints),
        passed_over: allowed.map_or(0, |allowed| allowed.passed_over),
    };
    entry.log.request(ask.id.as_bytes(), refused);
}
