//! Streams beside long prompts at engines of three speeds, replayed in simulated time: each engine
//! prefills prompts in chunks between the tokens of its streams, and entries see each other's
//! choices late.

mod common;

use std::collections::{HashSet, VecDeque};

use common::listed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use violetline::clock::Millis;
use violetline::direct::admission::turnover::PoolActivity;
use violetline::direct::catalog::{EngineCapacity, TransferSpec};
use violetline::direct::directory::{Change, Directory, EndpointKey, ListedEndpoint};
use violetline::direct::known::capacity::PoolCapacity;
use violetline::direct::known::health::{Fault, HealthRecord};
use violetline::direct::known::load::{
    EndpointLoad, EndpointReport, EndpointWork, Footprint, LoadSource,
};
use violetline::direct::known::slowdown::Slowdown;
use violetline::direct::peers::PeerId;
use violetline::direct::placement::candidate::Candidate;
use violetline::direct::placement::choose::{choose, Choice};
use violetline::direct::placement::demand::Demand;
use violetline::direct::placement::prefix::{PrefixMap, PromptSegment};
use violetline::direct::placement::room::RoomInputs;

const ENGINES: usize = 50;
const ENTRIES: usize = 27;
/// Interval at which an entry tells the others its work, in ms.
const ROUND: u64 = 150;
/// Time until they know it, in ms.
const TRANSIT: u64 = 150;
/// Mean time after which entries see each other's choices.
const VISIBILITY_DELAY: Millis = Millis(TRANSIT + ROUND / 2);
const SLOTS: usize = 48;
const ENGINE: EngineCapacity = EngineCapacity {
    slots: SLOTS as u32,
    memory_tokens: 683_785,
    moves: Some(TransferSpec {
        token_bytes: 18_432,
        link_mbps: 550_000,
    }),
};
/// Prompt tokens that an engine of usual speed prefills per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 68.0;
/// Largest number of prompt tokens that are prefilled in one step.
const CHUNK_TOKENS: f64 = 4_096.0;
/// Time of a step of an engine of usual speed with an empty batch, in ms.
const STEP_MS: f64 = 3.82;
/// Time that a running request adds to each step, in ms.
const REQUEST_STEP_MS: f64 = 0.0227;
/// Time that 1,000 tokens of context add to each step, in ms.
const CONTEXT_STEP_MS: f64 = 0.0026;
/// Time of a step of an engine of usual speed with a typical batch, as entries learn it, in ms.
const TYPICAL_STEP_MS: f64 = 5.0;
const TOKENS_PER_EVENT: u32 = 6;
/// Factor on the time of work while an engine is slowed.
const SLOWED: f64 = 2.5;
/// Mean duration of a slowdown and of the time between two, in ms.
const SLOWED_MS: f64 = 300.0;
const NOT_SLOWED_MS: f64 = 1_700.0;
/// Shortest allowed pause, in ms.
const PAUSE: u64 = 300;
/// Time from which requests count, in ms.
const WARM_UP: u64 = 3_000;

/// Time before the end from which requests don't count, in ms: they would not end.
const COOL_DOWN: u64 = 6_000;

const REVIEW: usize = 0;
const REPLY: usize = 1;
const TAG: usize = 2;

/// A kind of request, as deployment A gets it.
#[derive(Clone, Copy)]
struct Kind {
    band: usize,
    per_s: f64,
    shared: u64,
    own: u64,
    /// Number of different shared segments.
    subjects: u64,
    events: u32,
    target: u64,
    pause: u64,
    pause_sensitivity: u32,
}

const KINDS: [Kind; 3] = [
    Kind {
        band: 2,
        per_s: 92.9,
        shared: 5_382,
        own: 6_610,
        subjects: 90,
        events: 64,
        target: 2_000,
        pause: 1_200,
        pause_sensitivity: 6,
    },
    Kind {
        band: 0,
        per_s: 81.1,
        shared: 198,
        own: 628,
        subjects: 42,
        events: 49,
        target: 400,
        pause: PAUSE,
        pause_sensitivity: 100,
    },
    Kind {
        band: 1,
        per_s: 98.5,
        shared: 568,
        own: 1_800,
        subjects: 125,
        events: 4,
        target: 500,
        pause: 500,
        pause_sensitivity: 36,
    },
];

/// What happens during a replay.
#[derive(Clone, Copy)]
struct Scenario {
    /// Relative times of the engines, in turns.
    speeds: [f64; 3],
    /// Factor on each kind's rate at a time.
    factor: fn(kind: usize, now: u64) -> f64,
    /// When half of the engines with the most streams crash, if they do.
    crash_at: Option<u64>,
    duration: u64,
    /// Whether entries know the relative times and the capacity.
    knows: bool,
}

const UNEVEN: Scenario = Scenario {
    speeds: [0.7, 0.7, 1.7],
    factor: |_, _| 1.0,
    crash_at: None,
    duration: 20_000,
    knows: true,
};

/// Requests of one kind that began after [`WARM_UP`].
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    all: u32,
    late_first: u32,
    late_pause: u32,
    lost: u32,
}

impl Counts {
    fn late_pause_percent(&self) -> f64 {
        f64::from(self.late_pause) * 100.0 / f64::from(self.all.max(1))
    }

    fn late_first_percent(&self) -> f64 {
        f64::from(self.late_first) * 100.0 / f64::from(self.all.max(1))
    }
}

/// A request at an entry.
#[derive(Clone, Copy)]
struct Ask {
    kind: usize,
    parts: [PromptSegment; 2],
    entry: usize,
    arrived: u64,
}

/// A shared segment that was sent to an engine.
#[derive(Clone, Copy)]
struct SharedUse {
    part: u64,
    engine: EndpointKey,
    at: Millis,
    prefilled_at: Millis,
}

/// A request at an engine.
struct Run {
    arrived: u64,
    kind: usize,
    entry: usize,
    footprint: Footprint,
    nominal_ms: f64,
    sent: u64,
    /// Prompt tokens left to prefill.
    unread: f64,
    tokens: u32,
    last_event: Option<f64>,
    longest_pause: f64,
    first_event: f64,
}

/// An engine that works in steps.
struct Engine {
    relative_time: f64,
    waiting: VecDeque<Run>,
    batch: Vec<Run>,
    step_ends: f64,
    slowed_until: Option<u64>,
    next_slowdown: u64,
    is_down: bool,
}

impl Engine {
    fn is_slowed(&self) -> bool {
        self.slowed_until.is_some()
    }

    /// Starts or ends a slowdown.
    fn change_speed(&mut self, now: u64, rng: &mut SmallRng) {
        let wait = |mean: f64, rng: &mut SmallRng| -(rng.gen_range(0.001..1.0_f64).ln()) * mean;
        match self.slowed_until {
            Some(until) if now >= until => {
                self.slowed_until = None;
                self.next_slowdown = now + wait(NOT_SLOWED_MS, rng) as u64;
            }
            None if now >= self.next_slowdown => {
                self.slowed_until = Some(now + wait(SLOWED_MS, rng) as u64);
            }
            _ => {}
        }
    }

    /// Starts the next step and returns the positions of the runs whose prompts it completes.
    fn step(&mut self, now: u64) -> Vec<usize> {
        while self.batch.len() < SLOTS {
            let Some(run) = self.waiting.pop_front() else {
                break;
            };
            self.batch.push(run);
        }
        let mut order: Vec<usize> = (0..self.batch.len())
            .filter(|i| self.batch[*i].unread > 0.0)
            .collect();
        order.sort_by_key(|i| (self.batch[*i].footprint.band, self.batch[*i].sent));
        let mut chunk = CHUNK_TOKENS;
        let mut completed = Vec::new();
        for i in order {
            let read = self.batch[i].unread.min(chunk);
            chunk -= read;
            self.batch[i].unread -= read;
            if self.batch[i].unread <= 0.0 && read > 0.0 {
                completed.push(i);
            }
        }
        let prefilled = CHUNK_TOKENS - chunk;
        let context: u32 = self.batch.iter().map(|run| run.footprint.held).sum();
        let batch_ms = REQUEST_STEP_MS * self.batch.len() as f64;
        let context_ms = CONTEXT_STEP_MS * f64::from(context) / 1_000.0;
        let slowed = if self.is_slowed() { SLOWED } else { 1.0 };
        let work = STEP_MS + batch_ms + context_ms + prefilled / PREFILL_TOKENS_PER_MS;
        self.step_ends = self.step_ends.max(now as f64) + work * self.relative_time * slowed;
        completed
    }

    fn report(&self) -> EndpointReport {
        let percent = if self.is_slowed() { SLOWED } else { 1.0 } * 100.0;
        EndpointReport {
            running: self.batch.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: SLOTS as u32,
            slowdown: Slowdown::from_percent(percent as u32),
        }
    }
}

struct Entry {
    loads: Vec<EndpointLoad>,
    records: Vec<HealthRecord>,
    prefixes: PrefixMap,
    activity: PoolActivity,
    /// What it sent to engines and the other entries have not heard of yet.
    unseen_uses: Vec<SharedUse>,
    /// Work and sent segments that it told the others at a time, on their way.
    news: VecDeque<News>,
}

/// What an entry tells the others.
struct News {
    arrives: u64,
    works: Vec<EndpointWork>,
    uses: Vec<SharedUse>,
}

impl Entry {
    fn record_use(&mut self, of: &SharedUse) {
        let part = std::iter::once(of.part);
        self.prefixes
            .record_use(of.engine, part, of.at, of.prefilled_at);
    }
}

struct Replay {
    scenario: Scenario,
    rng: SmallRng,
    directory: Directory,
    keys: Vec<EndpointKey>,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    counts: [Counts; 3],
    /// Latest time at which a stream with the shortest pause was late by a pause, by second.
    late_by_second: Vec<u32>,
    held: Vec<Ask>,
    /// Shared tokens of reviews that were prefilled after another engine had them already.
    repeated_tokens: u64,
    /// Shared segments of reviews that some engine was sent.
    prefilled_shared: HashSet<u64>,
}

impl Replay {
    fn new(seed: u64, scenario: Scenario) -> Self {
        let mut directory = Directory::default();
        let ids: Vec<String> = (0..ENGINES).map(|i| format!("e-{i}")).collect();
        for id in &ids {
            let endpoint = ListedEndpoint {
                slots: SLOTS as u32,
                ..listed(id, 1)
            };
            directory.apply(Change::Put(endpoint), Millis(0));
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let engine = |i: usize| Engine {
            relative_time: scenario.speeds[i % 3],
            waiting: VecDeque::new(),
            batch: Vec::new(),
            step_ends: 0.0,
            slowed_until: None,
            next_slowdown: rng.gen_range(0..2_000),
            is_down: false,
        };
        let engines = (0..ENGINES).map(engine).collect();
        let entry = || Entry {
            loads: (0..ENGINES).map(|_| EndpointLoad::default()).collect(),
            records: vec![HealthRecord::default(); ENGINES],
            prefixes: PrefixMap::default(),
            activity: PoolActivity::default(),
            unseen_uses: Vec::new(),
            news: VecDeque::new(),
        };
        Self {
            scenario,
            keys: ids.iter().map(|id| directory.key(id).unwrap()).collect(),
            directory,
            engines,
            entries: (0..ENTRIES).map(|_| entry()).collect(),
            counts: Default::default(),
            held: Vec::new(),
            repeated_tokens: 0,
            prefilled_shared: HashSet::new(),
            late_by_second: vec![0; scenario.duration as usize / 1_000 + 1],
            rng,
        }
    }

    fn run(mut self) -> Self {
        for now in 0..self.scenario.duration {
            if self.scenario.crash_at == Some(now) {
                self.crash_half();
            }
            for (kind, of) in KINDS.iter().enumerate() {
                let rate = of.per_s * (self.scenario.factor)(kind, now) / 1_000.0;
                if self.rng.gen_bool(rate.min(1.0)) {
                    self.place(kind, now);
                }
            }
            if now % 20 == 0 {
                let held = std::mem::take(&mut self.held);
                for (i, ask) in held.iter().enumerate() {
                    let before = self.held.len();
                    self.send_or_hold(*ask, now);
                    if self.held.len() > before {
                        self.held.extend(&held[i + 1..]);
                        break;
                    }
                }
            }
            for entry in 0..ENTRIES {
                self.exchange(entry, now);
            }
            for engine in 0..ENGINES {
                self.work(engine, now);
            }
        }
        self
    }

    /// Crashes every second one of the engines with the most urgent streams, which are those that
    /// are reserved.
    fn crash_half(&mut self) {
        let streams = |engine: &Engine| engine.batch.iter().filter(|r| r.kind == REPLY).count();
        let mut order: Vec<usize> = (0..ENGINES).collect();
        order.sort_by_key(|i| std::cmp::Reverse(streams(&self.engines[*i])));
        for at in order.into_iter().take(8).step_by(2) {
            self.engines[at].is_down = true;
            let batch = std::mem::take(&mut self.engines[at].batch);
            let waiting = std::mem::take(&mut self.engines[at].waiting);
            for run in batch.into_iter().chain(waiting) {
                let load = &mut self.entries[run.entry].loads[at];
                if run.first_event == 0.0 {
                    load.read(run.footprint);
                }
                load.end(run.footprint);
                self.counts[run.kind].lost += 1;
            }
        }
    }

    fn place(&mut self, kind: usize, now: u64) {
        let of = KINDS[kind];
        let id = |part: u64, subject: u64| (kind as u64 + 1) << 40 | part << 32 | subject;
        let subject = self.rng.gen_range(0..of.subjects);
        let parts = [
            PromptSegment {
                id: id(0, subject),
                tokens: of.shared,
            },
            PromptSegment {
                id: self.rng.gen(),
                tokens: of.own,
            },
        ];
        let ask = Ask {
            kind,
            parts,
            entry: self.rng.gen_range(0..ENTRIES),
            arrived: now,
        };
        let activity = &mut self.entries[ask.entry].activity;
        activity.record_arrival(of.band, Millis(now));
        self.send_or_hold(ask, now);
    }

    /// Sends a request, or holds it at its entry if it may wait and the pool has no room for it.
    fn send_or_hold(&mut self, ask: Ask, now: u64) {
        let (kind, entry, parts) = (ask.kind, ask.entry, ask.parts);
        let choice = loop {
            let draw = self.rng.gen();
            let choice = self.choose(entry, kind, &parts, draw, Millis(now));
            let at = self.position(choice.key);
            if !self.engines[at].is_down {
                break choice;
            }
            self.entries[entry].records[at].failed(Millis(now), Fault::Unreachable);
        };
        let is_behind = choice.backlog_ms > KINDS[REPLY].target as f64;
        if kind == REVIEW && (!choice.has_room || is_behind) {
            self.held.push(ask);
            return;
        }
        let at = self.position(choice.key);
        if kind == REVIEW && choice.reuse.reused_tokens() < parts[0].tokens {
            let is_first = self.prefilled_shared.insert(parts[0].id);
            self.repeated_tokens += u64::from(!is_first) * parts[0].tokens;
        }
        let prefilled_at = Millis(now + choice.expected_ms as u64);
        let shared_use = SharedUse {
            part: parts[0].id,
            engine: choice.key,
            at: Millis(now),
            prefilled_at,
        };
        self.entries[entry].record_use(&shared_use);
        self.entries[entry].unseen_uses.push(shared_use);
        self.entries[entry].activity.record_start(Millis(now));
        self.entries[entry].loads[at].begin(choice.footprint, Millis(now));
        self.engines[at].waiting.push_back(Run {
            kind,
            entry,
            footprint: choice.footprint,
            nominal_ms: choice.nominal_ms,
            arrived: ask.arrived,
            sent: now,
            unread: f64::from(choice.footprint.unread.max(1)),
            tokens: 0,
            last_event: None,
            longest_pause: 0.0,
            first_event: 0.0,
        });
    }

    fn position(&self, key: EndpointKey) -> usize {
        self.keys.iter().position(|k| *k == key).unwrap()
    }

    fn choose(
        &self,
        at: usize,
        kind: usize,
        parts: &[PromptSegment],
        draw: u64,
        now: Millis,
    ) -> Choice {
        let of = KINDS[kind];
        let median = median(&self.engines);
        let entry = &self.entries[at];
        let capacity = PoolCapacity {
            prefill_tokens_per_ms: PREFILL_TOKENS_PER_MS / median,
            step_ms: TYPICAL_STEP_MS * median,
            tokens_per_event: f64::from(TOKENS_PER_EVENT),
        };
        let demand = Demand {
            band: of.band,
            parts,
            output_tokens: u64::from(of.events * TOKENS_PER_EVENT),
            target: Millis(of.target),
            zone: "hall-a",
            engine: Some(ENGINE),
            pause_sensitivity: of.pause_sensitivity,
            pause: Millis(PAUSE),
            visibility_delay: VISIBILITY_DELAY,
            room: RoomInputs {
                entries: ENTRIES,
                more_urgent_bands: of.band,
                recent: entry.activity.recent(of.band, VISIBILITY_DELAY, now),
            },
            draw,
            capacity: self.scenario.knows.then_some(capacity),
        };
        let candidates = (0..ENGINES).map(|i| Candidate {
            key: self.keys[i],
            endpoint: self.directory.get(self.keys[i]).unwrap(),
            load: &entry.loads[i],
            record: &entry.records[i],
            is_warming: false,
            is_limited: false,
            relative_time: self.engines[i].relative_time / median,
        });
        choose(demand, candidates, &entry.prefixes, now).unwrap()
    }

    /// An entry tells the others its work and what it sent, and they hear what it told before.
    fn exchange(&mut self, from: usize, now: u64) {
        let entry = &mut self.entries[from];
        if now % ROUND == from as u64 * ROUND / ENTRIES as u64 {
            let works = entry.loads.iter().map(|load| load.own(Millis(now)));
            entry.news.push_back(News {
                arrives: now + TRANSIT,
                works: works.collect(),
                uses: std::mem::take(&mut entry.unseen_uses),
            });
        }
        if entry.news.front().is_none_or(|news| news.arrives > now) {
            return;
        }
        let Some(news) = entry.news.pop_front() else {
            return;
        };
        let peer = LoadSource::Peer(PeerId(from as u64));
        let others = self.entries.iter_mut().enumerate();
        for (_, entry) in others.filter(|(at, _)| *at != from) {
            for (load, work) in entry.loads.iter_mut().zip(&news.works) {
                load.record_remote(peer, *work, Millis(1_500), Millis(now));
            }
            for shared_use in &news.uses {
                entry.record_use(shared_use);
            }
        }
    }

    /// Ends the step of an engine that is due, and starts the next one.
    fn work(&mut self, at: usize, now: u64) {
        let engine = &mut self.engines[at];
        engine.change_speed(now, &mut self.rng);
        let is_idle = engine.batch.is_empty() && engine.waiting.is_empty();
        if engine.is_down || is_idle || engine.step_ends > now as f64 {
            return;
        }
        let completed = engine.step(now);
        let (ends, report) = (engine.step_ends, engine.report());
        let entries = &mut self.entries;
        for i in completed {
            let run = &engine.batch[i];
            let load = &mut entries[run.entry].loads[at];
            load.read(run.footprint);
            load.record_report(report, Millis(now));
            let expected_ms = run.nominal_ms * load.slowdown(Millis(now));
            let seen = Millis(ends as u64 - run.sent);
            entries[run.entry].records[at].observe_response_time(Millis(now), seen, expected_ms);
        }
        for run in engine.batch.iter_mut().filter(|run| run.unread <= 0.0) {
            run.generate(ends);
        }
        let is_over = |run: &Run| run.tokens >= KINDS[run.kind].events * TOKENS_PER_EVENT;
        let (ended, running) = engine.batch.drain(..).partition(is_over);
        engine.batch = running;
        let ended: Vec<Run> = ended;
        for run in ended {
            self.entries[run.entry].loads[at].end(run.footprint);
            self.count(&run);
        }
    }

    fn count(&mut self, run: &Run) {
        if run.arrived < WARM_UP || run.arrived >= self.scenario.duration - COOL_DOWN {
            return;
        }
        let of = KINDS[run.kind];
        let counts = &mut self.counts[run.kind];
        counts.all += 1;
        counts.late_first += u32::from(run.first_event - run.arrived as f64 > of.target as f64);
        let is_late = run.longest_pause > of.pause as f64;
        counts.late_pause += u32::from(is_late);
        if run.kind == REPLY && is_late {
            self.late_by_second[run.arrived as usize / 1_000] += 1;
        }
    }

    fn unfinished(&self, kind: usize) -> usize {
        let runs = self
            .engines
            .iter()
            .flat_map(|e| e.batch.iter().chain(&e.waiting));
        let due = |run: &&Run| {
            run.kind == kind && run.sent >= WARM_UP && run.sent < self.scenario.duration - COOL_DOWN
        };
        runs.filter(due).count()
    }

    fn print(&self, name: &str, seed: u64) {
        let unfinished: Vec<usize> = (0..3).map(|kind| self.unfinished(kind)).collect();
        println!(
            "{name}, seed {seed}: unfinished {unfinished:?}, held {}, prefilled again {}",
            self.held.len(),
            self.repeated_tokens
        );
        for (kind, counts) in ["review", "reply", "tag"].iter().zip(&self.counts) {
            println!("{name}, seed {seed}: {kind} {counts:?}");
        }
        println!(
            "  replies late by a pause, by second: {:?}",
            self.late_by_second
        );
    }
}

impl Run {
    /// Adds a token at `now`, the end of a step.
    fn generate(&mut self, now: f64) {
        self.tokens += 1;
        if self.tokens % TOKENS_PER_EVENT != 0 {
            return;
        }
        if let Some(last) = self.last_event.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
        } else {
            self.first_event = now;
        }
    }
}

/// Median of the engines' relative times.
fn median(engines: &[Engine]) -> f64 {
    let mut times: Vec<f64> = engines.iter().map(|engine| engine.relative_time).collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// Factor on the rates in a load case that lasts from 5 to 14 s.
const fn during_case(now: u64, factor: f64) -> f64 {
    if now >= 5_000 && now < 14_000 {
        factor
    } else {
        1.0
    }
}

/// More reviews than usual for some seconds.
fn many_reviews(kind: usize, now: u64) -> f64 {
    during_case(now, if kind == REVIEW { 2.3 } else { 1.0 })
}

/// More replies than usual for some seconds.
fn many_replies(kind: usize, now: u64) -> f64 {
    during_case(now, if kind == REPLY { 1.5 } else { 1.0 })
}

/// More of all kinds than the engines have capacity for, for some seconds.
fn too_many(_: usize, now: u64) -> f64 {
    during_case(now, 3.5)
}

/// A burst of long prompts takes endpoints and pauses from streams, when prompts overflow to the
/// endpoints that are reserved for these.
#[test]
fn burst_of_reviews() {
    let scenario = Scenario {
        factor: many_reviews,
        ..UNEVEN
    };
    let replay = Replay::new(1, scenario).run();
    replay.print("reviews at 2.3", 1);
    assert!(replay.counts[REPLY].late_pause_percent() < 5.0);
    assert!(replay.counts[REVIEW].late_first_percent() < 1.0);
}

/// A burst of streams makes itself late, when too few endpoints are reserved in time.
#[test]
fn burst_of_replies() {
    let scenario = Scenario {
        factor: many_replies,
        ..UNEVEN
    };
    let replay = Replay::new(1, scenario).run();
    replay.print("replies at 1.5", 1);
    assert!(replay.counts[REPLY].late_pause_percent() < 5.0);
    assert!(replay.counts[REPLY].late_first_percent() < 2.0);
    assert!(replay.counts[REVIEW].late_first_percent() < 1.0);
}

/// Entries that choose by old knowledge send their prompts to the same few endpoints, and streams
/// there are late, when all kinds of load exceed the capacity.
#[test]
fn overload_of_all_kinds() {
    let scenario = Scenario {
        factor: too_many,
        ..UNEVEN
    };
    let replay = Replay::new(1, scenario).run();
    replay.print("all at 3.5", 1);
    assert!(replay.counts[REPLY].late_pause_percent() < 15.0);
    assert!(replay.counts[TAG].late_first_percent() < 30.0);
}

/// Streams are hardly ever late by a pause while the engines have capacity for both kinds of load,
/// and the other kinds are in time.
#[test]
fn streams_keep_pauses() {
    let replay = Replay::new(1, UNEVEN).run();
    replay.print("calm", 1);
    assert!(replay.counts[REPLY].late_pause_percent() < 5.0);
    assert!(replay.counts[REVIEW].late_first_percent() < 1.0);
    assert!(replay.counts[TAG].late_first_percent() < 10.0);
}

/// Without knowledge of the engines' speeds, streams are late, which shows that the replay has the
/// load that it is meant to have.
#[test]
fn late_without_knowledge() {
    let scenario = Scenario {
        knows: false,
        factor: too_many,
        ..UNEVEN
    };
    let replay = Replay::new(1, scenario).run();
    replay.print("all at 3.5 without knowledge", 1);
    assert!(replay.counts[REPLY].late_pause_percent() > 20.0);
}

/// Half of the reserved engines crash: others take their place.
#[test]
fn reserved_engines_crash() {
    let scenario = Scenario {
        crash_at: Some(7_000),
        ..UNEVEN
    };
    let replay = Replay::new(1, scenario).run();
    replay.print("crash", 1);
    assert!(replay.counts[REPLY].late_pause_percent() < 5.0);
}
