//! Running suspected requests (see [`crate::quarantine`]) one copy at a time, and refusing them
//! once enough endpoints have ended under them.

use rand::Rng;

use super::Job;
use crate::clock::Millis;
use crate::direct::decision::RefusalReason;
use crate::direct::directory::Endpoint;
use crate::direct::entry::EndpointState;
use crate::quarantine::{QuarantineStatus, ENDS_TO_SEPARATE};

/// Consecutive ends from which on a copy that has waited in vain for another one is refused rather
/// than sent.
const ENDS_TO_REFUSE_AFTER_WAIT: usize = ENDS_TO_SEPARATE;
/// Longest random delay, in ms, before a request with at least [`ENDS_TO_SEPARATE`] ends takes
/// its turn. An end wakes the waiting copies at all entries at once, and the others hear which one
/// starts first only some milliseconds later.
const TURN_JITTER_MS: u64 = 60;

impl Job<'_> {
    /// Waits while another copy of a suspected request runs anywhere. Returns why the request is
    /// refused; `None` if it may be sent.
    ///
    /// It waits until the route's target time at most, or until the deadline if that is earlier:
    /// most waiting requests are innocent and get their turn within the time of one answer.
    pub(super) async fn wait_for_turn(&self) -> Option<RefusalReason> {
        let wait_until = (self.incoming.received_at + self.route().target).min(self.deadline);
        let mut is_delayed = false;
        loop {
            // Registered before the state is read, so that no change is missed.
            let changed = self.entry.quarantine_changed.notified();
            if self.is_end_being_checked() {
                changed.await;
                continue;
            }
            let now = self.entry.clock.now();
            let (ends, until) = match self.entry.request_status(self.fingerprint) {
                QuarantineStatus::Suspect { ends } if ends >= ENDS_TO_SEPARATE && !is_delayed => {
                    is_delayed = true;
                    let jitter = Millis(rand::thread_rng().gen_range(0..TURN_JITTER_MS));
                    let at = self.entry.clock.now() + jitter;
                    self.entry.clock.sleep_until(at).await;
                    continue;
                }
                QuarantineStatus::Clear | QuarantineStatus::Suspect { .. } => return None,
                QuarantineStatus::MustWait { began, .. } if self.is_own_turn(began) => return None,
                QuarantineStatus::Refused { ends, until } => {
                    return Some(self.ends_endpoints_refusal(ends, until))
                }
                QuarantineStatus::MustWait { ends, until, .. } => (ends, until),
            };
            if now >= wait_until {
                let is_refused = ends >= ENDS_TO_REFUSE_AFTER_WAIT;
                return is_refused.then(|| self.ends_endpoints_refusal(ends, until));
            }
            is_delayed = false;
            let wait = until.min(wait_until);
            // The state is read again, whether it changed or the time is over.
            let _ = self.entry.clock.timeout_at(wait, changed).await;
        }
    }

    /// Whether a check is running that finds out if the endpoint that lost the last run has ended.
    /// If the request were sent on before the result is known, a request that crashes endpoints
    /// would end a second one for each first one.
    fn is_end_being_checked(&self) -> bool {
        let last = self.tried.last();
        let endpoint_states = self.entry.endpoint_states();
        last.and_then(|key| endpoint_states.get(*key))
            .is_some_and(EndpointState::is_end_check_running)
    }

    /// Takes the turn of a suspected request just before it is sent, and reports its start to
    /// peers. False if another copy started first or the request is refused by now.
    pub(super) fn take_turn(&mut self, now: Millis) -> bool {
        match self.entry.request_status(self.fingerprint) {
            QuarantineStatus::Clear => true,
            QuarantineStatus::MustWait { began, .. } if self.is_own_turn(began) => true,
            QuarantineStatus::Refused { .. } => false,
            QuarantineStatus::MustWait { ends, .. } if ends >= ENDS_TO_REFUSE_AFTER_WAIT => false,
            QuarantineStatus::MustWait { .. }
                if now < self.incoming.received_at + self.route().target =>
            {
                false
            }
            QuarantineStatus::Suspect { .. } | QuarantineStatus::MustWait { .. } => {
                self.turn_started = Some(now);
                self.entry.record_suspect_start(self.fingerprint, now);
                true
            }
        }
    }

    /// Whether the running copy is this request.
    fn is_own_turn(&self, began: Option<Millis>) -> bool {
        began.is_some() && self.turn_started == began
    }

    /// Looks up whether endpoints crash under a part of the prompt. Returns why the request is
    /// refused; `None` if some endpoint may run it.
    pub(super) fn look_up_part_refusal(&mut self) -> Option<RefusalReason> {
        self.part_refusal = self.entry.part_refusal(&self.parts);
        let refusal = self.part_refusal.as_ref()?;
        let now = self.entry.clock.now();
        let directory = self.entry.directory();
        let mut available = directory.available_in_pool(&self.pool, now);
        let is_allowed = |endpoint: &Endpoint| refusal.allows(endpoint.origin.endpoint_kind());
        let is_anywhere = available.any(|(_, endpoint)| is_allowed(endpoint));
        (!is_anywhere).then(|| RefusalReason::PartEndsEndpoints {
            part: refusal.part,
            ends: refusal.ends,
            come_back_ms: (refusal.until - now).0,
        })
    }

    fn ends_endpoints_refusal(&self, ends: usize, until: Millis) -> RefusalReason {
        RefusalReason::EndsEndpoints {
            fingerprint: self.fingerprint,
            ends,
            come_back_ms: (until - self.entry.clock.now()).0,
        }
    }
}
