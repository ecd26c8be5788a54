//! A fleet of entries in simulated time, with engines that crash, and the entries' datagrams about
//! suspect requests.

use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use violetline::clock::Millis;
use violetline::direct::peers::{self, GossipMessage, PeerTable, ZoneId, ROUND_INTERVAL};
use violetline::fingerprint::Fingerprint;
use violetline::quarantine::{
    Change, EndpointEnd, Quarantine, QuarantineStatus, MAX_NOTICES_PER_MESSAGE,
};

use crate::common;

/// Longer than two cycles of the largest fleet, for which a notice is sent.
const NOTICE_WINDOW: Millis = Millis(10_000);
/// Time that a datagram takes, in ms.
const TRANSIT_MS: u64 = 2;
/// Time for which urgent notices are gathered, in ms.
const GATHER_MS: u64 = 5;
/// Time after which a crashed engine is back, in ms.
const RESTART_MS: u64 = 3_000;
/// Run time of an innocent request, in ms.
const RUN_MS: u64 = 700;
/// Time after which the crashing request ends its engine, in ms.
const CRASH_AFTER_MS: u64 = 80;
/// Maximum number of runs of an innocent request: callers retry once, and some routes allow two
/// attempts each.
const MAX_RUNS: u32 = 4;
/// Time after which a caller retries a lost request, in ms.
const RETRY_AFTER_MS: u64 = 150;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A gossip round of an entry.
    Round(usize),
    /// An entry sends urgent notices.
    UrgentNotices(usize),
    /// A datagram arrives at an entry; the second number is its key in `datagrams`.
    Datagram(usize, usize),
    /// A request arrives at some entry.
    RequestArrives(usize),
    /// A run ends, unless its engine has crashed.
    RunEnds(usize),
    /// An engine crashes.
    EngineCrashes(usize),
    /// An engine is back.
    EngineReturns(usize),
    /// The crashing request arrives again.
    CrashingRequestArrives,
}

#[derive(Debug)]
pub struct Member {
    table: PeerTable,
    pub quarantine: Quarantine,
    bytes: Vec<u64>,
    is_telling: bool,
    pub is_cut_off: bool,
}

#[derive(Debug, Clone, Copy)]
struct Run {
    request: usize,
    entry: usize,
    engine: usize,
    incarnation: u32,
    began: Millis,
}

#[derive(Debug, Clone, Copy, Default)]
struct Request {
    lost: u32,
    refused: bool,
}

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub entries: usize,
    pub engines: usize,
    /// Innocent requests a second.
    pub rate: u64,
    /// Time between two copies of the crashing request, in ms; 0 for none.
    pub again: u64,
    /// Engines that crash for other reasons in each second.
    pub ends: usize,
    /// Engines that crash together every four seconds.
    pub rack: usize,
    pub seconds: u64,
    pub seed: u64,
}

pub struct Fleet {
    scenario: Scenario,
    pub members: Vec<Member>,
    by_address: HashMap<SocketAddr, usize>,
    events: BinaryHeap<std::cmp::Reverse<(u64, Event)>>,
    datagrams: HashMap<usize, Vec<u8>>,
    sent: usize,
    /// Incarnation counters of the engines; odd while an engine is down.
    incarnations: Vec<u32>,
    runs: HashMap<usize, Run>,
    next_run: usize,
    requests: Vec<Request>,
    rng: SmallRng,
    now: u64,
    /// Times in ms at which the crashing request reached an engine; those at which it ended one are
    /// in `ended`.
    reached: Vec<u64>,
    pub ended: Vec<u64>,
    pub refused: usize,
}

/// The request that crashes engines; all others are innocent.
pub const CRASHING_REQUEST: usize = 0;
/// Number of availability zones of a large fleet.
pub const ZONES: usize = 12;

fn address(i: usize) -> SocketAddr {
    ([10, 0, (i / 250) as u8, (i % 250) as u8], 7_000).into()
}

fn hello(zone: usize, zone_entries: u32) -> GossipMessage {
    GossipMessage {
        proof_age_ms: Some(0),
        zone: ZoneId::of(&format!("zone-{zone}")),
        zone_entries,
        ..common::hello(1, 1, None)
    }
}

impl Fleet {
    pub fn new(scenario: Scenario) -> Self {
        let zones = if scenario.entries > 30 { ZONES } else { 3 };
        let members = (0..scenario.entries).map(|i| member(i, scenario, zones));
        let mut fleet = Self {
            scenario,
            members: members.collect(),
            by_address: (0..scenario.entries).map(|i| (address(i), i)).collect(),
            events: BinaryHeap::new(),
            datagrams: HashMap::new(),
            sent: 0,
            incarnations: vec![0; scenario.engines],
            runs: HashMap::new(),
            next_run: 0,
            requests: vec![Request::default()],
            rng: SmallRng::seed_from_u64(scenario.seed),
            now: 0,
            reached: Vec::new(),
            ended: Vec::new(),
            refused: 0,
        };
        for i in 0..scenario.entries {
            let phase = fleet.rng.gen_range(0..ROUND_INTERVAL.0);
            fleet.at(phase, Event::Round(i));
        }
        if scenario.again > 0 {
            fleet.at(1_000, Event::CrashingRequestArrives);
        }
        fleet
    }

    fn at(&mut self, time: u64, event: Event) {
        self.events.push(std::cmp::Reverse((time, event)));
    }

    pub fn play(&mut self) {
        let end = self.scenario.seconds * 1_000;
        for ms in 0..end {
            if ms * self.scenario.rate / 1_000 != (ms + 1) * self.scenario.rate / 1_000 {
                self.requests.push(Request::default());
                self.at(ms, Event::RequestArrives(self.requests.len() - 1));
            }
            if ms % 1_000 == 500 {
                self.crash_engines(ms, self.scenario.ends);
            }
            if ms % 4_000 == 1_500 {
                self.crash_engines(ms, self.scenario.rack);
            }
        }
        while let Some(std::cmp::Reverse((time, event))) = self.events.pop() {
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
            self.at(
                ms,
                Event::EngineCrashes((first + i) % self.scenario.engines),
            );
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Round(i) => self.round(i),
            Event::UrgentNotices(i) => self.send_urgent_notices(i),
            Event::Datagram(i, number) => self.receive(i, number),
            Event::RequestArrives(request) => self.request_arrives(request),
            Event::RunEnds(run) => self.run_ends(run),
            Event::EngineCrashes(engine) => self.engine_crashes(engine),
            Event::EngineReturns(engine) => self.incarnations[engine] += 1,
            Event::CrashingRequestArrives => {
                self.request_arrives(CRASHING_REQUEST);
                let next = self.now + self.scenario.again;
                self.at(next, Event::CrashingRequestArrives);
            }
        }
    }

    pub fn time(&self) -> Millis {
        Millis(self.now)
    }

    fn round(&mut self, i: usize) {
        self.at(self.now + ROUND_INTERVAL.0, Event::Round(i));
        let now = self.time();
        if !self.members[i].quarantine.evaluate_suspects(now).is_empty() {
            self.schedule_urgent_notices(i);
        }
        // A round is only computed where a notice is recent enough to be sent, since one of 450
        // entries takes long.
        let from = now - NOTICE_WINDOW;
        let recent = self.members[i].quarantine.recent();
        if recent.since(from, true, 1, now).is_empty() {
            return;
        }
        let round = self.members[i].table.round(false, now);
        let repeats = self.rng.gen_ratio(48, 256);
        for target in round {
            let since = self.members[i].table.notices_since(target.work_scope, now);
            self.send_notices(i, target.to, since, repeats);
        }
    }

    fn send_urgent_notices(&mut self, i: usize) {
        self.members[i].is_telling = false;
        let since = Millis(self.now - 2 * GATHER_MS);
        for to in self.members[i].table.immediate_targets() {
            self.send_notices(i, to, since, false);
        }
    }

    fn send_notices(&mut self, from: usize, to: SocketAddr, since: Millis, repeats: bool) {
        let now = self.time();
        let member = &mut self.members[from];
        let notices =
            member
                .quarantine
                .recent()
                .since(since, repeats, MAX_NOTICES_PER_MESSAGE, now);
        let Some(bytes) = peers::encode_notices(&notices) else {
            return;
        };
        member.bytes[(self.now / 1_000) as usize] += bytes.len() as u64 + 28;
        let to = self.by_address[&to];
        let is_lost = self.rng.gen_ratio(1, 100);
        if is_lost || self.members[from].is_cut_off || self.members[to].is_cut_off {
            return;
        }
        self.sent += 1;
        self.datagrams.insert(self.sent, bytes);
        self.at(self.now + TRANSIT_MS, Event::Datagram(to, self.sent));
    }

    fn receive(&mut self, i: usize, number: usize) {
        let now = self.time();
        let bytes = self.datagrams.remove(&number).unwrap();
        for notice in peers::decode_notices(&bytes).unwrap() {
            let change = self.members[i].quarantine.apply_notice(&notice, now);
            if matches!(change, Change::Refused { .. }) {
                self.schedule_urgent_notices(i);
            }
        }
    }

    /// Has an entry send urgent notices between two rounds, unless it is about to.
    fn schedule_urgent_notices(&mut self, i: usize) {
        if !std::mem::replace(&mut self.members[i].is_telling, true) {
            self.at(self.now + GATHER_MS, Event::UrgentNotices(i));
        }
    }

    fn request_arrives(&mut self, request: usize) {
        let entry = self.rng.gen_range(0..self.scenario.entries);
        let fingerprint = Fingerprint(request as u64);
        let now = self.time();
        self.members[entry].quarantine.evaluate_suspects(now);
        match self.members[entry]
            .quarantine
            .request_status(fingerprint, now)
        {
            QuarantineStatus::Clear => {}
            QuarantineStatus::Refused { .. } => {
                self.requests[request].refused = true;
                self.refused += 1;
                return;
            }
            QuarantineStatus::MustWait { ends, .. } if ends >= 2 => {
                if request != CRASHING_REQUEST {
                    self.at(self.now + RETRY_AFTER_MS, Event::RequestArrives(request));
                }
                return;
            }
            QuarantineStatus::MustWait { .. } | QuarantineStatus::Suspect { .. } => {
                self.members[entry]
                    .quarantine
                    .record_start(fingerprint, now, now);
                self.schedule_urgent_notices(entry);
            }
        }
        let up: Vec<usize> = (0..self.scenario.engines)
            .filter(|engine| self.incarnations[*engine] % 2 == 0)
            .collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.rng.gen_range(0..up.len())];
        let run = Run {
            request,
            entry,
            engine,
            incarnation: self.incarnations[engine],
            began: now,
        };
        self.next_run += 1;
        self.runs.insert(self.next_run, run);
        if request == CRASHING_REQUEST {
            self.reached.push(self.now);
            self.at(self.now + CRASH_AFTER_MS, Event::EngineCrashes(engine));
        } else {
            self.at(self.now + RUN_MS, Event::RunEnds(self.next_run));
        }
    }

    fn run_ends(&mut self, run: usize) {
        let now = self.time();
        let Some(run) = self.runs.remove(&run) else {
            return;
        };
        let fingerprint = Fingerprint(run.request as u64);
        let member = &mut self.members[run.entry];
        if member.quarantine.record_completion(fingerprint, now, now) == Change::Cleared {
            self.schedule_urgent_notices(run.entry);
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
        let lost: Vec<usize> = self
            .runs
            .iter()
            .filter(|(_, run)| run.engine == engine && run.incarnation == incarnation)
            .map(|(number, _)| *number)
            .collect();
        for number in lost {
            let run = self.runs.remove(&number).unwrap();
            if run.request == CRASHING_REQUEST {
                self.ended.push(self.now);
            } else {
                self.requests[run.request].lost += 1;
                if self.requests[run.request].lost < MAX_RUNS {
                    self.at(
                        self.now + RETRY_AFTER_MS,
                        Event::RequestArrives(run.request),
                    );
                }
            }
            let end = EndpointEnd {
                endpoint: (engine as u32) << 16 | incarnation,
                began: run.began,
                ended: now,
            };
            let fingerprint = Fingerprint(run.request as u64);
            self.members[run.entry]
                .quarantine
                .record_end(fingerprint, end, now);
            self.schedule_urgent_notices(run.entry);
        }
    }

    /// How often the crashing request reached an engine later than `contact` ms after it had ended
    /// the third.
    pub fn reached_after(&self, contact: u64) -> usize {
        let Some(third) = self.ended.get(2) else {
            return 0;
        };
        let late = self.reached.iter().filter(|at| **at > third + contact);
        late.count()
    }

    /// Innocent requests that were lost, and those that were refused.
    pub fn innocent(&self) -> (usize, usize) {
        let innocent = &self.requests[1..];
        let lost = innocent.iter().filter(|r| r.lost > 0).count();
        let refused = innocent.iter().filter(|r| r.refused).count();
        (lost, refused)
    }

    /// Most bytes that an entry spent on notices in one second.
    pub fn most_bytes(&self) -> u64 {
        let most = self.members.iter().flat_map(|m| m.bytes.iter());
        most.copied().max().unwrap_or(0)
    }
}

fn member(
    i: usize,
    Scenario {
        entries, engines, ..
    }: Scenario,
    zones: usize,
) -> Member {
    let mut table = PeerTable::new(address(i), &[], i as u32);
    let mut quarantine = Quarantine::default();
    quarantine.set_endpoint_count(engines);
    table.set_zone(&format!("zone-{}", i % zones));
    for peer in (0..entries).filter(|peer| *peer != i) {
        let in_zone = (entries / zones).max(1) as u32;
        table.record_message(address(peer), &hello(peer % zones, in_zone), Millis(0));
    }
    Member {
        table,
        quarantine,
        bytes: vec![0; 200],
        is_telling: false,
        is_cut_off: false,
    }
}
