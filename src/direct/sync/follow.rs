//! Keeping up with the store: by watching it, or by following the peers that do.
//!
//! Only the entries that watch call the store in calm. An entry that follows gets everything from
//! its peers, at its start as well, and calls the store itself only in its turn when they don't
//! provide it.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::listing::{read_all, Reading};
use super::turn::Turn;
use super::watch::{watch, watch_endpoints_once};
use super::{pause, CallError, StoreClient};
use crate::clock::Millis;
use crate::direct::entry::Entry;
use crate::direct::fetch;

/// Time between two checks of whether this entry is to watch the store itself.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The same at a start, until peers have provided everything.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time from which on a reading of everything counts as of use, so that the next one need not wait.
const MIN_READING_USE: Millis = Millis(1_000);
/// Maximum number of pauses before a reading.
const MAX_PAUSES: u32 = 6;

/// Keeps the configuration and the list of endpoints up to date; never returns.
pub async fn follow(entry: Rc<Entry>) -> anyhow::Result<()> {
    let client = StoreClient::new(entry.settings.borrow().store);
    let mut pacing = Pacing::default();
    let mut reading = Reading::default();
    loop {
        match obtain_all(&entry, &client, &mut reading).await {
            Ok(()) => {
                let obtained_at = entry.clock.now();
                keep_up(&entry, &client).await;
                pacing.wait(entry.clock.now() - obtained_at).await;
            }
            Err(err) => {
                entry.store_failed(&err);
                if err.is_unusable_answer() {
                    pacing.wait(Millis(0)).await;
                }
                wait_for_store(&entry).await;
            }
        }
    }
}

/// Spreads repeated readings of everything, so that no answer of the store makes this entry read
/// without a pause.
#[derive(Debug, Default)]
struct Pacing {
    /// Readings in a row of which each was of use for only a short time.
    repeats: u32,
}

impl Pacing {
    /// Waits before the next reading, longer after each one that was of use for only a short time;
    /// `used_for` is that of the last one.
    async fn wait(&mut self, used_for: Millis) {
        if used_for >= MIN_READING_USE {
            self.repeats = 0;
            return;
        }
        for _ in 0..self.repeats.min(MAX_PAUSES) {
            pause().await;
        }
        self.repeats += 1;
    }
}

/// Gets the list of endpoints from a peer, which provides the configuration as well as soon as it
/// has one; both from the store if this entry is to watch it, or if no peer provides them before its
/// turn.
async fn obtain_all(
    entry: &Rc<Entry>,
    client: &StoreClient,
    reading: &mut Reading,
) -> Result<(), CallError> {
    let mut turn = Turn::default();
    while !entry.is_to_watch() {
        if entry.has_list() {
            return Ok(());
        }
        if !entry.is_discovering() && turn.has_come(entry) {
            break;
        }
        sleep(START_CHECK_INTERVAL).await;
    }
    read_all(entry, client, reading).await
}

/// Waits after a failed call until the store answers again, for which it is asked by
/// [`super::prove()`], or until peers provide everything.
async fn wait_for_store(entry: &Entry) {
    pause().await;
    while entry.is_store_unreachable() && entry.is_to_watch() {
        sleep(ROLE_CHECK_INTERVAL).await;
    }
}

/// Keeps up until something goes wrong; the caller then reads everything again.
async fn keep_up(entry: &Rc<Entry>, client: &StoreClient) {
    let mut turn = Turn::default();
    loop {
        let should_watch = entry.is_to_watch();
        entry.set_watching(should_watch);
        let goes_on = if should_watch {
            watch_while_wanted(entry, client).await
        } else {
            follow_peers(entry, client, &mut turn).await
        };
        if !goes_on {
            entry.set_watching(false);
            return;
        }
    }
}

/// Watches once, or until other entries watch in the place of this one; false if everything is to
/// be read again.
async fn watch_while_wanted(entry: &Rc<Entry>, client: &StoreClient) -> bool {
    tokio::select! {
        goes_on = watch(entry, client) => goes_on,
        () = wait_until_unwanted(entry) => true,
    }
}

async fn wait_until_unwanted(entry: &Entry) {
    while entry.is_to_watch() {
        sleep(ROLE_CHECK_INTERVAL).await;
    }
}

/// Leaves changes to the peers that watch, until the next check of the role; false if everything is
/// to be read again.
async fn follow_peers(entry: &Rc<Entry>, client: &StoreClient, turn: &mut Turn) -> bool {
    match wait_for_wake(entry).await {
        WakeReason::CheckRole => true,
        WakeReason::CatchUp => catch_up(entry, client, turn).await,
        WakeReason::ReadAll => match read_all(entry, client, &mut Reading::default()).await {
            Ok(()) => true,
            Err(err) => {
                entry.store_failed(&err);
                pause().await;
                true
            }
        },
    }
}

/// Gets changes of the list that peers have and did not forward: the whole list of one of them, or
/// in its turn the changes from the store. False if everything is to be read again.
async fn catch_up(entry: &Rc<Entry>, client: &StoreClient, turn: &mut Turn) -> bool {
    let listed = entry.list_revision();
    let source = entry.list_source();
    let Some(source) = source else {
        turn.reset();
        return true;
    };
    fetch::whole_list(entry, source).await;
    if entry.list_revision() > listed {
        turn.reset();
        return true;
    }
    if !turn.has_come(entry) {
        return true;
    }
    watch_endpoints_once(entry, client).await
}

/// Why an entry that follows its peers was woken.
enum WakeReason {
    /// It is time to check whether it is to watch the store.
    CheckRole,
    /// Peers have changes that they did not forward.
    CatchUp,
    /// Everything is to be read again.
    ReadAll,
}

/// Waits until this entry is woken, or its role is to be checked.
async fn wait_for_wake(entry: &Entry) -> WakeReason {
    tokio::select! {
        () = sleep(ROLE_CHECK_INTERVAL) => WakeReason::CheckRole,
        () = entry.rewatch_requested.notified() => WakeReason::CatchUp,
        () = entry.relist_requested.notified() => WakeReason::ReadAll,
    }
}
