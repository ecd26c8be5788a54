//! The process of a direct entry: start, tasks, signals, reload of the settings, planned stop.

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
use crate::direct::entry::{Entry, ProcessState};
use crate::direct::gossip;
use crate::direct::ready;
use crate::direct::settings::DirectSettings;
use crate::direct::sync;
use crate::node;
use crate::settings;
use crate::supervisor::Supervisor;

/// Interval between two rounds of housekeeping: well below the lifetime of idle connections, and
/// below the time for which an endpoint stays in use after its list entry expired.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(250);
/// Rounds of housekeeping per second.
const ROUNDS_PER_SECOND: u32 = 4;
/// Time after SIGTERM for which new connections still arrive: the load balancer checks readiness
/// every second and removes a process after the second failed check.
const LINGER_TIME: Millis = Millis(2_400);
/// Largest fraction of the time between SIGTERM and SIGKILL for which new connections are served: what
/// is taken then has the rest to end.
const LINGER_GRACE_FRACTION: f64 = 0.3;
/// Fraction of the time between SIGTERM and SIGKILL after which the process ends even if requests
/// are still in flight.
const STOP_GRACE_FRACTION: f64 = 0.94;
/// Interval between two checks whether requests are still in flight during a stop.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the last bytes to be sent before the process ends.
const FLUSH_TIME: Duration = Duration::from_millis(50);
/// Interval between two checks whether the settings file has changed without a signal.
const RELOAD_POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// The same while the settings name no seeds, which may be written some time after the start.
const SEEDS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the start for which seeds are awaited in this way.
const SEEDS_POLL_TIME: Millis = Millis(3_000);

/// Runs an entry until a planned stop has ended. Fails where a socket can't be bound or its address
/// can't be read.
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
        "no requests are in flight, or the time to stop is over",
    );
    sleep(FLUSH_TIME).await;
    supervisor.close();
    Ok(())
}

/// Starts all tasks of an entry.
fn supervise(
    entry: &Rc<Entry>,
    path: Option<PathBuf>,
    listeners: [TcpListener; 3],
    link: UdpSocket,
) -> Supervisor {
    let mut supervisor = Supervisor::new("direct entry");
    let shared_entry = Rc::clone(entry);
    supervisor.child("signals", move || {
        watch_signals(Rc::clone(&shared_entry), path.clone())
    });
    spawn_sync_tasks(&mut supervisor, entry, link);
    spawn_listeners(&mut supervisor, entry, listeners);
    let shared_entry = Rc::clone(entry);
    supervisor.child("housekeeping", move || {
        run_housekeeping(Rc::clone(&shared_entry))
    });
    supervisor
}

/// Starts the tasks that follow the store and exchange state with peers.
fn spawn_sync_tasks(supervisor: &mut Supervisor, entry: &Rc<Entry>, link: UdpSocket) {
    let link = Rc::new(link);
    // This is the only place that sets the link, so it can't be set already.
    let _ = entry.peer_socket.set(Rc::clone(&link));
    let shared_entry = Rc::clone(entry);
    supervisor.child("follow", move || sync::follow(Rc::clone(&shared_entry)));
    let shared_entry = Rc::clone(entry);
    supervisor.child("prove", move || sync::prove(Rc::clone(&shared_entry)));
    let (shared_entry, socket) = (Rc::clone(entry), Rc::clone(&link));
    supervisor.child("tell", move || {
        gossip::send_rounds(Rc::clone(&shared_entry), Rc::clone(&socket))
    });
    let shared_entry = Rc::clone(entry);
    supervisor.child("hear", move || {
        gossip::receive(Rc::clone(&shared_entry), Rc::clone(&link))
    });
}

/// Starts the tasks that answer the load balancer, operators and callers.
fn spawn_listeners(supervisor: &mut Supervisor, entry: &Rc<Entry>, listeners: [TcpListener; 3]) {
    let [callers, readiness, admin] = listeners.map(Rc::new);
    let shared_entry = Rc::clone(entry);
    supervisor.child("readiness", move || {
        ready::answer_readiness(Rc::clone(&shared_entry), Rc::clone(&readiness))
    });
    let shared_entry = Rc::clone(entry);
    supervisor.child("admin", move || {
        ready::answer_admin(Rc::clone(&shared_entry), Rc::clone(&admin))
    });
    let shared_entry = Rc::clone(entry);
    supervisor.child("callers", move || {
        caller::accept(Rc::clone(&shared_entry), Rc::clone(&callers))
    });
}

/// Checks in every round whether the machine was suspended and removes expired state; once a second
/// logs dropped lines, closes connections that can't be reused and updates the gauges.
async fn run_housekeeping(entry: Rc<Entry>) -> anyhow::Result<()> {
    let mut rounds = 0;
    loop {
        sleep(HOUSEKEEPING_INTERVAL).await;
        if let Some(time) = entry.clock.look() {
            entry.handle_resume(time);
        }
        entry.expire();
        entry.log_readiness();
        rounds += 1;
        if rounds % ROUNDS_PER_SECOND == 0 {
            entry.log.next_second();
            entry.close_unusable();
            entry.update_metrics();
        }
    }
}

/// Starts the planned stop at SIGTERM or SIGINT, and reloads the settings at SIGHUP or when the
/// file has changed.
async fn watch_signals(entry: Rc<Entry>, path: Option<PathBuf>) -> anyhow::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    let mut last_read = None;
    loop {
        tokio::select! {
            _ = term.recv() => entry.begin_stop("SIGTERM"),
            _ = int.recv() => entry.begin_stop("SIGINT"),
            _ = hup.recv() => reload(&entry, path.as_deref(), &mut last_read),
            () = sleep(reload_poll_interval(&entry)) => reload(&entry, path.as_deref(), &mut last_read),
        }
    }
}

fn reload_poll_interval(entry: &Entry) -> Duration {
    let awaits_seeds = entry.settings.borrow().seeds.is_empty() && entry.age() < SEEDS_POLL_TIME;
    match awaits_seeds {
        true => SEEDS_POLL_INTERVAL,
        false => RELOAD_POLL_INTERVAL,
    }
}

/// Reloads the settings file where its content has changed since `last_read`. Invalid settings are
/// ignored, and logged unless this is the first read after the start. Changed addresses of
/// listeners take effect only after a restart.
fn reload(entry: &Entry, path: Option<&Path>, last_read: &mut Option<Vec<u8>>) {
    let Some(path) = path else { return };
    let text = match std::fs::read(path) {
        Ok(text) => text,
        Err(err) => {
            tracing::warn!(%err, path = %path.display(), "settings file could not be read");
            return;
        }
    };
    if last_read.as_ref() == Some(&text) {
        return;
    }
    let first = last_read.replace(text.clone()).is_none();
    match settings::parse::<DirectSettings>(&text) {
        Ok(new) => {
            if *entry.settings.borrow() == new {
                return;
            }
            let now = entry.clock.now();
            entry.peers.borrow_mut().set_seeds(&new.seeds, now);
            entry.note_seeds(&new.seeds);
            entry.peers.borrow_mut().set_link(new.link_mbps);
            entry.peers.borrow_mut().set_zone(&new.zone);
            entry.memory.set_machine(new.memory_mb_or_default());
            let before = entry.settings.replace(new);
            if before.store != entry.settings.borrow().store {
                // A watch may be waiting at the former address.
                entry.rewatch_requested.notify_one();
            }
            entry.log_process("reloaded", "settings changed");
        }
        Err(findings) if !first => entry.log_process("reload failed", &findings.to_string()),
        Err(_) => {}
    }
}

/// Resolves when a planned stop has ended: after the load balancer has stopped sending connections,
/// once no request is in flight or the time to stop is over.
async fn wait_for_end(entry: &Rc<Entry>) {
    let mut process_state = entry.watch_process_state();
    while *process_state.borrow_and_update() == ProcessState::Serving {
        if process_state.changed().await.is_err() {
            return;
        }
    }
    let stop_started = entry.clock.now();
    let grace = entry.settings.borrow().bounds.stop_grace_ms;
    let part_of_grace = |fraction: f64| Millis((grace as f64 * fraction) as u64);
    let linger_time = LINGER_TIME.min(part_of_grace(LINGER_GRACE_FRACTION));
    entry.clock.sleep_until(stop_started + linger_time).await;
    entry.stop_accepting();
    let end = stop_started + part_of_grace(STOP_GRACE_FRACTION);
    while entry.in_flight() > 0 && entry.clock.now() < end {
        sleep(STOP_POLL_INTERVAL).await;
    }
}
