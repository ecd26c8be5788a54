//! Waiting for capacity before the first attempt, for requests whose callers have time (see
//! [`crate::direct::catalog::Catalog::may_wait`]).

use super::{AttemptOutcome, Job};
use crate::clock::Millis;
use crate::direct::admission::waiting::WaitingRequest;
use crate::direct::decision::{Decision, RefusalReason};
use crate::direct::entry::{Entered, Entering, Verdict, WaitGuard};
use crate::direct::placement::choose::Choice;

/// Time for a token of the answer where the time of runs is not known, in ms.
const ASSUMED_TOKEN_MS: f64 = 4.0;
/// Divisor of the route's timeout that gives the longest time that a run is assumed to take.
const RUN_TIME_DIVISOR: u64 = 2;

impl Job<'_> {
    /// Decides whether the request is sent to the chosen endpoint. If it may wait, it does so until
    /// the pool has room, and the endpoint is then chosen anew. Returns the choice, or how the
    /// attempt ends.
    pub(super) async fn admit(&mut self, choice: Choice) -> Result<Choice, AttemptOutcome> {
        if self.was_let_start {
            return Ok(self.reserve(choice));
        }
        let refusal = self.admission_refusal(&choice);
        if !self.may_wait() {
            return match refusal {
                Some(why) => Err(AttemptOutcome::NotAdmitted(why)),
                None => Ok(choice),
            };
        }
        let req = self.waiting_request(&choice);
        let entering = match refusal {
            None if has_room(&choice) => Entering::Arrived,
            _ => Entering::NotAdmitted,
        };
        match self.entry.enter_queue(&self.pool, req, entering) {
            Entered::Start(_) => Ok(self.reserve(choice)),
            Entered::Wait(guard) => self.wait_for_capacity(guard, req).await,
            Entered::TooLong { expected } => Err(self.wait_refusal(expected)),
            Entered::Full { waiting } => {
                self.count_wait("full");
                let why = RefusalReason::QueueFull { waiting };
                Err(AttemptOutcome::NotAdmitted(why))
            }
        }
    }

    /// Counts the request as load of its endpoint until it is sent there.
    fn reserve(&mut self, choice: Choice) -> Choice {
        self.reservation = Some(self.entry.reserve(choice.key, choice.footprint));
        choice
    }

    /// Whether the request may wait: its route's requests may, and it was not sent yet.
    fn may_wait(&self) -> bool {
        self.attempts == 0
            && !self.may_have_run
            && !self.resumes_from_copy
            && self.catalog.may_wait(self.route(), &self.pool)
    }

    /// Waits until the request may start, and chooses its endpoint then.
    async fn wait_for_capacity(
        &mut self,
        mut guard: WaitGuard,
        req: WaitingRequest,
    ) -> Result<Choice, AttemptOutcome> {
        let since = self.entry.clock.now();
        let mut is_logged = false;
        loop {
            let verdict = match guard.try_verdict() {
                Some(verdict) => verdict,
                None => {
                    if !std::mem::replace(&mut is_logged, true) {
                        self.log_waiting(&req);
                    }
                    self.await_verdict(&mut guard).await?
                }
            };
            self.waited = self.entry.clock.now() - since;
            let start = match verdict {
                Verdict::Start(start) => start,
                Verdict::Displaced => return Err(self.displaced(&req)),
                Verdict::Refuse { expected } => return Err(self.wait_refusal(expected)),
            };
            let Some(choice) = self.next_choice() else {
                drop(start);
                self.was_let_start = true;
                return Err(self.wait_for_permit().await);
            };
            if has_room(&choice) {
                self.was_let_start = true;
                if is_logged {
                    self.log_wait_ended();
                }
                return Ok(self.reserve(choice));
            }
            start.undo();
            let entered = self
                .entry
                .enter_queue(&self.pool, req, Entering::NoRoomFound);
            if let Entered::Wait(again) = entered {
                guard = again;
            }
        }
    }

    async fn await_verdict(&self, guard: &mut WaitGuard) -> Result<Verdict, AttemptOutcome> {
        let verdict = self
            .entry
            .clock
            .timeout_at(self.deadline, guard.verdict())
            .await;
        match verdict.flatten() {
            Some(verdict) => Ok(verdict),
            None => {
                self.count_wait("time_over");
                Err(AttemptOutcome::TimeOver)
            }
        }
    }

    /// What the entry's queue has to know of the request.
    fn waiting_request(&self, choice: &Choice) -> WaitingRequest {
        let latest_start = self.deadline - self.run_time(choice);
        WaitingRequest {
            band: self.band(),
            team: self.team_digest(),
            excess: self.team_excess(),
            arrived: self.incoming.received_at,
            unread: choice.footprint.unread,
            held: choice.footprint.held,
            body_bytes: self.incoming.body.len(),
            latest_start,
        }
    }

    /// Time from the start of the request to the end of its answer, as known of earlier ones.
    fn run_time(&self, choice: &Choice) -> Millis {
        let known = self.entry.run_time(&self.pool, self.band());
        let assumed = choice.expected_ms + self.ask.output_tokens as f64 * ASSUMED_TOKEN_MS;
        let longest = Millis(self.route().timeout.0 / RUN_TIME_DIVISOR);
        known.unwrap_or(Millis(assumed as u64)).min(longest)
    }

    fn displaced(&self, req: &WaitingRequest) -> AttemptOutcome {
        self.count_wait("displaced");
        let expected = self.entry.expected_wait(&self.pool, req);
        AttemptOutcome::NotAdmitted(self.share_refusal(expected))
    }

    fn wait_refusal(&self, expected: Millis) -> AttemptOutcome {
        self.count_wait("refused");
        AttemptOutcome::NotAdmitted(RefusalReason::WaitTooLong {
            expected_ms: expected.0,
            waited_ms: self.waited.0,
        })
    }

    fn log_waiting(&self, req: &WaitingRequest) {
        let waiting = Decision::Waiting {
            route: self.route().name.clone(),
            unread: req.unread,
            expected_ms: self.entry.expected_wait(&self.pool, req).0,
            latest_start_ms: (req.latest_start - self.entry.clock.now()).0,
            waiting: self.entry.waiting.len(),
        };
        self.entry.log.request(self.ask.id.as_bytes(), waiting);
    }

    fn log_wait_ended(&self) {
        let ended = Decision::WaitEnded {
            route: self.route().name.clone(),
            waited_ms: self.waited.0,
        };
        self.entry.log.request(self.ask.id.as_bytes(), ended);
        self.count_wait("sent");
    }

    fn count_wait(&self, outcome: &'static str) {
        let urgency = self.route().priority;
        let waited_ms = self.waited.0 as f64;
        self.entry
            .metrics
            .waited(&self.pool, urgency, outcome, waited_ms);
    }
}

/// Whether the chosen endpoint has a slot for the request.
fn has_room(choice: &Choice) -> bool {
    choice.has_room && !choice.is_full
}
