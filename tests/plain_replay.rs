//! A plain service that is left with one endpoint, replayed in simulated time: more calls than it can take.

mod common;

use std::collections::VecDeque;

use common::listed;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use violetline::clock::Millis;
use violetline::direct::admission::overload::PlainAdmission;
use violetline::direct::directory::{Change, Directory, ListedEndpoint};
use violetline::direct::known::health::HealthRecord;
use violetline::direct::known::load::{EndpointLoad, EndpointReport};
use violetline::direct::placement::candidate::Candidate;
use violetline::direct::placement::choose::{choose, Choice};
use violetline::direct::placement::demand::Demand;
use violetline::direct::placement::prefix::PrefixMap;
use violetline::direct::placement::room::RoomInputs;

const SLOTS: usize = 6;
/// Calls that the endpoint lets wait; more are rejected.
const QUEUE: usize = 24;
const WORK: u64 = 60;
const TARGET: Millis = Millis(300);
const CALLS_PER_S: f64 = 140.0;
const ENTRIES: usize = 4;
/// Way between caller and endpoint, there and back.
const WAY: u64 = 8;

/// A call at the endpoint.
struct Call {
    entry: usize,
    choice: Choice,
    sent: u64,
    ends: Option<u64>,
}

/// Calls in time and late in 20 s.
fn run(seed: u64, turns_away: bool) -> (u32, u32) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut directory = Directory::default();
    let only = ListedEndpoint {
        slots: SLOTS as u32,
        ..listed("a", 1)
    };
    directory.apply(Change::Put(only), Millis(0));
    let key = directory.key("a").unwrap();
    let mut loads: Vec<EndpointLoad> = (0..ENTRIES).map(|_| EndpointLoad::default()).collect();
    let mut records = vec![HealthRecord::default(); ENTRIES];
    let mut calls: VecDeque<Call> = VecDeque::new();
    let (mut in_time, mut late) = (0, 0);
    for now in 0..20_000 {
        let at = Millis(now);
        if rng.gen_bool(CALLS_PER_S / 1_000.0) {
            let entry = rng.gen_range(0..ENTRIES);
            let candidate = Candidate {
                key,
                endpoint: directory.get(key).unwrap(),
                load: &loads[entry],
                record: &records[entry],
                is_warming: false,
                is_limited: false,
                relative_time: 1.0,
            };
            let one = std::iter::once(candidate);
            let choice = choose(demand(), one, &PrefixMap::default(), at).unwrap();
            let outlook = PlainAdmission {
                expected_ms: choice.expected_ms,
                is_full: choice.is_full,
                target: TARGET,
                has_more_urgent: false,
            };
            let is_sent = !turns_away || outlook.is_admitted();
            if is_sent && calls.len() < SLOTS + QUEUE {
                loads[entry].begin(choice.footprint, at);
                calls.push_back(Call {
                    entry,
                    choice,
                    sent: now,
                    ends: None,
                });
            }
        }
        let working = calls.iter().filter(|call| call.ends.is_some()).count();
        let waiting = calls.iter_mut().filter(|call| call.ends.is_none());
        for call in waiting.take(SLOTS - working) {
            call.ends = Some(now + rng.gen_range(WORK / 2..WORK * 3 / 2));
        }
        while let Some(done) = calls.iter().position(|call| call.ends == Some(now)) {
            let Some(call) = calls.remove(done) else {
                break;
            };
            let seen = Millis(now + WAY - call.sent);
            loads[call.entry].end(call.choice.footprint);
            records[call.entry].observe_response_time(at, seen, call.choice.nominal_ms);
            loads[call.entry].record_report(report(&calls), at);
            match seen <= TARGET {
                true => in_time += 1,
                false => late += 1,
            }
        }
    }
    (in_time, late)
}

fn report(calls: &VecDeque<Call>) -> EndpointReport {
    let present = calls.len();
    EndpointReport {
        running: present.min(SLOTS) as u32,
        waiting: present.saturating_sub(SLOTS) as u32,
        slots: SLOTS as u32,
        slowdown: None,
    }
}

fn demand() -> Demand<'static> {
    Demand {
        band: 2,
        parts: &[],
        output_tokens: 0,
        target: TARGET,
        zone: "hall-a",
        engine: None,
        pause_sensitivity: 0,
        pause: Millis(0),
        visibility_delay: Millis(150),
        room: RoomInputs::default(),
        draw: 0,
        capacity: None,
    }
}

/// Turning away what would come too late leaves the rest in time.
#[test]
fn full_queue() {
    for seed in 1..=3 {
        let (with, late_with) = run(seed, true);
        let (without, late_without) = run(seed, false);
        println!(
            "seed {seed}: {with} in time, {late_with} late; {without} and {late_without} without"
        );
        assert!(with > without * 3 / 2, "{with} in time, {without} without");
    }
}
