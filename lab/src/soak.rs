//! A randomized soak of direct entries: real processes under faults from outside, checked by what
//! callers and engines see.
//!
//! A seed decides the faults and the requests; timing is the machine's own, so a seed that failed may
//! have to be played several times. Faults overlap. At the end all faults are lifted and every entry
//! must serve again.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use bpaf::Bpaf;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use crate::process::Process;
use crate::relay::Relay;
use crate::site::{self, Answer, Site};
use crate::standin::{Engine, Mood, EVENTS};

/// Paths of the requests; the first part names the route, the last one the engine's behaviour.
const PATHS: [&str; 11] = [
    "/once/ok",
    "/once/ok",
    "/once/slow",
    "/once/reset",
    "/once/unframed",
    "/once/twice",
    "/safe/ok",
    "/safe/reset",
    "/stream/events",
    "/resume/events",
    "/resume/cut",
];
/// Keys that are given and taken away.
const KEYS: [&str; 3] = ["k1", "k2", "k3"];
/// Callers at a time.
const CALLERS: usize = 10;
/// Longest time that a caller waits.
const PATIENCE: Duration = Duration::from_secs(6);
/// Time for an entry to end after SIGTERM: its grace time and a little.
const STOP_TIME: Duration = Duration::from_secs(9);
/// Time for all entries to serve after the faults are lifted.
const RECOVERY: Duration = Duration::from_secs(15);

/// Options of the soak.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(soak_options))]
pub struct SoakOptions {
    /// First seed
    #[bpaf(argument("N"), fallback(1))]
    pub first: u64,
    /// Seeds to run, one after the other
    #[bpaf(argument("N"), fallback(1))]
    pub seeds: u64,
    /// Seconds under faults, for each seed
    #[bpaf(argument("S"), fallback(8))]
    pub seconds: u64,
    /// Entries
    #[bpaf(argument("N"), fallback(3))]
    pub entries: u8,
    /// Engines
    #[bpaf(argument("N"), fallback(4))]
    pub engines: usize,
}

/// Runs the seeds; code 1 when a promise broke.
pub async fn run(options: SoakOptions) -> anyhow::Result<ExitCode> {
    let mut broken = 0;
    for seed in options.first..options.first + options.seeds {
        let report = play(seed, &options).await?;
        println!(
            "seed {seed}: {} requests, {:?}",
            report.requests, report.statuses
        );
        for finding in &report.findings {
            println!("  BROKEN: {finding}");
        }
        broken += usize::from(!report.findings.is_empty());
    }
    println!("{broken} of {} seeds broke a promise", options.seeds);
    Ok(if broken == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// What a seed brought.
#[derive(Debug, Default)]
pub struct Report {
    /// Requests sent.
    pub requests: usize,
    /// Answers by status; 0 for none.
    pub statuses: BTreeMap<u16, usize>,
    /// Broken promises.
    pub findings: Vec<String>,
}

/// A request as its caller knows it.
#[derive(Debug, Clone)]
struct Issue {
    path: &'static str,
    key: &'static str,
    sent: Instant,
    answer: Option<Answer>,
}

/// An entry, its way to the store, and its life.
struct Slot {
    process: RefCell<Process>,
    to_store: Relay,
    settings: std::path::PathBuf,
    callers: Cell<std::net::SocketAddr>,
    busy: Cell<bool>,
}

/// One engine behind its relay.
struct Place {
    engine: Rc<Engine>,
    relay: Relay,
}

struct Soak {
    site: RefCell<Site>,
    slots: Vec<Rc<Slot>>,
    places: RefCell<Vec<Place>>,
    gone: RefCell<Vec<Place>>,
    issues: RefCell<HashMap<String, Issue>>,
    removed: RefCell<HashMap<&'static str, Instant>>,
    findings: RefCell<Vec<String>>,
    ended: Cell<bool>,
    engines_made: Cell<usize>,
}

/// Plays one seed.
pub async fn play(seed: u64, options: &SoakOptions) -> anyhow::Result<Report> {
    let soak = Rc::new(Soak::start(options).await?);
    let mut callers = Vec::new();
    for i in 0..CALLERS {
        let rng = SmallRng::seed_from_u64(seed * 1_000 + i as u64);
        callers.push(actix_rt::spawn(call_on(Rc::clone(&soak), i, rng)));
    }
    let mut rng = SmallRng::seed_from_u64(seed);
    let until = Instant::now() + Duration::from_secs(options.seconds);
    while Instant::now() < until {
        soak.fault(&mut rng).await?;
        sleep(Duration::from_millis(rng.gen_range(50..400))).await;
    }
    soak.lift();
    soak.wait_restarts().await;
    soak.check_recovery().await;
    soak.ended.set(true);
    for caller in callers {
        caller.await?;
    }
    Ok(soak.report())
}

impl Soak {
    async fn start(options: &SoakOptions) -> anyhow::Result<Self> {
        let ips: Vec<String> = (2..2 + options.entries)
            .map(|i| format!("127.0.0.{i}"))
            .collect();
        let names: Vec<&str> = ips.iter().map(String::as_str).collect();
        let (link, admin) = (site::common_port(&names), site::common_port(&names));
        let mut site = Site::start(0).await;
        site.configure(&KEYS);
        let seeds: Vec<String> = ips.iter().map(|ip| format!("{ip}:1")).collect();
        let seeds: Vec<&str> = seeds.iter().map(String::as_str).collect();
        let mut slots = Vec::new();
        for (i, ip) in names.iter().enumerate() {
            let to_store = Relay::start(site.store_address).await?;
            let mut settings = site.settings(ip, link, admin, &seeds);
            settings["store"] = json!(to_store.addr.to_string());
            let path = site.settings_path(i);
            std::fs::write(&path, settings.to_string())?;
            let process = site::start_entry(&path);
            let callers = Cell::new(process.addr("callers"));
            slots.push(Rc::new(Slot {
                process: RefCell::new(process),
                to_store,
                settings: path,
                callers,
                busy: Cell::new(false),
            }));
        }
        let soak = Self {
            site: RefCell::new(site),
            slots,
            places: RefCell::default(),
            gone: RefCell::default(),
            issues: RefCell::default(),
            removed: RefCell::default(),
            findings: RefCell::default(),
            ended: Cell::new(false),
            engines_made: Cell::new(0),
        };
        for _ in 0..options.engines {
            soak.add_engine().await?;
        }
        soak.check_recovery().await;
        Ok(soak)
    }

    async fn add_engine(&self) -> anyhow::Result<()> {
        let number = self.engines_made.get();
        self.engines_made.set(number + 1);
        let engine = Engine::start(&format!("i-{number}")).await?;
        let relay = Relay::start(engine.address).await?;
        self.site
            .borrow()
            .store
            .list_at(&engine, relay.addr, "s1", "ready");
        self.places.borrow_mut().push(Place { engine, relay });
        Ok(())
    }

    /// Brings one fault about.
    async fn fault(&self, rng: &mut SmallRng) -> anyhow::Result<()> {
        let slot = Rc::clone(&self.slots[rng.gen_range(0..self.slots.len())]);
        let time = Duration::from_millis(rng.gen_range(100..3_000));
        let place = rng.gen_range(0..self.places.borrow().len());
        match rng.gen_range(0..14) {
            0 => restart(slot, End::Kill, time),
            1 => restart(slot, End::Terminate, time),
            2 => freeze(slot, time),
            3 => hang_up(&slot, rng)?,
            4 => self.store_mood(Mood::Busy, time),
            5 => self.store_mood(Mood::Silent, time),
            6 => self.site.borrow().store.forget(),
            7 => slot.to_store.cut(),
            8 => one_way(slot.to_store.clone(), time),
            9 => self.places.borrow()[place].relay.cut(),
            10 => one_way(self.places.borrow()[place].relay.clone(), time),
            11 => refuse(self.places.borrow()[place].relay.clone(), time),
            12 => self.replace_engine(place).await?,
            _ => self.change_keys(rng),
        }
        Ok(())
    }

    fn store_mood(&self, mood: Mood, time: Duration) {
        let store = Rc::clone(&self.site.borrow().store);
        store.set_mood(mood);
        actix_rt::spawn(async move {
            sleep(time).await;
            store.set_mood(Mood::Up);
        });
    }

    /// An engine drains and leaves; another one comes.
    async fn replace_engine(&self, place: usize) -> anyhow::Result<()> {
        self.add_engine().await?;
        let old = self.places.borrow_mut().remove(place);
        let store = Rc::clone(&self.site.borrow().store);
        store.list_at(&old.engine, old.relay.addr, "s1", "draining");
        let key = format!("servers/{}", old.engine.id);
        self.gone.borrow_mut().push(old);
        actix_rt::spawn(async move {
            sleep(Duration::from_millis(1_500)).await;
            store.remove(&key);
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
        let kept: Vec<&str> = KEYS
            .into_iter()
            .filter(|k| !removed.contains_key(k))
            .collect();
        self.site.borrow_mut().configure(&kept);
    }

    /// Ends all faults that last.
    fn lift(&self) {
        self.site.borrow().store.set_mood(Mood::Up);
        for slot in &self.slots {
            slot.to_store.swallow_answers(false);
            slot.to_store.cut();
            slot.process.borrow().thaw();
        }
        for place in self.places.borrow().iter() {
            place.relay.swallow_answers(false);
            place.relay.refuse(false);
        }
    }

    /// Waits until no entry is being ended or started.
    async fn wait_restarts(&self) {
        while self.slots.iter().any(|slot| slot.busy.get()) {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Every entry serves a request within [`RECOVERY`].
    async fn check_recovery(&self) {
        let until = Instant::now() + RECOVERY;
        for (i, slot) in self.slots.iter().enumerate() {
            loop {
                let id = format!("check-{i}-{}", rand::random::<u32>());
                let request = site::request("/safe/ok", &id, "k1");
                let answer = timeout(PATIENCE, site::exchange(slot.callers.get(), &request)).await;
                if answer.is_ok_and(|answer| answer.status == 200) {
                    break;
                }
                if Instant::now() > until {
                    let finding = format!("entry {i} does not serve after the faults");
                    self.findings.borrow_mut().push(finding);
                    break;
                }
                sleep(Duration::from_millis(100)).await;
            }
        }
    }

    fn report(&self) -> Report {
        let mut runs: HashMap<String, usize> = HashMap::new();
        let gone = self.gone.borrow();
        for place in self.places.borrow().iter().chain(gone.iter()) {
            for arrival in place.engine.arrivals().iter().filter(|a| a.ran) {
                let id = arrival.header("x-request-id").unwrap_or_default();
                *runs.entry(id.to_owned()).or_default() += 1;
            }
        }
        let mut report = Report {
            findings: self.findings.take(),
            ..Report::default()
        };
        for (id, issue) in self.issues.borrow().iter() {
            report.requests += 1;
            let status = issue.answer.as_ref().map_or(0, |answer| answer.status);
            *report.statuses.entry(status).or_default() += 1;
            let count = runs.get(id).copied().unwrap_or(0);
            let removed = self.removed.borrow().get(issue.key).copied();
            let broken = check(id, issue, count, removed);
            report
                .findings
                .extend(broken.map(|why| format!("{id} {}: {why}", issue.path)));
        }
        report
    }
}

/// Whether the promises were kept for one request; else why not.
fn check(id: &str, issue: &Issue, runs: usize, removed: Option<Instant>) -> Option<String> {
    let repeatable = issue.path.starts_with("/safe") || issue.path.starts_with("/resume");
    if !repeatable && runs > 1 {
        return Some(format!("ran {runs} times"));
    }
    let bound = Duration::from_millis(site::KEY_REMOVAL_MS);
    if runs > 0 && removed.is_some_and(|at| issue.sent > at + bound) {
        return Some(format!("ran with {} after it was removed", issue.key));
    }
    let answer = issue.answer.as_ref()?;
    match answer.status {
        503 if !repeatable && runs > 0 => Some("told as not run, but ran".into()),
        200 if issue.path.ends_with("events") || issue.path.ends_with("cut") => {
            check_events(answer)
        }
        200 if answer.is_cut && !issue.path.ends_with("unframed") => None,
        200 if answer.body != format!("answer of {id}") => Some(format!("got {:?}", answer.body)),
        200 if answer.header("x-response-seal").is_none() => {
            Some("a success without a seal".into())
        }
        _ => None,
    }
}

fn check_events(answer: &Answer) -> Option<String> {
    let numbers = site::event_numbers(&answer.body);
    let in_order = numbers.iter().copied().eq(1..=numbers.len() as u64);
    let whole = numbers.len() as u64 == EVENTS;
    if !in_order || (!answer.is_cut && !whole) {
        return Some(format!("events {numbers:?}, cut: {}", answer.is_cut));
    }
    None
}

/// How a process is ended.
#[derive(Debug, Clone, Copy)]
enum End {
    Kill,
    Terminate,
}

/// Ends an entry and starts it again after a pause.
fn restart(slot: Rc<Slot>, end: End, pause: Duration) {
    if slot.busy.replace(true) {
        return;
    }
    actix_rt::spawn(async move {
        let until = Instant::now() + STOP_TIME;
        match end {
            End::Kill => slot.process.borrow_mut().kill(),
            End::Terminate => slot.process.borrow().terminate(),
        }
        while slot.process.borrow_mut().is_running() && Instant::now() < until {
            sleep(Duration::from_millis(20)).await;
        }
        slot.process.borrow_mut().kill();
        sleep(pause / 3).await;
        let process = site::start_entry(&slot.settings);
        slot.callers.set(process.addr("callers"));
        slot.process.replace(process).kill();
        slot.busy.set(false);
    });
}

fn freeze(slot: Rc<Slot>, time: Duration) {
    if slot.busy.get() {
        return;
    }
    slot.process.borrow().freeze();
    actix_rt::spawn(async move {
        sleep(time).await;
        slot.process.borrow().thaw();
    });
}

/// Changes the settings file and sends SIGHUP.
fn hang_up(slot: &Slot, rng: &mut SmallRng) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(&slot.settings)?;
    let mut settings: serde_json::Value = serde_json::from_str(&text)?;
    settings["bounds"]["retry_extra"] = json!(rng.gen_range(5..50));
    std::fs::write(&slot.settings, settings.to_string())?;
    if !slot.busy.get() {
        let id = slot.process.borrow().id();
        kill(Pid::from_raw(id as i32), Signal::SIGHUP)?;
    }
    Ok(())
}

fn one_way(relay: Relay, time: Duration) {
    relay.swallow_answers(true);
    actix_rt::spawn(async move {
        sleep(time).await;
        relay.swallow_answers(false);
        relay.cut();
    });
}

fn refuse(relay: Relay, time: Duration) {
    relay.refuse(true);
    relay.cut();
    actix_rt::spawn(async move {
        sleep(time).await;
        relay.refuse(false);
    });
}

/// One caller: requests one after the other, on a connection that is kept until it ends.
async fn call_on(soak: Rc<Soak>, caller: usize, mut rng: SmallRng) {
    let mut kept: Option<TcpStream> = None;
    let mut number = 0;
    while !soak.ended.get() {
        number += 1;
        let id = format!("c{caller}-{number}");
        let path = PATHS[rng.gen_range(0..PATHS.len())];
        let key = KEYS[rng.gen_range(0..KEYS.len())];
        let slot = &soak.slots[rng.gen_range(0..soak.slots.len())];
        let stream = match kept.take() {
            Some(stream) => Some(stream),
            None => TcpStream::connect(slot.callers.get()).await.ok(),
        };
        let Some(mut stream) = stream else {
            sleep(Duration::from_millis(30)).await;
            continue;
        };
        let issue = Issue {
            path,
            key,
            sent: Instant::now(),
            answer: None,
        };
        soak.issues.borrow_mut().insert(id.clone(), issue);
        if stream
            .write_all(&site::request(path, &id, key))
            .await
            .is_err()
        {
            continue;
        }
        let leaves = rng.gen_ratio(1, 12);
        let patience = if leaves {
            Duration::from_millis(40)
        } else {
            PATIENCE
        };
        let Ok(answer) = timeout(patience, site::read_answer(&mut stream)).await else {
            continue;
        };
        let closes = answer.header("connection") == Some("close");
        if !answer.is_cut && !closes && rng.gen_ratio(3, 4) {
            kept = Some(stream);
        }
        if let Some(issue) = soak.issues.borrow_mut().get_mut(&id) {
            issue.answer = Some(answer);
        }
        sleep(Duration::from_millis(rng.gen_range(0..40))).await;
    }
}
