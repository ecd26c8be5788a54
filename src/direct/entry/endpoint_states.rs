//! What an entry keeps for each listed endpoint: its load, its health record and idle connections
//! to it.

use std::cell::{Cell, Ref, RefMut};
use std::rc::Rc;

use slotmap::SecondaryMap;

use super::Entry;
use crate::clock::Millis;
use crate::direct::admission::turnover::PoolActivity;
use crate::direct::admission::warmup::{self, RecentSends, WarmUp};
use crate::direct::channel::Connection;
use crate::direct::decision::{Decision, LostRunRecord};
use crate::direct::directory::{Endpoint, EndpointKey, EndpointStatus};
use crate::direct::ends::{EndSign, LostHow, LostRun, LostRuns};
use crate::direct::known::health::{Fault, HealthRecord};
use crate::direct::known::load::{EndpointLoad, Footprint};
use crate::fingerprint::Fingerprint;
use crate::quarantine::parts::{EndpointKind, SharedParts, HARMLESS_AFTER};
use crate::quarantine::IncarnationDigest;

/// Most idle connections that are kept to one endpoint.
const MAX_IDLE: usize = 24;
/// Time after which an idle connection is closed, at the latest: endpoints may drop idle
/// connections without notice.
const MAX_IDLE_TIME: Millis = Millis(4_000);
/// Fraction of the idle timeout announced by the endpoint that is used, so that a request does not
/// cross with the endpoint's close.
const IDLE_FRACTION: f64 = 0.6;

/// What is known of one endpoint beyond its entry in the directory.
#[derive(Debug, Default)]
pub struct EndpointState {
    /// Its identity in the platform's list.
    pub(super) id: String,
    /// The pool that it serves.
    pool: String,
    /// Digest of its identity and incarnation.
    incarnation: IncarnationDigest,
    /// Its kind.
    kind: EndpointKind,
    /// Its load, from this entry's requests and from reports of peers and the endpoint.
    pub load: EndpointLoad,
    /// Its health record.
    pub record: HealthRecord,
    /// When anything last arrived from it.
    pub last_contact_at: Millis,
    /// Requests that this entry sent to it recently.
    pub recent_sends: RecentSends,
    /// Recent runs that it did not finish.
    lost_runs: LostRuns,
    /// Whether a check of whether it still listens is under way.
    is_end_check_running: bool,
    /// Connections to it that are not in use, the most recently used last.
    idle_connections: Vec<Connection>,
}

/// The states of all listed endpoints.
pub type EndpointStates = SecondaryMap<EndpointKey, EndpointState>;

impl EndpointState {
    /// Records that more of an answer arrived from the endpoint. It may have been under way before a
    /// run was lost, so it says nothing about that.
    pub fn record_heard(&mut self, now: Millis) {
        self.last_contact_at = now;
    }

    /// Records that something arrived from the endpoint, so it is alive.
    pub fn record_contact(&mut self, now: Millis) {
        self.last_contact_at = now;
        self.lost_runs.record_contact(now);
    }

    /// Records that the endpoint accepted a connection whose opening began at `begun`.
    pub(super) fn connected(&mut self, begun: Millis) {
        self.lost_runs.record_connection(begun);
    }

    /// Whether a check of whether the endpoint still listens is under way.
    pub fn is_end_check_running(&self) -> bool {
        self.is_end_check_running
    }

    /// Marks such a check as under way; returns whether one already was.
    pub(super) fn begin_end_check(&mut self) -> bool {
        std::mem::replace(&mut self.is_end_check_running, true)
    }

    /// Marks the check as finished.
    pub(super) fn finish_end_check(&mut self) {
        self.is_end_check_running = false;
    }
}

impl Entry {
    /// The states of all listed endpoints.
    pub fn endpoint_states(&self) -> Ref<'_, EndpointStates> {
        self.endpoint_states.borrow()
    }

    /// The states of all listed endpoints, for changes.
    pub fn endpoint_states_mut(&self) -> RefMut<'_, EndpointStates> {
        self.endpoint_states.borrow_mut()
    }

    /// Changes the state of an endpoint; does nothing if it has left the list.
    pub fn update_endpoint_state(&self, key: EndpointKey, change: impl FnOnce(&mut EndpointState)) {
        if let Some(endpoint_state) = self.endpoint_states.borrow_mut().get_mut(key) {
            change(endpoint_state);
        }
    }

    /// Takes an idle connection to an endpoint that is still usable; drops the unusable ones that
    /// it finds before.
    pub fn take_idle_connection(&self, key: EndpointKey) -> Option<Connection> {
        let now = self.clock.now();
        let mut endpoint_states = self.endpoint_states.borrow_mut();
        let idle = &mut endpoint_states.get_mut(key)?.idle_connections;
        while let Some(connection) = idle.pop() {
            if now < idle_until(&connection) && connection.is_idle() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for later requests; drops it if [`MAX_IDLE`] are kept already or the
    /// endpoint has left the list.
    pub fn keep_connection(&self, key: EndpointKey, mut connection: Connection) {
        connection.idle_since = self.clock.now();
        let mut endpoint_states = self.endpoint_states.borrow_mut();
        if let Some(endpoint_state) = endpoint_states.get_mut(key) {
            if endpoint_state.idle_connections.len() < MAX_IDLE {
                endpoint_state.idle_connections.push(connection);
            }
        }
    }

    /// Requests per second that this entry may send to an endpoint while that warms up; `None` if
    /// there is no such bound.
    pub fn warm_up_share(&self, endpoint: &Endpoint, warm_up: Option<WarmUp>) -> Option<usize> {
        let warm_up = warm_up?;
        let now = self.clock.now();
        let warm_until = endpoint.warm_until(warm_up.time);
        let until = warmup::shared_until(warm_until, self.id, endpoint.digest);
        if warm_until == Millis(0) || now >= until {
            return None;
        }
        let settings = self.settings.borrow();
        let own = settings.link.ip();
        let has_others = settings.seeds.iter().any(|seed| seed.ip() != own);
        let excess = settings.bounds.warm_up_excess();
        let sharers = self
            .fleet_size
            .get()
            .sharers(now - self.started_at, has_others);
        Some(warmup::share(
            warm_up,
            excess,
            sharers,
            self.id,
            endpoint.digest,
        ))
    }

    /// Counts the entries that serve now, among which the rate of endpoints that warm up is shared
    /// out.
    pub(super) fn update_fleet_size(&self) {
        let mut fleet = self.fleet_size.get();
        fleet.observe(self.peers.borrow().entries(self.clock.now()));
        self.fleet_size.set(fleet);
    }

    /// Records that an endpoint failed a request; logs it if the endpoint is set aside for that.
    pub fn endpoint_failed(&self, key: EndpointKey, fault: Fault, why: &str) {
        let now = self.clock.now();
        if fault == Fault::Unreachable {
            // It may have restarted since its list entry was written.
            self.directory.borrow_mut().assume_warm_up(key, now);
        }
        let mut set_aside = false;
        self.update_endpoint_state(key, |endpoint_state| {
            set_aside = endpoint_state.record.failed(now, fault)
        });
        if set_aside {
            self.log_health(key, true, why);
        }
        match fault {
            Fault::Unreachable => self.report_unreachable(key),
            Fault::Answer => {}
        }
    }

    /// Records that an endpoint served a request; logs it if the endpoint is taken back into use.
    pub fn endpoint_served(&self, key: EndpointKey) {
        let mut taken_back = false;
        self.update_endpoint_state(key, |endpoint_state| {
            let was_set_aside = endpoint_state.record.is_ejected();
            endpoint_state.record.succeeded();
            taken_back = was_set_aside && !endpoint_state.record.is_ejected();
        });
        if taken_back {
            self.log_health(key, false, "served a request");
        }
    }

    /// Calls `look` with the recent activity of this entry in a pool.
    pub fn turnover<T>(&self, pool: &str, look: impl FnOnce(&mut PoolActivity) -> T) -> T {
        let mut turnovers = self.turnovers.borrow_mut();
        if let Some(turnover) = turnovers.get_mut(pool) {
            return look(turnover);
        }
        look(turnovers.entry(pool.to_owned()).or_default())
    }

    /// Adds a request to an endpoint's load until the guard is dropped.
    pub fn begin_run(
        self: &Rc<Self>,
        key: EndpointKey,
        pool: &str,
        footprint: Footprint,
        request: Fingerprint,
        parts: SharedParts,
    ) -> RunGuard {
        let now = self.clock.now();
        self.turnover(pool, |turnover| turnover.record_start(now));
        let mut kind = EndpointKind::default();
        self.update_endpoint_state(key, |endpoint_state| {
            endpoint_state.load.begin(footprint, now);
            endpoint_state.recent_sends.note(now);
            kind = endpoint_state.kind;
        });
        RunGuard {
            entry: Rc::clone(self),
            key,
            pool: pool.to_owned(),
            footprint,
            answer_began: Cell::default(),
            is_harmless: Cell::default(),
            request,
            parts,
            kind,
            began: now,
            end: Cell::new(RunEnd::Lost(LostHow::Silent)),
        }
    }

    /// Records a lost run, and finds out whether the endpoint has ended if the run's connection
    /// broke.
    fn record_lost_run(self: &Rc<Self>, key: EndpointKey, mut run: LostRun) {
        match self.end_cause(key, run.lost) {
            EndCause::Run => {}
            EndCause::RunOrWarmUp => run.was_warming = true,
            EndCause::Plan => return,
        }
        let mut ended = None;
        self.update_endpoint_state(key, |endpoint_state| {
            ended = endpoint_state.lost_runs.record_loss(run.clone())
        });
        if let Some(sign) = ended {
            self.report_lost_runs(key, sign, &[run]);
        } else if run.how == LostHow::Broken {
            self.check_for_end(key);
        }
    }

    /// What could be the cause if an endpoint ended now.
    fn end_cause(&self, key: EndpointKey, now: Millis) -> EndCause {
        let directory = self.directory.borrow();
        let Some(endpoint) = directory.get(key) else {
            return EndCause::Plan;
        };
        let leaves = endpoint.status == EndpointStatus::Draining || endpoint.announced.leaves;
        match leaves {
            true => EndCause::Plan,
            false if endpoint.is_listed_warming(now) => EndCause::RunOrWarmUp,
            false => EndCause::Run,
        }
    }

    /// Handles the end of an endpoint's incarnation: runs that were lost with it come under
    /// suspicion.
    pub fn endpoint_ended(&self, key: EndpointKey, sign: EndSign) {
        let now = self.clock.now();
        let mut lost = Vec::new();
        self.update_endpoint_state(key, |endpoint_state| {
            lost = endpoint_state.lost_runs.record_end(sign, now)
        });
        if !lost.is_empty() {
            self.report_lost_runs(key, sign, &lost);
        }
    }

    /// Counts and logs the runs that were lost with an endpoint, and puts their requests under
    /// suspicion.
    fn report_lost_runs(&self, key: EndpointKey, sign: EndSign, lost: &[LostRun]) {
        self.metrics.runs_ended(sign, lost.len() as u64);
        let mut endpoint = String::new();
        let mut pool = String::new();
        let mut incarnation = 0;
        self.update_endpoint_state(key, |endpoint_state| {
            endpoint.clone_from(&endpoint_state.id);
            pool.clone_from(&endpoint_state.pool);
            incarnation = endpoint_state.incarnation;
        });
        self.log.state_change(Decision::EndpointEnded {
            endpoint,
            sign,
            lost: lost.iter().map(|run| run.request.to_string()).collect(),
            runs: lost.iter().map(LostRunRecord::of).collect(),
        });
        let pool_snapshot = self.pool_snapshot(&pool, key);
        self.suspect_lost_runs(incarnation, pool_snapshot, lost);
        self.suspect_lost_parts(incarnation, lost);
    }

    pub(super) fn log_health(&self, key: EndpointKey, aside: bool, why: &str) {
        if let Some(endpoint) = self.directory.borrow().get(key) {
            self.log.state_change(Decision::EndpointHealth {
                endpoint: endpoint.listed.id.clone(),
                aside,
                why: why.into(),
            });
        }
    }

    /// Creates the state of each listed endpoint that has none.
    pub(super) fn add_missing_endpoint_states(&self) {
        let directory = self.directory.borrow();
        let smallest = directory.smallest_pool_size();
        self.quarantine.borrow_mut().set_endpoint_count(smallest);
        let mut endpoint_states = self.endpoint_states.borrow_mut();
        for (key, endpoint) in directory.iter() {
            if !endpoint_states.contains_key(key) {
                let endpoint_state = EndpointState {
                    id: endpoint.listed.id.clone(),
                    pool: endpoint.listed.pool.clone(),
                    incarnation: endpoint.digest,
                    kind: endpoint.origin.endpoint_kind(),
                    ..EndpointState::default()
                };
                endpoint_states.insert(key, endpoint_state);
            }
        }
    }

    /// Drops the states of endpoints that left the list.
    pub(super) fn forget(&self, gone: &[EndpointKey]) {
        for key in gone {
            self.endpoint_ended(*key, EndSign::Unlisted);
            let removed = self.endpoint_states.borrow_mut().remove(*key);
            if let Some(endpoint_state) = removed {
                let digest = endpoint_state.incarnation;
                self.observed.borrow_mut().forget(digest);
                self.reports.borrow_mut().forget(digest);
            }
            self.prefixes.borrow_mut().forget(*key);
        }
    }

    /// Closes connections that have been idle too long.
    pub(super) fn close_idle(&self, now: Millis) {
        for endpoint_state in self.endpoint_states.borrow_mut().values_mut() {
            endpoint_state
                .idle_connections
                .retain(|connection| now < idle_until(connection));
        }
    }

    /// Closes idle connections that can't be reused: bytes have arrived on them, which belong to no
    /// request, or the endpoint has closed them. One that sends without end counts as failed.
    pub fn close_unusable(&self) {
        let mut flooding = Vec::new();
        for (key, endpoint_state) in self.endpoint_states.borrow_mut().iter_mut() {
            endpoint_state.idle_connections.retain(|connection| {
                let is_usable = connection.is_idle();
                if !is_usable && connection.has_surplus() {
                    flooding.push(key);
                }
                is_usable
            });
        }
        for key in flooding {
            let why = "bytes without end after an answer";
            self.endpoint_failed(key, Fault::Answer, why);
        }
    }
}

/// A request at an endpoint. Dropping it removes the request from the endpoint's load and records
/// how the run ended.
#[derive(Debug)]
pub struct RunGuard {
    entry: Rc<Entry>,
    key: EndpointKey,
    pool: String,
    footprint: Footprint,
    /// When the first byte of the answer arrived; `None` before that.
    answer_began: Cell<Option<Millis>>,
    /// Whether its parts have been recorded as harmless.
    is_harmless: Cell<bool>,
    request: Fingerprint,
    parts: SharedParts,
    /// Kind of the endpoint.
    kind: EndpointKind,
    began: Millis,
    end: Cell<RunEnd>,
}

/// What may have ended an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndCause {
    /// One of its runs.
    Run,
    /// One of its runs, or overload while it warms up, which all entries cause together.
    RunOrWarmUp,
    /// It leaves as planned, or has left the list.
    Plan,
}

/// How a run at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunEnd {
    /// The endpoint sent its whole answer.
    Answered,
    /// The endpoint did not run it, or answered with an error, possibly because the request's time
    /// was over. Neither tells whether the request ends endpoints.
    Undecided,
    /// The run was lost: neither of the above.
    Lost(LostHow),
}

impl RunGuard {
    /// Records that the answer has begun, so the endpoint has read the prompt.
    pub fn answer_began(&self) {
        if self.answer_began.get().is_none() {
            self.answer_began.set(Some(self.entry.clock.now()));
            self.remove_unread();
        }
    }

    /// Removes the prompt from what the endpoint has still to read.
    fn remove_unread(&self) {
        let footprint = self.footprint;
        self.entry
            .update_endpoint_state(self.key, |endpoint_state| {
                endpoint_state.load.read(footprint)
            });
    }

    /// Records that more of the answer has arrived. An endpoint that has written for a while shows
    /// that the parts of the prompt are harmless.
    pub fn answer_goes_on(&self) {
        let began = self.answer_began.get();
        if began.is_some_and(|at| self.entry.clock.now() - at >= HARMLESS_AFTER) {
            self.parts_are_harmless();
        }
    }

    /// Records that the endpoint has written an answer of success.
    pub fn parts_are_harmless(&self) {
        if !self.is_harmless.replace(true) {
            self.entry.record_harmless_parts(&self.parts, self.kind);
        }
    }

    /// Records that the endpoint has sent its whole answer.
    pub fn answered(&self) {
        self.end.set(RunEnd::Answered);
    }

    /// Records that the endpoint did not run it, or answered with an error.
    pub fn undecided(&self) {
        self.end.set(RunEnd::Undecided);
    }

    /// Records that its connection broke.
    pub fn broken(&self) {
        self.end.set(RunEnd::Lost(LostHow::Broken));
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if self.answer_began.get().is_none() {
            self.remove_unread();
        }
        let now = self.entry.clock.now();
        self.entry.turnover(&self.pool, |t| t.record_end(now));
        let footprint = self.footprint;
        self.entry
            .update_endpoint_state(self.key, |endpoint_state| {
                endpoint_state.load.end(footprint)
            });
        if self.end.get() != RunEnd::Undecided {
            self.entry
                .update_endpoint_state(self.key, |endpoint_state| endpoint_state.load.clear_full());
        }
        match self.end.get() {
            RunEnd::Answered => self.entry.record_run_finished(self.request),
            RunEnd::Undecided => {}
            RunEnd::Lost(how) => {
                let run = LostRun {
                    request: self.request,
                    parts: Rc::clone(&self.parts),
                    kind: self.kind,
                    was_warming: false,
                    answer_began: self.answer_began.get(),
                    began: self.began,
                    lost: self.entry.clock.now(),
                    how,
                };
                self.entry.record_lost_run(self.key, run);
            }
        }
    }
}

/// Until when an idle connection may be used.
fn idle_until(connection: &Connection) -> Millis {
    let told = connection
        .idle_time
        .map(|time| (time.0 as f64 * IDLE_FRACTION) as u64);
    connection.idle_since + Millis(told.unwrap_or(MAX_IDLE_TIME.0).min(MAX_IDLE_TIME.0))
}
