//! Which endpoint an attempt is sent to, and whether the request is sent at all.

use super::Job;
use crate::clock::Millis;
use crate::direct::admission::{EngineAdmission, PlainAdmission};
use crate::direct::choose::{self, Choice};
use crate::direct::decision::RefusalReason;
use crate::direct::demand::{Candidate, Demand};
use crate::direct::directory::{Endpoint, EndpointKey};
use crate::direct::residency;
use crate::direct::settings::DirectSettings;
use crate::direct::warmup::WarmUp;

impl Job<'_> {
    /// The endpoint of the next attempt: the one with a copy of the run, or the best.
    pub(super) fn next_choice(&mut self) -> Option<Choice> {
        if self.takes_over {
            return self.choose(|key| Some(key) == self.copy);
        }
        let choice = self.choose(|key| !self.tried.contains(&key))?;
        self.note_read(&choice);
        self.pick_copy(&choice);
        Some(choice)
    }

    /// The best of the endpoints that `is_candidate`.
    pub(super) fn choose(&self, is_candidate: impl Fn(EndpointKey) -> bool) -> Option<Choice> {
        let now = self.entry.clock.now();
        let directory = self.entry.directory();
        let endpoint_states = self.entry.endpoint_states();
        let settings = self.entry.settings.borrow();
        let demand = self.demand(&settings.zone, now);
        let warm_up = self.warm_up();
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
                    record: &endpoint_state.record,
                    is_warming: endpoint.warm_until(warming_time) > now,
                    is_limited: self.entry.limit(key).is_some(),
                })
            });
        choose::choose(demand, candidates, &self.entry.prefixes.borrow(), now)
    }

    /// Why a request that no endpoint has yet is not sent; `None` where it is.
    pub(super) fn turned_away(&self, choice: &Choice) -> Option<RefusalReason> {
        let is_plain = self.catalog.pool(&self.pool)?.engine.is_none();
        if !is_plain && self.leaves_room(choice) {
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
            time_left: self.end - self.entry.clock.now(),
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

    /// How endpoints of the pool warm up.
    fn warm_up(&self) -> Option<WarmUp> {
        self.catalog.pool(&self.pool).and_then(|pool| pool.warm_up)
    }

    /// Whether an endpoint may be sent to now: it takes work, and this entry's share of it is not used up
    /// while it warms up.
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

    /// Whether an endpoint lies where requests of this route and team may run.
    pub(super) fn may_run_at(&self, endpoint: &Endpoint, settings: &DirectSettings) -> bool {
        let team = self.allowed.team.map(|team| &self.catalog.teams[team.0]);
        let zone = &endpoint.listed.zone;
        residency::allows(self.route(), team, zone, &settings.regions)
    }

    /// What is to be placed, by an entry in `zone`.
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
        }
    }
}
