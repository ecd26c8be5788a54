//! Requests under which endpoints ended: what this entry saw itself, and what peers told.

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
    /// Whether a request may be sent to an endpoint now.
    pub fn request_status(&self, request: Fingerprint) -> QuarantineStatus {
        self.evaluate_suspects();
        let now = self.clock.now();
        self.quarantine.borrow().request_status(request, now)
    }

    /// Judges the requests that may be the cause of ends, and tells of those that are refused from now on.
    pub fn evaluate_suspects(&self) {
        let now = self.clock.now();
        let refused = self.quarantine.borrow_mut().evaluate_suspects(now);
        for request in refused {
            if let QuarantineStatus::Refused { ends, until } =
                self.quarantine.borrow().request_status(request, now)
            {
                self.changed(request, Change::Refused { ends, until });
            }
        }
    }

    /// A request under suspicion is about to be sent.
    pub fn suspect_began(&self, request: Fingerprint, at: Millis) {
        let change = self.quarantine.borrow_mut().record_start(request, at, at);
        self.changed(request, change);
        self.gossip_requested.notify_one();
    }

    /// An endpoint finished a request.
    pub fn run_finished(&self, request: Fingerprint) {
        let now = self.clock.now();
        let change = self
            .quarantine
            .borrow_mut()
            .record_completion(request, now, now);
        if change == Change::Cleared {
            self.changed(request, change);
            self.gossip_requested.notify_one();
        }
    }

    /// Takes what a peer tells of requests under suspicion.
    pub fn apply_notices(&self, notices: &[Notice]) {
        let now = self.clock.now();
        for notice in notices {
            let mut among = None;
            if let Notice::Ended { endpoint, .. } = notice {
                among = self.among_told(*endpoint);
                self.told_of_end(*endpoint);
            }
            let mut quarantine = self.quarantine.borrow_mut();
            let change = quarantine.apply_notice_in_pool(notice, among, now);
            drop(quarantine);
            self.changed(notice.request(), change);
        }
    }

    /// The endpoints among which one is of which a peer tells; `None` where it is not listed.
    fn among_told(&self, life: IncarnationDigest) -> Option<PoolSnapshot> {
        let directory = self.directory.borrow();
        let key = directory.by_digest(life)?;
        let pool = &directory.get(key)?.listed.pool;
        Some(self.among(pool, key))
    }

    /// The endpoints of a pool among which one of them is.
    pub(super) fn among(&self, pool: &str, key: EndpointKey) -> PoolSnapshot {
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

    /// Runs were lost with an endpoint whose life is over: each of them may have ended it.
    pub(super) fn suspect(
        &self,
        endpoint: IncarnationDigest,
        among: PoolSnapshot,
        lost: &[LostRun],
    ) {
        let now = self.clock.now();
        for run in lost {
            let end = EndpointEnd {
                endpoint,
                began: run.began,
                ended: run.lost,
            };
            let mut quarantine = self.quarantine.borrow_mut();
            let change = quarantine.record_end_in_pool(run.request, end, Some(among), now);
            drop(quarantine);
            self.changed(run.request, change);
        }
        self.gossip_requested.notify_one();
    }

    /// Logs what changed and wakes those that wait for it. Peers that hear that a request is refused tell it on at
    /// once.
    fn changed(&self, request: Fingerprint, change: Change) {
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

    /// A peer saw the life of an endpoint end.
    fn told_of_end(&self, endpoint: IncarnationDigest) {
        let key = self.directory.borrow().by_digest(endpoint);
        if let Some(key) = key {
            self.endpoint_ended(key, EndSign::Told);
        }
    }

    /// Finds out whether an endpoint that broke a connection has ended: nothing listens any more then.
    ///
    /// Without this an end is known when the next request is sent there, 0.1 to 1.2 s later on small sites, and
    /// what ended it may have come again by then.
    pub(super) fn check_end(self: &Rc<Self>, key: EndpointKey) {
        let Some(address) = self.directory.borrow().get(key).map(|e| e.listed.address) else {
            return;
        };
        let mut is_new = false;
        self.update_endpoint_state(key, |endpoint_state| is_new = !endpoint_state.begin_check());
        if !is_new {
            return;
        }
        let entry = Rc::clone(self);
        let begun = self.clock.now();
        actix_rt::spawn(async move {
            match Connection::connect(address).await {
                Err(ExchangeError::Refused) => entry.endpoint_ended(key, EndSign::Refused),
                Err(_) => {}
                Ok(channel) => {
                    entry.update_endpoint_state(key, |endpoint_state| {
                        endpoint_state.connected(begun)
                    });
                    entry.keep_connection(key, channel);
                }
            }
            entry.update_endpoint_state(key, EndpointState::end_check);
            entry.quarantine_changed.notify_waiters();
        });
    }
}
