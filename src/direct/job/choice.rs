//! Which endpoint an attempt is sent to, and whether the request is sent at all.

use super::Job;
use crate::clock::Millis;
use crate::direct::admission::overload::{EngineAdmission, PlainAdmission};
use crate::direct::admission::warmup::WarmUp;
use crate::direct::decision::RefusalReason;
use crate::direct::directory::{Endpoint, EndpointKey};
use crate::direct::known::capacity::{LearnedCapacity, PoolCapacity};
use crate::direct::placement::candidate::Candidate;
use crate::direct::placement::choose::{self, Choice};
use crate::direct::placement::demand::Demand;
use crate::direct::residency;
use crate::direct::settings::DirectSettings;

impl Job<'_> {
    /// The endpoint for the next attempt: the one with the copy if the run resumes from it,
    /// otherwise the best one that was not tried. `None` if there is none.
    pub(super) fn next_choice(&mut self) -> Option<Choice> {
        if self.resumes_from_copy {
            return self.choose(|key| Some(key) == self.copy_key);
        }
        let choice = self.choose(|key| !self.tried.contains(&key))?;
        self.record_most_urgent_band(&choice);
        self.choose_copy_endpoint(&choice);
        Some(choice)
    }

    /// The best endpoint for which `is_candidate` is true, among those that may get the request
    /// now; `None` if there is none.
    pub(super) fn choose(&self, is_candidate: impl Fn(EndpointKey) -> bool) -> Option<Choice> {
        let now = self.entry.clock.now();
        let directory = self.entry.directory();
        let endpoint_states = self.entry.endpoint_states();
        let settings = self.entry.settings.borrow();
        let demand = self.demand(&settings.zone, now);
        let warm_up = self.warm_up();
        let mut observed = demand.capacity.map(|_| self.entry.observed.borrow_mut());
        let ejected = self.entry.ejected_by_reports(&endpoint_states, now);
        let warming_time = warm_up.map_or(Millis(0), |warm_up| warm_up.time);
        let candidates = directory
            .available_in_pool(&self.pool, now)
            .filter(|(key, endpoint)| is_candidate(*key) && self.may_run_at(endpoint, &settings))
            .filter(|(_, endpoint)| self.may_ask_permit(endpoint, now))
            .filter_map(|(key, endpoint)| {
                let endpoint_state = endpoint_states.get(key)?;
                let share = self.entry.warm_up_share(endpoint, warm_up);
                let is_allowed =
                    share.is_none_or(|share| endpoint_state.recent_sends.allows(share, now));
                is_allowed.then_some(Candidate {
                    key,
                    endpoint,
                    load: &endpoint_state.load,
                    record: ejected.get(&key).unwrap_or(&endpoint_state.record),
                    is_warming: endpoint.warm_until(warming_time) > now,
                    is_limited: self.entry.limit(key).is_some(),
                    relative_time: observed
                        .as_mut()
                        .map_or(1.0, |observed| observed.relative_time(endpoint.digest, now)),
                })
            });
        choose::choose(demand, candidates, &self.entry.prefixes.borrow(), now)
    }

    /// Why the request is not sent to the chosen endpoint; `None` if it is. Overload is checked
    /// only before the first attempt, and not for a resumed stream: its caller has a part of it and
    /// can go to few endpoints.
    pub(super) fn admission_refusal(&self, choice: &Choice) -> Option<RefusalReason> {
        if self.ask.resumes.is_some() && self.origin.get().is_some() {
            return None;
        }
        let is_plain = self.catalog.pool(&self.pool)?.engine.is_none();
        if !is_plain && self.must_leave_room(choice) {
            let sent_percent = (choice.admitted_fraction.min(1.0) * 100.0) as u32;
            return Some(RefusalReason::RoomKept { sent_percent });
        }
        let is_admitted = match is_plain {
            _ if self.attempts > 0 => true,
            true => self.plain_outlook(choice).is_admitted(),
            false => self.outlook(choice).is_admitted(),
        };
        (!is_admitted).then_some(RefusalReason::Overload {
            expected_ms: choice.expected_ms as u64,
            backlog_ms: choice.backlog_ms as u64,
        })
    }

    fn outlook(&self, choice: &Choice) -> EngineAdmission {
        let band = self.band();
        EngineAdmission {
            band,
            expected_ms: choice.expected_ms,
            backlog_ms: choice.backlog_ms,
            shortest_target: self.catalog.shortest_target(&self.pool),
            time_left: self.deadline - self.entry.clock.now(),
            longest_less_urgent_time: self.catalog.longest_less_urgent_timeout(&self.pool, band),
            has_more_urgent: self.has_more_urgent(self.entry.clock.now()),
        }
    }

    fn plain_outlook(&self, choice: &Choice) -> PlainAdmission {
        PlainAdmission {
            expected_ms: choice.expected_ms,
            is_full: choice.is_full,
            target: self.route().target,
            has_more_urgent: self.has_more_urgent(self.entry.clock.now()),
        }
    }

    /// How the pool's endpoints warm up; `None` if they don't.
    fn warm_up(&self) -> Option<WarmUp> {
        self.catalog.pool(&self.pool).and_then(|pool| pool.warm_up)
    }

    /// Whether the request may be sent to an endpoint now: it accepts work, may run the request,
    /// and, while it warms up, has not used up this entry's share of its requests.
    pub(super) fn may_send(&self, key: EndpointKey, now: Millis) -> bool {
        let directory = self.entry.directory();
        let Some(endpoint) = directory.get(key) else {
            return false;
        };
        let share = self.entry.warm_up_share(endpoint, self.warm_up());
        let endpoint_states = self.entry.endpoint_states();
        let sends = endpoint_states
            .get(key)
            .map(|endpoint_state| &endpoint_state.recent_sends);
        let allows = |share| sends.is_some_and(|sends| sends.allows(share, now));
        let may_run = self.may_run_at(endpoint, &self.entry.settings.borrow());
        directory.accepts_requests(key, now) && may_run && share.is_none_or(allows)
    }

    /// Whether the request may run at an endpoint: it is in a region where requests of this route
    /// and team may run, its software version is the one that began the stream, and such endpoints
    /// don't crash under a part of the prompt.
    pub(super) fn may_run_at(&self, endpoint: &Endpoint, settings: &DirectSettings) -> bool {
        let origin = self.origin.get();
        if origin.is_some_and(|origin| origin != endpoint.origin) {
            return false;
        }
        let kind = endpoint.origin.endpoint_kind();
        let refusal = self.part_refusal.as_ref();
        if refusal.is_some_and(|refusal| !refusal.allows(kind)) {
            return false;
        }
        let team = self.allowed.team.map(|team| &self.catalog.teams[team]);
        let zone = &endpoint.listed.zone;
        residency::allows(self.route(), team, zone, &settings.regions)
    }

    /// Whether step times and the capacity of the pool are learned.
    pub(super) fn is_observed(&self) -> bool {
        self.catalog.is_mixed_engine_pool(&self.pool)
    }

    /// Learned capacity of the pool's engines; `None` where it is not learned.
    pub(super) fn pool_capacity(&self) -> Option<PoolCapacity> {
        let capacities = self.entry.capacities.borrow();
        let learned = capacities.get(&self.pool).map(LearnedCapacity::capacity);
        self.is_observed().then(|| learned.unwrap_or_default())
    }

    /// What the choice of an endpoint is based on, for an entry in availability zone `zone`.
    fn demand<'a>(&'a self, zone: &'a str, now: Millis) -> Demand<'a> {
        let engine = self.catalog.pool(&self.pool).and_then(|pool| pool.engine);
        Demand {
            band: self.band(),
            parts: &self.ask.parts,
            output_tokens: self.ask.output_tokens,
            target: self.route().target,
            zone,
            engine,
            pause_sensitivity: self.catalog.pause_sensitivity(self.route(), &self.pool),
            pause: self.catalog.shortest_pause(&self.pool),
            visibility_delay: self.entry.peers.borrow().visibility_delay(now),
            room: self.room(now),
            draw: rand::random(),
            capacity: self.pool_capacity(),
        }
    }
}
