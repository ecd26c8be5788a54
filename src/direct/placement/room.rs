//! Free slots at the endpoints of a pool, and how many of them a request of some urgency may use.
//!
//! A full endpoint rejects all requests alike, and a request that may be sent to one endpoint only
//! has then failed. So less urgent requests leave some slots of each endpoint free, and no request
//! goes to an endpoint whose slots are all taken while others have free ones. If more requests
//! arrive than there are free slots, the entries share these out: each entry refills the slots that
//! its own requests have freed, takes its share of the others, and spreads its requests over all
//! endpoints.

use crate::clock::Millis;
use crate::direct::admission::turnover::RecentActivity;
use crate::direct::placement::candidate::CandidateState;
use crate::direct::placement::demand::Demand;
use crate::direct::placement::pause_risk;

/// Fraction of an endpoint's slots that less urgent requests leave free for each more urgent band.
const RESERVED_FRACTION_PER_BAND: f64 = 0.125;
/// Multiple of the standard deviation of the starts by other entries that are not visible yet; that
/// many slots are left free in addition.
const DEVIATIONS: f64 = 1.5;
/// Slots to be left free per fraction of requests that endpoints reject: endpoints that reject
/// requests have less capacity than they list or than entries know.
const REJECTION_FACTOR: f64 = 2.0;
/// Multiple of its share of the free slots that an entry may use, because requests arrive in bursts
/// at one entry after another.
const BURST_FACTOR: f64 = 2.0;
/// Ratio of an endpoint's free slots to the starts there by other entries that are not visible yet,
/// below which entries draw the endpoint at random.
const CONTENTION_FACTOR: f64 = 2.0;
/// Fraction of more urgent requests that may be refused before less urgent ones are held back; at
/// twice this fraction no less urgent request is sent. Refused urgent requests, for whatever
/// reason, take precedence over what admission control and free slots would allow.
const TOLERATED_REFUSED_FRACTION: f64 = 1.0 / 24.0;
/// Largest fraction of the slots that is left free, so that less urgent requests still make
/// progress.
const MAX_RESERVED_FRACTION: f64 = 0.5;

/// Inputs to the number of slots that a request may use in a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RoomInputs {
    /// Number of more urgent bands for which slots are left free.
    pub more_urgent_bands: usize,
    /// Number of entries that send to the pool, including this one.
    pub entries: usize,
    /// Activity of this entry within the visibility delay of other entries' choices.
    pub recent: RecentActivity,
}

/// Slots that one request may use at the endpoints of a pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PoolRoom {
    more_urgent_bands: usize,
    /// Fraction of each endpoint's slots that is left free.
    reserved_fraction: f64,
    /// Estimated number of requests that other entries started at each endpoint and that are not
    /// visible here yet.
    unseen_starts: f64,
    /// Slots that the request may use at an endpoint, on average.
    mean_free_slots: f64,
    /// Whether the request has no room at endpoints that are reserved for streams.
    avoids_reserved: bool,
    /// Fraction of the arriving less urgent requests that may be sent; 1 or more if all may.
    pub admitted_fraction: f64,
}

impl RoomInputs {
    /// Computes what a request may use at all endpoints of a pool.
    pub fn pool_room(
        &self,
        demand: &Demand<'_>,
        states: &[CandidateState<'_>],
        now: Millis,
    ) -> PoolRoom {
        let entries = self.entries.max(1);
        let others = (entries - 1) as f64 / states.len().max(1) as f64;
        let rejected = self.recent.rejected_fraction * REJECTION_FACTOR;
        let mut room = PoolRoom {
            more_urgent_bands: self.more_urgent_bands,
            reserved_fraction: (RESERVED_FRACTION_PER_BAND * self.more_urgent_bands as f64
                + rejected)
                .min(MAX_RESERVED_FRACTION),
            unseen_starts: self.recent.started as f64 * others,
            mean_free_slots: 0.0,
            avoids_reserved: avoids_reserved(demand, states),
            admitted_fraction: 1.0,
        };
        let usable = states.iter().filter(|state| room.may_use(state));
        let (count, total_free) = usable.fold((0_usize, 0.0), |(count, free), state| {
            (count + 1, free + room.free_slots(state).max(0.0))
        });
        room.mean_free_slots = total_free / count.max(1) as f64;
        let own =
            total_free * self.entry_share(states, now) * BURST_FACTOR + self.recent.ended as f64;
        // Arrivals of more urgent bands are served first; otherwise a middle band would be refused
        // while the least urgent one is sent.
        let available = (own - self.recent.more_urgent_arrivals as f64).max(0.0);
        room.admitted_fraction =
            available / self.recent.yielding_arrivals.max(1) as f64 * self.send_factor();
        room
    }

    /// Factor from 0 to 1 on what is sent, which falls while more urgent requests are refused.
    fn send_factor(&self) -> f64 {
        let excess = self.recent.refused_fraction / TOLERATED_REFUSED_FRACTION - 1.0;
        1.0 - excess.clamp(0.0, 1.0)
    }

    /// This entry's share of the free slots: the mean of an equal share and of its fraction of the
    /// running requests, since some entries have more callers than others.
    fn entry_share(&self, states: &[CandidateState<'_>], now: Millis) -> f64 {
        let equal_share = 1.0 / self.entries.max(1) as f64;
        let running: u32 = states.iter().map(|state| state.total.running).sum();
        let own: u32 = states
            .iter()
            .map(|state| state.candidate.load.own(now).running)
            .sum();
        match running {
            0 => equal_share,
            _ => (equal_share + f64::from(own) / f64::from(running)) / 2.0,
        }
    }
}

/// Whether a request leaves the endpoints that are reserved for streams to these: it is not
/// latency-sensitive, and another healthy endpoint could take it, now or when it has a free slot.
/// Only where the capacity of the pool is learned.
pub fn avoids_reserved(demand: &Demand<'_>, states: &[CandidateState<'_>]) -> bool {
    demand.capacity.is_some()
        && pause_risk::counted_sensitivity(demand) == 0
        && states
            .iter()
            .any(|state| !state.is_reserved && !state.candidate.record.is_ejected())
}

impl PoolRoom {
    /// Whether the request may use slots of an endpoint at all.
    pub fn may_use(&self, state: &CandidateState<'_>) -> bool {
        !(self.avoids_reserved && state.is_reserved)
    }

    /// Slots of an endpoint that the request may use, as far as known; 0 or less if there are none.
    pub fn free_slots(&self, state: &CandidateState<'_>) -> f64 {
        let slots = f64::from(state.candidate.endpoint.listed.slots.max(1));
        let reserved_slots = match self.more_urgent_bands {
            0 => 0.0,
            // The number of starts that are not visible yet varies by about its square root.
            _ => (slots * self.reserved_fraction).ceil() + self.unseen_starts.sqrt() * DEVIATIONS,
        };
        slots - reserved_slots - f64::from(state.total.running)
    }

    /// Whether requests arrive about as fast as slots become free. Entries that all chose the
    /// endpoint with the most free slots would then collide there.
    pub fn is_contended(&self) -> bool {
        self.admitted_fraction < 1.0
            || self.mean_free_slots < self.unseen_starts * CONTENTION_FACTOR
    }

    /// Key of an endpoint with free slots in a weighted random draw that picks each endpoint in
    /// proportion to its free slots; the lowest key wins. `draw` is a random number from 0 to 1,
    /// drawn separately for each request and endpoint.
    pub fn lottery_key(&self, state: &CandidateState<'_>, draw: f64) -> f64 {
        let free = self.free_slots(state).max(f64::MIN_POSITIVE);
        -draw.max(f64::MIN_POSITIVE).ln() / free
    }
}
