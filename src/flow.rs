//! A running answer as the entry reads it; one that breaks off goes on at another endpoint.
//!
//! Engines can resume a stream after a given token. So when the sidecar or the engine is lost
//! in the middle of a repeatable stream, the request is placed anew, asking for what comes
//! after the tokens that were delivered. The seam is checked at the sidecar.

use std::rc::Rc;

use crate::attempt::{self, Placed, Running};
use crate::clock::Millis;
use crate::entry::Entry;
use crate::intake::Job;
use crate::link::LinkError;
use crate::outcome::{FailReason, NotRunReason, Outcome, UnknownReason};
use crate::rerun;
use crate::suspicion;
use crate::wire::FromSidecar;

/// Times that one stream is taken up again.
const MAX_RESUMES: u32 = 3;

/// What comes next in an answer.
#[derive(Debug)]
pub enum Step {
    /// A part of the answer.
    Part(Vec<u8>),
    /// The head of a plain service's answer, or of an engine's refusal.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
    },
    /// The end.
    End(Outcome),
}

/// A running answer.
#[derive(Debug)]
pub struct Flow {
    /// The request.
    pub job: Job,
    entry: Rc<Entry>,
    running: Running,
    first: Option<FromSidecar>,
    /// Whether a step of the answer was returned.
    has_begun: bool,
    resumes: u32,
}

impl Flow {
    /// The answer of a request that has been started.
    pub fn new(entry: Rc<Entry>, job: Job, mut running: Running) -> Self {
        let first = running.first.take();
        Self {
            job,
            entry,
            running,
            first,
            has_begun: false,
            resumes: 0,
        }
    }

    /// Whether the answer begins with a head, as plain services' do.
    pub fn has_head(&self) -> bool {
        matches!(self.first, Some(FromSidecar::Head { .. }))
    }

    /// The next step; takes the stream up elsewhere when it breaks off.
    pub async fn next(&mut self) -> Step {
        loop {
            let message = match self.first.take() {
                Some(first) => Ok(Some(first)),
                None => suspicion::next_message(&self.entry, &mut self.running.reader).await,
            };
            let outcome = match self.read(message) {
                Step::End(outcome) => outcome,
                // A whole answer of its own, not the rest of the one that has begun.
                Step::Head { .. } if self.has_begun => Outcome::Failed(FailReason::EndpointError),
                step => {
                    self.has_begun = true;
                    return step;
                }
            };
            if !self.may_resume(&outcome) {
                return Step::End(outcome);
            }
            if !rerun::wait_for_budget(&self.entry).await {
                tracing::info!(request = %self.job.request, "no rerun was allowed in time");
                return Step::End(outcome);
            }
            if let Err(end) = self.resume(&outcome).await {
                tracing::info!(request = %self.job.request, ?end, "not taken up elsewhere");
                return Step::End(outcome);
            }
        }
    }

    /// Reads one message; a broken stream is an unknown outcome.
    fn read(&mut self, message: Result<Option<FromSidecar>, LinkError>) -> Step {
        match message {
            Ok(Some(FromSidecar::Chunk { tokens, part })) => {
                self.job.resume_from += u64::from(tokens);
                let version = &self.running.instance.software_version;
                self.job
                    .software_version
                    .get_or_insert_with(|| version.clone());
                Step::Part(part)
            }
            Ok(Some(FromSidecar::Head {
                status,
                content_type,
            })) => Step::Head {
                status,
                content_type,
            },
            Ok(Some(FromSidecar::End {
                request, outcome, ..
            })) => {
                if request == self.job.request {
                    return Step::End(outcome);
                }
                self.entry.node.metrics.foreign_answer();
                self.resumes = MAX_RESUMES;
                Step::End(Outcome::Unknown(UnknownReason::SidecarLost))
            }
            _ => Step::End(Outcome::Unknown(UnknownReason::SidecarLost)),
        }
    }

    /// Whether the stream may go on elsewhere: repeatable work of a pool that resumes.
    fn may_resume(&self, outcome: &Outcome) -> bool {
        let broke_off = match outcome {
            Outcome::Unknown(UnknownReason::SidecarLost | UnknownReason::EndpointLost) => true,
            Outcome::Failed(reason) => {
                matches!(reason, FailReason::StreamCut | FailReason::Stalled)
            }
            _ => false,
        };
        let is_refused = || suspicion::refusal(&self.entry, &self.job).is_some();
        broke_off && self.job.is_resumable() && self.resumes < MAX_RESUMES && !is_refused()
    }

    /// Places the rest of the stream at another endpoint; how the last search ended when none takes it.
    async fn resume(&mut self, broke: &Outcome) -> Result<(), Option<Outcome>> {
        self.resumes += 1;
        self.entry.node.metrics.resumed();
        let lost = self.running.instance.id.clone();
        let now = self.entry.node.clock.now();
        self.entry.router.borrow_mut().record_failure(now, &lost);
        self.job.avoid.push(lost);
        let until = now + rerun::MAX_WAIT;
        loop {
            match attempt::place(&self.entry, &mut self.job).await {
                Placed::Running(mut running) => {
                    self.first = running.first.take();
                    self.running = *running;
                    return Ok(());
                }
                Placed::Ended(end) if self.may_turn_back(broke, &end) => self.job.avoid.clear(),
                Placed::Ended(end) if self.may_search_again(&end, until) => {
                    rerun::pause_before_poll().await;
                }
                Placed::Ended(end) => return Err(Some(end)),
                Placed::Replay(_) => return Err(None),
            }
        }
    }

    /// Whether endpoints that broke the stream off before may be asked once more: none is left, and
    /// the last one was lost from sight, so it may only have been silent, or restarted since.
    fn may_turn_back(&self, broke: &Outcome, end: &Outcome) -> bool {
        let lost_from_sight = matches!(broke, Outcome::Unknown(UnknownReason::SidecarLost));
        lost_from_sight && found_none(end) && !self.job.avoid.is_empty()
    }

    /// Whether the stream is worth another search: an endpoint that did not answer its offer in time
    /// may only be busy.
    fn may_search_again(&self, end: &Outcome, until: Millis) -> bool {
        let pool = self.job.policy.pool_at(self.job.pool);
        let members = self.entry.node.replica.members();
        let has_other = members
            .sidecars(&pool.name)
            .filter(|instance| self.job.may_run_at(instance))
            .any(|instance| !self.job.avoid.contains(&instance.id));
        found_none(end) && has_other && self.entry.node.clock.now() < until
    }
}

/// Whether a search ended without any endpoint that answered.
fn found_none(end: &Outcome) -> bool {
    matches!(
        end,
        Outcome::NotRun {
            reason: NotRunReason::NoEndpoint,
            ..
        }
    )
}
