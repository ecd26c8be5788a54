//! Endpoints of a request's pool to which nothing could be sent.

use super::Job;
use crate::clock::Millis;
use crate::direct::admission::unreachable::{ConnectionFailure, GiveUpRule};

impl Job<'_> {
    /// Records that nothing could be sent to the endpoint tried last, and decides whether another
    /// one is tried. Nothing ran, so this is no retry.
    pub(super) fn may_try_another(&mut self, failure: ConnectionFailure) -> bool {
        let rule = self.give_up_rule();
        let mut unreachable = self.unreachable;
        let now = self.entry.clock.now();
        let may_try = unreachable.may_try_another(now, failure, rule, || self.has_other_endpoint());
        if unreachable.passed_over() > self.unreachable.passed_over() {
            self.entry.metrics.passed_over(&self.pool);
        }
        self.unreachable = unreachable;
        may_try
    }

    /// A route without a target has until the request's deadline.
    fn give_up_rule(&self) -> GiveUpRule {
        if !self.catalog.passes_over_refused(&self.pool) {
            return GiveUpRule::CountAll;
        }
        let period = match self.route().target {
            Millis(0) => self.deadline,
            target => target,
        };
        GiveUpRule::PassOver {
            period,
            deadline: self.deadline,
        }
    }

    /// Whether the pool has an endpoint that was not tried, may run the request and is not ejected.
    /// Ejected ones are left out, so that a pool in which all endpoints are gone costs each request
    /// a few connections at most.
    fn has_other_endpoint(&self) -> bool {
        let now = self.entry.clock.now();
        let directory = self.entry.directory();
        let endpoint_states = self.entry.endpoint_states();
        let settings = self.entry.settings.borrow();
        let mut available = directory.available_in_pool(&self.pool, now);
        available.any(|(key, endpoint)| {
            let state = endpoint_states.get(key);
            let is_in_use = state.is_some_and(|state| !state.record.is_ejected());
            is_in_use && !self.tried.contains(&key) && self.may_run_at(endpoint, &settings)
        })
    }
}
