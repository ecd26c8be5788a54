//! Seeded failure runs: random faults under load, then a count of broken promises.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::time::sleep;

use crate::client::{key, Call, Caller, Chat, End};
use crate::fleet::{Fleet, FleetSpec};

/// Requests that may run only once in one run.
const CALLS: usize = 24;
/// Streams in one run.
const STREAMS: usize = 12;
/// Attempts of a caller that hears "outcome unknown", with the same key.
const ATTEMPTS: usize = 4;
/// Time over which a run's requests are spread.
const SPAN: Duration = Duration::from_millis(1_500);
/// Longest answer of a stream.
const MAX_TOKENS: u64 = 300;

/// How many failure runs.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(chaos_options))]
pub struct ChaosOptions {
    /// Failure runs
    #[bpaf(argument("N"), fallback(100))]
    pub runs: u64,
    /// Seed of the first run
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
}

/// A fault at a random moment.
#[derive(Debug, Clone, Copy)]
enum Fault {
    KillSidecar(usize),
    FreezeSidecar(usize),
    CutLinks(usize),
    FreezeEntry(usize),
    KillEngine(usize),
    CutAnswers(usize),
    PlatformDown,
    PlatformStale,
}

/// What came of all runs.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    requests: u64,
    complete: u64,
    not_run: u64,
    unknown: u64,
    failed: u64,
    double_runs: u64,
    false_not_run: u64,
    wrong_answers: u64,
}

/// What one caller was told at the end.
#[derive(Debug, Clone)]
struct Told {
    id: String,
    once: bool,
    end: End,
}

/// Runs the failures and prints the count; fails when a promise broke.
pub async fn run(options: ChaosOptions) -> anyhow::Result<ExitCode> {
    let mut tally = Tally::default();
    for seed in options.seed..options.seed + options.runs {
        let (fault, told, runs) = one_run(seed).await?;
        let before = tally;
        for (told, runs) in told.iter().zip(&runs) {
            tally.add(told, *runs);
        }
        if tally.broken() > before.broken() {
            println!("seed {seed}: broken under {fault:?}");
        }
    }
    println!("{} seeded failure runs: {tally:?}", options.runs);
    Ok(if tally.broken() == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

impl Tally {
    fn add(&mut self, told: &Told, runs: u64) {
        self.requests += 1;
        self.double_runs += u64::from(told.once && runs > 1);
        match &told.end {
            End::Complete => self.complete += 1,
            End::Wrong => self.wrong_answers += 1,
            End::Refused(kind, _) if kind == "not_run" => {
                self.not_run += 1;
                self.false_not_run += u64::from(runs > 0);
            }
            End::Refused(kind, _) if kind == "outcome_unknown" => self.unknown += 1,
            End::Refused(..) | End::Cut | End::NoAnswer => self.failed += 1,
        }
    }

    const fn broken(&self) -> u64 {
        self.double_runs + self.false_not_run + self.wrong_answers
    }
}

async fn one_run(seed: u64) -> anyhow::Result<(Vec<Fault>, Vec<Told>, Vec<u64>)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut spec = FleetSpec::small(2, 3)?;
    spec.bundle["limits"] = json!({ "clock_skew_ms": 50, "grant_ms": 300 });
    spec.relays = true;
    spec.plain.service_ms = 40;
    let mut fleet = Fleet::start(spec).await?;
    let tasks = spawn_requests(&fleet, seed, &mut rng);
    let faults = draw_faults(&fleet, &mut rng);
    for fault in &faults {
        sleep(SPAN.mul_f64(rng.gen_range(0.1..0.5))).await;
        strike(&mut fleet, *fault).await?;
    }
    let mut told = Vec::new();
    for task in tasks {
        told.push(task.await?);
    }
    let mut runs = Vec::new();
    for told in &told {
        runs.push(fleet.runs(&told.id).await);
    }
    fleet.close();
    Ok((faults, told, runs))
}

fn spawn_requests(
    fleet: &Fleet,
    seed: u64,
    rng: &mut SmallRng,
) -> Vec<actix_rt::task::JoinHandle<Told>> {
    let entries: Vec<_> = (0..fleet.entries.len())
        .map(|at| fleet.callers(at))
        .collect();
    let mut tasks = Vec::new();
    for n in 0..CALLS + STREAMS {
        let id = format!("{seed}-{n}");
        let after = SPAN.mul_f64(rng.gen_range(0.0..1.0));
        let first = rng.gen_range(0..entries.len());
        let tokens = rng.gen_range(1..MAX_TOKENS);
        let entries = entries.clone();
        tasks.push(actix_rt::spawn(async move {
            sleep(after).await;
            if n < CALLS {
                call_until_known(&entries, first, id).await
            } else {
                stream_once(entries[first], id, tokens).await
            }
        }));
    }
    tasks
}

/// A caller that repeats its key at another entry while the outcome is unknown.
async fn call_until_known(entries: &[std::net::SocketAddr], first: usize, id: String) -> Told {
    let call = Call {
        id: id.clone(),
        bearer: "demo-beam-ops".into(),
        class: "lookup".into(),
        pool: "crate-api".into(),
        headers: vec![("idempotency-key".into(), key())],
    };
    let mut end = End::NoAnswer;
    for attempt in 0..ATTEMPTS {
        let entry = entries[(first + attempt) % entries.len()];
        end = Caller::default().call(entry, &call).await.end;
        let unknown = matches!(&end, End::Refused(kind, _) if kind == "outcome_unknown");
        if !unknown && !matches!(end, End::NoAnswer | End::Cut) {
            break;
        }
        sleep(Duration::from_millis(250)).await;
    }
    Told {
        id,
        once: true,
        end,
    }
}

async fn stream_once(entry: std::net::SocketAddr, id: String, tokens: u64) -> Told {
    let chat = Chat {
        id: id.clone(),
        bearer: "demo-beam-ops".into(),
        class: "summary".into(),
        model: "violet-1".into(),
        prompt: format!("prompt of {id}"),
        tokens,
        stream: true,
        headers: Vec::new(),
    };
    let end = Caller::default().chat(entry, &chat).await.end;
    Told {
        id,
        once: false,
        end,
    }
}

fn draw_faults(fleet: &Fleet, rng: &mut SmallRng) -> Vec<Fault> {
    let count = rng.gen_range(1..=3);
    let draw = |rng: &mut SmallRng| {
        let slot = rng.gen_range(0..fleet.slots.len());
        match rng.gen_range(0..8) {
            0 => Fault::KillSidecar(slot),
            1 => Fault::FreezeSidecar(slot),
            2 => Fault::CutLinks(slot),
            3 => Fault::FreezeEntry(rng.gen_range(0..fleet.entries.len())),
            4 => Fault::KillEngine(rng.gen_range(0..2)),
            5 => Fault::CutAnswers(slot),
            6 => Fault::PlatformDown,
            _ => Fault::PlatformStale,
        }
    };
    (0..count).map(|_| draw(rng)).collect()
}

async fn strike(fleet: &mut Fleet, fault: Fault) -> anyhow::Result<()> {
    let pause = Duration::from_millis(600);
    match fault {
        Fault::KillSidecar(at) => {
            fleet.slots[at].sidecar.kill();
            fleet.restart_sidecar(at)?;
        }
        Fault::FreezeSidecar(at) => {
            fleet.slots[at].sidecar.freeze();
            sleep(pause).await;
            fleet.slots[at].sidecar.thaw();
        }
        Fault::CutLinks(at) => {
            if let Some(relay) = &fleet.slots[at].relay {
                relay.cut();
            }
        }
        Fault::FreezeEntry(at) => {
            fleet.entries[at].process.freeze();
            sleep(pause).await;
            fleet.entries[at].process.thaw();
        }
        Fault::KillEngine(at) => fleet.slots[at].endpoint.kill(),
        Fault::CutAnswers(at) => {
            if let Some(relay) = &fleet.slots[at].relay {
                relay.swallow_answers(true);
                sleep(pause).await;
                relay.swallow_answers(false);
                relay.cut();
            }
        }
        Fault::PlatformDown => {
            fleet
                .fault(&fleet.platform, json!({ "down": true }))
                .await?
        }
        Fault::PlatformStale => {
            fleet
                .fault(&fleet.platform, json!({ "stale": true }))
                .await?
        }
    }
    Ok(())
}
