//! What a coordinator gives out for one endpoint, and who that is.

mod common;

use common::hello;
use violetline::announced::AnnouncedLimit;
use violetline::clock::Millis;
use violetline::direct::limits::{Limits, PermitBucket, PermitDecision, PermitGrant, Target};
use violetline::direct::peers::{Coordinator, GossipMessage, PeerTable, ZoneId};
use violetline::rate::Rate;

const TARGET: Target = Target {
    endpoint: 7,
    zone: None,
};
const OWN: Coordinator = Coordinator::Own {
    visible_share: 1.0,
    is_settled: true,
};

/// The most permits in 4 s of one coordinator that is asked all the time.
fn most(limit: f64, part: f64) -> usize {
    let mut allowance = PermitBucket::with_one_permit(Millis(0));
    let limit = Rate((limit * 1_000.0) as u32);
    let mut given = Vec::new();
    for now in 5_000..20_000 {
        if allowance.take(limit, part, 0, 1, Millis(now)).is_ok() {
            given.push(now);
        }
    }
    let spans = given.iter().enumerate();
    let counts =
        spans.map(|(i, first)| given[i..].iter().filter(|at| **at < first + 4_000).count());
    counts.max().unwrap()
}

/// Two coordinators that don't know of each other keep the bound together, with what was saved up.
#[test]
fn two_coordinators() {
    for limit in [0.0, 0.2, 0.5, 1.0, 3.3, 10.0, 50.0, 500.0] {
        let allowed = (1.5 * limit * 4.0 + 5.0) as usize;
        let most = most(limit, 1.0);
        assert!(2 * most <= allowed, "{limit}: twice {most} of {allowed}");
        let least = (0.6 * limit * 4.0) as usize;
        assert!(most >= least, "{limit}: {most}");
    }
}

/// Those that see a part of the entries give out that part.
#[test]
fn parts_of_fleet() {
    for part in [1.0, 0.5, 0.1, 0.02] {
        let share = 50.0 * 4.0 * part;
        let most = most(50.0, part) as f64;
        assert!(
            most <= 0.7 * share + 4.0 && most >= 0.6 * share,
            "{part}: {most}"
        );
    }
}

/// A more urgent one that found nothing gets the next permit; the less urgent go on to get some.
#[test]
fn urgent_first() {
    let mut allowance = PermitBucket::empty_until(Millis(0));
    let limit = Rate(1_000);
    let turn = allowance.take(limit, 1.0, 0, 1, Millis(100)).unwrap_err();
    assert!(allowance.take(limit, 1.0, 2, 1, turn).is_err());
    assert!(allowance.take(limit, 1.0, 0, 1, turn).is_ok());
    let mut given = [0; 3];
    for now in (0..100_000).step_by(50) {
        for band in [2, 0] {
            let taken = allowance.take(limit, 1.0, band, 1, turn + Millis(now));
            given[band] += taken.unwrap_or(0);
        }
    }
    assert!(given[0] > 5 * given[2] && given[2] > 0, "{given:?}");
}

/// A limit that rises from 1 to 10 and falls again is kept at once.
#[test]
fn limit_changes() {
    let mut allowance = PermitBucket::with_one_permit(Millis(0));
    let mut count = |limit, from: u64| {
        let given = (from..from + 4_000).filter(|now| {
            let taken = allowance.take(Rate(limit), 1.0, 0, 1, Millis(*now));
            taken.is_ok()
        });
        given.count()
    };
    assert!(count(10_000, 0) >= 25);
    assert!(count(1_000, 4_000) <= 5);
}

/// A process that stood still gives out nothing until it has looked around; what it held before is gone.
#[test]
fn stood_still() {
    let mut limits = Limits::default();
    limits.round(|_| true, Millis(1_000));
    limits.record_answer(
        TARGET,
        AnnouncedLimit::Rate(Rate(1_000)),
        Millis(1_000),
        Millis(1_001),
    );
    assert_eq!(
        limits.decide(TARGET, OWN, 0, Millis(1_002)),
        PermitDecision::Permitted
    );
    assert!(matches!(
        limits.decide(TARGET, OWN, 0, Millis(9_000)),
        PermitDecision::Wait(_)
    ));
    limits.round(|_| true, Millis(9_010));
    let unsettled = Coordinator::Own {
        visible_share: 1.0,
        is_settled: false,
    };
    for now in 9_011..10_011 {
        assert!(
            matches!(
                limits.decide(TARGET, unsettled, 0, Millis(now)),
                PermitDecision::Wait(_)
            ),
            "{now}"
        );
    }
}

/// A peer that asks learns who decides, and that a limit has ended.
#[test]
fn answers() {
    let mut limits = Limits::default();
    limits.round(|_| true, Millis(1_000));
    let mut asker = Limits::default();
    asker.record_answer(
        TARGET,
        AnnouncedLimit::Rate(Rate(1_000)),
        Millis(900),
        Millis(950),
    );
    let ask = asker.permit_request(TARGET, 1, 0, 0, Millis(1_000));
    let other = ([10, 0, 0, 9], 7_000).into();
    let answer = limits.handle_request(&ask, Coordinator::Peer(other), Millis(1_001));
    assert_eq!(answer.given, PermitGrant::Elsewhere(other));
    let answer = limits.handle_request(&ask, OWN, Millis(1_001));
    assert_eq!(answer.given, PermitGrant::Permits(1));
    limits.record_answer(TARGET, AnnouncedLimit::None, Millis(1_002), Millis(1_010));
    let ask = asker.permit_request(TARGET, 2, 0, 0, Millis(1_012));
    let answer = limits.handle_request(&ask, OWN, Millis(1_012));
    asker.handle_response(TARGET, other, Some(&answer), 0, Millis(1_014));
    assert_eq!(asker.limit(TARGET.endpoint, Millis(1_014)), None);
}

/// A peer that doesn't answer is not asked for a time, and nothing is sent meanwhile.
#[test]
fn no_answer() {
    let mut limits = Limits::default();
    limits.record_answer(
        TARGET,
        AnnouncedLimit::Rate(Rate(1_000)),
        Millis(0),
        Millis(10),
    );
    let peer = ([10, 0, 0, 9], 7_000).into();
    let step = limits.decide(TARGET, Coordinator::Peer(peer), 0, Millis(1_000));
    assert_eq!(step, PermitDecision::Ask(peer));
    let step = limits.handle_response(TARGET, peer, None, 0, Millis(1_150));
    assert!(matches!(step, PermitDecision::Wait(_)));
    assert!(limits.is_unresponsive(peer, Millis(1_500)));
}

/// Books of three entries, one in each of two zones and one more, that hear each other at a time.
fn books(zones: &[&str], now: Millis) -> Vec<PeerTable> {
    let address = |i: usize| ([10, 0, 0, i as u8], 7_000).into();
    let member = |i: usize| {
        let mut book = PeerTable::new(address(i), &[], i as u32);
        book.set_zone(zones[i]);
        for (peer, zone) in zones.iter().enumerate().filter(|(peer, _)| *peer != i) {
            let hello = GossipMessage {
                zone: ZoneId::of(zone),
                ..hello(peer as u64, 1, None)
            };
            book.record_message(address(peer), &hello, now);
        }
        book.update_serving_peers(false, now);
        book
    };
    (0..zones.len()).map(member).collect()
}

/// All entries name the same coordinator, one of the endpoint's zone; when that falls silent, another one, which gives out the
/// part that it sees.
#[test]
fn one_coordinator() {
    let zones = ["a", "b", "c"];
    let mut books = books(&zones, Millis(5_000));
    let by = |books: &[PeerTable], i: usize, endpoint, now| {
        books[i].coordinator(endpoint, ZoneId::of("b"), Millis(0), Millis(now), |_| false)
    };
    for endpoint in 0..20 {
        let b = ([10, 0, 0, 1], 7_000).into();
        assert_eq!(by(&books, 0, endpoint, 5_500), Coordinator::Peer(b));
        assert_eq!(by(&books, 2, endpoint, 5_500), Coordinator::Peer(b));
        assert!(
            matches!(by(&books, 1, endpoint, 5_500), Coordinator::Own { visible_share, .. } if visible_share == 1.0)
        );
    }
    // The entry of the zone falls silent.
    for (i, peer) in [(0, 2), (2, 0)] {
        let hello = GossipMessage {
            zone: ZoneId::of(zones[peer]),
            ..hello(peer as u64, 2, None)
        };
        books[i].record_message(
            ([10, 0, 0, peer as u8], 7_000).into(),
            &hello,
            Millis(8_000),
        );
        books[i].update_serving_peers(false, Millis(8_000));
    }
    for endpoint in 0..20 {
        let own = [0, 2].map(|i| by(&books, i, endpoint, 8_100));
        let is_own = |by: &Coordinator| matches!(by, Coordinator::Own { visible_share, .. } if *visible_share < 0.7);
        assert_eq!(own.iter().filter(|by| is_own(by)).count(), 1, "{own:?}");
    }
}
