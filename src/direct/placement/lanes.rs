//! Partition of a pool's endpoints between latency-sensitive streams and long prompts.
//!
//! An engine prefills prompts between the tokens of its streams, so a long prompt delays the
//! streams at the same engine. How many endpoints are reserved for latency-sensitive streams
//! follows from the load of the whole pool; which ones, from an order of the endpoints that is the
//! same at all entries. Entries that know different loads therefore disagree only about the last
//! endpoints of that order.
//!
//! Where the capacity of the pool's engines is known, the fastest endpoints are reserved, because
//! a prompt delays the streams at a slow one for longer, and as many as the streams need for what
//! an endpoint can carry.

use std::collections::HashSet;

use crate::clock::Millis;
use crate::direct::directory::EndpointKey;
use crate::direct::known::capacity::PoolCapacity;
use crate::direct::known::load;
use crate::direct::placement::candidate::{Candidate, CandidateState};
use crate::direct::placement::pause_risk::stream_capacity;

/// Fraction of an endpoint's slots that latency-sensitive streams are meant to fill: a step takes
/// twice as long in a full batch as in one that is a third full.
const STREAM_SLOT_FRACTION: f64 = 0.35;
/// Fraction of its time that an endpoint is meant to spend on prefill.
const PREFILL_TIME_FRACTION: f64 = 0.5;
/// Largest fraction of a small pool that is reserved for latency-sensitive streams. Beyond it, long
/// prompts concentrated on the remaining endpoints delay more streams than they would if spread
/// over all.
const MAX_STREAMING_FRACTION: f64 = 0.12;
/// The same for a pool of [`LARGE_POOL_ENDPOINTS`] or more, where the remaining endpoints have capacity
/// for the long prompts.
const MAX_STREAMING_FRACTION_LARGE: f64 = 0.3;
/// Number of endpoints up to which [`MAX_STREAMING_FRACTION`] applies.
const SMALL_POOL_ENDPOINTS: f64 = 55.0;
/// Number of endpoints from which [`MAX_STREAMING_FRACTION_LARGE`] applies; in between, the fraction is
/// interpolated.
const LARGE_POOL_ENDPOINTS: f64 = 180.0;

/// Fraction of the streams that a reserved endpoint can carry which it is meant to have, while the
/// other endpoints have capacity for the long prompts; the rest is for streams that arrive before
/// more endpoints can be reserved.
const CARRIED_FRACTION: f64 = 0.5;
/// Fraction of its time that an endpoint that is not reserved may have to spend on prefill because
/// others are reserved beyond what the streams need at least.
const MAX_PREFILL_TIME_FRACTION: f64 = 0.8;
/// Largest fraction of a mixed pool that is reserved for latency-sensitive streams.
const MAX_RESERVED_FRACTION: f64 = 0.3;
/// Relative time from which on an endpoint counts as slow.
const SLOW_RELATIVE_TIME: f64 = 1.5;
/// Fraction of slow endpoints from which on a pool counts as uneven. With fewer, single endpoints
/// under load would look like a difference in speed.
const UNEVEN_FRACTION: f64 = 0.2;
/// Added to an endpoint's relative time, in doublings, before its class is the whole part: up to 1.3
/// times the typical time is of the first class. Smaller differences are within the error of an
/// estimate, and entries would disagree about the order.
const SPEED_CLASS_TOLERANCE: f64 = 0.6;

/// The endpoints of a pool that are reserved for latency-sensitive streams; empty if the pool is
/// not partitioned.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamPartition {
    reserved: HashSet<EndpointKey>,
    /// Endpoints that may be reserved under another load.
    reservable: HashSet<EndpointKey>,
}

impl StreamPartition {
    /// Partitions the healthy endpoints in proportion to both kinds of load.
    /// `prefill_tokens_per_ms` is the number of prompt tokens that an endpoint prefills per
    /// millisecond. The result is empty if fewer than two endpoints are healthy, or if the streams
    /// need more endpoints than may be reserved.
    pub fn compute(states: &[CandidateState<'_>], prefill_tokens_per_ms: f64) -> Self {
        let mut healthy: Vec<&Candidate<'_>> = states
            .iter()
            .map(|state| &state.candidate)
            .filter(|candidate| !candidate.record.is_ejected())
            .collect();
        if healthy.len() < 2 {
            return Self::default();
        }
        healthy.sort_by_key(|candidate| candidate.endpoint.digest);
        let required = RequiredEndpoints::of(states, prefill_tokens_per_ms);
        if required.streaming > max_streaming_endpoints(healthy.len() as f64) {
            return Self::default();
        }
        let reserved_count = required.streaming_share() * healthy.len() as f64;
        let reserved_count = (reserved_count.round() as usize).clamp(1, healthy.len() - 1);
        Self {
            reserved: healthy[..reserved_count]
                .iter()
                .map(|candidate| candidate.key)
                .collect(),
            reservable: HashSet::new(),
        }
    }

    /// Partitions the healthy endpoints of a mixed pool by what engines with this capacity can
    /// carry; `pause` is the shortest allowed pause between events. At least one endpoint is
    /// reserved, and none if fewer than two are healthy.
    pub fn by_capacity(
        states: &[CandidateState<'_>],
        capacity: &PoolCapacity,
        pause: Millis,
    ) -> Self {
        let mut healthy: Vec<&CandidateState<'_>> = states
            .iter()
            .filter(|state| !state.candidate.record.is_ejected())
            .collect();
        if healthy.len() < 2 {
            return Self::default();
        }
        healthy.sort_by_key(|state| {
            let candidate = &state.candidate;
            (speed_class(candidate), candidate.endpoint.digest)
        });
        let most = ((healthy.len() as f64 * MAX_RESERVED_FRACTION) as usize).max(1);
        healthy.truncate(most);
        let reservable = healthy.iter().map(|state| state.candidate.key).collect();
        let mut needs = StreamNeeds::of(states, capacity);
        let mut reserved = HashSet::new();
        for state in healthy {
            let carried = stream_capacity(&state.candidate, capacity, pause);
            if !reserved.is_empty() && !needs.is_worth_reserving(state, carried) {
                break;
            }
            needs.reserve(state, carried);
            reserved.insert(state.candidate.key);
        }
        Self {
            reserved,
            reservable,
        }
    }

    /// Number of endpoints that are reserved.
    pub fn reserved_count(&self) -> usize {
        self.reserved.len()
    }

    /// Whether an endpoint of a mixed pool may be reserved under another load.
    pub fn may_be_reserved(&self, key: EndpointKey) -> bool {
        self.reservable.contains(&key)
    }

    /// Whether an endpoint is reserved for latency-sensitive streams.
    pub fn is_reserved(&self, key: EndpointKey) -> bool {
        self.reserved.contains(&key)
    }
}

/// Whether the endpoints of a pool differ in speed so much that it matters which ones serve
/// latency-sensitive streams.
pub fn is_uneven(states: &[CandidateState<'_>]) -> bool {
    let is_slow = |state: &&CandidateState<'_>| state.candidate.relative_time >= SLOW_RELATIVE_TIME;
    let slow = states.iter().filter(is_slow).count();
    slow as f64 >= states.len() as f64 * UNEVEN_FRACTION && slow > 0
}

/// Class of an endpoint by its relative time; faster ones have lower classes, and all that are not
/// slower than the typical one are of the first class.
fn speed_class(candidate: &Candidate<'_>) -> u32 {
    let doublings = candidate.relative_time.log2() + SPEED_CLASS_TOLERANCE;
    doublings.max(0.0) as u32
}

/// What the streams and the long prompts of a pool need beyond the endpoints reserved so far.
#[derive(Debug, Clone, Copy)]
struct StreamNeeds {
    /// Latency-sensitive streams that run in the pool.
    streams: f64,
    /// Streams that the endpoints reserved so far can carry.
    carried: f64,
    /// Prefill that the other endpoints have to do for long prompts, in endpoints of the typical
    /// speed.
    prefill: f64,
    /// Prefill that the other endpoints can do, in endpoints of the typical speed.
    prefill_left: f64,
}

impl StreamNeeds {
    fn of(states: &[CandidateState<'_>], capacity: &PoolCapacity) -> Self {
        let mut needs = Self {
            streams: 0.0,
            carried: 0.0,
            prefill: 0.0,
            prefill_left: 0.0,
        };
        for state in states {
            needs.streams += load::stream_equivalents(state.total.pause_sensitivity);
            needs.prefill += state.total.prefill_tokens_per_ms() / capacity.prefill_tokens_per_ms;
            if !state.candidate.record.is_ejected() {
                needs.prefill_left += 1.0 / state.candidate.relative_time;
            }
        }
        needs
    }

    /// Whether an endpoint that can carry `carried` streams is to be reserved in addition. One
    /// that has streams already is kept until a whole endpoint less is needed, so that the
    /// partition does not change with each request.
    fn is_worth_reserving(&self, state: &CandidateState<'_>, carried: f64) -> bool {
        let present = load::stream_equivalents(state.total.pause_sensitivity);
        let meant = carried * CARRIED_FRACTION;
        let kept = if present * 2.0 > meant { meant } else { 0.0 };
        let prefill_left = self.prefill_left - 1.0 / state.candidate.relative_time;
        let leaves_prefill = self.prefill <= prefill_left * MAX_PREFILL_TIME_FRACTION;
        match leaves_prefill {
            true => self.carried * CARRIED_FRACTION < self.streams + kept,
            false => self.carried < self.streams,
        }
    }

    fn reserve(&mut self, state: &CandidateState<'_>, carried: f64) {
        self.carried += carried;
        self.prefill_left -= 1.0 / state.candidate.relative_time;
    }
}

/// Number of endpoints that each kind of load needs.
#[derive(Debug, Clone, Copy, Default)]
struct RequiredEndpoints {
    streaming: f64,
    prefill: f64,
}

impl RequiredEndpoints {
    fn of(states: &[CandidateState<'_>], prefill_tokens_per_ms: f64) -> Self {
        let mut required = Self::default();
        for state in states {
            let total = &state.total;
            let slots = f64::from(state.candidate.endpoint.listed.slots.max(1));
            required.streaming +=
                load::stream_equivalents(total.pause_sensitivity) / (slots * STREAM_SLOT_FRACTION);
            required.prefill +=
                total.prefill_tokens_per_ms() / (prefill_tokens_per_ms * PREFILL_TIME_FRACTION);
        }
        required
    }

    /// Fraction of the needed endpoints that the streams need, from 0 to 1; 0 if there is no load.
    fn streaming_share(&self) -> f64 {
        let both = self.streaming + self.prefill;
        if both > 0.0 {
            self.streaming / both
        } else {
            0.0
        }
    }
}

/// Largest number of endpoints that may be reserved for streams in a pool of `endpoints`.
fn max_streaming_endpoints(endpoints: f64) -> f64 {
    let size = ((endpoints - SMALL_POOL_ENDPOINTS) / (LARGE_POOL_ENDPOINTS - SMALL_POOL_ENDPOINTS))
        .clamp(0.0, 1.0);
    endpoints
        * (MAX_STREAMING_FRACTION + (MAX_STREAMING_FRACTION_LARGE - MAX_STREAMING_FRACTION) * size)
}
