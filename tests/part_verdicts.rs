//! Simulates a fleet of entries and engines in virtual time. Engines crash under a part of a prompt,
//! for reasons of their own, and by racks.

mod common;
mod part_fleet;

use std::collections::BTreeMap;

use part_fleet::{Fleet, Scenario};

const BASE_SCENARIO: Scenario = Scenario {
    entries: 3,
    engines: 9,
    rate: 60,
    crashing_rate: 0,
    subjects: 200,
    ends: 0,
    rack: 0,
    seconds: 20,
    seed: 1,
};

/// Fleet sizes: entries, engines and sound requests a second.
const SIZES: [(usize, usize, u64); 4] = [
    (3, 9, 60),
    (30, 56, 400),
    (100, 180, 1_000),
    (450, 900, 2_000),
];
/// Seeds of the smallest fleet.
const SEEDS: u64 = 60;

fn played(scenario: Scenario) -> Fleet {
    let mut fleet = Fleet::new(scenario);
    fleet.play();
    fleet
}

/// Requests with the part stop reaching engines, and sound ones go on.
#[test]
fn crashing_part_stopped() {
    let mut seen = BTreeMap::new();
    for (entries, engines, rate) in SIZES {
        for crashing_rate in [1, 20] {
            let fleet = played(Scenario {
                entries,
                engines,
                rate,
                crashing_rate,
                subjects: rate * 4,
                ..BASE_SCENARIO
            });
            let late = fleet.late(3_000);
            assert!(
                late <= 3,
                "{late} late, {entries} entries, {crashing_rate} a second"
            );
            assert!(fleet.condemned.is_empty(), "{:?}", fleet.condemned);
            let figures = (fleet.ended.len(), fleet.most_bytes(), fleet.most_known());
            seen.insert((entries, crashing_rate), figures);
        }
    }
    eprintln!(
        "ended, most bytes a second, parts known; by entries and requests a second: {seen:?}"
    );
    let most = seen.values().map(|(_, bytes, _)| *bytes).max();
    assert!(most <= Some(28 << 10), "{seen:?}");
}

/// Engines that crash for reasons of their own condemn no part.
#[test]
fn sound_in_mass_crashes() {
    let (mut lost, mut refused, mut sound) = (0, 0, 0);
    let mut condemned = Vec::new();
    for seed in 0..SEEDS {
        for (ends, rack) in [(1, 0), (2, 0), (0, 4), (1, 5), (0, 9)] {
            let fleet = played(Scenario {
                ends,
                rack,
                seed,
                ..BASE_SCENARIO
            });
            (lost, refused, sound) = (
                lost + fleet.lost,
                refused + fleet.sound_refused,
                sound + fleet.sound,
            );
            condemned.extend(
                fleet
                    .condemned
                    .into_iter()
                    .map(|part| (seed, ends, rack, part)),
            );
        }
    }
    eprintln!("{refused} of {sound} sound requests refused, {lost} lost, condemned {condemned:?}");
    assert!(lost > 10_000, "too little happened: {lost}");
    assert!(condemned.is_empty(), "{condemned:?}");
}

/// Both at once.
#[test]
fn sound_beside_crashing() {
    let (mut refused, mut sound) = (0, 0);
    let mut condemned = Vec::new();
    for seed in 0..SEEDS {
        for (ends, rack) in [(0, 0), (1, 0), (1, 3)] {
            let fleet = played(Scenario {
                ends,
                rack,
                crashing_rate: 1 + seed % 4,
                seed,
                ..BASE_SCENARIO
            });
            let late = fleet.late(3_000);
            assert!(
                late <= 3,
                "{late} late, {ends} ends, rack of {rack}, seed {seed}"
            );
            (refused, sound) = (refused + fleet.sound_refused, sound + fleet.sound);
            condemned.extend(
                fleet
                    .condemned
                    .into_iter()
                    .map(|part| (seed, ends, rack, part)),
            );
        }
    }
    eprintln!("{refused} of {sound} sound requests refused, condemned {condemned:?}");
    assert!(condemned.is_empty(), "{condemned:?}");
}
