//! A randomized soak of direct entries: real processes under faults from outside, checked by what
//! callers and engines see.
//!
//! A seed decides the faults and the requests; timing is the machine's own, so a seed that failed may
//! have to be played several times. Faults overlap. At the end all faults are lifted and every entry
//! must serve again.

mod callers;
mod check;
mod endless;
mod faults;
mod large;
mod lines;
mod mixed;
mod parts;
mod restored;
mod resuming;
mod returned;
mod troubles;
mod unwilling;
mod urgency;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use bpaf::Bpaf;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{json, Value};
use tokio::time::{sleep, timeout, Instant};

use self::lines::KeptLines;
use self::mixed::MixedPool;
use self::resuming::Attempt;
use self::troubles::Troubles;
use self::urgency::ModelCall;
use crate::process::Process;
use crate::relay::Relay;
use crate::site::{self, Answer, Site};
use crate::standin::Engine;

/// Keys that are given and taken away.
const KEYS: [&str; 3] = ["k1", "k2", "k3"];
/// Callers at a time.
const CALLERS: usize = 10;
/// Callers of streams whose end is not marked, at a time.
const UNMARKED_CALLERS: usize = 2;
/// Callers whose answers never end, at a time.
const ENDLESS_CALLERS: usize = 2;
/// Longest time that a caller waits: somewhat more than the request itself allows.
const PATIENCE: Duration = Duration::from_secs(6);
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
    /// Mean time in ms between two ends of engines that no request causes
    #[bpaf(argument("MS"), fallback(3_500))]
    pub end_pause: u64,
    /// Mean time in ms between two restorations of the store from an older copy; 0 for none
    #[bpaf(argument("MS"), fallback(4_000))]
    pub restore_pause: u64,
    /// Do without the loss of power of all entries at the end of each seed
    #[bpaf(switch)]
    pub keep_power: bool,
}

/// Runs the seeds; code 1 when a promise broke.
pub async fn run(options: SoakOptions) -> anyhow::Result<ExitCode> {
    let mut broken = 0;
    for seed in options.first..options.first + options.seeds {
        let report = play(seed, &options).await?;
        println!(
            "seed {seed}: {} requests, {:?}, {} engines ended under one",
            report.requests, report.statuses, report.crashes
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
    /// Lives of engines that one request ended, which came again and again.
    pub crashes: usize,
    /// Broken promises.
    pub findings: Vec<String>,
}

/// A request as its caller knows it.
#[derive(Debug, Clone)]
struct Issue {
    path: &'static str,
    key: &'static str,
    sent: Instant,
    /// The entry that it was sent to.
    entry: usize,
    /// When its answer was whole.
    answered: Option<Instant>,
    /// `None` while there is none, and for good where the caller left.
    answer: Option<Answer>,
}

/// An entry, its way to the store, and its life.
struct RunningEntry {
    process: RefCell<Process>,
    to_store: Relay,
    settings: PathBuf,
    callers: Cell<SocketAddr>,
    /// Whether the process is being ended and started again.
    restarting: Cell<bool>,
    /// Whether its machine is suspended.
    suspended: Cell<bool>,
    /// When its process was ended, started, frozen or suspended: what it had heard may be gone or late.
    disturbed: Troubles,
}

/// One engine behind its relay.
struct RelayedEngine {
    engine: Rc<Engine>,
    relay: Relay,
    /// When the way to it was harmed: its answers may not have come.
    harmed: Troubles,
    /// When the store was told that it leaves, or has left; `None` while it stays.
    left_at: Cell<Option<Instant>>,
}

/// One seed that is being played.
struct Soak {
    site: RefCell<Site>,
    entries: Vec<Rc<RunningEntry>>,
    engines: RefCell<Vec<RelayedEngine>>,
    /// Engines that left the list.
    gone: RefCell<Vec<RelayedEngine>>,
    /// Model engines with few places, whose ways nothing harms.
    models: Vec<Rc<Engine>>,
    /// The mixed pool, whose ways nothing harms.
    mixed: MixedPool,
    /// Whether one of the model engines is leaving.
    model_leaves: Rc<Cell<bool>>,
    /// When the store or the way to it was harmed, or the configuration changed.
    platform: Troubles,
    /// Attempts at model requests.
    model_calls: RefCell<HashMap<String, ModelCall>>,
    /// Attempts of callers that resume their streams.
    attempts: RefCell<Vec<Attempt>>,
    /// Requests by id.
    issues: RefCell<HashMap<String, Issue>>,
    /// Keys that were taken away, with the time of it.
    removed: RefCell<HashMap<&'static str, Instant>>,
    /// Broken promises that no single request shows.
    findings: RefCell<Vec<String>>,
    /// Whether callers are to stop.
    ended: Cell<bool>,
    engines_made: Cell<usize>,
}

/// Plays one seed. Where it breaks a promise, the lines of its processes are kept.
pub async fn play(seed: u64, options: &SoakOptions) -> anyhow::Result<Report> {
    let lines = KeptLines::start(seed)?;
    let report = play_faults(seed, options).await?;
    lines.close(!report.findings.is_empty())?;
    Ok(report)
}

async fn play_faults(seed: u64, options: &SoakOptions) -> anyhow::Result<Report> {
    let soak = Rc::new(Soak::start(options).await?);
    let mut callers = Vec::new();
    for i in 0..CALLERS {
        let rng = SmallRng::seed_from_u64(seed * 1_000 + i as u64);
        let calling = callers::call_on(Rc::clone(&soak), format!("c{i}"), &callers::PATHS, rng);
        callers.push(actix_rt::spawn(calling));
    }
    for i in 0..UNMARKED_CALLERS {
        let rng = SmallRng::seed_from_u64(seed * 1_000 + (CALLERS + i) as u64);
        let name = format!("u{i}");
        let calling = callers::call_on(Rc::clone(&soak), name, &callers::UNMARKED, rng);
        callers.push(actix_rt::spawn(calling));
    }
    let crashing = callers::crash_on(Rc::clone(&soak), SmallRng::seed_from_u64(seed + 500));
    callers.push(actix_rt::spawn(crashing));
    let reviving = Rc::clone(&soak).revive_engines(SmallRng::seed_from_u64(seed + 501));
    callers.push(actix_rt::spawn(reviving));
    let models = urgency::call_on(Rc::clone(&soak), SmallRng::seed_from_u64(seed + 502));
    callers.push(actix_rt::spawn(models));
    let until = Instant::now() + Duration::from_secs(options.seconds);
    let mixed = mixed::call_on(Rc::clone(&soak), SmallRng::seed_from_u64(seed + 503));
    callers.push(actix_rt::spawn(mixed));
    let flooding = SmallRng::seed_from_u64(seed + 504);
    let flooding = mixed::flood_on(Rc::clone(&soak), flooding, until);
    callers.push(actix_rt::spawn(flooding));
    for i in 0..resuming::CALLERS {
        let rng = SmallRng::seed_from_u64(seed + 600 + i as u64);
        let calling = resuming::call_on(Rc::clone(&soak), i, rng);
        callers.push(actix_rt::spawn(calling));
    }
    let sound = (0..parts::SOUND_CALLERS).map(Some);
    for (i, sound) in (700..).zip(std::iter::once(None).chain(sound)) {
        let rng = SmallRng::seed_from_u64(seed + i);
        let calling = parts::call_on(Rc::clone(&soak), sound, rng);
        callers.push(actix_rt::spawn(calling));
    }
    for i in 0..ENDLESS_CALLERS {
        let rng = SmallRng::seed_from_u64(seed + 1_000 + i as u64);
        let calling = endless::call_on(Rc::clone(&soak), i, rng);
        callers.push(actix_rt::spawn(calling));
    }
    let rng = SmallRng::seed_from_u64(seed + 1_300);
    let odd = callers::call_oddly(Rc::clone(&soak), rng);
    callers.push(actix_rt::spawn(odd));
    let answering = SmallRng::seed_from_u64(seed + 1_100);
    let answering = endless::answer_on(Rc::clone(&soak), answering, until);
    callers.push(actix_rt::spawn(answering));
    let bursts = SmallRng::seed_from_u64(seed + 1_200);
    let bursts = large::burst_on(Rc::clone(&soak), bursts, until);
    callers.push(actix_rt::spawn(bursts));
    let watching = large::watch_memory(Rc::clone(&soak));
    callers.push(actix_rt::spawn(watching));
    let ending = SmallRng::seed_from_u64(seed + 800);
    let ending = parts::end_engines(Rc::clone(&soak), options.end_pause, ending, until);
    callers.push(actix_rt::spawn(ending));
    let restoring = SmallRng::seed_from_u64(seed + 900);
    let restoring = restored::restore_on(Rc::clone(&soak), options.restore_pause, restoring, until);
    let restoring = actix_rt::spawn(restoring);
    let mut rng = SmallRng::seed_from_u64(seed);
    while Instant::now() < until {
        soak.fault(&mut rng).await?;
        sleep(Duration::from_millis(rng.gen_range(50..400))).await;
    }
    restoring.await?;
    soak.lift();
    if !options.keep_power {
        soak.lose_power(&mut rng);
    }
    soak.wait_restarts().await;
    soak.check_recovery().await;
    sleep(urgency::CALM).await;
    soak.ended.set(true);
    for caller in callers {
        caller.await?;
    }
    soak.check_idle().await;
    soak.check_endless().await;
    Ok(soak.report())
}

impl Soak {
    /// Starts all processes, which serve before any fault comes.
    async fn start(options: &SoakOptions) -> anyhow::Result<Self> {
        let ips: Vec<String> = (2..2 + options.entries)
            .map(|i| format!("127.0.0.{i}"))
            .collect();
        let names: Vec<&str> = ips.iter().map(String::as_str).collect();
        let (link, admin) = (site::common_port(&names), site::common_port(&names));
        let mut site = Site::start(0).await;
        site.kinds = [urgency::KINDS, mixed::KINDS].concat();
        site.max_body_bytes = large::MAX_BODY_BYTES;
        site.configure(&KEYS);
        let models = urgency::start_engines(&site).await?;
        let mixed = MixedPool::start(&site).await?;
        let seeds: Vec<String> = ips.iter().map(|ip| format!("{ip}:1")).collect();
        let seeds: Vec<&str> = seeds.iter().map(String::as_str).collect();
        let mut entries = Vec::new();
        for (i, ip) in names.iter().enumerate() {
            let settings = site.settings(ip, link, admin, &seeds);
            let path = site.settings_path(i);
            let entry = RunningEntry::start(site.store_address, settings, path).await?;
            entries.push(Rc::new(entry));
        }
        let soak = Self {
            site: RefCell::new(site),
            entries,
            engines: RefCell::default(),
            gone: RefCell::default(),
            models,
            mixed,
            model_leaves: Rc::default(),
            platform: Troubles::default(),
            model_calls: RefCell::default(),
            attempts: RefCell::default(),
            issues: RefCell::default(),
            removed: RefCell::default(),
            findings: RefCell::default(),
            ended: Cell::new(false),
            engines_made: Cell::new(0),
        };
        for _ in 0..options.engines {
            soak.add_engine().await?;
        }
        soak.write_foreign();
        soak.check_recovery().await;
        Ok(soak)
    }

    /// Starts an engine behind a relay and lists it.
    async fn add_engine(&self) -> anyhow::Result<()> {
        let number = self.engines_made.get();
        self.engines_made.set(number + 1);
        let engine = Engine::start(&format!("i-{number}")).await?;
        engine.version.set(resuming::version(number));
        engine.set_crashing_part(Some(parts::CRASHING));
        let relay = Relay::start(engine.address).await?;
        self.site
            .borrow()
            .store
            .list_at(&engine, relay.addr, "s1", "ready");
        actix_rt::spawn(follow_engine(Rc::clone(&engine), relay.clone()));
        let added = RelayedEngine {
            engine,
            relay,
            harmed: Troubles::default(),
            left_at: Cell::default(),
        };
        self.engines.borrow_mut().push(added);
        Ok(())
    }

    /// Every entry serves a request within [`RECOVERY`].
    async fn check_recovery(&self) {
        let until = Instant::now() + RECOVERY;
        for (i, entry) in self.entries.iter().enumerate() {
            loop {
                let id = format!("check-{i}-{}", rand::random::<u32>());
                let request = site::request("/safe/ok", &id, "k1");
                let answer = timeout(PATIENCE, site::exchange(entry.callers.get(), &request)).await;
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
}

/// Keeps a relay as its engine is: nothing listens, and connections end, when that has ended.
async fn follow_engine(engine: Rc<Engine>, relay: Relay) {
    loop {
        engine.changes().await;
        relay.listen(!engine.is_down());
        if engine.is_down() {
            relay.cut();
        }
    }
}

impl RunningEntry {
    /// Starts an entry that reaches the store through a relay.
    async fn start(store: SocketAddr, mut settings: Value, path: PathBuf) -> anyhow::Result<Self> {
        let to_store = Relay::start(store).await?;
        settings["store"] = json!(to_store.addr.to_string());
        std::fs::write(&path, settings.to_string())?;
        let process = site::start_entry(&path);
        let callers = Cell::new(process.addr("callers"));
        Ok(Self {
            process: RefCell::new(process),
            to_store,
            settings: path,
            callers,
            restarting: Cell::new(false),
            suspended: Cell::new(false),
            disturbed: Troubles::default(),
        })
    }
}
