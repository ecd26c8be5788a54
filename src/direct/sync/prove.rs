//! Small reads that prove freshness.
//!
//! Every one to two seconds some entry asks for the store's revision; if the configuration in force
//! is known to be the newest up to there, it was the newest when the question was sent. Peers share
//! these proofs. What is known of endpoints doesn't matter for it.

use rand::Rng;
use std::rc::Rc;
use tokio::time::sleep;

use super::watch::WATCH_LAG;
use super::{call, fleet_pause, CallError, Document, StoreClient, CALL_TIME, RETRY_PAUSE_MS};
use crate::clock::Millis;
use crate::direct::dialect::Snapshot;
use crate::direct::directory::Revision;
use crate::direct::entry::Entry;

/// Age of the newest proof, own or a peer's, at which an entry that watches asks for another: below
/// the age at which peers take it for cut off from the store ([`crate::direct::peers`]).
const PROVE_AT: Millis = Millis(600);
/// The same at an entry that follows others, since those that watch ask for all; at most half of
/// the age up to which keyed requests may run.
const FOLLOWER_PROVES_AT: Millis = Millis(2_200);
/// Random addition to [`PROVE_AT`], in ms, so that one entry asks and the others hear of it.
const PROVE_SPREAD_MS: u64 = 700;
/// Pause between two questions while the store is away: its return is noticed in time to wait for
/// lapsed endpoints, and an entry that is turned away for long makes few calls.
const AWAY_PAUSE: Millis = Millis(350);

/// Proves freshness whenever the newest proof grows old.
pub async fn prove(entry: Rc<Entry>) -> anyhow::Result<()> {
    let client = StoreClient::new(entry.settings.borrow().store);
    loop {
        wait_until_due(&entry).await;
        let asked = entry.clock.now();
        match ask_snapshot(&entry, &client).await {
            Ok(snapshot) => {
                entry.store_answered();
                let revision = snapshot.current;
                if let Some(cordons) = snapshot.cordons {
                    entry.take_cordons(cordons, revision);
                }
                if !entry.prove_up_to(asked, revision) {
                    // The watch proves it when it brings the rest.
                    list_if_behind(&entry, revision).await;
                }
            }
            Err(err) => {
                // A question may wait behind a large answer; the store is there all the same.
                if !entry.reads_large() {
                    entry.store_failed(&err);
                }
                sleep(fleet_pause(&entry, AWAY_PAUSE).duration()).await;
            }
        }
    }
}

/// Asks the store for its revision and the cordons.
pub(super) async fn ask_snapshot(
    entry: &Entry,
    client: &StoreClient,
) -> Result<Snapshot, CallError> {
    let head = entry.dialect.snapshot_query();
    let (status, body) = call(entry, client, Document::Revision, head, CALL_TIME).await?;
    let snapshot = entry.dialect.parse_snapshot(status, &body);
    snapshot.map_err(CallError::InvalidResponse)
}

/// Waits until the newest proof is so old that another is due.
async fn wait_until_due(entry: &Entry) {
    let spread = Millis(rand::thread_rng().gen_range(0..PROVE_SPREAD_MS));
    loop {
        match time_until_proof_due(entry, spread) {
            Millis(0) => return,
            wait => sleep(wait.duration()).await,
        }
    }
}

/// Time until the store should be asked for a proof; 0 for now.
///
/// While the store is away it is asked on, whatever peers prove: its return has to be noticed, since
/// lapsed endpoints are only waited for from then on.
pub fn time_until_proof_due(entry: &Entry, spread: Millis) -> Millis {
    if entry.store_is_away() {
        return Millis(0);
    }
    match entry.proof_age() {
        Some(age) => (prove_at(entry) + spread) - age,
        // Nothing is proven before the first listing, which is a proof itself.
        None => Millis(RETRY_PAUSE_MS),
    }
}

/// Age of the newest proof at which an entry asks for another.
fn prove_at(entry: &Entry) -> Millis {
    if entry.is_watching() {
        return PROVE_AT;
    }
    let bound = entry.settings.borrow().bounds.max_key_proof_age();
    bound.map_or(FOLLOWER_PROVES_AT, |bound| {
        Millis(bound.0 / 2).min(FOLLOWER_PROVES_AT)
    })
}

/// Has everything read anew when the watch does not bring what the store has, and no large answer
/// that may hold it is on its way.
async fn list_if_behind(entry: &Entry, revision: Revision) {
    sleep(WATCH_LAG).await;
    if entry.applied() < revision && !entry.reads_large() {
        entry.list_again.notify_one();
    }
}
