//! What an answer tells of the endpoint's speed and of the pool's capacity.

use super::Job;
use crate::clock::Millis;
use crate::direct::directory::EndpointKey;
use crate::direct::known::capacity::{PrefillSample, StreamSample};
use crate::direct::known::observed::StreamTimes;
use crate::direct::placement::choose::Choice;

impl Job<'_> {
    /// Whether an endpoint has no prompt left to prefill, as far as known.
    pub(super) fn has_nothing_to_prefill(&self, key: EndpointKey, now: Millis) -> bool {
        let endpoint_states = self.entry.endpoint_states();
        endpoint_states.get(key).is_some_and(|endpoint_state| {
            let load = &endpoint_state.load;
            load.total(now).total_unread() == 0 && load.waiting(now) == 0
        })
    }

    /// Factor by which an endpoint is expected to be slowed at the moment.
    pub(super) fn slowdown(&self, key: EndpointKey, now: Millis) -> f64 {
        let endpoint_states = self.entry.endpoint_states();
        let endpoint_state = endpoint_states.get(key);
        endpoint_state.map_or(1.0, |endpoint_state| endpoint_state.load.slowdown(now))
    }

    /// Learns from the first event of a prompt that found no other one left to prefill.
    pub(super) fn learn_prefill(&self, choice: &Choice, sent_at: Millis) {
        if !self.is_observed() {
            return;
        }
        let now = self.entry.clock.now();
        let sample = PrefillSample {
            tokens: choice.footprint.unread,
            time: now - sent_at,
            relative_time: self.relative_time(choice.key, now) * self.slowdown(choice.key, now),
        };
        let mut capacities = self.entry.capacities.borrow_mut();
        let capacity = capacities.entry(self.pool.clone()).or_default();
        capacity.record_prefill(sample);
    }

    /// Learns from a complete stream.
    pub(super) fn learn_stream(&self, key: EndpointKey, times: &StreamTimes) {
        let Some(event_ms) = times.event_ms() else {
            return;
        };
        let now = self.entry.clock.now();
        let sample = StreamSample {
            event_ms,
            events: times.events(),
            tokens: self.ask.output_tokens,
            relative_time: self.relative_time(key, now),
        };
        let mut capacities = self.entry.capacities.borrow_mut();
        let capacity = capacities.entry(self.pool.clone()).or_default();
        capacity.record_stream(sample);
        drop(capacities);
        self.entry.record_stream_time(key, event_ms);
    }

    /// Time that work takes at an endpoint, relative to the typical one of its pool.
    fn relative_time(&self, key: EndpointKey, now: Millis) -> f64 {
        let directory = self.entry.directory();
        let mut observed = self.entry.observed.borrow_mut();
        let digest = directory.get(key).map(|endpoint| endpoint.digest);
        digest.map_or(1.0, |digest| observed.relative_time(digest, now))
    }
}
