//! The faults of the soak: what happens to entries, engines, the store and the ways between them.

use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use rand::rngs::SmallRng;
use rand::Rng;
use serde_json::{json, Value};
use tokio::time::{sleep, Instant};

use super::{RelayedEngine, RunningEntry, Soak, KEYS};
use crate::relay::Relay;
use crate::site;
use crate::standin::{Condition, Engine};
use crate::suspension;

/// Rates of a narrow link, in bytes a second: the largest configuration takes 0.5 to 6 s.
const NARROW: Range<u64> = 100 << 10..1 << 20;
/// Routes that the configuration grows to at most: 0.6 MB of text.
const MOST_ROUTES: usize = 3_000;
/// Time for an entry to end after SIGTERM: its grace time and a little.
const STOP_TIME: Duration = Duration::from_secs(9);

impl Soak {
    /// Brings one fault about.
    pub(super) async fn fault(&self, rng: &mut SmallRng) -> anyhow::Result<()> {
        let entry = Rc::clone(&self.entries[rng.gen_range(0..self.entries.len())]);
        let time = Duration::from_millis(rng.gen_range(100..3_000));
        let engine = rng.gen_range(0..self.engines.borrow().len());
        let fault = rng.gen_range(0..23);
        if matches!(fault, 4..=8 | 13 | 14) {
            self.platform.until(Instant::now() + time);
        }
        match fault {
            0 => restart(entry, End::Kill, time),
            1 => restart(entry, End::Terminate, time),
            2 => freeze(entry, time),
            3 => hang_up(&entry, rng)?,
            4 => self.store_condition(Condition::Busy, time),
            5 => self.store_condition(Condition::Silent, time),
            6 => self.site.borrow().store.forget(),
            7 => entry.to_store.cut(),
            8 => one_way(entry.to_store.clone(), time),
            9 => self.engines.borrow()[engine].cut(),
            10 => self.engines.borrow()[engine].one_way(time),
            11 => self.engines.borrow()[engine].refuse(time),
            12 => self.replace_engine(engine).await?,
            13 => narrow(entry.to_store.clone(), rng.gen_range(NARROW), time),
            14 => self.grow(rng),
            15 => suspend(entry, time),
            16 => self.leave_unlisted(engine, time).await?,
            17 | 18 => self.rest(engine, rng),
            19 | 20 => self.name_limit(engine, rng),
            21 => self.replace_model(rng),
            _ => self.change_keys(rng),
        }
        Ok(())
    }

    /// Makes the store refuse calls or keep silent for a time.
    fn store_condition(&self, condition: Condition, time: Duration) {
        let store = Rc::clone(&self.site.borrow().store);
        store.set_condition(condition);
        actix_rt::spawn(async move {
            sleep(time).await;
            store.set_condition(Condition::Up);
        });
    }

    /// An engine drains and leaves; another one comes.
    async fn replace_engine(&self, engine: usize) -> anyhow::Result<()> {
        self.add_engine().await?;
        let old = self.engines.borrow_mut().remove(engine);
        let store = Rc::clone(&self.site.borrow().store);
        store.list_at(&old.engine, old.relay.addr, "s1", "draining");
        old.left_at.set(Some(Instant::now()));
        let engine = Rc::clone(&old.engine);
        self.gone.borrow_mut().push(old);
        actix_rt::spawn(async move {
            sleep(Duration::from_millis(1_500)).await;
            store.unlist(&engine);
        });
        Ok(())
    }

    /// Takes a key away, or gives it back.
    fn change_keys(&self, rng: &mut SmallRng) {
        let key = KEYS[rng.gen_range(1..KEYS.len())];
        let mut removed = self.removed.borrow_mut();
        if removed.remove(key).is_none() {
            removed.insert(key, Instant::now());
        }
        let is_kept = |key: &&str| !removed.contains_key(*key);
        let kept: Vec<&str> = KEYS.into_iter().filter(is_kept).collect();
        self.site.borrow_mut().configure(&kept);
    }

    /// The configuration grows by many routes.
    fn grow(&self, rng: &mut SmallRng) {
        let mut site = self.site.borrow_mut();
        let grown = site.idle_routes + rng.gen_range(100..MOST_ROUTES / 2);
        site.idle_routes = grown.min(MOST_ROUTES);
        let removed = self.removed.borrow();
        let is_kept = |key: &&str| !removed.contains_key(*key);
        let kept: Vec<&str> = KEYS.into_iter().filter(is_kept).collect();
        site.configure(&kept);
    }

    /// Starts engines again that a request has ended, as their operators do.
    pub(super) async fn revive_engines(self: Rc<Self>, mut rng: SmallRng) {
        while !self.ended.get() {
            sleep(Duration::from_millis(rng.gen_range(100..900))).await;
            for (engine, address) in self.engines_down() {
                let store = Rc::clone(&self.site.borrow().store);
                store.unlist(&engine);
                match engine.start_again().await {
                    Ok(()) => store.list_at(&engine, address, "s1", "ready"),
                    Err(err) => eprintln!("an engine does not start again: {err}"),
                }
            }
        }
    }

    /// Engines that have ended, with their relays' addresses.
    fn engines_down(&self) -> Vec<(Rc<Engine>, SocketAddr)> {
        let engines = self.engines.borrow();
        let down = engines.iter().filter(|relayed| relayed.engine.is_down());
        down.map(|relayed| (Rc::clone(&relayed.engine), relayed.relay.addr))
            .collect()
    }

    /// Ends all faults that last.
    pub(super) fn lift(&self) {
        self.site.borrow().store.set_condition(Condition::Up);
        for entry in &self.entries {
            entry.to_store.narrow(None);
            entry.to_store.swallow_answers(false);
            entry.to_store.cut();
            entry.process.borrow().thaw();
        }
        for engine in self.engines.borrow().iter() {
            engine.relay.swallow_answers(false);
            engine.relay.refuse(false);
        }
    }

    /// Waits until no entry is being ended or started.
    pub(super) async fn wait_restarts(&self) {
        while self.entries.iter().any(|entry| entry.restarting.get()) {
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl RelayedEngine {
    /// Ends its connections.
    fn cut(&self) {
        self.harmed.now();
        self.relay.cut();
    }

    /// Lets requests through for a time, but no answers.
    fn one_way(&self, time: Duration) {
        self.harmed.until(Instant::now() + time);
        one_way(self.relay.clone(), time);
    }

    /// Refuses connections for a time.
    fn refuse(&self, time: Duration) {
        self.harmed.until(Instant::now() + time);
        refuse(self.relay.clone(), time);
    }
}

/// How a process is ended.
#[derive(Debug, Clone, Copy)]
pub(super) enum End {
    Kill,
    Terminate,
}

/// Ends an entry and starts it again after a pause.
pub(super) fn restart(entry: Rc<RunningEntry>, end: End, pause: Duration) {
    if entry.restarting.replace(true) {
        return;
    }
    entry.disturbed.now();
    actix_rt::spawn(async move {
        let until = Instant::now() + STOP_TIME;
        match end {
            End::Kill => entry.process.borrow_mut().kill(),
            End::Terminate => entry.process.borrow().terminate(),
        }
        while entry.process.borrow_mut().is_running() && Instant::now() < until {
            sleep(Duration::from_millis(20)).await;
        }
        entry.process.borrow_mut().kill();
        sleep(pause / 3).await;
        if let Err(err) = suspension::forget(&entry.settings) {
            eprintln!("a suspension is not forgotten: {err}");
        }
        let process = site::start_entry(&entry.settings);
        entry.callers.set(process.addr("callers"));
        entry.process.replace(process).kill();
        entry.restarting.set(false);
        entry.disturbed.now();
    });
}

/// Stops a process for a time without ending it.
fn freeze(entry: Rc<RunningEntry>, time: Duration) {
    if entry.restarting.get() {
        return;
    }
    entry.process.borrow().freeze();
    entry.disturbed.until(Instant::now() + time);
    actix_rt::spawn(async move {
        sleep(time).await;
        entry.process.borrow().thaw();
    });
}

/// Suspends the machine of a process for a time.
fn suspend(entry: Rc<RunningEntry>, time: Duration) {
    if entry.restarting.get() || entry.suspended.replace(true) {
        return;
    }
    let id = entry.process.borrow().id();
    entry.disturbed.until(Instant::now() + time);
    entry.process.borrow().freeze();
    actix_rt::spawn(async move {
        let begun = Instant::now();
        sleep(time).await;
        entry.suspended.set(false);
        // Another process has its place by now, which was not suspended.
        if entry.process.borrow().id() == id {
            // It can't be told once the seed is over and its folder gone.
            let _ = suspension::add(&entry.settings, begun.elapsed());
        }
        entry.process.borrow().thaw();
    });
}

/// Changes the settings file and sends SIGHUP.
fn hang_up(entry: &RunningEntry, rng: &mut SmallRng) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(&entry.settings)?;
    let mut settings: Value = serde_json::from_str(&text)?;
    settings["bounds"]["retry_extra"] = json!(rng.gen_range(5..50));
    std::fs::write(&entry.settings, settings.to_string())?;
    if !entry.restarting.get() {
        let id = entry.process.borrow().id();
        kill(Pid::from_raw(id as i32), Signal::SIGHUP)?;
    }
    Ok(())
}

/// Makes the way to the store a narrow link for a time, of so many bytes a second.
fn narrow(relay: Relay, rate: u64, time: Duration) {
    relay.narrow(Some(rate));
    actix_rt::spawn(async move {
        sleep(time).await;
        relay.narrow(None);
    });
}

/// Lets requests through for a time, but no answers.
fn one_way(relay: Relay, time: Duration) {
    relay.swallow_answers(true);
    actix_rt::spawn(async move {
        sleep(time).await;
        relay.swallow_answers(false);
        relay.cut();
    });
}

/// Refuses connections for a time.
fn refuse(relay: Relay, time: Duration) {
    relay.refuse(true);
    relay.cut();
    actix_rt::spawn(async move {
        sleep(time).await;
        relay.refuse(false);
    });
}
