//! Which entry is the coordinator of an endpoint: the one that takes the decisions for it that must
//! be taken in one place.
//!
//! Entries are ranked by a hash of their address and the endpoint. Those of the endpoint's
//! availability zone come first, because an entry that is cut off from that zone can't reach the
//! endpoint either. The highest-ranked entry that serves is the coordinator. Only an entry's own
//! view decides whether it is one: entries of one zone hear each other often, while entries of
//! other zones ask the one that they believe to be the coordinator and are redirected to the right
//! one.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::{Peer, PeerTable, ZoneId};
use crate::clock::Millis;
use crate::mix_bits::mix_bits;

/// Minimum silence after which a neighbor can no longer be a coordinator; longer in a large zone,
/// see [`COORDINATOR_TIMEOUT_CYCLES`].
const MIN_COORDINATOR_SILENCE: Millis = Millis(1_000);
/// The same limit, in cycles through all neighbors: one must be heard within as many.
const COORDINATOR_TIMEOUT_CYCLES: u64 = 4;
/// Time after the own start within which peers may not have been heard yet.
const DISCOVERY_TIME: Millis = Millis(1_500);
/// Size of the fleet that is assumed while the table holds peers of which none was ever heard.
const ASSUMED_FLEET_SIZE: f64 = 64.0;
/// Time after the own start after which an entry that has heard no peer takes itself for the only
/// one.
const ASSUME_ALONE_AFTER: Millis = Millis(10_000);
/// Time for which a neighbor that fell silent may still be deciding in another part of a
/// partitioned fleet.
const PARTITION_MEMORY: Millis = Millis(60_000);
/// Time without a change of the serving entries after which no other entry decides by an older
/// view.
const SETTLE_TIME: Millis = Millis(1_000);

/// The coordinator of an endpoint, as this entry sees it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Coordinator {
    /// This entry.
    Own {
        /// Share of the fleet that this entry sees, above 0 and at most 1: in another part of a
        /// partitioned fleet others may decide for the rest.
        visible_share: f64,
        /// Whether the set of serving entries has not changed for [`SETTLE_TIME`].
        is_settled: bool,
    },
    /// A peer, by its address.
    Peer(SocketAddr),
    /// Not known: peers are still being discovered, or the endpoint's zone has fallen silent.
    Unknown,
}

/// State of an endpoint's availability zone, where that is not the own one.
enum OtherZoneState {
    /// The zone has no entries, or it is the own one.
    None,
    /// Some of its entries serve.
    Serves,
    /// Its entries fell silent within [`PARTITION_MEMORY`]: either they go on deciding in another
    /// part of a partitioned fleet, or all have ended.
    Silent,
}

impl PeerTable {
    /// Returns the coordinator of `endpoint` in `zone`, for an entry that runs since `started`.
    /// Entries of another zone for which `is_unanswered` holds are skipped; that never makes this
    /// entry the coordinator.
    pub fn coordinator(
        &self,
        endpoint: u32,
        zone: Option<ZoneId>,
        started: Millis,
        now: Millis,
        is_unanswered: impl Fn(SocketAddr) -> bool,
    ) -> Coordinator {
        let has_others = !self.peers.is_empty();
        if has_others && now < started + DISCOVERY_TIME {
            return Coordinator::Unknown;
        }
        match self.other_zone(zone, now) {
            OtherZoneState::Serves => {
                let in_zone =
                    self.highest_ranked(endpoint, now, &is_unanswered, |peer| peer.zone == zone);
                return in_zone.map_or(Coordinator::Unknown, |(_, peer)| Coordinator::Peer(peer));
            }
            OtherZoneState::Silent => return Coordinator::Unknown,
            OtherZoneState::None => {}
        }
        let wants_zone = zone.is_some() && zone == self.zone;
        let is_wanted = |peer: &Peer| !wants_zone || peer.zone == zone;
        let peer = self.highest_ranked(endpoint, now, &|_| false, is_wanted);
        match peer {
            Some((rank, peer)) if rank > rank_of(self.own, u64::from(endpoint)) => {
                Coordinator::Peer(peer)
            }
            _ if self.is_leaving => {
                let any = || self.highest_ranked(endpoint, now, &|_| false, |_| true);
                let peer = peer.or_else(any);
                peer.map_or(Coordinator::Unknown, |(_, peer)| Coordinator::Peer(peer))
            }
            _ => Coordinator::Own {
                visible_share: self.visible_share(started, now),
                is_settled: now >= self.serving_changed_at + SETTLE_TIME,
            },
        }
    }

    /// Records which neighbors serve now, and whether this entry is stopping; done in each round.
    pub fn update_serving_peers(&mut self, is_leaving: bool, now: Millis) {
        let serving = self.serving_peers(now);
        let neighbors = serving.filter(|(_, peer)| self.is_neighbor(peer));
        let serving: BTreeSet<SocketAddr> = neighbors.map(|(address, _)| address).collect();
        if serving != self.serving_neighbors || is_leaving != self.is_leaving {
            self.record_silent_neighbors(&serving, now);
            self.serving_neighbors = serving;
            self.is_leaving = is_leaving;
            self.serving_changed_at = now;
        }
    }

    /// Records the neighbors that fell silent without saying that they stop, and may be deciding in
    /// another part of a partitioned fleet.
    fn record_silent_neighbors(&mut self, serving: &BTreeSet<SocketAddr>, now: Millis) {
        self.silent_neighbors
            .retain(|peer, at| !serving.contains(peer) && now < *at + PARTITION_MEMORY);
        let silent = self.serving_neighbors.difference(serving);
        let is_leaving = |peer: &SocketAddr| self.peers.get(peer).is_some_and(|p| p.leaving);
        let silent_neighbors = silent
            .filter(|peer| !is_leaving(peer))
            .map(|peer| (*peer, now));
        self.silent_neighbors.extend(silent_neighbors);
    }

    /// Returns what is known of the entries of `zone` if it is not the own zone.
    fn other_zone(&self, zone: Option<ZoneId>, now: Millis) -> OtherZoneState {
        let Some(zone) = zone.filter(|zone| self.zone != Some(*zone)) else {
            return OtherZoneState::None;
        };
        let mut neighbors = self
            .serving_peers(now)
            .filter(|(_, peer)| self.is_neighbor(peer));
        if neighbors.any(|(_, peer)| peer.zone == Some(zone)) {
            return OtherZoneState::Serves;
        }
        if self.peers.values().all(|peer| self.is_neighbor(peer)) {
            return OtherZoneState::None;
        }
        match self.zones.has_serving(zone, now, self.zone_silence(now)) {
            true => OtherZoneState::Serves,
            false if self.zones.has_serving(zone, now, PARTITION_MEMORY) => OtherZoneState::Silent,
            false => OtherZoneState::None,
        }
    }

    /// Returns the highest-ranked of the serving peers for which `is_wanted` holds and
    /// `is_unanswered` doesn't, with its rank.
    fn highest_ranked(
        &self,
        endpoint: u32,
        now: Millis,
        is_unanswered: &impl Fn(SocketAddr) -> bool,
        is_wanted: impl Fn(&Peer) -> bool,
    ) -> Option<(u64, SocketAddr)> {
        let serving = self.serving_peers(now);
        let wanted = serving.filter(|(address, peer)| is_wanted(peer) && !is_unanswered(*address));
        wanted
            .map(|(address, _)| (rank_of(address, u64::from(endpoint)), address))
            .max()
    }

    /// The peers that serve, as far as known. Neighbors must have been heard lately, entries of
    /// other zones only at some time, since they are heard seldom.
    pub(super) fn serving_peers(&self, now: Millis) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        let silence = MIN_COORDINATOR_SILENCE
            .max(Millis(self.neighbor_cycle().0 * COORDINATOR_TIMEOUT_CYCLES));
        let is_heard = move |peer: &Peer| {
            let is_fresh = |at: Millis| !self.is_neighbor(peer) || now < at + silence;
            peer.last_heard.is_some_and(is_fresh)
        };
        let peers = self.peers.iter().map(|(address, peer)| (*address, peer));
        peers.filter(move |(_, peer)| !peer.leaving && is_heard(peer))
    }

    /// Returns the share of the neighbors that is heard, of all that were heard lately and did not
    /// say that they stop.
    fn visible_share(&self, started: Millis, now: Millis) -> f64 {
        let heard_any = self.peers.values().any(|peer| peer.last_heard.is_some());
        if !heard_any && !self.peers.is_empty() && now < started + ASSUME_ALONE_AFTER {
            return 1.0 / ASSUMED_FLEET_SIZE;
        }
        let silent_neighbors = self
            .silent_neighbors
            .values()
            .filter(|at| now < **at + PARTITION_MEMORY);
        let seen = 1.0 + self.serving_neighbors.len() as f64;
        seen / (seen + silent_neighbors.count() as f64)
    }
}

/// Returns the rank of an entry for a key, such as an endpoint's incarnation digest; all entries
/// compute the same.
pub(super) fn rank_of(entry: SocketAddr, key: u64) -> u64 {
    let ip = match entry {
        SocketAddr::V4(v4) => u64::from(u32::from(*v4.ip())),
        SocketAddr::V6(v6) => v6.ip().segments().iter().fold(0, |sum: u64, part| {
            sum.rotate_left(16).wrapping_add(u64::from(*part))
        }),
    };
    let address = mix_bits(ip ^ (u64::from(entry.port()) << 48));
    mix_bits(address ^ mix_bits(key))
}
