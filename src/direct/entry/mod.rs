//! The state of a direct entry that its tasks share, and where it is in its life.

mod announcements;
mod beliefs;
mod endpoint_states;
mod limited;
mod store;
mod suspicion;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::sync::{watch, Notify};

pub use self::endpoint_states::{EndpointState, EndpointStates, RunGuard};
use self::limited::Questions;
use self::store::LargeAnswer;
use crate::clock::{Clock, Millis};
use crate::direct::budget::RetryWindow;
use crate::direct::catalog::Catalog;
use crate::direct::changes::ChangeLog;
use crate::direct::decision::{Decision, DecisionLog};
use crate::direct::dialect::Dialect;
use crate::direct::directory::{Directory, Revision};
use crate::direct::freshness::Freshness;
use crate::direct::gauge::EntryMetrics;
use crate::direct::limits::Limits;
use crate::direct::peers::{PeerId, PeerTable, RecentPlacements};
use crate::direct::prefix::PrefixMap;
use crate::direct::settings::DirectSettings;
use crate::direct::turnover::PoolActivity;
use crate::direct::versions::VersionLog;
use crate::direct::warmup::FleetSize;
use crate::quarantine::Quarantine;

/// Where a process is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    /// Takes work.
    Serving,
    /// Still takes work, told the balancer not to send more.
    Draining,
    /// Takes no new work and finishes what it has.
    Stopping,
}

/// What an entry fetches from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fetch {
    /// A newer configuration.
    Catalog,
    /// Changes that the peer has applied and this entry has not.
    Changes,
}

/// One direct entry.
#[derive(Debug)]
pub struct Entry {
    /// Time.
    pub clock: Clock,
    /// Settings in force.
    pub settings: RefCell<DirectSettings>,
    /// Wire formats.
    pub dialect: Rc<dyn Dialect>,
    /// This life of the process.
    pub id: PeerId,
    /// Decision log.
    pub log: DecisionLog,
    /// Counters.
    pub metrics: EntryMetrics,
    /// Other entries.
    pub peers: RefCell<PeerTable>,
    /// What endpoints keep of prompts.
    pub prefixes: RefCell<PrefixMap>,
    /// Prompts placed lately, for peers.
    pub placements: RefCell<RecentPlacements>,
    /// Prompts placed lately in the own availability zone, for other zones.
    pub zone_placements: RefCell<RecentPlacements>,
    /// Limits that endpoints named for all instances together.
    pub limits: RefCell<Limits>,
    /// Questions to peers for permits that wait for their answers.
    questions: Questions,
    /// Requests that wait for a permit.
    waiting: Cell<u32>,
    /// Where datagrams to peers leave; set once the process listens.
    pub link: OnceCell<Rc<UdpSocket>>,
    /// Requests that began and ended lately, by pool.
    turnovers: RefCell<HashMap<String, PoolActivity>>,
    /// Retry budgets by pool.
    pub retries: RefCell<HashMap<String, RetryWindow>>,
    /// Requests under which endpoints ended.
    pub quarantine: RefCell<Quarantine>,
    /// Wakes requests that wait for one of their kind.
    pub quarantine_changed: Notify,
    /// Wakes the task that tells peers.
    pub gossip_requested: Notify,
    /// Wakes the watch to read everything anew.
    pub relist_requested: Notify,
    /// Has the watch asked again on a new connection: the one that waits may have lost its answer.
    pub rewatch_requested: Notify,
    /// Since when a peer has applied changes that this entry has not, and up to which revision.
    behind: Cell<Option<(Millis, Revision)>>,
    endpoint_states: RefCell<EndpointStates>,
    directory: RefCell<Directory>,
    catalog: RefCell<Option<Rc<Catalog>>>,
    /// Since when a peer has had a newer version of the configuration.
    missing_since: Cell<Option<Millis>>,
    /// Newest versions of the configuration, for peers.
    versions: RefCell<VersionLog>,
    freshness: Cell<Freshness>,
    /// Revision of the store up to which the list of endpoints is complete here.
    list_revision: Cell<Revision>,
    /// Revision of the store up to which the configuration in force is known to be the newest.
    catalog_revision: Cell<Revision>,
    /// When the store was asked, and the revision that is to be applied before that is a proof.
    unproven: Cell<Option<(Millis, Revision)>>,
    /// Whether the endpoints have been listed whole once.
    listed: Cell<bool>,
    /// Whether the store answered the last call; `None` before the first one.
    store_answers: Cell<Option<bool>>,
    /// The large answer of the store that is or was on its way last.
    large_answer: Cell<Option<LargeAnswer>>,
    in_flight: Cell<u64>,
    /// Whether the store is watched, and answered last.
    watching: Cell<bool>,
    /// Changes of the list, for peers.
    changes: RefCell<ChangeLog>,
    /// Keys of entries of the store that can't be read.
    unreadable: RefCell<HashSet<String>>,
    /// The most entries that were seen to serve.
    fleet: Cell<FleetSize>,
    /// When this process started.
    started: Millis,
    /// Peers that don't keep the changes after the revision up to which the list is complete here.
    unkept: RefCell<HashSet<SocketAddr>>,
    /// What is being fetched from peers.
    fetching: RefCell<HashSet<Fetch>>,
    process_state: watch::Sender<ProcessState>,
}

impl Entry {
    /// An entry that knows nothing yet.
    pub fn new(
        settings: DirectSettings,
        dialect: Rc<dyn Dialect>,
        clock: Clock,
        log: DecisionLog,
    ) -> Rc<Self> {
        let mut peers = PeerTable::new(settings.link, &settings.seeds, rand::random());
        peers.set_link(settings.link_mbps);
        peers.set_zone(&settings.zone);
        Rc::new(Self {
            dialect,
            id: PeerId(rand::random()),
            log,
            metrics: EntryMetrics::new(),
            peers: RefCell::new(peers),
            prefixes: RefCell::default(),
            placements: RefCell::default(),
            zone_placements: RefCell::default(),
            limits: RefCell::default(),
            questions: Questions::default(),
            waiting: Cell::default(),
            link: OnceCell::new(),
            turnovers: RefCell::default(),
            retries: RefCell::default(),
            quarantine: RefCell::new(Quarantine::started_at(clock.now())),
            quarantine_changed: Notify::new(),
            gossip_requested: Notify::new(),
            relist_requested: Notify::new(),
            rewatch_requested: Notify::new(),
            behind: Cell::default(),
            endpoint_states: RefCell::default(),
            directory: RefCell::default(),
            catalog: RefCell::default(),
            missing_since: Cell::default(),
            versions: RefCell::default(),
            freshness: Cell::default(),
            list_revision: Cell::default(),
            catalog_revision: Cell::default(),
            unproven: Cell::default(),
            listed: Cell::default(),
            store_answers: Cell::default(),
            large_answer: Cell::default(),
            in_flight: Cell::default(),
            watching: Cell::default(),
            changes: RefCell::default(),
            unreadable: RefCell::default(),
            fleet: Cell::default(),
            started: clock.now(),
            unkept: RefCell::default(),
            fetching: RefCell::default(),
            process_state: watch::Sender::new(ProcessState::Serving),
            clock,
            settings: RefCell::new(settings),
        })
    }

    /// Where the process is in its life.
    pub fn process_state(&self) -> ProcessState {
        *self.process_state.borrow()
    }

    /// Notices changes of [`Entry::process_state`].
    pub fn watch_process_state(&self) -> watch::Receiver<ProcessState> {
        self.process_state.subscribe()
    }

    /// Whether the balancer should send connections: requests can be decided and are wanted.
    pub fn is_ready(&self) -> bool {
        let bound = self.settings.borrow().bounds.max_key_proof_age();
        let fresh = bound.is_none_or(|b| self.freshness.get().is_younger_than(self.clock.now(), b));
        self.process_state() == ProcessState::Serving
            && self.listed.get()
            && self.version() > 0
            && fresh
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn count_in_flight(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(Rc::clone(self))
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.get()
    }

    /// Whether this may be fetched from a peer: one fetch of a kind at a time.
    pub fn begin_fetch(&self, fetch: Fetch) -> bool {
        self.fetching.borrow_mut().insert(fetch)
    }

    /// The fetch ended.
    pub fn end_fetch(&self, fetch: Fetch) {
        self.fetching.borrow_mut().remove(&fetch);
    }

    /// A peer is heard that was not before.
    pub fn log_peer(&self, peer: SocketAddr, peers: usize) {
        self.log.state_change(Decision::Peer {
            peer: peer.to_string(),
            heard: true,
            peers,
        });
    }

    /// The machine was suspended for a time, while the runtime's timers stood still: whatever waits for the store may wait
    /// for an answer that was lost meanwhile.
    pub fn handle_resume(&self, time: Millis) {
        let note = format!("after {} ms in which the machine was suspended", time.0);
        self.log_process("resumed", &note);
        self.rewatch_requested.notify_one();
    }

    /// Begins a planned stop; a second call changes nothing.
    pub fn begin_stop(&self, why: &str) {
        if self.process_state() == ProcessState::Serving {
            self.log_process("stopping", why);
            self.process_state.send_replace(ProcessState::Draining);
        }
    }

    /// Takes no new work from now on.
    pub fn stop_accepting(&self) {
        self.process_state.send_replace(ProcessState::Stopping);
    }

    /// Writes a line about the process itself.
    pub fn log_process(&self, state: &str, note: &str) {
        self.log.state_change(Decision::Process {
            state: state.into(),
            note: note.into(),
        });
    }

    /// Sets the gauges to what is true now.
    pub fn update_metrics(&self) {
        let now = self.clock.now();
        let metrics = &self.metrics;
        metrics.set("catalog_version", self.version());
        metrics.set("applied_revision", self.applied());
        let behind = self
            .behind
            .get()
            .map_or(Millis(0), |(since, _)| now - since);
        metrics.set("behind_ms", behind.0);
        metrics.set("entries", self.peers.borrow().entries(now) as u64);
        metrics.set("in_flight", self.in_flight.get());
        metrics.set("ready", u64::from(self.is_ready()));
        metrics.set(
            "proof_age_ms",
            self.proof_age().map_or(u64::MAX, |age| age.0),
        );
        let quarantine = self.quarantine.borrow();
        metrics.set("requests_suspected", quarantine.len() as u64);
        metrics.set(
            "requests_refused",
            quarantine.refused_requests(now).len() as u64,
        );
        metrics.set(
            "limited_endpoints",
            self.limits.borrow().limited_endpoints(now) as u64,
        );
        metrics.set("endpoints", self.directory.borrow().iter().count() as u64);
    }
}

/// A request in flight.
#[derive(Debug)]
pub struct InFlight(Rc<Entry>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
