//! A fleet of entries in simulated time before engines that crash under a part of a prompt, and for
//! reasons of their own.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use violetline::clock::Millis;
use violetline::direct::peers::{self, PeerId, PeerTable, SharedKind, ZoneId, ROUND_INTERVAL};
use violetline::quarantine::parts::{
    EndpointKind, PartChange, PartEnd, PartId, PartNotice, PartQuarantine, HARMLESS_AFTER,
    MAX_PART_NOTICES,
};

use crate::common;

/// The part under which engines crash.
pub const CRASHING: PartId = PartId(0xbad);
/// First parts, one for each route and team.
const FIRST_PARTS: u64 = 8;
/// Time that a datagram takes, in ms.
const TRANSIT_MS: u64 = 2;
/// Time for which urgent notices are gathered, in ms.
const GATHER_MS: u64 = 5;
/// Time after which a crashed engine is back, in ms.
const RESTART_MS: u64 = 3_500;
/// Time for which an engine reads a prompt, in ms.
const READ_MS: std::ops::Range<u64> = 40..300;
/// Time for which it writes the answer, in ms.
const WRITE_MS: std::ops::Range<u64> = 100..1_500;
/// Time for which notices are looked for.
const NOTICE_WINDOW: Millis = Millis(10_000);
const KIND: EndpointKind = EndpointKind(7);
const ZONES: usize = 12;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Round(usize),
    UrgentNotices(usize),
    Datagram(usize, usize),
    RequestArrives { crashes: bool },
    AnswerBegins(usize),
    AnswerGoesOn(usize),
    RunEnds(usize),
    EngineCrashes(usize),
    EngineReturns(usize),
}

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub entries: usize,
    pub engines: usize,
    /// Sound requests a second.
    pub rate: u64,
    /// Requests a second with the crashing part.
    pub crashing_rate: u64,
    /// Number of second parts; the first ones are the most frequent.
    pub subjects: u64,
    /// Engines that crash for other reasons in each second.
    pub ends: usize,
    /// Engines that crash together every four seconds.
    pub rack: usize,
    pub seconds: u64,
    pub seed: u64,
}

struct Member {
    table: PeerTable,
    quarantine: PartQuarantine,
    bytes: Vec<u64>,
    is_telling: bool,
}

#[derive(Debug, Clone)]
struct Run {
    request: u32,
    parts: Vec<PartId>,
    entry: usize,
    engine: usize,
    incarnation: u32,
    began: Millis,
    answer_began: Option<Millis>,
    is_harmless: bool,
}

pub struct Fleet {
    scenario: Scenario,
    members: Vec<Member>,
    by_address: HashMap<SocketAddr, usize>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    datagrams: HashMap<usize, Vec<u8>>,
    sent: usize,
    /// Odd while an engine is down.
    incarnations: Vec<u32>,
    runs: HashMap<usize, Run>,
    next: usize,
    rng: SmallRng,
    now: u64,
    /// Times in ms at which requests with the crashing part reached engines, and ended them.
    reached: Vec<u64>,
    pub ended: Vec<u64>,
    /// Sound requests, and those that were refused.
    pub sound: u64,
    pub sound_refused: u64,
    /// Sound parts that were refused anywhere.
    pub condemned: BTreeSet<PartId>,
    /// Sound runs that were lost.
    pub lost: u64,
}

fn address(i: usize) -> SocketAddr {
    ([10, 0, (i / 250) as u8, (i % 250) as u8], 7_000).into()
}

impl Fleet {
    pub fn new(scenario: Scenario) -> Self {
        let zones = if scenario.entries > 30 { ZONES } else { 3 };
        let mut fleet = Self {
            scenario,
            members: (0..scenario.entries)
                .map(|i| member(i, scenario, zones))
                .collect(),
            by_address: (0..scenario.entries).map(|i| (address(i), i)).collect(),
            events: BinaryHeap::new(),
            datagrams: HashMap::new(),
            sent: 0,
            incarnations: vec![0; scenario.engines],
            runs: HashMap::new(),
            next: 0,
            rng: SmallRng::seed_from_u64(scenario.seed),
            now: 0,
            reached: Vec::new(),
            ended: Vec::new(),
            sound: 0,
            sound_refused: 0,
            condemned: BTreeSet::new(),
            lost: 0,
        };
        for i in 0..scenario.entries {
            let phase = fleet.rng.gen_range(0..ROUND_INTERVAL.0);
            fleet.at(phase, Event::Round(i));
        }
        fleet
    }

    fn at(&mut self, time: u64, event: Event) {
        self.events.push(Reverse((time, event)));
    }

    pub fn play(&mut self) {
        let end = self.scenario.seconds * 1_000;
        for ms in 0..end {
            let is_due = |rate: u64| ms * rate / 1_000 != (ms + 1) * rate / 1_000;
            if is_due(self.scenario.rate) {
                self.at(ms, Event::RequestArrives { crashes: false });
            }
            if ms > 3_000 && is_due(self.scenario.crashing_rate) {
                self.at(ms, Event::RequestArrives { crashes: true });
            }
            if ms % 1_000 == 500 {
                self.crash_engines(ms, self.scenario.ends);
            }
            if ms % 4_000 == 1_500 {
                self.crash_engines(ms, self.scenario.rack);
            }
        }
        while let Some(Reverse((time, event))) = self.events.pop() {
            if time >= end {
                return;
            }
            self.now = time;
            self.handle_event(event);
        }
    }

    fn crash_engines(&mut self, ms: u64, count: usize) {
        let first = self.rng.gen_range(0..self.scenario.engines);
        for i in 0..count {
            let engine = (first + i) % self.scenario.engines;
            self.at(ms, Event::EngineCrashes(engine));
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Round(i) => self.round(i),
            Event::UrgentNotices(i) => {
                self.members[i].is_telling = false;
                let since = Millis(self.now - 2 * GATHER_MS);
                for to in self.members[i].table.immediate_targets() {
                    self.send_notices(i, to, since, false);
                }
            }
            Event::Datagram(i, number) => {
                let bytes = self.datagrams.remove(&number).unwrap();
                let (_, _, payload) = peers::split_shared(&bytes).unwrap();
                self.apply(i, peers::decode_shared(payload).unwrap());
            }
            Event::RequestArrives { crashes } => self.request_arrives(crashes),
            Event::AnswerBegins(run) => self.answer_begins(run),
            Event::AnswerGoesOn(run) => self.parts_are_harmless(run),
            Event::RunEnds(run) => {
                self.parts_are_harmless(run);
                self.runs.remove(&run);
            }
            Event::EngineCrashes(engine) => self.engine_crashes(engine),
            Event::EngineReturns(engine) => self.incarnations[engine] += 1,
        }
    }

    fn time(&self) -> Millis {
        Millis(self.now)
    }

    fn round(&mut self, i: usize) {
        self.at(self.now + ROUND_INTERVAL.0, Event::Round(i));
        let now = self.time();
        let due = self.members[i].quarantine.due_reports(now);
        self.tell_judges(i, due);
        for part in self.members[i].quarantine.evaluate(now) {
            self.handle_change(i, part, PartChange::Refused);
        }
        let quarantine = &self.members[i].quarantine;
        if quarantine
            .notices(now - NOTICE_WINDOW, true, now)
            .is_empty()
        {
            return;
        }
        let repeats = self.rng.gen_ratio(48, 256);
        for target in self.members[i].table.round(false, now) {
            let since = self.members[i].table.notices_since(target.work_scope, now);
            self.send_notices(i, target.to, since, repeats);
        }
    }

    fn send_notices(&mut self, from: usize, to: SocketAddr, since: Millis, repeats: bool) {
        let now = self.time();
        let notices = self.members[from].quarantine.notices(since, repeats, now);
        self.send(from, self.by_address[&to], &notices);
    }

    fn send(&mut self, from: usize, to: usize, notices: &[PartNotice]) {
        if notices.is_empty() {
            return;
        }
        let bytes = peers::encode_shared(SharedKind::Parts, PeerId(1), &notices);
        let bytes = bytes.expect("the notices fit one packet");
        self.members[from].bytes[(self.now / 1_000) as usize] += bytes.len() as u64 + 28;
        if self.rng.gen_ratio(1, 100) {
            return;
        }
        self.sent += 1;
        self.datagrams.insert(self.sent, bytes);
        self.at(self.now + TRANSIT_MS, Event::Datagram(to, self.sent));
    }

    /// The judges: all entries see the same ones, but for one in fifty that is passed over.
    fn judges(&mut self) -> Vec<usize> {
        let rng = &mut self.rng;
        let heard = (0..self.members.len()).filter(|_| !rng.gen_ratio(1, 50));
        heard.take(3).collect()
    }

    fn tell_judges(&mut self, from: usize, reports: Vec<PartNotice>) {
        for judge in self.judges() {
            if judge == from {
                self.apply(from, reports.clone());
                continue;
            }
            for notices in reports.chunks(MAX_PART_NOTICES) {
                self.send(from, judge, notices);
            }
        }
    }

    fn apply(&mut self, i: usize, notices: Vec<PartNotice>) {
        let now = self.time();
        for notice in notices {
            let part = notice.part();
            let change = self.members[i].quarantine.apply(&notice, now);
            if matches!(notice, PartNotice::Asked { .. }) && change == PartChange::Told {
                let answers = self.members[i].quarantine.answers(part, now);
                self.tell_judges(i, answers);
            }
            self.handle_change(i, part, change);
        }
    }

    fn handle_change(&mut self, i: usize, part: PartId, change: PartChange) {
        match change {
            PartChange::None => return,
            PartChange::ForJudges(notice) => {
                return self.tell_judges(i, vec![notice]);
            }
            PartChange::Refused if part != CRASHING => {
                self.condemned.insert(part);
            }
            PartChange::Refused | PartChange::Told | PartChange::Cleared => {}
        }
        if !std::mem::replace(&mut self.members[i].is_telling, true) {
            self.at(self.now + GATHER_MS, Event::UrgentNotices(i));
        }
    }

    /// Parts of a request: the first part of a route, the crashing one in some, a subject.
    fn parts(&mut self, crashes: bool) -> Vec<PartId> {
        let first = PartId(1 + self.rng.gen_range(0..FIRST_PARTS));
        // The square makes some subjects frequent and most rare.
        let draw: f64 = self.rng.gen();
        let subject = (draw * draw * self.scenario.subjects as f64) as u64;
        let subject = PartId(0x1_0000 + subject);
        match crashes {
            true => vec![first, CRASHING, subject],
            false => vec![first, subject],
        }
    }

    fn request_arrives(&mut self, crashes: bool) {
        let entry = self.rng.gen_range(0..self.scenario.entries);
        let parts = self.parts(crashes);
        let now = self.time();
        self.sound += u64::from(!crashes);
        if self.members[entry]
            .quarantine
            .refusal(&parts, now)
            .is_some()
        {
            self.sound_refused += u64::from(!crashes);
            return;
        }
        let up: Vec<usize> = (0..self.scenario.engines)
            .filter(|engine| self.incarnations[*engine] % 2 == 0)
            .collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.rng.gen_range(0..up.len())];
        self.next += 1;
        let run = Run {
            request: self.next as u32,
            parts,
            entry,
            engine,
            incarnation: self.incarnations[engine],
            began: now,
            answer_began: None,
            is_harmless: false,
        };
        self.runs.insert(self.next, run);
        if crashes {
            self.reached.push(self.now);
        }
        let read = self.rng.gen_range(READ_MS);
        self.at(self.now + read, Event::AnswerBegins(self.next));
    }

    fn answer_begins(&mut self, number: usize) {
        let now = self.time();
        let Some(run) = self.runs.get_mut(&number) else {
            return;
        };
        if run.parts.contains(&CRASHING) {
            let engine = run.engine;
            self.ended.push(self.now);
            return self.engine_crashes(engine);
        }
        run.answer_began = Some(now);
        let write = self.rng.gen_range(WRITE_MS);
        self.at(self.now + write, Event::RunEnds(number));
        if write > HARMLESS_AFTER.0 {
            self.at(self.now + HARMLESS_AFTER.0, Event::AnswerGoesOn(number));
        }
    }

    fn parts_are_harmless(&mut self, number: usize) {
        let now = self.time();
        let Some(run) = self.runs.get_mut(&number).filter(|run| !run.is_harmless) else {
            return;
        };
        run.is_harmless = true;
        let (entry, parts) = (run.entry, run.parts.clone());
        self.members[entry].quarantine.record_run(false, now);
        for part in parts {
            let quarantine = &mut self.members[entry].quarantine;
            let change = quarantine.record_harmless(part, KIND, now, now);
            self.handle_change(entry, part, change);
        }
    }

    fn engine_crashes(&mut self, engine: usize) {
        let now = self.time();
        let incarnation = self.incarnations[engine];
        if incarnation % 2 == 1 {
            return;
        }
        self.incarnations[engine] += 1;
        self.at(self.now + RESTART_MS, Event::EngineReturns(engine));
        let is_lost = |run: &Run| run.engine == engine && run.incarnation == incarnation;
        let mut lost: Vec<usize> = self
            .runs
            .iter()
            .filter(|(_, run)| is_lost(run))
            .map(|(n, _)| *n)
            .collect();
        lost.sort_unstable();
        for number in lost {
            let run = self.runs.remove(&number).unwrap();
            self.lost += u64::from(!run.parts.contains(&CRASHING));
            if run
                .answer_began
                .is_some_and(|at| now - at >= HARMLESS_AFTER)
            {
                continue;
            }
            let quarantine = &mut self.members[run.entry].quarantine;
            quarantine.record_run(true, now);
            for part in &run.parts {
                let end = PartEnd {
                    endpoint: (engine as u32) << 16 | incarnation,
                    kind: KIND,
                    request: run.request,
                    began: run.began,
                    ended: now,
                };
                quarantine.record_end(*part, end);
            }
        }
    }

    /// Requests with the crashing part that reached engines later than `contact` ms after the fifth
    /// end under one.
    pub fn late(&self, contact: u64) -> usize {
        let Some(fifth) = self.ended.get(4) else {
            return 0;
        };
        let late = self.reached.iter().filter(|at| **at > fifth + contact);
        late.count()
    }

    /// Most bytes that an entry spent on notices in one second.
    pub fn most_bytes(&self) -> u64 {
        let most = self.members.iter().flat_map(|m| m.bytes.iter());
        most.copied().max().unwrap_or(0)
    }

    /// Most parts with ends that one entry knows.
    pub fn most_known(&self) -> usize {
        let known = self.members.iter().map(|m| m.quarantine.counts().0);
        known.max().unwrap_or(0)
    }
}

fn member(i: usize, scenario: Scenario, zones: usize) -> Member {
    let mut table = PeerTable::new(address(i), &[], i as u32);
    table.set_zone(&format!("zone-{}", i % zones));
    for peer in (0..scenario.entries).filter(|peer| *peer != i) {
        let zone = peer % zones;
        let hello = peers::GossipMessage {
            proof_age_ms: Some(0),
            zone: ZoneId::of(&format!("zone-{zone}")),
            zone_entries: (scenario.entries / zones) as u32,
            ..common::hello(1, 1, None)
        };
        table.record_message(address(peer), &hello, Millis(0));
    }
    Member {
        table,
        quarantine: PartQuarantine::default(),
        bytes: vec![0; scenario.seconds as usize + 1],
        is_telling: false,
    }
}
