//! Endpoints that warm up: how many requests one entry may send there.
//!
//! An endpoint that has just started, or lost what it had, breaks down when all entries rush to it; it
//! looks idle to each of them. So its rate is shared out before anything is sent: each entry computes
//! its own share by itself, from a hash and the largest fleet that it has seen. Nothing is told, so
//! entries that don't see each other, or are cut off, keep the bound together as well.
//!
//! Load pattern: a release, a lost zone or a crash under load, where some endpoints come back empty beside
//! others that have a queue.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::direct::peers::PeerId;

/// Part of the rate that endpoints bear while they warm up which all entries together are meant to use; the rest
/// is left for entries that have seen less of the fleet than others.
const USED_PART: f64 = 0.75;
/// Standard deviations between the mean rate and the bound. Shares of fewer than one request a second are dealt by
/// lot, so the number of entries that have one varies like a Poisson count; with 4.5 more than the bound
/// allows have one at one endpoint of 30,000.
const DEVIATIONS: f64 = 4.5;
/// Entries that are assumed while fewer have been seen: after a start others are heard within some rounds.
const UNSEEN_FLEET: usize = 64;
/// Time after its start in which an entry may not have heard of all others yet.
const FIND_PEERS: Millis = Millis(1_500);
/// Span over which requests are counted: a second, and what the way to the endpoint may shorten it by.
const SPAN: Millis = Millis(1_100);
/// Time after its warm-up over which entries, one by one, take an endpoint for like any other. It is idle and empty
/// then: all at once would rush to it, and its most urgent streams come late.
const PHASE_IN: Millis = Millis(1_500);
/// Sends that are remembered for one endpoint; a share is never larger.
const MOST_SENDS: usize = 32;

/// How the endpoints of a pool warm up.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WarmUp {
    /// Time that it takes.
    pub time: Millis,
    /// Requests a second that an endpoint bears meanwhile.
    pub per_s: f64,
}

/// The fleet as far as its size matters here.
#[derive(Debug, Clone, Copy, Default)]
pub struct FleetSize {
    most: usize,
}

impl FleetSize {
    /// So many entries serve now, this one included.
    pub fn observe(&mut self, entries: usize) {
        self.most = self.most.max(entries);
    }

    /// Entries that share an endpoint's rate, at an entry that runs for `age`: the most that were ever
    /// seen, since those that are not seen now may only be cut off. An entry that `has_others` by its settings
    /// and has heard of none, or may not have heard of all, assumes many.
    pub fn sharers(&self, age: Millis, has_others: bool) -> usize {
        if has_others && (age < FIND_PEERS || self.most <= 1) {
            self.most.max(UNSEEN_FLEET)
        } else {
            self.most.max(1)
        }
    }
}

/// What operators allow beyond the rate that endpoints bear while they warm up.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Excess {
    /// Requests in any second by those that an endpoint bears.
    pub ratio: f64,
    /// Requests in any second besides.
    pub extra: f64,
}

impl WarmUp {
    /// Requests a second that all entries together are meant to send to one endpoint.
    fn mean_rate(self, excess: Excess) -> f64 {
        let bound = self.per_s * excess.ratio + excess.extra;
        let half = DEVIATIONS / 2.0;
        // The mean m for which m + DEVIATIONS * sqrt(m) is the bound.
        let root = (half * half + bound.max(0.0)).sqrt() - half;
        (root * root).min(self.per_s * USED_PART)
    }
}

/// Requests a second that `entry`, one of `sharers`, may send to the endpoint with this digest while
/// that warms up.
pub fn share(warm_up: WarmUp, excess: Excess, sharers: usize, entry: PeerId, digest: u32) -> usize {
    let mean = warm_up.mean_rate(excess) / sharers.max(1) as f64;
    let whole = mean.floor();
    let lot = lot(entry, digest);
    let dealt = usize::from(lot < mean - whole);
    (whole as usize + dealt).min(MOST_SENDS)
}

/// Until when `entry` keeps to its share of an endpoint with this digest, which is warm at `warm_until`: another
/// time for each entry.
pub fn shared_until(warm_until: Millis, entry: PeerId, digest: u32) -> Millis {
    let wait = PHASE_IN.0 as f64 * lot(entry, !digest);
    warm_until + Millis(wait as u64)
}

/// A number from 0 to 1 that is another one for each entry and endpoint.
fn lot(entry: PeerId, digest: u32) -> f64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&entry.0.to_be_bytes());
    hasher.update(&digest.to_be_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_be_bytes(head) as f64 / u64::MAX as f64
}

/// Requests that this entry sent to one endpoint lately. All are counted, also those from before it was
/// known to warm up.
#[derive(Debug, Clone, Default)]
pub struct RecentSends(VecDeque<Millis>);

impl RecentSends {
    /// A request is sent.
    pub fn note(&mut self, now: Millis) {
        if self.0.len() == MOST_SENDS {
            self.0.pop_front();
        }
        self.0.push_back(now);
    }

    /// Whether one more keeps within `share` requests in any second.
    pub fn allows(&self, share: usize, now: Millis) -> bool {
        let recent = self.0.iter().filter(|at| now < **at + SPAN);
        recent.count() < share
    }
}
