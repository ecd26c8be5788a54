//! Keeping up with the store: by watching it, or by following the peers that do.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::listing::read_all;
use super::watch::{watch, watch_endpoints_once};
use super::{retry_pause, StoreClient};
use crate::clock::Millis;
use crate::direct::entry::Entry;

/// Time between two checks of whether this entry is to watch the store itself.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time after a start in which nobody watches, while peers are being discovered.
const DISCOVERY_TIME: Millis = Millis(600);
/// Time after a start in which only the entries that rank first watch, while the others learn of
/// them. Without this time and [`DISCOVERY_TIME`], 19 entries of one zone that started together
/// began 48 watches in eight seconds.
const FIRST_RANKED_ONLY: Millis = Millis(1_600);

/// Keeps the configuration and the list of endpoints up to date; never returns.
pub async fn follow(entry: Rc<Entry>) -> anyhow::Result<()> {
    let client = StoreClient::new(entry.settings.borrow().store);
    let started = entry.clock.now();
    loop {
        match read_all(&entry, &client).await {
            Ok(()) => keep_up(&entry, &client, started).await,
            Err(err) => {
                entry.store_failed(&err);
                sleep(retry_pause(&entry).duration()).await;
            }
        }
    }
}

/// Keeps up until something goes wrong; the caller then reads everything again.
async fn keep_up(entry: &Rc<Entry>, client: &StoreClient, started: Millis) {
    loop {
        let should_watch = should_watch(entry, started);
        entry.set_watching(should_watch);
        let goes_on = if should_watch {
            watch(entry, client).await
        } else {
            follow_peers(entry, client).await
        };
        if !goes_on {
            entry.set_watching(false);
            return;
        }
    }
}

/// Whether this entry, which runs since `started`, is to watch the store.
fn should_watch(entry: &Entry, started: Millis) -> bool {
    let now = entry.clock.now();
    let peers = entry.peers.borrow();
    match now - started {
        age if age < DISCOVERY_TIME => false,
        age if age < FIRST_RANKED_ONLY => peers.ranks_as_watcher(now),
        _ => peers.should_watch(now),
    }
}

/// Leaves changes to the peers that watch, until the next check of the role; false if everything is
/// to be read again.
async fn follow_peers(entry: &Rc<Entry>, client: &StoreClient) -> bool {
    match wait_for_wake(entry).await {
        WakeReason::CheckRole => true,
        // The store has changes that the peers that watch have not forwarded.
        WakeReason::WatchOnce => watch_endpoints_once(entry, client).await,
        WakeReason::ReadAll => false,
    }
}

/// Why an entry that follows its peers was woken.
enum WakeReason {
    /// It is time to check whether it is to watch the store.
    CheckRole,
    /// The store has changes that peers did not forward.
    WatchOnce,
    /// Everything is to be read again.
    ReadAll,
}

/// Waits until this entry is woken, or its role is to be checked.
async fn wait_for_wake(entry: &Entry) -> WakeReason {
    tokio::select! {
        () = sleep(ROLE_CHECK_INTERVAL) => WakeReason::CheckRole,
        () = entry.rewatch_requested.notified() => WakeReason::WatchOnce,
        () = entry.relist_requested.notified() => WakeReason::ReadAll,
    }
}
