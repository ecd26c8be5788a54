//! Shares of teams: a team that floods a pool at the limit of its capacity, replayed in simulated
//! time against the decisions of entries that hear each other late, and what reports of peers may
//! change.

mod common;

use std::collections::{HashMap, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use violetline::clock::Millis;
use violetline::direct::admission::overload::EngineAdmission;
use violetline::direct::admission::shares::TeamShares;
use violetline::direct::admission::waiting::{
    Capacity, Room, WaitingKey, WaitingQueue, WaitingRequest,
};
use violetline::direct::admission::waiting_peers::REPORT_TTL;
use violetline::direct::catalog::{CallerLimits, Catalog, Route, Team};
use violetline::direct::peers::{
    decode_shared, encode_shared, split_shared, NameDigest, PeerId, ReportedUsage, SharedKind,
    UsageReport, MAX_REPORTED_TEAMS,
};

const STEP_MS: u64 = 5;
const ROUND_MS: u64 = 150;
/// Part of the peers of a round that are sent a report.
const REPORTED_FRACTION: f64 = 0.1;
const SEEN_LATE_MS: u64 = 300;
const FLOOD_MS: std::ops::Range<u64> = 10_000..20_000;
const END_MS: u64 = 35_000;
/// Time from the start of the flood until the pool lacks capacity and entries have heard of it.
/// Before, nothing is refused for a team.
const SETTLE_MS: u64 = 2_000;
const POOL: NameDigest = NameDigest(1);
/// Interval between two looks at the queues.
const LOOK_MS: u64 = 25;
/// Time from the start of a request that may wait to the end of its answer.
const RUN_MS: u64 = 3_000;
const SHORTEST_TARGET: Millis = Millis(400);
/// Most requests that wait at an entry.
const MAX_WAITING: usize = 512;

#[derive(Clone, Copy)]
struct Kind {
    band: usize,
    tokens: u64,
    part: f64,
    time_left: u64,
}

/// The kinds of requests of one deployment.
const KINDS: [Kind; 3] = [
    Kind {
        band: 2,
        tokens: 12_376,
        part: 0.341,
        time_left: 15_000,
    },
    Kind {
        band: 0,
        tokens: 1_120,
        part: 0.298,
        time_left: 15_000,
    },
    Kind {
        band: 1,
        tokens: 2_392,
        part: 0.361,
        time_left: 3_000,
    },
];

#[derive(Clone, Copy)]
struct Scenario {
    entries: usize,
    zones: usize,
    teams: usize,
    per_s: f64,
    /// Usual load over the capacity.
    load: f64,
    /// How many times its usual rate the largest team sends, and the others.
    flood: f64,
    others: f64,
    with_shares: bool,
}

const SMALL: Scenario = Scenario {
    entries: 27,
    zones: 4,
    teams: 24,
    per_s: 272.0,
    load: 0.95,
    flood: 7.5,
    others: 1.0,
    with_shares: true,
};
const LARGE: Scenario = Scenario {
    entries: 450,
    zones: 12,
    teams: 800,
    per_s: 4_000.0,
    ..SMALL
};

#[derive(Clone, Copy)]
struct Ask {
    team: usize,
    kind: usize,
    arrived: u64,
    due: u64,
    deadline: u64,
    is_retry: bool,
}

#[derive(Default)]
struct Entry {
    shares: TeamShares,
    /// Tokens sent by it that it alone sees so far, by time and band.
    unseen: VecDeque<(u64, usize, f64)>,
    cursor: usize,
    queue: WaitingQueue,
    waiting: HashMap<WaitingKey, (Ask, WaitingRequest)>,
    /// When each peer was heard.
    heard: HashMap<PeerId, u64>,
}

#[derive(Default, Debug)]
struct Outcome {
    /// Tokens asked for by team within the flood, and served of these, be it later.
    asked: Vec<f64>,
    served: Vec<f64>,
    /// The same by band, of the first team and of the others.
    asked_by_band: [[f64; 2]; 3],
    served_by_band: [[f64; 2]; 3],
    /// Tokens of the least urgent kind served to the first team, and asked for by the others, once
    /// the flood has settled.
    settled_first: f64,
    settled_others: f64,
    refused: u32,
    changed: u32,
    busy_ms: u64,
    report_bytes: usize,
    reports: usize,
}

impl Outcome {
    fn count_asked(&mut self, team: usize, kind: &Kind, now: u64) {
        if FLOOD_MS.contains(&now) {
            let tokens = kind.tokens as f64;
            self.asked[team] += tokens;
            self.asked_by_band[kind.band][usize::from(team > 0)] += tokens;
            if is_settled(kind, now) && team > 0 {
                self.settled_others += tokens;
            }
        }
    }

    fn count_served(&mut self, ask: &Ask, now: u64) {
        let kind = &KINDS[ask.kind];
        let tokens = kind.tokens as f64;
        if FLOOD_MS.contains(&ask.arrived) {
            self.served[ask.team] += tokens;
            self.served_by_band[kind.band][usize::from(ask.team > 0)] += tokens;
        }
        if FLOOD_MS.contains(&now) && is_settled(kind, now) && ask.team == 0 {
            self.settled_first += tokens;
        }
    }
}

/// Whether a request is of the least urgent kind and within the settled part of the flood.
fn is_settled(kind: &Kind, now: u64) -> bool {
    kind.band == 2 && now >= FLOOD_MS.start + SETTLE_MS
}

struct Replay {
    cfg: Scenario,
    rng: SmallRng,
    entries: Vec<Entry>,
    sizes: Vec<f64>,
    names: Vec<NameDigest>,
    capacity_per_ms: f64,
    /// Tokens left to prefill, by band.
    backlog: [f64; 3],
    seen: VecDeque<[f64; 3]>,
    back: Vec<Ask>,
    letters: Vec<(u64, usize, PeerId, Vec<u8>)>,
    outcome: Outcome,
}

impl Replay {
    fn new(cfg: Scenario, seed: u64) -> Self {
        let weights: Vec<f64> = (1..=cfg.teams).map(|i| (i as f64).powf(-0.8)).collect();
        let sum: f64 = weights.iter().sum();
        let mean: f64 = KINDS.iter().map(|k| k.part * k.tokens as f64).sum();
        let shares = || {
            let mut shares = TeamShares::default();
            shares.set_team_count(cfg.teams);
            shares
        };
        let entry = |_| Entry {
            shares: shares(),
            ..Entry::default()
        };
        Self {
            cfg,
            rng: SmallRng::seed_from_u64(seed),
            entries: (0..cfg.entries).map(entry).collect(),
            sizes: weights.iter().map(|w| w / sum).collect(),
            names: (0..cfg.teams)
                .map(|i| NameDigest::of(&format!("team-{i}")))
                .collect(),
            capacity_per_ms: cfg.per_s * mean / 1_000.0 / cfg.load,
            backlog: [0.0; 3],
            seen: VecDeque::new(),
            back: Vec::new(),
            letters: Vec::new(),
            outcome: Outcome {
                asked: vec![0.0; cfg.teams],
                served: vec![0.0; cfg.teams],
                ..Outcome::default()
            },
        }
    }

    fn run(mut self) -> Outcome {
        let mut now = 0;
        while now < END_MS {
            self.arrive(now);
            if now % ROUND_MS == 0 {
                self.gossip(now);
            }
            self.deliver(now);
            if now % LOOK_MS == 0 {
                (0..self.cfg.entries).for_each(|at| self.release(at, now));
            }
            self.work(now);
            now += STEP_MS;
        }
        self.outcome
    }

    fn arrive(&mut self, now: u64) {
        for team in 0..self.cfg.teams {
            let times = match (FLOOD_MS.contains(&now), team) {
                (true, 0) => self.cfg.flood,
                (true, _) => self.cfg.others,
                (false, _) => 1.0,
            };
            let mean = self.cfg.per_s * self.sizes[team] * times * STEP_MS as f64 / 1_000.0;
            let count = mean as u32 + u32::from(self.rng.gen_bool(mean.fract()));
            for _ in 0..count {
                let kind = self.draw_kind();
                let ask = Ask {
                    team,
                    kind,
                    arrived: now,
                    due: now,
                    deadline: now + KINDS[kind].time_left,
                    is_retry: false,
                };
                self.outcome.count_asked(team, &KINDS[kind], now);
                self.place(ask, now);
            }
        }
        let (due, later) = self.back.drain(..).partition(|ask| ask.due <= now);
        self.back = later;
        let due: Vec<Ask> = due;
        for ask in due {
            self.place(ask, now);
        }
    }

    fn draw_kind(&mut self) -> usize {
        let mut draw: f64 = self.rng.gen();
        for (i, kind) in KINDS.iter().enumerate() {
            if draw < kind.part {
                return i;
            }
            draw -= kind.part;
        }
        0
    }

    fn place(&mut self, ask: Ask, now: u64) {
        let kind = KINDS[ask.kind];
        let at = self.rng.gen_range(0..self.cfg.entries);
        let (backlog, ahead) = self.visible(at, kind.band, now);
        let entry = &mut self.entries[at];
        let (team, now_ms) = (self.names[ask.team], Millis(now));
        entry
            .shares
            .record_arrival(team, kind.band, kind.tokens, now_ms);
        let outlook = EngineAdmission {
            band: kind.band,
            expected_ms: ahead / self.capacity_per_ms + kind.tokens as f64 / 68.0,
            backlog_ms: backlog / self.capacity_per_ms,
            shortest_target: SHORTEST_TARGET,
            time_left: Millis(ask.deadline - now),
            longest_less_urgent_time: Millis([15_000, 15_000, 0][kind.band]),
            has_more_urgent: kind.band > 0,
        };
        let usual = outlook.is_admitted();
        let mut is_admitted = usual;
        let mut excess = 1.0;
        if self.cfg.with_shares {
            if outlook.lacks_capacity(Millis(kind.time_left)) {
                entry.shares.record_contention(kind.band, now_ms);
            }
            let overload = outlook.overload();
            let factor = entry.shares.wait_factor(team, kind.band, overload, now_ms);
            is_admitted = outlook.is_admitted_with(factor);
            if kind.band == 2 {
                excess = entry.shares.excess(team, now_ms);
            }
        }
        self.outcome.changed += u32::from(usual != is_admitted);
        match (is_admitted, kind.band) {
            (_, 2) => self.enter_queue(at, ask, excess, is_admitted, now),
            (true, _) => self.send(at, ask, now),
            (false, _) => self.refuse(at, ask, now),
        }
    }

    fn send(&mut self, at: usize, ask: Ask, now: u64) {
        let (kind, team) = (KINDS[ask.kind], self.names[ask.team]);
        let entry = &mut self.entries[at];
        entry.shares.record_sent(team, kind.tokens, Millis(now));
        entry.unseen.push_back((now, kind.band, kind.tokens as f64));
        self.backlog[kind.band] += kind.tokens as f64;
        self.outcome.count_served(&ask, now);
    }

    fn refuse(&mut self, at: usize, ask: Ask, now: u64) {
        self.outcome.refused += 1;
        if ask.is_retry {
            return;
        }
        let (band, team) = (KINDS[ask.kind].band, self.names[ask.team]);
        let standing = self.entries[at].shares.standing(team, band, Millis(now));
        let excess = standing.map_or(1.0, |s| s.excess.max(1.0));
        let left = ask.deadline.saturating_sub(now);
        let spread = (5_000.0 * excess.log2()).max(250.0);
        let spread = spread.min(left as f64 / 4.0 - 150.0).max(0.0);
        let wait = 150 + (spread * self.rng.gen::<f64>()) as u64;
        self.back.push(Ask {
            due: now + wait.min(left / 3),
            is_retry: true,
            ..ask
        });
    }

    /// Lets a request start, wait, or refuses it, as entries do.
    fn enter_queue(&mut self, at: usize, ask: Ask, excess: f64, is_admitted: bool, now: u64) {
        let room = self.room(at, now);
        let tokens = KINDS[ask.kind].tokens as u32;
        let req = WaitingRequest {
            band: 2,
            team: self.names[ask.team],
            excess,
            arrived: Millis(now),
            unread: tokens,
            held: tokens,
            body_bytes: 50_000,
            latest_start: Millis(ask.deadline) - Millis(RUN_MS),
        };
        let (entry, now_ms) = (&mut self.entries[at], Millis(now));
        if is_admitted && entry.queue.starts_at_once(&req, now_ms, &room) {
            entry.queue.start(&req, now_ms);
            entry.queue.started(&req);
            return self.send(at, ask, now);
        }
        let mut is_full = entry.queue.len() >= MAX_WAITING;
        let displaced = entry.queue.displaced_by(&req).filter(|_| is_full);
        if let Some(key) = displaced {
            is_full = false;
            entry.queue.remove(key);
            let (ask, _) = entry.waiting.remove(&key).unwrap();
            self.refuse(at, ask, now);
        }
        let entry = &mut self.entries[at];
        if is_full || !entry.queue.can_serve(&req, now_ms, &room) {
            return self.refuse(at, ask, now);
        }
        let key = entry.queue.push(req, now_ms);
        entry.waiting.insert(key, (ask, req));
    }

    /// Lets waiting requests of an entry start as far as there is room.
    fn release(&mut self, at: usize, now: u64) {
        if self.entries[at].queue.is_empty() {
            return;
        }
        let (room, now_ms) = (self.room(at, now), Millis(now));
        let entry = &mut self.entries[at];
        if self.cfg.with_shares {
            let (queue, shares) = (&mut entry.queue, &mut entry.shares);
            shares.record_contention(2, now_ms);
            queue.refresh_excess(|team| shares.excess(team, now_ms));
        }
        while let Some(key) = self.entries[at].queue.next(now_ms, &room) {
            let (ask, req) = self.entries[at].waiting.remove(&key).unwrap();
            self.entries[at].queue.started(&req);
            self.send(at, ask, now);
        }
        for key in self.entries[at].queue.hopeless(now_ms, &room) {
            self.entries[at].queue.remove(key);
            let (ask, _) = self.entries[at].waiting.remove(&key).unwrap();
            self.refuse(at, ask, now);
        }
    }

    /// What an entry knows of the free capacity.
    fn room(&mut self, at: usize, now: u64) -> Room {
        let (backlog, _) = self.visible(at, 2, now);
        let peers = self.cfg.entries - 1;
        let heard = self.entries[at].heard.values();
        let heard = heard.filter(|at| **at + REPORT_TTL.0 > now).count();
        Room {
            endpoints: 50,
            free: Capacity {
                unread: SHORTEST_TARGET.0 as f64 * self.capacity_per_ms - backlog,
                held: 1e9,
                slots: 1e6,
            },
            prefill_tokens_per_ms: self.capacity_per_ms,
            entries: self.cfg.entries,
            assumed_entries: self.cfg.entries,
            visibility_delay: Millis(SEEN_LATE_MS),
            hearing_time: Millis(300),
            heard_fraction: heard as f64 / peers as f64,
            draw: self.rng.gen(),
        }
    }

    /// The backlog that an entry knows: of all, and of what goes before a band.
    fn visible(&mut self, at: usize, band: usize, now: u64) -> (f64, f64) {
        let entry = &mut self.entries[at];
        while matches!(entry.unseen.front(), Some((sent, ..)) if sent + SEEN_LATE_MS < now) {
            entry.unseen.pop_front();
        }
        let mut known = self.seen.front().copied().unwrap_or_default();
        for (_, band, tokens) in &entry.unseen {
            known[*band] += tokens;
        }
        (known.iter().sum(), known[..=band].iter().sum())
    }

    fn work(&mut self, now: u64) {
        let mut left = self.capacity_per_ms * STEP_MS as f64;
        for band in &mut self.backlog {
            let done = band.min(left);
            *band -= done;
            left -= done;
        }
        if FLOOD_MS.contains(&now) && left == 0.0 {
            self.outcome.busy_ms += STEP_MS;
        }
        self.seen.push_back(self.backlog);
        if self.seen.len() as u64 > SEEN_LATE_MS / STEP_MS {
            self.seen.pop_front();
        }
    }

    fn gossip(&mut self, now: u64) {
        let count = self.cfg.entries;
        for from in 0..count {
            let zone = |at: usize| at % self.cfg.zones;
            let neighbors: Vec<usize> = (0..count)
                .filter(|at| *at != from && zone(*at) == zone(from))
                .collect();
            let mut to = Vec::new();
            for _ in 0..neighbors.len().min(7) {
                to.push(neighbors[self.entries[from].cursor % neighbors.len()]);
                self.entries[from].cursor += 1;
            }
            to.extend((0..2).map(|_| self.rng.gen_range(0..count)));
            let id = PeerId(from as u64);
            let room = self.room(from, now);
            let summary = self.entries[from].queue.summary(Millis(now), &room);
            for to in to {
                if to != from {
                    self.entries[to].heard.insert(id, now);
                }
                if let Some(summary) = summary.filter(|_| to != from) {
                    let queue = &mut self.entries[to].queue;
                    queue.record_peer(id, summary, Millis(now));
                }
                if !self.rng.gen_bool(REPORTED_FRACTION) || to == from {
                    continue;
                }
                let Some(report) = self.entries[from].shares.report(POOL, Millis(now)) else {
                    continue;
                };
                let bytes = encode_shared(SharedKind::TeamUsage, id, &report).unwrap();
                self.outcome.report_bytes += bytes.len();
                self.outcome.reports += 1;
                let late = self.rng.gen_range(1..20);
                self.letters.push((now + late, to, id, bytes));
            }
        }
    }

    fn deliver(&mut self, now: u64) {
        let (due, later) = self.letters.drain(..).partition(|(at, ..)| *at <= now);
        self.letters = later;
        let due: Vec<_> = due;
        for (_, to, from, bytes) in due {
            let (_, _, payload) = split_shared(&bytes).unwrap();
            let report: UsageReport = decode_shared(payload).unwrap();
            let shares = &mut self.entries[to].shares;
            shares.record_report(from, report, Millis(now));
        }
    }
}

/// Max-min fair shares of a capacity.
fn fair_shares(asked: &[f64], capacity: f64) -> Vec<f64> {
    let mut sorted = asked.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (mut left, mut level) = (capacity, f64::MAX);
    for (i, ask) in sorted.iter().enumerate() {
        let equal = left / (sorted.len() - i) as f64;
        if *ask > equal {
            level = equal;
            break;
        }
        left -= ask;
    }
    asked.iter().map(|ask| ask.min(level)).collect()
}

/// Jain's index of what teams got over their fair shares.
fn fairness(outcome: &Outcome) -> f64 {
    let capacity = outcome.served.iter().sum();
    let shares = fair_shares(&outcome.asked, capacity);
    let got = outcome.served.iter().zip(shares);
    let got: Vec<f64> = got.map(|(served, share)| served / share.max(1.0)).collect();
    let (sum, squares) = got.iter().fold((0.0, 0.0), |(s, q), x| (s + x, q + x * x));
    sum * sum / (squares * got.len() as f64)
}

/// Part of what the teams but the first ask for that they get.
fn others_served(outcome: &Outcome) -> f64 {
    outcome.served[1..].iter().sum::<f64>() / outcome.asked[1..].iter().sum::<f64>()
}

fn show(name: &str, outcome: &Outcome) {
    println!(
        "{name}: taken within the urgency {:.3}, others {:.4}, first {:.3}, fairness {:.3}, busy {:.3}, refused {}, changed {}, {} B a report",
        outcome.settled_first / outcome.settled_others,
        others_served(outcome),
        outcome.served[0] / outcome.asked[0],
        fairness(outcome),
        outcome.busy_ms as f64 / (FLOOD_MS.end - FLOOD_MS.start) as f64,
        outcome.refused,
        outcome.changed,
        outcome.report_bytes / outcome.reports.max(1),
    );
}

/// Asserts that the other teams lose under 2% of what they get without the flood.
fn check_others(with: &Outcome, calm: &Outcome) {
    for band in 0..3 {
        let others = with.served_by_band[band][1] / with.asked_by_band[band][1];
        assert!(others > 0.98, "{others} of band {band}");
    }
    let lost = others_served(calm) - others_served(with);
    assert!(lost < 0.02, "{lost}");
}

fn check_flood(scenario: Scenario, seed: u64) {
    let calm = Scenario {
        flood: 1.0,
        ..scenario
    };
    let calm = Replay::new(calm, seed).run();
    let with = Replay::new(scenario, seed).run();
    show("calm", &calm);
    show("with shares", &with);
    check_others(&with, &calm);
    assert!(fairness(&with) >= 0.95);
    // The shares change who is refused, not how much the pool serves.
    assert!(with.busy_ms as f64 > 0.98 * (FLOOD_MS.end - FLOOD_MS.start) as f64);
}

/// Guards against a team that takes from 23 others what they would get without its flood.
#[test]
fn flood_of_one() {
    for seed in 1..=3 {
        for load in [0.85, 0.95] {
            check_flood(Scenario { load, ..SMALL }, seed);
        }
    }
}

/// The same among 800 teams, where an entry hears of few of the others and reports only the heaviest.
#[test]
fn flood_among_many() {
    check_flood(LARGE, 1);
}

/// Everyone sends 3.5 times the usual, one team six times: the capacity is divided by shares.
#[test]
fn flood_of_all() {
    for seed in 1..=3 {
        let scenario = Scenario {
            flood: 6.0,
            others: 3.5,
            ..SMALL
        };
        let without = Scenario {
            with_shares: false,
            ..scenario
        };
        let without = Replay::new(without, seed).run();
        let with = Replay::new(scenario, seed).run();
        show("all without shares", &without);
        show("all with shares", &with);
        assert!(fairness(&with) > fairness(&without));
        assert!(with.busy_ms as f64 > 0.98 * without.busy_ms as f64);
    }
}

fn calm_scenario() -> Scenario {
    Scenario {
        flood: 1.0,
        ..SMALL
    }
}

/// Guards against refusals for a team while the pool has capacity for all, in calm and in a flood.
#[test]
fn idle_pool_unaffected() {
    let roomy = Scenario { load: 0.3, ..SMALL };
    for scenario in [calm_scenario(), roomy] {
        let outcome = Replay::new(scenario, 1).run();
        assert_eq!((outcome.changed, outcome.refused), (0, 0));
    }
}

/// Shares of a pool in which each team has sent what it asked for: `(team, tokens)`.
fn shares_of(sent: &[(u32, u64)]) -> TeamShares {
    let mut shares = TeamShares::default();
    shares.set_team_count(sent.len());
    for (team, tokens) in sent {
        shares.record_arrival(NameDigest(*team), 2, *tokens, Millis(1_000));
        shares.record_sent(NameDigest(*team), *tokens, Millis(1_000));
    }
    shares
}

fn report_of(team: u32, used: u32, asked: u32) -> UsageReport {
    UsageReport {
        pool: POOL,
        teams: vec![(
            NameDigest(team),
            ReportedUsage {
                used,
                asked: [0, 0, asked],
            },
        )],
        others: ReportedUsage::default(),
    }
}

/// Lack of capacity of a band bears on that band and less urgent ones, for one second.
#[test]
fn contention_by_band() {
    let mut shares = shares_of(&[(1, 100_000), (2, 10_000)]);
    let (team, now) = (NameDigest(1), Millis(1_000));
    assert_eq!(shares.standing(team, 2, now), None);
    shares.record_contention(1, now);
    assert_eq!(shares.standing(team, 0, now), None);
    assert!(shares.standing(team, 1, now).is_some());
    assert!(shares.standing(team, 2, Millis(1_999)).is_some());
    assert_eq!(shares.standing(team, 2, Millis(2_000)), None);
}

/// A team that is refused often must not shrink the shares of the others: what they may use stays
/// the same, however much more the refused team asks for.
#[test]
fn refused_demand_bounded() {
    let others = [(2, 40_000), (3, 10_000)];
    let now = Millis(1_000);
    let standing = |refused: u64| {
        let mut shares = shares_of(&[&[(1, 50_000)], &others[..]].concat());
        shares.record_arrival(NameDigest(1), 2, refused, now);
        shares.record_contention(2, now);
        others.map(|(team, _)| shares.standing(NameDigest(team), 2, now))
    };
    assert_eq!(standing(10_000), standing(10_000_000));
}

/// Where only part of the requests is sent, the shares don't change how much that is, and a team
/// within its share gets all.
#[test]
fn part_sent_conserved() {
    let teams = [(1, 700_000), (2, 100_000), (3, 60_000), (4, 40_000)];
    let mut shares = shares_of(&teams);
    let now = Millis(1_000);
    let asked: u64 = teams.iter().map(|(_, tokens)| tokens).sum();
    for of_all in [0.05, 0.2, 0.4, 0.6, 0.9] {
        let sent = |shares: &mut TeamShares, team: u32, tokens: u64| {
            tokens as f64 * shares.sent_fraction(NameDigest(team), 2, of_all, now)
        };
        let sum: f64 = teams
            .iter()
            .map(|(team, tokens)| sent(&mut shares, *team, *tokens))
            .sum();
        assert!((sum - of_all * asked as f64).abs() < 1.0, "{of_all}: {sum}");
    }
    assert_eq!(shares.sent_fraction(NameDigest(2), 2, 0.4, now), 1.0);
    assert_eq!(shares.sent_fraction(NameDigest(9), 2, 0.4, now), 1.0);
}

/// What a team asks for in less urgent bands takes nothing from its urgent requests, and what it asks
/// for in more urgent ones counts as part of its share.
#[test]
fn competing_bands_only() {
    let now = Millis(1_000);
    let [first, second] = [1, 2].map(NameDigest);
    let mut shares = TeamShares::default();
    shares.set_team_count(2);
    for team in [first, second] {
        shares.record_arrival(team, 1, 50_000, now);
    }
    shares.record_arrival(first, 2, 900_000, now);
    assert_eq!(shares.sent_fraction(first, 1, 0.5, now), 0.5);
    assert_eq!(shares.sent_fraction(second, 1, 0.5, now), 0.5);
    let mut shares = shares_of(&[(1, 50_000), (2, 50_000)]);
    shares.record_arrival(first, 0, 50_000, now);
    assert_eq!(shares.sent_fraction(first, 2, 0.5, now), 0.0);
    assert_eq!(shares.sent_fraction(second, 2, 0.5, now), 1.0);
}

/// A lone request of a large team is sent to a pool that has room, whatever peers report, and a
/// request with little time left does not count as lack of capacity.
#[test]
fn room_for_lone() {
    let (team, now) = (NameDigest(1), Millis(1_000));
    let mut shares = shares_of(&[(1, 900_000), (2, 10_000), (3, 10_000)]);
    shares.record_arrival(NameDigest(2), 2, 500_000, now);
    shares.record_report(PeerId(1), report_of(1, 9_000, 9_000), now);
    assert!(shares.excess(team, now) > 1.0);
    assert_eq!(shares.wait_factor(team, 2, 0.0, now), 1.0);
    shares.record_contention(2, now);
    assert_eq!(shares.wait_factor(NameDigest(3), 2, 1.0, now), 1.0);
    let factor = shares.wait_factor(team, 2, 1.0, now);
    assert!(factor < 1.0);
    let outlook = EngineAdmission {
        band: 2,
        expected_ms: 180.0,
        backlog_ms: 100.0,
        shortest_target: SHORTEST_TARGET,
        time_left: Millis(15_000),
        longest_less_urgent_time: Millis(0),
        has_more_urgent: true,
    };
    assert!(outlook.is_admitted_with(factor));
    let late = EngineAdmission {
        time_left: Millis(100),
        ..outlook
    };
    assert!(!late.is_admitted() && !late.lacks_capacity(Millis(15_000)));
}

/// Requests of one team that arrive together don't make it a team beyond its share.
#[test]
fn arrivals_together() {
    let (team, now) = (NameDigest(1), Millis(1_000));
    let mut shares = shares_of(&[(1, 12_000), (2, 12_000)]);
    shares.record_arrival(team, 2, 120_000, now);
    assert_eq!(shares.wait_factor(team, 2, 1.0, now), 1.0);
}

/// Guards against reports of teams whose usage is over.
#[test]
fn usage_forgotten() {
    let mut shares = shares_of(&[(1, 12_000), (2, 12_000)]);
    assert_eq!(shares.report(POOL, Millis(1_000)).unwrap().teams.len(), 2);
    shares.record_arrival(NameDigest(3), 2, 12_000, Millis(100_000));
    assert_eq!(shares.report(POOL, Millis(100_000)).unwrap().teams.len(), 1);
    assert_eq!(shares.report(POOL, Millis(200_000)), None);
}

/// An entry that hears nobody uses what it sees itself.
#[test]
fn cut_off_entry() {
    let mut shares = shares_of(&[(1, 50_000), (2, 10_000), (3, 10_000)]);
    let now = Millis(1_000);
    shares.record_arrival(NameDigest(1), 2, 400_000, now);
    shares.record_arrival(NameDigest(2), 2, 10_000, now);
    assert!(shares.excess(NameDigest(1), now) > 1.0);
    assert!(shares.excess(NameDigest(2), now) < 1.0);
}

/// A corrupted figure of a peer changes one team by a bounded amount, and only for 3 s.
#[test]
fn corrupted_figure_bounded() {
    let now = Millis(1_000);
    let teams = [(1, 256_000), (2, 256_000), (3, 256_000)];
    let excess = |corrupted: u32, at: Millis| {
        let mut shares = shares_of(&teams);
        for (i, (team, _)) in teams.iter().enumerate() {
            shares.record_report(PeerId(i as u64), report_of(*team, 3_000, 3_000), now);
        }
        shares.record_report(PeerId(9), report_of(1, corrupted, corrupted), now);
        [1, 2, 3].map(|team| shares.excess(NameDigest(team), at))
    };
    let bounded = excess(1 << 20, now);
    assert_eq!(bounded, excess(1 << 18, now));
    assert!(bounded[1] == bounded[2] && bounded[1] > 0.2, "{bounded:?}");
    let later = excess(1 << 20, Millis(4_000));
    assert!(later[0] == later[1] && later[0] <= 1.0, "{later:?}");
    // Larger figures and longer reports than an entry sends are discarded.
    assert_eq!(excess(u32::MAX, now), excess(0, now));
    let mut shares = shares_of(&teams);
    let mut long = report_of(1, 9, 9);
    long.teams = vec![long.teams[0]; MAX_REPORTED_TEAMS + 1];
    shares.record_report(PeerId(1), long, now);
    assert_eq!(shares.excess(NameDigest(1), now), 1.0);
}

fn mixed_routes() -> Vec<Route> {
    let stream = Route {
        priority: 0,
        ..common::events_route("reply", "/reply/", Millis(300))
    };
    let patient = Route {
        timeout: Millis(15_000),
        ..common::events_route("review", "/review/", Millis(1_200))
    };
    vec![stream, patient]
}

/// Shares apply to mixed pools of a configuration with two teams or more, and to no others.
#[test]
fn mixed_pools_only() {
    let (_, entry) = common::entry();
    let has_shares = |routes, teams: &[&str]| {
        let team = |name: &&str| Team {
            name: (*name).into(),
            keys: Vec::new(),
            priority: None,
            regions: Vec::new(),
        };
        let teams = teams.iter().map(team).collect();
        let catalog = Catalog::new(1, routes, Vec::new(), teams, CallerLimits::default());
        let shares = entry.team_shares(&catalog, "pool", |_| ());
        let excess = entry.team_excess(&catalog, "pool", NameDigest(0), Millis(0));
        assert!(shares.is_some() || excess == 1.0);
        shares.is_some()
    };
    assert!(has_shares(mixed_routes(), &["a", "b"]));
    assert!(!has_shares(mixed_routes(), &["a"]));
    assert!(!has_shares(mixed_routes()[..1].to_vec(), &["a", "b"]));
}
