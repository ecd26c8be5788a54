//! Room at the endpoints of a pool, for requests of some urgency.
//!
//! An endpoint that is full turns everybody away alike, and a request that may be sent to one endpoint ends there. So
//! less urgent requests leave some slots of each endpoint free, and no request goes to an endpoint whose slots are taken
//! while others have free ones. Where more requests come than there are free slots, entries share these out: each refills what
//! its own requests left and takes its part of the rest, and they spread over all endpoints.

use crate::direct::demand::Seen;
use crate::direct::turnover::Recent;

/// Part of an endpoint's slots that less urgent requests leave free.
const LEFT_FREE: f64 = 0.125;

/// For whom there is to be room, and who shares it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RoomFor {
    /// Whether slots are left free for more urgent kinds of requests.
    pub has_more_urgent: bool,
    /// Entries that send to the pool, this one included.
    pub entries: usize,
    /// What this entry did in the time for which others' choices stay unseen.
    pub recent: Recent,
}

/// Room at the endpoints of a pool for one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolRoom {
    has_more_urgent: bool,
    /// Requests that other entries began at each endpoint unseen.
    unseen: f64,
    /// Part of the less urgent requests that come which may be sent; 1 or more where all may.
    pub sent_part: f64,
}

impl RoomFor {
    /// Room at all endpoints of a pool.
    pub fn in_pool(&self, all: &[Seen<'_>]) -> PoolRoom {
        let entries = self.entries.max(1);
        let others = (entries - 1) as f64 / all.len().max(1) as f64;
        let mut room = PoolRoom {
            has_more_urgent: self.has_more_urgent,
            unseen: self.recent.begun as f64 * others,
            sent_part: 1.0,
        };
        let free: f64 = all.iter().map(|seen| room.free_at(seen).max(0.0)).sum();
        let own = free / entries as f64 + self.recent.ended as f64;
        room.sent_part = own / self.recent.offered.max(1) as f64;
        room
    }
}

impl PoolRoom {
    /// Slots of an endpoint that the request may take, as far as known; 0 or less where there are none.
    pub fn free_at(&self, seen: &Seen<'_>) -> f64 {
        let slots = f64::from(seen.candidate.endpoint.listed.slots.max(1));
        let left_free = match self.has_more_urgent {
            // What others began unseen varies by its square root.
            true => (slots * LEFT_FREE).ceil() + self.unseen.sqrt(),
            false => 0.0,
        };
        slots - left_free - f64::from(seen.total.running)
    }

    /// Whether requests come faster than slots become free: entries that go where most are free would meet there.
    pub fn is_crowded(&self) -> bool {
        self.sent_part < 1.0
    }

    /// Rank of an endpoint with free slots in a draw that takes each as often as it has slots; the least wins. `draw` is from 0 to
    /// 1, another one for each request and endpoint.
    pub fn lot(&self, seen: &Seen<'_>, draw: f64) -> f64 {
        let free = self.free_at(seen).max(f64::MIN_POSITIVE);
        -draw.max(f64::MIN_POSITIVE).ln() / free
    }
}
