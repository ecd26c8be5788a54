//! Endpoints whose machines other programs use too, so that their speed changes several times a
//! second, replayed in simulated time: calls to a plain service through entries that are told the
//! speed in each answer, and through entries that are not.

mod common;

use common::listed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use violetline::clock::Millis;
use violetline::direct::directory::{Change, Directory, EndpointKey, ListedEndpoint};
use violetline::direct::known::health::HealthRecord;
use violetline::direct::known::load::{EndpointLoad, EndpointReport};
use violetline::direct::known::slowdown::Slowdown;
use violetline::direct::placement::candidate::Candidate;
use violetline::direct::placement::choose::{choose, Choice};
use violetline::direct::placement::demand::Demand;
use violetline::direct::placement::prefix::PrefixMap;
use violetline::direct::placement::room::RoomInputs;

const ENDPOINTS: usize = 4;
const SLOTS: usize = 6;
/// Length of a call at the usual speed, in ms.
const WORK: f64 = 40.0;
const TARGET: Millis = Millis(150);
const CALLS_PER_S: f64 = 300.0;
/// Percent of the usual time that work takes at an endpoint while it is slowed.
const SLOWED_PERCENT: u32 = 400;
/// Mean time between two changes of speed, in ms, and the part of them that slow the endpoint.
const CHANGE_INTERVAL: f64 = 250.0;
const SLOWED_PART: f64 = 0.2;
const SIMULATED_MS: u64 = 60_000;

struct Call {
    choice: Choice,
    sent: u64,
    /// Work left, in ms at the usual speed.
    left: f64,
}

struct Endpoint {
    key: EndpointKey,
    calls: Vec<Call>,
    percent: u32,
    load: EndpointLoad,
    record: HealthRecord,
}

impl Endpoint {
    fn change_speed(&mut self, rng: &mut SmallRng) {
        if rng.gen_bool(1.0 / CHANGE_INTERVAL) {
            self.percent = match rng.gen_bool(SLOWED_PART) {
                true => SLOWED_PERCENT,
                false => 100,
            };
        }
    }

    /// Works for one millisecond; returns the calls that end.
    fn work(&mut self) -> Vec<Call> {
        let done = 100.0 / f64::from(self.percent);
        for call in self.calls.iter_mut().take(SLOTS) {
            call.left -= done;
        }
        let (ended, running) = self.calls.drain(..).partition(|call| call.left <= 0.0);
        self.calls = running;
        ended
    }

    fn report(&self, tells_speed: bool) -> EndpointReport {
        let present = self.calls.len();
        let slowdown = Slowdown::from_percent(self.percent);
        EndpointReport {
            running: present.min(SLOTS) as u32,
            waiting: present.saturating_sub(SLOTS) as u32,
            slots: SLOTS as u32,
            slowdown: slowdown.filter(|_| tells_speed),
        }
    }
}

fn directory() -> Directory {
    let mut directory = Directory::default();
    for i in 0..ENDPOINTS {
        let endpoint = ListedEndpoint {
            slots: SLOTS as u32,
            ..listed(&format!("e-{i}"), 1)
        };
        directory.apply(Change::Put(endpoint), Millis(0));
    }
    directory
}

/// Calls that take longer than [`TARGET`], of all calls.
fn late_calls(seed: u64, tells_speed: bool) -> (usize, usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let directory = directory();
    let mut endpoints: Vec<Endpoint> = (0..ENDPOINTS)
        .map(|i| Endpoint {
            key: directory.key(&format!("e-{i}")).unwrap(),
            calls: Vec::new(),
            percent: 100,
            load: EndpointLoad::default(),
            record: HealthRecord::default(),
        })
        .collect();
    let (mut late, mut all) = (0, 0);
    for now in 0..SIMULATED_MS {
        let at = Millis(now);
        if rng.gen_bool(CALLS_PER_S / 1_000.0) {
            let choice = choose_endpoint(&directory, &endpoints, rng.gen(), at);
            let chosen = endpoints.iter_mut().find(|e| e.key == choice.key).unwrap();
            chosen.load.begin(choice.footprint, at);
            let left = rng.gen_range(WORK / 2.0..WORK * 1.5);
            let sent = now;
            chosen.calls.push(Call { choice, sent, left });
        }
        for endpoint in &mut endpoints {
            endpoint.change_speed(&mut rng);
            for call in endpoint.work() {
                let report = endpoint.report(tells_speed);
                endpoint.load.record_report(report, at);
                endpoint.load.end(call.choice.footprint);
                let seen = Millis(now - call.sent);
                let expected_ms = call.choice.nominal_ms * endpoint.load.slowdown(at);
                endpoint.record.observe_response_time(at, seen, expected_ms);
                all += 1;
                late += usize::from(seen > TARGET);
            }
        }
    }
    (late, all)
}

fn choose_endpoint(
    directory: &Directory,
    endpoints: &[Endpoint],
    draw: u64,
    now: Millis,
) -> Choice {
    let candidates = endpoints.iter().map(|endpoint| Candidate {
        key: endpoint.key,
        endpoint: directory.get(endpoint.key).unwrap(),
        load: &endpoint.load,
        record: &endpoint.record,
        is_warming: false,
        is_limited: false,
        relative_time: 1.0,
    });
    let demand = Demand {
        band: 2,
        parts: &[],
        output_tokens: 0,
        target: TARGET,
        zone: "hall-a",
        engine: None,
        pause_sensitivity: 0,
        pause: Millis(0),
        visibility_delay: Millis(0),
        room: RoomInputs::default(),
        draw,
        capacity: None,
    };
    choose(demand, candidates, &PrefixMap::default(), now).unwrap()
}

#[test]
fn speed_told() {
    for seed in 1..=3 {
        let (told, all) = late_calls(seed, true);
        let (untold, _) = late_calls(seed, false);
        println!("seed {seed}: {told} of {all} late, {untold} if the speed is not told");
        assert!(told < untold, "{told} late, {untold} untold");
    }
}

/// An old report does not count as the present speed.
#[test]
fn old_report() {
    let mut load = EndpointLoad::default();
    assert_eq!(load.slowdown(Millis(0)), 1.0);
    let report = EndpointReport {
        running: 0,
        waiting: 0,
        slots: 6,
        slowdown: Slowdown::from_percent(300),
    };
    load.record_report(report, Millis(1_000));
    assert_eq!(load.slowdown(Millis(1_000)), 3.0);
    assert!(load.slowdown(Millis(1_500)) < 1.25);
    assert!(load.slowdown(Millis(3_000)) < 1.01);
}
