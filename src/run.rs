//! One run at an endpoint: start, stream, pause and resume, end.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;

use crate::bundle::PoolKind;
use crate::clock::Millis;
use crate::endpoint::{Call, EndpointError, Reply};
use crate::keys::MAX_KEPT_ANSWER;
use crate::link::Writer;
use crate::outcome::{FailReason, NotRunReason, Outcome, UnknownReason, Usage};
use crate::schedule::TicketKey;
use crate::sidecar::{Sidecar, Turn};
use crate::sse::{self, EngineUsage, Event, Splitter};
use crate::wire::{Answer, FromSidecar, Offer, Start};

/// Time for an entry to take a part of the answer before the run is given up.
const SLOW_CALLER: Duration = Duration::from_secs(30);
/// Largest answer of a plain service, in bytes.
pub const MAX_PLAIN_ANSWER: usize = 1 << 20;
/// Bytes a second below which an answer that has taken as long as the longest silence is given up.
const MIN_ANSWER_RATE: u64 = 1_024;
/// Advice to come back when the endpoint could not be reached.
const UNREACHABLE: Millis = Millis(1_000);

/// What there is to run.
#[derive(Debug)]
pub struct Job<'a> {
    /// What the entry asked for.
    pub offer: &'a Offer,
    /// The work.
    pub start: &'a Start,
    /// Its ticket, which holds a slot.
    pub ticket: TicketKey,
    /// The class's urgency.
    pub priority: u8,
    /// Longest silence of the endpoint.
    pub stall: Millis,
}

/// How a run ended.
#[derive(Debug)]
pub enum Ran {
    /// Nothing was sent to the endpoint.
    NeverStarted(Outcome),
    /// It ran.
    Ended {
        /// What became of it.
        outcome: Outcome,
        /// The whole answer, kept for work that may run only once.
        answer: Option<Answer>,
        /// Tokens generated and delivered.
        tokens: u64,
    },
}

impl Ran {
    /// Tokens to charge to the team.
    pub const fn tokens(&self) -> u64 {
        match self {
            Self::NeverStarted(_) => 0,
            Self::Ended { tokens, .. } => *tokens,
        }
    }
}

/// Why the stream from the endpoint stopped.
#[derive(Debug)]
enum Stop {
    Done,
    Paused,
    Abandoned,
    Failed(FailReason),
}

struct Run<'a> {
    sidecar: &'a Rc<Sidecar>,
    job: Job<'a>,
    turns: &'a mut UnboundedReceiver<Turn>,
    writer: &'a mut Writer,
    delivered: u64,
    usage: EngineUsage,
    kept: Vec<u8>,
    entry_gone: bool,
    /// Whether the run goes on after tokens that the caller has already.
    resumed: bool,
    /// Whether anything was sent to the endpoint.
    sent: bool,
}

/// Runs a job whose grant has been used.
pub async fn execute(
    sidecar: &Rc<Sidecar>,
    job: Job<'_>,
    turns: &mut UnboundedReceiver<Turn>,
    writer: &mut Writer,
) -> Ran {
    if let Some(key) = job.offer.key.filter(|_| job.offer.once) {
        sidecar.keys.borrow_mut().started(key);
    }
    let entry_gone = writer.send(&FromSidecar::Started).await.is_err();
    let resume_from = job.start.resume_from;
    let mut run = Run {
        sidecar,
        job,
        turns,
        writer,
        delivered: resume_from,
        usage: EngineUsage::default(),
        kept: Vec::new(),
        entry_gone,
        resumed: resume_from > 0,
        sent: false,
    };
    // It may have announced that since the slot was granted.
    if let Some(wait) = sidecar.unwilling() {
        return Ran::NeverStarted(Outcome::not_run(NotRunReason::EndpointFailing, wait));
    }
    // Callers come back, or go elsewhere: what waited here would keep slots from others.
    if let Err(wait) = sidecar.take_call(run.job.priority) {
        return Ran::NeverStarted(Outcome::not_run(NotRunReason::EndpointFailing, wait));
    }
    if entry_gone && !run.outlives_entry() {
        return Ran::NeverStarted(Outcome::not_run(NotRunReason::GrantLapsed, UNREACHABLE));
    }
    match sidecar.kind() {
        PoolKind::Model => run.model().await,
        PoolKind::Plain => run.plain().await,
    }
}

impl Run<'_> {
    /// Whether the run goes on without its entry, so that its key's outcome becomes known.
    fn outlives_entry(&self) -> bool {
        self.job.offer.once && self.job.offer.key.is_some()
    }

    fn call(&self) -> Call {
        Call {
            run: self.job.offer.request,
            incarnation: self.sidecar.node.incarnation,
            priority: self.job.priority,
            path: self.job.start.path.clone(),
            body: Bytes::copy_from_slice(&self.job.start.body),
            resume_from: self.resumed.then_some(self.delivered),
        }
    }

    async fn model(&mut self) -> Ran {
        loop {
            let reply = match self.open().await {
                Ok(reply) => reply,
                Err(ran) => return ran,
            };
            let stop = self.stream(reply).await;
            match stop {
                Stop::Done => return self.completed(),
                Stop::Failed(reason) => return self.failed(reason).await,
                Stop::Abandoned => return self.failed(FailReason::SlowCaller).await,
                Stop::Paused => {
                    if !self.wait_for_resume().await {
                        return self.failed(FailReason::SlowCaller).await;
                    }
                    self.wait_for_call().await;
                    self.resumed = true;
                }
            }
        }
    }

    /// Waits until a run that goes on may call the endpoint again within its limit.
    async fn wait_for_call(&self) {
        while let Err(wait) = self.sidecar.take_call(self.job.priority) {
            let clock = &self.sidecar.node.clock;
            clock.sleep_until(clock.now() + wait).await;
        }
    }

    /// Sends the call; the head of the answer, or how the run ended without one.
    async fn send(&mut self) -> Result<Reply, Ran> {
        let bound = self.job.stall.duration();
        let sent = self.sidecar.node.clock.now();
        let called = timeout(bound, self.sidecar.endpoint.call(self.call())).await;
        match called {
            Ok(Ok(reply)) => {
                self.sent = true;
                self.sidecar.announced(reply.announcement);
                self.sidecar.limited(reply.announcement.limit, sent);
                Ok(reply)
            }
            Ok(Err(EndpointError::NotSent)) => {
                self.sidecar.note_health(false);
                Err(self.not_sent())
            }
            Ok(Err(EndpointError::Lost)) | Err(_) => {
                self.sidecar.note_health(false);
                Err(self.lost().await)
            }
        }
    }

    /// Sends the call to an engine and checks the head of the answer.
    async fn open(&mut self) -> Result<Reply, Ran> {
        let first = !self.resumed;
        let reply = self.send().await?;
        if reply.status >= 500 {
            self.note_error(&reply);
            return Err(self.lost().await);
        }
        if reply.status >= 400 {
            return Err(self.pass_refusal(reply).await);
        }
        let at_seam = first || reply.resumed_at.is_some_and(|at| at <= self.delivered);
        if at_seam {
            Ok(reply)
        } else {
            Err(self.failed(FailReason::BadSeam).await)
        }
    }

    /// Delivers the endpoint's events until the end, a pause or a fault.
    async fn stream(&mut self, reply: Reply) -> Stop {
        let mut body = reply.body;
        let mut skip = self.delivered - reply.resumed_at.unwrap_or(0).min(self.delivered);
        let mut splitter = Splitter::default();
        let clock = self.sidecar.node.clock.clone();
        // Bytes that add nothing to the answer are no better than silence.
        let mut progressed_at = clock.now();
        loop {
            let stalled_at = progressed_at + self.job.stall;
            let piece = tokio::select! {
                piece = clock.timeout_at(stalled_at, body.next()) => piece,
                Some(Turn::Pause) = self.turns.recv() => return Stop::Paused,
                () = self.writer.gone(), if !self.entry_gone => {
                    self.entry_gone = true;
                    if self.outlives_entry() {
                        continue;
                    }
                    return Stop::Abandoned;
                }
            };
            match piece {
                None => return Stop::Failed(FailReason::Stalled),
                Some(None | Some(Err(_))) => return Stop::Failed(FailReason::StreamCut),
                Some(Some(Ok(bytes))) => splitter.push(&bytes),
            }
            if splitter.is_oversize() {
                return Stop::Failed(FailReason::EndpointError);
            }
            let before = self.delivered;
            let skip_before = skip;
            let (part, done) = self.collect(&mut splitter, &mut skip);
            let tokens = (self.delivered - before) as u32;
            if tokens > 0 || skip < skip_before {
                progressed_at = clock.now();
            }
            if !part.is_empty() && !self.deliver(tokens, part).await {
                return Stop::Abandoned;
            }
            if done {
                return Stop::Done;
            }
        }
    }

    /// Takes all whole events; tokens that were delivered before a pause are dropped.
    fn collect(&mut self, splitter: &mut Splitter, skip: &mut u64) -> (Vec<u8>, bool) {
        let mut part = Vec::new();
        while let Some(event) = splitter.next_event() {
            match sse::read(&event) {
                Event::Done => return (part, true),
                Event::Token(_) if *skip > 0 => {
                    *skip -= 1;
                    continue;
                }
                Event::Token(_) => self.delivered += 1,
                Event::Usage(usage) => self.usage = usage,
                Event::Other => {}
            }
            part.extend_from_slice(&event);
        }
        (part, false)
    }

    /// Sends a part to the entry; false when the entry does not take it in time.
    async fn deliver(&mut self, tokens: u32, part: Vec<u8>) -> bool {
        if self.outlives_entry() && self.kept.len() <= MAX_KEPT_ANSWER {
            self.kept.extend_from_slice(&part);
        }
        if self.entry_gone {
            return self.outlives_entry();
        }
        let chunk = FromSidecar::Chunk { tokens, part };
        let sent = timeout(SLOW_CALLER, self.writer.send(&chunk)).await;
        if matches!(sent, Ok(Ok(()))) {
            return true;
        }
        self.entry_gone = true;
        self.outlives_entry()
    }

    /// Gives the slot up and waits for the next turn; false when the entry goes meanwhile.
    async fn wait_for_resume(&mut self) -> bool {
        self.sidecar.endpoint.cancel(self.job.offer.request).await;
        self.sidecar.paused(self.job.ticket);
        loop {
            tokio::select! {
                turn = self.turns.recv() => match turn {
                    Some(Turn::Resume) => return true,
                    Some(_) => {}
                    None => return false,
                },
                () = self.writer.gone(), if !self.entry_gone => {
                    self.entry_gone = true;
                    if !self.outlives_entry() {
                        return false;
                    }
                }
            }
        }
    }

    fn completed(&mut self) -> Ran {
        self.sidecar.note_health(true);
        let metrics = &self.sidecar.node.metrics;
        metrics.tokens(self.delivered - self.job.start.resume_from);
        metrics.wasted(self.usage.recomputed_tokens);
        let usage = Usage {
            prompt_tokens: self.usage.prompt_tokens,
            completion_tokens: self.delivered,
            recomputed_tokens: self.usage.recomputed_tokens,
        };
        let kept = std::mem::take(&mut self.kept);
        let content_type = "text/event-stream".to_owned();
        let answer = Answer {
            status: 200,
            content_type,
            body: kept,
        };
        self.ended(Outcome::Completed(usage), Some(answer))
    }

    async fn failed(&mut self, reason: FailReason) -> Ran {
        self.sidecar
            .node
            .metrics
            .wasted(self.delivered - self.job.start.resume_from);
        if !matches!(reason, FailReason::SlowCaller) {
            self.sidecar.note_health(false);
        }
        self.sidecar.endpoint.cancel(self.job.offer.request).await;
        self.ended(Outcome::Failed(reason), None)
    }

    async fn lost(&mut self) -> Ran {
        self.sidecar.endpoint.cancel(self.job.offer.request).await;
        self.ended(Outcome::Unknown(UnknownReason::EndpointLost), None)
    }

    fn not_sent(&self) -> Ran {
        if !self.sent {
            let reason = NotRunReason::EndpointFailing;
            return Ran::NeverStarted(Outcome::not_run(reason, UNREACHABLE));
        }
        self.ended(Outcome::Failed(FailReason::StreamCut), None)
    }

    fn ended(&self, outcome: Outcome, answer: Option<Answer>) -> Ran {
        Ran::Ended {
            outcome,
            answer,
            tokens: self.delivered - self.job.start.resume_from,
        }
    }

    /// Passes on a model engine's 4xx: the caller's request is at fault.
    async fn pass_refusal(&mut self, reply: Reply) -> Ran {
        self.sidecar.note_health(true);
        match self.collect_whole(reply).await {
            Some(answer) => self.hand_over(answer).await,
            None => self.lost().await,
        }
    }

    async fn plain(&mut self) -> Ran {
        let reply = match self.send().await {
            Ok(reply) => reply,
            Err(ran) => return ran,
        };
        if reply.status >= 500 {
            self.note_error(&reply);
        }
        let Some(answer) = self.collect_whole(reply).await else {
            self.sidecar.note_health(false);
            return self.lost().await;
        };
        if answer.status < 500 {
            self.sidecar.note_health(true);
        }
        self.hand_over(answer).await
    }

    /// The endpoint answered with an error of its own; one that asks for rest has not failed.
    fn note_error(&self, reply: &Reply) {
        if reply.announcement.rest.is_none() {
            self.sidecar.note_health(false);
        }
    }

    /// The whole body; `None` when it was cut, stalled, too long or too slow.
    async fn collect_whole(&self, reply: Reply) -> Option<Answer> {
        let Reply {
            status,
            content_type,
            mut body,
            ..
        } = reply;
        let stall = self.job.stall.duration();
        let clock = &self.sidecar.node.clock;
        let begun = clock.now();
        let mut whole = Vec::new();
        while let Some(piece) = timeout(stall, body.next()).await.ok()? {
            whole.extend_from_slice(&piece.ok()?);
            let took = clock.now() - begun;
            let least = took.0 * MIN_ANSWER_RATE / 1_000;
            let is_too_slow = took >= self.job.stall && (whole.len() as u64) < least;
            if whole.len() > MAX_PLAIN_ANSWER || is_too_slow {
                return None;
            }
        }
        Some(Answer {
            status,
            content_type,
            body: whole,
        })
    }

    async fn hand_over(&mut self, answer: Answer) -> Ran {
        let head = FromSidecar::Head {
            status: answer.status,
            content_type: answer.content_type.clone(),
        };
        let body = FromSidecar::Chunk {
            tokens: 0,
            part: answer.body.clone(),
        };
        for message in [&head, &body] {
            let _ = timeout(SLOW_CALLER, self.writer.send(message)).await;
        }
        self.ended(Outcome::Completed(Usage::default()), Some(answer))
    }
}
