//! Peers: the other entries of the fleet, found from a few seed addresses and tracked by the
//! datagrams that they send.
//!
//! Each datagram carries the sender's configuration version with the age of its freshness proof,
//! its work at each endpoint, and some addresses of entries. All of it is soft state: it counts
//! less with age, and a lost datagram is made up for by the next. A datagram also echoes the number
//! of the receiver's last datagram, so that the receiver can date the proof on its own clock (see
//! [`crate::direct::freshness`]).

mod alert;
mod compact;
mod coordinator;
mod hello;
mod keepers;
mod observations;
mod placements;
mod rounds;
mod shared;
mod watchers;
mod zones;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

pub use self::alert::{decode_notices, encode_notices};
pub use self::coordinator::Coordinator;
pub use self::hello::{
    decode, encode, encode_within, GossipMessage, PeerId, WorkScope, MAX_DATAGRAM_BYTES, READS_ERAS,
};
pub use self::observations::{
    DueObservations, ObservationSchedule, SharedFailure, SharedObservations, SharedTime,
};
pub use self::placements::{PromptPlacement, RecentPlacements};
pub use self::rounds::{
    GossipTarget, MAX_REMOTE_BYTES, MAX_ROUND_BYTES, NEIGHBORS_PER_ROUND, REMOTES_PER_ROUND,
    ROUND_INTERVAL,
};
pub use self::shared::{decode_shared, encode_shared, split_shared, SharedKind};
use self::watchers::StoreRole;
pub use self::zones::ZoneId;
use self::zones::ZoneReports;
use crate::clock::Millis;
use crate::direct::directory::Revision;

/// Maximum number of addresses shared in one datagram.
const MAX_SHARED_ADDRESSES: usize = 8;
/// Own datagrams whose times of sending are remembered, to date echoes.
const MAX_SENT_TIMES: usize = 256;

/// What [`PeerTable::record_message`] found out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Receipt {
    /// Whether the peer was unknown, has been silent for long, or has restarted.
    pub is_new: bool,
    /// When this process sent the datagram that the peer echoes; `None` where it doesn't know it.
    pub echoed_sent_at: Option<Millis>,
}

/// What is known of a peer.
#[derive(Debug, Clone, Copy)]
struct Peer {
    /// Its process's incarnation; `None` before it was heard.
    id: Option<PeerId>,
    /// When it was heard last.
    last_heard: Option<Millis>,
    /// Number of its last datagram.
    last_number: u64,
    /// When its address was learned.
    known_since: Millis,
    /// Whether its address is a seed in the settings in force; seeds are never dropped.
    is_seed: bool,
    /// Whether it said in its last datagram that it is stopping.
    leaving: bool,
    /// Hash of its address, for the order in which entries watch the store.
    address_hash: u64,
    /// Its contact with the store, by its last datagram.
    store_role: StoreRole,
    /// Revision up to which its list of endpoints is complete, by its last datagram.
    list_revision: Revision,
    /// Whether it reads the eras of revisions, by its last datagram.
    reads_eras: bool,
    /// Whether it has a proof of freshness, by its last datagram.
    has_proof: bool,
    /// Bandwidth of its link, in Mbit/s; 0 where it is not known.
    link_mbps: u32,
    /// Its availability zone; `None` where it is not known.
    zone: Option<ZoneId>,
}

/// All peers of one entry, and the state of its gossip rounds.
#[derive(Debug)]
pub struct PeerTable {
    /// Own address, at which peers send to this entry.
    own: SocketAddr,
    /// Hash of it, for the order in which entries watch the store.
    own_hash: u64,
    /// Bandwidth of the own link, in Mbit/s; 0 where it is not known.
    link_mbps: u32,
    /// The own availability zone; `None` where it is not known.
    zone: Option<ZoneId>,
    /// What entries of other zones reported of their zones.
    zones: ZoneReports,
    /// Peers by address, so that rounds go through them in a steady order.
    peers: BTreeMap<SocketAddr, Peer>,
    /// Numbers of own datagrams and when they were sent, the newest last.
    sent_times: VecDeque<(u64, Millis)>,
    /// Number of the last own datagram.
    number: u64,
    /// Whether peers that name no eras can't be relied on for watching the store.
    requires_eras: bool,
    /// Number of neighbors, as of the last round.
    neighbor_count: usize,
    /// Number of peers in other zones, as of the last round.
    remote_count: usize,
    /// Position among the neighbors at which the next round begins.
    neighbor_cursor: usize,
    /// Position among the peers of other zones at which the next round begins.
    remote_cursor: usize,
    /// Position among the peers of other zones that watch the store at which the next round begins.
    watcher_cursor: usize,
    /// Position among the neighbors at which the next urgent notices begin.
    immediate_neighbor_cursor: usize,
    /// Position among the peers of other zones at which the next urgent notices begin.
    immediate_remote_cursor: usize,
    /// Running mean of the sizes of datagrams to neighbors, in bytes.
    mean_neighbor_bytes: usize,
    /// Running mean of the sizes of datagrams to other zones, in bytes.
    mean_remote_bytes: usize,
    /// Position of the next address to share.
    address_cursor: usize,
    /// Whether this entry watched the store in the last round.
    watches: bool,
    /// When the store last answered a call of this entry; `None` before the first answer.
    store_answered_at: Option<Millis>,
    /// Since when fewer entries of the own zone watch the store than are to; `None` if enough do.
    watchers_missing_since: Option<Millis>,
    /// Neighbors that served in the last round, and may be coordinators.
    serving_neighbors: BTreeSet<SocketAddr>,
    /// Neighbors that fell silent without saying that they stop, and when.
    silent_neighbors: BTreeMap<SocketAddr, Millis>,
    /// Whether this entry was stopping in the last round.
    is_leaving: bool,
    /// When `serving_neighbors` or `is_leaving` changed last.
    serving_changed_at: Millis,
}

impl PeerTable {
    /// A table that holds the seeds.
    ///
    /// Datagrams are numbered from a random start, so that an echo of an earlier incarnation of
    /// this process is not taken for one of this incarnation.
    pub fn new(own: SocketAddr, seeds: &[SocketAddr], first_number: u32) -> Self {
        let mut table = Self {
            own,
            own_hash: watchers::address_hash(own),
            link_mbps: 0,
            zone: None,
            zones: ZoneReports::default(),
            peers: BTreeMap::new(),
            sent_times: VecDeque::new(),
            number: READS_ERAS | u64::from(first_number) << 24,
            requires_eras: false,
            neighbor_count: 0,
            remote_count: 0,
            neighbor_cursor: 0,
            // The entries of a zone begin at different positions, so that together they reach all
            // others.
            remote_cursor: first_number as usize,
            watcher_cursor: 0,
            immediate_neighbor_cursor: 0,
            immediate_remote_cursor: first_number as usize,
            mean_neighbor_bytes: 0,
            mean_remote_bytes: 0,
            address_cursor: 0,
            watches: false,
            store_answered_at: None,
            watchers_missing_since: None,
            serving_neighbors: BTreeSet::new(),
            silent_neighbors: BTreeMap::new(),
            is_leaving: false,
            serving_changed_at: Millis(0),
        };
        table.set_seeds(seeds, Millis(0));
        table
    }

    /// Sets the bandwidth of the own link, in Mbit/s.
    pub fn set_link(&mut self, mbps: f64) {
        self.link_mbps = mbps as u32;
    }

    /// Sets the own availability zone; an empty name means that it is not known.
    pub fn set_zone(&mut self, name: &str) {
        self.zone = ZoneId::of(name);
    }

    /// The own availability zone; `None` where it is not known.
    pub fn zone(&self) -> Option<ZoneId> {
        self.zone
    }

    /// Bandwidth of the own link, in Mbit/s; 0 where it is not known.
    pub fn link_mbps(&self) -> u32 {
        self.link_mbps
    }

    /// Takes the seeds of changed settings; earlier ones are kept like any other address.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr], now: Millis) {
        for peer in self.peers.values_mut() {
            peer.is_seed = false;
        }
        for seed in seeds {
            let address = SocketAddr::new(seed.ip(), self.own.port());
            self.add_address(address, now);
            if let Some(peer) = self.peers.get_mut(&address) {
                peer.is_seed = true;
            }
        }
    }

    /// Records that the store names eras: what a peer says of it without one can't be ordered.
    pub fn require_eras(&mut self) {
        self.requires_eras = true;
    }

    /// Whether a peer reads the eras of revisions.
    pub fn reads_eras(&self, address: SocketAddr) -> bool {
        self.peers.get(&address).is_some_and(|peer| peer.reads_eras)
    }

    /// Returns the number of the next datagram, and remembers `now` as the time of sending it.
    pub fn next_number(&mut self, now: Millis) -> u64 {
        self.number += 1;
        self.sent_times.push_back((self.number, now));
        if self.sent_times.len() > MAX_SENT_TIMES {
            self.sent_times.pop_front();
        }
        self.number
    }

    /// Returns the number of the last datagram from an address, to be echoed; `None` if none was
    /// received.
    pub fn echo(&self, address: SocketAddr) -> Option<u64> {
        let peer = self.peers.get(&address)?;
        peer.last_heard.map(|_| peer.last_number)
    }

    /// Returns the next addresses of live peers to share with `receiver`, without the receiver's
    /// own.
    pub fn peer_addresses(&mut self, receiver: SocketAddr, now: Millis) -> Vec<SocketAddr> {
        let silence = self.silence();
        let heard = self.peers.iter().filter(|(address, peer)| {
            **address != receiver && peer.last_heard.is_some_and(|at| now - at < silence)
        });
        let all: Vec<SocketAddr> = heard.map(|(address, _)| *address).collect();
        let count = all.len().min(MAX_SHARED_ADDRESSES);
        let start = self.address_cursor;
        // Advances by one more than was shared: by the step of the rounds, the same peers would be
        // sent the same addresses over and over.
        self.address_cursor = self.address_cursor.wrapping_add(count + 1);
        (0..count).map(|i| all[(start + i) % all.len()]).collect()
    }

    /// Updates the table from a datagram. One that was overtaken by a later one adds the addresses
    /// that it shares, and nothing else.
    pub fn record_message(
        &mut self,
        from: SocketAddr,
        message: &GossipMessage,
        now: Millis,
    ) -> Receipt {
        for other in &message.peer_addresses {
            self.add_address(*other, now);
        }
        self.add_address(from, now);
        let silence = self.new_peer_silence();
        let Some(peer) = self.peers.get_mut(&from) else {
            return Receipt::default();
        };
        let was_heard = peer.last_heard.is_some_and(|at| now - at < silence);
        let is_same_incarnation = peer.id == Some(message.from);
        if is_same_incarnation && message.number < peer.last_number {
            return Receipt::default();
        }
        peer.id = Some(message.from);
        peer.last_heard = Some(now);
        peer.last_number = message.number;
        peer.leaving = message.leaving;
        peer.store_role = match message.names_eras || !self.requires_eras {
            true => StoreRole::of(message),
            false => StoreRole::Follows,
        };
        peer.reads_eras = message.reads_eras();
        peer.list_revision = message.revision;
        peer.has_proof = message.proof_age_ms.is_some();
        peer.link_mbps = message.link_mbps;
        peer.zone = message.zone;
        if let Some(zone) = message.zone.filter(|zone| self.zone != Some(*zone)) {
            self.zones.record(zone, message.zone_entries, now);
        }
        let echoed_sent_at = message.echo.and_then(|number| self.sent_at(number));
        Receipt {
            is_new: !(was_heard && is_same_incarnation),
            echoed_sent_at,
        }
    }

    /// Number of entries that serve, this one included: neighbors as they are heard, and other
    /// zones' entries as their zones report them.
    pub fn entries(&self, now: Millis) -> usize {
        let neighbors = self.count_serving(now, |peer| self.is_neighbor(peer));
        let is_large = self.peers.values().any(|peer| !self.is_neighbor(peer));
        let remotes = self.zones.entry_counts(now, self.zone_silence(now));
        1 + neighbors + remotes.filter(|_| is_large).sum::<usize>()
    }

    /// Number of entries that serve in the own zone, this one included.
    pub fn zone_entries(&self, now: Millis) -> u32 {
        let count = 1 + self.count_serving(now, |peer| peer.zone == self.zone);
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Number of peers that serve, are heard and satisfy `wanted`.
    fn count_serving(&self, now: Millis, wanted: impl Fn(&Peer) -> bool) -> usize {
        let silence = self.silence();
        let serves =
            |peer: &&Peer| !peer.leaving && peer.last_heard.is_some_and(|at| now - at < silence);
        let peers = self.peers.values().filter(serves);
        peers.filter(|peer| wanted(peer)).count()
    }

    /// Returns a peer whose list of endpoints reaches beyond `revision`, of the own zone if there is
    /// one there; `draw` selects one of several. `None` if there is none.
    pub fn list_source(&self, revision: Revision, draw: usize, now: Millis) -> Option<SocketAddr> {
        let silence = self.silence();
        let is_ahead = |peer: &Peer| {
            peer.list_revision > revision && peer.last_heard.is_some_and(|at| now - at < silence)
        };
        let mut ahead = self.addresses(|table, peer| table.is_neighbor(peer) && is_ahead(peer));
        if ahead.is_empty() {
            ahead = self.addresses(|_, peer| is_ahead(peer));
        }
        (!ahead.is_empty()).then(|| ahead[draw % ahead.len()])
    }

    /// Returns when an own datagram was sent; `None` if that was too long ago or in another
    /// incarnation.
    fn sent_at(&self, number: u64) -> Option<Millis> {
        let found = self.sent_times.iter().find(|(n, _)| *n == number);
        found.map(|(_, at)| *at)
    }

    /// Adds an address unless it is known or the own one.
    fn add_address(&mut self, address: SocketAddr, now: Millis) {
        if address == self.own {
            return;
        }
        self.peers.entry(address).or_insert_with(|| Peer {
            id: None,
            last_heard: None,
            last_number: 0,
            known_since: now,
            is_seed: false,
            leaving: false,
            address_hash: watchers::address_hash(address),
            store_role: StoreRole::default(),
            list_revision: Revision::default(),
            reads_eras: false,
            has_proof: false,
            link_mbps: 0,
            zone: None,
        });
    }
}
