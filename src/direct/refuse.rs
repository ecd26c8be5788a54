//! Answers of the entry itself, to requests that no endpoint answers.

use bytes::Bytes;

use crate::clock::Millis;
use crate::direct::answerer::Answerer;
use crate::direct::decision::{Decision, RefusalReason};
use crate::direct::dialect::{ErrorResponse, ParsedRequest};
use crate::direct::entry::{Entry, ProcessState};
use crate::direct::intake::IncomingRequest;
use crate::direct::resolve::Denied;

/// Advice while this entry can't decide; another entry can.
pub const RETRY_ELSEWHERE_AFTER: Millis = Millis(60);

/// Refuses a request that may not run.
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

/// Writes a refusal; false when the connection is to be closed.
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

/// What is told of a refused request that was allowed.
#[derive(Debug, Clone, Copy)]
pub struct AllowedRequest {
    /// Urgency of its route.
    pub urgency: u8,
    /// Endpoints that had room.
    pub free_endpoints: usize,
}

/// Logs a refusal, `of` a request that was allowed or not.
pub fn log(
    entry: &Entry,
    ask: &ParsedRequest,
    incoming: &IncomingRequest,
    why: RefusalReason,
    of: Option<AllowedRequest>,
) {
    let refused = Decision::Refused {
        why,
        target: format!("{}{}", ask.host, ask.path),
        catalog: entry.version(),
        proof_age_ms: entry.proof_age().map(|age| age.0),
        held_ms: (entry.clock.now() - incoming.received_at).0,
        urgency: of.map(|of| of.urgency),
        free_endpoints: of.map(|of| of.free_endpoints),
    };
    entry.log.request(ask.id.as_bytes(), refused);
}
