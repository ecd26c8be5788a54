//! Responses that the entry writes itself, to requests that no endpoint answers.

use bytes::Bytes;

use crate::clock::Millis;
use crate::direct::answerer::Answerer;
use crate::direct::decision::{Decision, RefusalReason};
use crate::direct::dialect::{ErrorResponse, ParsedRequest};
use crate::direct::entry::{Entry, ProcessState};
use crate::direct::intake::IncomingRequest;
use crate::direct::resolve::Denied;

/// Retry delay sent while this entry can't decide on requests; another entry can.
pub const RETRY_ELSEWHERE_AFTER: Millis = Millis(60);

/// Logs and writes the refusal of a request that may not run. Returns false if the connection must
/// be closed.
pub async fn deny(
    entry: &Entry,
    answerer: &mut Answerer,
    ask: &ParsedRequest,
    incoming: &IncomingRequest,
    denied: Denied,
) -> bool {
    log(entry, ask, incoming, RefusalReason::Denied(denied), None);
    let refusal = match denied {
        Denied::NoRoute => ErrorResponse::NoRoute,
        Denied::NoKey => ErrorResponse::NoKey,
        Denied::NoCatalog | Denied::StaleCatalog => ErrorResponse::NotRun(RETRY_ELSEWHERE_AFTER),
    };
    write(entry, answerer, refusal, Some(ask)).await
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
    incoming: &IncomingRequest,
    why: RefusalReason,
    allowed: Option<AllowedRequest>,
) {
    let refused = Decision::Refused {
        why,
        target: format!("{}{}", ask.host, ask.path),
        catalog: entry.version(),
        proof_age_ms: entry.proof_age().map(|age| age.0),
        held_ms: (entry.clock.now() - incoming.received_at).0,
        urgency: allowed.map(|allowed| allowed.urgency),
        free_endpoints: allowed.map(|allowed| allowed.free_endpoints),
        passed_over: allowed.map_or(0, |allowed| allowed.passed_over),
    };
    entry.log.request(ask.id.as_bytes(), refused);
}
