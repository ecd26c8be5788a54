//! An experiment: two kinds of model requests, of which the less urgent bursts beyond what the engines take. Real entries
//! as processes, stand-in engines with few places, callers that come back as they are told.

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use bpaf::Bpaf;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::site::{self, Answer, ModelKind, Site};
use crate::standin::{Room, WhenFull};
use crate::tiers::{self, Asked, Span};

/// The urgent kind: short prompts, long answers, one attempt.
pub const URGENT: ModelKind = ModelKind {
    name: "urgent",
    service: "s1",
    priority: 0,
    attempts: 1,
    prompt_tokens: 800,
    answer_tokens: 300,
    target_ms: 600,
    patience_ms: 6_000,
};
/// The less urgent kind: long prompts, short answers, a second attempt.
pub const LATER: ModelKind = ModelKind {
    name: "later",
    service: "s1",
    priority: 1,
    attempts: 2,
    prompt_tokens: 9_200,
    answer_tokens: 50,
    target_ms: 600,
    patience_ms: 4_000,
};
/// Time that an engine works on an urgent request, and on a less urgent one, in seconds.
const WORK_S: [f64; 2] = [0.62, 0.33];
/// Part of the slots that the less urgent kind takes before and after its burst.
const LATER_CALM: f64 = 0.3;
/// Time before the burst.
const CALM: Duration = Duration::from_secs(2);
/// Time beyond its patience after which a caller leaves.
const SLACK: Duration = Duration::from_millis(200);
/// Part of the time left up to which a caller waits as it is told.
const WAITS: f64 = 1.0 / 3.0;
/// Exponent by which callers gather at the first entries.
const SKEW: f64 = 1.5;
/// Time for an engine that leaves to serve on, after its list entry says so.
const SERVES_ON: Duration = Duration::from_millis(1_500);

/// Options of the experiment.
#[derive(Debug, Clone, Copy, Bpaf)]
#[bpaf(generate(urgency_options))]
pub struct UrgencyOptions {
    /// Entries
    #[bpaf(argument("N"), fallback(3))]
    pub entries: u8,
    /// Engines
    #[bpaf(argument("N"), fallback(6))]
    pub engines: usize,
    /// Requests that an engine works on at once
    #[bpaf(argument("N"), fallback(8))]
    pub slots: usize,
    /// Requests that wait there besides
    #[bpaf(argument("N"), fallback(4))]
    pub queue: usize,
    /// Whether an engine puts out less urgent ones that wait when it is full, instead of turning all away alike
    pub puts_out: bool,
    /// Part of the slots that urgent requests need
    #[bpaf(argument("PART"), fallback(0.25))]
    pub urgent: f64,
    /// Part of the slots that less urgent ones would need in the burst
    #[bpaf(argument("PART"), fallback(2.0))]
    pub burst: f64,
    /// Seconds of the burst
    #[bpaf(argument("S"), fallback(8))]
    pub seconds: u64,
    /// Engines that leave as planned, one after the other, in the burst
    #[bpaf(argument("N"), fallback(0))]
    pub leaving: usize,
    /// Seed
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Plays, with seeds that rise
    #[bpaf(argument("N"), fallback(1))]
    pub plays: u64,
}

/// What became of one kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct KindSeen {
    /// Attempts of callers.
    pub asked: usize,
    /// Those that were served.
    pub served: usize,
    /// Those that were turned away with 503.
    pub turned_away: usize,
    /// Those whose first event came within the target.
    pub in_time: usize,
}

/// What a play brought.
#[derive(Debug, Clone)]
pub struct Seen {
    /// The urgent kind.
    pub urgent: KindSeen,
    /// The less urgent kind.
    pub later: KindSeen,
    /// The worst span of the urgent kind: of all that break the rule, else of all whole ones.
    pub worst: Span,
    /// Requests that engines turned away, urgent and less urgent.
    pub refused_by_engines: [usize; 2],
}

/// Plays the experiment; code 1 when a rule on urgency broke.
pub async fn run(options: UrgencyOptions) -> anyhow::Result<ExitCode> {
    let mut broken = 0;
    for seed in options.seed..options.seed + options.plays {
        let seen = play(UrgencyOptions { seed, ..options }).await;
        println!("{}", line(seed, &seen));
        broken += u64::from(seen.worst.is_broken());
    }
    println!("{broken} of {} plays broke the rule", options.plays);
    Ok(match broken {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    })
}

fn line(seed: u64, seen: &Seen) -> String {
    let worst = &seen.worst;
    let kind = |kind: &KindSeen| {
        format!(
            "{} of {} served, {} in time, {} turned away",
            kind.served, kind.asked, kind.in_time, kind.turned_away
        )
    };
    format!(
        "seed {seed}: worst 5 s {} of {} urgent got nothing ({:.1}%), {} less urgent began ({} tokens); urgent {}; \
         less urgent {}; turned away by engines {} urgent, {} less urgent",
        worst.nothing,
        worst.asked,
        worst.part() * 100.0,
        worst.less_urgent,
        worst.less_urgent_tokens,
        kind(&seen.urgent),
        kind(&seen.later),
        seen.refused_by_engines[0],
        seen.refused_by_engines[1],
    )
}

/// Plays one seed.
pub async fn play(options: UrgencyOptions) -> Seen {
    let site = Rc::new(start(options).await);
    let begun = Instant::now();
    let calls: Vec<_> = plan(options)
        .into_iter()
        .map(|call| actix_rt::spawn(make(Rc::clone(&site), call, begun)))
        .collect();
    let leaving = actix_rt::spawn(leave(Rc::clone(&site), options, begun));
    let mut seen = Vec::new();
    for call in calls {
        // A task of the lab only ends early by a panic, which is to show.
        seen.extend(
            call.await
                .unwrap_or_else(|err| panic!("a caller failed: {err}")),
        );
    }
    leaving.abort();
    let end = begun + CALM * 2 + Duration::from_secs(options.seconds);
    look(&site, &seen, end)
}

/// The site with all entries ready.
async fn start(options: UrgencyOptions) -> Site {
    let mut site = Site::start(0).await;
    site.kinds = vec![URGENT, LATER];
    site.zones = vec!["hall-a", "hall-b", "hall-c"];
    site.engine_shape = Some(json!({"slots": options.slots, "kv_capacity": 300_000}));
    site.configure(&["k1"]);
    let room = Room {
        slots: options.slots,
        queue: options.queue,
        memory_tokens: 300_000,
        when_full: match options.puts_out {
            true => WhenFull::PutsOut,
            false => WhenFull::TurnsAway,
        },
    };
    site.add_engines(options.engines, room).await;
    site.add_entries(options.entries).await;
    site
}

/// One call of a caller.
#[derive(Debug, Clone, Copy)]
struct Call {
    kind: ModelKind,
    number: usize,
    after: Duration,
    /// The entries that it is sent to first, and when it comes back.
    entries: [usize; 2],
}

/// All calls of a play.
fn plan(options: UrgencyOptions) -> Vec<Call> {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let slots = (options.slots * options.engines) as f64;
    let burst = Duration::from_secs(options.seconds);
    let end = CALM + burst + CALM;
    let mut calls = Vec::new();
    for (kind, work_s) in [URGENT, LATER].into_iter().zip(WORK_S) {
        let mut after = Duration::ZERO;
        while after < end {
            let bursts = after >= CALM && after < CALM + burst;
            let part = match kind.priority {
                0 => options.urgent,
                _ if bursts => options.burst,
                _ => LATER_CALM,
            };
            let per_s = part * slots / work_s;
            after += Duration::from_secs_f64(-rng.gen::<f64>().max(1e-9).ln() / per_s);
            let mut entry = || {
                let drawn = rng.gen::<f64>().powf(SKEW);
                (drawn * f64::from(options.entries)) as usize
            };
            calls.push(Call {
                kind,
                number: calls.len(),
                after,
                entries: [entry(), entry()],
            });
        }
    }
    calls
}

/// An attempt as its caller saw it.
#[derive(Debug, Clone, Copy)]
struct Attempt {
    asked: Asked,
    status: u16,
    first: Option<Duration>,
}

/// Makes a call, and once more where it is told to come back.
async fn make(site: Rc<Site>, call: Call, begun: Instant) -> Vec<Attempt> {
    sleep_until(begun + call.after).await;
    let first_at = Instant::now();
    let end = first_at + Duration::from_millis(call.kind.patience_ms);
    let mut attempts = Vec::new();
    for (turn, entry) in call.entries.into_iter().enumerate() {
        let id = format!("{}-{}-{turn}", call.kind.priority, call.number);
        let (attempt, answer) = ask(&site, &call.kind, &id, entry, end).await;
        attempts.push(attempt);
        let advice = answer.header("retry-after").and_then(|t| t.parse().ok());
        let Some(seconds) = advice.filter(|_| answer.status == 503) else {
            break;
        };
        let left = end.saturating_duration_since(Instant::now());
        let wait = Duration::try_from_secs_f64(seconds).unwrap_or(left);
        sleep(wait.min(left.mul_f64(WAITS))).await;
    }
    attempts
}

async fn ask(
    site: &Site,
    kind: &ModelKind,
    id: &str,
    entry: usize,
    end: Instant,
) -> (Attempt, Answer) {
    let at = Instant::now();
    let left = end.saturating_duration_since(at);
    let kind = ModelKind {
        patience_ms: left.as_millis() as u64,
        ..*kind
    };
    let request = site::model_request(&kind, id, "k1");
    let address = site.entries[entry].addr("callers");
    let answer = timeout(left + SLACK, site::exchange(address, &request)).await;
    let answer = answer.unwrap_or_default();
    let asked = Asked {
        at,
        urgency: kind.priority,
        tokens: kind.tokens(),
        is_served: answer.status == 200 && !answer.is_cut,
    };
    let attempt = Attempt {
        asked,
        status: answer.status,
        first: answer.first.map(|first| first - at),
    };
    (attempt, answer)
}

/// Engines leave one after the other, as planned, while the burst lasts.
async fn leave(site: Rc<Site>, options: UrgencyOptions, begun: Instant) {
    let pause = Duration::from_secs(options.seconds) / (options.leaving as u32 + 1);
    for (i, engine) in site.engines.iter().take(options.leaving).enumerate() {
        sleep_until(begun + CALM + pause * i as u32).await;
        site.store.list(engine, "s1", "draining");
        let (engine, site) = (Rc::clone(engine), Rc::clone(&site));
        actix_rt::spawn(async move {
            sleep(SERVES_ON).await;
            engine.close().await;
            site.store.unlist(&engine);
        });
    }
}

/// What callers and engines saw until the last request was sent, at `end`.
fn look(site: &Site, attempts: &[Attempt], end: Instant) -> Seen {
    let of = |kind: &ModelKind| {
        let all = || attempts.iter().filter(|a| a.asked.urgency == kind.priority);
        let target = Duration::from_millis(kind.target_ms);
        let is_in_time = |a: &&Attempt| a.asked.is_served && a.first.is_some_and(|t| t <= target);
        KindSeen {
            asked: all().count(),
            served: all().filter(|a| a.asked.is_served).count(),
            turned_away: all().filter(|a| a.status == 503).count(),
            in_time: all().filter(is_in_time).count(),
        }
    };
    let asked: Vec<Asked> = attempts.iter().map(|a| a.asked).collect();
    let begun = site.begun();
    let worst_of = |is_excused: &dyn Fn(Instant) -> bool| {
        tiers::worst(&asked, &begun, URGENT.priority, is_excused).unwrap_or_default()
    };
    // A span at the end holds few requests: it counts where it breaks the rule, and is no measure otherwise.
    let worst = match worst_of(&|_| false) {
        broken if broken.is_broken() => broken,
        _ => worst_of(&|start| start + tiers::SPAN > end),
    };
    let arrivals = site.arrivals();
    let refused = |kind: ModelKind| {
        let of_kind = arrivals
            .iter()
            .filter(|a| site.urgency_of(a) == Some(kind.priority));
        of_kind.filter(|a| !a.ran).count()
    };
    Seen {
        urgent: of(&URGENT),
        later: of(&LATER),
        worst,
        refused_by_engines: [refused(URGENT), refused(LATER)],
    }
}
