//! Reading everything from the store: the list of endpoints and the configuration.

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::time::sleep;

use super::pages::Pages;
use super::watch::watch_endpoints_meanwhile;
use super::{call_again_if_refused, CallError, Document, StoreClient};
use crate::clock::Millis;
use crate::direct::catalog::Catalog;
use crate::direct::dialect::InvalidResponse;
use crate::direct::directory::{Era, Listing, Revision};
use crate::direct::entry::{Entry, ListSource};

/// Time between two checks of whether peers provide the configuration.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time after a start within which a peer that runs has answered.
const FIRST_PEER_TIMEOUT: Millis = Millis(300);

/// Time from its first page on after which a reading begins anew: what it holds is too old to be of
/// use then.
const MAX_READING_TIME: Millis = Millis(30_000);

/// A reading of everything. After a failed call the next one goes on where it was: a store that
/// answers only some of the calls would never be read to the end otherwise.
#[derive(Debug, Default)]
pub(super) struct Reading(Option<Progress>);

/// How far a reading has got.
#[derive(Debug)]
struct Progress {
    /// When the first page was asked for.
    begun_at: Millis,
    /// What the pages so far hold.
    listing: Listing,
    pages: Pages,
    /// Revision up to which the list is complete, once the last page has been read and the list has been
    /// applied.
    listed: Option<Revision>,
}

impl Progress {
    fn new(begun_at: Millis) -> Self {
        Self {
            begun_at,
            listing: Listing::default(),
            pages: Pages::default(),
            listed: None,
        }
    }
}

impl Reading {
    /// Where the reading goes on, or a new one where there is none or it has taken too long.
    fn resume(&mut self, entry: &Entry) -> Progress {
        let now = entry.clock.now();
        let begun = self.0.take();
        let begun = begun.filter(|progress| now - progress.begun_at < MAX_READING_TIME);
        begun.unwrap_or_else(|| {
            // Requests to read everything that were made before are met by this reading.
            let _ = entry.relist_requested.notified().now_or_never();
            Progress::new(now)
        })
    }
}

/// Reads and applies the list of endpoints, then the configuration unless peers provide that. Where
/// a call fails, `reading` keeps what was read, unless an answer was unusable.
pub(super) async fn read_all(
    entry: &Rc<Entry>,
    client: &StoreClient,
    reading: &mut Reading,
) -> Result<(), CallError> {
    let mut progress = reading.resume(entry);
    let result = go_on(entry, client, &mut progress).await;
    if result.as_ref().is_err_and(CallError::is_passing) {
        reading.0 = Some(progress);
    }
    result
}

async fn go_on(
    entry: &Rc<Entry>,
    client: &StoreClient,
    progress: &mut Progress,
) -> Result<(), CallError> {
    let list_revision = match progress.listed {
        Some(revision) => revision,
        None => read_list(entry, client, progress).await?,
    };
    let read = tokio::select! {
        biased;
        () = wait_for_peers_catalog(entry) => None,
        read = read_catalog(entry, client, list_revision.era) => Some(read?),
        never = watch_endpoints_meanwhile(entry) => match never {},
    };
    if entry.version() == 0 {
        wait_for_first_peer(entry).await;
    }
    if let Some(catalog) = read {
        if let Some(catalog) = catalog {
            entry.apply_catalog(catalog, "store");
        }
        entry.confirm_catalog_at(list_revision);
    }
    entry.prove_up_to(progress.begun_at, list_revision);
    Ok(())
}

/// Resolves once peers watch the store for this entry and it has the version that they have.
/// Reading from a peer is faster: at 22 entries that restarted behind 10 Mbit/s, 5,600 routes took
/// a median of 1.5 s from the store and 0.22 s from a peer.
async fn wait_for_peers_catalog(entry: &Entry) {
    while !entry.can_get_catalog_from_peers() {
        sleep(PEER_CHECK_INTERVAL).await;
    }
}

/// Waits at a start until a peer was heard, if any are known. The store may have been restored, and
/// then peers have a later version of the configuration than it holds.
async fn wait_for_first_peer(entry: &Entry) {
    while entry.age() < FIRST_PEER_TIMEOUT && !entry.peers.borrow().hears_any(entry.clock.now()) {
        sleep(PEER_CHECK_INTERVAL).await;
    }
}

/// Reads the list of endpoints and the cordons, page by page, from where the reading was, and applies
/// it; returns the store's revision at the first page, up to which the list is complete.
async fn read_list(
    entry: &Entry,
    client: &StoreClient,
    progress: &mut Progress,
) -> Result<Revision, CallError> {
    let revision = loop {
        let query = entry.dialect.page_query(progress.pages.next());
        let answer = call_again_if_refused(entry, client, Document::List, query).await?;
        let page = entry.dialect.parse_page(&answer);
        let page = page.map_err(CallError::InvalidResponse)?;
        progress.listing.endpoints.extend(page.listing.endpoints);
        progress.listing.cordons.extend(page.listing.cordons);
        for found in page.unreadable {
            entry.report_unreadable(found);
        }
        if let Some(revision) = progress.pages.advance(page.current, page.next)? {
            break revision;
        }
    };
    entry.store_answered();
    let before = entry.list_revision();
    entry.apply_listing(std::mem::take(&mut progress.listing), revision);
    entry.log_list_advanced(before, ListSource::Listing);
    progress.listed = Some(revision);
    Ok(revision)
}

/// Reads the configuration of an era; `None` if the store has none.
async fn read_catalog(
    entry: &Entry,
    client: &StoreClient,
    era: Option<Era>,
) -> Result<Option<Box<Catalog>>, CallError> {
    let query = entry.dialect.catalog_query();
    let answer = call_again_if_refused(entry, client, Document::Catalog, query).await?;
    let catalog = entry.dialect.parse_catalog(&answer);
    let catalog = catalog.map_err(CallError::InvalidResponse)?;
    if answer.era != era {
        return Err(CallError::InvalidResponse(InvalidResponse::ErasDiffer));
    }
    Ok(catalog)
}
