//! Reading the configuration store: one watch for changes, and small reads that prove freshness.
//!
//! A few entries watch for all; the others take from them what their watches brought, and watch
//! themselves as soon as these fall silent.
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
use crate::direct::changes::PassedOn;
use crate::direct::channel::{Channel, Failure};
use crate::direct::dialect::{Unusable, Watched, Written};
use crate::direct::directory::Revision;
use crate::direct::entry::Entry;

/// Longest wait of one watch; far below the store's own bound, so that a cut is noticed.
const WATCH_WAIT: Millis = Millis(20_000);
/// Wait of a watch for changes that the store is known to have.
const ONE_LOOK: Millis = Millis(200);
/// Time between two looks at whether this entry is to watch the store itself.
const ROLE_LOOK: Duration = Duration::from_millis(100);
/// Time for a watch's answer beyond its wait.
const WATCH_SLACK: Duration = Duration::from_millis(2_000);
/// Time for any other call. The store answers in milliseconds, at its slowest in some hundred.
const CALL_TIME: Duration = Duration::from_millis(900);
/// Age of the newest proof, own or a peer's, at which an entry that watches asks for another: below
/// the age at which peers take it for cut off from the store ([`crate::direct::peers`]).
const PROVE_AT: Millis = Millis(600);
/// The same at an entry that follows others, since those that watch ask for all; at most half of
/// the age up to which keyed requests may run.
const FOLLOWER_PROVES_AT: Millis = Millis(2_200);
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
            Ok(()) => keep_up(&entry, &client).await,
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
    let bound = entry.settings.borrow().bounds.key_proof_age();
    bound.map_or(FOLLOWER_PROVES_AT, |bound| {
        Millis(bound.0 / 2).min(FOLLOWER_PROVES_AT)
    })
}

/// Has everything read anew when the watch does not bring what the store has.
async fn list_if_behind(entry: &Entry, revision: Revision) {
    sleep(WATCH_LAG).await;
    if entry.applied() < revision {
        entry.list_again.notify_one();
    }
}

/// Reads the configuration and the whole list.
async fn read_all(entry: &Rc<Entry>, client: &StoreClient) -> Result<(), CallError> {
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
    Ok(())
}

/// Keeps up until something goes wrong; the caller then reads everything anew.
async fn keep_up(entry: &Rc<Entry>, client: &StoreClient) {
    loop {
        let is_watcher = entry.peers.borrow().is_watcher(entry.clock.now());
        entry.set_watching(is_watcher);
        let goes_on = if is_watcher {
            watch(entry, client, WATCH_WAIT).await
        } else {
            let woken = tokio::select! {
                () = sleep(ROLE_LOOK) => Woken::Look,
                () = entry.watch_again.notified() => Woken::Watch,
                () = entry.list_again.notified() => Woken::List,
            };
            match woken {
                Woken::Look => true,
                // The peers that watch don't tell what the store has.
                Woken::Watch => watch(entry, client, ONE_LOOK).await,
                Woken::List => false,
            }
        };
        if !goes_on {
            entry.set_watching(false);
            return;
        }
    }
}

/// Why an entry that follows its peers was woken.
enum Woken {
    /// Its role may have changed.
    Look,
    /// The store has changes that peers did not bring.
    Watch,
    /// Everything is to be read anew.
    List,
}

/// Watches once, for some time; false when everything is to be read anew.
async fn watch(entry: &Rc<Entry>, client: &StoreClient, wait: Millis) -> bool {
    let after = entry.applied();
    let head = entry.dialect.watch_query(after, wait);
    let time = wait.duration() + WATCH_SLACK;
    let answer = tokio::select! {
        answer = call(entry, client, head, time) => answer,
        () = entry.list_again.notified() => return false,
        () = entry.watch_again.notified() => return true,
    };
    let watched = answer.and_then(|(status, body)| {
        let read = entry.dialect.watched(status, &body);
        let read = read.map(|watched| (watched, body));
        read.map_err(CallError::Unusable)
    });
    match watched {
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
