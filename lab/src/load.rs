//! The load tool: an open loop of seeded arrivals in all classes, judged by promises and targets.

use std::net::SocketAddr;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep_until, Instant};

use crate::client::{key, Call, Caller, Chat, End, Reply};

/// Spread of answer lengths: the logarithm's standard deviation.
const LENGTH_SPREAD: f64 = 0.8;
/// Longest answer, in times the mean.
const LENGTH_MOST: f64 = 6.0;
/// Share of prompts that start with a well-known prefix.
const SHARED_PREFIX: f64 = 0.5;
/// Bytes of a long prompt per token.
const BYTES_PER_TOKEN: usize = 4;

/// What a stream of requests calls.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Work {
    /// A model, with mean lengths of prompt and answer in tokens.
    Chat {
        /// Model.
        model: String,
        /// Mean length of the prompt.
        prompt: u64,
        /// Mean length of the answer.
        answer: u64,
    },
    /// A plain service.
    Plain {
        /// Pool.
        pool: String,
    },
}

/// One stream of requests.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Flow {
    /// Class asked for.
    pub class: String,
    /// Target for the first token, or for the whole of a plain call, in ms.
    pub target_ms: u64,
    /// Requests a second.
    pub per_s: f64,
    /// Teams and their parts of the stream.
    pub teams: Vec<(String, f64)>,
    /// What is called.
    pub work: Work,
    /// From when to when, as parts of the whole time.
    pub during: (f64, f64),
}

/// One request and what came of it.
#[derive(Debug, Clone)]
pub struct Record {
    /// Class.
    pub class: String,
    /// Team.
    pub team: String,
    /// Name by which endpoints count it.
    pub id: String,
    /// Whether it may run only once.
    pub once: bool,
    /// Whether its answer came within the target.
    pub in_target: bool,
    /// Tokens that it asks for.
    pub wanted: u64,
    /// When it was sent.
    pub sent: Duration,
    /// What came.
    pub reply: Reply,
}

#[derive(Debug, Clone)]
struct Arrival {
    at: Duration,
    flow: usize,
    team: String,
    prompt: u64,
    answer: u64,
    shared: bool,
    entry: usize,
}

/// Sends the flows for a while and returns every request's record.
pub async fn run(entries: &[SocketAddr], flows: &[Flow], seed: u64, time: Duration) -> Vec<Record> {
    let caller = Caller::default();
    let began = Instant::now();
    let mut tasks = Vec::new();
    for (n, arrival) in arrivals(flows, seed, time, entries.len())
        .into_iter()
        .enumerate()
    {
        sleep_until(began + arrival.at).await;
        let flow = flows[arrival.flow].clone();
        let id = format!("{seed}-{n}");
        let entry = entries[arrival.entry];
        tasks.push(actix_rt::spawn(send(
            caller.clone(),
            entry,
            flow,
            arrival,
            id,
        )));
    }
    let mut records = Vec::new();
    for task in tasks {
        records.extend(task.await);
    }
    records
}

/// Poisson arrivals of all flows in order of time; the same for the same seed.
fn arrivals(flows: &[Flow], seed: u64, time: Duration, entries: usize) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (at, flow) in flows.iter().enumerate() {
        let mut rng = SmallRng::seed_from_u64(seed.wrapping_mul(31).wrapping_add(at as u64));
        let mut now = time.mul_f64(flow.during.0);
        loop {
            let gap = -rng.gen_range(f64::MIN_POSITIVE..1.0).ln() / flow.per_s.max(1e-9);
            now += Duration::from_secs_f64(gap);
            if now >= time.mul_f64(flow.during.1) {
                break;
            }
            let (prompt, answer) = lengths(flow, &mut rng);
            all.push(Arrival {
                at: now,
                flow: at,
                team: pick_team(flow, &mut rng),
                prompt,
                answer,
                shared: rng.gen_bool(SHARED_PREFIX),
                entry: rng.gen_range(0..entries),
            });
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn lengths(flow: &Flow, rng: &mut SmallRng) -> (u64, u64) {
    match &flow.work {
        Work::Plain { .. } => (0, 0),
        Work::Chat { prompt, answer, .. } => {
            let mut spread = |mean: u64| {
                let normal: f64 = (0..12).map(|_| rng.gen_range(0.0..1.0)).sum::<f64>() - 6.0;
                let scale = (normal * LENGTH_SPREAD - LENGTH_SPREAD.powi(2) / 2.0).exp();
                (mean as f64 * scale.min(LENGTH_MOST)).max(1.0) as u64
            };
            (spread(*prompt), spread(*answer))
        }
    }
}

fn pick_team(flow: &Flow, rng: &mut SmallRng) -> String {
    let sum: f64 = flow.teams.iter().map(|(_, part)| part).sum();
    let mut at = rng.gen_range(0.0..sum);
    for (team, part) in &flow.teams {
        at -= part;
        if at <= 0.0 {
            return team.clone();
        }
    }
    flow.teams[0].0.clone()
}

async fn send(
    caller: Caller,
    entry: SocketAddr,
    flow: Flow,
    arrival: Arrival,
    id: String,
) -> Record {
    let bearer = format!("demo-{}", arrival.team);
    let class = flow.class.clone();
    let (reply, once) = match flow.work {
        Work::Chat { model, .. } => {
            let prompt = prompt(&id, &arrival);
            let chat = Chat {
                id: id.clone(),
                bearer,
                class,
                model,
                prompt,
                tokens: arrival.answer,
                stream: true,
                headers: Vec::new(),
            };
            (caller.chat(entry, &chat).await, false)
        }
        Work::Plain { pool } => {
            let headers = vec![("idempotency-key".to_owned(), key())];
            let call = Call {
                id: id.clone(),
                bearer,
                class,
                pool,
                headers,
            };
            (caller.call(entry, &call).await, true)
        }
    };
    let target = Duration::from_millis(flow.target_ms);
    let in_target = reply.end == End::Complete && reply.first <= target;
    Record {
        class: flow.class,
        team: arrival.team,
        id,
        once,
        in_target,
        wanted: arrival.answer,
        sent: arrival.at,
        reply,
    }
}

fn prompt(id: &str, arrival: &Arrival) -> String {
    let prefix = if arrival.shared {
        "shared by ".to_owned() + &arrival.team
    } else {
        id.into()
    };
    let filler = "x".repeat(arrival.prompt as usize * BYTES_PER_TOKEN);
    format!("{prefix}\n{id}\n{filler}")
}
