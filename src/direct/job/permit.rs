//! Permits for endpoints that announced a limit for all instances together: no request is sent to
//! such an endpoint without one.

use super::{AttemptOutcome, Job};
use crate::clock::Millis;
use crate::direct::directory::{Endpoint, EndpointKey};
use crate::direct::limits::PermitDecision;

/// Time for which a permit is valid. Opening a connection takes less, and a process that was
/// suspended meanwhile must not send after others have got later permits.
const PERMIT_VALIDITY: Millis = Millis(300);
/// Refused permits after which a request leaves endpoints with limits to other requests.
const MAX_PERMIT_REFUSALS: u32 = 3;
/// Divisor of the route's target that gives the time for which a request waits for a permit, where
/// every endpoint has a limit.
const PERMIT_WAIT_DIVISOR: u64 = 4;
/// Additional wait for each less urgent band, so that the more urgent requests of this entry ask
/// first.
const BAND_STEP: Millis = Millis(5);

/// A permit to send one request to an endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct Permit {
    endpoint: EndpointKey,
    until: Millis,
}

impl Job<'_> {
    /// Gets a permit for an endpoint if it needs one; false if none can be had now.
    pub(super) async fn take_permit(&mut self, key: EndpointKey) -> bool {
        if self.has_permit(key) {
            return true;
        }
        let asked = self.entry.clock.now();
        let is_permitted = match self.entry.request_permit(key, self.band()).await {
            PermitDecision::Unlimited => true,
            PermitDecision::Permitted => {
                let until = asked + PERMIT_VALIDITY;
                self.permit = Some(Permit {
                    endpoint: key,
                    until,
                });
                true
            }
            PermitDecision::Wait(_) | PermitDecision::Ask(_) => false,
        };
        self.permit_refusals += u32::from(!is_permitted);
        is_permitted
    }

    /// Whether the endpoint's limit lets the request be sent now: it has none, or a permit is held.
    pub(super) fn is_within_limit(&self, key: EndpointKey) -> bool {
        self.entry.limit(key).is_none() || self.has_permit(key)
    }

    /// Whether a permit for the endpoint may be asked for now, or none is needed.
    pub(super) fn may_ask_permit(&self, endpoint: &Endpoint, now: Millis) -> bool {
        let Some(ask_at) = self.entry.permit_request_at(endpoint.digest, self.band()) else {
            return true;
        };
        ask_at <= now && self.permit_refusals < MAX_PERMIT_REFUSALS
    }

    /// Waits until a permit may be asked for, if only limits keep the request from being sent.
    /// Returns `NoPermit` after the wait, and `NoEndpoint` if there is no such endpoint or the wait
    /// would be too long.
    pub(super) async fn wait_for_permit(&mut self) -> AttemptOutcome {
        let now = self.entry.clock.now();
        let Some(first) = self.first_permit_at() else {
            return AttemptOutcome::NoEndpoint;
        };
        let wait = Millis(self.route().target.0 / PERMIT_WAIT_DIVISOR);
        let wait_until = *self.permit_deadline.get_or_insert(now + wait);
        let at = first.max(now) + Millis(BAND_STEP.0 * (1 + self.band() as u64));
        if at > wait_until.min(self.deadline) {
            return AttemptOutcome::NoEndpoint;
        }
        let waiting = self.entry.count_waiting_for_permit();
        self.entry.clock.sleep_until(at).await;
        drop(waiting);
        self.permit_refusals = 0;
        AttemptOutcome::NoPermit
    }

    /// The earliest time at which a permit for an endpoint of the pool may be asked for; `None` if
    /// no endpoint that could run the request has a limit.
    pub(super) fn first_permit_at(&self) -> Option<Millis> {
        let now = self.entry.clock.now();
        let directory = self.entry.directory();
        let settings = self.entry.settings.borrow();
        let open = directory
            .available_in_pool(&self.pool, now)
            .filter(|(key, endpoint)| {
                !self.tried.contains(key) && self.may_run_at(endpoint, &settings)
            });
        let band = self.band();
        open.filter_map(|(_, endpoint)| self.entry.permit_request_at(endpoint.digest, band))
            .min()
    }

    /// Consumes the permit for an attempt; another attempt needs its own.
    pub(super) fn use_permit(&mut self) {
        self.permit = None;
        self.permit_deadline = None;
        self.permit_refusals = 0;
    }

    fn has_permit(&self, key: EndpointKey) -> bool {
        let now = self.entry.clock.now();
        let permit = self.permit.filter(|permit| permit.endpoint == key);
        permit.is_some_and(|permit| now < permit.until)
    }
}
