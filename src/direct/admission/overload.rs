//! Admission control: which requests are refused before they are sent, so that those that are sent
//! meet their targets.
//!
//! It guards against bursts of long prompts while endpoints are lost. Requests queued at an engine
//! hold its memory, so cached prefixes are evicted, prompts are prefilled in full again, and every
//! request waits longer. This feedback lasts until the burst is over, and even the most urgent
//! streams are late. A request that would spend most of its time waiting is refused at once, so
//! that its caller can retry later.
//!
//! The accepted wait depends on the backlog of the pool, so nothing is refused needlessly under
//! normal load: in an idle pool, a request that waits because its own prompt is long is sent unless
//! that takes most of its time.

use crate::clock::Millis;
use crate::direct::known::load::BANDS;

/// Mean backlog, as a fraction of the pool's tightest target, up to which the pool counts as calm.
const CALM_BACKLOG: f64 = 1.0 / 3.0;
/// Mean backlog, as a fraction of the pool's tightest target, from which the pool counts as
/// overloaded: the most urgent streams would be late behind it.
const OVERLOAD_BACKLOG: f64 = 1.0;
/// Fraction of its remaining time that a request may be expected to wait in an overloaded pool, by
/// urgency band. It is smallest for the most urgent band, whose streams are late after a long wait.
const MAX_WAIT_FRACTIONS: [f64; BANDS] = [0.1, 0.15, 0.15];
/// Accepted wait of a less urgent request relative to that of a more urgent one. Wait estimates
/// differ between entries, and those for short prompts are no shorter than those for long ones, so
/// with equal accepted waits the more urgent requests were refused as well.
const LESS_URGENT_WAIT_FACTOR: f64 = 0.6;
/// How many times longer a request may wait in a calm pool than in an overloaded one.
const CALM_WAIT_FACTOR: f64 = 4.0;
/// Fraction of its target that a call to a plain service may be expected to take while no slot is
/// free. An overloaded service is as busy behind a short queue as behind a long one; with 1.0, the
/// queue of the services of one deployment (24 calls on 6 slots of 60 ms) ends exactly where every
/// call is late.
const PLAIN_TARGET_FRACTION: f64 = 0.8;

/// Inputs to the decision whether a request is sent to a plain service, which is one that is not a
/// model engine.
///
/// It guards against more calls than the remaining endpoints can serve. Each endpoint has its own
/// queue, and once that is full every call in it finishes just too late.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlainAdmission {
    /// Estimated time until the answer at the best endpoint, in ms.
    pub expected_ms: f64,
    /// Whether all slots of that endpoint are taken; no request is refused while one is free.
    pub is_full: bool,
    /// Target time for the answer; 0 if the route has none.
    pub target: Millis,
    /// Whether the pool has more urgent kinds of requests.
    pub has_more_urgent: bool,
}

impl PlainAdmission {
    /// Whether the request is sent.
    pub fn is_admitted(&self) -> bool {
        let urgency_factor = if self.has_more_urgent {
            LESS_URGENT_WAIT_FACTOR
        } else {
            1.0
        };
        let in_time =
            self.expected_ms <= self.target.0 as f64 * PLAIN_TARGET_FRACTION * urgency_factor;
        !self.is_full || self.target == Millis(0) || in_time
    }
}

/// Inputs to the decision whether a request is sent to a model engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineAdmission {
    /// Urgency band of the request; 0 is the most urgent.
    pub band: usize,
    /// Estimated time until the first event at the best endpoint, in ms.
    pub expected_ms: f64,
    /// Mean time that the pool's endpoints need to prefill the prompts already assigned to them, in
    /// ms.
    pub backlog_ms: f64,
    /// Tightest target among the pool's routes; 0 if none has a target.
    pub shortest_target: Millis,
    /// Time left until the request's timeout.
    pub time_left: Millis,
    /// Longest timeout among the pool's less urgent requests; 0 if there are none.
    pub longest_less_urgent_time: Millis,
    /// Whether the pool has more urgent kinds of requests.
    pub has_more_urgent: bool,
}

impl EngineAdmission {
    /// Whether the request is sent.
    pub fn is_admitted(&self) -> bool {
        self.is_admitted_with(1.0)
    }

    /// Whether the request is sent if the accepted wait is changed by a factor, which depends on
    /// the share of its team.
    pub fn is_admitted_with(&self, wait_factor: f64) -> bool {
        let max_wait_ms = self.max_wait_ms() * wait_factor;
        self.expected_ms <= max_wait_ms.min(self.time_left.0 as f64)
    }

    /// Whether a request would be refused even with all the time of its route: the pool lacks
    /// capacity, and not just this request time.
    pub fn lacks_capacity(&self, timeout: Millis) -> bool {
        let time_left = self.time_left.max(timeout);
        !Self { time_left, ..*self }.is_admitted()
    }

    /// Longest accepted wait, in ms. It is longer than that of any less urgent request: otherwise a
    /// short urgent request with little time would be refused while long ones with more time are
    /// sent.
    fn max_wait_ms(&self) -> f64 {
        let time_left_ms = self.time_left.0 as f64;
        let own_bound_ms = time_left_ms * self.max_wait_fraction();
        let less_urgent_bound_ms =
            self.longest_less_urgent_time.0 as f64 * min_wait_fraction(self.band);
        let bound_ms = own_bound_ms.max(less_urgent_bound_ms);
        let calmness = 1.0 - self.overload();
        (bound_ms * (1.0 + (CALM_WAIT_FACTOR - 1.0) * calmness)).min(time_left_ms)
    }

    /// Fraction of the request's own remaining time that it may wait in an overloaded pool.
    fn max_wait_fraction(&self) -> f64 {
        let is_least_urgent = self.band == BANDS - 1 && self.has_more_urgent;
        let urgency_factor = if is_least_urgent {
            LESS_URGENT_WAIT_FACTOR
        } else {
            1.0
        };
        MAX_WAIT_FRACTIONS[self.band] * urgency_factor
    }

    /// How overloaded the pool is, from 0 (calm) to 1 (overloaded); 0 if no route has a target.
    pub fn overload(&self) -> f64 {
        if self.shortest_target == Millis(0) {
            return 0.0;
        }
        let relative_backlog = self.backlog_ms / self.shortest_target.0 as f64;
        ((relative_backlog - CALM_BACKLOG) / (OVERLOAD_BACKLOG - CALM_BACKLOG)).clamp(0.0, 1.0)
    }
}

/// Fraction of the longest timeout of less urgent requests that a request of `band` may wait at
/// least.
fn min_wait_fraction(band: usize) -> f64 {
    let steps = BANDS - 1 - band;
    let least_urgent_fraction = MAX_WAIT_FRACTIONS[BANDS - 1] * LESS_URGENT_WAIT_FACTOR;
    least_urgent_fraction / LESS_URGENT_WAIT_FACTOR.powi(steps as i32)
}
