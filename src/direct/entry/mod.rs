//! The state of a direct entry that its tasks share, and the phases from serving to its planned
//! stop.

mod announcements;
mod catalog_and_list;
mod endpoint_states;
mod limited;
mod observations;
mod origins;
mod parts;
mod readiness;
mod shared;
mod store;
mod suspicion;
mod watch_role;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::sync::{watch, Notify};

pub use self::endpoint_states::{EndpointState, EndpointStates, RunGuard};
use self::limited::PendingRequests;
pub use self::origins::OriginLookup;
use self::origins::OriginQueries;
pub use self::readiness::Lack;
use self::store::LargeAnswer;
pub use self::store::ListSource;
use crate::clock::{Clock, Millis};
use crate::direct::admission::budget::RetryWindow;
use crate::direct::admission::turnover::PoolActivity;
use crate::direct::admission::warmup::FleetSize;
use crate::direct::catalog::Catalog;
use crate::direct::changes::ChangeLog;
use crate::direct::decision::{Decision, DecisionLog};
use crate::direct::dialect::Dialect;
use crate::direct::directory::{Directory, Era, Revision};
use crate::direct::freshness::Freshness;
use crate::direct::gauge::EntryMetrics;
use crate::direct::known::capacity::LearnedCapacity;
use crate::direct::known::observed::ObservedEndpoints;
use crate::direct::known::reports::EndpointReports;
use crate::direct::limits::Limits;
use crate::direct::origins::OriginRecords;
use crate::direct::peers::{ObservationSchedule, PeerId, PeerTable, RecentPlacements};
use crate::direct::placement::prefix::PrefixMap;
use crate::direct::settings::DirectSettings;
use crate::direct::uploads::Uploads;
use crate::direct::versions::VersionLog;
use crate::memory::{Memory, Purpose};
use crate::quarantine::parts::PartQuarantine;
use crate::quarantine::Quarantine;

/// Phase of a process between its start and the end of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessState {
    /// Accepts requests.
    Serving,
    /// Still accepts requests, but tells the load balancer to send no more.
    Draining,
    /// Accepts no new requests and finishes those in flight.
    Stopping,
}

/// What an entry fetches from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fetch {
    /// A newer version of the configuration.
    Catalog,
    /// Changes of the list of endpoints that the peer has applied and this entry has not.
    Changes,
}

/// The shared state of one direct entry. It is used by the tasks of a single thread, so it needs no
/// locks.
#[derive(Debug)]
pub struct Entry {
    /// Source of the current time.
    pub clock: Clock,
    /// Settings in force; reloaded while the process runs.
    pub settings: RefCell<DirectSettings>,
    /// Wire formats of callers, endpoints and the store.
    pub dialect: Rc<dyn Dialect>,
    /// Random identity of this incarnation of the process.
    pub id: PeerId,
    /// Memory that is held for what callers and endpoints send.
    pub memory: Memory,
    /// Bodies of requests that are arriving.
    pub uploads: Uploads,
    /// The log of decisions and state changes.
    pub log: DecisionLog,
    /// Metrics.
    pub metrics: EntryMetrics,
    /// The other entries, as far as known.
    pub peers: RefCell<PeerTable>,
    /// Which prompt prefixes endpoints are thought to have in their caches.
    pub prefixes: RefCell<PrefixMap>,
    /// Prompts that this entry sent to endpoints recently, to be reported to peers.
    pub placements: RefCell<RecentPlacements>,
    /// Prompts that entries of the own availability zone sent recently, to be reported to other
    /// zones.
    pub zone_placements: RefCell<RecentPlacements>,
    /// Step times of engines of mixed pools, by own and peers' observations.
    pub observed: RefCell<ObservedEndpoints>,
    /// Learned capacities of engines, by name of the mixed pool.
    pub capacities: RefCell<HashMap<String, LearnedCapacity>>,
    /// Endpoints of mixed pools that this entry or peers could not reach.
    pub reports: RefCell<EndpointReports>,
    /// When peers are sent observations.
    pub observation_schedule: RefCell<ObservationSchedule>,
    /// Limits that endpoints announced for all instances together.
    pub limits: RefCell<Limits>,
    /// Where the streams began that callers may resume.
    origins: RefCell<OriginRecords>,
    /// Queries to peers for that.
    origin_queries: OriginQueries,
    /// Permit requests to peers that wait for their responses.
    permit_requests: PendingRequests,
    /// Number of requests that wait for a permit.
    waiting_for_permit: Cell<u32>,
    /// Socket for datagrams to peers; set once the process listens.
    pub peer_socket: OnceCell<Rc<UdpSocket>>,
    /// Requests that began and ended recently, by pool.
    turnovers: RefCell<HashMap<String, PoolActivity>>,
    /// Retry budgets, by pool.
    pub retries: RefCell<HashMap<String, RetryWindow>>,
    /// Requests that are suspected of ending endpoints.
    pub quarantine: RefCell<Quarantine>,
    /// Parts of prompts that are suspected of ending endpoints.
    pub part_quarantine: RefCell<PartQuarantine>,
    /// Wakes requests under suspicion that wait for their turn to be sent.
    pub quarantine_changed: Notify,
    /// Wakes the gossip task to inform peers before the next round.
    pub gossip_requested: Notify,
    /// Wakes the gossip task to ask a peer for its proof before the next round.
    pub proof_requested: Notify,
    /// Wakes the watch task to read the whole list again.
    pub relist_requested: Notify,
    /// Wakes the watch task to repeat its request on a new connection: the response to the pending
    /// one may be lost.
    pub rewatch_requested: Notify,
    /// Since when a peer has had changes of the list that this entry has not, and the peer's
    /// revision then.
    behind_peer_since: Cell<Option<(Millis, Revision)>>,
    /// The peer's revision for which the watch was last repeated.
    rewatched_for: Cell<Option<Revision>>,
    endpoint_states: RefCell<EndpointStates>,
    directory: RefCell<Directory>,
    catalog: RefCell<Option<Rc<Catalog>>>,
    /// Era in which the configuration in force was written, as far as known.
    catalog_era: Cell<Option<Era>>,
    /// The later version of which a peer told last, the era in which it was written, and when that
    /// was told.
    peer_version: Cell<Option<(u64, Option<Era>, Millis)>>,
    /// The last older version that the store held, so that it is logged once.
    older_catalog: Cell<Option<u64>>,
    /// Since when a peer has had a newer version of the configuration.
    newer_catalog_since: Cell<Option<Millis>>,
    /// The newest versions of the configuration, for peers.
    version_log: RefCell<VersionLog>,
    freshness: Cell<Freshness>,
    /// Store revision up to which the list of endpoints is complete here.
    list_revision: Cell<Revision>,
    /// When the list of endpoints was last known to hold all changes, and from whom.
    list_confirmed: Cell<(Millis, ListSource)>,
    /// The latest era that the store named to this entry; `None` before the first one.
    store_era: Cell<Option<Era>>,
    /// Store revision up to which the configuration in force is known to be the newest.
    catalog_revision: Cell<Revision>,
    /// A proof of freshness that still waits: when the store was asked, and the store revision up
    /// to which the configuration must be known for the proof to hold.
    pending_proof: Cell<Option<(Millis, Revision)>>,
    /// Whether a whole list of endpoints has ever been applied.
    has_list: Cell<bool>,
    /// Whether the first list of endpoints came from a peer.
    is_list_from_peers: Cell<bool>,
    /// Whether the store answered the last call; `None` before the first one.
    store_answers: Cell<Option<bool>>,
    /// When the store last answered a call; `None` before the first answer.
    store_answered_at: Cell<Option<Millis>>,
    /// The last large response of the store, complete or still arriving.
    large_answer: Cell<Option<LargeAnswer>>,
    in_flight: Cell<u64>,
    /// Whether this entry watches the store itself, rather than relying on peers.
    watching: Cell<bool>,
    /// Changes of the list of endpoints, for peers.
    change_log: RefCell<ChangeLog>,
    /// Keys of store entries that cannot be read.
    unreadable: RefCell<HashSet<String>>,
    /// The most entries that were ever seen to serve.
    fleet_size: Cell<FleetSize>,
    /// When this process started.
    started_at: Millis,
    /// When the settings first named seeds; `None` before that.
    seeds_known_at: Cell<Option<Millis>>,
    /// Peers that do not have the changes that follow `list_revision`.
    peers_without_changes: RefCell<HashSet<SocketAddr>>,
    /// What is being fetched from peers now.
    active_fetches: RefCell<HashSet<Fetch>>,
    process_state: watch::Sender<ProcessState>,
    /// What was last logged of its readiness; `None` before the first time.
    logged_lack: Cell<Option<Option<Lack>>>,
}

impl Entry {
    /// An entry without a configuration, endpoints or peers other than the seeds of its settings.
    pub fn new(
        settings: DirectSettings,
        dialect: Rc<dyn Dialect>,
        clock: Clock,
        log: DecisionLog,
    ) -> Rc<Self> {
        let mut peers = PeerTable::new(settings.link, &settings.seeds, rand::random());
        peers.set_link(settings.link_mbps);
        peers.set_zone(&settings.zone);
        let memory = Memory::new(settings.memory_mb_or_default());
        let seeds_known_at = (!settings.seeds.is_empty()).then(|| clock.now());
        Rc::new(Self {
            dialect,
            id: PeerId(rand::random()),
            uploads: Uploads::new(memory.clone()),
            memory,
            log,
            metrics: EntryMetrics::new(),
            peers: RefCell::new(peers),
            prefixes: RefCell::default(),
            placements: RefCell::default(),
            zone_placements: RefCell::default(),
            observed: RefCell::default(),
            capacities: RefCell::default(),
            reports: RefCell::default(),
            observation_schedule: RefCell::default(),
            limits: RefCell::default(),
            origins: RefCell::default(),
            origin_queries: OriginQueries::default(),
            permit_requests: PendingRequests::default(),
            waiting_for_permit: Cell::default(),
            peer_socket: OnceCell::new(),
            turnovers: RefCell::default(),
            retries: RefCell::default(),
            quarantine: RefCell::new(Quarantine::started_at(clock.now())),
            part_quarantine: RefCell::default(),
            quarantine_changed: Notify::new(),
            gossip_requested: Notify::new(),
            proof_requested: Notify::new(),
            relist_requested: Notify::new(),
            rewatch_requested: Notify::new(),
            behind_peer_since: Cell::default(),
            rewatched_for: Cell::default(),
            endpoint_states: RefCell::default(),
            directory: RefCell::default(),
            catalog: RefCell::default(),
            catalog_era: Cell::default(),
            peer_version: Cell::default(),
            older_catalog: Cell::default(),
            newer_catalog_since: Cell::default(),
            version_log: RefCell::default(),
            freshness: Cell::default(),
            list_revision: Cell::default(),
            list_confirmed: Cell::default(),
            store_era: Cell::default(),
            catalog_revision: Cell::default(),
            pending_proof: Cell::default(),
            has_list: Cell::default(),
            is_list_from_peers: Cell::default(),
            store_answers: Cell::default(),
            store_answered_at: Cell::default(),
            large_answer: Cell::default(),
            in_flight: Cell::default(),
            watching: Cell::default(),
            change_log: RefCell::default(),
            unreadable: RefCell::default(),
            fleet_size: Cell::default(),
            started_at: clock.now(),
            seeds_known_at: Cell::new(seeds_known_at),
            peers_without_changes: RefCell::default(),
            active_fetches: RefCell::default(),
            process_state: watch::Sender::new(ProcessState::Serving),
            logged_lack: Cell::default(),
            clock,
            settings: RefCell::new(settings),
        })
    }

    /// Time since this process started.
    pub fn age(&self) -> Millis {
        self.clock.now() - self.started_at
    }

    /// Records that the settings name seeds.
    pub fn note_seeds(&self, seeds: &[SocketAddr]) {
        if !seeds.is_empty() && self.seeds_known_at.get().is_none() {
            self.seeds_known_at.set(Some(self.clock.now()));
        }
    }

    /// The phase of the process.
    pub fn process_state(&self) -> ProcessState {
        *self.process_state.borrow()
    }

    /// Receives changes of [`Entry::process_state`].
    pub fn watch_process_state(&self) -> watch::Receiver<ProcessState> {
        self.process_state.subscribe()
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn count_in_flight(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight(Rc::clone(self))
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.get()
    }

    /// Marks a fetch as begun; false if one of this kind is already under way.
    pub fn begin_fetch(&self, fetch: Fetch) -> bool {
        self.active_fetches.borrow_mut().insert(fetch)
    }

    /// Marks the fetch as ended.
    pub fn end_fetch(&self, fetch: Fetch) {
        self.active_fetches.borrow_mut().remove(&fetch);
    }

    /// Logs that a peer was heard from that was not known or had been silent; `peers` counts all
    /// that are heard from now.
    pub fn log_peer(&self, peer: SocketAddr, peers: usize) {
        self.log.state_change(Decision::Peer {
            peer: peer.to_string(),
            heard: true,
            peers,
        });
    }

    /// Handles the end of a suspension of the machine that lasted `time`. Timers stood still
    /// meanwhile, and the pending request to the store may have lost its response.
    pub fn handle_resume(&self, time: Millis) {
        let note = format!("after {} ms in which the machine was suspended", time.0);
        self.log_process("resumed", &note);
        self.rewatch_requested.notify_one();
    }

    /// Begins a planned stop; has no effect after the first call.
    pub fn begin_stop(&self, why: &str) {
        if self.process_state() == ProcessState::Serving {
            self.log_process("stopping", why);
            self.process_state.send_replace(ProcessState::Draining);
        }
    }

    /// Accepts no new requests from now on.
    pub fn stop_accepting(&self) {
        self.process_state.send_replace(ProcessState::Stopping);
    }

    /// Logs a change of the process itself.
    pub fn log_process(&self, state: &str, note: &str) {
        self.log.state_change(Decision::Process {
            state: state.into(),
            note: note.into(),
        });
    }

    /// Updates the gauges of memory, and logs what it was held for where that was much.
    fn log_memory(&self) {
        let memory = &self.memory;
        let peak = memory.take_peak();
        let held_for = |purpose| memory.held_for(purpose) as u64;
        let requests = held_for(Purpose::Request { band: 0 });
        let answers = held_for(Purpose::Answer);
        let buffers = held_for(Purpose::Buffer);
        let gauges = [
            ("memory_limit_bytes", memory.limit() as u64),
            ("memory_peak_bytes", peak as u64),
            ("memory_requests_bytes", requests),
            ("memory_answers_bytes", answers),
            ("memory_buffers_bytes", buffers),
        ];
        for (name, bytes) in gauges {
            self.metrics.set(name, bytes);
        }
        if peak >= memory.limit() / 2 {
            self.log.state_change(Decision::MemoryHeld {
                peak: peak as u64,
                limit: memory.limit() as u64,
                requests,
                answers,
                buffers,
            });
        }
    }

    /// Updates all gauges.
    pub fn update_metrics(&self) {
        self.log_memory();
        let now = self.clock.now();
        self.log_observations(now);
        let metrics = &self.metrics;
        metrics.set("catalog_version", self.version());
        metrics.set("applied_revision", self.applied().number);
        let behind = self
            .behind_peer_since
            .get()
            .map_or(Millis(0), |(since, _)| now - since);
        metrics.set("behind_ms", behind.0);
        metrics.set("list_age_ms", self.list_age().0);
        metrics.set("store_era", self.store_era.get().map_or(0, |era| era.0));
        metrics.set("entries", self.peers.borrow().entries(now) as u64);
        metrics.set("in_flight", self.in_flight.get());
        metrics.set("ready", u64::from(self.is_ready()));
        for lack in Lack::ALL {
            metrics.set(lack.gauge(), u64::from(self.lack() == Some(lack)));
        }
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
        let (suspected, refused) = self.part_quarantine.borrow().counts();
        metrics.set("parts_suspected", suspected as u64);
        metrics.set("parts_refused", refused as u64);
        metrics.set(
            "limited_endpoints",
            self.limits.borrow().limited_endpoints(now) as u64,
        );
        metrics.set("streams_remembered", self.origins.borrow().len() as u64);
        metrics.set("endpoints", self.directory.borrow().iter().count() as u64);
    }
}

/// Counts one request as in flight until dropped.
#[derive(Debug)]
pub struct InFlight(Rc<Entry>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
