//! Gossip between entries over UDP: sends messages in rounds, and handles received datagrams.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{sleep, sleep_until, Instant};

use crate::clock::Millis;
use crate::direct::directory::Revision;
use crate::direct::entry::{Entry, Fetch, ListSource, ProcessState};
use crate::direct::fetch;
use crate::direct::known::load::{EndpointLoad, EndpointWork, LoadSource};
use crate::direct::limits::{self, Message};
use crate::direct::peers::{
    self, GossipMessage, GossipTarget, WorkScope, MAX_DATAGRAM_BYTES, MAX_REMOTE_BYTES,
    ROUND_INTERVAL,
};
use crate::quarantine::{Notice, MAX_NOTICES_PER_MESSAGE};

/// Time between two rounds of an entry that has just started and has no list of endpoints: it
/// serves nothing until it has found a peer that provides one, or knows that it is to read it.
const START_ROUND_INTERVAL: Millis = Millis(50);
/// Time after a start for which rounds may be so short.
const START_ROUNDS_TIME: Millis = Millis(1_000);
/// Pause after an error of the socket.
const SOCKET_ERROR_PAUSE: Duration = Duration::from_millis(100);
/// Proof age from which an entry that does not watch the store asks one that does. Two requests are
/// made before it would ask the store itself; earlier ones would make a watcher of a large zone
/// spend most of its control traffic on replies.
const REQUEST_PROOF_AT: Millis = Millis(1_500);
/// Rounds between two such requests.
const ROUNDS_PER_PROOF_REQUEST: u64 = 2;
/// Maximum number of placements sent to a neighbor, the newest ones; an entry makes about five in a
/// cycle through its neighbors.
const MAX_OWN_PLACEMENTS: usize = 12;
/// Maximum number of the zone's placements sent to an entry of another zone.
const MAX_ZONE_PLACEMENTS: usize = 24;

/// Time for which urgent notices are gathered before they are sent, since an endpoint that ends
/// loses dozens of runs at once.
const GATHER_TIME: Millis = Millis(5);
/// Share of rounds, in 256ths, in which urgent notices are repeated. Repeated in every round,
/// entries of a fleet of thirty spent up to 62 KB a second.
const REPEATS_PER_256_ROUNDS: u8 = 48;

/// Sends messages to some peers in each round, and urgent notices in between; never returns.
pub async fn send_rounds(entry: Rc<Entry>, socket: Rc<UdpSocket>) -> anyhow::Result<()> {
    let mut rounds = 0;
    // The first round goes to the seeds at once: their replies say where the state can be fetched.
    let mut next = Instant::now();
    loop {
        tokio::select! {
            () = sleep_until(next) => next = Instant::now() + round_interval(&entry).duration(),
            () = entry.gossip_requested.notified() => {
                send_urgent_notices(&entry, &socket).await;
                continue;
            }
            () = entry.proof_requested.notified() => {
                request_proof(&entry, &socket, entry.clock.now()).await;
                continue;
            }
        }
        entry.evaluate_suspects();
        entry.update_part_suspicion();
        entry.update_limit_coordination();
        entry.tell_untold_streams();
        let now = entry.clock.now();
        let repeats = rand::random::<u8>() < REPEATS_PER_256_ROUNDS;
        let round = entry.peers.borrow_mut().round(entry.is_watching(), now);
        for target in round {
            let message = build_message(&entry, target, now);
            let bytes = send(&socket, target.to, &message).await;
            entry
                .peers
                .borrow_mut()
                .record_sent_bytes(target.work_scope, bytes);
            let since = entry.peers.borrow().notices_since(target.work_scope, now);
            send_notices(&entry, &socket, target.to, since, repeats).await;
            entry.send_part_notices(target.to, since, repeats);
            send_recent_limits(&entry, target.to, since);
            entry.send_shared_state(target.to);
        }
        rounds += 1;
        if rounds % ROUNDS_PER_PROOF_REQUEST == 0 || entry.proof_age().is_none() {
            request_proof(&entry, &socket, now).await;
        }
    }
}

/// Time between two rounds: short at a start, until the list of endpoints is known.
fn round_interval(entry: &Entry) -> Millis {
    match !entry.has_list() && entry.age() < START_ROUNDS_TIME {
        true => START_ROUND_INTERVAL,
        false => ROUND_INTERVAL,
    }
}

/// Sends notices about suspect requests to some peers between two rounds: a request that crashes an
/// endpoint within 0.1 s comes again before the next round.
async fn send_urgent_notices(entry: &Entry, socket: &UdpSocket) {
    sleep(GATHER_TIME.duration()).await;
    let since = entry.clock.now() - Millis(GATHER_TIME.0 * 2);
    let peers = entry.peers.borrow_mut().immediate_targets();
    for peer in peers {
        send_notices(entry, socket, peer, since, false).await;
        entry.send_part_notices(peer, since, false);
    }
}

/// Sends a peer the notices about suspect requests since a time; `repeats` includes urgent ones
/// again.
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
    send_notice_datagram(socket, to, &notices).await;
}

/// Sends a peer the limits that endpoints announced to this entry since a time.
fn send_recent_limits(entry: &Entry, to: SocketAddr, since: Millis) {
    let recent_observations = entry
        .limits
        .borrow()
        .recent_observations(since, entry.clock.now());
    if !recent_observations.is_empty() {
        entry.send_limit_message(to, &Message::Told(recent_observations));
    }
}

async fn send_notice_datagram(socket: &UdpSocket, to: SocketAddr, notices: &[Notice]) {
    let Some(bytes) = peers::encode_notices(notices) else {
        return;
    };
    // A peer that is down causes an error here; other peers forward to it what it missed.
    if let Err(err) = socket.send_to(&bytes, to).await {
        tracing::debug!(%err, %to, "notices not sent");
    }
}

/// Asks an entry that watches the store for its proof if the own one grows old.
///
/// Without this an entry of a large fleet would ask the store itself: proofs that pass from peer to
/// peer in rounds arrive older than they may be.
async fn request_proof(entry: &Entry, socket: &UdpSocket, now: Millis) {
    let own_age = entry.proof_age();
    let is_old = own_age.is_none_or(|age| age >= request_proof_at(entry));
    if !is_old || entry.is_watching() {
        return;
    }
    let source = entry
        .peers
        .borrow()
        .proof_source(own_age, rand::random(), now);
    if let Some(to) = source {
        let target = GossipTarget {
            to,
            work_scope: WorkScope::Nothing,
        };
        let mut message = build_message(entry, target, now);
        message.wants_reply = true;
        send(socket, to, &message).await;
    }
}

/// Proof age from which a peer is asked for a younger one: at most a third of the age up to which
/// keyed requests may run.
fn request_proof_at(entry: &Entry) -> Millis {
    let max_age = entry.settings.borrow().bounds.max_key_proof_age();
    max_age.map_or(REQUEST_PROOF_AT, |max_age| {
        Millis(max_age.0 / 3).min(REQUEST_PROOF_AT)
    })
}

/// Sends a message; returns its length in bytes, or 0 if it is too long to be sent.
async fn send(socket: &UdpSocket, to: SocketAddr, message: &GossipMessage) -> usize {
    let max_bytes = match message.work_scope {
        WorkScope::Zone => MAX_REMOTE_BYTES,
        WorkScope::Sender | WorkScope::Nothing => MAX_DATAGRAM_BYTES,
    };
    let Some(bytes) = peers::encode_within(message, max_bytes) else {
        tracing::warn!(
            work = message.work.len(),
            "gossip message too long, not sent"
        );
        return 0;
    };
    // A peer that is down causes an error here; a later round sends to it again.
    if let Err(err) = socket.send_to(&bytes, to).await {
        tracing::debug!(%err, %to, "gossip message not sent");
    }
    bytes.len()
}

/// Receives and handles datagrams of peers; never returns.
pub async fn receive(entry: Rc<Entry>, socket: Rc<UdpSocket>) -> anyhow::Result<()> {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((length, from)) => match peers::decode(&buf[..length]) {
                Some(message) => {
                    let is_new = handle_message(&entry, from, &message);
                    if is_new {
                        let now = entry.clock.now();
                        let refused = entry
                            .quarantine
                            .borrow()
                            .refused_notices(MAX_NOTICES_PER_MESSAGE, now);
                        send_notice_datagram(&socket, from, &refused).await;
                        entry.greet_with_shared_state(from);
                    }
                    // The reply tells a new peer the zone of this entry at once, and so in which of
                    // its rounds to include it.
                    if message.wants_reply || is_new {
                        send_reply(&entry, &socket, from).await;
                    }
                }
                None => handle_other_datagram(&entry, from, &buf[..length]),
            },
            Err(err) => {
                tracing::debug!(%err, "datagram socket could not be read");
                sleep(SOCKET_ERROR_PAUSE).await;
            }
        }
    }
}

/// Handles a datagram that is not a gossip message.
fn handle_other_datagram(entry: &Rc<Entry>, from: SocketAddr, bytes: &[u8]) {
    if let Some(notices) = peers::decode_notices(bytes) {
        entry.apply_notices(&notices);
    } else if let Some(message) = limits::decode(bytes) {
        entry.handle_limit_message(from, message);
    } else if !entry.handle_shared_state(from, bytes) {
        tracing::debug!(%from, "datagram of an unknown format");
    }
}

/// Replies to a peer that is new, or that asked for a proof.
async fn send_reply(entry: &Entry, socket: &UdpSocket, to: SocketAddr) {
    let target = GossipTarget {
        to,
        work_scope: WorkScope::Nothing,
    };
    let message = build_message(entry, target, entry.clock.now());
    send(socket, to, &message).await;
}

/// Builds the message to send to a peer now.
fn build_message(entry: &Entry, target: GossipTarget, now: Millis) -> GossipMessage {
    let work = reported_work(entry, target.work_scope, now);
    let mut table = entry.peers.borrow_mut();
    let since = table.placements_since(target.work_scope, now);
    let (placements, peer_addresses) = match target.work_scope {
        WorkScope::Sender => (
            entry.placements.borrow().since(since, MAX_OWN_PLACEMENTS),
            table.peer_addresses(target.to, now),
        ),
        WorkScope::Zone => (
            entry
                .zone_placements
                .borrow()
                .since(since, MAX_ZONE_PLACEMENTS),
            table.peer_addresses(target.to, now),
        ),
        WorkScope::Nothing => (Vec::new(), Vec::new()),
    };
    GossipMessage {
        from: entry.id,
        number: table.next_number(now),
        echo: table.echo(target.to),
        version: entry.version(),
        proof_age_ms: entry.freshness().age(now).map(|age| age.0),
        revision: entry.list_revision(),
        changes_after: entry.changes_after(),
        catalog_revision: entry.catalog_revision(),
        leaving: entry.process_state() != ProcessState::Serving,
        watches: entry.is_watching(),
        reads_large: entry.is_stale_proof_excused(),
        link_mbps: table.link_mbps(),
        zone: table.zone(),
        zone_entries: table.zone_entries(now),
        wants_reply: false,
        peer_addresses,
        work_scope: target.work_scope,
        work,
        placements,
        version_era: entry.catalog_era(),
        names_eras: table.reads_eras(target.to),
    }
}

/// The work to report in a message, by the digests of the endpoints.
fn reported_work(entry: &Entry, work_scope: WorkScope, now: Millis) -> Vec<(u32, EndpointWork)> {
    let work_at = |load: &EndpointLoad| match work_scope {
        WorkScope::Sender => load.own(now),
        WorkScope::Zone => load.zone_total(now),
        WorkScope::Nothing => EndpointWork::default(),
    };
    let directory = entry.directory();
    let endpoint_states = entry.endpoint_states();
    let all = endpoint_states
        .iter()
        .map(|(key, endpoint_state)| (key, work_at(&endpoint_state.load)));
    all.filter(|(_, work)| !work.is_idle())
        .filter_map(|(key, work)| Some((directory.get(key)?.digest, work)))
        .collect()
}

/// Handles a gossip message: updates the peer, the proof, the work and the placements, and fetches
/// a newer configuration or changes of the list. True if the peer is new, was silent for long, or
/// has restarted.
fn handle_message(entry: &Rc<Entry>, from: SocketAddr, message: &GossipMessage) -> bool {
    let now = entry.clock.now();
    let receipt = entry.peers.borrow_mut().record_message(from, message, now);
    if receipt.is_new {
        let peers = entry.peers.borrow().entries(now) - 1;
        entry.log_peer(from, peers);
    }
    let is_comparable = entry.is_comparable(message);
    if is_comparable {
        take_proof(entry, from, message, receipt.echoed_sent_at);
    }
    if entry.proof_age().is_none() && message.proof_age_ms.is_some() && entry.version() > 0 {
        entry.proof_requested.notify_one();
    }
    entry.note_peer_catalog_version(message.version);
    if message.version > entry.version() && entry.begin_fetch(Fetch::Catalog) {
        actix_rt::spawn(fetch::catalog(Rc::clone(entry), from));
    }
    fetch_list(entry, from, message);
    if is_comparable {
        entry.note_peer_list_revision(message.revision);
    }
    apply_work(entry, message, now);
    record_placements(entry, message, now);
    receipt.is_new
}

/// Takes what the sender of a message knows of the freshness of the configuration and the list;
/// `echoed_sent_at` is when the datagram that it echoes was sent.
fn take_proof(
    entry: &Entry,
    from: SocketAddr,
    message: &GossipMessage,
    echoed_sent_at: Option<Millis>,
) {
    let age = message.proof_age_ms.map(Millis);
    if message.version <= entry.version() {
        entry.confirm_catalog_at(message.catalog_revision);
        if let (Some(asked), Some(age)) = (echoed_sent_at, age) {
            entry.prove_by_peer(asked, age);
        }
    } else {
        entry.note_peer_version(message.version, message.version_era);
    }
    if let Some(age) = age.filter(|_| message.watches) {
        if message.revision <= entry.list_revision() {
            entry.confirm_list(entry.clock.now() - age, ListSource::Peer(from));
        }
    }
}

/// Fetches what the sender of a message has of the list of endpoints and this entry lacks.
fn fetch_list(entry: &Rc<Entry>, from: SocketAddr, message: &GossipMessage) {
    if !entry.has_list() {
        if message.revision > Revision::default() && entry.begin_fetch(Fetch::Changes) {
            actix_rt::spawn(fetch::first_list(Rc::clone(entry), from));
        }
        return;
    }
    let has_changes = entry.may_have_changes(from, message.revision, message.changes_after);
    if has_changes && entry.begin_fetch(Fetch::Changes) {
        actix_rt::spawn(fetch::changes(Rc::clone(entry), from));
    }
}

/// Updates the load of each endpoint from the work in a message.
fn apply_work(entry: &Entry, message: &GossipMessage, now: Millis) {
    let table = entry.peers.borrow();
    let (teller, ttl) = match (message.work_scope, message.zone) {
        (WorkScope::Sender, _) => (LoadSource::Peer(message.from), table.neighbor_report_ttl()),
        (WorkScope::Zone, Some(zone)) => (LoadSource::Zone(zone), table.zone_report_ttl(now)),
        (WorkScope::Zone, None) | (WorkScope::Nothing, _) => return,
    };
    let reported: HashMap<u32, EndpointWork> = message.work.iter().copied().collect();
    let directory = entry.directory();
    let mut endpoint_states = entry.endpoint_states_mut();
    for (key, endpoint_state) in endpoint_states.iter_mut() {
        let digest = directory.get(key).map(|endpoint| endpoint.digest);
        match digest.and_then(|digest| reported.get(&digest)) {
            Some(work) => endpoint_state.load.record_remote(teller, *work, ttl, now),
            None => endpoint_state.load.record_remote_idle(teller, now),
        }
    }
}

/// Records the placements in a message.
fn record_placements(entry: &Entry, message: &GossipMessage, now: Millis) {
    let directory = entry.directory();
    let mut prefixes = entry.prefixes.borrow_mut();
    let mut zone_placements = entry.zone_placements.borrow_mut();
    for placement in &message.placements {
        if let Some(key) = directory.by_digest(placement.endpoint) {
            prefixes.record_use(key, std::iter::once(placement.segment_id), now, now);
        }
        if message.work_scope == WorkScope::Sender {
            zone_placements.add_if_new(*placement, now);
        }
    }
}
