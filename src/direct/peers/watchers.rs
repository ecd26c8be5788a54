//! Which entries watch the store. A few watch on behalf of all: the first ones of an order that all
//! entries compute alike, those with the fastest links first. In a fleet of several availability
//! zones each zone has its own watchers.

use std::cmp::Reverse;
use std::net::SocketAddr;

use super::{GossipMessage, Peer, PeerTable};
use crate::clock::Millis;

/// Minimum number of entries that watch the store for all.
const MIN_WATCHERS: usize = 2;
/// Entries per watcher in a fleet whose entries are all neighbors. It keeps what a watcher forwards
/// within the traffic that an instance may spend on control.
const ENTRIES_PER_WATCHER: usize = 16;
/// Entries per watcher in a fleet of several zones. Every entry forwards changes there and watchers
/// of other zones stand in, so fewer suffice: with 16, zones of twenty entries would have two each.
const ENTRIES_PER_ZONE_WATCHER: usize = 32;
/// Minimum silence after which a watcher no longer counts, on top of [`WATCHER_TIMEOUT_CYCLES`]. It
/// allows for some lost datagrams in a small fleet, and leaves time within the bounds on changes
/// for a watcher's pause between two watches.
const MIN_WATCHER_SILENCE: Millis = Millis(450);
/// Proof age from which a watcher is taken to be cut off from the store.
const MAX_WATCHER_PROOF_AGE: Millis = Millis(1_500);
/// Cycles through all neighbors within which a watcher must be heard.
const WATCHER_TIMEOUT_CYCLES: u64 = 2;

impl PeerTable {
    /// Whether this entry is to watch the store: fewer than the wanted number of neighbors that
    /// rank before it are known to watch.
    pub fn should_watch(&self, now: Millis) -> bool {
        let own = watch_rank(self.own, self.link_mbps);
        let watches = |peer: &Peer| self.is_neighbor(peer) && self.is_live_watcher(peer, now);
        let before = self
            .peers
            .iter()
            .filter(|(address, peer)| watches(peer) && watch_rank(**address, peer.link_mbps) < own);
        before.count() < self.wanted_watchers()
    }

    /// Whether this entry is among the first of its zone's order, whoever watches by now. Used at a
    /// start, when nobody watches yet and all entries would begin to.
    pub fn ranks_as_watcher(&self, now: Millis) -> bool {
        let own = watch_rank(self.own, self.link_mbps);
        let silence = self.silence();
        let is_heard = |peer: &Peer| peer.last_heard.is_some_and(|at| now - at < silence);
        let before = self.peers.iter().filter(|(address, peer)| {
            self.is_neighbor(peer) && is_heard(peer) && watch_rank(**address, peer.link_mbps) < own
        });
        before.count() < self.wanted_watchers()
    }

    /// Returns the peer to ask for a younger proof: one that watches the store, of the own zone if
    /// there is one there; `draw` selects one of several. `None` if no peer watches.
    pub fn proof_source(&self, draw: usize) -> Option<SocketAddr> {
        let watchers = |is_neighbor| {
            let peers = self.peers.iter();
            let watch = peers.filter(move |(_, peer)| {
                self.is_neighbor(peer) == is_neighbor && (peer.watches && !peer.leaving)
            });
            watch.map(|(address, _)| *address).collect::<Vec<_>>()
        };
        let mut all = watchers(true);
        if all.is_empty() {
            all = watchers(false);
        }
        (!all.is_empty()).then(|| all[draw % all.len()])
    }

    fn is_live_watcher(&self, peer: &Peer, now: Millis) -> bool {
        let silence =
            MIN_WATCHER_SILENCE + Millis(self.neighbor_cycle().0 * WATCHER_TIMEOUT_CYCLES);
        let heard = peer.last_heard.is_some_and(|at| now - at < silence);
        heard && peer.watches && !peer.leaving
    }

    /// Number of entries that are to watch the store in the own zone.
    fn wanted_watchers(&self) -> usize {
        let neighbors = self
            .peers
            .values()
            .filter(|peer| self.is_neighbor(peer))
            .count();
        if neighbors < self.peers.len() {
            return (neighbors + 1).div_ceil(ENTRIES_PER_ZONE_WATCHER);
        }
        (neighbors + 1)
            .div_ceil(ENTRIES_PER_WATCHER)
            .max(MIN_WATCHERS)
    }
}

/// Whether the sender of a message watches the store and is not cut off from it.
pub(super) fn has_store_contact(message: &GossipMessage) -> bool {
    let proof = message.proof_age_ms.map(Millis);
    let is_proven = proof.is_some_and(|age| age < MAX_WATCHER_PROOF_AGE);
    message.watches && (is_proven || message.reads_large)
}

/// Returns an entry's rank for watching; the lowest ranks watch. The fastest link comes first,
/// since only a watcher reads the whole configuration from the store (4,200 routes take 1.1 s over
/// 10 Mbit/s and 0.07 s over 200). Among equal links the order is a hash, so that watchers are not
/// all in the zone with the lowest addresses.
fn watch_rank(address: SocketAddr, link_mbps: u32) -> (Reverse<u32>, u64, SocketAddr) {
    let hash = blake3::hash(address.to_string().as_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&hash.as_bytes()[..8]);
    (Reverse(link_mbps), u64::from_be_bytes(head), address)
}
