//! The process of a sidecar: it takes its place, starts its tasks, and ends when a planned stop has ended.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::time::sleep;

use super::{announcements, Sidecar};
use crate::admin;
use crate::audit::{Change, What};
use crate::clock::{Clock, Millis};
use crate::gossip;
use crate::link;
use crate::node::{self, Life, Node};
use crate::session;
use crate::settings::SidecarSettings;
use crate::supervisor::Supervisor;
use crate::wire::{GOSSIP_PATH, REQUEST_PATH};

/// Time between two ticks of the scheduler.
const TICK: Duration = Duration::from_millis(10);
/// Time between two tries to take the listening port from a predecessor.
const BIND_AGAIN: Duration = Duration::from_millis(200);
/// Time for last messages to leave before the process ends.
const FLUSH: Duration = Duration::from_millis(300);
/// Time between two trims of the key memory.
const TRIM_EVERY: Duration = Duration::from_secs(5);
/// Paths that a sidecar serves on links.
const PATHS: [&str; 2] = [REQUEST_PATH, GOSSIP_PATH];

/// Runs a sidecar until a planned stop has ended.
pub async fn run(settings: SidecarSettings, clock: Clock) -> anyhow::Result<()> {
    let listener = hold_place(&settings).await?;
    let node = Node::new(settings.node.clone(), clock);
    let admin_listener = TcpListener::bind(settings.node.admin).await?;
    node::announce(
        "sidecar",
        &[("listen", &listener), ("admin", &admin_listener)],
    )?;
    let mut common = Supervisor::new("sidecar");
    node::spawn_common(&mut common, &node);
    let Some(policy) = node::first_policy(&node).await else {
        return Ok(());
    };
    let sidecar = Sidecar::new(Rc::clone(&node), settings, &policy);
    sidecar.apply_documents();
    shut_out_predecessor(&sidecar).await;
    let mut duty = Supervisor::new("duty");
    spawn_duty(&mut duty, &sidecar);
    let report = Rc::clone(&sidecar);
    actix_rt::spawn(admin::serve(Rc::clone(&node), report, admin_listener));
    actix_rt::spawn(accept(Rc::clone(&sidecar), listener));
    wait_for_end(&sidecar).await;
    duty.close();
    common.close();
    node.audit
        .record(Change::plain(What::Stop, "planned stop", ""));
    Ok(())
}

/// Takes the listening port, which only one process on an instance can hold; a predecessor
/// that is frozen keeps it, and then this process waits and takes no work.
async fn hold_place(settings: &SidecarSettings) -> anyhow::Result<TcpListener> {
    let mut waiting = false;
    loop {
        match TcpListener::bind(settings.node.listen).await {
            Ok(listener) => return Ok(listener),
            Err(err) if err.kind() == ErrorKind::AddrInUse => {
                if !waiting {
                    tracing::info!(addr = %settings.node.listen, "waiting for predecessor");
                }
                waiting = true;
                sleep(BIND_AGAIN).await;
            }
            Err(err) => return Err(err.into()),
        }
    }
}

async fn shut_out_predecessor(sidecar: &Sidecar) {
    let policy = sidecar.node.replica.policy();
    let checks = policy
        .as_deref()
        .and_then(|p| sidecar.pool(p))
        .is_some_and(|p| p.checks_orders);
    if checks {
        let done = sidecar.endpoint.fence(sidecar.node.incarnation).await;
        let note = format!("confirmed: {done}");
        sidecar
            .node
            .audit
            .record(Change::plain(What::Fence, "start", note));
    }
}

fn spawn_duty(supervisor: &mut Supervisor, sidecar: &Rc<Sidecar>) {
    let cx = Rc::clone(sidecar);
    supervisor.child("ticks", move || keep_ticking(Rc::clone(&cx)));
    let cx = Rc::clone(sidecar);
    supervisor.child("documents", move || keep_applying(Rc::clone(&cx)));
    let cx = Rc::clone(sidecar);
    supervisor.child("endpoint", move || {
        announcements::follow_endpoint(Rc::clone(&cx))
    });
    let cx = Rc::clone(sidecar);
    supervisor.child("keys", move || keep_trimming(Rc::clone(&cx)));
}

async fn keep_ticking(sidecar: Rc<Sidecar>) -> anyhow::Result<()> {
    loop {
        sidecar.tick();
        sleep(TICK).await;
    }
}

async fn keep_applying(sidecar: Rc<Sidecar>) -> anyhow::Result<()> {
    let mut documents = sidecar.node.replica.subscribe();
    let mut life = sidecar.node.watch_life();
    loop {
        sidecar.apply_documents();
        tokio::select! {
            changed = documents.changed() => changed?,
            changed = life.changed() => changed?,
        }
    }
}

async fn keep_trimming(sidecar: Rc<Sidecar>) -> anyhow::Result<()> {
    loop {
        sleep(TRIM_EVERY).await;
        if let Some(policy) = sidecar.node.replica.policy() {
            let memory = Millis::from_secs(policy.bundle.limits.key_memory_s);
            sidecar
                .keys
                .borrow_mut()
                .trim(sidecar.node.clock.wall(), memory);
        }
    }
}

async fn accept(sidecar: Rc<Sidecar>, listener: TcpListener) {
    loop {
        let Ok((tcp, _)) = listener.accept().await else {
            sleep(TICK).await;
            continue;
        };
        let cx = Rc::clone(&sidecar);
        actix_rt::spawn(link::serve(tcp, &PATHS, move |incoming| {
            if incoming.path == GOSSIP_PATH {
                gossip::answer(Rc::clone(&cx.node), incoming);
            } else {
                actix_rt::spawn(session::serve(Rc::clone(&cx), incoming));
            }
        }));
    }
}

/// Returns when a planned stop was asked for and nothing is left in flight.
async fn wait_for_end(sidecar: &Sidecar) {
    let mut life = sidecar.node.watch_life();
    let _ = life.wait_for(|life| *life == Life::Draining).await;
    while !sidecar.is_idle() {
        sleep(TICK).await;
    }
    sleep(FLUSH).await;
}
