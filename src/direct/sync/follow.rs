//! Keeping up with the store: by watching it, or by leaving that to peers.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use super::listing::read_all;
use super::watch::{look, watch};
use super::{retry_pause, StoreClient};
use crate::clock::Millis;
use crate::direct::entry::Entry;

/// Time between two looks at whether this entry is to watch the store itself.
const ROLE_LOOK: Duration = Duration::from_millis(100);

/// Time after a start in which nobody watches: peers are found meanwhile.
const FIND_PEERS: Millis = Millis(600);
/// Time after a start in which only the first in line watch; the others hear of them meanwhile. Without
/// both, 19 entries of one zone that started together began 48 watches in eight seconds.
const LINE_UP: Millis = Millis(1_600);

/// Keeps the configuration and the list of endpoints up to date.
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

/// Keeps up until something goes wrong; the caller then reads everything anew.
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
        age if age < FIND_PEERS => false,
        age if age < LINE_UP => peers.ranks_as_watcher(now),
        _ => peers.should_watch(now),
    }
}

/// Leaves changes to the peers that watch, for a while; false when everything is to be read anew.
async fn follow_peers(entry: &Rc<Entry>, client: &StoreClient) -> bool {
    match woken(entry).await {
        Woken::Look => true,
        // The peers that watch don't tell what the store has.
        Woken::Watch => look(entry, client).await,
        Woken::List => false,
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

/// Waits until this entry is woken, or its role is to be looked at.
async fn woken(entry: &Entry) -> Woken {
    tokio::select! {
        () = sleep(ROLE_LOOK) => Woken::Look,
        () = entry.watch_again.notified() => Woken::Watch,
        () = entry.list_again.notified() => Woken::List,
    }
}
