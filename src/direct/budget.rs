//! The retry budget of one pool over all entries: a sliding window, of which each entry takes its
//! share without asking the others.

use std::collections::VecDeque;

use crate::clock::Millis;

/// Part of the fleet's allowance that is used; the rest absorbs unequal shares of traffic and
/// wrong counts of entries for a moment.
const USED_PART: f64 = 0.7;

/// Part of it that less urgent requests use.
const LESS_URGENT_PART: f64 = 0.75;

/// What all entries together may send again to one pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Length of the window that slides.
    pub window: Millis,
    /// Repeats per first request in a window.
    pub ratio: f64,
    /// Repeats in a window besides, over all entries.
    pub extra: f64,
}

/// One entry's count of requests and repeats of one pool.
#[derive(Debug, Default)]
pub struct RetryWindow {
    /// When requests were read, the oldest first.
    firsts: VecDeque<Millis>,
    /// When repeats were sent, the oldest first.
    repeats: VecDeque<Millis>,
}

impl RetryWindow {
    /// A request that the pool is to serve was read.
    pub fn record_request(&mut self, now: Millis, allowance: RetryBudget) {
        self.expire(now, allowance);
        self.firsts.push_back(now);
    }

    /// Whether one more repeat may be sent by one of `entries` entries; counts it. With `leaves_some`, a part is left to more
    /// urgent requests: while endpoints turn away, less urgent ones would use all of it.
    #[must_use]
    pub fn try_take(
        &mut self,
        now: Millis,
        allowance: RetryBudget,
        entries: usize,
        leaves_some: bool,
    ) -> bool {
        self.expire(now, allowance);
        let own = allowance.ratio * self.firsts.len() as f64;
        let shared = allowance.extra / entries.max(1) as f64;
        let part = if leaves_some { LESS_URGENT_PART } else { 1.0 };
        let may = (self.repeats.len() as f64) + 1.0 <= USED_PART * (own + shared) * part;
        if may {
            self.repeats.push_back(now);
        }
        may
    }

    /// Repeats sent within the window.
    pub fn retries(&self) -> usize {
        self.repeats.len()
    }

    /// Forgets what is older than the window.
    fn expire(&mut self, now: Millis, allowance: RetryBudget) {
        let from = now - allowance.window;
        for queue in [&mut self.firsts, &mut self.repeats] {
            while queue.front().is_some_and(|at| *at < from) {
                queue.pop_front();
            }
        }
    }
}
