//! Other entries: found from a few seeds, heard by datagrams, and what they tell of themselves.
//!
//! Each datagram carries the sender's configuration version with the age of its proof, its own
//! work at each endpoint, and some addresses. Everything in it is soft: it counts less with age
//! and a lost datagram is replaced by the next. It also echoes the number of the receiver's last
//! datagram, so that the receiver can date the proof on its own clock (see
//! [`crate::direct::freshness`]).

mod alert;
mod compact;
mod coordinator;
mod hello;
mod placements;
mod rounds;
mod watchers;
mod zones;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

pub use self::alert::{decode_notices, encode_notices};
pub use self::coordinator::Coordinator;
pub use self::hello::{
    decode, encode, encode_within, GossipMessage, PeerId, WorkScope, MAX_DATAGRAM_BYTES,
};
pub use self::placements::{PromptPlacement, RecentPlacements};
pub use self::rounds::{
    Tell, MAX_REMOTE_BYTES, MAX_ROUND_BYTES, NEIGHBORS_PER_ROUND, REMOTES_PER_ROUND, ROUND_INTERVAL,
};
pub use self::zones::ZoneId;
use self::zones::Zones;
use crate::clock::Millis;

/// Addresses passed on in one datagram.
const TOLD: usize = 8;
/// Own datagrams whose time of sending is remembered.
const REMEMBERED: usize = 256;

/// What follows from a datagram.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Heard {
    /// The peer was silent or unknown before.
    pub is_new: bool,
    /// When this process sent the datagram that the peer echoes.
    pub asked: Option<Millis>,
}

/// What is known of a peer.
#[derive(Debug, Clone, Copy)]
struct Peer {
    /// Its life; `None` before it was heard.
    id: Option<PeerId>,
    /// When it was heard last.
    heard: Option<Millis>,
    /// Number of its last datagram.
    last_number: u64,
    known_since: Millis,
    is_seed: bool,
    leaving: bool,
    /// Whether it watches the store, by its last datagram, and is in touch with it.
    watches: bool,
    /// Bandwidth of its link, in Mbit/s; 0 where it is not known.
    link_mbps: u32,
    /// Its availability zone; `None` where it is not known.
    zone: Option<ZoneId>,
}

/// All peers of one entry.
#[derive(Debug)]
pub struct PeerTable {
    own: SocketAddr,
    /// Bandwidth of the own link, in Mbit/s; 0 where it is not known.
    link_mbps: u32,
    /// The own availability zone; `None` where it is not known.
    zone: Option<ZoneId>,
    /// What entries of other zones told of these.
    zones: Zones,
    /// By address, so that rounds go through them in a steady order.
    peers: BTreeMap<SocketAddr, Peer>,
    /// Numbers of own datagrams and when they were sent, the newest last.
    sent: VecDeque<(u64, Millis)>,
    /// Number of the last own datagram.
    number: u64,
    /// Neighbours, as of the last round.
    near_count: usize,
    /// Peers of other zones, as of the last round.
    far_count: usize,
    /// Position of the next round among the neighbours.
    near_turn: usize,
    /// Its position among the entries of other zones.
    far_turn: usize,
    /// Its position among those that watch the store in other zones.
    watcher_turn: usize,
    /// Position among the neighbours of what is told at once.
    near_at_once: usize,
    /// Its position among the entries of other zones.
    far_at_once: usize,
    /// Bytes of the last datagram to a neighbour.
    near_bytes: usize,
    /// Bytes of the last datagram to another zone.
    far_bytes: usize,
    /// Position of the next address to pass on.
    told: usize,
    /// Neighbours that served in the last round, and may decide for endpoints.
    deciding: BTreeSet<SocketAddr>,
    /// Neighbours that fell silent without a word, and when.
    missed: BTreeMap<SocketAddr, Millis>,
    /// Whether this entry stops, as of the last round.
    is_leaving: bool,
    /// When either changed last.
    changed: Millis,
}

impl PeerTable {
    /// A book that holds the seeds.
    ///
    /// Numbers begin at a random one, so that an echo of an earlier life of this process is not
    /// taken for one of this life.
    pub fn new(own: SocketAddr, seeds: &[SocketAddr], first_number: u32) -> Self {
        let mut book = Self {
            own,
            link_mbps: 0,
            zone: None,
            zones: Zones::default(),
            peers: BTreeMap::new(),
            sent: VecDeque::new(),
            number: u64::from(first_number) << 24,
            near_count: 0,
            far_count: 0,
            near_turn: 0,
            // The entries of a zone begin at different places, so that together they tell all others.
            far_turn: first_number as usize,
            watcher_turn: 0,
            near_at_once: 0,
            far_at_once: first_number as usize,
            near_bytes: 0,
            far_bytes: 0,
            told: 0,
            deciding: BTreeSet::new(),
            missed: BTreeMap::new(),
            is_leaving: false,
            changed: Millis(0),
        };
        book.set_seeds(seeds, Millis(0));
        book
    }

    /// Tells the bandwidth of the own link, in Mbit/s.
    pub fn set_link(&mut self, mbps: f64) {
        self.link_mbps = mbps as u32;
    }

    /// Tells the own availability zone.
    pub fn set_zone(&mut self, name: &str) {
        self.zone = ZoneId::of(name);
    }

    /// The own availability zone.
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
            self.meet(address, now);
            if let Some(peer) = self.peers.get_mut(&address) {
                peer.is_seed = true;
            }
        }
    }

    /// Numbers the next datagram and remembers when it is sent.
    pub fn next_number(&mut self, now: Millis) -> u64 {
        self.number += 1;
        self.sent.push_back((self.number, now));
        if self.sent.len() > REMEMBERED {
            self.sent.pop_front();
        }
        self.number
    }

    /// Number of the last datagram heard from an address, for the echo.
    pub fn echo(&self, address: SocketAddr) -> Option<u64> {
        let peer = self.peers.get(&address)?;
        peer.heard.map(|_| peer.last_number)
    }

    /// Some addresses to pass on, other than the receiver's own.
    pub fn peer_addresses(&mut self, receiver: SocketAddr, now: Millis) -> Vec<SocketAddr> {
        let silence = self.silence();
        let heard = self.peers.iter().filter(|(address, peer)| {
            **address != receiver && peer.heard.is_some_and(|at| now - at < silence)
        });
        let all: Vec<SocketAddr> = heard.map(|(address, _)| *address).collect();
        let count = all.len().min(TOLD);
        let start = self.told;
        // A step of its own: with the step of the rounds, the same peers would be told the same
        // addresses over and over.
        self.told = self.told.wrapping_add(count + 1);
        (0..count).map(|i| all[(start + i) % all.len()]).collect()
    }

    /// Takes a datagram.
    pub fn record_message(
        &mut self,
        from: SocketAddr,
        hello: &GossipMessage,
        now: Millis,
    ) -> Heard {
        for other in &hello.peer_addresses {
            self.meet(*other, now);
        }
        self.meet(from, now);
        let silence = self.new_after();
        let Some(peer) = self.peers.get_mut(&from) else {
            return Heard::default();
        };
        let was_heard = peer.heard.is_some_and(|at| now - at < silence);
        let same_life = peer.id == Some(hello.from);
        if same_life && hello.number < peer.last_number {
            return Heard::default();
        }
        peer.id = Some(hello.from);
        peer.heard = Some(now);
        peer.last_number = hello.number;
        peer.leaving = hello.leaving;
        peer.watches = watchers::is_in_touch(hello);
        peer.link_mbps = hello.link_mbps;
        peer.zone = hello.zone;
        if let Some(zone) = hello.zone.filter(|zone| self.zone != Some(*zone)) {
            self.zones.hear(zone, hello.zone_entries, now);
        }
        let asked = hello.echo.and_then(|number| self.sent_at(number));
        Heard {
            is_new: !(was_heard && same_life),
            asked,
        }
    }

    /// Entries that serve, this one included: those heard one by one, and those of other zones as
    /// these tell.
    pub fn entries(&self, now: Millis) -> usize {
        let near = self.serving(now, |peer| self.is_near(peer));
        let is_large = self.peers.values().any(|peer| !self.is_near(peer));
        let far = self.zones.heard(now, self.zone_silence(now));
        1 + near + far.filter(|_| is_large).sum::<usize>()
    }

    /// Entries that serve in the own zone, this one included.
    pub fn zone_entries(&self, now: Millis) -> u32 {
        let count = 1 + self.serving(now, |peer| peer.zone == self.zone);
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Peers of a kind that are heard and serve.
    fn serving(&self, now: Millis, wanted: impl Fn(&Peer) -> bool) -> usize {
        let silence = self.silence();
        let serves =
            |peer: &&Peer| !peer.leaving && peer.heard.is_some_and(|at| now - at < silence);
        let peers = self.peers.values().filter(serves);
        peers.filter(|peer| wanted(peer)).count()
    }

    /// When an own datagram was sent; `None` when that was too long ago or in another life.
    fn sent_at(&self, number: u64) -> Option<Millis> {
        let found = self.sent.iter().find(|(n, _)| *n == number);
        found.map(|(_, at)| *at)
    }

    /// Adds an address if it is new and another's.
    fn meet(&mut self, address: SocketAddr, now: Millis) {
        if address == self.own {
            return;
        }
        self.peers.entry(address).or_insert(Peer {
            id: None,
            heard: None,
            last_number: 0,
            known_since: now,
            is_seed: false,
            leaving: false,
            watches: false,
            link_mbps: 0,
            zone: None,
        });
    }
}
