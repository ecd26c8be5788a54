//! What an entry keeps for each endpoint: its load, its record and idle connections to it.

use std::cell::{Cell, Ref, RefMut};
use std::rc::Rc;

use slotmap::SecondaryMap;

use super::Entry;
use crate::clock::Millis;
use crate::direct::channel::Connection;
use crate::direct::decision::Decision;
use crate::direct::directory::{Endpoint, EndpointKey, EndpointStatus};
use crate::direct::ends::{EndSign, LostHow, LostRun, LostRuns};
use crate::direct::health::{Fault, HealthRecord};
use crate::direct::load::{EndpointLoad, Footprint};
use crate::direct::turnover::PoolActivity;
use crate::direct::warmup::{self, RecentSends, WarmUp};
use crate::fingerprint::Fingerprint;
use crate::quarantine::IncarnationDigest;

/// Idle connections kept to one endpoint.
const MOST_IDLE: usize = 24;
/// Time after which an idle connection is closed where the endpoint tells none: endpoints may drop
/// idle connections without a word.
const IDLE_TIME: Millis = Millis(4_000);
/// Part of the endpoint's own idle time that is used, so that both sides don't cross.
const IDLE_PART: f64 = 0.6;

/// What is known of one endpoint beyond its entry in the directory.
#[derive(Debug, Default)]
pub struct EndpointState {
    /// Its identity.
    pub(super) id: String,
    /// Pool that it serves.
    pool: String,
    /// Digest of this life of it.
    life: IncarnationDigest,
    /// Its load.
    pub load: EndpointLoad,
    /// Its record.
    pub record: HealthRecord,
    /// When anything last came from it.
    pub last_contact_at: Millis,
    /// Requests that were sent to it lately.
    pub recent_sends: RecentSends,
    /// Runs that it did not finish.
    lost: LostRuns,
    /// Whether it is being found out whether it has ended.
    is_end_check_running: bool,
    /// Connections to it that are not in use, the newest last.
    idle: Vec<Connection>,
}

/// The accounts of all listed endpoints.
pub type EndpointStates = SecondaryMap<EndpointKey, EndpointState>;

impl EndpointState {
    /// Something came from the endpoint.
    pub fn record_contact(&mut self, now: Millis) {
        self.last_contact_at = now;
        self.lost.record_contact(now);
    }

    /// It took a connection that was begun at a time.
    pub(super) fn connected(&mut self, begun: Millis) {
        self.lost.record_connection(begun);
    }

    /// Whether it is being found out whether the endpoint has ended.
    pub fn is_end_check_running(&self) -> bool {
        self.is_end_check_running
    }

    /// It is to be found out whether the endpoint has ended; true where that goes on by now.
    pub(super) fn begin_check(&mut self) -> bool {
        std::mem::replace(&mut self.is_end_check_running, true)
    }

    /// That is found out.
    pub(super) fn end_check(&mut self) {
        self.is_end_check_running = false;
    }
}

impl Entry {
    /// What is known of every endpoint.
    pub fn endpoint_states(&self) -> Ref<'_, EndpointStates> {
        self.endpoint_states.borrow()
    }

    /// The same, to be changed.
    pub fn endpoint_states_mut(&self) -> RefMut<'_, EndpointStates> {
        self.endpoint_states.borrow_mut()
    }

    /// Changes what is known of an endpoint; nothing when it has left.
    pub fn update_endpoint_state(&self, key: EndpointKey, change: impl FnOnce(&mut EndpointState)) {
        if let Some(endpoint_state) = self.endpoint_states.borrow_mut().get_mut(key) {
            change(endpoint_state);
        }
    }

    /// A connection to an endpoint that waits for use.
    pub fn take_idle_connection(&self, key: EndpointKey) -> Option<Connection> {
        let now = self.clock.now();
        let mut endpoint_states = self.endpoint_states.borrow_mut();
        let idle = &mut endpoint_states.get_mut(key)?.idle;
        while let Some(channel) = idle.pop() {
            if now < idle_until(&channel) && channel.is_idle() {
                return Some(channel);
            }
        }
        None
    }

    /// Keeps a connection for another request.
    pub fn keep_connection(&self, key: EndpointKey, mut channel: Connection) {
        channel.idle_since = self.clock.now();
        let mut endpoint_states = self.endpoint_states.borrow_mut();
        if let Some(endpoint_state) = endpoint_states.get_mut(key) {
            if endpoint_state.idle.len() < MOST_IDLE {
                endpoint_state.idle.push(channel);
            }
        }
    }

    /// Requests a second that this entry may send to an endpoint of a pool; `None` where that is not limited,
    /// since the endpoint is not taken to warm up.
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
        let sharers = self.fleet.get().sharers(now - self.started, has_others);
        Some(warmup::share(
            warm_up,
            excess,
            sharers,
            self.id,
            endpoint.digest,
        ))
    }

    /// Counts the entries that serve now for the shares of endpoints that warm up.
    pub(super) fn see_fleet(&self) {
        let mut fleet = self.fleet.get();
        fleet.observe(self.peers.borrow().entries(self.clock.now()));
        self.fleet.set(fleet);
    }

    /// An endpoint failed a request.
    pub fn endpoint_failed(&self, key: EndpointKey, fault: Fault, why: &str) {
        let now = self.clock.now();
        if fault == Fault::Unreachable {
            // It may have started again, and its entry in the list is from before.
            self.directory.borrow_mut().assume_warm_up(key, now);
        }
        let mut set_aside = false;
        self.update_endpoint_state(key, |endpoint_state| {
            set_aside = endpoint_state.record.failed(now, fault)
        });
        if set_aside {
            self.log_health(key, true, why);
        }
    }

    /// An endpoint served a request.
    pub fn endpoint_served(&self, key: EndpointKey) {
        let mut taken_back = false;
        self.update_endpoint_state(key, |endpoint_state| {
            let was_aside = endpoint_state.record.is_ejected();
            endpoint_state.record.succeeded();
            taken_back = was_aside && !endpoint_state.record.is_ejected();
        });
        if taken_back {
            self.log_health(key, false, "served a request");
        }
    }

    /// What this entry did lately at a pool.
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
    ) -> RunGuard {
        let now = self.clock.now();
        self.turnover(pool, |turnover| turnover.record_start(now));
        self.update_endpoint_state(key, |endpoint_state| {
            endpoint_state.load.begin(footprint, now);
            endpoint_state.recent_sends.note(now);
        });
        RunGuard {
            entry: Rc::clone(self),
            key,
            pool: pool.to_owned(),
            footprint,
            is_read: Cell::new(false),
            request,
            began: now,
            end: Cell::new(RunEnd::Lost(LostHow::Silent)),
        }
    }

    /// A run at an endpoint was lost.
    fn run_lost(self: &Rc<Self>, key: EndpointKey, run: LostRun) {
        if !self.may_end_by_a_run(key, run.lost) {
            return;
        }
        let mut ended = None;
        self.update_endpoint_state(key, |endpoint_state| {
            ended = endpoint_state.lost.record_loss(run)
        });
        if let Some(sign) = ended {
            self.runs_ended_with(key, sign, &[run]);
        } else if run.how == LostHow::Broken {
            self.check_end(key);
        }
    }

    /// Whether a run could be the cause if an endpoint ended now: not of one that leaves as planned, nor of one
    /// that warms up and falls over at a rate that all entries cause together.
    fn may_end_by_a_run(&self, key: EndpointKey, now: Millis) -> bool {
        let directory = self.directory.borrow();
        let Some(endpoint) = directory.get(key) else {
            return false;
        };
        let leaves = endpoint.status == EndpointStatus::Draining || endpoint.announced.leaves;
        !leaves && !endpoint.is_listed_warming(now)
    }

    /// The life of an endpoint is over.
    pub fn endpoint_ended(&self, key: EndpointKey, sign: EndSign) {
        let now = self.clock.now();
        let mut lost = Vec::new();
        self.update_endpoint_state(key, |endpoint_state| {
            lost = endpoint_state.lost.record_end(sign, now)
        });
        if !lost.is_empty() {
            self.runs_ended_with(key, sign, &lost);
        }
    }

    /// Runs were lost with an endpoint.
    fn runs_ended_with(&self, key: EndpointKey, sign: EndSign, lost: &[LostRun]) {
        self.metrics.runs_ended(sign, lost.len() as u64);
        let mut endpoint = String::new();
        let mut pool = String::new();
        let mut life = 0;
        self.update_endpoint_state(key, |endpoint_state| {
            endpoint.clone_from(&endpoint_state.id);
            pool.clone_from(&endpoint_state.pool);
            life = endpoint_state.life;
        });
        self.log.state_change(Decision::EndpointEnded {
            endpoint,
            sign,
            lost: lost.iter().map(|run| run.request.to_string()).collect(),
        });
        let among = self.among(&pool, key);
        self.suspect(life, among, lost);
    }

    fn log_health(&self, key: EndpointKey, aside: bool, why: &str) {
        if let Some(endpoint) = self.directory.borrow().get(key) {
            self.log.state_change(Decision::EndpointHealth {
                endpoint: endpoint.listed.id.clone(),
                aside,
                why: why.into(),
            });
        }
    }

    /// Opens an account for each endpoint that has none.
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
                    life: endpoint.digest,
                    ..EndpointState::default()
                };
                endpoint_states.insert(key, endpoint_state);
            }
        }
    }

    /// Drops what is known of endpoints that left the list.
    pub(super) fn forget(&self, gone: &[EndpointKey]) {
        for key in gone {
            self.endpoint_ended(*key, EndSign::Unlisted);
            self.endpoint_states.borrow_mut().remove(*key);
            self.prefixes.borrow_mut().forget(*key);
        }
    }

    /// Closes connections that have been idle too long.
    pub(super) fn close_idle(&self, now: Millis) {
        for endpoint_state in self.endpoint_states.borrow_mut().values_mut() {
            endpoint_state
                .idle
                .retain(|channel| now < idle_until(channel));
        }
    }
}

/// A request at an endpoint.
#[derive(Debug)]
pub struct RunGuard {
    entry: Rc<Entry>,
    key: EndpointKey,
    pool: String,
    footprint: Footprint,
    is_read: Cell<bool>,
    request: Fingerprint,
    began: Millis,
    end: Cell<RunEnd>,
}

/// How a run at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunEnd {
    /// The endpoint gave its whole answer.
    Answered,
    /// The endpoint did not run it, or answered with an error, which may tell that its time was over before: nothing
    /// follows for what it asks for.
    Undecided,
    /// Neither.
    Lost(LostHow),
}

impl RunGuard {
    /// The endpoint has read the prompt.
    pub fn read(&self) {
        if !self.is_read.replace(true) {
            let footprint = self.footprint;
            self.entry
                .update_endpoint_state(self.key, |endpoint_state| {
                    endpoint_state.load.read(footprint)
                });
        }
    }

    /// The endpoint has answered it.
    pub fn answered(&self) {
        self.end.set(RunEnd::Answered);
    }

    /// The endpoint did not run it, or answered with an error.
    pub fn undecided(&self) {
        self.end.set(RunEnd::Undecided);
    }

    /// Its connection broke.
    pub fn broken(&self) {
        self.end.set(RunEnd::Lost(LostHow::Broken));
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.read();
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
            RunEnd::Answered => self.entry.run_finished(self.request),
            RunEnd::Undecided => {}
            RunEnd::Lost(how) => {
                let run = LostRun {
                    request: self.request,
                    began: self.began,
                    lost: self.entry.clock.now(),
                    how,
                };
                self.entry.run_lost(self.key, run);
            }
        }
    }
}

/// Until when an idle connection may be used.
fn idle_until(channel: &Connection) -> Millis {
    let told = channel
        .idle_time
        .map(|time| (time.0 as f64 * IDLE_PART) as u64);
    channel.idle_since + Millis(told.unwrap_or(IDLE_TIME.0).min(IDLE_TIME.0))
}
