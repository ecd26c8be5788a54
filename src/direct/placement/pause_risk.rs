//! Probability that prefill at an endpoint makes streams late, and what that costs, in ms.
//!
//! An engine prefills prompts between the tokens of its streams. Until a prompt is prefilled, each
//! event of a stream there comes later by the time of the prefill between its tokens. The time that
//! this takes depends on the endpoint: its learned relative time, and the momentary slowdown that it
//! reports.
//!
//! Everything here is a pure function of the request and of what is known of an endpoint, with the
//! learned capacity of the pool's typical engine.

use crate::clock::Millis;
use crate::direct::known::capacity::PoolCapacity;
use crate::direct::known::load::{stream_equivalents, FULL_STREAM};
use crate::direct::placement::candidate::{Candidate, CandidateState};
use crate::direct::placement::demand::Demand;
use crate::direct::placement::price::LATE_WEIGHT;

/// Fraction of the allowed pause that steps and the prefill of a prompt may take. The rest is a
/// margin for prompts and slowdowns that are not known here yet.
pub const PAUSE_FRACTION: f64 = 0.5;
/// Exponent of the ratio of an expected pause to the allowed one, for the probability that the
/// stream is late: an expected pause of half of the allowed one is exceeded twofold one time in
/// eight.
const RISK_EXPONENT: i32 = 3;
/// Sensitivity, in hundredths, up to which a stream is not delayed by prefill: it allows twice the
/// shortest pause, for which the prompts at its engine are chosen.
const INSENSITIVE_STREAM: u32 = FULL_STREAM / 4;

/// Sensitivity to prefill, in hundredths, that a request adds to its endpoint. In a pool with a
/// learned capacity, streams that allow long pauses add none; otherwise many of them would count
/// as streams for which endpoints have to be reserved.
pub fn counted_sensitivity(demand: &Demand<'_>) -> u32 {
    match demand.capacity {
        Some(_) if demand.pause_sensitivity <= INSENSITIVE_STREAM => 0,
        _ => demand.pause_sensitivity,
    }
}

/// Number of latency-sensitive streams that an endpoint can carry: its slots, if the steps between
/// two events stay within [`PAUSE_FRACTION`] of the allowed pause, otherwise as many fewer as they
/// exceed it, but at least one. The learned step time is that of the typical batch.
pub fn stream_capacity(candidate: &Candidate<'_>, capacity: &PoolCapacity, pause: Millis) -> f64 {
    let event_ms = capacity.step_ms * capacity.tokens_per_event * candidate.relative_time;
    let allowed_ms = pause.0 as f64 * PAUSE_FRACTION;
    let slots = f64::from(candidate.endpoint.listed.slots);
    (slots * (allowed_ms / event_ms.max(f64::MIN_POSITIVE)).min(1.0)).max(1.0)
}

/// Cost of the pauses that the request must expect in its own stream at an endpoint, in ms: from
/// the prompts that are being prefilled there, and from those that will arrive while it runs. 0
/// for a request that is not a stream.
pub fn own_cost_ms(
    demand: &Demand<'_>,
    state: &CandidateState<'_>,
    capacity: &PoolCapacity,
    now: Millis,
) -> f64 {
    if demand.pause_sensitivity == 0 || demand.pause == Millis(0) {
        return 0.0;
    }
    let pause = own_pause_ms(demand);
    let endpoint = Speed::of(state, capacity);
    let unread = f64::from(state.total.total_unread()) + state.unseen_tokens;
    let slowdown = state.candidate.load.slowdown(now);
    let unaffected_now = 1.0 - late_probability(endpoint.pause_ms(unread) * slowdown, pause);
    // A prompt that a typical endpoint prefills within the margin of the shortest pause.
    let arriving = demand.pause.0 as f64 * PAUSE_FRACTION * capacity.prefill_tokens_per_ms;
    let unaffected_each = 1.0 - late_probability(endpoint.pause_ms(arriving), pause);
    let count = if state.is_reserved {
        // Long prompts stay away from a reserved endpoint as streams arrive, so its recent prefill
        // is not counted.
        0.0
    } else {
        let run_ms = demand.output_tokens as f64 * endpoint.step_ms;
        state.total.prefill_tokens_per_ms() * run_ms / arriving.max(1.0)
    };
    let late = 1.0 - unaffected_now * unaffected_each.powf(count);
    late * late_cost_ms(pause)
}

/// Cost of the pauses that the prefill of the request's prompt causes in the streams of an
/// endpoint, in ms. `unread` is the number of tokens that the endpoint would have to prefill. A
/// reserved endpoint counts one more stream than is known: they arrive there at any time.
pub fn caused_cost_ms(
    demand: &Demand<'_>,
    state: &CandidateState<'_>,
    capacity: &PoolCapacity,
    unread: u64,
    now: Millis,
) -> f64 {
    if demand.pause == Millis(0) || unread == 0 {
        return 0.0;
    }
    let known = stream_equivalents(state.total.pause_sensitivity);
    let own = stream_equivalents(demand.pause_sensitivity.min(FULL_STREAM));
    let expected = if state.is_reserved { 1.0 - own } else { 0.0 };
    let endpoint = Speed::of(state, capacity);
    let pause = demand.pause.0 as f64;
    let unread = unread as f64;
    let all_unread = unread + f64::from(state.total.total_unread()) + state.unseen_tokens;
    let slowdown = state.candidate.load.slowdown(now);
    let late = late_probability(endpoint.pause_ms(all_unread) * slowdown, pause);
    // Prompts that are prefilled one after another cause the pause together.
    (known + expected) * late * unread / all_unread * late_cost_ms(pause)
}

/// Cost of a stream that is late by a pause, in ms: that of a first event which comes later than its
/// target by the allowed pause.
fn late_cost_ms(pause_ms: f64) -> f64 {
    pause_ms * LATE_WEIGHT
}

/// Longest pause that the request's own stream allows, in ms.
fn own_pause_ms(demand: &Demand<'_>) -> f64 {
    let sensitivity = stream_equivalents(demand.pause_sensitivity.clamp(1, FULL_STREAM));
    demand.pause.0 as f64 / sensitivity.sqrt()
}

/// Probability that a stream with the expected pause is late.
fn late_probability(expected_ms: f64, allowed_ms: f64) -> f64 {
    (expected_ms / allowed_ms.max(1.0))
        .powi(RISK_EXPONENT)
        .min(1.0)
}

/// How fast an endpoint works, without a momentary slowdown.
#[derive(Debug, Clone, Copy)]
struct Speed {
    /// Time of one step without prefill, in ms.
    step_ms: f64,
    /// Time of the steps between two events, in ms.
    event_ms: f64,
    /// Time to prefill one token, in ms.
    prefill_token_ms: f64,
}

impl Speed {
    fn of(state: &CandidateState<'_>, capacity: &PoolCapacity) -> Self {
        let candidate = &state.candidate;
        let step_ms = capacity.step_ms * candidate.relative_time;
        Self {
            step_ms,
            event_ms: step_ms * capacity.tokens_per_event,
            prefill_token_ms: candidate.relative_time / capacity.prefill_tokens_per_ms,
        }
    }

    /// Time between two events of a stream while `tokens` are prefilled, in ms.
    fn pause_ms(&self, tokens: f64) -> f64 {
        self.event_ms + tokens * self.prefill_token_ms
    }
}
