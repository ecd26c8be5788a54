//! Turns of requests under suspicion: copies of one run one after the other, and none once enough endpoints
//! have ended under them.

use rand::Rng;

use super::Job;
use crate::clock::Millis;
use crate::direct::decision::RefusalReason;
use crate::direct::entry::EndpointState;
use crate::quarantine::{QuarantineStatus, ENDS_TO_SEPARATE};

/// Ends in a row from which on a copy is turned away, rather than sent, when it has waited in vain for another one.
const ENDS_TO_TURN_AWAY: usize = ENDS_TO_SEPARATE;
/// Time over which entries spread the turns of requests with so many ends, in ms: an end wakes those that wait at all
/// entries at once, and who begins first is told to the others some milliseconds later.
const TURNS_SPREAD_MS: u64 = 60;

impl Job<'_> {
    /// Waits while a copy of the request that is under suspicion runs somewhere; why it is not sent, where it is not.
    ///
    /// It waits as long as it may and still be in time: most that wait are innocent and get their turn within
    /// the time of one answer.
    pub(super) async fn wait_for_turn(&self) -> Option<RefusalReason> {
        let wait_until = (self.incoming.received_at + self.route().target).min(self.end);
        let mut is_spread = false;
        loop {
            // Registered before the look, so that no change is missed.
            let changed = self.entry.quarantine_changed.notified();
            if self.is_checked() {
                changed.await;
                continue;
            }
            let now = self.entry.clock.now();
            let (ends, until) = match self.entry.request_status(self.request) {
                QuarantineStatus::Suspect { ends } if ends >= ENDS_TO_SEPARATE && !is_spread => {
                    is_spread = true;
                    let spread = Millis(rand::thread_rng().gen_range(0..TURNS_SPREAD_MS));
                    let at = self.entry.clock.now() + spread;
                    self.entry.clock.sleep_until(at).await;
                    continue;
                }
                QuarantineStatus::Clear | QuarantineStatus::Suspect { .. } => return None,
                QuarantineStatus::MustWait { began, .. } if self.is_own_turn(began) => return None,
                QuarantineStatus::Refused { ends, until } => {
                    return Some(self.ends_endpoints(ends, until))
                }
                QuarantineStatus::MustWait { ends, until, .. } => (ends, until),
            };
            if now >= wait_until {
                let is_refused = ends >= ENDS_TO_TURN_AWAY;
                return is_refused.then(|| self.ends_endpoints(ends, until));
            }
            is_spread = false;
            let wait = until.min(wait_until);
            // Whether something changed or the time is over, it looks again.
            let _ = self.entry.clock.timeout_at(wait, changed).await;
        }
    }

    /// Whether it is being found out if the endpoint has ended that lost the last run. Sent on before that is known, a
    /// request that ends endpoints would end a second one for each of its own.
    fn is_checked(&self) -> bool {
        let last = self.tried.last();
        let endpoint_states = self.entry.endpoint_states();
        last.and_then(|key| endpoint_states.get(*key))
            .is_some_and(EndpointState::is_end_check_running)
    }

    /// Takes the turn of a request under suspicion just before it is sent; false where another copy was first, or
    /// it is refused by now.
    pub(super) fn take_turn(&mut self, now: Millis) -> bool {
        match self.entry.request_status(self.request) {
            QuarantineStatus::Clear => true,
            QuarantineStatus::MustWait { began, .. } if self.is_own_turn(began) => true,
            QuarantineStatus::Refused { .. } => false,
            QuarantineStatus::MustWait { ends, .. } if ends >= ENDS_TO_TURN_AWAY => false,
            QuarantineStatus::MustWait { .. }
                if now < self.incoming.received_at + self.route().target =>
            {
                false
            }
            QuarantineStatus::Suspect { .. } | QuarantineStatus::MustWait { .. } => {
                self.turn = Some(now);
                self.entry.suspect_began(self.request, now);
                true
            }
        }
    }

    /// Whether the copy that has begun is this request.
    fn is_own_turn(&self, began: Option<Millis>) -> bool {
        began.is_some() && self.turn == began
    }

    fn ends_endpoints(&self, ends: usize, until: Millis) -> RefusalReason {
        RefusalReason::EndsEndpoints {
            fingerprint: self.request,
            ends,
            come_back_ms: (until - self.entry.clock.now()).0,
        }
    }
}
