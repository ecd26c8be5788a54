//! Partition of a pool's endpoints between latency-sensitive streams and long prompts.
//!
//! An engine prefills prompts between the tokens of its streams, so a long prompt delays the
//! streams at the same engine. How many endpoints are reserved for latency-sensitive streams
//! follows from the load of the whole pool; which ones, from an order of the endpoints that is the
//! same at all entries. Entries that know different loads therefore disagree only about the last
//! endpoints of that order.

use std::collections::HashSet;

use crate::direct::directory::EndpointKey;
use crate::direct::known::load;
use crate::direct::placement::candidate::{Candidate, CandidateState};

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

/// The endpoints of a pool that are reserved for latency-sensitive streams; empty if the pool is
/// not partitioned.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamPartition {
    reserved: HashSet<EndpointKey>,
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
        }
    }

    /// Whether an endpoint is reserved for latency-sensitive streams.
    pub fn is_reserved(&self, key: EndpointKey) -> bool {
        self.reserved.contains(&key)
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
