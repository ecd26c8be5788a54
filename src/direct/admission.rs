//! Admission: which requests are turned away before they are sent, so that those that are sent come in time.
//!
//! Load pattern: long prompts burst while endpoints are lost. What waits at an engine holds its memory, so
//! kept parts give way, prompts are read whole, and everything waits longer: the state feeds itself until the
//! burst is over, and the most urgent streams are late with all others. A caller that would wait for most of
//! its time is better told at once to come back.
//!
//! How long one may wait follows the backlog of its pool, so calm days lose nothing: a request whose wait is
//! due to its own length, in a pool that is idle, is sent unless it would take most of its time.

use crate::clock::Millis;
use crate::direct::load::BANDS;

/// Part of the tightest target of a pool up to which its mean backlog counts as calm.
const CALM: f64 = 1.0 / 3.0;
/// The part from which on the pool counts as overloaded: the most urgent streams would be late behind it.
const OVERLOADED: f64 = 1.0;
/// Part of the time that is left which a request may be expected to wait in an overloaded pool, by band of urgency. Long
/// waits of the most urgent make them late.
const WAIT_PARTS: [f64; BANDS] = [0.1, 0.15, 0.15];
/// Part of the wait of a more urgent request that a less urgent one may be expected to have. Estimates of entries differ, and
/// those for short prompts are no shorter than those for long ones, so with equal waits the more urgent kind was turned
/// away as well.
const LESS_URGENT_WAIT: f64 = 0.6;
/// How many times longer it may wait in a calm pool.
const CALM_WAIT: f64 = 4.0;
/// Part of its target that a call to a plain service may be expected to take while no slot is free. A service
/// that has more than it can take is as busy behind a short queue as behind a long one; with 1 the queue of one
/// deployment's services (24 calls on 6 slots of 60 ms) ends just where all of it is late.
const PLAIN_PART: f64 = 0.8;

/// What decides whether a request is sent to a plain service.
///
/// Load pattern: more calls than the endpoints that are left can take. Each has a queue of its own, and once that
/// is full every call in it comes just too late.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PlainAdmission {
    /// Time until the answer at the best endpoint, by estimate, in ms.
    pub expected_ms: f64,
    /// Whether all its slots are taken; nothing is turned away while one is free.
    pub is_full: bool,
    /// Time within which an answer is in time; 0 where none is told.
    pub target: Millis,
    /// Whether the pool has more urgent kinds of requests.
    pub has_more_urgent: bool,
}

impl PlainAdmission {
    /// Whether the request is sent.
    pub fn is_admitted(&self) -> bool {
        let yields = if self.has_more_urgent {
            LESS_URGENT_WAIT
        } else {
            1.0
        };
        let in_time = self.expected_ms <= self.target.0 as f64 * PLAIN_PART * yields;
        !self.is_full || self.target == Millis(0) || in_time
    }
}

/// What decides whether a request is sent to a model engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineAdmission {
    /// Band of its urgency; 0 is the most urgent.
    pub band: usize,
    /// Time until its first event at the best endpoint, by estimate, in ms.
    pub expected_ms: f64,
    /// Mean time that the pool's endpoints need to read the prompts that they have, in ms.
    pub backlog_ms: f64,
    /// Tightest target among the pool's routes; 0 where none is told.
    pub shortest_target: Millis,
    /// Time that is left.
    pub time_left: Millis,
    /// Longest time that the pool's less urgent requests have; 0 where there are none.
    pub longest_less_urgent_time: Millis,
    /// Whether the pool has more urgent kinds of requests.
    pub has_more_urgent: bool,
}

impl EngineAdmission {
    /// Whether the request is sent.
    pub fn is_admitted(&self) -> bool {
        self.expected_ms <= self.longest_wait_ms()
    }

    /// Longest time that it may be expected to wait, in ms: more than any less urgent request may, or a short
    /// urgent one with little time would be turned away where long ones with more time are sent.
    fn longest_wait_ms(&self) -> f64 {
        let left = self.time_left.0 as f64;
        let own = left * self.wait_part();
        let less_urgent = self.longest_less_urgent_time.0 as f64 * least_wait_part(self.band);
        let wait = own.max(less_urgent);
        let calm = 1.0 - self.overload();
        (wait * (1.0 + (CALM_WAIT - 1.0) * calm)).min(left)
    }

    /// Part of its own time that it may be expected to wait.
    fn wait_part(&self) -> f64 {
        let is_least = self.band == BANDS - 1 && self.has_more_urgent;
        let yields = if is_least { LESS_URGENT_WAIT } else { 1.0 };
        WAIT_PARTS[self.band] * yields
    }

    /// How overloaded the pool is, from 0 to 1.
    fn overload(&self) -> f64 {
        if self.shortest_target == Millis(0) {
            return 0.0;
        }
        let backlog = self.backlog_ms / self.shortest_target.0 as f64;
        ((backlog - CALM) / (OVERLOADED - CALM)).clamp(0.0, 1.0)
    }
}

/// Part of the time of less urgent requests that one of a band may wait at least.
fn least_wait_part(band: usize) -> f64 {
    let steps = BANDS - 1 - band;
    let least = WAIT_PARTS[BANDS - 1] * LESS_URGENT_WAIT;
    least / LESS_URGENT_WAIT.powi(steps as i32)
}
