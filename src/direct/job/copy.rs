//! Copies of a run's memory at a second endpoint, from which a stream goes on when its endpoint is
//! lost. What goes on is the same run: nothing is made twice, so work that may run only once may
//! be taken over as well.

use bytes::Bytes;
use tokio::time::sleep;

use super::Job;
use crate::clock::Millis;
use crate::direct::catalog::ResponseKind;
use crate::direct::channel::{Connection, ExchangeError, Reply};
use crate::direct::choose::Choice;

/// Tokens of a run's memory for each token of its answer up to which a copy is worth its way: the
/// answer's length is the time for which the run can be lost, the memory is what has to be moved.
const COPY_RATIO: u64 = 8;

/// Silence, in pauses that the route allows, after which an endpoint is asked whether it is there.
/// Within less, engines that are only busy would lose their streams.
const SILENT_PAUSES: u64 = 2;

impl Job<'_> {
    /// Picks the endpoint that keeps a copy of the run that `choice` begins, where that is worth it.
    pub(super) fn pick_copy(&mut self, choice: &Choice) {
        let other = |key| {
            let is_free = self.entry.limit(key).is_none();
            key != choice.key && !self.tried.contains(&key) && is_free
        };
        let copy = self.is_worth_copy().then(|| self.choose(other));
        self.copy = copy.flatten().map(|choice| choice.key);
    }

    /// Whether the run is a stream whose answer is long beside its prompt.
    fn is_worth_copy(&self) -> bool {
        let prompt: u64 = self.ask.parts.iter().map(|part| part.tokens).sum();
        let answer = self.ask.output_tokens;
        let is_stream = matches!(self.route().shape, ResponseKind::Events { .. });
        is_stream && prompt > 0 && prompt + answer <= COPY_RATIO * answer
    }

    /// Identity of the endpoint that keeps a copy of the run, for the log.
    pub(super) fn copy_id(&self) -> Option<String> {
        let directory = self.entry.directory();
        let copy = directory.get(self.copy?)?;
        Some(copy.listed.id.clone())
    }

    /// Whether the run goes on from its copy, after the endpoint that made it was lost: it must be
    /// gone, since the run goes on in one place only. Counts against the retry budget.
    pub(super) async fn may_take_over(&mut self) -> bool {
        let Some(copy) = self.copy else {
            return false;
        };
        let has_events = self.position.get().last_event.is_some();
        let now = self.entry.clock.now();
        if !has_events || self.takes_over || !self.entry.directory().accepts_requests(copy, now) {
            return false;
        }
        if !self.is_gone().await {
            return false;
        }
        let now = self.entry.clock.now();
        self.takes_over = now < self.end && self.take_retry(now);
        self.takes_over
    }

    /// The next piece of a stream. Where the run has a copy, an endpoint that falls silent is asked
    /// whether it is still there: without power it would say nothing, and the stream could go on.
    pub(super) async fn next_piece(
        &self,
        reply: &mut Reply,
    ) -> Result<Option<Bytes>, ExchangeError> {
        let silence = self.route().pause().filter(|_| self.copy.is_some());
        let Some(pause) = silence else {
            return reply.chunk().await;
        };
        let silence = Millis(pause.0 * SILENT_PAUSES);
        tokio::select! {
            piece = reply.chunk() => return piece,
            () = sleep(silence.duration()) => {}
        }
        tokio::select! {
            piece = reply.chunk() => piece,
            true = self.is_gone() => Err(ExchangeError::Lost),
        }
    }

    /// Whether nothing listens any more where the request was sent last. The endpoint may have left
    /// the list and serve on.
    async fn is_gone(&self) -> bool {
        let Some(address) = self.sent_to else {
            return false;
        };
        let connected = Connection::connect(address).await;
        matches!(
            connected,
            Err(ExchangeError::Refused | ExchangeError::Connect)
        )
    }
}
