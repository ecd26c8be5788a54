//! An endpoint's answer: judged by its head, relayed to the caller, accounted to the endpoint.

use actix_http::StatusCode;

use super::{Attempt, Job};
use crate::clock::Millis;
use crate::direct::answerer::Answerer;
use crate::direct::catalog::ResponseKind;
use crate::direct::channel::Reply;
use crate::direct::choose::Choice;
use crate::direct::decision::RequestOutcome;
use crate::direct::dialect::ResponseInfo;
use crate::direct::directory::EndpointKey;
use crate::direct::ends::EndSign;
use crate::direct::entry::{ProcessState, RunGuard};
use crate::direct::health::Fault;
use crate::direct::relay::{self, RelayContext, RelayError};

/// An answer whose head has arrived, with the attempt that it belongs to.
#[derive(Debug)]
pub(super) struct Answered<'a> {
    /// The answer.
    pub(super) reply: Reply,
    /// The endpoint, with what was estimated for it.
    pub(super) choice: Choice,
    /// Keeps the request in the endpoint's load.
    pub(super) placed: &'a RunGuard,
    /// When the request was sent.
    pub(super) sent_at: Millis,
}

impl Job<'_> {
    /// Judges an answer by its head and relays it if it is one for the caller.
    pub(super) async fn answered(
        &mut self,
        answerer: &mut Answerer,
        answered: Answered<'_>,
    ) -> Attempt {
        let key = answered.choice.key;
        let now = self.entry.clock.now();
        let response_info = self
            .entry
            .dialect
            .response_info(&answered.reply.head, &self.ask.id);
        self.heard(key, &response_info, now);
        let (announcement, id) = (response_info.announcement, self.ask.id.as_bytes());
        self.entry.record_announcement(key, announcement, id);
        self.entry
            .record_announced_limit(key, announcement.limit, answered.sent_at, id);
        if response_info.misdirected {
            answered.placed.undecided();
            return self.misdirected(key);
        }
        if response_info.not_run {
            answered.placed.undecided();
            return self.not_run(key, answered.reply, &response_info).await;
        }
        let status = answered.reply.head.status;
        if let Some(why) = self.fault(status, &response_info) {
            answered.placed.undecided();
            return self.failed(key, Fault::Answer, why);
        }
        let relaying = async {
            if !status.is_success() || self.route().shape == ResponseKind::Whole {
                self.relay_whole(answerer, answered, &response_info).await
            } else {
                self.relay_events(answerer, answered, &response_info).await
            }
        };
        let ended = self
            .entry
            .clock
            .timeout_at(self.last_word(), relaying)
            .await;
        ended.unwrap_or(Attempt::TimeOver)
    }

    /// Takes note of what the endpoint tells of itself.
    fn heard(&self, key: EndpointKey, response_info: &ResponseInfo, now: Millis) {
        self.entry.update_endpoint_state(key, |endpoint_state| {
            endpoint_state.record_contact(now);
            if let Some(report) = response_info.report {
                endpoint_state.load.record_report(report, now);
            }
        });
    }

    /// Another endpoint has this address now, and did not run the request.
    fn misdirected(&mut self, key: EndpointKey) -> Attempt {
        let why = "another endpoint has its address";
        self.attempts -= 1;
        self.entry.endpoint_ended(key, EndSign::Replaced);
        self.entry.endpoint_failed(key, Fault::Unreachable, why);
        self.log_failed(key, why, false);
        Attempt::NotRun(key)
    }

    /// Why an answer does not count; `None` when it is one for the caller.
    fn fault(&self, status: StatusCode, response_info: &ResponseInfo) -> Option<&'static str> {
        if status.is_success() {
            return (!response_info.sealed).then_some("success without the endpoint's seal");
        }
        if self.may_repeat() && status.is_server_error() && self.has_attempts() {
            return Some("the endpoint's own error");
        }
        (!response_info.sealed).then_some("an error without the endpoint's seal")
    }

    /// The endpoint says that it did not run the request.
    async fn not_run(
        &self,
        key: EndpointKey,
        mut reply: Reply,
        response_info: &ResponseInfo,
    ) -> Attempt {
        let status = reply.head.status;
        // The body is of no interest, but the connection can be kept once it has been read.
        if relay::read_body(&mut reply).await.is_ok() {
            self.keep(key, reply, response_info);
        }
        if response_info.announcement.rest.is_none() {
            let now = self.entry.clock.now();
            self.entry
                .update_endpoint_state(key, |endpoint_state| endpoint_state.load.mark_full(now));
            self.note_turned_away();
            if !self.is_busy(key) {
                let why = "refuses although it has room";
                self.entry.endpoint_failed(key, Fault::Answer, why);
            }
        }
        self.log_failed(key, &format!("not run, status {}", status.as_u16()), false);
        let urgency = self.route().priority;
        self.entry.metrics.attempt(&self.pool, urgency, "not_run");
        Attempt::NotRun(key)
    }

    /// Whether a refusal is due to load: most slots are taken, or requests wait there.
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

    /// The endpoint failed the request, which may have run.
    pub(super) fn failed(&self, key: EndpointKey, fault: Fault, why: &str) -> Attempt {
        self.entry.endpoint_failed(key, fault, why);
        self.log_failed(key, why, true);
        let urgency = self.route().priority;
        self.entry.metrics.attempt(&self.pool, urgency, "lost");
        Attempt::Lost(key)
    }

    /// Relays a body once it is whole.
    async fn relay_whole(
        &self,
        answerer: &mut Answerer,
        mut answered: Answered<'_>,
        response_info: &ResponseInfo,
    ) -> Attempt {
        let key = answered.choice.key;
        let Ok(body) = relay::read_body(&mut answered.reply).await else {
            answered.placed.broken();
            return self.failed(key, Fault::Answer, "the answer broke off");
        };
        let status = answered.reply.head.status;
        match status.is_server_error() {
            true => answered.placed.undecided(),
            false => answered.placed.answered(),
        }
        self.began(&answered.choice, answered.placed, answered.sent_at);
        let head = self.entry.dialect.caller_response(&answered.reply.head);
        self.keep(key, answered.reply, response_info);
        let how = self.account_whole(key, status);
        if answerer
            .send_response(head, body, self.is_closing())
            .await
            .is_err()
        {
            return Attempt::CallerGone;
        }
        self.log_ended(how, status.as_u16());
        Attempt::Over(answerer.keeps_connection())
    }

    /// Accounts a whole answer to its endpoint.
    fn account_whole(&self, key: EndpointKey, status: StatusCode) -> RequestOutcome {
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
        mut answered: Answered<'_>,
        response_info: &ResponseInfo,
    ) -> Attempt {
        let key = answered.choice.key;
        let status = answered.reply.head.status.as_u16();
        let head = self.entry.dialect.caller_response(&answered.reply.head);
        let context = RelayContext {
            position: &self.position,
            close: self.is_closing(),
        };
        let begin = || {
            self.began(&answered.choice, answered.placed, answered.sent_at);
            head.clone()
        };
        let left = || {
            let now = self.entry.clock.now();
            self.progress.borrow_mut().chunk_sent(now);
        };
        let next = async |reply: &mut Reply| self.next_piece(reply).await;
        let reply = &mut answered.reply;
        match relay::events(reply, answerer, context, next, begin, left).await {
            Ok(()) => {
                answered.placed.answered();
                self.keep(key, answered.reply, response_info);
                self.entry.endpoint_served(key);
                self.log_ended(RequestOutcome::Served, status);
                Attempt::Over(answerer.keeps_connection())
            }
            Err(RelayError::Caller) => Attempt::CallerGone,
            Err(RelayError::Endpoint) => {
                answered.placed.broken();
                self.failed(key, Fault::Answer, "the stream broke off")
            }
        }
    }

    /// The answer's first byte is about to leave.
    fn began(&self, choice: &Choice, placed: &RunGuard, sent_at: Millis) {
        let now = self.entry.clock.now();
        placed.read();
        let ids = self.ask.parts.iter().map(|part| part.id);
        self.entry
            .prefixes
            .borrow_mut()
            .record_prefill(choice.key, ids, now);
        self.entry
            .update_endpoint_state(choice.key, |endpoint_state| {
                endpoint_state.record_contact(now);
                endpoint_state
                    .record
                    .observe_response_time(now, now - sent_at, choice.nominal_ms);
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
    fn keep(&self, key: EndpointKey, reply: Reply, response_info: &ResponseInfo) {
        if let Some(mut channel) = reply.into_connection() {
            channel.idle_time = response_info.idle_time;
            self.entry.keep_connection(key, channel);
        }
    }

    fn is_closing(&self) -> bool {
        self.entry.process_state() != ProcessState::Serving
    }
}
