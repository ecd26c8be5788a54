//! Reading the configuration store: one watch for changes, and small reads that prove freshness.
//!
//! A few entries watch for all; the others take from them what their watches brought, and watch
//! themselves as soon as these fall silent.
//!
//! A watch tells of changes at once but its silence proves nothing, so freshness is proven apart.

mod client;
mod follow;
mod listing;
mod prove;
mod reading;
mod watch;

use std::time::Duration;

use actix_http::{RequestHead, StatusCode};
use bytes::Bytes;
use rand::Rng;
use tokio::time::sleep;

pub use self::client::{Arriving, CallError, StoreClient};
pub use self::follow::follow;
pub use self::prove::{prove, time_until_proof_due};
pub use self::reading::{Document, Reading};
use crate::clock::Millis;
use crate::direct::entry::Entry;

/// Time for the answer to any other call to begin. The store answers in milliseconds, at its slowest in some hundred.
const CALL_TIME: Duration = Duration::from_millis(900);
/// Pause after a failed call, and the most of its random addition, in ms.
const RETRY_PAUSE_MS: u64 = 150;

/// Calls a second that all entries together make while the store is away or turns them down. With pauses
/// that don't grow with the fleet a large one would press upon the store for as long as it is away.
const FLEET_CALLS_PER_S: u64 = 100;
/// Longest pause between two calls: the store's return is noticed while lapsed endpoints are waited for.
const LONGEST_PAUSE: Millis = Millis(2_000);

/// Bytes from which on an answer counts as large: 50 ms of a link of 10 Mbit/s.
const LARGE: u64 = 64 << 10;

/// Makes one call for a document and counts it.
async fn call(
    entry: &Entry,
    client: &StoreClient,
    document: Document,
    head: RequestHead,
    time: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    let reading = Reading::begin(entry, document, None);
    let begun = client.begin(head, time).await;
    finish(entry, client, reading, begun).await
}

/// Reads the answer that has begun, if it has, and counts the call.
async fn finish(
    entry: &Entry,
    client: &StoreClient,
    reading: Reading,
    begun: Result<Arriving, CallError>,
) -> Result<(StatusCode, Bytes), CallError> {
    let arrived = |bytes| {
        if bytes >= LARGE {
            entry.large_answer_arrives();
        }
    };
    let answer = match begun {
        Ok(arriving) => client.finish(arriving, arrived).await,
        Err(err) => Err(err),
    };
    let failure = answer.as_ref().err().map(ToString::to_string);
    reading.end(entry, client, failure);
    entry.gauges.store_call(match &answer {
        Ok(_) => "answered",
        Err(_) => "failed",
    });
    answer
}

/// Waits after a failed call: [`RETRY_PAUSE_MS`] to twice as long.
async fn pause() {
    let ms = RETRY_PAUSE_MS + rand::thread_rng().gen_range(0..RETRY_PAUSE_MS);
    sleep(Duration::from_millis(ms)).await;
}

/// Pause after a failed call for what peers bring as well, at random up to twice its least: all
/// entries together ask no more often than [`FLEET_CALLS_PER_S`], however many they are.
fn retry_pause(entry: &Entry) -> Millis {
    let least = fleet_pause(entry, Millis(RETRY_PAUSE_MS));
    least + Millis(rand::thread_rng().gen_range(0..least.0))
}

/// Pause between two calls of one entry: `least`, or longer in a fleet that would make more than
/// [`FLEET_CALLS_PER_S`]. An entry that has nothing yet serves nobody, and waits no longer than `least`.
fn fleet_pause(entry: &Entry, least: Millis) -> Millis {
    if entry.version() == 0 || entry.listed_up_to() == 0 {
        return least;
    }
    let entries = entry.peers.borrow().entries(entry.clock.now()) as u64;
    let shared = Millis(entries * 1_000 / FLEET_CALLS_PER_S);
    shared.clamp(least, LONGEST_PAUSE.max(least))
}
