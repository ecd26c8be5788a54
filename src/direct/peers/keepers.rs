//! Which entries keep a record for others, so that it outlives the one that made it, and which are
//! asked for it.
//!
//! Entries are ranked by a hash of their address and the record's key, in each availability zone
//! apart. One keeper is in the own zone, where callers most likely come again, and one in another
//! zone. Whoever looks for a record does not know which entry made it, and may see other peers, so it
//! asks more than one in each zone.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::coordinator::rank_of;
use super::{PeerTable, ZoneId};
use crate::clock::Millis;

/// Number of peers that keep a record.
const KEEPERS: usize = 2;
/// Number of entries that judge parts of prompts.
const JUDGES: usize = 3;
/// Key by which these are ranked.
const JUDGES_KEY: u64 = 0;
/// Number of entries that are asked in each zone: the highest-ranked one may have made the record,
/// and given it to the next.
const ASKED_PER_ZONE: usize = 2;
/// The same in a fleet of a single zone, where both keepers are.
const ASKED_IN_ONLY_ZONE: usize = KEEPERS + 1;

impl PeerTable {
    /// The peers that keep the record with this key for this entry.
    pub fn keepers(&self, key: u64, now: Millis) -> Vec<SocketAddr> {
        let by_zone = self.ranked_by_zone(key, now);
        if let (1, Some(only)) = (by_zone.len(), by_zone.values().next()) {
            return addresses(only, KEEPERS);
        }
        let mut first_of_zones: Vec<(bool, u64, SocketAddr)> = by_zone
            .iter()
            .filter_map(|(zone, ranked)| {
                let (rank, address) = *ranked.first()?;
                Some((*zone == self.zone, rank, address))
            })
            .collect();
        first_of_zones.sort_by_key(|first| Reverse(*first));
        let keepers = first_of_zones.into_iter().map(|(_, _, address)| address);
        keepers.take(KEEPERS).collect()
    }

    /// The peers that may keep the record with this key, whichever entry made it.
    pub fn possible_keepers(&self, key: u64, now: Millis) -> Vec<SocketAddr> {
        let by_zone = self.ranked_by_zone(key, now);
        let is_only = by_zone.keys().all(|zone| *zone == self.zone);
        let count = if is_only {
            ASKED_IN_ONLY_ZONE
        } else {
            ASKED_PER_ZONE
        };
        let asked = by_zone.values().map(|ranked| addresses(ranked, count));
        asked.flatten().collect()
    }

    /// The entries that judge parts of prompts: the highest-ranked of the fleet. Holds the peers
    /// among them, and whether this entry is one.
    pub fn judges(&self, now: Millis) -> (Vec<SocketAddr>, bool) {
        let peers = self.serving_peers(now).map(|(address, _)| address);
        let mut ranked: Vec<(u64, SocketAddr)> = peers
            .chain([self.own])
            .map(|address| (rank_of(address, JUDGES_KEY), address))
            .collect();
        ranked.sort_unstable_by_key(|entry| Reverse(*entry));
        let judges = addresses(&ranked, JUDGES);
        let is_own = judges.contains(&self.own);
        let peers = judges.into_iter().filter(|address| *address != self.own);
        (peers.collect(), is_own)
    }

    /// Whether this entry is the highest-ranked one for a key.
    pub fn is_first(&self, key: u64, now: Millis) -> bool {
        let own = rank_of(self.own, key);
        let mut peers = self.serving_peers(now);
        peers.all(|(address, _)| rank_of(address, key) < own)
    }

    /// The serving peers of each zone, the highest-ranked first.
    fn ranked_by_zone(
        &self,
        key: u64,
        now: Millis,
    ) -> BTreeMap<Option<ZoneId>, Vec<(u64, SocketAddr)>> {
        let mut by_zone: BTreeMap<Option<ZoneId>, Vec<(u64, SocketAddr)>> = BTreeMap::new();
        for (address, peer) in self.serving_peers(now) {
            let ranked = by_zone.entry(peer.zone).or_default();
            ranked.push((rank_of(address, key), address));
        }
        for ranked in by_zone.values_mut() {
            ranked.sort_by_key(|entry| Reverse(*entry));
        }
        by_zone
    }
}

fn addresses(ranked: &[(u64, SocketAddr)], count: usize) -> Vec<SocketAddr> {
    let first = ranked.iter().take(count);
    first.map(|(_, address)| *address).collect()
}
