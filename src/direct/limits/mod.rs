//! Limits that endpoints announce in their answers, in requests per second from all instances
//! together.
//!
//! No entry sees what the others send, so one entry decides for each limited endpoint: its
//! coordinator, which [`crate::direct::peers`] picks by hash among the entries of the endpoint's
//! availability zone. The coordinator issues permits at the rate of the limit, and an entry sends a
//! request to a limited endpoint only with a permit. If the coordinator cannot be reached, nothing
//! is sent. If entries disagree on who it is, each issues less than the limit, see
//! [`PermitBucket`].

mod endpoint_limit;
mod message;
mod observation;
mod permit_bucket;

use std::collections::HashMap;
use std::net::SocketAddr;

use self::endpoint_limit::EndpointLimit;
pub use self::message::{
    decode, encode, Message, PermitGrant, PermitRequest, PermitResponse, WireObservation,
    MAX_OBSERVATIONS,
};
pub use self::observation::LimitObservation;
pub use self::permit_bucket::PermitBucket;
use crate::announced::AnnouncedLimit;
use crate::clock::Millis;
use crate::direct::known::load::BANDS;
use crate::direct::peers::{Coordinator, ZoneId};
use crate::rate::Rate;

/// Most endpoints whose limits are remembered: more than the largest fleet has, 3,500.
const MAX_ENDPOINTS: usize = 4_096;
/// Time without a gossip round after which this process counts as stalled: other entries may have
/// become coordinators in its place.
const STALL_TIME: Millis = Millis(1_000);
/// Delay until the next permit request if the coordinator is unknown or did not respond.
const RETRY_DELAY: Millis = Millis(200);
/// Most permits in one permit request.
const MAX_PERMITS_PER_REQUEST: u32 = 8;
/// How long permits that were granted in addition to the one that is used at once may be used by
/// later requests.
const SPARE_PERMIT_TTL: Millis = Millis(100);
/// How long a peer that did not respond is not asked.
const UNRESPONSIVE_TIME: Millis = Millis(1_000);
/// Permit requests that may be sent to peers per second. They take about 5 KB/s in addition to the
/// gossip rounds.
const MAX_REQUESTS_PER_S: f64 = 200.0;
/// Time without news after which an endpoint that has no limit is forgotten.
const ENDPOINT_TTL: Millis = Millis(60_000);

/// An endpoint for which a permit is requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Digest of its identity and incarnation.
    pub endpoint: u32,
    /// Its availability zone; `None` if its name is empty.
    pub zone: Option<ZoneId>,
}

/// Whether a request may be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitDecision {
    /// Yes: the endpoint has no limit.
    Unlimited,
    /// Yes, now: a permit was used for it.
    Permitted,
    /// No; a permit may be requested again at this time.
    Wait(Millis),
    /// This peer must be asked for a permit.
    Ask(SocketAddr),
}

/// What this entry knows of the limits of all endpoints, and the permits that it issues as the
/// coordinator of some. State machine without I/O: the caller passes the time and sends the
/// messages.
#[derive(Debug, Default)]
pub struct Limits {
    /// By the endpoints' digests.
    by_endpoint: HashMap<u32, EndpointLimit>,
    /// Peers that did not respond, and until when they are not asked.
    unresponsive: HashMap<SocketAddr, Millis>,
    /// Permit requests that may be sent now, and the time at which that was computed.
    request_budget: (f64, Millis),
    /// When [`Self::round`] last ran.
    last_round_at: Millis,
}

impl Limits {
    /// Records what an endpoint announced in its answer to a request that was sent at `sent_at`.
    /// Returns the limit now in force (`Some(None)` for no limit) if that has changed, else `None`.
    pub fn record_answer(
        &mut self,
        target: Target,
        named: AnnouncedLimit,
        sent_at: Millis,
        now: Millis,
    ) -> Option<Option<Rate>> {
        let is_known = self.by_endpoint.contains_key(&target.endpoint);
        let limit = match named {
            // The limit known so far stays in force.
            AnnouncedLimit::Unreadable => return None,
            AnnouncedLimit::None if !is_known => return None,
            AnnouncedLimit::None => None,
            AnnouncedLimit::Rate(rate) => Some(rate),
        };
        let received_at = now;
        let observation = LimitObservation {
            limit,
            sent_at,
            received_at,
        };
        let state = self.endpoint_limit_mut(target, now);
        let before = state.limit(now);
        if state
            .observed
            .is_none_or(|known| observation.supersedes(&known))
        {
            if state.observed.and_then(|known| known.limit) != limit {
                state.limit_changed_at = now;
            }
            state.observed = Some(observation);
        }
        let after = state.limit(now);
        (after != before).then_some(after)
    }

    /// Records what an endpoint announced to a peer. Returns the limit now in force (`Some(None)`
    /// for no limit) if that has changed, else `None`.
    pub fn record_peer_observation(
        &mut self,
        target: Target,
        observation: LimitObservation,
        now: Millis,
    ) -> Option<Option<Rate>> {
        if observation.limit.is_none() && !self.by_endpoint.contains_key(&target.endpoint) {
            return None;
        }
        let state = self.endpoint_limit_mut(target, now);
        let before = state.limit(now);
        let known = state.observation(now);
        if known.is_none_or(|known| observation.supersedes(&known)) {
            state.reported = Some((observation, now));
        }
        let after = state.limit(now);
        (after != before).then_some(after)
    }

    /// Whether no endpoint is remembered, so that none has a limit.
    pub fn is_empty(&self) -> bool {
        self.by_endpoint.is_empty()
    }

    /// The limit in force of an endpoint; `None` if it has none.
    pub fn limit(&self, endpoint: u32, now: Millis) -> Option<Rate> {
        self.by_endpoint.get(&endpoint)?.limit(now)
    }

    /// Earliest time at which a permit for a request of this band may be requested; `None` if the
    /// endpoint has no limit.
    pub fn permit_request_at(&self, endpoint: u32, band: usize, now: Millis) -> Option<Millis> {
        let state = self.by_endpoint.get(&endpoint)?;
        state.limit(now)?;
        Some(state.permit_request_at(band))
    }

    /// Number of endpoints that have a limit now.
    pub fn limited_endpoints(&self, now: Millis) -> usize {
        let all = self.by_endpoint.values();
        all.filter(|state| state.limit(now).is_some()).count()
    }

    /// Whether a peer failed to respond lately and is not to be asked now.
    pub fn is_unresponsive(&self, peer: SocketAddr, now: Millis) -> bool {
        self.unresponsive
            .get(&peer)
            .is_some_and(|until| now < *until)
    }

    /// Decides whether a request of a band may be sent to an endpoint, of which `coordinator` is
    /// the coordinator. Uses up a permit when it returns [`PermitDecision::Permitted`]. On
    /// [`PermitDecision::Ask`] the caller sends [`Self::permit_request`] to that peer and passes
    /// the outcome to [`Self::handle_response`].
    pub fn decide(
        &mut self,
        target: Target,
        coordinator: Coordinator,
        band: usize,
        now: Millis,
    ) -> PermitDecision {
        let is_stalled = self.is_stalled(now);
        let has_request_budget = self.has_request_budget(now);
        let Some(state) = self.by_endpoint.get_mut(&target.endpoint) else {
            return PermitDecision::Unlimited;
        };
        if state.limit(now).is_none() {
            return PermitDecision::Unlimited;
        }
        if state.use_spare_permit(now) {
            return PermitDecision::Permitted;
        }
        let permit_request_at = state.permit_request_at(band);
        if now < permit_request_at {
            return PermitDecision::Wait(permit_request_at);
        }
        let until = match coordinator {
            Coordinator::Own {
                visible_share,
                is_settled,
            } if !is_stalled => match state.take(visible_share, is_settled, band, 1, now) {
                Ok(_) => return PermitDecision::Permitted,
                Err(until) => until,
            },
            Coordinator::Peer(peer) if has_request_budget => {
                self.request_budget.0 -= 1.0;
                state.pending_since = Some(now);
                return PermitDecision::Ask(peer);
            }
            Coordinator::Own { .. } | Coordinator::Peer(_) | Coordinator::Unknown => {
                now + RETRY_DELAY
            }
        };
        state.postpone(band, until);
        PermitDecision::Wait(until)
    }

    /// The permit request to send to the coordinator of an endpoint. `waiting` counts the requests
    /// of this entry that wait for a permit of any endpoint: each endpoint is asked for its share
    /// of them.
    pub fn permit_request(
        &self,
        target: Target,
        number: u32,
        band: usize,
        waiting: u32,
        now: Millis,
    ) -> PermitRequest {
        let extra = waiting / (self.by_endpoint.len() as u32).max(1);
        let state = self.by_endpoint.get(&target.endpoint);
        let observed = state.and_then(|state| state.observed);
        PermitRequest {
            number,
            endpoint: target.endpoint,
            zone: target.zone,
            band: band as u8,
            wanted: (1 + extra).min(MAX_PERMITS_PER_REQUEST) as u8,
            word: observed.map(|observation| WireObservation::of(&observation, now)),
        }
    }

    /// Answers the permit request of a peer; `coordinator` is the coordinator as this entry sees
    /// it.
    pub fn handle_request(
        &mut self,
        request: &PermitRequest,
        coordinator: Coordinator,
        now: Millis,
    ) -> PermitResponse {
        let (endpoint, zone) = (request.endpoint, request.zone);
        let target = Target { endpoint, zone };
        let reported = request.word.map(|reported| reported.observation(now));
        if let Some(observation) = reported {
            self.record_peer_observation(target, observation, now);
        }
        let is_stalled = self.is_stalled(now);
        let state = self.endpoint_limit_mut(target, now);
        let known = state.observation(now);
        let band = usize::from(request.band).min(BANDS - 1);
        let given = match coordinator {
            // The limit has ended, and the asker learns that from the observation in the response.
            _ if known.is_some_and(|observation| observation.limit.is_none()) => {
                PermitGrant::Permits(1)
            }
            Coordinator::Own {
                visible_share,
                is_settled,
            } if !is_stalled => {
                let wanted = u32::from(request.wanted).min(MAX_PERMITS_PER_REQUEST);
                match state.take(visible_share, is_settled, band, wanted, now) {
                    Ok(given) => PermitGrant::Permits(given as u8),
                    Err(until) => PermitGrant::Nothing((until - now).as_u32()),
                }
            }
            Coordinator::Peer(peer) => PermitGrant::Elsewhere(peer),
            Coordinator::Own { .. } | Coordinator::Unknown => {
                PermitGrant::Nothing(RETRY_DELAY.as_u32())
            }
        };
        let limit_differs = known.map(|observation| observation.limit)
            != reported.map(|observation| observation.limit);
        let observation = known.filter(|_| limit_differs);
        PermitResponse {
            number: request.number,
            given,
            word: observation.map(|observation| WireObservation::of(&observation, now)),
        }
    }

    /// Takes the response of `peer` to a permit request; `None` if it did not respond in time.
    /// Returns whether the request may be sent now, or else when to ask again or whom to ask
    /// instead.
    pub fn handle_response(
        &mut self,
        target: Target,
        peer: SocketAddr,
        response: Option<&PermitResponse>,
        band: usize,
        now: Millis,
    ) -> PermitDecision {
        if let Some(state) = self.by_endpoint.get_mut(&target.endpoint) {
            state.pending_since = None;
        }
        let Some(response) = response else {
            self.unresponsive.insert(peer, now + UNRESPONSIVE_TIME);
            return self.postpone(target, 0, now + RETRY_DELAY);
        };
        self.unresponsive.remove(&peer);
        if let Some(reported) = response.word {
            self.record_peer_observation(target, reported.observation(now), now);
        }
        match response.given {
            PermitGrant::Permits(0) => self.postpone(target, band, now + RETRY_DELAY),
            PermitGrant::Permits(given) => {
                if let Some(state) = self.by_endpoint.get_mut(&target.endpoint) {
                    state.spare_permits = (u32::from(given) - 1, now + SPARE_PERMIT_TTL);
                }
                PermitDecision::Permitted
            }
            PermitGrant::Nothing(ms) => self.postpone(target, band, now + Millis(ms.into())),
            PermitGrant::Elsewhere(other) if self.is_unresponsive(other, now) => {
                self.postpone(target, 0, now + RETRY_DELAY)
            }
            PermitGrant::Elsewhere(other) => PermitDecision::Ask(other),
        }
    }

    /// Postpones permit requests for an endpoint, for this band and less urgent ones, to `until` at
    /// the earliest. Returns [`PermitDecision::Wait`].
    pub fn postpone(&mut self, target: Target, band: usize, until: Millis) -> PermitDecision {
        if let Some(state) = self.by_endpoint.get_mut(&target.endpoint) {
            state.postpone(band, until);
        }
        PermitDecision::Wait(until)
    }

    /// Runs once per gossip round. Drops the buckets of endpoints that this entry no longer
    /// coordinates, or all of them after a stall, and forgets what has expired.
    pub fn round(&mut self, is_own: impl Fn(Target) -> bool, now: Millis) {
        let is_stalled = self.is_stalled(now);
        self.last_round_at = now;
        self.unresponsive.retain(|_, until| now < *until);
        self.by_endpoint.retain(|endpoint, state| {
            let target = Target {
                endpoint: *endpoint,
                zone: state.zone,
            };
            if state.bucket.is_some() && (is_stalled || !is_own(target)) {
                state.bucket = None;
            }
            state.limit(now).is_some() || now < state.updated_at + ENDPOINT_TTL
        });
    }

    /// The newest observations by this entry that changed an endpoint's limit at or after `since`,
    /// at most [`MAX_OBSERVATIONS`], with the endpoints' digests.
    pub fn recent_observations(&self, since: Millis, now: Millis) -> Vec<(u32, WireObservation)> {
        let changed = self.by_endpoint.iter();
        let changed = changed.filter(|(_, state)| state.limit_changed_at >= since);
        let mut recent_observations: Vec<(Millis, u32, LimitObservation)> = changed
            .filter_map(|(endpoint, state)| {
                Some((state.limit_changed_at, *endpoint, state.observed?))
            })
            .collect();
        recent_observations.sort_by_key(|(changed, ..)| std::cmp::Reverse(*changed));
        recent_observations.truncate(MAX_OBSERVATIONS);
        let reported = recent_observations.iter();
        reported
            .map(|(_, endpoint, observation)| (*endpoint, WireObservation::of(observation, now)))
            .collect()
    }

    /// Whether this process was stalled until just now: it has had no gossip round for
    /// [`STALL_TIME`].
    fn is_stalled(&self, now: Millis) -> bool {
        now >= self.last_round_at + STALL_TIME
    }

    /// Refills the budget of permit requests; returns whether one more may be sent.
    fn has_request_budget(&mut self, now: Millis) -> bool {
        let (left, refilled_at) = self.request_budget;
        let elapsed_s = (now - refilled_at).0 as f64 / 1_000.0;
        let left = (left + elapsed_s * MAX_REQUESTS_PER_S).min(MAX_REQUESTS_PER_S / 2.0);
        self.request_budget = (left, now);
        left >= 1.0
    }

    /// The state of an endpoint, which counts as heard of now; created if there is none.
    fn endpoint_limit_mut(&mut self, target: Target, now: Millis) -> &mut EndpointLimit {
        self.evict_if_full(target.endpoint);
        let state = self.by_endpoint.entry(target.endpoint).or_default();
        state.zone = target.zone.or(state.zone);
        state.updated_at = now;
        state
    }

    /// Evicts the endpoint that was heard of longest ago if there is no room for one more.
    fn evict_if_full(&mut self, endpoint: u32) {
        let is_known = self.by_endpoint.contains_key(&endpoint);
        if is_known || self.by_endpoint.len() < MAX_ENDPOINTS {
            return;
        }
        let all = self.by_endpoint.iter();
        let oldest = all.min_by_key(|(_, state)| state.updated_at);
        if let Some(endpoint) = oldest.map(|(endpoint, _)| *endpoint) {
            self.by_endpoint.remove(&endpoint);
        }
    }
}
