//! Rate limit for endpoints that are warming up.
//!
//! An endpoint that has just started, or lost its state, breaks down if all entries rush to it,
//! because it looks idle to each of them. So its rate is divided among the entries before anything
//! is sent: each computes its own share from a hash and the largest fleet size that it has seen.
//! Entries need not communicate for this, so the bound also holds for entries that don't see each
//! other or are cut off.
//!
//! It guards against releases, lost zones and crashes under load, where some endpoints come back
//! empty next to others that have a queue.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::direct::peers::PeerId;

/// Fraction of the rate that warming endpoints can take which all entries together are meant to
/// use; the rest is for entries that have seen less of the fleet than others.
const USED_FRACTION: f64 = 0.75;
/// Number of standard deviations between the mean rate and the bound. Shares below one request per
/// second are assigned at random, so the number of entries that have one is distributed like a
/// Poisson count; with 4.5, it exceeds the bound at one endpoint in 30,000.
const RATE_DEVIATIONS: f64 = 4.5;
/// Fleet size assumed while fewer entries have been seen; after a start, the others are heard of
/// within a few rounds.
const ASSUMED_FLEET_SIZE: usize = 64;
/// Time after its start in which an entry may not have heard of all others yet.
const PEER_DISCOVERY_TIME: Millis = Millis(1_500);
/// Window over which requests are counted: one second, plus the amount by which network delays may
/// compress it.
const RATE_WINDOW: Millis = Millis(1_100);
/// Time after an endpoint's warm-up over which entries, one by one, start to treat it as any other.
/// It is idle and empty then: if all did so at once they would rush to it, and its most urgent
/// streams would be late.
const PHASE_IN: Millis = Millis(1_500);
/// Number of sends that are remembered for one endpoint; a share is never larger.
const MAX_SENDS: usize = 32;

/// How the endpoints of a pool warm up.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WarmUp {
    /// Duration of the warm-up.
    pub time: Millis,
    /// Requests per second that an endpoint can take meanwhile.
    pub per_s: f64,
}

/// Largest number of serving entries that this entry has seen.
#[derive(Debug, Clone, Copy, Default)]
pub struct FleetSize {
    largest_seen: usize,
}

impl FleetSize {
    /// Records the number of entries that serve now, including this one.
    pub fn observe(&mut self, entries: usize) {
        self.largest_seen = self.largest_seen.max(entries);
    }

    /// Number of entries among which to divide an endpoint's rate, at an entry that has run for
    /// `age`: the largest number ever seen, since entries that are not visible now may only be cut
    /// off. If `has_others` (the settings name other entries) and this entry has heard of none, or
    /// may not have heard of all yet, at least [`ASSUMED_FLEET_SIZE`] is assumed.
    pub fn sharers(&self, age: Millis, has_others: bool) -> usize {
        if has_others && (age < PEER_DISCOVERY_TIME || self.largest_seen <= 1) {
            self.largest_seen.max(ASSUMED_FLEET_SIZE)
        } else {
            self.largest_seen.max(1)
        }
    }
}

/// Excess that operators allow over the rate that endpoints can take while they warm up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Excess {
    /// Factor on the rate that an endpoint can take, giving the requests allowed in any second.
    pub ratio: f64,
    /// Additional requests allowed in any second.
    pub extra: f64,
}

impl WarmUp {
    /// Mean number of requests per second that all entries together are meant to send to one
    /// endpoint.
    fn mean_rate(self, excess: Excess) -> f64 {
        let bound = self.per_s * excess.ratio + excess.extra;
        let half = RATE_DEVIATIONS / 2.0;
        // The mean `m` for which `m + RATE_DEVIATIONS * sqrt(m)` equals the bound.
        let root = (half * half + bound.max(0.0)).sqrt() - half;
        (root * root).min(self.per_s * USED_FRACTION)
    }
}

/// Requests per second that `entry`, one of `sharers` entries, may send to the endpoint with this
/// digest while it warms up; 0 if this entry has no share.
pub fn share(warm_up: WarmUp, excess: Excess, sharers: usize, entry: PeerId, digest: u32) -> usize {
    let mean = warm_up.mean_rate(excess) / sharers.max(1) as f64;
    let whole = mean.floor();
    let uniform_hash = uniform_hash(entry, digest);
    let extra_request = usize::from(uniform_hash < mean - whole);
    (whole as usize + extra_request).min(MAX_SENDS)
}

/// Time until which `entry` keeps to its share of the endpoint with this digest, which is warm at
/// `warm_at`; it differs between entries.
pub fn shared_until(warm_until: Millis, entry: PeerId, digest: u32) -> Millis {
    let delay = PHASE_IN.0 as f64 * uniform_hash(entry, !digest);
    warm_until + Millis(delay as u64)
}

/// Hash of an entry and an endpoint, as a number from 0 to 1.
fn uniform_hash(entry: PeerId, digest: u32) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&entry.0.to_be_bytes());
    hasher.update(&digest.to_be_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(head) as f64 / u64::MAX as f64
}

/// Times of this entry's recent requests to one endpoint. All requests are counted, including those
/// sent before the endpoint was known to warm up.
#[derive(Debug, Clone, Default)]
pub struct RecentSends(VecDeque<Millis>);

impl RecentSends {
    /// Records that a request is sent.
    pub fn note(&mut self, now: Millis) {
        if self.0.len() == MAX_SENDS {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Whether one more request stays within `share` requests in any second.
    pub fn allows(&self, share: usize, now: Millis) -> bool {
        let sends_in_window = self.0.iter().filter(|at| now < **at + RATE_WINDOW);
        sends_in_window.count() < share
    }
}
