//! A burst of long prompts while engines are lost, replayed in simulated time against the decisions of some
//! entries that hear each other late.

mod common;

use std::collections::VecDeque;

use common::listed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use violetline::clock::Millis;
use violetline::direct::admission::overload::EngineAdmission;
use violetline::direct::catalog::{EngineCapacity, TransferSpec};
use violetline::direct::directory::{Change, Directory, EndpointKey};
use violetline::direct::known::health::HealthRecord;
use violetline::direct::known::load::{EndpointLoad, Footprint, LoadSource};
use violetline::direct::peers::PeerId;
use violetline::direct::placement::candidate::Candidate;
use violetline::direct::placement::choose::{choose, Choice};
use violetline::direct::placement::demand::Demand;
use violetline::direct::placement::prefix::{PrefixMap, PromptSegment};
use violetline::direct::placement::room::RoomInputs;

const STEP: Millis = Millis(5);
const ENGINES: usize = 8;
/// Engines that are lost together.
const LOST: usize = 3;
const ENTRIES: usize = 4;
/// Time between two words of an entry to another.
const TELL: u64 = 300;
/// What is left for reading beside the tokens of streams.
const READ_PER_MS: f64 = 32.0;
const SHAPE: EngineCapacity = EngineCapacity {
    slots: 64,
    memory_tokens: 258_267,
    moves: Some(TransferSpec {
        token_bytes: 18_432,
        link_mbps: 550_000,
    }),
};

/// A class of requests, as one deployment sends them to eight engines.
#[derive(Clone, Copy)]
struct Class {
    band: usize,
    per_s: f64,
    parts: [u64; 3],
    /// Subjects that its second part is about.
    subjects: u64,
    output: u64,
    runs: u64,
    target: u64,
    patience: u64,
    pause_sensitivity: u32,
    worth: f64,
    late: f64,
}

const CLASSES: [Class; 3] = [
    Class {
        band: 2,
        per_s: 24.6,
        parts: [2_520, 3_780, 2_890],
        subjects: 90,
        output: 54,
        runs: 300,
        target: 1_500,
        patience: 4_000,
        pause_sensitivity: 7,
        worth: 1.4,
        late: 0.41,
    },
    Class {
        band: 1,
        per_s: 16.6,
        parts: [341, 227, 1_800],
        subjects: 125,
        output: 27,
        runs: 150,
        target: 500,
        patience: 3_000,
        pause_sensitivity: 44,
        worth: 1.1,
        late: 0.31,
    },
    Class {
        band: 0,
        per_s: 7.3,
        parts: [103, 69, 543],
        subjects: 42,
        output: 279,
        runs: 1_700,
        target: 300,
        patience: 10_000,
        pause_sensitivity: 100,
        worth: 5.0,
        late: 0.45,
    },
];

/// A request on its way.
#[derive(Clone)]
struct Ask {
    class: usize,
    parts: Vec<PromptSegment>,
    /// When the caller sent it first.
    first_sent: u64,
    /// When this try was sent.
    sent: u64,
}

/// A request at an engine.
struct Run {
    ask: Ask,
    entry: usize,
    footprint: Footprint,
    /// Prompt tokens left to read; `None` before it has a place in the batch.
    unread: Option<f64>,
    ends: Option<u64>,
}

/// An engine: reads the most urgent first, keeps parts that were used last in the memory that is left.
#[derive(Default)]
struct Engine {
    runs: Vec<Run>,
    /// Kept parts, the last used at the end.
    kept: VecDeque<PromptSegment>,
    down_until: u64,
}

impl Engine {
    fn held(&self) -> u64 {
        let placed = self.runs.iter().filter(|run| run.unread.is_some());
        placed.map(|run| u64::from(run.footprint.held)).sum()
    }

    /// Tokens that a prompt need not be read; marks its parts as used.
    fn spare(&mut self, parts: &[PromptSegment]) -> u64 {
        let mut spared = 0;
        let mut whole = true;
        for part in parts {
            let at = self.kept.iter().position(|kept| kept.id == part.id);
            whole &= at.is_some();
            if whole {
                spared += part.tokens;
            }
            if let Some(at) = at {
                self.kept.remove(at);
            }
            self.kept.push_back(*part);
        }
        spared
    }

    /// Lets the oldest parts go until what is kept fits beside what runs.
    fn make_room(&mut self) {
        let room = SHAPE.memory_tokens.saturating_sub(self.held());
        let mut kept: u64 = self.kept.iter().map(|part| part.tokens).sum();
        while kept > room {
            let Some(part) = self.kept.pop_front() else {
                return;
            };
            kept -= part.tokens;
        }
    }

    /// Gives waiting requests places in the batch while there are slots and memory, the most urgent first.
    fn admit(&mut self) {
        loop {
            let placed = self.runs.iter().filter(|run| run.unread.is_some()).count();
            let waiting = (0..self.runs.len()).filter(|i| self.runs[*i].unread.is_none());
            let next =
                waiting.min_by_key(|i| (self.runs[*i].footprint.band, self.runs[*i].ask.sent));
            let Some(next) = next.filter(|_| placed < 64) else {
                return;
            };
            let held = u64::from(self.runs[next].footprint.held);
            if self.held() + held > SHAPE.memory_tokens {
                return;
            }
            let parts = self.runs[next].ask.parts.clone();
            let prompt: u64 = parts.iter().map(|part| part.tokens).sum();
            let spared = self.spare(&parts);
            self.runs[next].unread = Some((prompt - spared.min(prompt)) as f64);
            self.make_room();
        }
    }
}

/// One entry's knowledge.
struct Entry {
    loads: Vec<EndpointLoad>,
    records: Vec<HealthRecord>,
    prefixes: PrefixMap,
}

/// The pool, its entries and callers.
struct Replay {
    rng: SmallRng,
    directory: Directory,
    keys: Vec<EndpointKey>,
    engines: Vec<Engine>,
    entries: Vec<Entry>,
    /// Callers that come back, and when.
    back: Vec<(u64, Ask)>,
    earned: [f64; 3],
    owed: [f64; 3],
    turns_away: bool,
    turned_away: u32,
}

impl Replay {
    fn new(seed: u64, turns_away: bool) -> Self {
        let mut directory = Directory::default();
        let ids: Vec<String> = (0..ENGINES).map(|i| format!("i-{i}")).collect();
        for id in &ids {
            directory.apply(Change::Put(listed(id, 1)), Millis(0));
        }
        let keys = ids.iter().map(|id| directory.key(id).unwrap()).collect();
        let entry = || Entry {
            loads: (0..ENGINES).map(|_| EndpointLoad::default()).collect(),
            records: vec![HealthRecord::default(); ENGINES],
            prefixes: PrefixMap::default(),
        };
        Self {
            rng: SmallRng::seed_from_u64(seed),
            directory,
            keys,
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            entries: (0..ENTRIES).map(|_| entry()).collect(),
            back: Vec::new(),
            earned: [0.0; 3],
            owed: [0.0; 3],
            turns_away,
            turned_away: 0,
        }
    }

    /// How many times its usual rate a class comes at a time.
    fn burst(class: usize, now: u64) -> f64 {
        let of_class = match (class, now) {
            (0, 500..9_500) => 2.8,
            (1, 9_200..14_000) => 2.4,
            (2, 9_500..13_000) => 2.4,
            _ => 1.0,
        };
        // One team sends many times its usual.
        let of_team = if now > 6_000 { 1.8 } else { 1.0 };
        of_class * of_team
    }

    fn run(mut self) -> (f64, u32) {
        let mut now = 0;
        while now < 16_000 {
            self.lose_engines(now);
            self.arrive(now);
            if now % TELL == 0 {
                self.tell(Millis(now));
            }
            for engine in 0..ENGINES {
                self.work(engine, now);
            }
            now += STEP.0;
        }
        let earned: f64 = self.earned.iter().sum();
        (earned / self.owed.iter().sum::<f64>(), self.turned_away)
    }

    /// Some engines are lost and come back empty.
    fn lose_engines(&mut self, now: u64) {
        if now != 6_500 {
            return;
        }
        for at in 0..LOST {
            let engine = std::mem::take(&mut self.engines[at]);
            self.engines[at].down_until = 11_700;
            for run in engine.runs {
                self.entries[run.entry].loads[at].read(run.footprint);
                self.entries[run.entry].loads[at].end(run.footprint);
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        for (class, of) in CLASSES.iter().enumerate() {
            let rate = of.per_s * Self::burst(class, now);
            if self.rng.gen_bool(rate * STEP.0 as f64 / 1_000.0) {
                let ask = self.ask(class, now);
                // What comes near the end would still run.
                self.owed[class] += of.worth * f64::from(u8::from(now < 12_000));
                self.place(ask, now);
            }
        }
        let due: Vec<Ask> = self.back.extract_due(now);
        for ask in due {
            self.place(ask, now);
        }
    }

    fn ask(&mut self, class: usize, now: u64) -> Ask {
        let of = CLASSES[class];
        let id = |part: u64, subject: u64| (class as u64 + 1) << 40 | part << 32 | subject;
        let subject = self.rng.gen_range(0..of.subjects);
        let ids = [id(0, subject % 4), id(1, subject), self.rng.gen()];
        let parts = ids.iter().zip(of.parts);
        Ask {
            class,
            parts: parts
                .map(|(id, tokens)| PromptSegment { id: *id, tokens })
                .collect(),
            first_sent: now,
            sent: now,
        }
    }

    fn place(&mut self, ask: Ask, now: u64) {
        let at = self.rng.gen_range(0..ENTRIES);
        let Some(choice) = self.choose(at, &ask, Millis(now)) else {
            return;
        };
        let of = CLASSES[ask.class];
        let outlook = EngineAdmission {
            band: of.band,
            expected_ms: choice.expected_ms,
            backlog_ms: choice.backlog_ms,
            shortest_target: Millis(300),
            time_left: Millis((ask.first_sent + of.patience).saturating_sub(now)),
            longest_less_urgent_time: Millis([4_000, 4_000, 0][of.band]),
            has_more_urgent: of.band > 0,
        };
        if self.turns_away && !outlook.is_admitted() {
            self.turned_away += 1;
            if ask.sent == ask.first_sent {
                let again = now + self.rng.gen_range(150..400);
                self.back.push((again, Ask { sent: again, ..ask }));
            }
            return;
        }
        let engine = self.keys.iter().position(|key| *key == choice.key).unwrap();
        let entry = &mut self.entries[at];
        let ids = ask.parts.iter().map(|part| part.id);
        let read_at = Millis(now + choice.expected_ms as u64);
        entry
            .prefixes
            .record_use(choice.key, ids, Millis(now), read_at);
        entry.loads[engine].begin(choice.footprint, Millis(now));
        self.engines[engine].runs.push(Run {
            ask,
            entry: at,
            footprint: choice.footprint,
            unread: None,
            ends: None,
        });
    }

    fn choose(&mut self, at: usize, ask: &Ask, now: Millis) -> Option<Choice> {
        let of = CLASSES[ask.class];
        let draw = self.rng.gen();
        let demand = Demand {
            band: of.band,
            parts: &ask.parts,
            output_tokens: of.output,
            target: Millis(of.target),
            zone: "hall-a",
            engine: Some(SHAPE),
            pause_sensitivity: of.pause_sensitivity,
            pause: Millis(400),
            visibility_delay: Millis(TELL / 2),
            room: RoomInputs::default(),
            draw,
            capacity: None,
        };
        let entry = &self.entries[at];
        let up = (0..ENGINES).filter(|i| self.engines[*i].down_until <= now.0);
        let candidates = up.map(|i| Candidate {
            key: self.keys[i],
            endpoint: self.directory.get(self.keys[i]).unwrap(),
            load: &entry.loads[i],
            record: &entry.records[i],
            is_warming: false,
            is_limited: false,
            relative_time: 1.0,
        });
        choose(demand, candidates, &entry.prefixes, now)
    }

    /// Each entry hears the others' work at each engine.
    fn tell(&mut self, now: Millis) {
        for engine in 0..ENGINES {
            let works: Vec<_> = self
                .entries
                .iter()
                .map(|e| e.loads[engine].own(now))
                .collect();
            for (at, entry) in self.entries.iter_mut().enumerate() {
                for (from, work) in works.iter().enumerate().filter(|(from, _)| *from != at) {
                    let teller = LoadSource::Peer(PeerId(from as u64));
                    entry.loads[engine].record_remote(teller, *work, Millis(1_500), now);
                }
            }
        }
    }

    /// One step of an engine.
    fn work(&mut self, at: usize, now: u64) {
        let engine = &mut self.engines[at];
        engine.admit();
        let mut budget = READ_PER_MS * STEP.0 as f64;
        let mut order: Vec<usize> = (0..engine.runs.len()).collect();
        order.sort_by_key(|i| (engine.runs[*i].footprint.band, engine.runs[*i].ask.sent));
        for i in order {
            let run = &mut engine.runs[i];
            let Some(unread) = run.unread.filter(|_| run.ends.is_none()) else {
                continue;
            };
            let read = unread.min(budget);
            budget -= read;
            run.unread = Some(unread - read);
            if unread <= read {
                run.ends = Some(now + CLASSES[run.ask.class].runs);
                self.entries[run.entry].loads[at].read(run.footprint);
                let (class, first) = (run.ask.class, run.ask.first_sent);
                let worth = worth(&run.ask, now) * f64::from(u8::from(first < 12_000));
                self.earned[class] += worth;
            }
        }
        self.end_runs(at, now);
    }

    /// Ends what is done, and what its caller has left.
    fn end_runs(&mut self, at: usize, now: u64) {
        let engine = &mut self.engines[at];
        let entries = &mut self.entries;
        engine.runs.retain(|run| {
            let has_left = now > run.ask.first_sent + CLASSES[run.ask.class].patience;
            let is_over = run.ends.map_or(has_left, |ends| now >= ends);
            if is_over {
                if run.ends.is_none() {
                    entries[run.entry].loads[at].read(run.footprint);
                }
                entries[run.entry].loads[at].end(run.footprint);
            }
            !is_over
        });
    }
}

/// What a first event at `now` is worth: half of a try that came back counts as late.
fn worth(ask: &Ask, now: u64) -> f64 {
    let of = CLASSES[ask.class];
    let in_time = |sent| {
        if now <= sent + of.target {
            of.worth
        } else {
            of.late
        }
    };
    (in_time(ask.first_sent) + in_time(ask.sent)) / 2.0
}

trait Due {
    fn extract_due(&mut self, now: u64) -> Vec<Ask>;
}

impl Due for Vec<(u64, Ask)> {
    fn extract_due(&mut self, now: u64) -> Vec<Ask> {
        let (due, later): (Vec<_>, Vec<_>) = self.drain(..).partition(|(at, _)| *at <= now);
        *self = later;
        due.into_iter().map(|(_, ask)| ask).collect()
    }
}

/// Callers that are turned away at once leave room in which the others are in time.
#[test]
fn bends_not_breaks() {
    for seed in 1..=3 {
        let (with, turned_away) = Replay::new(seed, true).run();
        let (without, _) = Replay::new(seed, false).run();
        println!(
            "seed {seed}: worth {with:.3} with, {without:.3} without, {turned_away} turned away"
        );
        assert!(turned_away > 0);
        assert!(
            with > without + 0.05,
            "worth {with:.3} with, {without:.3} without"
        );
    }
}
