//! Copies of a run's memory at a second endpoint, from which a stream resumes when its endpoint is
//! lost. The same run is resumed and nothing is generated twice, so work that may run only once can
//! be resumed as well.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use super::Job;
use crate::clock::Millis;
use crate::direct::channel::{Connection, ExchangeError, Framing, Reply};
use crate::direct::placement::choose::Choice;

/// Maximum tokens of a run's memory (prompt and answer) per token of its answer for which a copy is
/// worthwhile: the length of the answer is how long the run can be lost, and the memory is what has
/// to be transferred.
const MAX_MEMORY_PER_ANSWER_TOKEN: u64 = 8;

/// Time in which all sockets of a process that is killed are closed.
const CLOSING_TIME: Duration = Duration::from_millis(5);

/// Silence, as a multiple of the longest pause that the route allows, after which an endpoint is
/// checked. With a smaller multiple, engines that are only busy would lose their streams.
const CHECK_AFTER_PAUSES: u64 = 2;

impl Job<'_> {
    /// Chooses the endpoint that keeps a copy of the run that `choice` starts, if a copy is
    /// worthwhile.
    pub(super) fn choose_copy_endpoint(&mut self, choice: &Choice) {
        let directory = self.entry.directory();
        let origin = |key| directory.get(key).map(|endpoint| endpoint.origin);
        let is_candidate = |key| {
            let is_free = self.entry.limit(key).is_none();
            let is_other = key != choice.key && !self.tried.contains(&key);
            is_other && is_free && origin(key) == origin(choice.key)
        };
        let copy = self.is_copy_worthwhile().then(|| self.choose(is_candidate));
        drop(directory);
        self.copy_key = copy.flatten().map(|choice| choice.key);
    }

    /// Whether the run is a stream with an answer that is long compared with its prompt.
    fn is_copy_worthwhile(&self) -> bool {
        let prompt: u64 = self.ask.parts.iter().map(|part| part.tokens).sum();
        let answer = self.ask.output_tokens;
        let is_stream = self.route().is_stream();
        is_stream && prompt > 0 && prompt + answer <= MAX_MEMORY_PER_ANSWER_TOKEN * answer
    }

    /// Id of the endpoint that keeps a copy of the run, for the log.
    pub(super) fn copy_endpoint_id(&self) -> Option<String> {
        let directory = self.entry.directory();
        let copy = directory.get(self.copy_key?)?;
        Some(copy.listed.id.clone())
    }

    /// Whether the run resumes from its copy after its endpoint was lost. The endpoint must be
    /// gone, since the run may go on in one place only. Counts against the retry budget.
    pub(super) async fn try_resume_from_copy(&mut self) -> bool {
        let Some(copy) = self.copy_key else {
            return false;
        };
        let has_events = self.position.get().last_event.is_some();
        let now = self.entry.clock.now();
        if !has_events
            || self.resumes_from_copy
            || !self.entry.directory().accepts_requests(copy, now)
        {
            return false;
        }
        if !self.is_last_endpoint_gone().await {
            return false;
        }
        let now = self.entry.clock.now();
        self.resumes_from_copy = now < self.deadline && self.take_retry(now);
        self.resumes_from_copy
    }

    /// The next piece of a stream; `None` at its end. Fails with [`ExchangeError::Lost`] where the
    /// endpoint is gone, see [`Self::chunk_unless_gone`] and [`Self::check_unmarked_end`].
    pub(super) async fn next_chunk(
        &self,
        reply: &mut Reply,
    ) -> Result<Option<Bytes>, ExchangeError> {
        let chunk = self.chunk_unless_gone(reply).await?;
        match &chunk {
            Some(_) => self.record_heard(),
            None => self.check_unmarked_end(reply.framing()).await?,
        }
        Ok(chunk)
    }

    /// Records that the endpoint is not silent, for other requests that wait for it.
    fn record_heard(&self) {
        let now = self.entry.clock.now();
        if let Some(key) = self.last_key {
            self.entry
                .update_endpoint_state(key, |endpoint_state| endpoint_state.record_heard(now));
        }
    }

    /// The next piece of a stream; `None` at its end. If the run has a copy and the endpoint falls
    /// silent, checks whether the endpoint is gone and returns [`ExchangeError::Lost`] if so: an
    /// endpoint without power would never close the connection, while the stream could resume
    /// elsewhere.
    async fn chunk_unless_gone(&self, reply: &mut Reply) -> Result<Option<Bytes>, ExchangeError> {
        let pause_to_check = self.route().pause().filter(|_| self.copy_key.is_some());
        let Some(pause) = pause_to_check else {
            return reply.chunk().await;
        };
        let silence = Millis(pause.0 * CHECK_AFTER_PAUSES);
        tokio::select! {
            chunk = reply.chunk() => return chunk,
            () = sleep(silence.duration()) => {}
        }
        tokio::select! {
            chunk = reply.chunk() => chunk,
            true = self.is_last_endpoint_gone() => Err(ExchangeError::Lost),
        }
    }

    /// Checks the end of a body that only its connection marks. The connections of a process that is
    /// killed end in the same way, but nothing listens at its address then. An endpoint that leaves
    /// may end with its last answer, so its answers are taken for complete.
    pub(super) async fn check_unmarked_end(&self, framing: Framing) -> Result<(), ExchangeError> {
        let Some(address) = self.last_address.filter(|_| framing == Framing::Connection) else {
            return Ok(());
        };
        let now = self.entry.clock.now();
        let key = self
            .last_key
            .filter(|key| self.entry.directory().accepts_requests(*key, now));
        if key.is_none() {
            return Ok(());
        }
        self.entry.metrics.connection();
        match has_stopped_listening(address).await {
            true => Err(ExchangeError::Lost),
            false => Ok(()),
        }
    }

    /// Whether nothing accepts connections any more at the address that the request was last sent
    /// to. The directory does not tell: the endpoint may have left the list and still be serving.
    async fn is_last_endpoint_gone(&self) -> bool {
        let Some(address) = self.last_address else {
            return false;
        };
        let connected = Connection::connect(address).await;
        matches!(
            connected,
            Err(ExchangeError::Refused | ExchangeError::Reset | ExchangeError::Connect)
        )
    }
}

/// Whether nothing listens at an address any more, or stops listening now: the sockets of a process
/// that is killed are closed one after the other.
async fn has_stopped_listening(address: SocketAddr) -> bool {
    let is_closing = match Connection::connect(address).await {
        Ok(connection) => connection.is_closed_within(CLOSING_TIME).await,
        Err(ExchangeError::Refused) => return true,
        Err(error) => error == ExchangeError::Reset,
    };
    if !is_closing {
        return false;
    }
    // The connection may also have been one too many.
    sleep(CLOSING_TIME).await;
    let again = Connection::connect(address).await;
    matches!(again, Err(ExchangeError::Refused))
}
