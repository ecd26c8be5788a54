//! Which entry decides for an endpoint what no entry can decide alone.
//!
//! Entries rank each other by a hash of address and endpoint, those of the endpoint's availability zone first: whoever is cut
//! off from that zone can't reach the endpoint either. The first that serves is the coordinator. Only its own view counts, and
//! the entries of one zone hear each other often; others ask by what they know and are told of the right one.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::{Peer, PeerTable, ZoneId};
use crate::clock::Millis;
use crate::mix_bits::mix_bits;

/// Silence after which an entry of the own zone no longer counts as a coordinator.
const SILENCE: Millis = Millis(1_000);
/// Turns of telling all neighbours in which one must be heard.
const SILENCE_TURNS: u64 = 4;
/// Time since the own start in which others may not have been heard yet.
const FIND_PEERS: Millis = Millis(1_500);
/// Entries that are assumed while there are others by the settings and none was ever heard.
const UNSEEN_FLEET: f64 = 64.0;
/// Time since the own start after which an entry that has heard no other is taken for the only one.
const ALONE: Millis = Millis(10_000);
/// Time for which a neighbour that fell silent may decide elsewhere, in another part of the fleet.
const MISSED: Millis = Millis(60_000);
/// Time without a change of who serves after which no other entry decides by an older view.
const SETTLED: Millis = Millis(1_000);

/// The entry that decides for an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Coordinator {
    /// This one.
    Own {
        /// The part of the entries that it sees: others may decide for the rest, in another part of the fleet.
        visible_share: f64,
        /// Whether who serves has not changed lately.
        is_settled: bool,
    },
    /// A peer.
    Peer(SocketAddr),
    /// Not known yet.
    Unknown,
}

/// The entries of another zone.
enum OtherZone {
    /// There are none, or the zone is the own one.
    None,
    /// Some serve.
    Serves,
    /// They fell silent lately: they decide on, in another part of the fleet, or have all ended.
    Silent,
}

impl PeerTable {
    /// The coordinator of an endpoint in a zone, at an entry that runs since `started`. Among the entries of another zone those
    /// that `is_unanswered` are passed over; that never makes this entry the coordinator.
    pub fn coordinator(
        &self,
        endpoint: u32,
        zone: Option<ZoneId>,
        started: Millis,
        now: Millis,
        is_unanswered: impl Fn(SocketAddr) -> bool,
    ) -> Coordinator {
        let has_others = !self.peers.is_empty();
        if has_others && now < started + FIND_PEERS {
            return Coordinator::Unknown;
        }
        match self.other_zone(zone, now) {
            OtherZone::Serves => {
                let of_zone = self.first(endpoint, now, &is_unanswered, |peer| peer.zone == zone);
                return of_zone.map_or(Coordinator::Unknown, |(_, peer)| Coordinator::Peer(peer));
            }
            OtherZone::Silent => return Coordinator::Unknown,
            OtherZone::None => {}
        }
        let wants_zone = zone.is_some() && zone == self.zone;
        let is_wanted = |peer: &Peer| !wants_zone || peer.zone == zone;
        let peer = self.first(endpoint, now, &|_| false, is_wanted);
        match peer {
            Some((weight, peer)) if weight > weight_of(self.own, endpoint) => {
                Coordinator::Peer(peer)
            }
            _ if self.is_leaving => {
                let any = || self.first(endpoint, now, &|_| false, |_| true);
                let peer = peer.or_else(any);
                peer.map_or(Coordinator::Unknown, |(_, peer)| Coordinator::Peer(peer))
            }
            _ => Coordinator::Own {
                visible_share: self.visible_share(started, now),
                is_settled: now >= self.changed + SETTLED,
            },
        }
    }

    /// Notes whether other entries serve than in the last round, and whether this one still does.
    pub fn update_serving_peers(&mut self, is_leaving: bool, now: Millis) {
        let serving = self.serving_peers(now);
        let near = serving.filter(|(_, peer)| self.is_near(peer));
        let serving: BTreeSet<SocketAddr> = near.map(|(address, _)| address).collect();
        if serving != self.deciding || is_leaving != self.is_leaving {
            self.note_missed(&serving, now);
            self.deciding = serving;
            self.is_leaving = is_leaving;
            self.changed = now;
        }
    }

    /// Notes the neighbours that fell silent without a word, and may decide in another part of the fleet.
    fn note_missed(&mut self, serving: &BTreeSet<SocketAddr>, now: Millis) {
        self.missed
            .retain(|peer, at| !serving.contains(peer) && now < *at + MISSED);
        let silent = self.deciding.difference(serving);
        let is_leaving = |peer: &SocketAddr| self.peers.get(peer).is_some_and(|p| p.leaving);
        let missed = silent
            .filter(|peer| !is_leaving(peer))
            .map(|peer| (*peer, now));
        self.missed.extend(missed);
    }

    /// What is known of the entries of an endpoint's zone, where that is another one.
    fn other_zone(&self, zone: Option<ZoneId>, now: Millis) -> OtherZone {
        let Some(zone) = zone.filter(|zone| self.zone != Some(*zone)) else {
            return OtherZone::None;
        };
        let mut near = self
            .serving_peers(now)
            .filter(|(_, peer)| self.is_near(peer));
        if near.any(|(_, peer)| peer.zone == Some(zone)) {
            return OtherZone::Serves;
        }
        if self.peers.values().all(|peer| self.is_near(peer)) {
            return OtherZone::None;
        }
        match self.zones.is_heard(zone, now, self.zone_silence(now)) {
            true => OtherZone::Serves,
            false if self.zones.is_heard(zone, now, MISSED) => OtherZone::Silent,
            false => OtherZone::None,
        }
    }

    /// The first of the peers that serve and are wanted, with its weight.
    fn first(
        &self,
        endpoint: u32,
        now: Millis,
        is_unanswered: &impl Fn(SocketAddr) -> bool,
        is_wanted: impl Fn(&Peer) -> bool,
    ) -> Option<(u64, SocketAddr)> {
        let serving = self.serving_peers(now);
        let wanted = serving.filter(|(address, peer)| is_wanted(peer) && !is_unanswered(*address));
        wanted
            .map(|(address, _)| (weight_of(address, endpoint), address))
            .max()
    }

    /// The peers that serve, as far as known: neighbours are heard often, others seldom.
    fn serving_peers(&self, now: Millis) -> impl Iterator<Item = (SocketAddr, &Peer)> {
        let silence = SILENCE.max(Millis(self.near_cycle().0 * SILENCE_TURNS));
        let is_heard = move |peer: &Peer| {
            let is_fresh = |at: Millis| !self.is_near(peer) || now < at + silence;
            peer.heard.is_some_and(is_fresh)
        };
        let peers = self.peers.iter().map(|(address, peer)| (*address, peer));
        peers.filter(move |(_, peer)| !peer.leaving && is_heard(peer))
    }

    /// The part of the neighbours that are heard, of all that were heard lately and did not say that they stop.
    fn visible_share(&self, started: Millis, now: Millis) -> f64 {
        let heard_any = self.peers.values().any(|peer| peer.heard.is_some());
        if !heard_any && !self.peers.is_empty() && now < started + ALONE {
            return 1.0 / UNSEEN_FLEET;
        }
        let missed = self.missed.values().filter(|at| now < **at + MISSED);
        let seen = 1.0 + self.deciding.len() as f64;
        seen / (seen + missed.count() as f64)
    }
}

/// The weight of an entry for an endpoint, by the digest of its life: the same at all entries.
fn weight_of(entry: SocketAddr, endpoint: u32) -> u64 {
    let ip = match entry {
        SocketAddr::V4(v4) => u64::from(u32::from(*v4.ip())),
        SocketAddr::V6(v6) => v6.ip().segments().iter().fold(0, |sum: u64, part| {
            sum.rotate_left(16).wrapping_add(u64::from(*part))
        }),
    };
    let address = mix_bits(ip ^ (u64::from(entry.port()) << 48));
    mix_bits(address ^ mix_bits(u64::from(endpoint)))
}
