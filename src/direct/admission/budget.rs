//! Retry budget of one pool for all entries together. Each entry counts requests and retries in a
//! sliding window and uses only its share of the budget, without asking the others.

use std::collections::VecDeque;

use crate::clock::Millis;

/// Fraction of the budget that is used. The rest covers unequal traffic between entries, and entry
/// counts that are wrong for a moment.
const USED_FRACTION: f64 = 0.7;

/// Fraction of the used budget that is available to less urgent requests.
const LESS_URGENT_FRACTION: f64 = 0.75;

/// Retries that all entries together may send to one pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Length of the sliding window.
    pub window: Millis,
    /// Retries per request in a window.
    pub ratio: f64,
    /// Additional retries in a window, for all entries together.
    pub extra: f64,
}

/// Requests and retries of one entry for one pool, within the sliding window.
#[derive(Debug, Default)]
pub struct RetryWindow {
    /// Arrival times of requests, oldest first.
    requests: VecDeque<Millis>,
    /// Times at which retries were sent, oldest first.
    retries: VecDeque<Millis>,
}

impl RetryWindow {
    /// Counts a request for the pool.
    pub fn record_request(&mut self, now: Millis, budget: RetryBudget) {
        self.drop_expired(now, budget);
        self.requests.push_back(now);
    }

    /// Counts one more retry and returns true if the budget allows it. `entries` is the number of
    /// entries that share the budget. With `reserve`, a fraction of the budget is left
    /// for more urgent requests: while endpoints reject requests, less urgent ones would use all of
    /// it.
    #[must_use]
    pub fn try_take(
        &mut self,
        now: Millis,
        budget: RetryBudget,
        entries: usize,
        reserve: bool,
    ) -> bool {
        self.drop_expired(now, budget);
        let from_requests = budget.ratio * self.requests.len() as f64;
        let shared = budget.extra / entries.max(1) as f64;
        let fraction = if reserve { LESS_URGENT_FRACTION } else { 1.0 };
        let is_allowed = (self.retries.len() as f64) + 1.0
            <= USED_FRACTION * (from_requests + shared) * fraction;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }

    /// Number of retries sent within the window.
    pub fn retries(&self) -> usize {
        self.retries.len()
    }

    /// Drops requests and retries that are older than the window.
    fn drop_expired(&mut self, now: Millis, budget: RetryBudget) {
        let window_start = now - budget.window;
        for queue in [&mut self.requests, &mut self.retries] {
            while queue.front().is_some_and(|at| *at < window_start) {
                queue.pop_front();
            }
        }
    }
}
