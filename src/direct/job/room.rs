//! Room that a request leaves for more urgent ones, and what its entry notes of it for others.

use super::Job;
use crate::clock::Millis;
use crate::direct::choose::Choice;
use crate::direct::decision::RefusalReason;
use crate::direct::room::RoomInputs;

impl Job<'_> {
    /// Whether a request that no endpoint has begun is not sent, since all slots that are free are left to more urgent ones. A
    /// second attempt is no reason to begin before them.
    pub(super) fn leaves_room(&self, choice: &Choice) -> bool {
        let now = self.entry.clock.now();
        let is_drawn = rand::random::<f64>() < choice.admitted_fraction;
        let leaves = self.has_more_urgent(now) && !self.has_less_urgent(now);
        leaves && !self.sent && !(choice.has_room && is_drawn)
    }

    /// Whether more urgent kinds of requests of the pool were seen lately.
    pub(super) fn has_more_urgent(&self, now: Millis) -> bool {
        let band = self.band();
        let more_urgent_bands = self
            .entry
            .turnover(&self.pool, |t| t.more_urgent_bands(band, now));
        more_urgent_bands > 0
    }

    /// Whether less urgent requests come to the pool in number, which leave room first.
    fn has_less_urgent(&self, now: Millis) -> bool {
        let band = self.band();
        self.entry
            .turnover(&self.pool, |t| t.has_less_urgent(band, now))
    }

    /// What room at endpoints is for.
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

    /// Takes note that the request comes to its pool.
    pub(super) fn note_coming(&self) {
        let (band, now) = (self.band(), self.entry.clock.now());
        self.entry
            .turnover(&self.pool, |t| t.record_arrival(band, now));
    }

    /// Takes note of the most urgent requests at the pool's endpoints, of all entries.
    pub(super) fn note_read(&self, choice: &Choice) {
        if let Some(band) = choice.most_urgent_unread_band {
            let now = self.entry.clock.now();
            self.entry
                .turnover(&self.pool, |t| t.record_active_band(band, now));
        }
    }

    /// Takes note that an endpoint turned the request away for want of room.
    pub(super) fn note_turned_away(&self) {
        let now = self.entry.clock.now();
        self.entry.turnover(&self.pool, |t| t.record_rejection(now));
    }

    /// Takes note that the request gets nothing, where that is for want of room.
    pub(super) fn note_nothing(&self, why: RefusalReason) {
        let is_for_room = matches!(
            why,
            RefusalReason::Overload { .. }
                | RefusalReason::RoomKept { .. }
                | RefusalReason::EndpointRefused
        );
        if is_for_room {
            let (band, now) = (self.band(), self.entry.clock.now());
            self.entry
                .turnover(&self.pool, |t| t.record_refusal(band, now));
        }
    }
}
