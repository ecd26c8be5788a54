//! The end of a request that got no complete answer from an endpoint.

use rand::Rng;

use super::Job;
use crate::clock::Millis;
use crate::direct::answerer::Answerer;
use crate::direct::decision::{RefusalReason, RequestOutcome};
use crate::direct::dialect::ErrorResponse;
use crate::direct::directory::EndpointKey;
use crate::direct::known::load::BANDS;
use crate::direct::refuse::{self, AllowedRequest};

/// Retry delay that is advised after a refusal, before jitter.
const RETRY_DELAY: Millis = Millis(150);
/// Retry delay that is advised where no endpoint of the software version that began a stream is
/// available: one that crashed takes seconds to start again.
const VERSION_RETRY_DELAY: Millis = Millis(1_000);
/// Longest delay that is advised while all endpoints of a pool have asked for a back-off: others
/// may join the pool earlier.
const MAX_RETRY_DELAY: Millis = Millis(10_000);
/// Divisor of the remaining time that gives the longest advised delay where only a part of the
/// requests is sent: callers wait no longer.
const MAX_DELAY_DIVISOR: u64 = 4;
/// Jitter, in ms, so that callers don't retry at the same instant.
const RETRY_JITTER_MS: u64 = 250;

/// The retry delay where all endpoints of the pool are backed off, or limited, for another
/// `backoff`. `band` is the urgency band, and `draw` a random number from 0 to 1. Retries are
/// spread over a time that grows with the back-off, the more urgent callers first.
fn delay_after_backoff(backoff: Millis, band: usize, draw: f64) -> Millis {
    let wait = backoff.min(MAX_RETRY_DELAY);
    let spread = Millis(wait.0 / 2).max(Millis(RETRY_JITTER_MS));
    let part = (band as f64 + draw) / BANDS as f64;
    wait + Millis((spread.0 as f64 * part) as u64)
}

/// The retry delay where only `sent_percent` of such requests is sent now, at most `longest`;
/// `draw` is a random number from 0 to 1. Retries are spread over a time that grows with the number
/// of refused requests, so that they don't take the slots from new requests.
fn delay_after_partial_admission(sent_percent: u32, longest: Millis, draw: f64) -> Millis {
    let spread = RETRY_JITTER_MS * 100 / u64::from(sent_percent.max(1));
    let spread = Millis(spread).min(longest - RETRY_DELAY);
    RETRY_DELAY + Millis((spread.0 as f64 * draw) as u64)
}

impl Job<'_> {
    /// Ends the request with a refusal: nothing ran, and nothing will. A stream that has begun is
    /// cut off. False if the connection is to be closed.
    pub(super) async fn give_up(&self, answerer: &mut Answerer, why: RefusalReason) -> bool {
        if self.position.get().head_sent {
            return self.end_broken_stream();
        }
        let why = match why {
            RefusalReason::NoEndpoint => self.no_endpoint_reason(),
            why => why,
        };
        let free = self.free_endpoints();
        if free > 0 {
            self.entry.metrics.refused_with_room(&self.pool);
        }
        self.record_refusal(why);
        let urgency = self.route().priority;
        let allowed_request = AllowedRequest {
            urgency,
            free_endpoints: free,
            passed_over: self.unreachable.passed_over(),
        };
        refuse::log(
            self.entry,
            self.ask,
            self.incoming.received_at,
            why,
            Some(allowed_request),
        );
        let outcome = match why {
            RefusalReason::Overload { .. } => "turned_away",
            RefusalReason::RoomKept { .. } => "room_kept",
            RefusalReason::EndsEndpoints { .. } => "ends_endpoints",
            RefusalReason::PartEndsEndpoints { .. } => "part_ends_endpoints",
            RefusalReason::EndpointsRest { .. } => "endpoints_rest",
            RefusalReason::EndpointsLimited { .. } => "endpoints_limited",
            RefusalReason::OriginUnknown => "origin_unknown",
            RefusalReason::VersionGone => "version_gone",
            _ => "not_run",
        };
        self.entry
            .metrics
            .request(&self.pool, Some(urgency), outcome);
        let refusal = ErrorResponse::NotRun(self.retry_delay(why));
        refuse::write(self.entry, answerer, refusal, Some(self.ask)).await
    }

    /// The reason why no endpoint was found.
    fn no_endpoint_reason(&self) -> RefusalReason {
        let now = self.entry.clock.now();
        match (self.time_until_backoff_ends(), self.first_permit_at()) {
            (Some(backoff), _) => RefusalReason::EndpointsRest {
                first_back_ms: backoff.0,
            },
            (None, Some(at)) => RefusalReason::EndpointsLimited {
                first_free_ms: (at - now).0,
            },
            (None, None) if self.is_version_gone() => RefusalReason::VersionGone,
            (None, None) => RefusalReason::NoEndpoint,
        }
    }

    /// The delay after which the caller is told to retry.
    fn retry_delay(&self, why: RefusalReason) -> Millis {
        let mut random = rand::thread_rng();
        let spread = random.gen_range(0..RETRY_JITTER_MS);
        match (why, self.time_until_backoff_ends()) {
            (
                RefusalReason::EndsEndpoints { come_back_ms, .. }
                | RefusalReason::PartEndsEndpoints { come_back_ms, .. },
                _,
            ) => Millis(come_back_ms + spread),
            (RefusalReason::EndpointsLimited { first_free_ms }, _) => {
                let wait = Millis(first_free_ms).max(RETRY_DELAY);
                delay_after_backoff(wait, self.band(), random.gen())
            }
            (RefusalReason::VersionGone, _) => VERSION_RETRY_DELAY + Millis(spread),
            (_, Some(backoff)) => delay_after_backoff(backoff, self.band(), random.gen()),
            (RefusalReason::RoomKept { sent_percent }, None) => {
                let longest =
                    Millis((self.deadline - self.entry.clock.now()).0 / MAX_DELAY_DIVISOR);
                delay_after_partial_admission(sent_percent, longest, random.gen())
            }
            (_, None) => RETRY_DELAY + Millis(spread),
        }
    }

    /// Time until the first back-off of an endpoint of the pool ends; `None` if an endpoint accepts
    /// requests, or none has asked for a back-off.
    fn time_until_backoff_ends(&self) -> Option<Millis> {
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

    /// Number of endpoints of the pool that could run the request, accept requests, have a free slot
    /// and no limit.
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
        let settings = self.entry.settings.borrow();
        let open = directory.available_in_pool(&self.pool, now);
        open.filter(|(_, endpoint)| self.may_run_at(endpoint, &settings))
            .filter(|(key, endpoint)| is_free(*key, endpoint.listed.slots))
            .count()
    }

    /// Ends a request that may have run with an unknown outcome. False if the connection is to be
    /// closed.
    pub(super) async fn end_with_unknown_outcome(&self, answerer: &mut Answerer) -> bool {
        if self.position.get().head_sent {
            return self.end_broken_stream();
        }
        self.log_ended(RequestOutcome::Unknown, 502);
        refuse::write(self.entry, answerer, ErrorResponse::Unknown, Some(self.ask)).await
    }

    /// Ends a request whose deadline has passed. False if the connection is to be closed.
    pub(super) async fn end_at_deadline(&self, answerer: &mut Answerer) -> bool {
        if self.position.get().head_sent || answerer.is_open() {
            return self.end_broken_stream();
        }
        if !self.may_have_run {
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

    /// Ends a response that can't be completed; its connection is closed without the response's end.
    fn end_broken_stream(&self) -> bool {
        self.log_ended(RequestOutcome::Broken, 0);
        false
    }
}
