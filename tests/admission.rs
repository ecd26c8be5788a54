//! Which requests are refused, by the backlog of their pool and the time that they have left.

use violetline::clock::Millis;
use violetline::direct::admission::overload::{EngineAdmission, PlainAdmission};

fn outlook(backlog_ms: f64, expected_ms: f64) -> EngineAdmission {
    EngineAdmission {
        band: 2,
        expected_ms,
        backlog_ms,
        shortest_target: Millis(300),
        time_left: Millis(4_000),
        longest_less_urgent_time: Millis(0),
        has_more_urgent: false,
    }
}

/// If a less urgent request is sent, a more urgent one with less time of its own is sent as well.
#[test]
fn urgent_goes_first() {
    for backlog in [0.0, 150.0, 300.0, 900.0] {
        for ms in (0..3_000).step_by(50) {
            let expected = f64::from(ms);
            let less = EngineAdmission {
                time_left: Millis(5_000),
                has_more_urgent: true,
                ..outlook(backlog, expected)
            };
            let urgent = EngineAdmission {
                band: 1,
                time_left: Millis(3_000),
                longest_less_urgent_time: Millis(5_000),
                ..outlook(backlog, expected)
            };
            let of_team = EngineAdmission {
                band: 0,
                longest_less_urgent_time: Millis(5_000),
                ..less
            };
            assert!(
                !less.is_admitted() || urgent.is_admitted(),
                "{backlog} {ms}"
            );
            assert!(
                !less.is_admitted() || of_team.is_admitted(),
                "{backlog} {ms}"
            );
        }
    }
}

/// The estimated wait for a short urgent prompt can be half as long again as for a long one. The
/// urgent prompt is still sent where less urgent ones are, for both lower bands.
#[test]
fn urgent_waits_longer() {
    for backlog in [0.0, 150.0, 300.0, 900.0] {
        for ms in (0..3_000).step_by(50) {
            let expected = f64::from(ms);
            let of_band = |band: usize, factor: f64| EngineAdmission {
                band,
                time_left: Millis([15_000, 3_000, 5_000][band]),
                longest_less_urgent_time: Millis([5_000, 5_000, 0][band]),
                has_more_urgent: band > 0,
                ..outlook(backlog, (expected * factor).min(2_900.0))
            };
            for band in 1..3 {
                let is_sent = of_band(band, 1.0).is_admitted();
                let is_urgent_sent = of_band(band - 1, 1.5).is_admitted();
                assert!(!is_sent || is_urgent_sent, "{band} {backlog} {ms}");
            }
        }
    }
}

/// A long prompt is sent to an idle pool even if it takes long.
#[test]
fn idle_pool_admits() {
    assert!(outlook(0.0, 2_300.0).is_admitted());
    assert!(outlook(90.0, 2_300.0).is_admitted());
}

#[test]
fn overload_refuses() {
    assert!(!outlook(300.0, 700.0).is_admitted());
    assert!(outlook(300.0, 500.0).is_admitted());
}

/// The accepted wait falls with the backlog without a step.
#[test]
fn accepted_wait_falls() {
    let admitted = |backlog: f64| {
        let waits = (0..4_000).step_by(10);
        waits
            .filter(|ms| outlook(backlog, f64::from(*ms)).is_admitted())
            .count()
    };
    let all: Vec<usize> = (0..40)
        .map(|step| admitted(f64::from(step) * 10.0))
        .collect();
    assert!(all
        .windows(2)
        .all(|pair| pair[1] <= pair[0] && pair[0] - pair[1] < 15));
}

/// Without configured targets, no request is refused because of the pool's backlog alone.
#[test]
fn no_target_configured() {
    let outlook = EngineAdmission {
        shortest_target: Millis(0),
        ..outlook(9_000.0, 2_000.0)
    };
    assert!(outlook.is_admitted());
}

/// A request with hardly any time left is refused at once.
#[test]
fn short_time_refused() {
    let hopeless = EngineAdmission {
        time_left: Millis(100),
        ..outlook(0.0, 400.0)
    };
    assert!(!hopeless.is_admitted());
}

/// No request is refused by a plain service while a slot is free.
#[test]
fn free_slot_admits() {
    let outlook = PlainAdmission {
        expected_ms: 900.0,
        is_full: false,
        target: Millis(300),
        has_more_urgent: false,
    };
    assert!(outlook.is_admitted());
    let full = PlainAdmission {
        is_full: true,
        ..outlook
    };
    assert!(!full.is_admitted());
    let in_time = PlainAdmission {
        expected_ms: 200.0,
        ..full
    };
    assert!(in_time.is_admitted());
}
