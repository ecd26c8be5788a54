//! Watches of the store: for all changes, and for those of the list of endpoints alone.
//!
//! A watch tells of changes at once but its silence proves nothing (see [`super::prove()`]).

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::prove::ask_snapshot;
use super::{finish, pause, Arriving, CallError, Document, Reading, StoreClient};
use crate::clock::Millis;
use crate::direct::dialect::{StoreUpdate, WatchResult, WatchScope};
use crate::direct::directory::Revision;
use crate::direct::entry::Entry;

/// Longest wait of one watch; far below the store's own bound, so that a cut is noticed.
const WATCH_WAIT: Millis = Millis(20_000);
/// Wait of a watch for changes that the store is known to have.
const ONE_LOOK: Millis = Millis(200);
/// Wait of a watch beside a large answer; most are over sooner.
const MIND_WAIT: Millis = Millis(1_000);
/// Time for a watch's answer beyond its wait.
const WATCH_SLACK: Duration = Duration::from_millis(2_000);
/// Pause after a watch that brought changes: what is written meanwhile comes with the next one, so
/// that a burst of changes costs few calls. A change is applied this much later at worst, a third of
/// the shortest bound on it.
const GATHER: Duration = Duration::from_millis(600);
/// Time after which what the store has and the watch did not bring is read by listing; longer
/// than [`GATHER`].
pub(super) const WATCH_LAG: Duration = Duration::from_millis(800);
/// Time after which an answer that still arrives is taken for a large one, and the list is watched
/// beside it: a tenth of the shortest bound on changes of the list.
const LARGE_AFTER: Duration = Duration::from_millis(200);

/// Watches everything once; false when everything is to be read anew.
pub(super) async fn watch(entry: &Rc<Entry>, client: &StoreClient) -> bool {
    let begun = tokio::select! {
        begun = begin(entry, client, WatchScope::All, entry.applied(), WATCH_WAIT) => begun,
        () = entry.list_again.notified() => return false,
        () = entry.watch_again.notified() => return true,
    };
    // What has begun to arrive is read to its end: asking again would begin at the first byte.
    let watched = tokio::select! {
        watched = read(entry, client, begun) => watched,
        never = mind_endpoints(entry) => match never {},
    };
    take(entry, WatchScope::All, watched).await
}

/// Looks once for changes of the list that peers did not bring; false when everything is to be read
/// anew.
pub(super) async fn look(entry: &Rc<Entry>, client: &StoreClient) -> bool {
    watch_endpoints(entry, client, ONE_LOOK).await
}

/// Watches the list of endpoints alone, once; false when that is to be read anew.
async fn watch_endpoints(entry: &Rc<Entry>, client: &StoreClient, wait: Millis) -> bool {
    let after = entry.listed_up_to();
    let begun = begin(entry, client, WatchScope::Endpoints, after, wait).await;
    let watched = match read(entry, client, begun).await {
        Ok(WatchResult::Changes(changes, current)) => {
            add_cordons(entry, client, changes, current).await
        }
        other => other,
    };
    take(entry, WatchScope::Endpoints, watched).await
}

/// Adds the cordons as they stand now to changes of the list of endpoints, whose watch does not bring them.
async fn add_cordons(
    entry: &Entry,
    client: &StoreClient,
    mut changes: Vec<StoreUpdate>,
    current: Revision,
) -> Result<WatchResult, CallError> {
    let snapshot = ask_snapshot(entry, client).await?;
    let before = entry.listed_up_to();
    let cordons = snapshot.cordons.unwrap_or_default();
    let directory = entry.directory();
    let cordons = directory.cordon_changes_to(&cordons, before, snapshot.current);
    changes.extend(cordons.into_iter().map(StoreUpdate::Change));
    Ok(WatchResult::Changes(changes, current))
}

/// Keeps the list of endpoints up to date while a large answer arrives; never ends.
///
/// An endpoint that leaves is then known within a second, however long the configuration takes: 3 s
/// for 4 MB over 10 Mbit/s.
pub(super) async fn mind_endpoints(entry: &Rc<Entry>) -> Infallible {
    sleep(LARGE_AFTER).await;
    let client = StoreClient::new(entry.settings.borrow().store);
    loop {
        if !watch_endpoints(entry, &client, MIND_WAIT).await {
            pause().await;
        }
    }
}

/// Takes what a watch brought; false when everything is to be read anew.
async fn take(
    entry: &Rc<Entry>,
    scope: WatchScope,
    watched: Result<WatchResult, CallError>,
) -> bool {
    match watched {
        Ok(WatchResult::Changes(changes, current)) => {
            entry.store_answered();
            let is_idle = changes.is_empty();
            apply(entry, scope, changes, current);
            if !is_idle {
                sleep(GATHER).await;
            }
            true
        }
        Ok(WatchResult::HistoryGone) => false,
        Err(err) => {
            // This alone does not mean that the store is away.
            tracing::debug!(%err, "watch ended, reading everything anew");
            pause().await;
            false
        }
    }
}

/// Makes the call of a watch and waits until its answer begins.
async fn begin(
    entry: &Entry,
    client: &StoreClient,
    scope: WatchScope,
    after: Revision,
    wait: Millis,
) -> Result<Arriving, CallError> {
    let head = entry.dialect.watch_query(scope, after, wait);
    client.begin(head, wait.duration() + WATCH_SLACK).await
}

/// Reads the answer of a watch.
async fn read(
    entry: &Entry,
    client: &StoreClient,
    begun: Result<Arriving, CallError>,
) -> Result<WatchResult, CallError> {
    let reading = Reading::begin(entry, Document::Changes, None);
    let (status, body) = finish(entry, client, reading, begun).await?;
    let watched = entry.dialect.parse_watch(status, &body);
    watched.map_err(CallError::InvalidResponse)
}

/// Applies all changes of a scope up to a revision.
fn apply(entry: &Rc<Entry>, scope: WatchScope, written: Vec<StoreUpdate>, current: Revision) {
    let mut changes = Vec::new();
    for written in written {
        match written {
            StoreUpdate::Catalog(catalog) => entry.take_catalog(catalog, "store"),
            StoreUpdate::Change(change) => changes.push(change),
            StoreUpdate::Unreadable(found, change) => {
                entry.found_unreadable(found);
                changes.extend(change);
            }
        }
    }
    let before = entry.listed_up_to();
    entry.take_changes(changes, current);
    entry.log_list_known(before, "store");
    if scope == WatchScope::All {
        entry.catalog_known_up_to(current);
    }
}
