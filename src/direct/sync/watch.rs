//! Watches of the store: for all changes, and for those of the list of endpoints alone.
//!
//! A watch reports changes at once, but its silence proves nothing (see [`super::prove()`]).

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::prove::read_cordons;
use super::{finish, pause, CallError, Document, OngoingRead, PendingResponse, StoreClient};
use crate::clock::Millis;
use crate::direct::dialect::{InvalidResponse, StoreUpdate, WatchResult, WatchScope};
use crate::direct::directory::Revision;
use crate::direct::entry::{Entry, ListSource};

/// Longest wait of one watch: far below the store's own limit, so that a cut connection is noticed.
const WATCH_WAIT: Millis = Millis(20_000);
/// Wait of a watch for changes that the store is known to have.
const SINGLE_WATCH_WAIT: Millis = Millis(200);
/// Wait of a watch beside a large response; most of these arrive sooner.
const SIDE_WATCH_WAIT: Millis = Millis(1_000);
/// Time for the response of a watch to begin, beyond its wait.
const WATCH_GRACE: Duration = Duration::from_millis(2_000);
/// Pause after a watch that returned changes. What is written meanwhile comes with the next watch,
/// so that a burst of changes costs few calls. A change is applied at most this much later, a third
/// of the shortest bound on changes.
const GATHER_PAUSE: Duration = Duration::from_millis(600);
/// Time after which changes that the store has and the watch did not return are read by a listing;
/// longer than [`GATHER_PAUSE`].
pub(super) const MAX_WATCH_LAG: Duration = Duration::from_millis(800);
/// Time after which a response that is still arriving is taken for a large one, and the list is
/// watched beside it: a tenth of the shortest bound on changes of the list.
const LARGE_RESPONSE_AFTER: Duration = Duration::from_millis(200);

/// Minimum time of a watch that returns nothing. One that returns at once is not repeated before a
/// pause, so that a store that answers so is not called without a pause.
const MIN_IDLE_WATCH: Millis = Millis(100);

/// Watches everything once and applies the changes; false if everything is to be read again.
pub(super) async fn watch(entry: &Rc<Entry>, client: &StoreClient) -> bool {
    let asked = Asked::now(entry, WatchScope::All, entry.applied());
    let response = tokio::select! {
        response = begin_watch(entry, client, asked, WATCH_WAIT) => response,
        () = entry.relist_requested.notified() => return false,
        () = entry.rewatch_requested.notified() => return true,
    };
    // A response that has begun to arrive is read to its end, since a new request would begin at
    // the first byte.
    let watched = tokio::select! {
        watched = read_response(entry, client, response) => watched,
        never = watch_endpoints_meanwhile(entry) => match never {},
    };
    apply_result(entry, asked, watched).await
}

/// What a watch asked for.
#[derive(Debug, Clone, Copy)]
struct Asked {
    scope: WatchScope,
    /// Revision after which the changes are asked for.
    after: Revision,
    at: Millis,
}

impl Asked {
    fn now(entry: &Entry, scope: WatchScope, after: Revision) -> Self {
        let at = entry.clock.now();
        Self { scope, after, at }
    }
}

/// Watches once for changes of the list that peers did not forward; false if everything is to be
/// read again.
pub(super) async fn watch_endpoints_once(entry: &Rc<Entry>, client: &StoreClient) -> bool {
    watch_endpoints(entry, client, SINGLE_WATCH_WAIT).await
}

/// Watches the list of endpoints alone, once; false if it is to be read again.
async fn watch_endpoints(entry: &Rc<Entry>, client: &StoreClient, wait: Millis) -> bool {
    let asked = Asked::now(entry, WatchScope::Endpoints, entry.list_revision());
    let response = begin_watch(entry, client, asked, wait).await;
    let watched = match read_response(entry, client, response).await {
        Ok(WatchResult::Changes(changes, current)) => {
            add_cordons(entry, client, changes, current).await
        }
        other => other,
    };
    apply_result(entry, asked, watched).await
}

/// Adds the cordons as they are now to changes of the list of endpoints, since a watch of the list
/// does not return them.
async fn add_cordons(
    entry: &Entry,
    client: &StoreClient,
    mut changes: Vec<StoreUpdate>,
    current: Revision,
) -> Result<WatchResult, CallError> {
    let (revision, cordons) = read_cordons(entry, client).await?;
    let before = entry.list_revision();
    if revision.era != current.era {
        return Err(CallError::InvalidResponse(InvalidResponse::ErasDiffer));
    }
    let directory = entry.directory();
    let cordons = directory.cordon_changes_to(&cordons, before, revision);
    changes.extend(cordons.into_iter().map(StoreUpdate::Change));
    Ok(WatchResult::Changes(changes, current))
}

/// Keeps the list of endpoints up to date while a large response arrives; never ends.
///
/// An endpoint that leaves is then known within a second, however long the configuration takes: 3 s
/// for 4 MB over 10 Mbit/s.
pub(super) async fn watch_endpoints_meanwhile(entry: &Rc<Entry>) -> Infallible {
    sleep(LARGE_RESPONSE_AFTER).await;
    let client = StoreClient::new(entry.settings.borrow().store);
    loop {
        if !watch_endpoints(entry, &client, SIDE_WATCH_WAIT).await {
            pause().await;
        }
    }
}

/// Applies what a watch returned; false if everything is to be read again.
async fn apply_result(
    entry: &Rc<Entry>,
    asked: Asked,
    watched: Result<WatchResult, CallError>,
) -> bool {
    match watched {
        // The revision asked for was given out again, so changes before it are missing.
        Ok(WatchResult::Changes(_, current)) if current.era != asked.after.era => {
            entry.store_answered();
            false
        }
        Ok(WatchResult::Changes(changes, current)) => {
            entry.store_answered();
            let is_idle = changes.is_empty();
            apply(entry, asked.scope, changes, current);
            if !is_idle {
                sleep(GATHER_PAUSE).await;
            } else if entry.clock.now() - asked.at < MIN_IDLE_WATCH {
                pause().await;
            }
            true
        }
        Ok(WatchResult::HistoryGone) => false,
        Err(err) => {
            // A failed watch alone does not mean that the store is unreachable.
            tracing::debug!(%err, "watch failed, reading everything again");
            pause().await;
            false
        }
    }
}

/// Sends the request of a watch and waits until its response begins.
async fn begin_watch(
    entry: &Entry,
    client: &StoreClient,
    asked: Asked,
    wait: Millis,
) -> Result<PendingResponse, CallError> {
    let head = entry.dialect.watch_query(asked.scope, asked.after, wait);
    client.set_address(entry.settings.borrow().store);
    client.begin(head, wait.duration() + WATCH_GRACE).await
}

/// Reads the response of a watch.
async fn read_response(
    entry: &Entry,
    client: &StoreClient,
    response: Result<PendingResponse, CallError>,
) -> Result<WatchResult, CallError> {
    let reading = OngoingRead::begin(entry, Document::Changes, None);
    let answer = finish(entry, client, reading, response).await?;
    let watched = entry.dialect.parse_watch(&answer);
    watched.map_err(CallError::InvalidResponse)
}

/// Applies the changes of a scope, which are complete up to the revision `current`.
fn apply(entry: &Rc<Entry>, scope: WatchScope, written: Vec<StoreUpdate>, current: Revision) {
    let mut changes = Vec::new();
    for written in written {
        match written {
            StoreUpdate::Catalog(catalog) => entry.apply_catalog(catalog, "store"),
            StoreUpdate::Change(change) => changes.push(change),
            StoreUpdate::UnreadableEntry(found, change) => {
                entry.report_unreadable(found);
                changes.extend(change);
            }
        }
    }
    let before = entry.list_revision();
    entry.apply_changes(changes, current);
    entry.log_list_advanced(before, ListSource::Store);
    if scope == WatchScope::All {
        entry.confirm_catalog_at(current);
    }
}
