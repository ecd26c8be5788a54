//! Which entries watch the store. A few watch on behalf of all: the first ones of an order that all
//! entries compute alike, those with the fastest links first. In a fleet of several availability
//! zones each zone has its own watchers.
//!
//! The role is passed on in turns: if too few watch, the next ones in the order take over one by
//! one. If all entries began to watch at once whenever a watcher is lost, the calls to the store
//! would grow with the fleet.

use std::cmp::Reverse;
use std::net::SocketAddr;

use super::{GossipMessage, Peer, PeerTable, ROUND_INTERVAL};
use crate::clock::Millis;

/// Minimum number of entries that watch the store for all, in a fleet whose entries are all
/// neighbors.
const MIN_WATCHERS: usize = 2;
/// Entries per watcher in a fleet whose entries are all neighbors. It keeps what a watcher forwards
/// within the traffic that an instance may spend on control.
const ENTRIES_PER_WATCHER: usize = 16;
/// Entries that watch in each zone of a fleet of several zones, whatever the size of the zone: every
/// entry forwards changes there, and watchers of other zones stand in.
const WATCHERS_PER_ZONE: usize = 1;
/// Minimum silence after which a peer is not relied on for watching, on top of
/// [`WATCHER_TIMEOUT_CYCLES`]. It allows for some lost datagrams in a small fleet, and leaves time
/// within the bounds on changes for a watcher's pause between two watches.
const MIN_WATCHER_SILENCE: Millis = Millis(450);
/// Proof age from which a watcher is taken to be cut off from the store.
const MAX_WATCHER_PROOF_AGE: Millis = Millis(1_500);
/// Cycles through all neighbors within which a watcher must be heard.
const WATCHER_TIMEOUT_CYCLES: u64 = 2;
/// Own proof age from which watchers of all zones are asked for a younger one: those of the own
/// zone have had time to answer.
const ASK_OTHER_ZONES_AT: Millis = Millis(1_700);

/// What a peer's last message says of its contact with the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum StoreRole {
    /// It relies on others.
    #[default]
    Follows,
    /// It watches the store.
    Watches,
    /// It watches the store and has not heard from it for long.
    CutOff,
}

impl StoreRole {
    /// The role of the sender of a message.
    pub(super) fn of(message: &GossipMessage) -> Self {
        let proof = message.proof_age_ms.map(Millis);
        let is_proven = proof.is_some_and(|age| age < MAX_WATCHER_PROOF_AGE);
        match message.watches {
            false => Self::Follows,
            true if is_proven || message.reads_large => Self::Watches,
            true => Self::CutOff,
        }
    }
}

/// Neighbors that can be relied on, by their part in watching the store.
#[derive(Debug, Default)]
struct WatchOrder {
    /// Watchers that rank before this entry.
    watchers_before: usize,
    /// Watchers that rank after this entry.
    watchers_after: usize,
    /// Entries that rank before this one and follow others.
    followers_before: usize,
}

impl WatchOrder {
    const fn watchers(&self) -> usize {
        self.watchers_before + self.watchers_after
    }

    /// Number of entries that may take over the role before this one does.
    const fn before(&self) -> usize {
        self.watchers_before + self.followers_before
    }
}

impl PeerTable {
    /// Whether this entry is to watch the store: it is among the first of the order, or too few
    /// watch and it is its turn to stand in.
    pub fn should_watch(&self, now: Millis) -> bool {
        let wanted = self.wanted_watchers();
        let order = self.watch_order(now);
        if order.watchers_before >= wanted {
            return false;
        }
        let is_first = order.before() < wanted;
        is_first || self.watches || (order.watchers() < wanted && self.may_stand_in(&order, now))
    }

    /// Whether this entry is the next one to take over from a watcher that is missing: the store
    /// has answered it meanwhile, or all entries before it have had time to take over.
    fn may_stand_in(&self, order: &WatchOrder, now: Millis) -> bool {
        let Some(since) = self.watchers_missing_since else {
            return false;
        };
        let turns = (order.before() + 1).saturating_sub(self.wanted_watchers());
        let has_contact = self.store_answered_at.is_some_and(|at| at >= since);
        has_contact || now - since >= Millis(self.takeover_time().0 * turns as u64)
    }

    /// Records whether this entry watches the store, and since when too few do.
    pub(super) fn update_watchers(&mut self, watches: bool, now: Millis) {
        self.watches = watches;
        let watchers = self.watch_order(now).watchers() + usize::from(watches);
        self.watchers_missing_since = match watchers < self.wanted_watchers() {
            true => self.watchers_missing_since.or(Some(now)),
            false => None,
        };
    }

    /// Records that the store answered a call of this entry.
    pub fn record_store_answer(&mut self, now: Millis) {
        self.store_answered_at = Some(now);
    }

    /// Number of watchers of any zone that are heard and rank before this entry.
    pub fn watchers_before(&self, now: Millis) -> usize {
        let own = self.own_rank();
        let since = self.live_since(now);
        let before = self.peers.iter().filter(|(address, peer)| {
            peer.store_role == StoreRole::Watches
                && peer.is_live(since)
                && peer.watch_rank(**address) < own
        });
        before.count()
    }

    /// Returns the peer to ask for a younger proof than the own one of age `own_age`: one that
    /// watches the store, of the own zone unless there is none there or it has had time to answer.
    /// Without an own proof any peer's is welcome. `draw` selects one of several; `None` if there is
    /// no such peer.
    pub fn proof_source(
        &self,
        own_age: Option<Millis>,
        draw: usize,
        now: Millis,
    ) -> Option<SocketAddr> {
        let since = self.live_since(now);
        let is_watcher = |peer: &Peer| peer.store_role == StoreRole::Watches && !peer.leaving;
        let in_zone = self.addresses(|table, peer| {
            is_watcher(peer) && peer.is_live(since) && table.is_neighbor(peer)
        });
        let is_overdue = own_age.is_some_and(|age| age >= ASK_OTHER_ZONES_AT);
        let all = match own_age {
            None => self.addresses(|_, peer| peer.has_proof && peer.is_live(since)),
            Some(_) if in_zone.is_empty() || is_overdue => {
                self.addresses(|_, peer| is_watcher(peer))
            }
            Some(_) => in_zone,
        };
        (!all.is_empty()).then(|| all[draw % all.len()])
    }

    /// Whether a peer of any zone that was heard lately watches the store.
    pub fn has_watcher(&self, now: Millis) -> bool {
        let since = self.live_since(now);
        let mut peers = self.peers.values();
        peers.any(|peer| peer.store_role == StoreRole::Watches && peer.is_live(since))
    }

    /// Number of neighbors that were heard lately.
    pub fn live_neighbors(&self, now: Millis) -> usize {
        let since = self.live_since(now);
        let peers = self.peers.values();
        let live = peers.filter(|peer| peer.is_live(since) && self.is_neighbor(peer));
        live.count()
    }

    /// Whether any peer was heard lately, or none is known.
    pub fn hears_any(&self, now: Millis) -> bool {
        let since = self.live_since(now);
        self.peers.is_empty() || self.peers.values().any(|peer| peer.is_live(since))
    }

    /// Whether this entry knows neighbors and hears none of them.
    pub fn is_isolated(&self, now: Millis) -> bool {
        self.neighbor_count > 0 && self.live_neighbors(now) == 0
    }

    /// Number of neighbors that are known, as of the last round, heard or not.
    pub fn known_neighbors(&self) -> usize {
        self.neighbor_count
    }

    /// The neighbors that were heard lately, in relation to the own rank.
    fn watch_order(&self, now: Millis) -> WatchOrder {
        let own = self.own_rank();
        let since = self.live_since(now);
        let mut order = WatchOrder::default();
        let peers = self.peers.iter();
        for (address, peer) in peers.filter(|(_, peer)| self.is_neighbor(peer)) {
            if !peer.is_live(since) {
                continue;
            }
            let is_before = peer.watch_rank(*address) < own;
            match (peer.store_role, is_before) {
                (StoreRole::Watches, true) => order.watchers_before += 1,
                (StoreRole::Watches, false) => order.watchers_after += 1,
                (StoreRole::Follows, true) => order.followers_before += 1,
                (StoreRole::Follows, false) | (StoreRole::CutOff, _) => {}
            }
        }
        order
    }

    /// Time from which on a peer must have been heard to be relied on.
    fn live_since(&self, now: Millis) -> Millis {
        let cycles = Millis(self.neighbor_cycle().0 * WATCHER_TIMEOUT_CYCLES);
        now - (MIN_WATCHER_SILENCE + cycles)
    }

    /// Time in which all neighbors hear that an entry has begun to watch.
    fn takeover_time(&self) -> Millis {
        self.neighbor_cycle() + ROUND_INTERVAL
    }

    fn own_rank(&self) -> WatchRank {
        (Reverse(self.link_mbps), self.own_hash, self.own)
    }

    /// Number of entries that are to watch the store in the own zone.
    fn wanted_watchers(&self) -> usize {
        let neighbors = self.peers.values().filter(|peer| self.is_neighbor(peer));
        let neighbors = neighbors.count();
        if neighbors < self.peers.len() {
            return WATCHERS_PER_ZONE;
        }
        (neighbors + 1)
            .div_ceil(ENTRIES_PER_WATCHER)
            .max(MIN_WATCHERS)
    }
}

/// Rank of an entry for watching; the lowest ranks watch. The fastest link comes first, since only
/// a watcher reads the whole configuration from the store (4,200 routes take 1.1 s over 10 Mbit/s
/// and 0.07 s over 200). Among equal links the order is a hash, so that watchers are not all in the
/// zone with the lowest addresses.
type WatchRank = (Reverse<u32>, u64, SocketAddr);

impl Peer {
    /// Whether it was heard after a time and is not stopping.
    fn is_live(&self, since: Millis) -> bool {
        self.last_heard.is_some_and(|at| at > since) && !self.leaving
    }

    fn watch_rank(&self, address: SocketAddr) -> WatchRank {
        (Reverse(self.link_mbps), self.address_hash, address)
    }
}

/// Hash of an entry's address, alike at all entries.
pub(super) fn address_hash(address: SocketAddr) -> u64 {
    let hash = blake3::hash(address.to_string().as_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(head)
}
