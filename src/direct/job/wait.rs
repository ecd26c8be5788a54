//! Waiting for capacity before the first attempt, for requests whose callers have time (see
//! [`crate::direct::catalog::Catalog::may_wait`]).

use super::{AttemptOutcome, Job};
use crate::clock::Millis;
use crate::direct::admission::waiting::WaitingRequest;
use crate::direct::decision::{Decision, RefusalReason};
use crate::direct::entry::{Entered, WaitGuard};
use crate::direct::placement::choose::Choice;

impl Job<'_> {
    /// Decides whether the request is sent to the chosen endpoint. If it is not, and may wait, it
    /// is tried again as capacity becomes free, and the endpoint is then chosen anew. Returns the
    /// choice, or how the attempt ends.
    pub(super) async fn admit(&mut self, choice: Choice) -> Result<Choice, AttemptOutcome> {
        let refusal = self.admission_refusal(&choice);
        if !self.may_wait() {
            return refusal.map_or(Ok(choice), |why| Err(AttemptOutcome::NotAdmitted(why)));
        }
        let req = self.waiting_request(&choice);
        let Some(why) = refusal else {
            return self.send_in_order(choice, req).await;
        };
        self.record_trial(&choice);
        match self.entry.wait_refused(&self.pool, req) {
            Entered::Waits(place) => self.wait_for_capacity(place, req).await,
            // Too little time is left, whatever waits.
            Entered::TooLong {
                expected: Millis(0),
            } => Err(AttemptOutcome::NotAdmitted(why)),
            Entered::TooLong { expected } => Err(self.wait_refusal(expected)),
            Entered::Full { waiting } => {
                self.count_wait("full");
                let why = RefusalReason::QueueFull { waiting };
                Err(AttemptOutcome::NotAdmitted(why))
            }
        }
    }

    /// Whether the request has waited for capacity.
    pub(super) fn has_waited(&self) -> bool {
        self.time_left_before_wait.is_some()
    }

    /// Time left by which admission judges the request. It does not shrink while the request waits:
    /// otherwise waiting requests would be refused what new ones get.
    pub(super) fn time_left_for_admission(&self) -> Millis {
        let time_left = self.deadline - self.entry.clock.now();
        self.time_left_before_wait.unwrap_or(time_left)
    }

    /// Sends a request that admission lets pass, after those that wait and go first.
    async fn send_in_order(
        &mut self,
        choice: Choice,
        req: WaitingRequest,
    ) -> Result<Choice, AttemptOutcome> {
        if self.entry.goes_behind(&self.pool, &req) {
            if let Some(place) = self.entry.wait_behind(&self.pool, req) {
                return self.wait_for_capacity(place, req).await;
            }
        }
        self.entry.record_sent_at_once(&self.pool, &req);
        Ok(choice)
    }

    /// Whether the request may wait: its route's requests may, and it was not sent yet.
    fn may_wait(&self) -> bool {
        self.attempts == 0
            && !self.may_have_run
            && !self.resumes_from_copy
            && self.catalog.may_wait(self.route(), &self.pool)
    }

    /// Waits until admission lets the request pass, and chooses its endpoint then.
    async fn wait_for_capacity(
        &mut self,
        place: WaitGuard,
        req: WaitingRequest,
    ) -> Result<Choice, AttemptOutcome> {
        let since = self.entry.clock.now();
        self.time_left_before_wait
            .get_or_insert(self.deadline - since);
        self.log_waiting(&req);
        loop {
            let latest_start = self.entry.latest_start(&self.pool, &req);
            let changed = self.entry.clock.timeout_at(latest_start, place.changed());
            let is_over = changed.await.is_none();
            self.waited = self.entry.clock.now() - since;
            if is_over {
                let expected = self.entry.expected_wait(&self.pool, &req);
                return Err(self.wait_refusal(expected.unwrap_or_default()));
            }
            if !place.is_trying() {
                continue;
            }
            let Some(choice) = self.next_choice() else {
                drop(place);
                return Err(self.wait_for_permit().await);
            };
            self.record_trial(&choice);
            if self.admission_refusal(&choice).is_some() {
                place.fail();
            } else if place.send() {
                self.reservation = Some(self.entry.reserve(choice.key, choice.footprint));
                self.log_wait_ended();
                return Ok(choice);
            }
        }
    }

    fn record_trial(&self, choice: &Choice) {
        let (admitted, is_calm) = (self.admitted_requests(choice), self.is_calm(choice));
        self.entry.record_trial(&self.pool, admitted, is_calm);
    }

    /// What the entry's queue has to know of the request.
    fn waiting_request(&self, choice: &Choice) -> WaitingRequest {
        WaitingRequest {
            band: self.band(),
            excess: 1.0,
            unread: choice.footprint.unread,
            body_bytes: self.incoming.body.len(),
            due: self.incoming.received_at + self.route().target,
            deadline: self.deadline,
        }
    }

    fn wait_refusal(&self, expected: Millis) -> AttemptOutcome {
        self.count_wait("refused");
        AttemptOutcome::NotAdmitted(RefusalReason::WaitTooLong {
            expected_ms: expected.0,
            waited_ms: self.waited.0,
        })
    }

    fn log_waiting(&self, req: &WaitingRequest) {
        let latest_start = self.entry.latest_start(&self.pool, req);
        let expected = self.entry.expected_wait(&self.pool, req);
        let waiting = Decision::Waiting {
            route: self.route().name.clone(),
            unread: req.unread,
            expected_ms: expected.map(|expected| expected.0),
            latest_start_ms: (latest_start - self.entry.clock.now()).0,
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
