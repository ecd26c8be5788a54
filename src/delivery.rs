//! Delivery of an answer to its caller: whole or not at all, or as events with a clear end.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::Response;
use bytes::Bytes;
use futures_util::stream;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::answer;
use crate::attempt::Running;
use crate::bundle::PoolKind;
use crate::entry::{Counted, Entry};
use crate::flow::{Flow, Step};
use crate::intake::Job;
use crate::memory::{HeldMemory, Purpose};
use crate::outcome::{FailReason, Outcome, Usage};
use crate::run::MAX_PLAIN_ANSWER;
use crate::sse::{self, Event, Splitter};
use crate::wire::Answer;

/// Parts of an answer that wait for a slow caller; behind them the stream stands still.
const PARTS_AHEAD: usize = 8;
/// Time for a caller to take one part before its answer is cut.
const SLOW_CALLER: Duration = Duration::from_secs(30);
/// Time for an error event to leave before the connection is cut.
const ERROR_LEAVES: Duration = Duration::from_millis(50);
/// Bytes of a whole answer that are held in one block.
const BLOCK: usize = 64 << 10;
/// Largest whole answer, in bytes.
const MAX_WHOLE: usize = 8 * MAX_PLAIN_ANSWER;

/// Marks the end of a stream that did not complete; the connection is then cut.
#[derive(Debug, Clone, Copy)]
struct Truncated;

impl std::fmt::Display for Truncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer did not complete")
    }
}

impl std::error::Error for Truncated {}

/// Answers with what a running request delivers.
pub async fn deliver(
    entry: Rc<Entry>,
    job: Job,
    running: Running,
    counted: Counted,
) -> Response<BoxBody> {
    let is_model = job.policy.pool_at(job.pool).kind == PoolKind::Model;
    let mut flow = Flow::new(Rc::clone(&entry), job, running);
    let has_head = flow.has_head();
    if is_model && flow.job.stream && !has_head {
        return deliver_events(entry, flow, counted);
    }
    let mut held = entry.memory.begin(Purpose::Answer);
    let whole = collect(&mut flow, &mut held).await;
    let job = &flow.job;
    let counted = (counted, held);
    match whole {
        Ok((answer, usage)) => {
            entry.settle(job, &Outcome::Completed(usage));
            if is_model && !has_head {
                completion(job, &answer.body, usage, counted)
            } else {
                answer::passed_on(job.request, answer, counted)
            }
        }
        Err(outcome) => {
            entry.settle(job, &outcome);
            answer::refusal(job.request, &outcome)
        }
    }
}

/// Answers with what an earlier run under the same key delivered.
pub fn replay(job: &Job, earlier: Answer, counted: Counted) -> Response<BoxBody> {
    if job.policy.pool_at(job.pool).kind == PoolKind::Plain || earlier.status != 200 {
        return answer::passed_on(job.request, earlier, counted);
    }
    if job.stream {
        let parts = [Bytes::from(earlier.body), Bytes::from_static(sse::DONE)];
        let parts = parts.into_iter().map(Ok::<_, Truncated>);
        return answer::events(job.request, BodyStream::new(stream::iter(parts)));
    }
    let tokens = text_of(&earlier.body).1;
    let usage = Usage {
        completion_tokens: tokens,
        ..Usage::default()
    };
    completion(job, &earlier.body, usage, counted)
}

fn completion<G: 'static>(job: &Job, events: &[u8], usage: Usage, guard: G) -> Response<BoxBody> {
    answer::completion(job, &text_of(events).0, &usage, guard)
}

/// The text of a stream of events, and its count of tokens.
fn text_of(events: &[u8]) -> (String, u64) {
    let mut splitter = Splitter::default();
    splitter.push(events);
    let mut text = String::new();
    let mut tokens = 0;
    while let Some(event) = splitter.next_event() {
        if let Event::Token(token) = sse::read(&event) {
            text.push_str(&token);
            tokens += 1;
        }
    }
    (text, tokens)
}

/// Collects a whole answer; nothing is shown to the caller before its end is known.
async fn collect(flow: &mut Flow, held: &mut HeldMemory) -> Result<(Answer, Usage), Outcome> {
    let (mut status, mut content_type) = (200, String::new());
    let mut blocks = Blocks::default();
    let mut bytes = 0;
    loop {
        match flow.next().await {
            Step::Part(part) => {
                bytes += part.len();
                if bytes > MAX_WHOLE {
                    return Err(Outcome::Failed(FailReason::EndpointError));
                }
                if !held.grow_to(bytes) {
                    return Err(Outcome::Failed(FailReason::NoRoom));
                }
                blocks.append(&part);
            }
            Step::Head {
                status: named,
                content_type: kind,
            } => (status, content_type) = (named, kind),
            Step::End(Outcome::Completed(usage)) => {
                let answer = Answer {
                    status,
                    content_type,
                    body: blocks.0.concat(),
                };
                return Ok((answer, usage));
            }
            Step::End(outcome) => return Err(outcome),
        }
    }
}

/// Bytes in blocks of one size. One buffer would be copied, and so held twice, each time that it
/// grows, and buffers of many sizes leave gaps between them.
#[derive(Debug, Default)]
struct Blocks(Vec<Vec<u8>>);

impl Blocks {
    fn append(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let room = self.0.last().map_or(0, |last| BLOCK - last.len());
            let (now, later) = bytes.split_at(bytes.len().min(room));
            match self.0.last_mut() {
                Some(last) if room > 0 => last.extend_from_slice(now),
                _ => self.0.push(Vec::with_capacity(BLOCK)),
            }
            bytes = later;
        }
    }
}

fn deliver_events(entry: Rc<Entry>, flow: Flow, counted: Counted) -> Response<BoxBody> {
    let (tx, rx) = mpsc::channel(PARTS_AHEAD);
    let request = flow.job.request;
    actix_rt::spawn(pump(entry, flow, tx));
    let body = stream::unfold((rx, counted), |(mut rx, counted)| async move {
        Some((rx.recv().await?, (rx, counted)))
    });
    answer::events(request, BodyStream::new(body))
}

/// Moves the parts of a stream to the caller until its end.
async fn pump(entry: Rc<Entry>, mut flow: Flow, tx: mpsc::Sender<Result<Bytes, Truncated>>) {
    let outcome = loop {
        let step = tokio::select! {
            step = flow.next() => step,
            () = tx.closed() => {
                entry.node.metrics.caller_gone();
                break Outcome::Failed(FailReason::SlowCaller);
            }
        };
        match step {
            Step::Part(part) => {
                if !hand_over(&tx, part.into()).await {
                    entry.node.metrics.caller_gone();
                    break Outcome::Failed(FailReason::SlowCaller);
                }
            }
            Step::Head { .. } => break Outcome::Failed(FailReason::EndpointError),
            Step::End(outcome) => break outcome,
        }
    };
    entry.settle(&flow.job, &outcome);
    if outcome.is_completed() {
        hand_over(&tx, Bytes::from_static(sse::DONE)).await;
    } else {
        hand_over(&tx, answer::error_event(flow.job.request, &outcome)).await;
        sleep(ERROR_LEAVES).await;
        let _ = tx.send(Err(Truncated)).await;
    }
}

async fn hand_over(tx: &mpsc::Sender<Result<Bytes, Truncated>>, part: Bytes) -> bool {
    matches!(timeout(SLOW_CALLER, tx.send(Ok(part))).await, Ok(Ok(())))
}
