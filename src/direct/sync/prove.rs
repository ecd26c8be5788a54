//! Small reads that prove freshness.
//!
//! Every one to two seconds some entry asks for the store's revision. If its configuration is known
//! to be the newest up to that revision, it was the newest when the request was sent. Peers share
//! these proofs. The list of endpoints has no part in it.

use rand::Rng;
use std::rc::Rc;
use tokio::time::sleep;

use super::watch::MAX_WATCH_LAG;
use super::{call, fleet_pause, CallError, Document, StoreClient, CALL_TIMEOUT, RETRY_PAUSE_MS};
use crate::clock::Millis;
use crate::direct::dialect::Snapshot;
use crate::direct::directory::Revision;
use crate::direct::entry::Entry;

/// Age of the newest proof, own or a peer's, at which an entry that watches asks for another. It is
/// below the age at which peers take a watcher to be cut off from the store (see
/// [`crate::direct::peers`]).
const WATCHER_PROVES_AT: Millis = Millis(600);
/// The same for an entry that follows others: later, since those that watch ask for all. At most
/// half of the age up to which keyed requests may run.
const FOLLOWER_PROVES_AT: Millis = Millis(2_200);
/// Random addition to these ages in ms, so that one entry asks and the others learn of its proof.
const PROVE_JITTER_MS: u64 = 700;
/// Pause between two requests while the store is unreachable: its return is noticed in time to wait
/// for lapsed endpoints, and an entry that is rejected for long makes few calls.
const UNREACHABLE_PAUSE: Millis = Millis(350);

/// Proves freshness whenever the newest proof grows old; never returns.
pub async fn prove(entry: Rc<Entry>) -> anyhow::Result<()> {
    let client = StoreClient::new(entry.settings.borrow().store);
    loop {
        wait_until_due(&entry).await;
        let asked_at = entry.clock.now();
        match read_snapshot(&entry, &client).await {
            Ok(snapshot) => {
                entry.store_answered();
                let revision = snapshot.current;
                if let Some(cordons) = snapshot.cordons {
                    entry.apply_cordons(cordons, revision);
                }
                if !entry.prove_up_to(asked_at, revision) {
                    // The watch completes the proof when it brings the changes up to this revision.
                    list_if_behind(&entry, revision).await;
                }
            }
            Err(err) => {
                // The request may be waiting behind a large response, so the store may well be
                // reachable.
                if !entry.is_reading_large_answer() {
                    entry.store_failed(&err);
                }
                sleep(fleet_pause(&entry, UNREACHABLE_PAUSE).duration()).await;
            }
        }
    }
}

/// Reads the store's revision and the cordons.
pub(super) async fn read_snapshot(
    entry: &Entry,
    client: &StoreClient,
) -> Result<Snapshot, CallError> {
    let head = entry.dialect.snapshot_query();
    let (status, body) = call(entry, client, Document::Revision, head, CALL_TIMEOUT).await?;
    let snapshot = entry.dialect.parse_snapshot(status, &body);
    snapshot.map_err(CallError::InvalidResponse)
}

/// Waits until the newest proof is so old that another is due.
async fn wait_until_due(entry: &Entry) {
    let jitter = Millis(rand::thread_rng().gen_range(0..PROVE_JITTER_MS));
    loop {
        match time_until_proof_due(entry, jitter) {
            Millis(0) => return,
            wait => sleep(wait.duration()).await,
        }
    }
}

/// Time until the store should be asked for a proof; 0 for now. `jitter` is added to the age of the
/// newest proof at which the next is due.
///
/// While the store is unreachable it is asked whatever proofs peers have: its return has to be
/// noticed, since lapsed endpoints are only waited for from then on.
pub fn time_until_proof_due(entry: &Entry, jitter: Millis) -> Millis {
    if entry.is_store_unreachable() {
        return Millis(0);
    }
    match entry.proof_age() {
        Some(age) => (next_proof_age(entry) + jitter) - age,
        // There is no proof before the first listing, which is one itself.
        None => Millis(RETRY_PAUSE_MS),
    }
}

/// Age of the newest proof at which an entry asks for another, without jitter.
fn next_proof_age(entry: &Entry) -> Millis {
    if entry.is_watching() {
        return WATCHER_PROVES_AT;
    }
    let max_age = entry.settings.borrow().bounds.max_key_proof_age();
    max_age.map_or(FOLLOWER_PROVES_AT, |max_age| {
        Millis(max_age.0 / 2).min(FOLLOWER_PROVES_AT)
    })
}

/// Has everything read again if the watch does not bring what the store has, unless a large
/// response that may hold it is arriving.
async fn list_if_behind(entry: &Entry, revision: Revision) {
    sleep(MAX_WATCH_LAG).await;
    if entry.applied() < revision && !entry.is_reading_large_answer() {
        entry.relist_requested.notify_one();
    }
}
