//! Datagrams between entries: telling in rounds, and hearing.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{sleep, sleep_until, Instant};

use crate::clock::Millis;
use crate::direct::entry::{Entry, Fetch, Life};
use crate::direct::fetch;
use crate::direct::limits::{self, Message};
use crate::direct::load::{EndpointLoad, EndpointWork, LoadSource};
use crate::direct::peers::{
    self, GossipMessage, GossipTarget, WorkScope, MAX_DATAGRAM_BYTES, MAX_REMOTE_BYTES,
    ROUND_INTERVAL,
};
use crate::quarantine::{Notice, MAX_NOTICES_PER_MESSAGE};

/// Pause after an error of the socket.
const PAUSE: Duration = Duration::from_millis(100);
/// Age of its proof from which on an entry that does not watch the store asks one that does: two hops
/// behind a watcher that asks the store every second.
const ASK_AT: Millis = Millis(900);
/// Rounds between two such questions.
const ASK_ROUNDS: u64 = 2;
/// Placements that a neighbour is told at most, the newest ones: an entry makes some five in a turn.
const OWN_PLACED: usize = 12;
/// Placements of the zone that another zone's entry is told at most.
const ZONE_PLACED: usize = 24;

/// Time in which what is to be told at once is gathered: an endpoint that ends loses dozens of runs.
const GATHER: Millis = Millis(5);
/// Of 256 rounds, those in which what is alarming is told again: with each round, entries of a fleet of thirty
/// spent up to 62 KB a second.
const REPEATS: u8 = 48;

/// Tells some peers each round.
pub async fn send_rounds(entry: Rc<Entry>, socket: Rc<UdpSocket>) -> anyhow::Result<()> {
    let mut rounds = 0;
    let mut next = Instant::now() + ROUND_INTERVAL.duration();
    loop {
        tokio::select! {
            () = sleep_until(next) => next = Instant::now() + ROUND_INTERVAL.duration(),
            () = entry.tell_now.notified() => {
                tell_at_once(&entry, &socket).await;
                continue;
            }
        }
        entry.evaluate_suspects();
        entry.round_limits();
        let now = entry.clock.now();
        let repeats = rand::random::<u8>() < REPEATS;
        let round = entry.peers.borrow_mut().round(entry.is_watching(), now);
        for tell in round {
            let hello = hello_for(&entry, tell, now);
            let bytes = send(&socket, tell.to, &hello).await;
            entry
                .peers
                .borrow_mut()
                .record_sent_bytes(tell.work_scope, bytes);
            let since = entry.peers.borrow().notices_since(tell.work_scope, now);
            send_notices(&entry, &socket, tell.to, since, repeats).await;
            tell_limits(&entry, tell.to, since);
        }
        rounds += 1;
        if rounds % ASK_ROUNDS == 0 {
            ask_proof(&entry, &socket, now).await;
        }
    }
}

/// Tells some peers between two rounds of requests under suspicion: what ends an endpoint within 0.1 s comes again
/// before the next round.
async fn tell_at_once(entry: &Entry, socket: &UdpSocket) {
    sleep(GATHER.duration()).await;
    let since = entry.clock.now() - Millis(GATHER.0 * 2);
    let peers = entry.peers.borrow_mut().immediate_targets();
    for peer in peers {
        send_notices(entry, socket, peer, since, false).await;
    }
}

/// Tells a peer what was learned of requests under suspicion.
async fn send_notices(
    entry: &Entry,
    socket: &UdpSocket,
    to: SocketAddr,
    since: Millis,
    repeats: bool,
) {
    let now = entry.clock.now();
    let notices =
        entry
            .quarantine
            .borrow()
            .recent()
            .since(since, repeats, MAX_NOTICES_PER_MESSAGE, now);
    send_alert(socket, to, &notices).await;
}

/// Tells a peer what endpoints said of their limits to this entry lately.
fn tell_limits(entry: &Entry, to: SocketAddr, since: Millis) {
    let news = entry.limits.borrow().news(since, entry.clock.now());
    if !news.is_empty() {
        entry.send_limits(to, &Message::Told(news));
    }
}

async fn send_alert(socket: &UdpSocket, to: SocketAddr, notices: &[Notice]) {
    let Some(bytes) = peers::encode_notices(notices) else {
        return;
    };
    // A peer that is down answers with an error; others pass on what it missed.
    if let Err(err) = socket.send_to(&bytes, to).await {
        tracing::debug!(%err, %to, "notices not sent");
    }
}

/// Asks an entry that watches the store for its proof where the own one grows old.
///
/// Without it an entry of a large fleet asks the store itself: proofs that pass from peer to peer in
/// rounds are older than one is good for.
async fn ask_proof(entry: &Entry, socket: &UdpSocket, now: Millis) {
    let is_old = entry.proof_age().is_none_or(|age| age >= ASK_AT);
    if !is_old || entry.is_watching() {
        return;
    }
    let source = entry.peers.borrow().proof_source(rand::random());
    if let Some(to) = source {
        let tell = GossipTarget {
            to,
            work_scope: WorkScope::Nothing,
        };
        let mut hello = hello_for(entry, tell, now);
        hello.wants_reply = true;
        send(socket, to, &hello).await;
    }
}

/// Sends a datagram; its length in bytes.
async fn send(socket: &UdpSocket, to: SocketAddr, hello: &GossipMessage) -> usize {
    let most = match hello.work_scope {
        WorkScope::Zone => MAX_REMOTE_BYTES,
        WorkScope::Sender | WorkScope::Nothing => MAX_DATAGRAM_BYTES,
    };
    let Some(bytes) = peers::encode_within(hello, most) else {
        tracing::warn!(work = hello.work.len(), "datagram too long, not sent");
        return 0;
    };
    // A peer that is down answers with an error; the next round tells it again.
    if let Err(err) = socket.send_to(&bytes, to).await {
        tracing::debug!(%err, %to, "datagram not sent");
    }
    bytes.len()
}

/// Hears peers.
pub async fn receive(entry: Rc<Entry>, socket: Rc<UdpSocket>) -> anyhow::Result<()> {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((length, from)) => match peers::decode(&buf[..length]) {
                Some(hello) => {
                    let is_new = heard(&entry, from, &hello);
                    if is_new {
                        let now = entry.clock.now();
                        let refused = entry
                            .quarantine
                            .borrow()
                            .refused_notices(MAX_NOTICES_PER_MESSAGE, now);
                        send_alert(&socket, from, &refused).await;
                    }
                    // A peer that is not known learns the zone of this entry at once, and so whom it
                    // tells in turn.
                    if hello.wants_reply || is_new {
                        answer(&entry, &socket, from).await;
                    }
                }
                None => hear_other(&entry, from, &buf[..length]),
            },
            Err(err) => {
                tracing::debug!(%err, "datagram socket");
                sleep(PAUSE).await;
            }
        }
    }
}

/// Takes a datagram that is not of a round.
fn hear_other(entry: &Rc<Entry>, from: SocketAddr, bytes: &[u8]) {
    if let Some(notices) = peers::decode_notices(bytes) {
        entry.take_notices(&notices);
    } else if let Some(message) = limits::decode(bytes) {
        entry.take_limits(from, message);
    } else {
        tracing::debug!(%from, "datagram is not one of ours");
    }
}

/// Answers a peer that asks for a proof.
async fn answer(entry: &Entry, socket: &UdpSocket, to: SocketAddr) {
    let tell = GossipTarget {
        to,
        work_scope: WorkScope::Nothing,
    };
    let hello = hello_for(entry, tell, entry.clock.now());
    send(socket, to, &hello).await;
}

/// What this entry tells one peer now.
fn hello_for(entry: &Entry, tell: GossipTarget, now: Millis) -> GossipMessage {
    let work = work_for(entry, tell.work_scope, now);
    let mut book = entry.peers.borrow_mut();
    let since = book.placements_since(tell.work_scope, now);
    let (placements, peer_addresses) = match tell.work_scope {
        WorkScope::Sender => (
            entry.placements.borrow().since(since, OWN_PLACED),
            book.peer_addresses(tell.to, now),
        ),
        WorkScope::Zone => (
            entry.zone_placements.borrow().since(since, ZONE_PLACED),
            book.peer_addresses(tell.to, now),
        ),
        WorkScope::Nothing => (Vec::new(), Vec::new()),
    };
    GossipMessage {
        from: entry.id,
        number: book.next_number(now),
        echo: book.echo(tell.to),
        version: entry.version(),
        proof_age_ms: entry.freshness().age(now).map(|age| age.0),
        revision: entry.listed_up_to(),
        changes_after: entry.changes_after(),
        catalog_revision: entry.catalog_up_to(),
        leaving: entry.life() != Life::Serving,
        watches: entry.is_watching(),
        reads_large: entry.is_excused(),
        link_mbps: book.link_mbps(),
        zone: book.zone(),
        zone_entries: book.zone_entries(now),
        wants_reply: false,
        peer_addresses,
        work_scope: tell.work_scope,
        work,
        placements,
    }
}

/// The work that a datagram tells, by the digests of the endpoints.
fn work_for(entry: &Entry, work_scope: WorkScope, now: Millis) -> Vec<(u32, EndpointWork)> {
    let of = |load: &EndpointLoad| match work_scope {
        WorkScope::Sender => load.own(now),
        WorkScope::Zone => load.zone_total(now),
        WorkScope::Nothing => EndpointWork::default(),
    };
    let directory = entry.directory();
    let accounts = entry.accounts();
    let all = accounts
        .iter()
        .map(|(key, account)| (key, of(&account.load)));
    all.filter(|(_, work)| !work.is_idle())
        .filter_map(|(key, work)| Some((directory.get(key)?.digest, work)))
        .collect()
}

/// Takes a datagram: the peer, its proof, its version, its work and its placements. True when the
/// peer was not known.
fn heard(entry: &Rc<Entry>, from: SocketAddr, hello: &GossipMessage) -> bool {
    let now = entry.clock.now();
    let heard = entry.peers.borrow_mut().record_message(from, hello, now);
    if heard.is_new {
        let peers = entry.peers.borrow().entries(now) - 1;
        entry.log_peer(from, peers);
    }
    if hello.version <= entry.version() {
        entry.catalog_known_up_to(hello.catalog_revision);
    }
    if let (Some(asked), Some(age)) = (heard.echoed_sent_at, hello.proof_age_ms) {
        if hello.version <= entry.version() {
            entry.prove_by_peer(asked, Millis(age));
        }
    }
    entry.peer_has_version(hello.version);
    if hello.version > entry.version() && entry.begin_fetch(Fetch::Catalog) {
        actix_rt::spawn(fetch::catalog(Rc::clone(entry), from));
    }
    let has_changes = entry.may_have_changes(from, hello.revision, hello.changes_after);
    if has_changes && entry.begin_fetch(Fetch::Changes) {
        actix_rt::spawn(fetch::changes(Rc::clone(entry), from));
    }
    entry.peer_applied(hello.revision);
    take_work(entry, hello, now);
    take_placements(entry, hello, now);
    heard.is_new
}

/// Takes what a peer tells of work at each endpoint.
fn take_work(entry: &Entry, hello: &GossipMessage, now: Millis) {
    let book = entry.peers.borrow();
    let (teller, lasts) = match (hello.work_scope, hello.zone) {
        (WorkScope::Sender, _) => (LoadSource::Peer(hello.from), book.neighbor_report_ttl()),
        (WorkScope::Zone, Some(zone)) => (LoadSource::Zone(zone), book.zone_report_ttl(now)),
        (WorkScope::Zone, None) | (WorkScope::Nothing, _) => return,
    };
    let told: HashMap<u32, EndpointWork> = hello.work.iter().copied().collect();
    let directory = entry.directory();
    let mut accounts = entry.accounts_mut();
    for (key, account) in accounts.iter_mut() {
        let digest = directory.get(key).map(|endpoint| endpoint.digest);
        match digest.and_then(|digest| told.get(&digest)) {
            Some(work) => account.load.record_remote(teller, *work, lasts, now),
            None => account.load.record_remote_idle(teller, now),
        }
    }
}

/// Takes note of the prompts that a peer placed.
fn take_placements(entry: &Entry, hello: &GossipMessage, now: Millis) {
    let directory = entry.directory();
    let mut prefixes = entry.prefixes.borrow_mut();
    let mut of_zone = entry.zone_placements.borrow_mut();
    for placed in &hello.placements {
        if let Some(key) = directory.by_digest(placed.endpoint) {
            prefixes.record_use(key, std::iter::once(placed.segment_id), now, now);
        }
        if hello.work_scope == WorkScope::Sender {
            of_zone.add_if_new(*placed, now);
        }
    }
}
