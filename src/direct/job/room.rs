//! Slots that a request leaves free for more urgent ones, and what its entry records for this
//! decision.

use super::Job;
use crate::clock::Millis;
use crate::direct::decision::RefusalReason;
use crate::direct::placement::choose::Choice;
use crate::direct::placement::room::RoomInputs;

impl Job<'_> {
    /// Whether a request that no endpoint has started must not be sent, since the free slots are
    /// kept for more urgent ones. A second attempt gets no precedence over them.
    pub(super) fn must_leave_room(&self, choice: &Choice) -> bool {
        let now = self.entry.clock.now();
        let leaves = self.has_more_urgent(now) && !self.has_less_urgent(now);
        if !leaves || self.may_have_run {
            return false;
        }
        let draw = rand::random::<f64>();
        let is_kept = |sent_fraction| !(choice.has_room && draw < sent_fraction);
        if is_kept(choice.admitted_fraction) {
            self.record_team_contention();
        }
        is_kept(self.team_fraction(choice.admitted_fraction))
    }

    /// Whether requests of more urgent bands were seen in the pool lately.
    pub(super) fn has_more_urgent(&self, now: Millis) -> bool {
        let band = self.band();
        let more_urgent_bands = self
            .entry
            .turnover(&self.pool, |t| t.more_urgent_bands(band, now));
        more_urgent_bands > 0
    }

    /// Whether the pool gets enough less urgent requests that these are the ones to leave slots
    /// free.
    fn has_less_urgent(&self, now: Millis) -> bool {
        let band = self.band();
        self.entry
            .turnover(&self.pool, |t| t.has_less_urgent(band, now))
    }

    /// What decides how many slots are left free at endpoints.
    pub(super) fn room(&self, now: Millis) -> RoomInputs {
        let band = self.band();
        let peers = self.entry.peers.borrow();
        let visibility_delay = peers.visibility_delay(now);
        self.entry.turnover(&self.pool, |turnover| RoomInputs {
            more_urgent_bands: turnover.more_urgent_bands(band, now),
            entries: peers.entries(now),
            recent: turnover.recent(band, visibility_delay, now),
        })
    }

    /// Records that the request arrived at its pool.
    pub(super) fn record_arrival(&self) {
        let (band, now) = (self.band(), self.entry.clock.now());
        self.entry
            .turnover(&self.pool, |t| t.record_arrival(band, now));
    }

    /// Records the most urgent band of which prompts are being read at the pool's endpoints, for
    /// any entry.
    pub(super) fn record_most_urgent_band(&self, choice: &Choice) {
        if let Some(band) = choice.most_urgent_unread_band {
            let now = self.entry.clock.now();
            self.entry
                .turnover(&self.pool, |t| t.record_active_band(band, now));
        }
    }

    /// Records that an endpoint refused the request for lack of slots.
    pub(super) fn record_endpoint_refusal(&self) {
        let now = self.entry.clock.now();
        self.entry.turnover(&self.pool, |t| t.record_rejection(now));
    }

    /// Records that the request is refused, if that is for lack of slots.
    pub(super) fn record_refusal(&self, why: RefusalReason) {
        let is_for_room = matches!(
            why,
            RefusalReason::Overload { .. }
                | RefusalReason::RoomKept { .. }
                | RefusalReason::WaitTooLong { .. }
                | RefusalReason::QueueFull { .. }
                | RefusalReason::TeamShare { .. }
                | RefusalReason::EndpointRefused
        );
        if is_for_room {
            let (band, now) = (self.band(), self.entry.clock.now());
            self.entry
                .turnover(&self.pool, |t| t.record_refusal(band, now));
        }
    }
}
