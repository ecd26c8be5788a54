//! A fleet of entries in simulated time before engines that end, and their datagrams about requests under suspicion.

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

/// Longer than two turns of the largest fleet, in which what was learned is told.
const LEARNED_LONG_AGO: Millis = Millis(10_000);
/// Time of a datagram on its way.
const WAY: u64 = 2;
/// Time in which what is to be told at once is gathered.
const GATHER: u64 = 5;
/// Time after which an engine that ended is back.
const BACK: u64 = 3_000;
/// Time that an innocent request runs.
const RUNS: u64 = 700;
/// Time after which a request that ends engines does so.
const CRASHES_AFTER: u64 = 80;
/// Runs of an innocent request at most: callers repeat once, and some routes allow two attempts each.
const MOST_RUNS: u32 = 4;
/// Time after which a caller comes again when its request was lost.
const COMES_AGAIN: u64 = 150;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A round of an entry.
    Round(usize),
    /// An entry tells what is to be told at once.
    AtOnce(usize),
    /// A datagram arrives, kept under a number.
    Datagram(usize, usize),
    /// A request comes to some entry.
    Comes(usize),
    /// A run ends, if its engine has not.
    Finishes(usize),
    /// An engine ends.
    Ends(usize),
    /// An engine is back.
    Back(usize),
    /// The request that ends engines comes again.
    Again,
}

#[derive(Debug)]
pub struct Member {
    book: PeerTable,
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
    life: u32,
    began: Millis,
}

#[derive(Debug, Clone, Copy, Default)]
struct Request {
    lost: u32,
    refused: bool,
}

/// What a day is made of.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    pub entries: usize,
    pub engines: usize,
    /// Innocent requests a second.
    pub rate: u64,
    /// Time between two copies of the request that ends engines; 0 for none.
    pub again: u64,
    /// Engines that end by themselves in each second.
    pub ends: usize,
    /// Engines that end at once every four seconds.
    pub rack: usize,
    pub seconds: u64,
    pub seed: u64,
}

pub struct Fleet {
    day: Scenario,
    pub members: Vec<Member>,
    by_address: HashMap<SocketAddr, usize>,
    events: BinaryHeap<std::cmp::Reverse<(u64, Event)>>,
    datagrams: HashMap<usize, Vec<u8>>,
    sent: usize,
    /// The engines' lives; odd while an engine is down.
    lives: Vec<u32>,
    runs: HashMap<usize, Run>,
    next_run: usize,
    requests: Vec<Request>,
    rng: SmallRng,
    now: u64,
    /// When the request that ends engines reached one, and when it ended one.
    reached: Vec<u64>,
    pub ended: Vec<u64>,
    pub refused: usize,
}

/// The request that ends engines; others are innocent.
pub const CRASHING_REQUEST: usize = 0;
/// Zones of the fleet.
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
    pub fn new(day: Scenario) -> Self {
        let zones = if day.entries > 30 { ZONES } else { 3 };
        let members = (0..day.entries).map(|i| member(i, day, zones));
        let mut fleet = Self {
            day,
            members: members.collect(),
            by_address: (0..day.entries).map(|i| (address(i), i)).collect(),
            events: BinaryHeap::new(),
            datagrams: HashMap::new(),
            sent: 0,
            lives: vec![0; day.engines],
            runs: HashMap::new(),
            next_run: 0,
            requests: vec![Request::default()],
            rng: SmallRng::seed_from_u64(day.seed),
            now: 0,
            reached: Vec::new(),
            ended: Vec::new(),
            refused: 0,
        };
        for i in 0..day.entries {
            let phase = fleet.rng.gen_range(0..ROUND_INTERVAL.0);
            fleet.at(phase, Event::Round(i));
        }
        if day.again > 0 {
            fleet.at(1_000, Event::Again);
        }
        fleet
    }

    fn at(&mut self, time: u64, event: Event) {
        self.events.push(std::cmp::Reverse((time, event)));
    }

    pub fn play(&mut self) {
        let end = self.day.seconds * 1_000;
        for ms in 0..end {
            if ms * self.day.rate / 1_000 != (ms + 1) * self.day.rate / 1_000 {
                self.requests.push(Request::default());
                self.at(ms, Event::Comes(self.requests.len() - 1));
            }
            if ms % 1_000 == 500 {
                self.some_end(ms, self.day.ends);
            }
            if ms % 4_000 == 1_500 {
                self.some_end(ms, self.day.rack);
            }
        }
        while let Some(std::cmp::Reverse((time, event))) = self.events.pop() {
            if time >= end {
                return;
            }
            self.now = time;
            self.happens(event);
        }
    }

    fn some_end(&mut self, ms: u64, count: usize) {
        let first = self.rng.gen_range(0..self.day.engines);
        for i in 0..count {
            self.at(ms, Event::Ends((first + i) % self.day.engines));
        }
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Round(i) => self.round(i),
            Event::AtOnce(i) => self.tell_at_once(i),
            Event::Datagram(i, number) => self.hear(i, number),
            Event::Comes(request) => self.comes(request),
            Event::Finishes(run) => self.finishes(run),
            Event::Ends(engine) => self.engine_ends(engine),
            Event::Back(engine) => self.lives[engine] += 1,
            Event::Again => {
                self.comes(CRASHING_REQUEST);
                let next = self.now + self.day.again;
                self.at(next, Event::Again);
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
            self.wake(i);
        }
        // Nothing that was learned before is told: a round of 450 entries is only worked out where there is something.
        let from = now - LEARNED_LONG_AGO;
        let recent = self.members[i].quarantine.recent();
        if recent.since(from, true, 1, now).is_empty() {
            return;
        }
        let round = self.members[i].book.round(false, now);
        let repeats = self.rng.gen_ratio(48, 256);
        for tell in round {
            let since = self.members[i].book.notices_since(tell.work_scope, now);
            self.send_notices(i, tell.to, since, repeats);
        }
    }

    fn tell_at_once(&mut self, i: usize) {
        self.members[i].is_telling = false;
        let since = Millis(self.now - 2 * GATHER);
        for to in self.members[i].book.immediate_targets() {
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
        self.at(self.now + WAY, Event::Datagram(to, self.sent));
    }

    fn hear(&mut self, i: usize, number: usize) {
        let now = self.time();
        let bytes = self.datagrams.remove(&number).unwrap();
        for notice in peers::decode_notices(&bytes).unwrap() {
            let change = self.members[i].quarantine.apply_notice(&notice, now);
            if matches!(change, Change::Refused { .. }) {
                self.wake(i);
            }
        }
    }

    /// Has an entry tell its peers between two rounds.
    fn wake(&mut self, i: usize) {
        if !std::mem::replace(&mut self.members[i].is_telling, true) {
            self.at(self.now + GATHER, Event::AtOnce(i));
        }
    }

    fn comes(&mut self, request: usize) {
        let entry = self.rng.gen_range(0..self.day.entries);
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
                    self.at(self.now + COMES_AGAIN, Event::Comes(request));
                }
                return;
            }
            QuarantineStatus::MustWait { .. } | QuarantineStatus::Suspect { .. } => {
                self.members[entry]
                    .quarantine
                    .record_start(fingerprint, now, now);
                self.wake(entry);
            }
        }
        let up: Vec<usize> = (0..self.day.engines)
            .filter(|engine| self.lives[*engine] % 2 == 0)
            .collect();
        if up.is_empty() {
            return;
        }
        let engine = up[self.rng.gen_range(0..up.len())];
        let run = Run {
            request,
            entry,
            engine,
            life: self.lives[engine],
            began: now,
        };
        self.next_run += 1;
        self.runs.insert(self.next_run, run);
        if request == CRASHING_REQUEST {
            self.reached.push(self.now);
            self.at(self.now + CRASHES_AFTER, Event::Ends(engine));
        } else {
            self.at(self.now + RUNS, Event::Finishes(self.next_run));
        }
    }

    fn finishes(&mut self, run: usize) {
        let now = self.time();
        let Some(run) = self.runs.remove(&run) else {
            return;
        };
        let fingerprint = Fingerprint(run.request as u64);
        let member = &mut self.members[run.entry];
        if member.quarantine.record_completion(fingerprint, now, now) == Change::Cleared {
            self.wake(run.entry);
        }
    }

    fn engine_ends(&mut self, engine: usize) {
        let now = self.time();
        let life = self.lives[engine];
        if life % 2 == 1 {
            return;
        }
        self.lives[engine] += 1;
        self.at(self.now + BACK, Event::Back(engine));
        let lost: Vec<usize> = self
            .runs
            .iter()
            .filter(|(_, run)| run.engine == engine && run.life == life)
            .map(|(number, _)| *number)
            .collect();
        for number in lost {
            let run = self.runs.remove(&number).unwrap();
            if run.request == CRASHING_REQUEST {
                self.ended.push(self.now);
            } else {
                self.requests[run.request].lost += 1;
                if self.requests[run.request].lost < MOST_RUNS {
                    self.at(self.now + COMES_AGAIN, Event::Comes(run.request));
                }
            }
            let end = EndpointEnd {
                endpoint: (engine as u32) << 16 | life,
                began: run.began,
                ended: now,
            };
            let fingerprint = Fingerprint(run.request as u64);
            self.members[run.entry]
                .quarantine
                .record_end(fingerprint, end, now);
            self.wake(run.entry);
        }
    }

    /// How often the request that ends engines reached one later than `contact` after it had ended the third.
    pub fn reached_after(&self, contact: u64) -> usize {
        let Some(third) = self.ended.get(2) else {
            return 0;
        };
        let late = self.reached.iter().filter(|at| **at > third + contact);
        late.count()
    }

    /// Innocent requests that were lost, and that were turned away.
    pub fn innocent(&self) -> (usize, usize) {
        let innocent = &self.requests[1..];
        let lost = innocent.iter().filter(|r| r.lost > 0).count();
        let refused = innocent.iter().filter(|r| r.refused).count();
        (lost, refused)
    }

    /// The most bytes that an entry spent on notices in one second.
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
    let mut book = PeerTable::new(address(i), &[], i as u32);
    let mut quarantine = Quarantine::default();
    quarantine.set_endpoint_count(engines);
    book.set_zone(&format!("zone-{}", i % zones));
    for peer in (0..entries).filter(|peer| *peer != i) {
        let in_zone = (entries / zones).max(1) as u32;
        book.record_message(address(peer), &hello(peer % zones, in_zone), Millis(0));
    }
    Member {
        book,
        quarantine,
        bytes: vec![0; 200],
        is_telling: false,
        is_cut_off: false,
    }
}
