//! Measures slopes of processes: memory and processor time against state, requests and tokens.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use serde_json::json;
use tokio::time::sleep;
use violetline::bundle::hash_key;
use violetline::members::{Instance, LifeState, Members, Role};

use crate::client::{Caller, Chat, End};
use crate::engine::EngineSettings;
use crate::fleet::{Fleet, FleetSpec};
use crate::process::Process;
use crate::usage;

/// Time over which an idle process is watched.
const IDLE: Duration = Duration::from_secs(8);
/// Time for processes to settle.
const SETTLE: Duration = Duration::from_secs(2);
const KIB: u64 = 1_024;
/// Tokens of each answer where tokens come one at a time.
const PACED_TOKENS: u64 = 400;

/// What to measure.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(capacity_options))]
pub struct CapacityOptions {
    /// Binary of an earlier version of this crate, to compare the path with
    #[bpaf(argument("FILE"), optional)]
    pub previous: Option<PathBuf>,
    /// Only this part: state, streams, work, paced, quiet or path
    #[bpaf(argument("PART"), optional)]
    pub only: Option<String>,
    /// Requests of each measured batch
    #[bpaf(argument("N"), fallback(3000))]
    pub requests: usize,
}

/// Measures everything and prints tables.
pub async fn run(options: CapacityOptions) -> anyhow::Result<ExitCode> {
    let wanted = |part: &str| options.only.as_deref().is_none_or(|only| only == part);
    if wanted("state") {
        state_slopes().await?;
    }
    if wanted("streams") {
        stream_slopes().await?;
    }
    if wanted("work") {
        work_slopes(options.requests).await?;
    }
    if wanted("paced") {
        paced_slopes().await?;
    }
    if wanted("quiet") {
        quiet_links(&options).await?;
    }
    if wanted("path") {
        path(&options).await?;
    }
    Ok(ExitCode::SUCCESS)
}

fn chat(id: String, tokens: u64) -> Chat {
    Chat {
        id,
        bearer: "demo-beam-ops".into(),
        class: "batch".into(),
        model: "violet-1".into(),
        prompt: "measure".into(),
        tokens,
        stream: true,
        headers: Vec::new(),
    }
}

/// A deployment without limits that get in the way of a measurement.
fn open_spec(models: u32) -> anyhow::Result<FleetSpec> {
    let mut spec = FleetSpec::small(models, 1)?;
    spec.forget_new_fields();
    spec.entries = 1;
    spec.engine = EngineSettings {
        slots: 1_000,
        token_us: 1,
        batch_us: 0,
        ..spec.engine
    };
    spec.bundle["pools"][0]["slots"] = json!(1_000);
    for team in spec.bundle["teams"].as_array_mut().into_iter().flatten() {
        team["requests_per_s"] = json!(0);
        team["tokens_per_s"] = json!(0);
    }
    Ok(spec)
}

/// Idle memory and processor time of an entry and a sidecar against instances and teams.
async fn state_slopes() -> anyhow::Result<()> {
    println!("\n### Idle processes against state\n");
    println!(
        "| instances listed | teams | entry KiB | entry CPU % | sidecar KiB | sidecar CPU % |"
    );
    println!("|---|---|---|---|---|---|");
    for (instances, teams) in [
        (100, 10),
        (1_000, 10),
        (4_000, 10),
        (100, 200),
        (100, 800),
        (4_000, 800),
    ] {
        let mut spec = open_spec(1)?;
        let list = spec.bundle["teams"]
            .as_array_mut()
            .expect("teams are a list");
        for n in list.len()..teams {
            let hash = hash_key(&format!("extra-{n}"));
            list.push(
                json!({ "name": format!("extra-{n}"), "key_hashes": [hash], "classes": ["batch"] }),
            );
        }
        let mut fleet = Fleet::start(spec).await?;
        list_strangers(&mut fleet, instances).await?;
        sleep(SETTLE).await;
        let pids = [fleet.entries[0].process.id(), fleet.slots[0].sidecar.id()];
        let before = pids.map(usage::cpu);
        sleep(IDLE).await;
        let after = pids.map(usage::cpu);
        let percent =
            |at: usize| (after[at] - before[at]).as_secs_f64() / IDLE.as_secs_f64() * 100.0;
        println!(
            "| {instances} | {teams} | {} | {:.2} | {} | {:.2} |",
            usage::resident(pids[0]) / KIB,
            percent(0),
            usage::resident(pids[1]) / KIB,
            percent(1)
        );
        fleet.close();
    }
    Ok(())
}

/// Adds instances of another region to the list; they are known and not called.
async fn list_strangers(fleet: &mut Fleet, count: usize) -> anyhow::Result<()> {
    let addr: SocketAddr = "127.0.0.1:9".parse()?;
    let mut instances = fleet.members().instances;
    for n in instances.len()..count {
        instances.push(Instance {
            id: format!("stranger-{n}"),
            role: Role::Sidecar,
            addr,
            zone: format!("zone-{}", n % 12),
            region: "elsewhere".into(),
            state: LifeState::Live,
            pool: format!("pool-{}", n % 21),
            ordinal: n as u32,
            software_version: String::new(),
        });
    }
    fleet.revision += 1;
    let text = serde_json::to_string(&Members::new(fleet.revision, instances))?;
    fleet
        .caller
        .send(fleet.platform.addr("listen"), "/lab/members", text)
        .await?;
    fleet.members_reached(fleet.revision).await
}

/// Memory against open streams and against waiting requests.
async fn stream_slopes() -> anyhow::Result<()> {
    println!("\n### Memory against open streams and waiting requests\n");
    println!("| open streams | waiting | entry KiB | sidecar KiB |");
    println!("|---|---|---|---|");
    for (open, waiting) in [
        (0, 0),
        (100, 0),
        (200, 0),
        (400, 0),
        (1, 100),
        (1, 200),
        (1, 400),
    ] {
        let mut spec = open_spec(1)?;
        spec.engine.token_us = 50_000;
        spec.bundle["pools"][0]["slots"] = json!(if waiting > 0 { 1 } else { 1_000 });
        spec.bundle["pools"][0]["reserved_slots"] = json!(0);
        let fleet = Fleet::start(spec).await?;
        let entry = fleet.callers(0);
        let tasks: Vec<_> = (0..open + waiting)
            .map(|n| {
                let caller = Caller::default();
                actix_rt::spawn(
                    async move { caller.chat(entry, &chat(format!("m{n}"), 100_000)).await },
                )
            })
            .collect();
        sleep(SETTLE * 2).await;
        println!(
            "| {open} | {waiting} | {} | {} |",
            usage::resident(fleet.entries[0].process.id()) / KIB,
            usage::resident(fleet.slots[0].sidecar.id()) / KIB
        );
        for task in tasks {
            task.abort();
        }
        fleet.close();
    }
    Ok(())
}

/// Processor time against requests and against tokens.
async fn work_slopes(requests: usize) -> anyhow::Result<()> {
    println!("\n### Processor time against requests and tokens\n");
    println!("| requests | tokens each | entry us a request | sidecar us a request |");
    println!("|---|---|---|---|");
    for tokens in [1, 50, 200] {
        let fleet = Fleet::start(open_spec(1)?).await?;
        let pids = [fleet.entries[0].process.id(), fleet.slots[0].sidecar.id()];
        let before = pids.map(usage::cpu);
        let count = requests / if tokens > 1 { 3 } else { 1 };
        closed_loop(fleet.callers(0), count, tokens, 16).await?;
        let used = pids.map(usage::cpu);
        let each = |at: usize| (used[at] - before[at]).as_micros() as f64 / count as f64;
        println!("| {count} | {tokens} | {:.0} | {:.0} |", each(0), each(1));
        fleet.close();
    }
    Ok(())
}

/// Processor time against tokens that come one at a time, as from a real engine.
async fn paced_slopes() -> anyhow::Result<()> {
    println!("\n### Processor time against single tokens (one every 5 ms in each stream)\n");
    println!("| streams at a time | tokens in all | entry us a token | sidecar us a token |");
    println!("|---|---|---|---|");
    for callers in [20, 60, 120] {
        let mut spec = open_spec(1)?;
        spec.engine.token_us = 5_000;
        let fleet = Fleet::start(spec).await?;
        let pids = [fleet.entries[0].process.id(), fleet.slots[0].sidecar.id()];
        let before = pids.map(usage::cpu);
        closed_loop(fleet.callers(0), callers * 2, PACED_TOKENS, callers).await?;
        let used = pids.map(usage::cpu);
        let tokens = callers as u64 * 2 * PACED_TOKENS;
        let each = |at: usize| (used[at] - before[at]).as_micros() as f64 / tokens as f64;
        println!("| {callers} | {tokens} | {:.1} | {:.1} |", each(0), each(1));
        fleet.close();
    }
    Ok(())
}

/// Loopback bytes of a deployment that has served requests and is quiet now.
async fn quiet_links(options: &CapacityOptions) -> anyhow::Result<()> {
    println!("\n### Control bytes of a quiet deployment whose entries hold links\n");
    println!("| version | sidecars | entries | links | loopback bytes/s in all | an entry KiB |");
    println!("|---|---|---|---|---|---|");
    for places in [3, 9, 18] {
        quiet_row("violetline", places, None).await?;
        if options.previous.is_some() {
            quiet_row("first version", places, options.previous.clone()).await?;
        }
    }
    Ok(())
}

async fn quiet_row(name: &str, places: u32, product: Option<PathBuf>) -> anyhow::Result<()> {
    let mut spec = open_spec(places)?;
    spec.entries = 3;
    spec.product = product;
    let fleet = Fleet::start(spec).await?;
    for at in 0..fleet.entries.len() {
        closed_loop(fleet.callers(at), 300, 1, 10).await?;
    }
    sleep(SETTLE).await;
    let before = usage::loopback_bytes();
    sleep(IDLE).await;
    let bytes = (usage::loopback_bytes() - before) as f64 / IDLE.as_secs_f64();
    let mut links = 0;
    for entry in &fleet.entries {
        let state = fleet
            .caller
            .get(entry.process.addr("admin"), "/v1/state")
            .await?;
        links += state["links"].as_u64().unwrap_or_default();
    }
    let memory = usage::resident(fleet.entries[0].process.id()) / KIB;
    println!(
        "| {name} | {} | 3 | {links} | {bytes:.0} | {memory} |",
        places + 1
    );
    fleet.close();
    Ok(())
}

/// Sends requests with some callers at a time; the times of all, in order of length.
async fn closed_loop(
    target: SocketAddr,
    count: usize,
    tokens: u64,
    callers: usize,
) -> anyhow::Result<Vec<Duration>> {
    let mut tasks = Vec::new();
    for at in 0..callers {
        tasks.push(actix_rt::spawn(async move {
            let caller = Caller::default();
            let mut times = Vec::new();
            for n in 0..count / callers {
                let reply = caller
                    .chat(target, &chat(format!("c{at}-{n}"), tokens))
                    .await;
                anyhow::ensure!(
                    reply.end == End::Complete,
                    "a request ended as {:?}",
                    reply.end
                );
                times.push(reply.total);
            }
            Ok(times)
        }));
    }
    let mut all = Vec::new();
    for task in tasks {
        all.extend(task.await??);
    }
    all.sort();
    Ok(all)
}

/// The whole path against a direct call to the engine, and against an earlier version.
async fn path(options: &CapacityOptions) -> anyhow::Result<()> {
    println!("\n### The path against a direct call (one token, side by side in one run)\n");
    println!("| | one caller p50 us | p99 us | 16 callers requests/s | requests/s per core of entry and sidecar |");
    println!("|---|---|---|---|---|");
    let spec = open_spec(1)?;
    let settings = serde_json::to_string(&spec.engine)?;
    let engine = Process::start(&["engine", "--settings", &settings])?;
    path_row("direct call", engine.addr("listen"), &[], options.requests).await?;
    let fleet = Fleet::start(spec).await?;
    let pids = [fleet.entries[0].process.id(), fleet.slots[0].sidecar.id()];
    path_row("violetline", fleet.callers(0), &pids, options.requests).await?;
    fleet.close();
    if let Some(previous) = &options.previous {
        let mut spec = open_spec(1)?;
        spec.product = Some(previous.clone());
        let fleet = Fleet::start(spec).await?;
        let pids = [fleet.entries[0].process.id(), fleet.slots[0].sidecar.id()];
        path_row("first version", fleet.callers(0), &pids, options.requests).await?;
        fleet.close();
    }
    Ok(())
}

async fn path_row(
    name: &str,
    target: SocketAddr,
    pids: &[u32],
    requests: usize,
) -> anyhow::Result<()> {
    let single = closed_loop(target, requests / 3, 1, 1).await?;
    let cpu = || pids.iter().map(|pid| usage::cpu(*pid)).sum::<Duration>();
    let (before, began) = (cpu(), Instant::now());
    let many = closed_loop(target, requests, 1, 16).await?;
    let (used, took) = (cpu() - before, began.elapsed());
    let per_core = if pids.is_empty() {
        "-".to_owned()
    } else {
        format!("{:.0}", many.len() as f64 / used.as_secs_f64())
    };
    println!(
        "| {name} | {} | {} | {:.0} | {per_core} |",
        single[single.len() / 2].as_micros(),
        single[single.len() * 99 / 100].as_micros(),
        many.len() as f64 / took.as_secs_f64()
    );
    Ok(())
}
