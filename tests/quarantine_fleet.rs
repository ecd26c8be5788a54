//! Simulates a fleet of entries and engines in virtual time. Engines end because one request
//! crashes them again and again, for reasons of their own, and by racks.

mod common;
mod fleet;

use std::collections::BTreeMap;

use fleet::{Fleet, Scenario, CRASHING_REQUEST};
use violetline::fingerprint::Fingerprint;
use violetline::quarantine::{Notice, Quarantine, QuarantineStatus, MAX_NOTICES_PER_MESSAGE};

const BASE_SCENARIO: Scenario = Scenario {
    entries: 3,
    engines: 9,
    rate: 50,
    again: 300,
    ends: 0,
    rack: 0,
    seconds: 30,
    seed: 1,
};

/// Fleet sizes: entries, engines and innocent requests a second.
const SIZES: [(usize, usize, u64); 4] =
    [(3, 9, 50), (30, 56, 300), (100, 180, 800), (450, 900, 900)];

#[test]
fn crashing_request_stopped() {
    let mut seen = BTreeMap::new();
    for (entries, engines, rate) in SIZES {
        for again in [60, 300, 1_500] {
            let mut fleet = Fleet::new(Scenario {
                entries,
                engines,
                rate,
                again,
                ..BASE_SCENARIO
            });
            fleet.play();
            assert!(fleet.refused > 0, "{entries} entries, every {again} ms");
            assert_eq!(fleet.reached_after(3_000), 0);
            let (_, refused) = fleet.innocent();
            assert_eq!(refused, 0, "innocent requests turned away");
            let known = fleet.members.iter().map(|m| m.quarantine.len()).max();
            let figures = (fleet.ended.len(), fleet.most_bytes(), known.unwrap_or(0));
            seen.insert((entries, again), figures);
        }
    }
    eprintln!(
        "ended, most bytes a second, requests known; by entries and ms between copies: {seen:?}"
    );
    let most = seen.values().map(|(ended, ..)| *ended).max();
    assert!(most <= Some(12), "{seen:?}");
}

#[test]
fn innocent_in_mass_crashes() {
    let mut lost = 0;
    for seed in 0..6 {
        for (ends, rack) in [(1, 0), (2, 0), (0, 4), (1, 5), (0, 8)] {
            let mut fleet = Fleet::new(Scenario {
                again: 0,
                ends,
                rack,
                seconds: 40,
                seed,
                ..BASE_SCENARIO
            });
            fleet.play();
            let (hit, refused) = fleet.innocent();
            lost += hit;
            assert_eq!(
                refused, 0,
                "{hit} lost, {ends} ends a second, racks of {rack}, seed {seed}"
            );
        }
    }
    eprintln!("{lost} innocent requests were lost");
    assert!(lost > 2_000, "too little happened: {lost}");
}

/// Both at once, so that innocent requests are lost with engines that the crashing request ends and
/// with others.
#[test]
fn innocent_beside_crashing() {
    let mut lost = 0;
    for seed in 0..6 {
        for (entries, engines, rate) in [(3, 9, 50), (30, 56, 300)] {
            let mut fleet = Fleet::new(Scenario {
                entries,
                engines,
                rate,
                ends: engines / 9,
                rack: engines / 3,
                seed,
                ..BASE_SCENARIO
            });
            fleet.play();
            let (hit, refused) = fleet.innocent();
            lost += hit;
            assert_eq!(refused, 0, "{hit} lost, {entries} entries, seed {seed}");
            let late = fleet.reached_after(3_000);
            assert!(late <= 3, "{late} late, {entries} entries, seed {seed}");
        }
    }
    eprintln!("{lost} innocent requests were lost beside it");
}

/// An entry that is partitioned from all others, and one that has just started.
#[test]
fn partitioned_entries() {
    let mut fleet = Fleet::new(BASE_SCENARIO);
    fleet.members[0].is_cut_off = true;
    fleet.play();
    let (late, ended) = (fleet.reached_after(3_000), fleet.ended.len());
    // Each side refuses the request at its fifth end at the latest.
    assert!(late <= 3 && ended <= 10, "{late} late, {ended} ended");
    let now = fleet.time();
    let notices = fleet.members[1]
        .quarantine
        .refused_notices(MAX_NOTICES_PER_MESSAGE, now);
    let mut fresh = Quarantine::started_at(now);
    notices.iter().for_each(|notice: &Notice| {
        fresh.apply_notice(notice, now);
    });
    let status = fresh.request_status(Fingerprint(CRASHING_REQUEST as u64), now);
    assert!(matches!(status, QuarantineStatus::Refused { .. }));
}
