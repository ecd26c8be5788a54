//! Other entries: found from a few seeds, heard by datagrams, and what they tell of themselves.
//!
//! Each datagram carries the sender's configuration version with the age of its proof, its own
//! work at each endpoint, and some addresses. Everything in it is soft: it counts less with age
//! and a lost datagram is replaced by the next. It also echoes the number of the receiver's last
//! datagram, so that the receiver can date the proof on its own clock (see
//! [`crate::direct::freshness`]).

mod hello;
mod placements;
mod watchers;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

pub use self::hello::{decode, encode, Hello, PeerId, MOST_BYTES};
pub use self::placements::{PlacedPrompt, RecentPlacements};
use crate::clock::Millis;

/// Time between two rounds of datagrams.
pub const ROUND: Millis = Millis(150);
/// Peers told in one round: all in a small fleet, in turn in a large one, so that an entry's
/// traffic does not grow with the fleet. 47 datagrams a second of some 580 bytes stay within the
/// 28 KB/s that an instance may spend on control.
pub const PER_ROUND: usize = 7;
/// Silence after which a peer no longer counts as an entry.
const SILENCE: Millis = Millis(4_000);
/// Silence after which an address is forgotten unless it is a seed.
const FORGET: Millis = Millis(20_000);
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
}

/// All peers of one entry.
#[derive(Debug)]
pub struct PeerBook {
    own: SocketAddr,
    /// Bandwidth of the own link, in Mbit/s; 0 where it is not known.
    link_mbps: u32,
    /// By address, so that rounds go through them in a steady order.
    peers: BTreeMap<SocketAddr, Peer>,
    /// Numbers of own datagrams and when they were sent, the newest last.
    sent: VecDeque<(u64, Millis)>,
    /// Number of the last own datagram.
    number: u64,
    /// Position of the next round among the peers.
    turn: usize,
    /// Position of the next address to pass on.
    told: usize,
}

impl PeerBook {
    /// A book that holds the seeds.
    ///
    /// Numbers begin at a random one, so that an echo of an earlier life of this process is not
    /// taken for one of this life.
    pub fn new(own: SocketAddr, seeds: &[SocketAddr], first_number: u32) -> Self {
        let mut book = Self {
            own,
            link_mbps: 0,
            peers: BTreeMap::new(),
            sent: VecDeque::new(),
            number: u64::from(first_number) << 24,
            turn: 0,
            told: 0,
        };
        book.set_seeds(seeds, Millis(0));
        book
    }

    /// Tells the bandwidth of the own link, in Mbit/s.
    pub fn set_link(&mut self, mbps: f64) {
        self.link_mbps = mbps as u32;
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

    /// The peers to tell in this round.
    pub fn round(&mut self, now: Millis) -> Vec<SocketAddr> {
        self.peers.retain(|_, peer| {
            let last = peer.heard.unwrap_or(peer.known_since);
            peer.is_seed || now - last < FORGET
        });
        let all: Vec<SocketAddr> = self.peers.keys().copied().collect();
        let count = all.len().min(PER_ROUND);
        let start = self.turn;
        self.turn = self.turn.wrapping_add(count);
        (0..count).map(|i| all[(start + i) % all.len()]).collect()
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
    pub fn others(&mut self, receiver: SocketAddr, now: Millis) -> Vec<SocketAddr> {
        let heard = self.peers.iter().filter(|(address, peer)| {
            **address != receiver && peer.heard.is_some_and(|at| now - at < SILENCE)
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
    pub fn hear(&mut self, from: SocketAddr, hello: &Hello, now: Millis) -> Heard {
        for other in &hello.others {
            self.meet(*other, now);
        }
        self.meet(from, now);
        let Some(peer) = self.peers.get_mut(&from) else {
            return Heard::default();
        };
        let was_heard = peer.heard.is_some_and(|at| now - at < SILENCE);
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
        let asked = hello.echo.and_then(|number| self.sent_at(number));
        Heard {
            is_new: !(was_heard && same_life),
            asked,
        }
    }

    /// Entries that serve, this one included.
    pub fn entries(&self, now: Millis) -> usize {
        let heard = |peer: &&Peer| peer.heard.is_some_and(|at| now - at < SILENCE);
        1 + self
            .peers
            .values()
            .filter(heard)
            .filter(|p| !p.leaving)
            .count()
    }

    /// Mean time for which what another entry does stays unseen here; 0 without peers.
    pub fn blind(&self, now: Millis) -> Millis {
        let peers = (self.entries(now) - 1) as u64;
        let rounds = peers.div_ceil(PER_ROUND as u64);
        Millis(ROUND.0 * rounds / 2)
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
        });
    }
}
