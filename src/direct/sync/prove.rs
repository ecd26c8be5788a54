//! Small reads that prove freshness.
//!
//! About once a second some entry asks for the store's revision. If its configuration is known
//! to be the newest up to that revision, it was the newest when the request was sent. Peers share
//! these proofs. The list of endpoints has no part in it.

use rand::Rng;
use std::rc::Rc;
use tokio::time::sleep;

use super::pages::Pages;
use super::turn::Turn;
use super::watch::MAX_WATCH_LAG;
use super::{call, CallError, Document, StoreClient, RETRY_PAUSE_MS};
use crate::clock::Millis;
use crate::direct::directory::{Cordon, Revision};
use crate::direct::entry::{Entry, ListSource};

/// Age of the newest proof, own or a peer's, at which an entry that watches asks for another. It is
/// below the age at which peers take a watcher to be cut off from the store (see
/// [`crate::direct::peers`]).
const WATCHER_PROVES_AT: Millis = Millis(600);
/// The same for an entry that follows others: later, since those that watch ask for all. At most
/// half of the age up to which keyed requests may run.
const FOLLOWER_PROVES_AT: Millis = Millis(2_200);
/// Addition to these ages if another watcher ranks before this one: its proofs are dated up to two
/// rounds too early here, and arrive a round later.
const FIRST_STAGGER: Millis = Millis(350);
/// Further addition for each other watcher that ranks before this one.
const NEXT_STAGGER: Millis = Millis(150);
/// Maximum of both additions. With it the age stays below that at which a watcher is taken to be cut
/// off.
const MAX_STAGGER: Millis = Millis(800);
/// Maximum random addition in ms, for watchers that don't know each other yet.
const STAGGER_JITTER_MS: u64 = 50;
/// Time between two checks of whether the role or the newest proof has changed.
const CHECK_INTERVAL: Millis = Millis(100);
/// Minimum time between two checks.
const MIN_WAIT: Millis = Millis(10);
/// Pause between two requests of a watcher while the store is unreachable: its return is noticed in
/// time to wait for lapsed endpoints.
const UNREACHABLE_PAUSE: Millis = Millis(350);
/// The same for an entry that hears no peer either: its own link is cut, and peers are heard as soon
/// as it is back.
const ISOLATED_PAUSE: Millis = Millis(1_400);

/// Proves freshness whenever the newest proof grows old; never returns.
pub async fn prove(entry: Rc<Entry>) -> anyhow::Result<()> {
    let client = StoreClient::new(entry.settings.borrow().store);
    loop {
        wait_until_due(&entry).await;
        let asked_at = entry.clock.now();
        match read_cordons(&entry, &client).await {
            Ok((revision, cordons)) => {
                entry.store_answered();
                entry.apply_cordons(cordons, revision);
                if revision <= entry.list_revision() {
                    entry.confirm_list(asked_at, ListSource::Store);
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
                sleep(unreachable_pause(&entry).duration()).await;
            }
        }
    }
}

fn unreachable_pause(entry: &Entry) -> Millis {
    match entry.peers.borrow().is_isolated(entry.clock.now()) {
        true => ISOLATED_PAUSE,
        false => UNREACHABLE_PAUSE,
    }
}

/// Reads the cordons, page by page, and the store's revision at the first page, up to which they are
/// complete.
pub(super) async fn read_cordons(
    entry: &Entry,
    client: &StoreClient,
) -> Result<(Revision, Vec<Cordon>), CallError> {
    let mut pages = Pages::default();
    let mut cordons = Vec::new();
    loop {
        let query = entry.dialect.snapshot_query(pages.next());
        let answer = call(entry, client, Document::Revision, query).await?;
        let page = entry.dialect.parse_snapshot(&answer);
        let page = page.map_err(CallError::InvalidResponse)?;
        cordons.extend(page.cordons);
        if let Some(revision) = pages.advance(page.current, page.next)? {
            return Ok((revision, cordons));
        }
    }
}

/// Waits until the newest proof is so old that another is due. An entry that follows others waits
/// for its turn from then on, unless one of these provides a proof meanwhile.
async fn wait_until_due(entry: &Entry) {
    let mut turn = Turn::default();
    loop {
        let wait = time_until_proof_due(entry, stagger(entry));
        if wait > Millis(0) {
            turn.reset();
        } else if entry.is_to_watch() || turn.has_come(entry) {
            return;
        }
        sleep(wait.clamp(MIN_WAIT, CHECK_INTERVAL).duration()).await;
    }
}

/// Addition to the age of a proof at which this entry asks for the next, so that one watcher asks
/// and the others learn of its proof.
fn stagger(entry: &Entry) -> Millis {
    let before = entry.peers.borrow().watchers_before(entry.clock.now()) as u64;
    let by_rank = match before {
        0 => Millis(0),
        _ => FIRST_STAGGER + Millis(NEXT_STAGGER.0 * (before - 1)),
    };
    by_rank.min(MAX_STAGGER) + Millis(rand::thread_rng().gen_range(0..STAGGER_JITTER_MS))
}

/// Time until the store should be asked for a proof; 0 for now. `stagger` is added to the age of the
/// newest proof at which the next is due.
///
/// While the store does not answer an entry that is to watch it, it is asked whatever proofs peers
/// have: its return has to be noticed, since lapsed endpoints are only waited for from then on.
pub fn time_until_proof_due(entry: &Entry, stagger: Millis) -> Millis {
    let needs_contact = entry.has_list() || entry.is_store_unreachable();
    if needs_contact && entry.is_to_watch() && !entry.is_answered_by_store() {
        return Millis(0);
    }
    let age = match entry.proof_age() {
        Some(age) => age,
        None if entry.has_list() => entry.age(),
        // The first listing is a proof itself.
        None => return Millis(RETRY_PAUSE_MS),
    };
    (next_proof_age(entry) + stagger) - age
}

/// Age of the newest proof at which an entry asks for another, without the stagger.
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
    // Without a list everything is being read anyway.
    let is_behind = entry.has_list() && entry.applied() < revision;
    if is_behind && !entry.is_reading_large_answer() {
        entry.relist_requested.notify_one();
    }
}
