//! The process of a direct entry: start, tasks, signals, settings read anew, planned stop.

use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::sleep;

use crate::clock::{Clock, Millis};
use crate::direct::caller;
use crate::direct::decision::DecisionLog;
use crate::direct::dialect::Dialect;
use crate::direct::entry::{Entry, Life};
use crate::direct::gossip;
use crate::direct::ready;
use crate::direct::settings::DirectSettings;
use crate::direct::sync;
use crate::node;
use crate::settings;
use crate::supervisor::Supervisor;

/// Time between two rounds of housekeeping: well below the lifetime of idle connections and the
/// time that an endpoint keeps its standing while the list is away.
const HOUSEKEEPING: Duration = Duration::from_millis(250);
/// Rounds of housekeeping in a second.
const ROUNDS_A_SECOND: u32 = 4;
/// Time after SIGTERM in which connections still come: the balancer asks every second and takes
/// a process out at the second miss.
const LINGER: Millis = Millis(2_400);
/// Part of the time between SIGTERM and SIGKILL at which whatever is left is given up.
const STOP_PART: f64 = 0.94;
/// Time between two looks at whether a stop has ended.
const STOP_LOOK: Duration = Duration::from_millis(20);
/// Time for last bytes to leave before the process ends.
const FLUSH: Duration = Duration::from_millis(50);
/// Time between two looks at whether the settings file has changed without a signal.
const RELOAD_LOOK: Duration = Duration::from_millis(1_000);

/// Runs an entry until a planned stop ends.
pub async fn run(
    settings: DirectSettings,
    path: Option<PathBuf>,
    dialect: Rc<dyn Dialect>,
    clock: Clock,
    log: DecisionLog,
) -> anyhow::Result<()> {
    let callers = TcpListener::bind(settings.callers).await?;
    let readiness = TcpListener::bind(settings.readiness).await?;
    let admin = TcpListener::bind(settings.admin).await?;
    let link = UdpSocket::bind(settings.link).await?;
    let listeners = [
        ("callers", &callers),
        ("readiness", &readiness),
        ("admin", &admin),
    ];
    node::announce("direct", &listeners)?;
    let entry = Entry::new(settings, dialect, clock, log);
    let note = format!("callers at {}", callers.local_addr()?);
    entry.log_process("started", &note);
    let supervisor = supervise(&entry, path, [callers, readiness, admin], link);
    wait_for_end(&entry).await;
    entry.log_process(
        "ended",
        "nothing is in flight, or the time to stop was over",
    );
    sleep(FLUSH).await;
    supervisor.close();
    Ok(())
}

/// Starts the tasks of an entry.
fn supervise(
    entry: &Rc<Entry>,
    path: Option<PathBuf>,
    listeners: [TcpListener; 3],
    link: UdpSocket,
) -> Supervisor {
    let mut supervisor = Supervisor::new("direct entry");
    let cx = Rc::clone(entry);
    supervisor.child("signals", move || {
        watch_signals(Rc::clone(&cx), path.clone())
    });
    spawn_learning(&mut supervisor, entry, link);
    spawn_listeners(&mut supervisor, entry, listeners);
    let cx = Rc::clone(entry);
    supervisor.child("housekeeping", move || keep_house(Rc::clone(&cx)));
    supervisor
}

/// Starts the tasks that learn from the store and from peers.
fn spawn_learning(supervisor: &mut Supervisor, entry: &Rc<Entry>, link: UdpSocket) {
    let link = Rc::new(link);
    // It is set once, here.
    let _ = entry.link.set(Rc::clone(&link));
    let cx = Rc::clone(entry);
    supervisor.child("follow", move || sync::follow(Rc::clone(&cx)));
    let cx = Rc::clone(entry);
    supervisor.child("prove", move || sync::prove(Rc::clone(&cx)));
    let (cx, socket) = (Rc::clone(entry), Rc::clone(&link));
    supervisor.child("tell", move || {
        gossip::send_rounds(Rc::clone(&cx), Rc::clone(&socket))
    });
    let cx = Rc::clone(entry);
    supervisor.child("hear", move || {
        gossip::receive(Rc::clone(&cx), Rc::clone(&link))
    });
}

/// Starts the tasks that answer the balancer, operators and callers.
fn spawn_listeners(supervisor: &mut Supervisor, entry: &Rc<Entry>, listeners: [TcpListener; 3]) {
    let [callers, readiness, admin] = listeners.map(Rc::new);
    let cx = Rc::clone(entry);
    supervisor.child("readiness", move || {
        ready::answer_readiness(Rc::clone(&cx), Rc::clone(&readiness))
    });
    let cx = Rc::clone(entry);
    supervisor.child("admin", move || {
        ready::answer_admin(Rc::clone(&cx), Rc::clone(&admin))
    });
    let cx = Rc::clone(entry);
    supervisor.child("callers", move || {
        caller::accept(Rc::clone(&cx), Rc::clone(&callers))
    });
}

/// Drops what has expired in every round, and once a second writes counts and gauges.
async fn keep_house(entry: Rc<Entry>) -> anyhow::Result<()> {
    let mut rounds = 0;
    loop {
        sleep(HOUSEKEEPING).await;
        if let Some(time) = entry.clock.look() {
            entry.resumed(time);
        }
        entry.expire();
        rounds += 1;
        if rounds % ROUNDS_A_SECOND == 0 {
            entry.log.next_second();
            entry.set_gauges();
        }
    }
}

/// Stops at SIGTERM or SIGINT, reads the settings anew at SIGHUP or when the file changes.
async fn watch_signals(entry: Rc<Entry>, path: Option<PathBuf>) -> anyhow::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    let mut seen = None;
    loop {
        tokio::select! {
            _ = term.recv() => entry.stop("SIGTERM"),
            _ = int.recv() => entry.stop("SIGINT"),
            _ = hup.recv() => reload(&entry, path.as_deref(), &mut seen),
            () = sleep(RELOAD_LOOK) => reload(&entry, path.as_deref(), &mut seen),
        }
    }
}

/// Reads the settings file; faulty ones leave those in force. Listeners keep their addresses.
fn reload(entry: &Entry, path: Option<&Path>, seen: &mut Option<Vec<u8>>) {
    let Some(path) = path else { return };
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(err) => {
            tracing::warn!(%err, path = %path.display(), "settings could not be read again");
            return;
        }
    };
    if seen.as_ref() == Some(&text) {
        return;
    }
    let first = seen.replace(text.clone()).is_none();
    match settings::parse::<DirectSettings>(&text) {
        Ok(new) => {
            if *entry.settings.borrow() == new {
                return;
            }
            let now = entry.clock.now();
            entry.peers.borrow_mut().set_seeds(&new.seeds, now);
            entry.peers.borrow_mut().set_link(new.link_mbps);
            entry.peers.borrow_mut().set_zone(&new.zone);
            *entry.settings.borrow_mut() = new;
            entry.log_process("reloaded", "settings changed");
        }
        Err(findings) if !first => entry.log_process("reload failed", &findings.to_string()),
        Err(_) => {}
    }
}

/// Resolves when a planned stop has ended.
async fn wait_for_end(entry: &Rc<Entry>) {
    let mut life = entry.watch_life();
    while *life.borrow_and_update() == Life::Serving {
        if life.changed().await.is_err() {
            return;
        }
    }
    let begun = entry.clock.now();
    entry.clock.sleep_until(begun + LINGER).await;
    entry.end_work();
    let grace = entry.settings.borrow().bounds.stop_grace_ms;
    let end = begun + Millis((grace as f64 * STOP_PART) as u64);
    while entry.in_flight() > 0 && entry.clock.now() < end {
        sleep(STOP_LOOK).await;
    }
}
