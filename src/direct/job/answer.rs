//! Handling an endpoint's answer: classifies it by its head, relays it to the caller and records
//! the result for the endpoint.

use actix_http::{ResponseHead, StatusCode};

use super::{AttemptOutcome, Job};
use crate::clock::Millis;
use crate::direct::answerer::Answerer;
use crate::direct::catalog::ResponseKind;
use crate::direct::channel::{ExchangeError, ReadProgress, Reply};
use crate::direct::decision::RequestOutcome;
use crate::direct::dialect::ResponseInfo;
use crate::direct::directory::EndpointKey;
use crate::direct::ends::EndSign;
use crate::direct::entry::{ProcessState, RunGuard};
use crate::direct::known::health::Fault;
use crate::direct::known::observed::StreamTimes;
use crate::direct::origins::Origin;
use crate::direct::placement::choose::Choice;
use crate::direct::relay::{self, BodyError, RelayContext, RelayError, StreamKind};

/// Time for which the body of a refusal is read: an endpoint sends it together with the head.
const REFUSAL_BODY_TIME: Millis = Millis(100);
/// Time from the first bytes of an item of a response after which a sound endpoint has sent all.
const ITEM_TIME: Millis = Millis(500);
/// Bytes a second below which a whole body counts as endless if it is not complete in time.
const MIN_BODY_RATE: u64 = 1_024;

/// An answer whose head has arrived, with the attempt that it belongs to.
#[derive(Debug)]
pub(super) struct ReceivedAnswer<'a> {
    /// The answer.
    pub(super) reply: Reply,
    /// The chosen endpoint and the estimates for it.
    pub(super) choice: Choice,
    /// The origin of a stream that it begins.
    pub(super) origin: Origin,
    /// Counts the request in the endpoint's load until it is dropped.
    pub(super) run_guard: &'a RunGuard,
    /// When the request was sent.
    pub(super) sent_at: Millis,
    /// Whether the endpoint had no other prompt left to prefill then, as far as known.
    pub(super) was_idle: bool,
}

impl Job<'_> {
    /// Classifies an answer by its head, and relays it if it is one for the caller.
    pub(super) async fn handle_answer(
        &mut self,
        answerer: &mut Answerer,
        answer: ReceivedAnswer<'_>,
    ) -> AttemptOutcome {
        let key = answer.choice.key;
        let now = self.entry.clock.now();
        self.progress.borrow_mut().framing = Some(answer.reply.framing());
        let response_info = self
            .entry
            .dialect
            .response_info(&answer.reply.head, &self.ask.id);
        self.record_report(key, &response_info, now);
        let (announcement, id) = (response_info.announcement, self.ask.id.as_bytes());
        self.entry.record_announcement(key, announcement, id);
        self.entry
            .record_announced_limit(key, announcement.limit, answer.sent_at, id);
        if response_info.misdirected {
            answer.run_guard.undecided();
            return self.handle_misdirected(key);
        }
        if response_info.not_run {
            answer.run_guard.undecided();
            return self.handle_not_run(key, answer.reply, &response_info).await;
        }
        let progress = answer.reply.progress();
        let status = answer.reply.head.status;
        if let Some(why) = self.rejection_reason(status, &response_info) {
            answer.run_guard.undecided();
            return self.record_failure(key, Fault::Answer, why);
        }
        if !self.continues_stream(&answer.reply.head) {
            answer.run_guard.undecided();
            return self.record_foreign_answer(key, status);
        }
        self.release_body();
        let relaying = async {
            if !status.is_success() || self.route().shape == ResponseKind::Whole {
                self.relay_complete(answerer, answer, &response_info).await
            } else {
                self.relay_events(answerer, answer, &response_info).await
            }
        };
        let ended = self
            .entry
            .clock
            .timeout_at(self.answer_deadline(), relaying)
            .await;
        if ended.is_none() && self.is_endless(answerer, &progress, now) {
            self.record_failure(key, Fault::Answer, "bytes without end until the deadline");
        }
        ended.unwrap_or(AttemptOutcome::TimeOver)
    }

    /// Whether the endpoint, not the caller, is at fault for an answer that is not complete in time:
    /// bytes came, and what they began did not end. `head_at` is when its head arrived.
    fn is_endless(&self, answerer: &Answerer, progress: &ReadProgress, head_at: Millis) -> bool {
        if answerer.has_unwritten() {
            return false;
        }
        let now = self.entry.clock.now();
        let unfinished = self.unfinished_since.get();
        if progress.is_inside_item() || unfinished.is_some_and(|since| now - since >= ITEM_TIME) {
            return true;
        }
        let took = now - head_at;
        let is_whole_late = !answerer.is_open() && progress.body_bytes() > 0 && took >= ITEM_TIME;
        is_whole_late && (progress.body_bytes() as u64) * 1_000 < took.0 * MIN_BODY_RATE
    }

    /// Records that the endpoint answered, and the load that it reports.
    fn record_report(&self, key: EndpointKey, response_info: &ResponseInfo, now: Millis) {
        self.entry.note_reached(key);
        self.entry.update_endpoint_state(key, |endpoint_state| {
            endpoint_state.record_contact(now);
            if let Some(report) = response_info.report {
                endpoint_state.load.record_report(report, now);
            }
        });
    }

    /// The address now belongs to another endpoint, which did not run the request.
    fn handle_misdirected(&mut self, key: EndpointKey) -> AttemptOutcome {
        let why = "another endpoint has its address";
        self.attempts -= 1;
        self.entry.endpoint_ended(key, EndSign::Replaced);
        self.entry.endpoint_failed(key, Fault::Unreachable, why);
        self.log_failed(key, why, false);
        AttemptOutcome::NotRun(key)
    }

    /// Why an answer must not be relayed; `None` if it may.
    fn rejection_reason(
        &self,
        status: StatusCode,
        response_info: &ResponseInfo,
    ) -> Option<&'static str> {
        if response_info.encoded {
            return Some("an encoded body, which was not asked for");
        }
        if status.is_success() {
            return (!response_info.sealed).then_some("success without the endpoint's seal");
        }
        if self.may_repeat() && status.is_server_error() && self.has_attempts_left() {
            return Some("the endpoint's own error");
        }
        (!response_info.sealed).then_some("an error without the endpoint's seal")
    }

    /// Whether an answer may be sent to the caller where the head of a stream has been sent: it is
    /// the rest of that stream, not a whole answer of its own. True before the first event.
    fn continues_stream(&self, head: &ResponseHead) -> bool {
        let open = self.stream_kind.borrow();
        open.as_ref()
            .is_none_or(|open| *open == StreamKind::of(head))
    }

    /// Records that an endpoint's answer is not the rest of the stream that it was to take up.
    fn record_foreign_answer(&self, key: EndpointKey, status: StatusCode) -> AttemptOutcome {
        let why = format!("status {}, not the rest of the stream", status.as_u16());
        // The endpoint is not at fault where the request is, or where its time was over.
        let is_sound = status.is_redirection()
            || status.is_client_error()
            || status == StatusCode::GATEWAY_TIMEOUT;
        if !is_sound {
            return self.record_failure(key, Fault::Answer, &why);
        }
        self.record_lost(key, &why)
    }

    /// The endpoint says that it did not run the request.
    async fn handle_not_run(
        &self,
        key: EndpointKey,
        mut reply: Reply,
        response_info: &ResponseInfo,
    ) -> AttemptOutcome {
        let status = reply.head.status;
        // The body is not needed, but the connection can be reused once it has been read.
        let now = self.entry.clock.now();
        let progress = reply.progress();
        let skipping = relay::skip_refusal(&mut reply);
        let skipped = self
            .entry
            .clock
            .timeout_at(now + REFUSAL_BODY_TIME, skipping);
        match skipped.await {
            Some(Ok(())) => self.keep_connection(key, reply, response_info),
            Some(Err(ExchangeError::Endless)) => self.refusal_goes_on(key),
            None if progress.body_bytes() > 0 || progress.is_inside_item() => {
                self.refusal_goes_on(key);
            }
            Some(Err(_)) | None => {}
        }
        if response_info.announcement.rest.is_none() {
            let now = self.entry.clock.now();
            self.entry
                .update_endpoint_state(key, |endpoint_state| endpoint_state.load.mark_full(now));
            self.record_endpoint_refusal();
            if !self.is_busy(key) {
                let why = "refuses although it has room";
                self.entry.endpoint_failed(key, Fault::Answer, why);
            }
        }
        self.log_failed(key, &format!("not run, status {}", status.as_u16()), false);
        let urgency = self.route().priority;
        self.entry.metrics.attempt(&self.pool, urgency, "not_run");
        AttemptOutcome::NotRun(key)
    }

    /// Records that the body of an endpoint's refusal does not end.
    fn refusal_goes_on(&self, key: EndpointKey) {
        let why = "the body of a refusal does not end";
        self.entry.endpoint_failed(key, Fault::Answer, why);
    }

    /// Whether load explains a refusal: at least half of the endpoint's slots are taken, or
    /// requests wait there.
    fn is_busy(&self, key: EndpointKey) -> bool {
        let now = self.entry.clock.now();
        let directory = self.entry.directory();
        let slots = directory.get(key).map_or(1, |e| e.listed.slots.max(1));
        let mut busy = false;
        self.entry.update_endpoint_state(key, |endpoint_state| {
            let running = endpoint_state.load.total(now).running;
            busy = running * 2 >= slots || endpoint_state.load.waiting(now) > 0;
        });
        busy
    }

    /// Records that the endpoint failed a request that may have run.
    pub(super) fn record_failure(
        &self,
        key: EndpointKey,
        fault: Fault,
        why: &str,
    ) -> AttemptOutcome {
        self.entry.endpoint_failed(key, fault, why);
        self.record_lost(key, why)
    }

    /// Records that the answer was lost, which says nothing about the endpoint.
    fn record_lost(&self, key: EndpointKey, why: &str) -> AttemptOutcome {
        self.log_failed(key, why, true);
        let urgency = self.route().priority;
        self.entry.metrics.attempt(&self.pool, urgency, "lost");
        AttemptOutcome::Lost(key)
    }

    /// Relays a body once it is complete.
    async fn relay_complete(
        &self,
        answerer: &mut Answerer,
        mut answer: ReceivedAnswer<'_>,
        response_info: &ResponseInfo,
    ) -> AttemptOutcome {
        let key = answer.choice.key;
        let framing = answer.reply.framing();
        let mut body = relay::read_whole(&mut answer.reply, &self.entry.memory).await;
        if body.is_ok() && self.check_unmarked_end(framing).await.is_err() {
            body = Err(BodyError::BrokenOff);
        }
        let body = match body {
            Ok(body) => body,
            Err(BodyError::NoRoom) => {
                answer.run_guard.undecided();
                return self.record_lost(key, "no memory for its answer");
            }
            Err(BodyError::BrokenOff) => {
                answer.run_guard.broken();
                return self.record_failure(key, Fault::Answer, "the answer broke off");
            }
            Err(BodyError::Endless) => {
                answer.run_guard.broken();
                return self.record_failure(key, Fault::Answer, "the answer does not end");
            }
        };
        let status = answer.reply.head.status;
        if status.is_success() {
            answer.run_guard.parts_are_harmless();
        }
        match status.is_server_error() {
            true => answer.run_guard.undecided(),
            false => answer.run_guard.answered(),
        }
        self.record_first_byte(&answer.choice, answer.run_guard, answer.sent_at);
        let head = self.entry.dialect.caller_response(&answer.reply.head);
        self.keep_connection(key, answer.reply, response_info);
        let how = self.record_complete_answer(key, status);
        if answerer
            .send_response(head, body.bytes, self.is_closing())
            .await
            .is_err()
        {
            return AttemptOutcome::CallerGone;
        }
        self.log_ended(how, status.as_u16());
        AttemptOutcome::Delivered(answerer.keeps_connection())
    }

    /// Records the result of a complete answer for its endpoint.
    fn record_complete_answer(&self, key: EndpointKey, status: StatusCode) -> RequestOutcome {
        if status == StatusCode::GATEWAY_TIMEOUT {
            // The request's own time was over, which says nothing about the endpoint.
            return RequestOutcome::EndpointError;
        }
        if status.is_server_error() {
            let why = "the endpoint's own error";
            self.entry.endpoint_failed(key, Fault::Answer, why);
            return RequestOutcome::EndpointError;
        }
        self.entry.endpoint_served(key);
        RequestOutcome::Served
    }

    /// Relays events as they arrive.
    async fn relay_events(
        &self,
        answerer: &mut Answerer,
        mut answer: ReceivedAnswer<'_>,
        response_info: &ResponseInfo,
    ) -> AttemptOutcome {
        let key = answer.choice.key;
        let status = answer.reply.head.status.as_u16();
        let framing = answer.reply.framing();
        let kind = StreamKind::of(&answer.reply.head);
        let head = self.entry.dialect.caller_response(&answer.reply.head);
        let context = RelayContext {
            clock: &self.entry.clock,
            memory: &self.entry.memory,
            unfinished_since: &self.unfinished_since,
            position: &self.position,
            close: self.is_closing(),
        };
        let on_first_event = || {
            self.record_first_byte(&answer.choice, answer.run_guard, answer.sent_at);
            self.begin_stream(answer.origin);
            *self.stream_kind.borrow_mut() = Some(kind.clone());
            if answer.was_idle {
                self.learn_prefill(&answer.choice, answer.sent_at);
            }
            head.clone()
        };
        let mut times = self.is_observed().then(StreamTimes::default);
        let on_chunk_sent = |events| {
            let now = self.entry.clock.now();
            self.progress.borrow_mut().chunk_sent(now);
            answer.run_guard.answer_goes_on();
            if let Some(times) = &mut times {
                times.record(now, events, self.slowdown(key, now));
            }
        };
        let next_chunk = async |reply: &mut Reply| self.next_chunk(reply).await;
        let reply = &mut answer.reply;
        match relay::events(
            reply,
            answerer,
            context,
            next_chunk,
            on_first_event,
            on_chunk_sent,
        )
        .await
        {
            Ok(()) => {
                self.entry.metrics.stream_ended(framing, "whole");
                self.end_stream();
                answer.run_guard.parts_are_harmless();
                answer.run_guard.answered();
                self.keep_connection(key, answer.reply, response_info);
                self.entry.endpoint_served(key);
                if let Some(times) = times {
                    self.learn_stream(key, &times);
                }
                self.log_ended(RequestOutcome::Served, status);
                AttemptOutcome::Delivered(answerer.keeps_connection())
            }
            Err(RelayError::Caller) => AttemptOutcome::CallerGone,
            Err(RelayError::Endpoint) => {
                self.record_broken_stream(&answer, "broken", "the stream broke off")
            }
            Err(RelayError::Endless) => {
                self.record_broken_stream(&answer, "endless", "the stream goes on without an event")
            }
            Err(RelayError::Unfinished { bytes }) => {
                self.progress.borrow_mut().unfinished_bytes = bytes;
                self.record_broken_stream(&answer, "unfinished", "the stream ended inside an event")
            }
            Err(RelayError::Empty) => self.record_broken_stream(
                &answer,
                "empty",
                "the connection ended before the first event",
            ),
        }
    }

    /// Records that an endpoint's stream broke off; `label` is the one of the metric.
    fn record_broken_stream(
        &self,
        answer: &ReceivedAnswer<'_>,
        label: &'static str,
        why: &str,
    ) -> AttemptOutcome {
        let framing = answer.reply.framing();
        self.entry.metrics.stream_ended(framing, label);
        answer.run_guard.broken();
        self.record_failure(answer.choice.key, Fault::Answer, why)
    }

    /// Records that the first byte of the answer is about to be sent to the caller.
    fn record_first_byte(&self, choice: &Choice, run_guard: &RunGuard, sent_at: Millis) {
        let now = self.entry.clock.now();
        run_guard.answer_began();
        let ids = self.ask.parts.iter().map(|part| part.id);
        self.entry
            .prefixes
            .borrow_mut()
            .record_prefill(choice.key, ids, now);
        self.entry
            .update_endpoint_state(choice.key, |endpoint_state| {
                endpoint_state.record_contact(now);
                // A momentary slowdown says nothing of the endpoint's speed later on.
                let expected_ms = choice.nominal_ms * endpoint_state.load.slowdown(now);
                endpoint_state
                    .record
                    .observe_response_time(now, now - sent_at, expected_ms);
            });
        let mut progress = self.progress.borrow_mut();
        if progress.first_byte_at.is_none() {
            progress.first_byte_at = Some(now);
            let ms = (now - self.incoming.received_at).0 as f64;
            self.entry
                .metrics
                .first_byte(&self.pool, self.priority(), ms);
        }
    }

    /// Keeps the connection for another request, if the answer left it usable.
    fn keep_connection(&self, key: EndpointKey, reply: Reply, response_info: &ResponseInfo) {
        if let Some(mut connection) = reply.into_connection() {
            connection.idle_time = response_info.idle_time;
            self.entry.keep_connection(key, connection);
        }
    }

    fn is_closing(&self) -> bool {
        self.entry.process_state() != ProcessState::Serving
    }
}
