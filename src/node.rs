//! What every process of the system has: clock, replica, gossip, metrics, audit trail, state.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::audit::{Audit, Change, What};
use crate::bundle::Policy;
use crate::clock::{Clock, Millis};
use crate::gossip::{self, Exchange};
use crate::ids::Incarnation;
use crate::members::Role;
use crate::metrics::Metrics;
use crate::quarantine::Quarantine;
use crate::replica::Replica;
use crate::seal::Trust;
use crate::settings::NodeSettings;
use crate::source::{self, DocumentSource, HttpSource};
use crate::supervisor::Supervisor;

/// Peers to hear from before a fresh process trusts what it has read.
const PEERS_BEFORE_READY: u64 = 2;
/// Time after which a fresh process no longer waits for peers.
const PEER_GRACE: Millis = Millis(3_000);

/// Time after which a fresh process no longer waits for a bundle that a peer told of.
const CATCH_UP_GRACE: Millis = Millis(10_000);
/// Time between two looks whether the machine was suspended.
const CLOCK_LOOK: Duration = Duration::from_millis(250);
/// Time between two looks at whether a fresh process is ready.
const READY_LOOK: Duration = Duration::from_millis(20);

/// Where a process is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Life {
    /// Takes work.
    Serving,
    /// Takes no new work and finishes what it has.
    Draining,
}

/// The common part of an entry and a sidecar.
#[derive(Debug)]
pub struct Node {
    /// Time.
    pub clock: Clock,
    /// This process and its surroundings.
    pub settings: NodeSettings,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// Documents in force.
    pub replica: Replica,
    /// State of the exchange with peers.
    pub exchange: Exchange,
    /// Counters.
    pub metrics: Rc<Metrics>,
    /// Trail of changes.
    pub audit: Rc<Audit>,
    /// Requests under which endpoints ended.
    pub quarantine: RefCell<Quarantine>,
    /// Counts changes of these.
    pub suspicions: watch::Sender<u64>,
    was_ready: Cell<bool>,
    life: watch::Sender<Life>,
}

impl Node {
    /// The common part for these validated settings.
    pub fn new(settings: NodeSettings, clock: Clock) -> Rc<Self> {
        let metrics = Rc::new(Metrics::new());
        let audit = Rc::new(Audit::new(clock.clone()));
        let trust = Trust::parse(&settings.trusted_keys).unwrap_or_default();
        let replica = Replica::new(trust, Rc::clone(&metrics), Rc::clone(&audit));
        let incarnation = Incarnation::new(clock.wall());
        audit.record(Change::plain(
            What::Start,
            &settings.id,
            format!("{:x}", incarnation.0),
        ));
        let quarantine = RefCell::new(Quarantine::started_at(clock.now()));
        Rc::new(Self {
            clock,
            settings,
            incarnation,
            replica,
            exchange: Exchange::default(),
            metrics,
            audit,
            quarantine,
            suspicions: watch::Sender::new(0),
            was_ready: Cell::new(false),
            life: watch::Sender::new(Life::Serving),
        })
    }

    /// Whether this process may decide on requests; once it may, it always may, since offers are
    /// agreed on at admission.
    ///
    /// A fresh process may have read an older bundle than the fleet runs; it first hears from
    /// peers and catches up with the newest that they told of.
    pub fn is_ready(&self) -> bool {
        let ready = self.was_ready.get() || self.has_caught_up();
        self.was_ready.set(ready);
        ready
    }

    fn has_caught_up(&self) -> bool {
        let now = self.clock.now();
        let heard = self.exchange.heard() >= PEERS_BEFORE_READY || now >= PEER_GRACE;
        let newest = self.exchange.newest().bundle;
        let caught_up = self.replica.stamps().bundle >= newest || now >= CATCH_UP_GRACE;
        self.replica.policy().is_some() && heard && caught_up
    }

    /// Tells how many endpoints there are, by the instance list.
    pub fn count_endpoints(&self) {
        let members = self.replica.members();
        let sidecars = members.instances.iter().filter(|i| i.role == Role::Sidecar);
        self.quarantine
            .borrow_mut()
            .set_endpoint_count(sidecars.count());
    }

    /// Where the process is in its life.
    pub fn life(&self) -> Life {
        *self.life.borrow()
    }

    /// Notices the change of [`Node::life`].
    pub fn watch_life(&self) -> watch::Receiver<Life> {
        self.life.subscribe()
    }

    /// Begins a planned stop; a second call changes nothing.
    pub fn drain(&self, by: &str) {
        if self.life() == Life::Draining {
            return;
        }
        self.audit.record(Change::plain(What::Drain, by, ""));
        self.life.send_replace(Life::Draining);
    }
}

/// Waits until the process may decide, and returns the policy that is then in force; `None` when
/// a planned stop comes first.
pub async fn first_policy(node: &Node) -> Option<Rc<Policy>> {
    while node.life() == Life::Serving {
        match node.replica.policy() {
            Some(policy) if node.is_ready() => return Some(policy),
            _ => sleep(READY_LOOK).await,
        }
    }
    None
}

/// Prints the bound addresses as one JSON line, for whoever started the process.
pub fn announce(role: &str, listeners: &[(&str, &TcpListener)]) -> anyhow::Result<()> {
    let mut line = serde_json::Map::new();
    line.insert("role".into(), role.into());
    for (name, listener) in listeners {
        line.insert((*name).into(), listener.local_addr()?.to_string().into());
    }
    println!("{}", serde_json::Value::Object(line));
    Ok(())
}

/// Starts the tasks that every process has.
pub fn spawn_common(supervisor: &mut Supervisor, node: &Rc<Node>) {
    let urls = &node.settings;
    let platform: Rc<dyn DocumentSource> =
        Rc::new(HttpSource::new(&urls.bundle_url, &urls.members_url));
    let cx = Rc::clone(node);
    supervisor.child("signals", move || watch_signals(Rc::clone(&cx)));
    let clock = node.clock.clone();
    supervisor.child("clock", move || watch_clock(clock.clone()));
    let cx = Rc::clone(node);
    supervisor.child("platform", move || {
        source::keep_reading(Rc::clone(&cx), Rc::clone(&platform))
    });
    let cx = Rc::clone(node);
    supervisor.child("gossip", move || gossip::keep_partners(Rc::clone(&cx)));
}

/// Sets timers anew whenever the machine was suspended.
async fn watch_clock(clock: Clock) -> anyhow::Result<()> {
    loop {
        sleep(CLOCK_LOOK).await;
        if let Some(time) = clock.look() {
            tracing::warn!(ms = time.0, "the machine was suspended");
        }
    }
}

/// Begins a planned stop at SIGTERM or SIGINT; further signals change nothing.
pub async fn watch_signals(node: Rc<Node>) -> anyhow::Result<()> {
    use tokio::signal::unix::{signal, SignalKind};
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    loop {
        tokio::select! {
            _ = term.recv() => node.drain("SIGTERM"),
            _ = int.recv() => node.drain("SIGINT"),
        }
    }
}
