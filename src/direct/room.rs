//! Room at the endpoints of a pool, for requests of some urgency.
//!
//! An endpoint that is full turns everybody away alike, and a request that may be sent to one endpoint ends there. So
//! less urgent requests leave some slots of each endpoint free, and no request goes to an endpoint whose slots are taken
//! while others have free ones. Where more requests come than there are free slots, entries share these out: each refills what
//! its own requests left and takes its part of the rest, and they spread over all endpoints.

use crate::clock::Millis;
use crate::direct::demand::CandidateState;
use crate::direct::turnover::RecentActivity;

/// Part of an endpoint's slots that less urgent requests leave free for each band above theirs.
const LEFT_FREE: f64 = 0.125;
/// Times the standard deviation of what others begin unseen that is left free besides.
const DEVIATIONS: f64 = 1.5;
/// Times by which the part of requests that endpoints turn away counts as slots to be left free: they have less room than
/// they list or entries know.
const TURNED_AWAY: f64 = 2.0;
/// Times its share of the free slots that an entry may take: requests come in clumps, at one entry after the other.
const CLUMPS: f64 = 2.0;
/// Free slots of an endpoint by the requests that others begin there unseen, below which entries draw lots.
const CROWDED: f64 = 2.0;
/// Part of more urgent requests that may get nothing before less urgent ones are held back; at twice that none is sent. Urgent work
/// that gets nothing for whatever reason comes before what admission and room would allow.
const NOTHING_PART: f64 = 1.0 / 24.0;
/// Most of the slots that are left free, so that less urgent requests go on.
const MOST_LEFT_FREE: f64 = 0.5;

/// For whom there is to be room, and who shares it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RoomInputs {
    /// More urgent bands, for each of which slots are left free.
    pub more_urgent_bands: usize,
    /// Entries that send to the pool, this one included.
    pub entries: usize,
    /// What this entry did in the time for which others' choices stay unseen.
    pub recent: RecentActivity,
}

/// Room at the endpoints of a pool for one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolRoom {
    more_urgent_bands: usize,
    /// Part of the slots that is left free.
    left_part: f64,
    /// Requests that other entries began at each endpoint unseen.
    unseen: f64,
    /// Slots that the request may take at an endpoint, in the mean.
    free: f64,
    /// Part of the less urgent requests that come which may be sent; 1 or more where all may.
    pub admitted_fraction: f64,
}

impl RoomInputs {
    /// Room at all endpoints of a pool.
    pub fn pool_room(&self, all: &[CandidateState<'_>], now: Millis) -> PoolRoom {
        let entries = self.entries.max(1);
        let others = (entries - 1) as f64 / all.len().max(1) as f64;
        let turned_away = self.recent.rejected_fraction * TURNED_AWAY;
        let mut room = PoolRoom {
            more_urgent_bands: self.more_urgent_bands,
            left_part: (LEFT_FREE * self.more_urgent_bands as f64 + turned_away)
                .min(MOST_LEFT_FREE),
            unseen: self.recent.started as f64 * others,
            free: 0.0,
            admitted_fraction: 1.0,
        };
        let free: f64 = all
            .iter()
            .map(|state| room.free_slots(state).max(0.0))
            .sum();
        room.free = free / all.len().max(1) as f64;
        let own = free * self.share(all, now) * CLUMPS + self.recent.ended as f64;
        // What comes of more urgent bands goes first, or a middle one would be turned away where the least urgent is sent.
        let left = (own - self.recent.more_urgent_arrivals as f64).max(0.0);
        room.admitted_fraction =
            left / self.recent.yielding_arrivals.max(1) as f64 * self.held_back();
        room
    }

    /// Part of what there is room for that is sent while more urgent requests get nothing.
    fn held_back(&self) -> f64 {
        let beyond = self.recent.refused_fraction / NOTHING_PART - 1.0;
        1.0 - beyond.clamp(0.0, 1.0)
    }

    /// This entry's share of what all entries have together: half by their number, half by the requests that it has at the
    /// endpoints, since some have more callers.
    fn share(&self, all: &[CandidateState<'_>], now: Millis) -> f64 {
        let alike = 1.0 / self.entries.max(1) as f64;
        let running: u32 = all.iter().map(|state| state.total.running).sum();
        let own: u32 = all
            .iter()
            .map(|state| state.candidate.load.own(now).running)
            .sum();
        match running {
            0 => alike,
            _ => (alike + f64::from(own) / f64::from(running)) / 2.0,
        }
    }
}

impl PoolRoom {
    /// Slots of an endpoint that the request may take, as far as known; 0 or less where there are none.
    pub fn free_slots(&self, state: &CandidateState<'_>) -> f64 {
        let slots = f64::from(state.candidate.endpoint.listed.slots.max(1));
        let left_free = match self.more_urgent_bands {
            0 => 0.0,
            // What others began unseen varies by its square root.
            _ => (slots * self.left_part).ceil() + self.unseen.sqrt() * DEVIATIONS,
        };
        slots - left_free - f64::from(state.total.running)
    }

    /// Whether requests come about as fast as slots become free: entries that go where most are free would meet there.
    pub fn is_contended(&self) -> bool {
        self.admitted_fraction < 1.0 || self.free < self.unseen * CROWDED
    }

    /// Rank of an endpoint with free slots in a draw that takes each as often as it has slots; the least wins. `draw` is from 0 to
    /// 1, another one for each request and endpoint.
    pub fn lot(&self, state: &CandidateState<'_>, draw: f64) -> f64 {
        let free = self.free_slots(state).max(f64::MIN_POSITIVE);
        -draw.max(f64::MIN_POSITIVE).ln() / free
    }
}
