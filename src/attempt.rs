//! Placing a request: offers to endpoints until one grants a slot, then the work, once.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::clock::Millis;
use crate::entry::Entry;
use crate::intake::Job;
use crate::link::{Reader, Writer};
use crate::members::Instance;
use crate::offer::{self, InFlight, Reply, Reserved};
use crate::outcome::{NotRunReason, Outcome, UnknownReason};
use crate::rerun;
use crate::search::{self, Search, SearchResult, MAX_DISAGREEMENTS, NO_ENDPOINT_RETRY_AFTER};
use crate::suspicion;
use crate::wire::{Answer, FromSidecar, Offer, Start, ToSidecar};

/// Time for a sidecar to confirm a start before repeatable work goes elsewhere.
const START_REPLY: Duration = Duration::from_millis(1_000);
/// Time added to the longest wait for answers to travel.
const GRACE: Millis = Millis(500);

/// A stream on which the work has been started.
#[derive(Debug)]
pub struct Running {
    /// Where it runs.
    pub instance: Instance,
    /// Keeps the stream open; the run is withdrawn when it is dropped.
    pub writer: Writer,
    /// Answers.
    pub reader: Reader,
    /// The first message after the start.
    pub first: Option<FromSidecar>,
    /// Counts the request as in flight.
    pub guard: InFlight,
}

/// How placing a request ended.
#[derive(Debug)]
pub enum Placed {
    /// It runs.
    Running(Box<Running>),
    /// It ran before, and this was the answer.
    Replay(Answer),
    /// It does not run.
    Ended(Outcome),
}

/// Places a request and starts it, trying again only what is honest to try.
pub async fn place(entry: &Rc<Entry>, job: &mut Job) -> Placed {
    let mut tried = job.avoid.clone();
    loop {
        let reserved = match reserve(entry, job, &mut tried).await {
            Ok(reserved) => reserved,
            Err(placed) => return *placed,
        };
        let outcome = match start(entry, job, *reserved).await {
            Ok(placed) => return placed,
            Err(outcome) => outcome,
        };
        let is_refused = suspicion::refusal(entry, job).is_some();
        if is_refused || !may_try_again(entry, job, &outcome).await {
            return Placed::Ended(outcome);
        }
    }
}

/// Whether a request whose start failed may be placed once more.
///
/// A stream whose endpoint broke before its first token waits for the budget like one that broke off later, or some of many
/// that break together are given up.
async fn may_try_again(entry: &Entry, job: &Job, outcome: &Outcome) -> bool {
    match outcome {
        Outcome::NotRun { reason, .. } => reason.try_elsewhere() && !is_keyed(job),
        Outcome::Unknown(_) | Outcome::Failed(_) if !job.once => {
            let allowed = match job.is_resumable() {
                true => rerun::wait_for_budget(entry).await,
                false => entry.reruns.borrow_mut().withdraw(),
            };
            if allowed {
                entry.node.metrics.rerun();
            }
            allowed
        }
        _ => false,
    }
}

/// Whether only the key's home may run the work.
fn is_keyed(job: &Job) -> bool {
    job.once && job.key.is_some()
}

/// Offers the request until a slot is held for it.
async fn reserve(
    entry: &Rc<Entry>,
    job: &mut Job,
    tried: &mut Vec<String>,
) -> Result<Box<Reserved>, Box<Placed>> {
    let max_wait = search::longest_wait(job);
    let clock = &entry.node.clock;
    let until = clock.now() + max_wait + GRACE;
    let mut search = Search::new(entry, job);
    let outcome = match clock.timeout_at(until, search.run(tried)).await {
        Some(SearchResult::Reserved(reserved)) => return Ok(reserved),
        Some(SearchResult::Replay(answer)) => return Err(Box::new(Placed::Replay(answer))),
        Some(SearchResult::Ended(outcome)) => outcome,
        None => Outcome::not_run(NotRunReason::DeadlinePassed, NO_ENDPOINT_RETRY_AFTER),
    };
    let spoken = search.home_ruled_out_run;
    Err(Box::new(Placed::Ended(honest_for_key(
        job, outcome, spoken,
    ))))
}

/// A refusal without the home's word says nothing about earlier attempts under the key.
fn honest_for_key(job: &Job, outcome: Outcome, home_ruled_out_run: bool) -> Outcome {
    match outcome {
        Outcome::NotRun { .. } if is_keyed(job) && !home_ruled_out_run => {
            Outcome::Unknown(UnknownReason::HomeUnreachable)
        }
        other => other,
    }
}

/// Sends the work under a grant and waits for the first part of the answer.
async fn start(entry: &Rc<Entry>, job: &Job, reserved: Reserved) -> Result<Placed, Outcome> {
    let Reserved {
        instance,
        mut writer,
        mut reader,
        grant,
        guard,
    } = reserved;
    let lost = Outcome::Unknown(UnknownReason::SidecarLost);
    let message = ToSidecar::Start(Start {
        grant,
        path: job.path.clone(),
        body: job.body.to_vec(),
        resume_from: job.resume_from,
    });
    if writer.send(&message).await.is_err() {
        return Err(lost);
    }
    let confirmed = tokio::select! {
        message = suspicion::next_message(entry, &mut reader) => message,
        () = sleep(START_REPLY), if !job.once => {
            let now = entry.node.clock.now();
            entry.router.borrow_mut().record_failure(now, &instance.id);
            return Err(Outcome::Unknown(UnknownReason::Silent));
        }
    };
    match confirmed {
        Ok(Some(FromSidecar::Started)) => {}
        Ok(Some(FromSidecar::End {
            request, outcome, ..
        })) if request == job.request => {
            return Err(outcome);
        }
        _ => return Err(lost),
    }
    match suspicion::next_message(entry, &mut reader).await {
        Ok(Some(FromSidecar::End {
            request, outcome, ..
        })) if !outcome.is_completed() => Err(if request == job.request {
            outcome
        } else {
            lost
        }),
        Ok(Some(first)) => {
            let running = Running {
                instance,
                writer,
                reader,
                first: Some(first),
                guard,
            };
            Ok(Placed::Running(Box::new(running)))
        }
        _ => Err(lost),
    }
}

/// Asks a key's home whether anything ran under the key, before this entry refuses it.
pub async fn confirm_refusal(entry: &Rc<Entry>, job: &mut Job, refusal: Outcome) -> Outcome {
    let (Some(key), true) = (job.key, job.once) else {
        return refusal;
    };
    let unreachable = Outcome::Unknown(UnknownReason::HomeUnreachable);
    let mut search = Search::new(entry, job);
    for _ in 0..MAX_DISAGREEMENTS {
        let Some(instance) = search.next_endpoint(&[]) else {
            return unreachable;
        };
        let offer = Offer {
            query: true,
            key: Some(key),
            ..search.build_offer(&instance)
        };
        let (notices, _noticed) = mpsc::unbounded_channel();
        let (asked, reply) = offer::ask(Rc::clone(entry), instance, offer, notices).await;
        match reply {
            Reply::Ended(Outcome::NotRun { reason, .. }) if reason.speaks_for_key() => {
                return refusal;
            }
            Reply::Ended(Outcome::NotRun { reason, .. }) if reason.disagrees() => {
                if !search.sync_documents(&asked).await {
                    return unreachable;
                }
            }
            Reply::Ended(Outcome::NotRun { .. }) | Reply::Silent | Reply::Reserved(_) => {
                return unreachable;
            }
            Reply::Ended(outcome) => return outcome,
            Reply::Replay(_) => return Outcome::AlreadyRan,
        }
    }
    unreachable
}
