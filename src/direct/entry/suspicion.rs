//! Requests that may have caused endpoints to end: what this entry saw itself, and what peers
//! reported.

use std::rc::Rc;

use super::{EndpointState, Entry};
use crate::clock::Millis;
use crate::direct::channel::{Connection, ExchangeError};
use crate::direct::decision::Decision;
use crate::direct::directory::{digest, EndpointKey};
use crate::direct::ends::{EndSign, LostRun};
use crate::fingerprint::Fingerprint;
use crate::quarantine::{
    Change, EndpointEnd, IncarnationDigest, Notice, PoolSnapshot, QuarantineStatus,
};

impl Entry {
    /// Whether a request may be sent to an endpoint now, by its suspicion status.
    pub fn request_status(&self, request: Fingerprint) -> QuarantineStatus {
        self.evaluate_suspects();
        let now = self.clock.now();
        self.quarantine.borrow().request_status(request, now)
    }

    /// Evaluates the suspected requests that are due, and logs and reports to peers those that are
    /// refused from now on.
    pub fn evaluate_suspects(&self) {
        let now = self.clock.now();
        let refused = self.quarantine.borrow_mut().evaluate_suspects(now);
        for request in refused {
            if let QuarantineStatus::Refused { ends, until } =
                self.quarantine.borrow().request_status(request, now)
            {
                self.handle_change(request, Change::Refused { ends, until });
            }
        }
    }

    /// Records that a request under suspicion is about to be sent, and informs peers.
    pub fn record_suspect_start(&self, request: Fingerprint, at: Millis) {
        let change = self.quarantine.borrow_mut().record_start(request, at, at);
        self.handle_change(request, change);
        self.gossip_requested.notify_one();
    }

    /// Records that an endpoint finished a request. If that clears it of suspicion, peers are
    /// informed.
    pub fn record_run_finished(&self, request: Fingerprint) {
        let now = self.clock.now();
        let change = self
            .quarantine
            .borrow_mut()
            .record_completion(request, now, now);
        if change == Change::Cleared {
            self.handle_change(request, change);
            self.gossip_requested.notify_one();
        }
    }

    /// Applies a peer's notices about requests under suspicion.
    pub fn apply_notices(&self, notices: &[Notice]) {
        let now = self.clock.now();
        for notice in notices {
            let mut pool_snapshot = None;
            if let Notice::Ended { endpoint, .. } = notice {
                pool_snapshot = self.reported_pool(*endpoint);
                self.handle_reported_end(*endpoint);
            }
            let mut quarantine = self.quarantine.borrow_mut();
            let change = quarantine.apply_notice_in_pool(notice, pool_snapshot, now);
            drop(quarantine);
            self.handle_change(notice.request(), change);
        }
    }

    /// The pool of an endpoint that a peer reports, with its number of endpoints; `None` if the
    /// endpoint is not listed here.
    fn reported_pool(&self, incarnation: IncarnationDigest) -> Option<PoolSnapshot> {
        let directory = self.directory.borrow();
        let key = directory.by_digest(incarnation)?;
        let pool = &directory.get(key)?.listed.pool;
        Some(self.pool_snapshot(pool, key))
    }

    /// The pool that an endpoint belongs to, with the number of its endpoints: those that take work
    /// now, and this one.
    pub(super) fn pool_snapshot(&self, pool: &str, key: EndpointKey) -> PoolSnapshot {
        let now = self.clock.now();
        let directory = self.directory.borrow();
        let others = directory
            .available_in_pool(pool, now)
            .filter(|(k, _)| *k != key);
        PoolSnapshot {
            pool: digest(pool, None),
            endpoints: others.count() + 1,
        }
    }

    /// Puts the requests of runs that were lost with an ended endpoint under suspicion: each of
    /// them may have ended it.
    pub(super) fn suspect_lost_runs(
        &self,
        endpoint: IncarnationDigest,
        pool_snapshot: PoolSnapshot,
        lost: &[LostRun],
    ) {
        let now = self.clock.now();
        for run in lost.iter().filter(|run| !run.was_warming) {
            let end = EndpointEnd {
                endpoint,
                began: run.began,
                ended: run.lost,
            };
            let mut quarantine = self.quarantine.borrow_mut();
            let change = quarantine.record_end_in_pool(run.request, end, Some(pool_snapshot), now);
            drop(quarantine);
            self.handle_change(run.request, change);
        }
        self.gossip_requested.notify_one();
    }

    /// Logs a change and wakes the requests that wait for it. When a request is refused, this entry
    /// informs its peers at once, also if it learned that from one.
    fn handle_change(&self, request: Fingerprint, change: Change) {
        match change {
            Change::None => return,
            Change::Refused { ends, until } => {
                self.gossip_requested.notify_one();
                let for_ms = (until - self.clock.now()).0;
                self.log_refused(request, ends, for_ms);
            }
            Change::Suspected { .. } | Change::Began | Change::Cleared => {}
        }
        self.quarantine_changed.notify_waiters();
    }

    fn log_refused(&self, request: Fingerprint, ends: usize, for_ms: u64) {
        self.log.state_change(Decision::RequestRefused {
            fingerprint: request.to_string(),
            ends,
            for_ms,
        });
    }

    /// Handles a peer's report that an endpoint has ended.
    fn handle_reported_end(&self, endpoint: IncarnationDigest) {
        let key = self.directory.borrow().by_digest(endpoint);
        if let Some(key) = key {
            self.endpoint_ended(key, EndSign::Told);
        }
    }

    /// Finds out whether an endpoint that broke a connection has ended: then nothing listens at its
    /// address any more.
    ///
    /// Without this check the end would be noticed when the next request is sent there, 0.1 to 1.2
    /// s later on small sites. The request that caused it might have arrived again by then.
    pub(super) fn check_for_end(self: &Rc<Self>, key: EndpointKey) {
        let Some(address) = self.directory.borrow().get(key).map(|e| e.listed.address) else {
            return;
        };
        let mut is_first = false;
        self.update_endpoint_state(key, |endpoint_state| {
            is_first = !endpoint_state.begin_end_check()
        });
        if !is_first {
            return;
        }
        let entry = Rc::clone(self);
        let begun = self.clock.now();
        actix_rt::spawn(async move {
            match Connection::connect(address).await {
                Err(ExchangeError::Refused) => entry.endpoint_ended(key, EndSign::Refused),
                Err(_) => {}
                Ok(connection) => {
                    entry.update_endpoint_state(key, |endpoint_state| {
                        endpoint_state.connected(begun)
                    });
                    entry.keep_connection(key, connection);
                }
            }
            entry.update_endpoint_state(key, EndpointState::finish_end_check);
            entry.quarantine_changed.notify_waiters();
        });
    }
}
