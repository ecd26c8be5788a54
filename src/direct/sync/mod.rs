//! Synchronization with the configuration store: one watch for changes, and small reads that prove
//! freshness.
//!
//! A few entries watch for all. The others take from them what their watches returned, and take the
//! role over one by one when these fall silent. So calls grow with the number of zones, not with
//! that of the entries: in calm, at a start and while the store is unavailable.
//!
//! A watch reports changes at once, but its silence proves nothing, so freshness is proven
//! separately.

mod client;
mod follow;
mod listing;
mod pages;
mod prove;
mod reading;
mod turn;
mod watch;

use std::time::Duration;

use actix_http::{RequestHead, ResponseHead, StatusCode};
use bytes::Bytes;
use rand::Rng;
use tokio::time::sleep;

pub use self::client::{CallError, PendingResponse, StoreClient};
pub use self::follow::follow;
pub use self::prove::{prove, time_until_proof_due};
pub use self::reading::{Document, OngoingRead};
use crate::direct::dialect::StoreAnswer;
use crate::direct::entry::Entry;

/// Time for the response to begin, of any call other than a watch, after which the store counts as
/// unreachable and is asked once more. It answers within milliseconds, and within some hundred at its
/// slowest.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Times that a call is made before it has failed: together they take less than the age up to which
/// a proof is fresh.
const CALL_TRIES: u32 = 3;
/// Pause after a failed call in ms, to which a random time of up to as much is added.
const RETRY_PAUSE_MS: u64 = 150;

/// Refusals of one call after which it has failed.
const MAX_REFUSALS: u32 = 3;

/// Bytes from which on a response counts as large: 50 ms of a link of 10 Mbit/s.
const LARGE_RESPONSE_BYTES: u64 = 64 << 10;

/// Makes one call for a document and counts it. The store counts as unreachable from
/// [`CALL_TIMEOUT`] on, and the answer is waited for [`CALL_TRIES`] times as long.
async fn call(
    entry: &Entry,
    client: &StoreClient,
    document: Document,
    request: RequestHead,
) -> Result<StoreAnswer, CallError> {
    let reading = OngoingRead::begin(entry, document, None);
    client.set_address(entry.settings.borrow().store);
    let is_late = || {
        if !entry.is_reading_large_answer() {
            entry.store_failed(&CallError::TimedOut);
        }
    };
    let response = client.begin_patiently(request, CALL_TIMEOUT, CALL_TRIES, is_late);
    let response = response.await;
    finish(entry, client, reading, response).await
}

/// Makes a call again, after a pause, where the store turns it away, up to [`MAX_REFUSALS`] times:
/// one above its rate is likely to answer the next call.
async fn call_again_if_refused(
    entry: &Entry,
    client: &StoreClient,
    document: Document,
    request: RequestHead,
) -> Result<StoreAnswer, CallError> {
    for _ in 0..MAX_REFUSALS {
        let answer = call(entry, client, document, request.clone()).await?;
        if !is_refusal(answer.status) {
            return Ok(answer);
        }
        pause().await;
    }
    call(entry, client, document, request).await
}

/// Whether the store turned a call away and did nothing.
fn is_refusal(status: StatusCode) -> bool {
    status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS
}

/// Reads the rest of a response if it has begun, and counts the call.
async fn finish(
    entry: &Entry,
    client: &StoreClient,
    reading: OngoingRead,
    response: Result<PendingResponse, CallError>,
) -> Result<StoreAnswer, CallError> {
    let on_progress = |bytes| {
        if bytes >= LARGE_RESPONSE_BYTES {
            entry.record_large_answer_piece();
        }
    };
    let result = match response {
        Ok(pending) => {
            let max_bytes = reading.max_bytes();
            client.finish(pending, max_bytes, on_progress).await
        }
        Err(err) => Err(err),
    };
    let result = result.and_then(|(head, body)| store_answer(entry, &head, body));
    let failure = result.as_ref().err().map(ToString::to_string);
    reading.end(entry, client, failure);
    entry.metrics.store_call(outcome(&result));
    result
}

/// Metric label of the outcome of a call.
fn outcome(result: &Result<StoreAnswer, CallError>) -> &'static str {
    match result {
        Ok(answer) if answer.status == StatusCode::GONE => "history_gone",
        Ok(answer) if answer.status.is_success() => "answered",
        Ok(_) => "refused",
        Err(_) => "failed",
    }
}

/// The answer that a response is. That of a store which refuses the call is one whatever its era.
fn store_answer(entry: &Entry, head: &ResponseHead, body: Bytes) -> Result<StoreAnswer, CallError> {
    let status = head.status;
    let era = match entry.note_store_era(head) {
        Err(_) if is_refusal(status) => None,
        era => era.map_err(CallError::InvalidResponse)?,
    };
    Ok(StoreAnswer { status, era, body })
}

/// Waits after a failed call, for [`RETRY_PAUSE_MS`] to twice as long.
async fn pause() {
    let ms = RETRY_PAUSE_MS + rand::thread_rng().gen_range(0..RETRY_PAUSE_MS);
    sleep(Duration::from_millis(ms)).await;
}
