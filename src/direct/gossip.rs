//! Datagrams between entries: telling in rounds, and hearing.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::clock::Millis;
use crate::direct::directory::EndpointKey;
use crate::direct::entry::{Entry, Fetch, Life};
use crate::direct::fetch;
use crate::direct::load::Work;
use crate::direct::peers::{self, Hello, MOST_BYTES, ROUND};

/// Pause after an error of the socket.
const PAUSE: Duration = Duration::from_millis(100);

/// Tells some peers each round.
pub async fn tell(entry: Rc<Entry>, socket: Rc<UdpSocket>) -> anyhow::Result<()> {
    loop {
        sleep(ROUND.duration()).await;
        let now = entry.clock.now();
        let round = entry.peers.borrow_mut().round(now);
        for peer in round {
            let hello = hello_for(&entry, peer, now);
            let Some(bytes) = peers::encode(&hello) else {
                tracing::warn!(work = hello.work.len(), "datagram too long, not sent");
                continue;
            };
            // A peer that is down answers with an error; the next round tells it again.
            if let Err(err) = socket.send_to(&bytes, peer).await {
                tracing::debug!(%err, %peer, "datagram not sent");
            }
        }
    }
}

/// Hears peers.
pub async fn hear(entry: Rc<Entry>, socket: Rc<UdpSocket>) -> anyhow::Result<()> {
    let mut buf = vec![0; MOST_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((length, from)) => match peers::decode(&buf[..length]) {
                Some(hello) => heard(&entry, from, &hello),
                None => tracing::debug!(%from, "datagram is not one of ours"),
            },
            Err(err) => {
                tracing::debug!(%err, "datagram socket");
                sleep(PAUSE).await;
            }
        }
    }
}

/// What this entry tells one peer now.
fn hello_for(entry: &Entry, peer: SocketAddr, now: Millis) -> Hello {
    let directory = entry.directory();
    let accounts = entry.accounts();
    let work = accounts
        .iter()
        .map(|(key, account)| (key, account.load.own(now)))
        .filter(|(_, work)| !work.is_idle())
        .filter_map(|(key, work)| Some((directory.get(key)?.digest, work)))
        .collect();
    let mut book = entry.peers.borrow_mut();
    Hello {
        from: entry.id,
        number: book.next_number(now),
        echo: book.echo(peer),
        version: entry.version(),
        proof_age_ms: entry.freshness().age(now).map(|age| age.0),
        revision: entry.listed_up_to(),
        catalog_revision: entry.catalog_up_to(),
        leaving: entry.life() != Life::Serving,
        watches: entry.is_watching(),
        reads_large: entry.is_excused(),
        link_mbps: book.link_mbps(),
        others: book.others(peer, now),
        work,
        placed: entry.placements.borrow().all(),
    }
}

/// Takes a datagram: the peer, its proof, its version, its work and its placements.
fn heard(entry: &Rc<Entry>, from: SocketAddr, hello: &Hello) {
    let now = entry.clock.now();
    let heard = entry.peers.borrow_mut().hear(from, hello, now);
    if heard.is_new {
        let peers = entry.peers.borrow().entries(now) - 1;
        entry.log_peer(from, peers);
    }
    if hello.version <= entry.version() {
        entry.catalog_known_up_to(hello.catalog_revision);
    }
    if let (Some(asked), Some(age)) = (heard.asked, hello.proof_age_ms) {
        if hello.version <= entry.version() {
            entry.prove_by_peer(asked, Millis(age));
        }
    }
    entry.peer_has_version(hello.version);
    if hello.version > entry.version() && entry.begin_fetch(Fetch::Catalog) {
        actix_rt::spawn(fetch::catalog(Rc::clone(entry), from));
    }
    if hello.watches && hello.revision > entry.listed_up_to() && entry.begin_fetch(Fetch::Changes) {
        actix_rt::spawn(fetch::changes(Rc::clone(entry), from));
    }
    entry.peer_applied(hello.revision);
    take_work(entry, hello, now);
    take_placements(entry, hello, now);
}

/// Takes a peer's work at each endpoint; none where it tells none.
fn take_work(entry: &Entry, hello: &Hello, now: Millis) {
    let told: HashMap<u32, Work> = hello.work.iter().copied().collect();
    let directory = entry.directory();
    let mut accounts = entry.accounts_mut();
    for (key, account) in accounts.iter_mut() {
        let digest = directory.get(key).map(|endpoint| endpoint.digest);
        let work = digest.and_then(|digest| told.get(&digest));
        account
            .load
            .peer(hello.from, work.copied().unwrap_or_default(), now);
    }
}

/// Takes note of the prompts that a peer placed.
fn take_placements(entry: &Entry, hello: &Hello, now: Millis) {
    let directory = entry.directory();
    let by_digest: HashMap<u32, EndpointKey> =
        directory.iter().map(|(key, e)| (e.digest, key)).collect();
    let mut prefixes = entry.prefixes.borrow_mut();
    for placed in &hello.placed {
        if let Some(key) = by_digest.get(&placed.endpoint) {
            prefixes.note(*key, std::iter::once(placed.part), now, now);
        }
    }
}
