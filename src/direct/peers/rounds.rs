//! Gossip rounds: which peers are sent what, how often, and within which limits.
//!
//! Every peer of the own availability zone (a neighbor) is sent the own work in turn. Entries of
//! other zones (remote entries) are sent the sum of the own zone's work, in turn as well. The
//! entries of a zone send to different remote entries, so every entry hears from each other zone
//! about as often as from a neighbor. In a fleet that is small enough to be reached whole in each
//! round all entries are neighbors, whatever their zones.
//!
//! The bytes spent on work in a round are limited, whatever the size of the fleet: with larger
//! datagrams fewer peers are reached. Proofs between watchers and replies to peers that ask for one
//! come on top, a hundred bytes each.

use std::net::SocketAddr;

use super::{Peer, PeerTable, StoreRole, WorkScope};
use crate::clock::Millis;

/// Time between two rounds of datagrams.
pub const ROUND_INTERVAL: Millis = Millis(150);
/// Maximum number of neighbors that are sent to in one round.
pub const NEIGHBORS_PER_ROUND: usize = 7;
/// Minimum number of neighbors that are sent to in one round, however large the datagrams.
const MIN_NEIGHBORS_PER_ROUND: usize = 2;
/// Remote entries that are sent to in one round. With five zones of twenty entries each zone is
/// heard every 0.3 s.
pub const REMOTES_PER_ROUND: usize = 2;
/// Bytes that an instance may spend on control traffic in a round: 28 KB a second.
pub const MAX_ROUND_BYTES: usize = (28 << 10) * ROUND_INTERVAL.0 as usize / 1_000;
/// Longest datagram to a remote entry, in bytes: with headers it fits one packet on any path.
pub const MAX_REMOTE_BYTES: usize = 1_400;
/// Maximum number of remote entries that watch the store and are sent the own proof in each round.
const MAX_WATCHERS_PER_ROUND: usize = 4;
/// Minimum silence after which a neighbor, or what a zone reported, no longer counts; longer in a
/// large fleet, see [`SILENCE_CYCLES`].
const MIN_SILENCE: Millis = Millis(4_000);
/// The same limit, in cycles through all neighbors (or times in which a zone is heard once).
const SILENCE_CYCLES: u64 = 6;
/// Minimum silence after which an address is dropped unless it is a seed; longer in a large fleet.
const MIN_FORGET_TIME: Millis = Millis(20_000);
/// Minimum time for which a peer's report of its work counts: some rounds. Longer in a large fleet,
/// see [`REPORT_TTL_CYCLES`].
const MIN_REPORT_TTL: Millis = Millis(1_500);
/// Cycles for which a report of work counts.
const REPORT_TTL_CYCLES: u64 = 3;
/// Cycles for which a placement is sent.
const PLACEMENT_CYCLES: u64 = 2;
/// Cycles for which a notice about a suspect request is sent.
const NOTICE_CYCLES: u64 = 2;
/// Weight of earlier datagrams in the running mean of their sizes, against 1 for the newest.
const MEAN_BYTES_WEIGHT: usize = 7;

/// One message to send in a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GossipTarget {
    /// The receiver.
    pub to: SocketAddr,
    /// Whose work the message reports.
    pub work_scope: WorkScope,
}

impl PeerTable {
    /// Starts a round: drops peers that fell silent and returns the messages to send. `watches`
    /// says whether this entry watches the store.
    pub fn round(&mut self, watches: bool, now: Millis) -> Vec<GossipTarget> {
        self.forget_silent(now);
        let neighbors = self.addresses(|table, peer| table.is_neighbor(peer));
        let remotes = self.addresses(|table, peer| !table.is_neighbor(peer));
        (self.neighbor_count, self.remote_count) = (neighbors.len(), remotes.len());
        self.update_watchers(watches, now);
        let to_target = |work_scope| move |to| GossipTarget { to, work_scope };
        let most = self.neighbors_per_round();
        let selected = next_in_rotation(&neighbors, &mut self.neighbor_cursor, most);
        let mut round: Vec<GossipTarget> = selected
            .into_iter()
            .map(to_target(WorkScope::Sender))
            .collect();
        let selected = next_in_rotation(&remotes, &mut self.remote_cursor, REMOTES_PER_ROUND);
        round.extend(selected.into_iter().map(to_target(WorkScope::Zone)));
        if watches {
            // Watchers of different zones exchange proofs, so that the store is asked once for all.
            let watchers = self.addresses(|table, peer| {
                peer.store_role == StoreRole::Watches && !table.is_neighbor(peer)
            });
            let selected =
                next_in_rotation(&watchers, &mut self.watcher_cursor, MAX_WATCHERS_PER_ROUND);
            round.extend(selected.into_iter().map(to_target(WorkScope::Nothing)));
        }
        round
    }

    /// Records the size of a datagram that was sent in a round, by which later rounds keep within
    /// [`MAX_ROUND_BYTES`].
    pub fn record_sent_bytes(&mut self, work_scope: WorkScope, bytes: usize) {
        match work_scope {
            WorkScope::Sender => {
                self.mean_neighbor_bytes = mean_bytes(self.mean_neighbor_bytes, bytes)
            }
            WorkScope::Zone => self.mean_remote_bytes = mean_bytes(self.mean_remote_bytes, bytes),
            WorkScope::Nothing => {}
        }
    }

    /// Mean time until what another entry does is known here; 0 without peers.
    pub fn visibility_delay(&self, now: Millis) -> Millis {
        let neighbor_cycle = self.neighbor_cycle();
        let delay = neighbor_cycle + self.zone_interval(now);
        Millis(delay.0 / 2)
    }

    /// Part of the other entries that are heard within a time, from 0 to 1; 1 without others.
    pub fn heard_fraction(&self, within: Millis) -> f64 {
        let rounds = within.0 as f64 / ROUND_INTERVAL.0 as f64;
        let heard = |count: usize, per_round: usize| (count as f64).min(rounds * per_round as f64);
        let (neighbors, remotes) = (self.neighbor_count, self.remote_count);
        match neighbors + remotes {
            0 => 1.0,
            all => {
                let neighbors = heard(neighbors, self.neighbors_per_round());
                (neighbors + heard(remotes, REMOTES_PER_ROUND)) / all as f64
            }
        }
    }

    /// Returns the time since which placements are sent: some cycles back, so that a lost datagram
    /// is made up for. In a fleet without remote entries it is 0, so all remembered placements are
    /// sent: nobody forwards them there, and an endpoint would read parts of prompts again that
    /// another one holds.
    pub fn placements_since(&self, work_scope: WorkScope, now: Millis) -> Millis {
        if self.remote_count == 0 {
            return Millis(0);
        }
        let cycle = match work_scope {
            WorkScope::Sender | WorkScope::Nothing => self.neighbor_cycle(),
            WorkScope::Zone => self.neighbor_cycle() + self.zone_interval(now),
        };
        now - Millis(cycle.0 * PLACEMENT_CYCLES)
    }

    /// Returns the time since which notices about suspect requests are sent in a round: two cycles
    /// back, so that a lost datagram is made up for. Peers forward notices in their own rounds.
    pub fn notices_since(&self, work_scope: WorkScope, now: Millis) -> Millis {
        let cycle = match work_scope {
            WorkScope::Sender | WorkScope::Nothing => self.neighbor_cycle(),
            WorkScope::Zone => self.neighbor_cycle() + self.zone_interval(now),
        };
        now - Millis(cycle.0.max(ROUND_INTERVAL.0) * NOTICE_CYCLES)
    }

    /// Returns the peers to send urgent notices to, between two rounds.
    pub fn immediate_targets(&mut self) -> Vec<SocketAddr> {
        let neighbors = self.addresses(|table, peer| table.is_neighbor(peer));
        let remotes = self.addresses(|table, peer| !table.is_neighbor(peer));
        let mut selected = next_in_rotation(
            &neighbors,
            &mut self.immediate_neighbor_cursor,
            NEIGHBORS_PER_ROUND,
        );
        selected.extend(next_in_rotation(
            &remotes,
            &mut self.immediate_remote_cursor,
            REMOTES_PER_ROUND,
        ));
        selected
    }

    /// Time for which a neighbor's report of its work counts.
    pub fn neighbor_report_ttl(&self) -> Millis {
        MIN_REPORT_TTL.max(Millis(self.neighbor_cycle().0 * REPORT_TTL_CYCLES))
    }

    /// Time for which a report of another zone's work counts.
    pub fn zone_report_ttl(&self, now: Millis) -> Millis {
        let cycle = self.neighbor_cycle() + self.zone_interval(now);
        MIN_REPORT_TTL.max(Millis(cycle.0 * REPORT_TTL_CYCLES))
    }

    /// Whether a peer is a neighbor, which is sent the own work and whose work is tracked by
    /// itself: it is of the own zone or of an unknown one, or the fleet is small.
    pub(super) fn is_neighbor(&self, peer: &Peer) -> bool {
        let is_small = self.peers.len() <= NEIGHBORS_PER_ROUND;
        let is_own = |zone| self.zone.is_none_or(|own| own == zone);
        is_small || peer.zone.is_none_or(is_own)
    }

    /// Silence after which a neighbor no longer counts as serving.
    pub(super) fn silence(&self) -> Millis {
        MIN_SILENCE.max(Millis(self.neighbor_cycle().0 * SILENCE_CYCLES))
    }

    /// Silence after which a peer that is heard again counts as new. Remote entries are heard one
    /// by one more seldom, so it grows with their number.
    pub(super) fn new_peer_silence(&self) -> Millis {
        let remote_cycle = Millis(ROUND_INTERVAL.0 * self.remote_count as u64);
        self.silence().max(remote_cycle)
    }

    /// Silence after which what was reported of another zone no longer counts.
    pub(super) fn zone_silence(&self, now: Millis) -> Millis {
        let cycle = self.neighbor_cycle() + self.zone_interval(now);
        MIN_SILENCE.max(Millis(cycle.0 * SILENCE_CYCLES))
    }

    /// Time in which every neighbor is heard, even if one datagram is lost.
    pub fn hearing_time(&self) -> Millis {
        Millis(self.neighbor_cycle().0 * 2)
    }

    /// Time in which every neighbor is sent to once.
    pub(super) fn neighbor_cycle(&self) -> Millis {
        let rounds = self.neighbor_count.div_ceil(self.neighbors_per_round());
        Millis(ROUND_INTERVAL.0 * rounds as u64)
    }

    /// Mean time between two datagrams from one other zone; 0 without other zones.
    fn zone_interval(&self, now: Millis) -> Millis {
        let remotes = self.remote_count;
        let zones = self.zones.entry_counts(now, MIN_FORGET_TIME).count().max(1);
        let senders = (remotes / zones).max(1);
        Millis((ROUND_INTERVAL.0 as usize * remotes / (REMOTES_PER_ROUND * senders)) as u64)
    }

    /// Neighbors that are sent to in one round, as the mean sizes of datagrams allow.
    fn neighbors_per_round(&self) -> usize {
        let left = MAX_ROUND_BYTES.saturating_sub(REMOTES_PER_ROUND * self.mean_remote_bytes);
        let most = left / self.mean_neighbor_bytes.max(1);
        most.clamp(MIN_NEIGHBORS_PER_ROUND, NEIGHBORS_PER_ROUND)
    }

    /// Drops peers other than seeds that have not been heard for some cycles through the whole
    /// fleet.
    fn forget_silent(&mut self, now: Millis) {
        let rounds = self.peers.len().div_ceil(REMOTES_PER_ROUND) as u64;
        let forget = MIN_FORGET_TIME.max(Millis(ROUND_INTERVAL.0 * rounds * REPORT_TTL_CYCLES));
        self.peers.retain(|_, peer| {
            let last = peer.last_heard.unwrap_or(peer.known_since);
            peer.is_seed || now - last < forget
        });
    }

    pub(super) fn addresses(&self, wanted: impl Fn(&Self, &Peer) -> bool) -> Vec<SocketAddr> {
        let peers = self.peers.iter();
        let wanted = peers.filter(|(_, peer)| wanted(self, peer));
        wanted.map(|(address, _)| *address).collect()
    }
}

/// Returns the next `most` of `all` from position `cursor` on, and advances the cursor.
pub(super) fn next_in_rotation(
    all: &[SocketAddr],
    cursor: &mut usize,
    most: usize,
) -> Vec<SocketAddr> {
    let count = all.len().min(most);
    let start = *cursor;
    *cursor = cursor.wrapping_add(count);
    (0..count).map(|i| all[(start + i) % all.len()]).collect()
}

/// Returns the running mean of datagram sizes after one more.
fn mean_bytes(mean: usize, bytes: usize) -> usize {
    (mean * MEAN_BYTES_WEIGHT + bytes).div_ceil(MEAN_BYTES_WEIGHT + 1)
}
