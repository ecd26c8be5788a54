//! Who is told what, how often, and at what bound.
//!
//! All peers of the own availability zone are told the own work in turn; entries of other zones, in turn as
//! well, are told the sum of the zone's work. Each of a zone's entries tells others, so that every
//! entry hears of each other zone about as often as of a neighbour. In a fleet small enough to be told
//! whole in each round all entries are neighbours, whatever their zones. What is told of work in a round is
//! bounded by bytes, whatever the size of the fleet: with larger datagrams fewer peers are told. Proofs
//! between watchers and answers to questions come on top, a hundred bytes each.

use std::net::SocketAddr;

use super::{Peer, PeerTable, WorkScope};
use crate::clock::Millis;

/// Time between two rounds of datagrams.
pub const ROUND_INTERVAL: Millis = Millis(150);
/// Neighbours told in one round, at most.
pub const NEIGHBORS_PER_ROUND: usize = 7;
/// Fewest neighbours told in one round, however large the datagrams.
const MIN_NEIGHBORS_PER_ROUND: usize = 2;
/// Entries of other zones told in one round: with five zones of twenty entries each zone is heard every
/// 0.3 s.
pub const REMOTES_PER_ROUND: usize = 2;
/// Bytes that an instance may spend on control in a round: 28 KB a second.
pub const MAX_ROUND_BYTES: usize = (28 << 10) * ROUND_INTERVAL.0 as usize / 1_000;
/// Longest datagram to another zone, in bytes: with headers one packet on any path.
pub const MAX_REMOTE_BYTES: usize = 1_400;
/// Entries that watch the store in other zones and are told the own proof in each round, at most.
const WATCHERS_TOLD: usize = 4;
/// Silence after which a neighbour no longer counts as an entry, in a small fleet.
const SILENCE: Millis = Millis(4_000);
/// Turns of telling all neighbours, or of hearing a zone, in which one must be heard.
const SILENCE_TURNS: u64 = 6;
/// Silence after which an address is forgotten unless it is a seed, in a small fleet.
const FORGET: Millis = Millis(20_000);
/// Time after which a peer's word on its work no longer counts, in a small fleet: some rounds.
const WORD: Millis = Millis(1_500);
/// Turns after which it no longer counts.
const WORD_TURNS: u64 = 3;
/// Turns for which a placement is told.
const PLACED_TURNS: u64 = 2;
/// Turns for which what was learned of requests under suspicion is told.
const NOTICE_TURNS: u64 = 2;
/// Weight of earlier datagrams in the mean of their bytes, against 1 for the newest.
const BYTES_WEIGHT: usize = 7;

/// One datagram of a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tell {
    /// The receiver.
    pub to: SocketAddr,
    /// Whose work it is told.
    pub work_scope: WorkScope,
}

impl PeerTable {
    /// The peers to tell in this round; `watches` says whether this entry watches the store.
    pub fn round(&mut self, watches: bool, now: Millis) -> Vec<Tell> {
        self.forget_silent(now);
        let near = self.addresses(|book, peer| book.is_near(peer));
        let far = self.addresses(|book, peer| !book.is_near(peer));
        (self.near_count, self.far_count) = (near.len(), far.len());
        let tells = |work_scope| move |to| Tell { to, work_scope };
        let most = self.near_per_round();
        let told = take_turn(&near, &mut self.near_turn, most);
        let mut round: Vec<Tell> = told.into_iter().map(tells(WorkScope::Sender)).collect();
        let told = take_turn(&far, &mut self.far_turn, REMOTES_PER_ROUND);
        round.extend(told.into_iter().map(tells(WorkScope::Zone)));
        if watches {
            // Proofs pass between the zones' watchers, so that the store is asked once for all.
            let watchers = self.addresses(|book, peer| peer.watches && !book.is_near(peer));
            let told = take_turn(&watchers, &mut self.watcher_turn, WATCHERS_TOLD);
            round.extend(told.into_iter().map(tells(WorkScope::Nothing)));
        }
        round
    }

    /// A datagram of a round took this many bytes; the next rounds keep the bound.
    pub fn record_sent_bytes(&mut self, work_scope: WorkScope, bytes: usize) {
        match work_scope {
            WorkScope::Sender => self.near_bytes = mean_bytes(self.near_bytes, bytes),
            WorkScope::Zone => self.far_bytes = mean_bytes(self.far_bytes, bytes),
            WorkScope::Nothing => {}
        }
    }

    /// Mean time for which what another entry does stays unseen here; 0 without peers.
    pub fn visibility_delay(&self, now: Millis) -> Millis {
        let near = self.near_cycle();
        let turns = near + self.zone_interval(now);
        Millis(turns.0 / 2)
    }

    /// Time since which placements are told: some turns, so that lost datagrams are made up for. In a
    /// fleet of one cell all that are remembered: nobody passes them on, and parts of prompts would be read again.
    pub fn placements_since(&self, work_scope: WorkScope, now: Millis) -> Millis {
        if self.far_count == 0 {
            return Millis(0);
        }
        let turn = match work_scope {
            WorkScope::Sender | WorkScope::Nothing => self.near_cycle(),
            WorkScope::Zone => self.near_cycle() + self.zone_interval(now),
        };
        now - Millis(turn.0 * PLACED_TURNS)
    }

    /// Time since which what was learned of requests under suspicion is told in a round: two turns, so that a lost datagram
    /// is made up for. Peers pass it on in theirs.
    pub fn notices_since(&self, work_scope: WorkScope, now: Millis) -> Millis {
        let turn = match work_scope {
            WorkScope::Sender | WorkScope::Nothing => self.near_cycle(),
            WorkScope::Zone => self.near_cycle() + self.zone_interval(now),
        };
        now - Millis(turn.0.max(ROUND_INTERVAL.0) * NOTICE_TURNS)
    }

    /// The peers to tell at once, between two rounds.
    pub fn immediate_targets(&mut self) -> Vec<SocketAddr> {
        let near = self.addresses(|book, peer| book.is_near(peer));
        let far = self.addresses(|book, peer| !book.is_near(peer));
        let mut told = take_turn(&near, &mut self.near_at_once, NEIGHBORS_PER_ROUND);
        told.extend(take_turn(&far, &mut self.far_at_once, REMOTES_PER_ROUND));
        told
    }

    /// Time for which a neighbour's word on its work counts.
    pub fn neighbor_report_ttl(&self) -> Millis {
        WORD.max(Millis(self.near_cycle().0 * WORD_TURNS))
    }

    /// Time for which a word on another zone's work counts.
    pub fn zone_report_ttl(&self, now: Millis) -> Millis {
        let turn = self.near_cycle() + self.zone_interval(now);
        WORD.max(Millis(turn.0 * WORD_TURNS))
    }

    /// Whether a peer is told the own work, and told of one by one: it is of the own zone, or of one
    /// that is not known, or the fleet is small.
    pub(super) fn is_near(&self, peer: &Peer) -> bool {
        let is_small = self.peers.len() <= NEIGHBORS_PER_ROUND;
        let is_own = |zone| self.zone.is_none_or(|own| own == zone);
        is_small || peer.zone.is_none_or(is_own)
    }

    /// Silence after which a neighbour no longer counts.
    pub(super) fn silence(&self) -> Millis {
        SILENCE.max(Millis(self.near_cycle().0 * SILENCE_TURNS))
    }

    /// Silence after which a peer that is heard again counts as new: those of other zones are heard
    /// one by one more seldom.
    pub(super) fn new_after(&self) -> Millis {
        let far = Millis(ROUND_INTERVAL.0 * self.far_count as u64);
        self.silence().max(far)
    }

    /// Silence after which what was told of another zone no longer counts.
    pub(super) fn zone_silence(&self, now: Millis) -> Millis {
        let turn = self.near_cycle() + self.zone_interval(now);
        SILENCE.max(Millis(turn.0 * SILENCE_TURNS))
    }

    /// Time in which every neighbour is told once.
    pub(super) fn near_cycle(&self) -> Millis {
        let near = self
            .peers
            .values()
            .filter(|peer| self.is_near(peer))
            .count();
        Millis(ROUND_INTERVAL.0 * near.div_ceil(self.near_per_round()) as u64)
    }

    /// Mean time between two datagrams from one other zone; 0 without other zones.
    fn zone_interval(&self, now: Millis) -> Millis {
        let far = self
            .peers
            .values()
            .filter(|peer| !self.is_near(peer))
            .count();
        let zones = self.zones.heard(now, FORGET).count().max(1);
        let tellers = (far / zones).max(1);
        Millis((ROUND_INTERVAL.0 as usize * far / (REMOTES_PER_ROUND * tellers)) as u64)
    }

    /// Neighbours told in one round, as far as the bound on bytes allows.
    fn near_per_round(&self) -> usize {
        let left = MAX_ROUND_BYTES.saturating_sub(REMOTES_PER_ROUND * self.far_bytes);
        let most = left / self.near_bytes.max(1);
        most.clamp(MIN_NEIGHBORS_PER_ROUND, NEIGHBORS_PER_ROUND)
    }

    /// Forgets peers that have not been heard for some turns.
    fn forget_silent(&mut self, now: Millis) {
        let far = self.peers.len().div_ceil(REMOTES_PER_ROUND) as u64;
        let forget = FORGET.max(Millis(ROUND_INTERVAL.0 * far * WORD_TURNS));
        self.peers.retain(|_, peer| {
            let last = peer.heard.unwrap_or(peer.known_since);
            peer.is_seed || now - last < forget
        });
    }

    fn addresses(&self, wanted: impl Fn(&Self, &Peer) -> bool) -> Vec<SocketAddr> {
        let peers = self.peers.iter();
        let wanted = peers.filter(|(_, peer)| wanted(self, peer));
        wanted.map(|(address, _)| *address).collect()
    }
}

/// The next `most` of `all` after `turn`, which moves on.
pub(super) fn take_turn(all: &[SocketAddr], turn: &mut usize, most: usize) -> Vec<SocketAddr> {
    let count = all.len().min(most);
    let start = *turn;
    *turn = turn.wrapping_add(count);
    (0..count).map(|i| all[(start + i) % all.len()]).collect()
}

/// The mean of the bytes of datagrams, with one more.
fn mean_bytes(mean: usize, bytes: usize) -> usize {
    (mean * BYTES_WEIGHT + bytes).div_ceil(BYTES_WEIGHT + 1)
}
