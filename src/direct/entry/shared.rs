//! State that entries share for mixed pools: what this entry sends to peers in each round, and what
//! it takes from theirs.

use std::net::SocketAddr;

use serde::Serialize;

use super::Entry;
use crate::direct::directory::EndpointKey;
use crate::direct::peers::{self, DueObservations, PeerId, SharedKind, SharedObservations};

impl Entry {
    /// Sends a peer what it does not know yet of the shared state.
    pub fn send_shared_state(&self, to: SocketAddr) {
        if !self.has_mixed_pool() {
            return;
        }
        self.send_waiting(to);
        let now = self.clock.now();
        let peers = self.peers.borrow().entries(now) - 1;
        let due = self.observation_schedule.borrow_mut().due(to, peers, now);
        if let Some(due) = due {
            self.send_observations(to, due);
        }
        self.send_team_usage(to);
    }

    /// Sends a peer that is new all that it is to know of the shared state.
    pub fn greet_with_shared_state(&self, to: SocketAddr) {
        if self.has_mixed_pool() {
            let now = self.clock.now();
            let due = self.observation_schedule.borrow_mut().greet(to, now);
            self.send_observations(to, due);
        }
    }

    /// Handles a datagram of shared state; false if it is of another format.
    pub fn handle_shared_state(&self, bytes: &[u8]) -> bool {
        let Some((kind, from, payload)) = peers::split_shared(bytes) else {
            return false;
        };
        match kind {
            SharedKind::Observations => self.handle_observations(from, payload),
            SharedKind::Waiting => self.handle_waiting(from, payload),
            SharedKind::TeamUsage => self.handle_team_usage(from, payload),
        }
        true
    }

    /// Whether the configuration in force has a mixed pool.
    fn has_mixed_pool(&self) -> bool {
        self.catalog()
            .is_some_and(|catalog| catalog.has_mixed_pool())
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

    fn send_observations(&self, to: SocketAddr, due: DueObservations) {
        let now = self.clock.now();
        let times = self.observed.borrow().own_times(due.since, due.most, now);
        if times.is_empty() {
            return;
        }
        let shared = SharedObservations {
            times: times.into_iter().map(Into::into).collect(),
        };
        self.send_shared(to, SharedKind::Observations, &shared);
    }

    /// Records what a peer observed of endpoints that are listed here.
    fn handle_observations(&self, from: PeerId, payload: &[u8]) {
        let Some(shared) = peers::decode_shared::<SharedObservations>(payload) else {
            tracing::debug!("malformed observations of a peer");
            return;
        };
        if from == self.id || !self.has_mixed_pool() {
            return;
        }
        let now = self.clock.now();
        let directory = self.directory();
        let mut observed = self.observed.borrow_mut();
        for time in shared.times {
            let key = directory.by_digest(time.endpoint);
            let Some(endpoint) = key.and_then(|key| directory.get(key)) else {
                continue;
            };
            let pool = &endpoint.listed.pool;
            if self.is_observed(pool) {
                observed.record_remote(from, pool, time.into(), now);
            }
        }
    }

    /// Sends a datagram of shared state. A lost one needs no resending: the next round makes up for
    /// it.
    pub(super) fn send_shared(&self, to: SocketAddr, kind: SharedKind, payload: &impl Serialize) {
        let encoded = peers::encode_shared(kind, self.id, payload);
        let (Some(socket), Some(bytes)) = (self.peer_socket.get(), encoded) else {
            return;
        };
        if let Err(err) = socket.try_send_to(&bytes, to) {
            tracing::debug!(%err, %to, "datagram of shared state not sent");
        }
    }
}
