//! Copies of a run's memory at a second endpoint, from which a stream goes on when its endpoint is
//! lost. What goes on is the same run: nothing is made twice, so work that may run only once may
//! be taken over as well.

use super::Job;
use crate::direct::catalog::Shape;
use crate::direct::channel::{Channel, Failure};
use crate::direct::choose::Choice;
use crate::direct::directory::EndpointKey;

/// Tokens of a run's memory for each token of its answer up to which a copy is worth its way: the
/// answer's length is the time for which the run can be lost, the memory is what has to be moved.
const COPY_RATIO: u64 = 8;

impl Job<'_> {
    /// Picks the endpoint that keeps a copy of the run that `choice` begins, where that is worth it.
    pub(super) fn pick_copy(&mut self, choice: &Choice) {
        let prompt: u64 = self.ask.parts.iter().map(|part| part.tokens).sum();
        let answer = self.ask.output_tokens;
        let is_stream = matches!(self.route().shape, Shape::Events { .. });
        let is_worth = is_stream && prompt > 0 && prompt + answer <= COPY_RATIO * answer;
        let other = |key| key != choice.key && !self.tried.contains(&key);
        self.copy = if is_worth {
            self.choose(other).map(|choice| choice.key)
        } else {
            None
        };
    }

    /// Whether the run goes on from its copy, after the endpoint that made it was lost: it must be
    /// gone, since the run goes on in one place only. Counts against the retry budget.
    pub(super) async fn may_take_over(&mut self, lost: EndpointKey) -> bool {
        let Some(copy) = self.copy else {
            return false;
        };
        let has_events = self.position.get().last_event.is_some();
        if !has_events || self.takes_over || !self.entry.directory().takes_work(copy) {
            return false;
        }
        if !self.is_gone(lost).await {
            return false;
        }
        let now = self.entry.clock.now();
        self.takes_over = now < self.end && self.take_retry(now);
        self.takes_over
    }

    /// Whether nothing listens any more where an endpoint was.
    async fn is_gone(&self, key: EndpointKey) -> bool {
        let address = self.entry.directory().get(key).map(|e| e.listed.address);
        let Some(address) = address else {
            return true;
        };
        matches!(Channel::connect(address).await, Err(Failure::Connect))
    }
}
