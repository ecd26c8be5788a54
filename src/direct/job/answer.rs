//! An endpoint's answer: judged by its head, relayed to the caller, accounted to the endpoint.

use actix_http::StatusCode;

use super::{Attempt, Job};
use crate::clock::Millis;
use crate::direct::answerer::Answerer;
use crate::direct::catalog::Shape;
use crate::direct::channel::Reply;
use crate::direct::choose::Choice;
use crate::direct::decision::EndedHow;
use crate::direct::dialect::Verdict;
use crate::direct::directory::EndpointKey;
use crate::direct::ends::EndSign;
use crate::direct::entry::{Life, Placed};
use crate::direct::health::Fault;
use crate::direct::relay::{self, Broken, Onward};

/// An answer whose head has arrived, with the attempt that it belongs to.
#[derive(Debug)]
pub(super) struct Answered<'a> {
    /// The answer.
    pub(super) reply: Reply,
    /// The endpoint, with what was estimated for it.
    pub(super) choice: Choice,
    /// Keeps the request in the endpoint's load.
    pub(super) placed: &'a Placed,
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
        let verdict = self
            .entry
            .dialect
            .verdict(&answered.reply.head, &self.ask.id);
        self.heard(key, &verdict, now);
        let (announcement, id) = (verdict.announcement, self.ask.id.as_bytes());
        self.entry.endpoint_announced(key, announcement, id);
        self.entry
            .endpoint_limited(key, announcement.limit, answered.sent_at, id);
        if verdict.misdirected {
            answered.placed.undecided();
            return self.misdirected(key);
        }
        if verdict.not_run {
            answered.placed.undecided();
            return self.not_run(key, answered.reply, &verdict).await;
        }
        let status = answered.reply.head.status;
        if let Some(why) = self.fault(status, &verdict) {
            answered.placed.undecided();
            return self.failed(key, Fault::Answer, why);
        }
        let relaying = async {
            if !status.is_success() || self.route().shape == Shape::Whole {
                self.relay_whole(answerer, answered, &verdict).await
            } else {
                self.relay_events(answerer, answered, &verdict).await
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
    fn heard(&self, key: EndpointKey, verdict: &Verdict, now: Millis) {
        self.entry.account(key, |account| {
            account.hear(now);
            if let Some(report) = verdict.report {
                account.load.record_report(report, now);
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
    fn fault(&self, status: StatusCode, verdict: &Verdict) -> Option<&'static str> {
        if status.is_success() {
            return (!verdict.sealed).then_some("success without the endpoint's seal");
        }
        if self.may_repeat() && status.is_server_error() && self.has_attempts() {
            return Some("the endpoint's own error");
        }
        (!verdict.sealed).then_some("an error without the endpoint's seal")
    }

    /// The endpoint says that it did not run the request.
    async fn not_run(&self, key: EndpointKey, mut reply: Reply, verdict: &Verdict) -> Attempt {
        let status = reply.head.status;
        // The body is of no interest, but the connection can be kept once it has been read.
        if relay::whole(&mut reply).await.is_ok() {
            self.keep(key, reply, verdict);
        }
        if verdict.announcement.rest.is_none() {
            let now = self.entry.clock.now();
            self.entry
                .account(key, |account| account.load.mark_full(now));
            self.note_turned_away();
            if !self.is_busy(key) {
                let why = "refuses although it has room";
                self.entry.endpoint_failed(key, Fault::Answer, why);
            }
        }
        self.log_failed(key, &format!("not run, status {}", status.as_u16()), false);
        let urgency = self.route().priority;
        self.entry.gauges.attempt(&self.pool, urgency, "not_run");
        Attempt::NotRun(key)
    }

    /// Whether a refusal is due to load: most slots are taken, or requests wait there.
    fn is_busy(&self, key: EndpointKey) -> bool {
        let now = self.entry.clock.now();
        let directory = self.entry.directory();
        let slots = directory.get(key).map_or(1, |e| e.listed.slots.max(1));
        let mut busy = false;
        self.entry.account(key, |account| {
            let running = account.load.total(now).running;
            busy = running * 2 >= slots || account.load.waiting(now) > 0;
        });
        busy
    }

    /// The endpoint failed the request, which may have run.
    pub(super) fn failed(&self, key: EndpointKey, fault: Fault, why: &str) -> Attempt {
        self.entry.endpoint_failed(key, fault, why);
        self.log_failed(key, why, true);
        let urgency = self.route().priority;
        self.entry.gauges.attempt(&self.pool, urgency, "lost");
        Attempt::Lost(key)
    }

    /// Relays a body once it is whole.
    async fn relay_whole(
        &self,
        answerer: &mut Answerer,
        mut answered: Answered<'_>,
        verdict: &Verdict,
    ) -> Attempt {
        let key = answered.choice.key;
        let Ok(body) = relay::whole(&mut answered.reply).await else {
            answered.placed.broken();
            return self.failed(key, Fault::Answer, "the answer broke off");
        };
        let status = answered.reply.head.status;
        match status.is_server_error() {
            true => answered.placed.undecided(),
            false => answered.placed.answered(),
        }
        self.began(&answered.choice, answered.placed, answered.sent_at);
        let head = self.entry.dialect.answer(&answered.reply.head);
        self.keep(key, answered.reply, verdict);
        let how = self.account_whole(key, status);
        if answerer.whole(head, body, self.is_closing()).await.is_err() {
            return Attempt::CallerGone;
        }
        self.log_ended(how, status.as_u16());
        Attempt::Over(answerer.is_kept())
    }

    /// Accounts a whole answer to its endpoint.
    fn account_whole(&self, key: EndpointKey, status: StatusCode) -> EndedHow {
        if status == StatusCode::GATEWAY_TIMEOUT {
            // The request's own time was over, which says nothing about the endpoint.
            return EndedHow::EndpointError;
        }
        if status.is_server_error() {
            let why = "the endpoint's own error";
            self.entry.endpoint_failed(key, Fault::Answer, why);
            return EndedHow::EndpointError;
        }
        self.entry.endpoint_served(key);
        EndedHow::Served
    }

    /// Relays events as they arrive.
    async fn relay_events(
        &self,
        answerer: &mut Answerer,
        mut answered: Answered<'_>,
        verdict: &Verdict,
    ) -> Attempt {
        let key = answered.choice.key;
        let status = answered.reply.head.status.as_u16();
        let head = self.entry.dialect.answer(&answered.reply.head);
        let onward = Onward {
            position: &self.position,
            close: self.is_closing(),
        };
        let begin = || {
            self.began(&answered.choice, answered.placed, answered.sent_at);
            head.clone()
        };
        let left = || {
            let now = self.entry.clock.now();
            self.progress.borrow_mut().piece_left(now);
        };
        let next = async |reply: &mut Reply| self.next_piece(reply).await;
        let reply = &mut answered.reply;
        match relay::events(reply, answerer, onward, next, begin, left).await {
            Ok(()) => {
                answered.placed.answered();
                self.keep(key, answered.reply, verdict);
                self.entry.endpoint_served(key);
                self.log_ended(EndedHow::Served, status);
                Attempt::Over(answerer.is_kept())
            }
            Err(Broken::Caller) => Attempt::CallerGone,
            Err(Broken::Endpoint) => {
                answered.placed.broken();
                self.failed(key, Fault::Answer, "the stream broke off")
            }
        }
    }

    /// The answer's first byte is about to leave.
    fn began(&self, choice: &Choice, placed: &Placed, sent_at: Millis) {
        let now = self.entry.clock.now();
        placed.read();
        let ids = self.ask.parts.iter().map(|part| part.id);
        self.entry
            .prefixes
            .borrow_mut()
            .record_prefill(choice.key, ids, now);
        self.entry.account(choice.key, |account| {
            account.hear(now);
            account
                .record
                .observe_response_time(now, now - sent_at, choice.nominal_ms);
        });
        let mut progress = self.progress.borrow_mut();
        if progress.first.is_none() {
            progress.first = Some(now);
            let ms = (now - self.incoming.at).0 as f64;
            self.entry
                .gauges
                .first_byte(&self.pool, self.priority(), ms);
        }
    }

    /// Keeps the connection for another request, if the answer left it usable.
    fn keep(&self, key: EndpointKey, reply: Reply, verdict: &Verdict) {
        if let Some(mut channel) = reply.into_channel() {
            channel.idle_time = verdict.idle_time;
            self.entry.keep_channel(key, channel);
        }
    }

    fn is_closing(&self) -> bool {
        self.entry.life() != Life::Serving
    }
}
