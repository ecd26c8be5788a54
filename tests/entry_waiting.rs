//! Requests that wait at the entries of a mixed pool: their order, and what all entries together
//! send, replayed without a network. Entries see each other's work late and engines are half as
//! fast as assumed.

use std::collections::VecDeque;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use violetline::clock::Millis;
use violetline::direct::admission::waiting::{
    Capacity, Room, WaitingKey, WaitingQueue, WaitingRequest,
};
use violetline::direct::admission::waiting_peers::{BandSummary, PoolSummary, REPORT_TTL};
use violetline::direct::peers::{
    decode_shared, encode_shared, split_shared, NameDigest, PeerId, SharedKind,
};

const ROOM: Room = Room {
    endpoints: 50,
    free: Capacity {
        unread: 100_000.0,
        held: 10_000_000.0,
        slots: 1_000.0,
    },
    prefill_tokens_per_ms: 2_500.0,
    entries: 1,
    assumed_entries: 1,
    visibility_delay: Millis(200),
    hearing_time: Millis(300),
    heard_fraction: 1.0,
    draw: 0.5,
};
const FULL: Room = Room {
    free: Capacity {
        unread: 0.0,
        held: 0.0,
        slots: 0.0,
    },
    ..ROOM
};

fn request(latest_start: u64) -> WaitingRequest {
    WaitingRequest {
        band: 2,
        team: NameDigest(0),
        excess: 1.0,
        arrived: Millis(0),
        unread: 6_610,
        held: 12_400,
        body_bytes: 50_000,
        latest_start: Millis(latest_start),
    }
}

fn summary(band: usize, requests: usize) -> PoolSummary {
    let mut bands = [BandSummary::default(); 3];
    (0..requests).for_each(|_| bands[band].add(6_610));
    PoolSummary::new(bands, 10.0)
}

/// In a full queue a request within its share takes the place of the newest one beyond its share,
/// never of a more urgent one.
#[test]
fn flood_gives_way() {
    let mut queue = WaitingQueue::new();
    let beyond = |band, arrived| WaitingRequest {
        band,
        excess: 2.0,
        arrived: Millis(arrived),
        ..request(9_000)
    };
    queue.push(request(9_000), Millis(0));
    assert_eq!(queue.displaced_by(&request(9_000)), None);
    queue.push(beyond(2, 10), Millis(10));
    let newest = queue.push(beyond(2, 20), Millis(20));
    queue.push(beyond(1, 30), Millis(30));
    assert_eq!(queue.displaced_by(&request(9_000)), Some(newest));
    assert_eq!(queue.displaced_by(&beyond(2, 40)), None);
    // An excess that is over by now no longer counts.
    queue.refresh_excess(|_| 1.0);
    assert_eq!(queue.displaced_by(&request(9_000)), None);
}

/// The order is by band, then share, then latest start, whatever the order of arrival.
#[test]
fn served_in_order() {
    let mut queue = WaitingQueue::new();
    let over = WaitingRequest {
        excess: 2.0,
        ..request(5_000)
    };
    let urgent = WaitingRequest {
        band: 1,
        ..request(9_000)
    };
    let now = Millis(1_000);
    let keys = [over, request(8_000), request(7_000), urgent].map(|req| queue.push(req, now));
    let now = Millis(2_000);
    let served: Vec<WaitingKey> = std::iter::from_fn(|| queue.next(now, &ROOM)).collect();
    assert_eq!(served, [keys[3], keys[2], keys[1], keys[0]]);
}

/// A request that arrives does not overtake one that waits here, nor one that waits at a peer.
#[test]
fn arrivals_go_last() {
    let mut queue = WaitingQueue::new();
    let now = Millis(1_000);
    assert!(queue.starts_at_once(&request(9_000), now, &ROOM));
    let key = queue.push(request(9_000), now);
    assert!(!queue.starts_at_once(&request(9_000), now, &ROOM));
    queue.remove(key);
    assert!(queue.starts_at_once(&request(9_000), now, &ROOM));
    queue.record_peer(PeerId(7), summary(2, 3), now);
    assert!(!queue.starts_at_once(&request(9_000), now, &ROOM));
    let later = now + REPORT_TTL;
    assert!(queue.starts_at_once(&request(9_000), later, &ROOM));
}

/// Nothing starts while the engines have no room, and a caller that leaves frees its place at once.
#[test]
fn caller_leaves() {
    let mut queue = WaitingQueue::new();
    let now = Millis(1_000);
    let keys = [9_000, 9_001].map(|at| queue.push(request(at), now));
    assert_eq!(queue.next(now, &FULL), None);
    queue.remove(keys[0]);
    assert_eq!((queue.len(), queue.body_bytes()), (1, 50_000));
    assert_eq!(queue.next(Millis(1_500), &ROOM), Some(keys[1]));
    assert_eq!(queue.summary(Millis(1_500), &ROOM), None);
}

/// More urgent requests that wait at a peer use the room first.
#[test]
fn yields_to_peers() {
    let mut queue = WaitingQueue::new();
    let now = Millis(1_000);
    queue.push(request(9_000), Millis(0));
    queue.record_peer(PeerId(7), summary(1, 20), now);
    assert_eq!(queue.next(now, &ROOM), None, "132,200 tokens wait there");
    queue.record_peer(PeerId(7), summary(1, 2), now);
    assert!(queue.next(now, &ROOM).is_some());
}

/// Two entries whose requests wait take half of the room each, not all of it twice.
#[test]
fn takes_its_part() {
    let mut queue = WaitingQueue::new();
    for _ in 0..20 {
        queue.push(request(9_000), Millis(0));
    }
    let now = Millis(1_000);
    queue.record_peer(PeerId(7), summary(2, 20), now);
    let mut started = 0.0;
    let mut room = ROOM;
    while queue.next(now, &room).is_some() {
        started += 6_610.0;
        // It counts as load at once.
        queue.started(&request(9_000));
        room.free.unread = ROOM.free.unread - started;
    }
    assert!((43_000.0..57_000.0).contains(&started), "{started}");
    let after = now + ROOM.visibility_delay + Millis(1);
    assert!(queue.next(after, &room).is_some(), "peers see it by then");
}

/// Requests that were let start and are not at an endpoint yet use the room as well.
#[test]
fn starts_use_room() {
    let mut queue = WaitingQueue::new();
    for _ in 0..40 {
        queue.push(request(9_000), Millis(0));
    }
    let now = Millis(1_000);
    let started = std::iter::from_fn(|| queue.next(now, &ROOM)).count();
    assert!((14..=17).contains(&started), "{started} of 100,000 tokens");
}

/// A request is refused on arrival if the work ahead takes too long, and later only if the pool got
/// much worse.
#[test]
fn refused_early() {
    let mut queue = WaitingQueue::new();
    let now = Millis(1_000);
    let mut accepted = 0;
    while queue.can_serve(&request(9_000), now, &ROOM) && accepted < 5_000 {
        queue.push(request(9_000), now);
        accepted += 1;
    }
    let pace = 1_250.0;
    let tokens = 8_000.0 * pace;
    let expected = (tokens / 6_610.0) as i64;
    assert!((accepted - expected).abs() < 20, "{accepted} {expected}");
    assert!(queue.hopeless(now + Millis(1_000), &ROOM).is_empty());
    let hopeless = queue.hopeless(now + Millis(4_500), &ROOM);
    assert!(!hopeless.is_empty(), "nothing was sent for 4.5 s");
    assert!(
        hopeless.len() < queue.len(),
        "those that go first may still be served"
    );
    assert_eq!(queue.hopeless(Millis(9_000), &ROOM).len(), queue.len());
}

/// While the process stops, what can't be answered before its end is refused, and the rest is sent.
#[test]
fn entry_stops() {
    let mut queue = WaitingQueue::new();
    queue.record_run(2, Millis(2_000));
    let now = Millis(1_000);
    for _ in 0..600 {
        queue.push(request(12_000), now);
    }
    assert!(queue.hopeless(now, &ROOM).is_empty());
    queue.stop_at(Millis(5_000));
    let refused = queue.hopeless(now, &ROOM).len();
    let in_time = (2_000.0 * 1_250.0 / 6_610.0) as usize;
    assert!((600 - in_time).abs_diff(refused) < 5, "{refused}");
    assert!(!queue.can_serve(&request(12_000), Millis(3_500), &ROOM));
}

/// After a suspension the entry knows nothing of its peers' requests and takes no more than an equal
/// share, in the order as before.
#[test]
fn entry_suspended() {
    let mut queue = WaitingQueue::new();
    let room = Room {
        assumed_entries: 20,
        ..ROOM
    };
    let keys: Vec<WaitingKey> = (0..40)
        .map(|at| queue.push(request(20_000 + at), Millis(0)))
        .collect();
    queue.resume(Millis(10_000));
    let now = Millis(10_010);
    let started: Vec<WaitingKey> = std::iter::from_fn(|| queue.next(now, &room)).collect();
    assert!((1..=3).contains(&started.len()), "{}", started.len());
    assert_eq!(started, keys[..started.len()]);
}

/// Where no endpoint accepts requests, as with all zones cordoned, waiting is of no use: requests
/// go on and are answered as without a queue.
#[test]
fn no_endpoints() {
    let mut queue = WaitingQueue::new();
    let key = queue.push(request(9_000), Millis(0));
    let room = Room {
        endpoints: 0,
        ..FULL
    };
    assert_eq!(queue.next(Millis(10), &room), Some(key));
}

/// A corrupted report counts as no more than one entry can have, and only until the next one or its
/// expiry; a datagram of another format is not read.
#[test]
fn corrupted_report() {
    let mut queue = WaitingQueue::new();
    let bytes = encode_shared(
        SharedKind::Waiting,
        PeerId(7),
        &vec![(1_u32, summary(1, 5))],
    )
    .unwrap();
    assert!(bytes.len() < 64, "{} bytes", bytes.len());
    let (_, from, payload) = split_shared(&bytes).unwrap();
    assert_eq!(from, PeerId(7));
    let decoded: Vec<(u32, PoolSummary)> = decode_shared(payload).unwrap();
    assert_eq!(decoded, [(1, summary(1, 5))]);
    assert_eq!(
        decode_shared::<Vec<(u32, PoolSummary)>>(&payload[..3]),
        None
    );
    let now = Millis(1_000);
    let forged: PoolSummary =
        serde_json::from_str(r#"{"bands":[{"count":9,"blocks":4294967295},{"count":0,"blocks":0},{"count":0,"blocks":0}],"tokens_per_s":4294967295}"#)
            .unwrap();
    queue.record_peer(PeerId(7), forged, now);
    queue.push(request(9_000), Millis(0));
    assert_eq!(queue.next(now, &ROOM), None);
    assert!(queue.next(now + REPORT_TTL, &ROOM).is_some());
}

const ENTRIES: usize = 27;
const ENGINES: usize = 50;
const STEP: u64 = 5;
/// Time after which an entry sees the work of others, in ms.
const DELAY: u64 = 200;
/// Interval between an entry's reports, in ms.
const TELL: u64 = 150;
/// Prompt tokens that an engine prefills in a millisecond; entries assume 50.
const PREFILL: f64 = 24.0;
/// Backlog up to which requests are sent, in ms: the target of the urgent streams.
const TARGET_MS: f64 = 400.0;
const TIMEOUT: u64 = 15_000;
const RUN: u64 = 3_000;

/// What a replay shows.
#[derive(Debug, Default)]
struct Seen {
    arrived: usize,
    refused: usize,
    /// Refused after a wait.
    refused_late: usize,
    /// Sent after the latest start.
    too_late: usize,
    lost: usize,
    sent: usize,
    longest_wait: u64,
    /// Largest mean backlog at the engines, in ms of their own speed.
    backlog_ms: f64,
}

/// A fleet that is replayed. Entries see the sum of others' work late.
struct Fleet {
    queues: Vec<WaitingQueue>,
    waiting: Vec<Vec<(WaitingKey, WaitingRequest, u64)>>,
    /// Prompts at each engine: the entry that sent it, tokens left.
    engines: Vec<VecDeque<(usize, f64)>>,
    is_down: Vec<bool>,
    /// Tokens that entries have at engines, of the last steps.
    history: VecDeque<Vec<f64>>,
    /// Entries that hear each other have the same number.
    groups: Vec<usize>,
    known_entries: usize,
    rng: SmallRng,
    seen: Seen,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self {
            queues: (0..ENTRIES).map(|_| WaitingQueue::new()).collect(),
            waiting: vec![Vec::new(); ENTRIES],
            engines: vec![VecDeque::new(); ENGINES],
            is_down: vec![false; ENGINES],
            history: VecDeque::new(),
            groups: vec![0; ENTRIES],
            known_entries: ENTRIES,
            rng: SmallRng::seed_from_u64(seed),
            seen: Seen::default(),
        }
    }

    fn work(&self) -> Vec<f64> {
        let mut work = vec![0.0; ENTRIES];
        for (entry, tokens) in self.engines.iter().flatten() {
            work[*entry] += tokens;
        }
        work
    }

    fn room(&mut self, entry: usize) -> Room {
        let up = self.is_down.iter().filter(|down| !**down).count();
        let own = self.work()[entry];
        let before = self.history.front();
        let others: f64 = before.map_or(0.0, |work| work.iter().sum::<f64>() - work[entry]);
        let room = |limit: f64| (limit - own - others).max(-1e9);
        Room {
            endpoints: up,
            free: Capacity {
                unread: room(TARGET_MS * 50.0 * up as f64),
                held: 1e9,
                slots: 1e6,
            },
            prefill_tokens_per_ms: 50.0 * up as f64,
            entries: self.known_entries,
            assumed_entries: self.known_entries,
            visibility_delay: Millis(DELAY),
            hearing_time: Millis(2 * TELL),
            heard_fraction: 1.0,
            draw: self.rng.gen(),
        }
    }

    fn arrive(&mut self, entry: usize, now: u64) {
        self.seen.arrived += 1;
        let unread = if self.rng.gen_bool(0.1) {
            11_992
        } else {
            6_610
        };
        let req = WaitingRequest {
            unread,
            ..request(now + TIMEOUT - RUN)
        };
        let room = self.room(entry);
        let at = Millis(now);
        let queue = &mut self.queues[entry];
        if queue.starts_at_once(&req, at, &room) {
            queue.start(&req, at);
            self.send(entry, &req, now, now);
        } else if queue.len() < 512 && queue.can_serve(&req, at, &room) {
            let key = queue.push(req, at);
            self.waiting[entry].push((key, req, now));
        } else {
            self.seen.refused += 1;
        }
    }

    fn send(&mut self, entry: usize, req: &WaitingRequest, arrived: u64, now: u64) {
        let mut pick = || self.rng.gen_range(0..ENGINES);
        let picks: Vec<usize> = (0..4).map(|_| pick()).collect();
        let up = picks.into_iter().filter(|engine| !self.is_down[*engine]);
        let load = |engine: &usize| {
            let tokens = self.engines[*engine].iter().map(|(_, tokens)| tokens);
            tokens.sum::<f64>() as u64
        };
        let best = up.min_by_key(load);
        self.queues[entry].started(req);
        self.seen.sent += 1;
        self.seen.longest_wait = self.seen.longest_wait.max(now - arrived);
        self.seen.too_late += usize::from(Millis(now) > req.latest_start);
        match best {
            Some(engine) => self.engines[engine].push_back((entry, f64::from(req.unread))),
            None => self.seen.lost += 1,
        }
    }

    fn release(&mut self, entry: usize, now: u64) {
        loop {
            let room = self.room(entry);
            let Some(key) = self.queues[entry].next(Millis(now), &room) else {
                break;
            };
            let at = self.waiting[entry].iter().position(|(k, ..)| *k == key);
            let (_, req, arrived) = self.waiting[entry].swap_remove(at.unwrap());
            self.send(entry, &req, arrived, now);
        }
        let room = self.room(entry);
        for key in self.queues[entry].hopeless(Millis(now), &room) {
            self.queues[entry].remove(key);
            self.waiting[entry].retain(|(k, ..)| *k != key);
            self.seen.refused_late += 1;
        }
    }

    fn tell(&mut self, now: u64) {
        for from in 0..ENTRIES {
            let room = self.room(from);
            let Some(summary) = self.queues[from].summary(Millis(now), &room) else {
                continue;
            };
            for to in (0..ENTRIES).filter(|to| *to != from) {
                if self.groups[to] == self.groups[from] {
                    self.queues[to].record_peer(PeerId(from as u64), summary, Millis(now));
                }
            }
        }
    }

    fn crash(&mut self, engines: std::ops::Range<usize>) {
        for engine in engines {
            self.is_down[engine] = true;
            self.seen.lost += self.engines[engine].len();
            self.engines[engine].clear();
        }
    }

    /// One step: engines prefill, and entries look every 25 ms.
    fn step(&mut self, now: u64) {
        for prompts in &mut self.engines {
            let mut left = PREFILL * STEP as f64;
            while let Some((_, tokens)) = prompts.front_mut() {
                let done = tokens.min(left);
                *tokens -= done;
                left -= done;
                if *tokens > 0.0 {
                    break;
                }
                prompts.pop_front();
            }
        }
        if now % TELL == 0 {
            self.tell(now);
        }
        for entry in 0..ENTRIES {
            if (now / STEP + entry as u64) % 5 == 0 {
                self.release(entry, now);
            }
        }
        let work = self.work();
        let up = self.is_down.iter().filter(|down| !**down).count() as f64;
        let backlog = work.iter().sum::<f64>() / up / PREFILL;
        self.seen.backlog_ms = self.seen.backlog_ms.max(backlog);
        self.history.push_back(work);
        if self.history.len() as u64 > DELAY / STEP {
            self.history.pop_front();
        }
    }

    /// Arrivals of one step, at a rate for all entries; entries differ by up to seven times.
    fn arrivals(&mut self, per_s: f64, now: u64) {
        let mean = per_s * STEP as f64 / 1_000.0;
        let mut count = mean as usize;
        count += usize::from(self.rng.gen_bool(mean.fract()));
        for _ in 0..count {
            let total: usize = (0..ENTRIES).map(|entry| 1 + entry % 7).sum();
            let mut at = self.rng.gen_range(0..total);
            let mut entry = 0;
            while at > entry % 7 {
                at -= 1 + entry % 7;
                entry += 1;
            }
            self.arrive(entry, now);
        }
    }
}

/// 2.3 times the reviews for 9 s in front of 50 engines, a quarter of which crash for 3 s: nobody is
/// refused, everybody starts in time, and the backlog at the engines stays such that urgent streams
/// start in time where the speed of engines is known.
#[test]
fn burst_with_crash() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(seed);
        for now in (0..40_000).step_by(STEP as usize) {
            if now == 8_000 {
                fleet.crash(0..ENGINES / 4);
            }
            if now == 11_000 {
                fleet.is_down.fill(false);
            }
            let rate = match now {
                3_000..12_000 => 92.9 * 2.3,
                0..24_000 => 92.9,
                _ => 0.0,
            };
            fleet.arrivals(rate, now);
            fleet.step(now);
        }
        let seen = &fleet.seen;
        println!("{seen:?}");
        assert_eq!((seen.refused, seen.refused_late), (0, 0), "{seen:?}");
        assert_eq!(seen.too_late, 0, "{seen:?}");
        assert_eq!(seen.sent, seen.arrived, "{seen:?}");
        // Engines are half as fast as assumed, and lost engines leave more work to the others.
        assert!(seen.backlog_ms < TARGET_MS * 2.1 * 1.4, "{seen:?}");
    }
}

/// All callers return at once after a power loss, to entries that know nothing: together they don't
/// send much more than the engines' room, and refuse nobody who can be served.
#[test]
fn all_return() {
    let mut fleet = Fleet::new(1);
    for now in (0..30_000).step_by(STEP as usize) {
        let rate = if now < 200 { 7_000.0 } else { 0.0 };
        fleet.arrivals(rate, now);
        fleet.step(now);
    }
    let seen = &fleet.seen;
    println!("{seen:?}");
    assert_eq!(seen.refused + seen.refused_late, 0, "{seen:?}");
    assert_eq!(seen.sent, seen.arrived, "{seen:?}");
    assert!(seen.backlog_ms < TARGET_MS * 2.1 * 2.0, "{seen:?}");
}

/// Three groups of entries that don't hear each other: each takes its part among those that it
/// hears, so the backlog is larger for a moment, and nobody is lost.
#[test]
fn entries_apart() {
    let mut fleet = Fleet::new(2);
    fleet.groups = (0..ENTRIES).map(|entry| entry % 3).collect();
    fleet.known_entries = ENTRIES / 3;
    for now in (0..30_000).step_by(STEP as usize) {
        let rate = if now < 9_000 { 92.9 * 2.3 } else { 0.0 };
        fleet.arrivals(rate, now);
        fleet.step(now);
    }
    let seen = &fleet.seen;
    println!("{seen:?}");
    assert_eq!(seen.refused + seen.refused_late, 0, "{seen:?}");
    assert_eq!(seen.sent, seen.arrived, "{seen:?}");
    assert!(seen.backlog_ms < TARGET_MS * 2.1 * 3.0, "{seen:?}");
}
