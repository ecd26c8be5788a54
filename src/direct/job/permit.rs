//! Permits for endpoints that have named a limit for all instances together: none is sent to without one, by whatever way.

use super::{Attempt, Job};
use crate::clock::Millis;
use crate::direct::directory::{Endpoint, EndpointKey};
use crate::direct::limits::PermitDecision;

/// Time in which a permit is to be used: to open a connection takes less, and a process that stood still meanwhile does not
/// send later what others have got since.
const LASTS: Millis = Millis(300);
/// Permits that a request asks for in vain before it leaves endpoints with limits to others.
const MOST_REFUSALS: u32 = 3;
/// Part of the route's target that a request waits for a permit, where no endpoint is without a limit.
const WAIT_PART: u64 = 4;
/// Time by which a less urgent band waits longer, so that the more urgent ones of this entry ask first.
const BAND_STEP: Millis = Millis(5);

/// A permit to send one request.
#[derive(Debug, Clone, Copy)]
pub(super) struct Permit {
    endpoint: EndpointKey,
    until: Millis,
}

impl Job<'_> {
    /// Gets a permit for an endpoint where that needs one; false where there is none now.
    pub(super) async fn take_permit(&mut self, key: EndpointKey) -> bool {
        if self.has_permit(key) {
            return true;
        }
        let asked = self.entry.clock.now();
        let is_permitted = match self.entry.request_permit(key, self.band()).await {
            PermitDecision::Unlimited => true,
            PermitDecision::Permitted => {
                let until = asked + LASTS;
                self.permit = Some(Permit {
                    endpoint: key,
                    until,
                });
                true
            }
            PermitDecision::Wait(_) | PermitDecision::Ask(_) => false,
        };
        self.refusals += u32::from(!is_permitted);
        is_permitted
    }

    /// Whether the request may be sent to an endpoint now as far as that has a limit.
    pub(super) fn is_within_limit(&self, key: EndpointKey) -> bool {
        self.entry.limit(key).is_none() || self.has_permit(key)
    }

    /// Whether a permit for an endpoint may be asked for now, or none is needed.
    pub(super) fn may_ask_permit(&self, endpoint: &Endpoint, now: Millis) -> bool {
        let Some(ask_at) = self.entry.permit_request_at(endpoint.digest, self.band()) else {
            return true;
        };
        ask_at <= now && self.refusals < MOST_REFUSALS
    }

    /// Waits until a permit may be asked for, where only that keeps the request from being sent; else there is no endpoint.
    pub(super) async fn wait_for_permit(&mut self) -> Attempt {
        let now = self.entry.clock.now();
        let Some(first) = self.first_permit() else {
            return Attempt::NoEndpoint;
        };
        let wait = Millis(self.route().target.0 / WAIT_PART);
        let wait_until = *self.permit_by.get_or_insert(now + wait);
        let at = first.max(now) + Millis(BAND_STEP.0 * (1 + self.band() as u64));
        if at > wait_until.min(self.end) {
            return Attempt::NoEndpoint;
        }
        let waiting = self.entry.count_waiting_for_permit();
        self.entry.clock.sleep_until(at).await;
        drop(waiting);
        self.refusals = 0;
        Attempt::Limited
    }

    /// When a permit for an endpoint of the pool may be asked for first; `None` where no endpoint is kept from it by a limit.
    pub(super) fn first_permit(&self) -> Option<Millis> {
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

    /// The permit for an attempt is used; another attempt waits for its own.
    pub(super) fn use_permit(&mut self) {
        self.permit = None;
        self.permit_by = None;
        self.refusals = 0;
    }

    fn has_permit(&self, key: EndpointKey) -> bool {
        let now = self.entry.clock.now();
        let permit = self.permit.filter(|permit| permit.endpoint == key);
        permit.is_some_and(|permit| now < permit.until)
    }
}
