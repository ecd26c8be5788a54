//! The end of a request that no endpoint answered, or not to its end.

use rand::Rng;

use super::Job;
use crate::clock::Millis;
use crate::direct::answerer::Answerer;
use crate::direct::decision::{RefusalReason, RequestOutcome};
use crate::direct::dialect::ErrorResponse;
use crate::direct::directory::EndpointKey;
use crate::direct::load::BANDS;
use crate::direct::refuse::{self, AllowedRequest};

/// Advice when to come back after a refusal, before its random addition.
const COME_BACK: Millis = Millis(150);
/// Longest wait that is advised while all endpoints of a pool rest: others may join it before.
const LONGEST_WAIT: Millis = Millis(10_000);
/// Part of the time left in which a caller comes back at the latest; callers wait no longer.
const WAITS_PART: u64 = 4;
/// Random addition, so that callers don't come back at the same instant.
const COME_BACK_SPREAD_MS: u64 = 250;

/// When a caller comes back whose pool rests for a time, by the band of its urgency and a number drawn from 0 to 1: all that
/// were refused meanwhile come in a time that grows with the rest, the more urgent ones first.
fn after_rest(rest: Millis, band: usize, draw: f64) -> Millis {
    let wait = rest.min(LONGEST_WAIT);
    let spread = Millis(wait.0 / 2).max(Millis(COME_BACK_SPREAD_MS));
    let part = (band as f64 + draw) / BANDS as f64;
    wait + Millis((spread.0 as f64 * part) as u64)
}

/// When a caller comes back of whose kind only a part is sent now: all that were refused come in a time that grows with their
/// number, so that they don't take the room again of those that come meanwhile.
fn after_crowd(sent_percent: u32, longest: Millis, draw: f64) -> Millis {
    let spread = COME_BACK_SPREAD_MS * 100 / u64::from(sent_percent.max(1));
    let spread = Millis(spread).min(longest - COME_BACK);
    COME_BACK + Millis((spread.0 as f64 * draw) as u64)
}

impl Job<'_> {
    /// Nothing ran anywhere, and nothing will.
    pub(super) async fn give_up(&self, answerer: &mut Answerer, why: RefusalReason) -> bool {
        if self.position.get().head_sent {
            return self.broken();
        }
        let why = match why {
            RefusalReason::NoEndpoint => self.without_endpoint(),
            why => why,
        };
        let free = self.free_endpoints();
        if free > 0 {
            self.entry.metrics.refused_with_room(&self.pool);
        }
        self.note_nothing(why);
        let urgency = self.route().priority;
        let noted = AllowedRequest {
            urgency,
            free_endpoints: free,
        };
        refuse::log(self.entry, self.ask, self.incoming, why, Some(noted));
        let outcome = match why {
            RefusalReason::Overload { .. } => "turned_away",
            RefusalReason::RoomKept { .. } => "room_kept",
            RefusalReason::EndsEndpoints { .. } => "ends_endpoints",
            RefusalReason::EndpointsRest { .. } => "endpoints_rest",
            RefusalReason::EndpointsLimited { .. } => "endpoints_limited",
            _ => "not_run",
        };
        self.entry
            .metrics
            .request(&self.pool, Some(urgency), outcome);
        let refusal = ErrorResponse::NotRun(self.come_back(why));
        refuse::write(self.entry, answerer, refusal, Some(self.ask)).await
    }

    /// Why no endpoint was found.
    fn without_endpoint(&self) -> RefusalReason {
        let now = self.entry.clock.now();
        match (self.rest_left(), self.first_permit()) {
            (Some(rest), _) => RefusalReason::EndpointsRest {
                first_back_ms: rest.0,
            },
            (None, Some(at)) => RefusalReason::EndpointsLimited {
                first_free_ms: (at - now).0,
            },
            (None, None) => RefusalReason::NoEndpoint,
        }
    }

    /// When the caller is to come back.
    fn come_back(&self, why: RefusalReason) -> Millis {
        let mut random = rand::thread_rng();
        let spread = random.gen_range(0..COME_BACK_SPREAD_MS);
        match (why, self.rest_left()) {
            (RefusalReason::EndsEndpoints { come_back_ms, .. }, _) => Millis(come_back_ms + spread),
            (RefusalReason::EndpointsLimited { first_free_ms }, _) => {
                let wait = Millis(first_free_ms).max(COME_BACK);
                after_rest(wait, self.band(), random.gen())
            }
            (_, Some(rest)) => after_rest(rest, self.band(), random.gen()),
            (RefusalReason::RoomKept { sent_percent }, None) => {
                let longest = Millis((self.end - self.entry.clock.now()).0 / WAITS_PART);
                after_crowd(sent_percent, longest, random.gen())
            }
            (_, None) => COME_BACK + Millis(spread),
        }
    }

    /// Time until the first endpoint of the pool has rested; `None` where one takes requests, or none rests.
    fn rest_left(&self) -> Option<Millis> {
        let now = self.entry.clock.now();
        let directory = self.entry.directory();
        if directory
            .available_in_pool(&self.pool, now)
            .next()
            .is_some()
        {
            return None;
        }
        let first = directory.earliest_backoff_end(&self.pool, now)?;
        Some(first - now)
    }

    /// Endpoints of the pool that have a free slot and announced nothing against requests.
    fn free_endpoints(&self) -> usize {
        let now = self.entry.clock.now();
        let directory = self.entry.directory();
        let endpoint_states = self.entry.endpoint_states();
        let is_free = |key: EndpointKey, slots: u32| {
            let endpoint_state = endpoint_states.get(key);
            let has_room = endpoint_state
                .is_some_and(|endpoint_state| endpoint_state.load.occupancy(now) < slots);
            has_room && self.entry.limit(key).is_none()
        };
        let open = directory.available_in_pool(&self.pool, now);
        open.filter(|(key, endpoint)| is_free(*key, endpoint.listed.slots))
            .count()
    }

    /// It may have run.
    pub(super) async fn lost(&self, answerer: &mut Answerer) -> bool {
        if self.position.get().head_sent {
            return self.broken();
        }
        self.log_ended(RequestOutcome::Unknown, 502);
        refuse::write(self.entry, answerer, ErrorResponse::Unknown, Some(self.ask)).await
    }

    /// Its time is over.
    pub(super) async fn time_over(&self, answerer: &mut Answerer) -> bool {
        if self.position.get().head_sent {
            return self.broken();
        }
        if !self.sent {
            return self.give_up(answerer, RefusalReason::TimeOver).await;
        }
        self.log_ended(RequestOutcome::TimeOver, 504);
        refuse::write(
            self.entry,
            answerer,
            ErrorResponse::TimeOver,
            Some(self.ask),
        )
        .await
    }

    /// A stream that began can't be completed; its connection is closed without its end.
    fn broken(&self) -> bool {
        self.log_ended(RequestOutcome::Broken, 0);
        false
    }
}
