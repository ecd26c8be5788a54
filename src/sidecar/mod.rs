//! The process in the slot beside an endpoint: owns its run slots and orders what waits. [`process`] starts and ends it.

mod announcements;
mod limited;
pub mod process;

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use serde_json::{json, Value};
use slotmap::SecondaryMap;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::watch;
use uuid::Uuid;

use self::limited::Limited;
use crate::admin::Report;
use crate::bundle::{Policy, Pool, PoolKind};
use crate::clock::Millis;
use crate::endpoint::{Endpoint, HttpEndpoint};
use crate::health::Breaker;
use crate::ids::GrantId;
use crate::keys::{KeyMemory, Rehoming};
use crate::members::{LifeState, Members, Role};
use crate::node::{Life, Node};
use crate::outcome::NotRunReason;
use crate::replica::Stamps;
use crate::schedule::{Action, ClassSpec, Scheduler, SchedulerParams, SlotRequest, TicketKey};
use crate::settings::SidecarSettings;
use crate::suspicion::EndpointIncarnation;
use crate::wire::Load;

/// Time after a change of a pool's places in which some process may still use the old homes:
/// the 7 s in which a bundle is in force everywhere, and a margin.
const REHOME_GRACE: Millis = Millis(10_000);

/// What the scheduler says to one session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// A slot is held until the given time.
    Granted {
        /// End of the grant, on this process's clock.
        until: Millis,
    },
    /// Not run.
    Refused {
        /// Why.
        reason: NotRunReason,
        /// When to come back.
        retry_after: Millis,
    },
    /// Stop the run for more urgent work.
    Pause,
    /// Go on with the run.
    Resume,
}

/// Where the sidecar's duty stands by the instance list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// Listed as live, or not listed yet.
    Live,
    /// Listed as leaving.
    Leaving,
    /// Another instance is listed in its place.
    Superseded,
}

/// One sidecar.
pub struct Sidecar {
    /// Common part.
    pub node: Rc<Node>,
    /// Settings.
    pub settings: SidecarSettings,
    /// The endpoint.
    pub endpoint: Rc<dyn Endpoint>,
    /// Keys whose home is here.
    pub keys: RefCell<KeyMemory>,
    /// Duty by the instance list.
    pub listing: Cell<Listing>,
    scheduler: RefCell<Option<Scheduler>>,
    sessions: RefCell<SecondaryMap<TicketKey, UnboundedSender<Turn>>>,
    breaker: RefCell<Breaker>,
    grants: Cell<u64>,
    places: Cell<u32>,
    rehoming: Cell<Option<Rehoming>>,
    applied: Cell<Option<(Stamps, Life)>>,
    kind: PoolKind,
    /// Whether the endpoint has announced that it leaves.
    leaving: watch::Sender<bool>,
    /// The limit that the endpoint has named, and what may be called within it.
    limited: RefCell<Option<Limited>>,
    /// Lives of the endpoint.
    pub lives: Cell<EndpointIncarnation>,
}

impl std::fmt::Debug for Sidecar {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Sidecar")
            .field("settings", &self.settings)
            .finish_non_exhaustive()
    }
}

impl Sidecar {
    /// A sidecar whose key memory begins now; call it only once the listening port is held.
    pub fn new(node: Rc<Node>, settings: SidecarSettings, policy: &Policy) -> Rc<Self> {
        let pool = policy.pool(&settings.pool);
        let kind = pool.map_or(PoolKind::Plain, |key| policy.pool_at(key).kind);
        let skew = Millis(policy.bundle.limits.clock_skew_ms);
        let endpoint = Rc::new(HttpEndpoint::new(&settings.endpoint, kind));
        let keys = KeyMemory::new(node.clock.wall(), skew);
        Rc::new(Self {
            node,
            settings,
            endpoint,
            keys: RefCell::new(keys),
            listing: Cell::new(Listing::Live),
            scheduler: RefCell::new(None),
            sessions: RefCell::default(),
            breaker: RefCell::default(),
            grants: Cell::new(0),
            places: Cell::new(pool.map_or(0, |key| policy.pool_at(key).places)),
            rehoming: Cell::new(None),
            applied: Cell::new(None),
            kind,
            leaving: watch::Sender::new(false),
            limited: RefCell::default(),
            lives: Cell::default(),
        })
    }

    /// The pool's kind, fixed for the life of the process.
    pub fn kind(&self) -> PoolKind {
        self.kind
    }

    /// The pool as the policy in force describes it.
    pub fn pool<'a>(&self, policy: &'a Policy) -> Option<&'a Pool> {
        policy
            .pool(&self.settings.pool)
            .map(|key| policy.pool_at(key))
    }

    /// Leaves a ticket and returns where its turns will come.
    pub fn offer(&self, ask: SlotRequest) -> Option<(TicketKey, UnboundedReceiver<Turn>)> {
        let now = self.node.clock.now();
        let ticket = self.scheduler.borrow_mut().as_mut()?.offer(now, ask);
        let (tx, rx) = unbounded_channel();
        self.sessions.borrow_mut().insert(ticket, tx);
        self.dispatch();
        Some((ticket, rx))
    }

    /// Uses a grant; false when it has lapsed.
    #[must_use]
    pub fn start(&self, ticket: TicketKey) -> bool {
        let now = self.node.clock.now();
        self.with(|scheduler| scheduler.start(now, ticket))
            .unwrap_or(false)
    }

    /// Reports that a run stands still.
    pub fn paused(&self, ticket: TicketKey) {
        let now = self.node.clock.now();
        self.with(|scheduler| scheduler.paused(now, ticket));
        self.dispatch();
    }

    /// Ends a ticket.
    pub fn finish(&self, ticket: TicketKey, tokens: u64) {
        let now = self.node.clock.now();
        self.with(|scheduler| scheduler.finish(now, ticket, tokens));
        self.sessions.borrow_mut().remove(ticket);
        self.dispatch();
    }

    /// Notes whether the endpoint answered.
    pub fn note_health(&self, ok: bool) {
        let now = self.node.clock.now();
        let mut breaker = self.breaker.borrow_mut();
        if ok {
            breaker.succeeded();
        } else {
            breaker.failed(now);
        }
    }

    /// The load to tell entries.
    pub fn load(&self) -> Load {
        self.with(|scheduler| scheduler.load()).unwrap_or_default()
    }

    /// Whether a key may have run at the home that it had under the bundle before.
    pub fn may_have_run_elsewhere(&self, key: Uuid) -> bool {
        let ordinal = self.settings.ordinal;
        self.rehoming
            .get()
            .is_some_and(|change| change.may_have_run_elsewhere(key, ordinal))
    }

    /// A grant's name, different from those of earlier lives.
    pub fn next_grant(&self) -> GrantId {
        self.grants.set(self.grants.get() + 1);
        GrantId(self.node.incarnation.0.rotate_left(20) ^ self.grants.get())
    }

    fn with<T>(&self, work: impl FnOnce(&mut Scheduler) -> T) -> Option<T> {
        self.scheduler.borrow_mut().as_mut().map(work)
    }

    /// Hands the scheduler's actions to the sessions.
    fn dispatch(&self) {
        let actions = self.with(Scheduler::take_actions).unwrap_or_default();
        for action in actions {
            let (ticket, turn) = match action {
                Action::Grant { ticket, until } => (ticket, Turn::Granted { until }),
                Action::Refuse {
                    ticket,
                    reason,
                    retry_after,
                } => (
                    ticket,
                    Turn::Refused {
                        reason,
                        retry_after,
                    },
                ),
                Action::Pause { ticket } => (ticket, Turn::Pause),
                Action::Resume { ticket } => (ticket, Turn::Resume),
            };
            if let Some(tx) = self.sessions.borrow().get(ticket) {
                let _ = tx.send(turn);
            }
        }
    }

    fn tick(&self) {
        let now = self.node.clock.now();
        self.with(|scheduler| {
            let slots = scheduler.slots();
            let (open, wait) = self.breaker.borrow_mut().allowance(now, slots);
            scheduler.set_open_slots(now, open, wait);
            scheduler.tick(now);
        });
        self.dispatch();
    }

    /// Takes over a changed bundle, instance list or life, unless that was done already.
    pub fn apply_documents(&self) {
        let state = (self.node.replica.stamps(), self.node.life());
        if self.applied.replace(Some(state)) == Some(state) {
            return;
        }
        if let Some(places) = self.places_in_force() {
            self.apply_places(places);
        }
        if let Some(shape) = self
            .node
            .replica
            .policy()
            .and_then(|policy| self.shape(&policy))
        {
            self.apply_shape(shape);
        }
        let members = self.node.replica.members();
        let listing = self.listing_in(&members);
        if listing != self.listing.replace(listing) {
            tracing::info!(?listing, "duty");
        }
        self.apply_draining();
    }

    /// Takes no new work while this process or its endpoint leaves.
    fn apply_draining(&self) {
        let is_listed = self.listing.get() == Listing::Live;
        let stops = self.node.life() == Life::Draining;
        let draining = !is_listed || stops || *self.leaving.borrow();
        let now = self.node.clock.now();
        self.with(|scheduler| scheduler.set_draining(now, draining));
        self.dispatch();
    }

    /// Notes a change of the pool's places; other processes may still hold the bundle before.
    fn apply_places(&self, places: u32) {
        let before = self.places.replace(places);
        if before != places {
            let until = self.node.clock.wall() + REHOME_GRACE;
            self.rehoming.set(Some(Rehoming { before, until }));
        }
    }

    fn apply_shape(&self, shape: SchedulerParams) {
        let now = self.node.clock.now();
        let mut scheduler = self.scheduler.borrow_mut();
        match scheduler.as_mut() {
            Some(scheduler) => scheduler.update_params(now, shape),
            None => *scheduler = Some(Scheduler::new(self.settings.order, shape)),
        }
    }

    fn places_in_force(&self) -> Option<u32> {
        let policy = self.node.replica.policy()?;
        self.pool(&policy).map(|pool| pool.places)
    }

    fn shape(&self, policy: &Policy) -> Option<SchedulerParams> {
        let pool = self.pool(policy)?;
        let limits = &policy.bundle.limits;
        let classes = policy.bundle.classes.iter().map(|class| ClassSpec {
            name: class.name.clone(),
            priority: class.priority,
            floor_percent: class.floor_percent,
            preemptible: class.preemptible && pool.kind == PoolKind::Model,
        });
        Some(SchedulerParams {
            slots: pool.slots,
            reserved: pool.reserved_slots,
            grant: Millis(limits.grant_ms),
            max_preemptions: limits.max_preemptions,
            queue_per_class: limits.queue_per_class,
            classes: classes.collect(),
        })
    }

    fn listing_in(&self, members: &Members) -> Listing {
        let mine = members.get(&self.node.settings.id);
        match mine.map(|instance| instance.state) {
            Some(LifeState::Live) => Listing::Live,
            Some(LifeState::Leaving) => Listing::Leaving,
            None => {
                let here = |i: &&crate::members::Instance| {
                    i.role == Role::Sidecar
                        && i.pool == self.settings.pool
                        && i.ordinal == self.settings.ordinal
                };
                let other = members.instances.iter().find(here);
                other.map_or(Listing::Live, |_| Listing::Superseded)
            }
        }
    }

    fn is_idle(&self) -> bool {
        self.with(|scheduler| scheduler.is_idle()).unwrap_or(true)
    }
}

impl Report for Sidecar {
    fn is_ready(&self) -> bool {
        self.keys.borrow().remembers(self.node.clock.wall())
    }

    fn state(&self) -> Value {
        let classes: Vec<Value> = self
            .with(|scheduler| scheduler.by_class())
            .unwrap_or_default()
            .into_iter()
            .map(|row| {
                json!({
                    "class": row.class, "waiting": row.waiting,
                    "running": row.running, "paused": row.paused,
                })
            })
            .collect();
        json!({
            "pool": self.settings.pool,
            "ordinal": self.settings.ordinal,
            "listing": format!("{:?}", self.listing.get()),
            "health": format!("{:?}", self.breaker.borrow_mut().health(self.node.clock.now())),
            "load": self.load(),
            "classes": classes,
            "tally": self.with(|scheduler| scheduler.counters()),
            "keys": self.keys.borrow().len(),
        })
    }

    fn gauges(&self) {
        let metrics = &self.node.metrics;
        let load = self.load();
        metrics.set("slots", "", u64::from(load.slots));
        metrics.set("running", "", u64::from(load.running));
        metrics.set("keys", "", self.keys.borrow().len() as u64);
        for row in self
            .with(|scheduler| scheduler.by_class())
            .unwrap_or_default()
        {
            metrics.set("waiting", &row.class, row.waiting as u64);
        }
        let tally = self
            .with(|scheduler| scheduler.counters())
            .unwrap_or_default();
        metrics.set("granted", "", tally.granted);
        metrics.set("grants_lapsed", "", tally.lapsed);
        metrics.set("paused", "", tally.paused);
        metrics.set("granted_by_floor", "", tally.by_floor);
    }
}
