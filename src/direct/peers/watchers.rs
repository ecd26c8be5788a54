//! Who watches the store: a few entries for all, the first ones of an order that all compute alike,
//! those with wide links before others. In a fleet of several cells each has its own.

use std::cmp::Reverse;
use std::net::SocketAddr;

use super::{GossipMessage, Peer, PeerTable};
use crate::clock::Millis;

/// Least number of entries that watch the store for all.
const WATCHERS: usize = 2;
/// Entries for each that watches, in a large fleet: what a watcher passes on stays within the
/// traffic that an instance may spend on control.
const ENTRIES_A_WATCHER: usize = 16;
/// The same in a fleet of several zones, where all pass changes on and other zones' watchers stand in:
/// with 16, zones of twenty entries would have two each.
const ENTRIES_A_ZONE_WATCHER: usize = 32;
/// Silence after which a watcher no longer counts, besides [`WATCHER_CYCLES`]: some lost datagrams
/// in a small fleet, and with what a watcher gathers well within the bounds on changes.
const WATCHER_SILENCE: Millis = Millis(450);
/// Age of its proof from which on a watcher is taken for cut off from the store.
const WATCHER_PROOF: Millis = Millis(1_500);
/// Rounds through all peers in which a watcher must be heard.
const WATCHER_CYCLES: u64 = 2;

impl PeerTable {
    /// Whether this entry is to watch the store: too few of those that come before it in an order
    /// that all entries compute alike are known to do so.
    pub fn should_watch(&self, now: Millis) -> bool {
        let own = watch_rank(self.own, self.link_mbps);
        let watches = |peer: &Peer| self.is_near(peer) && self.is_heard_watcher(peer, now);
        let before = self
            .peers
            .iter()
            .filter(|(address, peer)| watches(peer) && watch_rank(**address, peer.link_mbps) < own);
        before.count() < self.watchers()
    }

    /// Whether this entry is among the first of the order in its own cell, whoever watches by now: at a
    /// start nobody does, and all would.
    pub fn is_first_in_line(&self, now: Millis) -> bool {
        let own = watch_rank(self.own, self.link_mbps);
        let silence = self.silence();
        let is_heard = |peer: &Peer| peer.heard.is_some_and(|at| now - at < silence);
        let before = self.peers.iter().filter(|(address, peer)| {
            self.is_near(peer) && is_heard(peer) && watch_rank(**address, peer.link_mbps) < own
        });
        before.count() < self.watchers()
    }

    /// Whom to ask for a younger proof: an entry that watches, of the own cell where there is one;
    /// `draw` picks one of several.
    pub fn proof_source(&self, draw: usize) -> Option<SocketAddr> {
        let watchers = |near| {
            let peers = self.peers.iter();
            let watch = peers.filter(move |(_, peer)| {
                self.is_near(peer) == near && (peer.watches && !peer.leaving)
            });
            watch.map(|(address, _)| *address).collect::<Vec<_>>()
        };
        let mut all = watchers(true);
        if all.is_empty() {
            all = watchers(false);
        }
        (!all.is_empty()).then(|| all[draw % all.len()])
    }

    fn is_heard_watcher(&self, peer: &Peer, now: Millis) -> bool {
        let silence = WATCHER_SILENCE + Millis(self.near_cycle().0 * WATCHER_CYCLES);
        let heard = peer.heard.is_some_and(|at| now - at < silence);
        heard && peer.watches && !peer.leaving
    }

    /// Number of entries that watch the store in the own cell.
    fn watchers(&self) -> usize {
        let near = self
            .peers
            .values()
            .filter(|peer| self.is_near(peer))
            .count();
        if near < self.peers.len() {
            return (near + 1).div_ceil(ENTRIES_A_ZONE_WATCHER);
        }
        (near + 1).div_ceil(ENTRIES_A_WATCHER).max(WATCHERS)
    }
}

/// Whether a peer watches the store and is not cut off from it.
pub(super) fn is_in_touch(hello: &GossipMessage) -> bool {
    let proof = hello.proof_age_ms.map(Millis);
    let is_proven = proof.is_some_and(|age| age < WATCHER_PROOF);
    hello.watches && (is_proven || hello.reads_large)
}

/// Place of an entry in the order of those that watch: the widest link first, since the store has
/// only the whole configuration to read (4,200 routes take 1.1 s over 10 Mbit/s and 0.07 s over 200); then at
/// random, so that watchers are not all in the zone whose addresses come first.
fn watch_rank(address: SocketAddr, link_mbps: u32) -> (Reverse<u32>, u64, SocketAddr) {
    let hash = blake3::hash(address.to_string().as_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&hash.as_bytes()[..8]);
    (Reverse(link_mbps), u64::from_be_bytes(head), address)
}
