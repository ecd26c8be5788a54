//! Reading the configuration store: one watch for changes, and small reads that prove freshness.
//!
//! A watch tells of changes at once but its silence proves nothing. Every one to two seconds some
//! entry asks for the store's revision; if everything up to it has been applied here, the
//! configuration was the newest when the question was sent. Peers share these proofs.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{RequestHead, StatusCode};
use bytes::Bytes;
use rand::Rng;
use tokio::time::{sleep, timeout};

use crate::clock::Millis;
use crate::direct::channel::{Channel, Failure};
use crate::direct::dialect::{Unusable, Watched, Written};
use crate::direct::directory::Revision;
use crate::direct::entry::Entry;

/// Longest wait of one watch; far below the store's own bound, so that a cut is noticed.
const WATCH_WAIT: Millis = Millis(20_000);
/// Time for a watch's answer beyond its wait.
const WATCH_SLACK: Duration = Duration::from_millis(2_000);
/// Time for any other call. The store answers in milliseconds, at its slowest in some hundred.
const CALL_TIME: Duration = Duration::from_millis(900);
/// Age of the newest proof, own or a peer's, at which an entry asks for another.
const PROVE_AT: Millis = Millis(1_300);
/// Random addition to [`PROVE_AT`], in ms, so that one entry asks and the others hear of it.
const PROVE_SPREAD_MS: u64 = 700;
/// Time after which what the store has and the watch did not bring is read by listing; longer
/// than [`GATHER`].
const WATCH_LAG: Duration = Duration::from_millis(800);
/// Pause after a watch that brought changes: what is written meanwhile comes with the next one, so
/// that a burst of changes costs few calls. A change is applied this much later at worst, a third of
/// the shortest bound on it.
const GATHER: Duration = Duration::from_millis(600);
/// Pause between two questions while the store is away: its return is noticed in time to wait for
/// lapsed endpoints, and an entry that is turned away for long makes few calls.
const AWAY_PAUSE: Duration = Duration::from_millis(350);
/// Pause after a failed call, and the most of its random addition, in ms.
const RETRY_PAUSE_MS: u64 = 150;
/// Longest body that is read from the store, in bytes.
const MOST_BODY: usize = 16 << 20;

/// A call to the store that brought nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The connection failed.
    Connection(Failure),
    /// No answer in time.
    Silent,
    /// The answer can't be used.
    Unusable(Unusable),
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connection(failure) => write!(f, "connection: {failure:?}"),
            Self::Silent => f.write_str("no answer in time"),
            Self::Unusable(why) => write!(f, "unusable answer: {why}"),
        }
    }
}

/// A client of the store that keeps one connection.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    /// The connection, while no call is under way on it.
    kept: RefCell<Option<Channel>>,
}

impl StoreClient {
    /// A client without a connection.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            kept: RefCell::default(),
        }
    }

    /// Makes one call. A connection whose answer was lost is never used again.
    pub async fn call(
        &self,
        head: RequestHead,
        time: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let called = timeout(time, self.exchange(head)).await;
        called
            .map_err(|_| CallError::Silent)?
            .map_err(CallError::Connection)
    }

    async fn exchange(&self, head: RequestHead) -> Result<(StatusCode, Bytes), Failure> {
        let kept = self.kept.borrow_mut().take().filter(Channel::is_quiet);
        let channel = match kept {
            Some(channel) => channel,
            None => Channel::connect(self.address).await?,
        };
        let mut reply = channel.send(head, &Bytes::new(), |_| true).await?;
        let body = reply.whole(MOST_BODY).await?;
        let status = reply.head.status;
        *self.kept.borrow_mut() = reply.into_channel();
        Ok((status, body))
    }
}

/// Keeps the configuration and the list of endpoints up to date.
pub async fn follow(entry: Rc<Entry>) -> anyhow::Result<()> {
    let client = StoreClient::new(entry.settings.borrow().store);
    loop {
        match read_all(&entry, &client).await {
            Ok(since) => watch(&entry, &client, since).await,
            Err(err) => {
                entry.store_failed(&err);
                pause().await;
            }
        }
    }
}

/// Proves freshness whenever the newest proof grows old.
pub async fn prove(entry: Rc<Entry>) -> anyhow::Result<()> {
    let client = StoreClient::new(entry.settings.borrow().store);
    loop {
        wait_until_due(&entry).await;
        let asked = entry.clock.now();
        let head = entry.dialect.revision_query();
        let answer = call(&entry, &client, head, CALL_TIME).await;
        let revision = answer.and_then(|(status, body)| {
            let read = entry.dialect.revision(status, &body);
            read.map_err(CallError::Unusable)
        });
        match revision {
            Ok(revision) => {
                entry.store_answered();
                if !entry.prove_up_to(asked, revision) {
                    // The watch proves it when it brings the rest.
                    list_if_behind(&entry, revision).await;
                }
            }
            Err(err) => {
                entry.store_failed(&err);
                sleep(AWAY_PAUSE).await;
            }
        }
    }
}

/// Waits until the newest proof is so old that another is due.
async fn wait_until_due(entry: &Entry) {
    let spread = Millis(rand::thread_rng().gen_range(0..PROVE_SPREAD_MS));
    loop {
        match until_question(entry, spread) {
            Millis(0) => return,
            wait => sleep(wait.duration()).await,
        }
    }
}

/// Time until the store should be asked for a proof; 0 for now.
///
/// While the store is away it is asked on, whatever peers prove: its return has to be noticed, since
/// lapsed endpoints are only waited for from then on.
pub fn until_question(entry: &Entry, spread: Millis) -> Millis {
    if entry.store_is_away() {
        return Millis(0);
    }
    match entry.proof_age() {
        Some(age) => (PROVE_AT + spread) - age,
        // Nothing is proven before the first listing, which is a proof itself.
        None => Millis(RETRY_PAUSE_MS),
    }
}

/// Has everything read anew when the watch does not bring what the store has.
async fn list_if_behind(entry: &Entry, revision: Revision) {
    sleep(WATCH_LAG).await;
    if entry.applied() < revision {
        entry.list_again.notify_one();
    }
}

/// Reads the configuration and the whole list; returns the revision to watch from.
async fn read_all(entry: &Rc<Entry>, client: &StoreClient) -> Result<Revision, CallError> {
    let dialect = &entry.dialect;
    let mut listed = Vec::new();
    let mut from = None;
    let mut begun = None;
    let asked = entry.clock.now();
    loop {
        let query = dialect.page_query(from.as_deref());
        let (status, body) = call(entry, client, query, CALL_TIME).await?;
        let page = dialect.page(status, &body).map_err(CallError::Unusable)?;
        begun.get_or_insert(page.current);
        listed.extend(page.listed);
        from = page.next;
        if from.is_none() {
            break;
        }
    }
    let (status, body) = call(entry, client, dialect.catalog_query(), CALL_TIME).await?;
    let catalog = dialect
        .catalog(status, &body)
        .map_err(CallError::Unusable)?;
    let begun = begun.unwrap_or_default();
    entry.store_answered();
    if let Some(published) = catalog {
        entry.take_catalog(published, "store");
    }
    entry.take_listing(listed, begun);
    entry.prove_up_to(asked, begun);
    Ok(begun)
}

/// Watches until something goes wrong; the caller then reads everything anew.
async fn watch(entry: &Rc<Entry>, client: &StoreClient, mut since: Revision) {
    loop {
        let head = entry.dialect.watch_query(since, WATCH_WAIT);
        let time = WATCH_WAIT.duration() + WATCH_SLACK;
        let answer = tokio::select! {
            answer = call(entry, client, head, time) => answer,
            () = entry.list_again.notified() => return,
            () = entry.watch_again.notified() => continue,
        };
        let watched = answer.and_then(|(status, body)| {
            let read = entry.dialect.watched(status, &body);
            read.map_err(CallError::Unusable)
        });
        match watched {
            Ok(Watched::Changes(changes, current)) => {
                entry.store_answered();
                let brought = !changes.is_empty();
                for change in changes {
                    apply(entry, change);
                }
                since = since.max(current);
                entry.applied_up_to(since);
                if brought {
                    sleep(GATHER).await;
                }
            }
            Ok(Watched::HistoryGone) => return,
            Err(err) => {
                // This alone does not mean that the store is away.
                tracing::debug!(%err, "watch ended, reading everything anew");
                pause().await;
                return;
            }
        }
    }
}

/// Applies one change that the watch brought.
fn apply(entry: &Rc<Entry>, change: Written) {
    match change {
        Written::Catalog(published) => entry.take_catalog(published, "store"),
        Written::Endpoint(change) => entry.take_change(change),
    }
}

/// Makes one call and counts it.
async fn call(
    entry: &Entry,
    client: &StoreClient,
    head: RequestHead,
    time: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    let answer = client.call(head, time).await;
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
