//! What entries share of the endpoints of mixed pools: step times, and endpoints that can't be
//! reached.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;

use super::{EndpointStates, Entry};
use crate::clock::Millis;
use crate::direct::decision::Decision;
use crate::direct::directory::{EndpointKey, EndpointStatus};
use crate::direct::known::health::HealthRecord;
use crate::direct::known::reports::{Failure, ReportResult, ReportedPool};
use crate::direct::peers::{
    self, DueObservations, PeerId, SharedFailure, SharedKind, SharedObservations,
};

impl Entry {
    /// Sends a peer of a gossip round the observations that it does not know yet.
    pub(super) fn share_observations(&self, to: SocketAddr) {
        let now = self.clock.now();
        let peers = self.peers.borrow().entries(now) - 1;
        let mut schedule = self.observation_schedule.borrow_mut();
        let due = schedule.due(to, peers, now);
        let repeats_reports = schedule.repeats_reports(now);
        drop(schedule);
        match due {
            Some(due) => self.send_observations(to, Some(due)),
            None if repeats_reports => self.send_observations(to, None),
            None => {}
        }
    }

    /// Sends a peer that is new all observations.
    pub(super) fn greet_with_observations(&self, to: SocketAddr) {
        let now = self.clock.now();
        let due = self.observation_schedule.borrow_mut().greet(to, now);
        self.send_observations(to, Some(due));
    }

    /// Whether the step times of a pool's endpoints are observed.
    fn is_observed(&self, pool: &str) -> bool {
        self.catalog()
            .is_some_and(|catalog| catalog.is_mixed_engine_pool(pool))
    }

    /// Records the time of an event, in ms, in a complete stream of an endpoint.
    pub fn record_stream_time(&self, key: EndpointKey, event_ms: f64) {
        let now = self.clock.now();
        if let Some(endpoint) = self.directory().get(key) {
            let (digest, pool) = (endpoint.digest, &endpoint.listed.pool);
            self.observed
                .borrow_mut()
                .record_stream(digest, pool, event_ms, now);
        }
    }

    /// Records that this entry could not reach an endpoint, and tells peers at once.
    pub(super) fn report_unreachable(&self, key: EndpointKey) {
        let Some(digest) = self.observed_digest(key) else {
            return;
        };
        let now = self.clock.now();
        let is_told = self.reports.borrow_mut().record_failure(digest, now);
        if is_told {
            self.send_reports(now);
        } else {
            self.metrics.endpoint_report("withheld");
        }
    }

    /// Records that an endpoint answered, which ends its ejection by reports of peers.
    pub fn note_reached(&self, key: EndpointKey) {
        let Some(digest) = self.observed_digest(key) else {
            return;
        };
        let now = self.clock.now();
        if self.reports.borrow_mut().record_success(digest, now) {
            self.log_health(key, false, "answered, although peers reported it");
        }
    }

    /// Health records of the endpoints that are ejected by reports of peers, to be used in place of
    /// the own ones.
    pub fn ejected_by_reports(
        &self,
        endpoint_states: &EndpointStates,
        now: Millis,
    ) -> HashMap<EndpointKey, HealthRecord> {
        let directory = self.directory();
        let reports = self.reports.borrow();
        let ejected = reports.ejected(now).filter_map(|(digest, until)| {
            let key = directory.by_digest(digest)?;
            let record = endpoint_states.get(key)?.record;
            Some((key, record.with_ejection(until)))
        });
        ejected.collect()
    }

    /// Digest of an endpoint of a pool that is observed; `None` for others.
    fn observed_digest(&self, key: EndpointKey) -> Option<u32> {
        let directory = self.directory();
        let endpoint = directory.get(key)?;
        self.is_observed(&endpoint.listed.pool)
            .then_some(endpoint.digest)
    }

    /// Sends the reports of unreachable endpoints to some peers, between two rounds.
    fn send_reports(&self, now: Millis) {
        self.observation_schedule
            .borrow_mut()
            .record_new_report(now);
        let mut table = self.peers.borrow_mut();
        let mut targets: BTreeSet<SocketAddr> = table.immediate_targets().into_iter().collect();
        targets.extend(table.immediate_targets());
        drop(table);
        for to in targets {
            self.send_observations(to, None);
        }
    }

    /// Sends the step times that are due and all current reports of unreachable endpoints.
    fn send_observations(&self, to: SocketAddr, due: Option<DueObservations>) {
        let now = self.clock.now();
        let observed = self.observed.borrow();
        let times = due.map(|due| observed.own_times(due.since, due.most, now));
        let failures = self.reports.borrow().reported(now);
        let shared_failure = |failure: Failure| SharedFailure::new(failure, now);
        let shared = SharedObservations {
            number: self.observation_schedule.borrow_mut().next_number(),
            times: times.into_iter().flatten().map(Into::into).collect(),
            unreachable: failures.into_iter().map(shared_failure).collect(),
        };
        if shared.is_empty() {
            return;
        }
        let bytes = peers::encode_shared(SharedKind::Observations, self.id, &shared);
        let (Some(socket), Some(bytes)) = (self.peer_socket.get(), bytes) else {
            return;
        };
        let mut schedule = self.observation_schedule.borrow_mut();
        if due.is_none() && !schedule.may_send_reports(bytes.len(), now) {
            return;
        }
        // A peer that is down causes an error here; a later datagram makes up for it.
        if let Err(err) = socket.try_send_to(&bytes, to) {
            tracing::debug!(%err, %to, "observations not sent");
        }
        if !shared.unreachable.is_empty() {
            self.metrics.endpoint_report("sent");
        }
    }

    /// Records what a peer observed of endpoints that are listed here.
    pub(super) fn handle_observations(&self, from: PeerId, payload: &[u8]) {
        let Some(shared) = peers::decode_shared::<SharedObservations>(payload) else {
            tracing::debug!("malformed observations of a peer");
            return;
        };
        let now = self.clock.now();
        let mut schedule = self.observation_schedule.borrow_mut();
        if from == self.id || !schedule.is_newer(from, shared.number, now) {
            return;
        }
        drop(schedule);
        for time in shared.times {
            let endpoint = time.endpoint;
            self.with_observed_pool(endpoint, |pool| {
                let mut observed = self.observed.borrow_mut();
                observed.record_remote(from, pool, time.into(), now);
            });
        }
        let mut is_confirmed = false;
        let mut pool_sizes = HashMap::new();
        for failure in shared.unreachable {
            let failure = failure.received(now);
            is_confirmed |= self.handle_report(from, failure, &mut pool_sizes, now);
        }
        if is_confirmed {
            self.send_reports(now);
        }
    }

    /// Records a peer's report of an unreachable endpoint; true if it is ejected from now on.
    /// `pool_sizes` keeps the sizes of pools between the reports of one datagram.
    fn handle_report(
        &self,
        from: PeerId,
        failure: Failure,
        pool_sizes: &mut HashMap<String, usize>,
        now: Millis,
    ) -> bool {
        let result = self.with_observed_pool(failure.endpoint, |name| {
            let known = pool_sizes.get(name).copied();
            let endpoints = known.unwrap_or_else(|| self.pool_size(name));
            pool_sizes.insert(name.to_owned(), endpoints);
            let pool = ReportedPool { name, endpoints };
            let mut reports = self.reports.borrow_mut();
            reports.record_report(from, failure, pool, now)
        });
        let Some(result) = result else {
            return false;
        };
        self.metrics.endpoint_report(match result {
            ReportResult::Noted | ReportResult::StillEjected => "received",
            ReportResult::Ejected => "ejected",
            ReportResult::TooMany => "too_many",
        });
        let is_ejected = result == ReportResult::Ejected;
        if is_ejected {
            self.log_report(failure.endpoint, true, "reported unreachable by two peers");
        }
        is_ejected
    }

    /// Calls `look` with the pool of a listed endpoint, if it is observed.
    fn with_observed_pool<T>(&self, digest: u32, look: impl FnOnce(&str) -> T) -> Option<T> {
        let directory = self.directory();
        let endpoint = directory.get(directory.by_digest(digest)?)?;
        let pool = endpoint.listed.pool.as_str();
        self.is_observed(pool).then(|| look(pool))
    }

    /// Number of endpoints of a pool that the list has as ready.
    fn pool_size(&self, pool: &str) -> usize {
        let directory = self.directory();
        let is_ready = |status| matches!(status, EndpointStatus::Ready | EndpointStatus::Lapsed(_));
        let of_pool = directory.iter().filter(|(_, e)| e.listed.pool == pool);
        of_pool.filter(|(_, e)| is_ready(e.status)).count()
    }

    fn log_report(&self, digest: u32, aside: bool, why: &str) {
        let key = self.directory().by_digest(digest);
        if let Some(key) = key {
            self.log_health(key, aside, why);
        }
    }

    /// Logs what was learned since the last call, and updates the gauges.
    pub(super) fn log_observations(&self, now: Millis) {
        let ended = self.reports.borrow_mut().expire(now);
        for digest in ended {
            self.log_report(digest, false, "reports of peers expired");
        }
        let mut observed = self.observed.borrow_mut();
        let changes = observed.take_changes(now);
        let metrics = &self.metrics;
        metrics.set("observed_endpoints", observed.known() as u64);
        metrics.set("uneven_endpoints", observed.uneven() as u64);
        let ejected = self.reports.borrow().ejected(now).count();
        metrics.set("endpoints_ejected_by_reports", ejected as u64);
        drop(observed);
        let directory = self.directory();
        for change in changes {
            let key = directory.by_digest(change.endpoint);
            let Some(endpoint) = key.and_then(|key| directory.get(key)) else {
                continue;
            };
            self.log.state_change(Decision::EndpointSpeed {
                endpoint: endpoint.listed.id.clone(),
                relative_time: change.relative_time,
                event_ms: change.event_ms,
            });
        }
        drop(directory);
        self.log_capacities();
    }

    /// Logs the learned capacity of each pool where it has changed noticeably, and updates its
    /// gauges.
    fn log_capacities(&self) {
        for (pool, learned) in self.capacities.borrow_mut().iter_mut() {
            let capacity = learned.capacity();
            self.metrics.pool_capacity(pool, capacity);
            if learned.take_change() {
                self.log.state_change(Decision::PoolCapacity {
                    pool: pool.clone(),
                    prefill_tokens_per_ms: capacity.prefill_tokens_per_ms,
                    step_ms: capacity.step_ms,
                    tokens_per_event: capacity.tokens_per_event,
                });
            }
        }
    }
}
