//! One watch of the store, and applying the changes that it brought, here or to a peer.
//!
//! A watch tells of changes at once but its silence proves nothing (see [`super::prove()`]).

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use bytes::Bytes;
use tokio::time::sleep;

use super::{finish, pause, Arriving, CallError, Document, Reading, StoreClient};
use crate::clock::Millis;
use crate::direct::changes::PassedOn;
use crate::direct::dialect::{Unusable, Watched, Written};
use crate::direct::directory::Revision;
use crate::direct::entry::Entry;

/// Longest wait of one watch; far below the store's own bound, so that a cut is noticed.
pub(super) const WATCH_WAIT: Millis = Millis(20_000);
/// Wait of a watch for changes that the store is known to have.
pub(super) const ONE_LOOK: Millis = Millis(200);
/// Time for a watch's answer beyond its wait.
const WATCH_SLACK: Duration = Duration::from_millis(2_000);
/// Pause after a watch that brought changes: what is written meanwhile comes with the next one, so
/// that a burst of changes costs few calls. A change is applied this much later at worst, a third of
/// the shortest bound on it.
const GATHER: Duration = Duration::from_millis(600);
/// Time after which what the store has and the watch did not bring is read by listing; longer
/// than [`GATHER`].
pub(super) const WATCH_LAG: Duration = Duration::from_millis(800);

/// Watches once, for at most `wait`; false when everything is to be read anew.
pub(super) async fn watch(entry: &Rc<Entry>, client: &StoreClient, wait: Millis) -> bool {
    let after = entry.applied();
    let begun = tokio::select! {
        begun = begin_watch(entry, client, after, wait) => begun,
        () = entry.list_again.notified() => return false,
        () = entry.watch_again.notified() => return true,
    };
    // What has begun to arrive is read to its end: asking again would begin at the first byte.
    match read_watch(entry, client, begun).await {
        Ok((Watched::Changes(changes, current), text)) => {
            entry.store_answered();
            if changes.is_empty() {
                entry.applied_up_to(current);
                return true;
            }
            entry.keep_changes(after, current.max(after), text);
            apply_all(entry, changes, current);
            sleep(GATHER).await;
            true
        }
        Ok((Watched::HistoryGone, _)) => false,
        Err(err) => {
            // This alone does not mean that the store is away.
            tracing::debug!(%err, "watch ended, reading everything anew");
            pause().await;
            false
        }
    }
}

/// Makes the call of a watch and waits until its answer begins.
async fn begin_watch(
    entry: &Entry,
    client: &StoreClient,
    after: Revision,
    wait: Millis,
) -> Result<Arriving, CallError> {
    let head = entry.dialect.watch_query(after, wait);
    client.begin(head, wait.duration() + WATCH_SLACK).await
}

/// Reads the answer: what it brought, and the store's text of that.
async fn read_watch(
    entry: &Entry,
    client: &StoreClient,
    begun: Result<Arriving, CallError>,
) -> Result<(Watched, Bytes), CallError> {
    let reading = Reading::begin(entry, Document::Changes, None);
    let (status, body) = finish(entry, client, reading, begun).await?;
    let watched = entry.dialect.watched(status, &body);
    let watched = watched.map_err(CallError::Unusable)?;
    Ok((watched, body))
}

/// Applies what a peer passed on.
pub fn apply_passed(entry: &Rc<Entry>, passed: &PassedOn) -> Result<(), Unusable> {
    for text in &passed.texts {
        match entry.dialect.watched(StatusCode::OK, text)? {
            Watched::Changes(changes, current) => apply_all(entry, changes, current),
            Watched::HistoryGone => {}
        }
    }
    Ok(())
}

/// Applies all changes up to a revision.
fn apply_all(entry: &Rc<Entry>, changes: Vec<Written>, current: Revision) {
    for change in changes {
        apply(entry, change);
    }
    entry.applied_up_to(current);
}

/// Applies one change that the watch brought.
fn apply(entry: &Rc<Entry>, change: Written) {
    match change {
        Written::Catalog(published) => entry.take_catalog(published, "store"),
        Written::Endpoint(change) => entry.take_change(change),
    }
}
