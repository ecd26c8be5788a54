//! Permits that the coordinator of a limited endpoint issues, and which entry is the coordinator.

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

/// The most permits that one coordinator issues in any 4 s while it is asked every millisecond.
/// `limit` is in requests per second, `share` the part of the limit that it issues.
fn max_permits(limit: f64, share: f64) -> usize {
    let mut bucket = PermitBucket::with_one_permit(Millis(0));
    let limit = Rate((limit * 1_000.0) as u32);
    let mut given = Vec::new();
    for now in 5_000..20_000 {
        if bucket.take(limit, share, 0, 1, Millis(now)).is_ok() {
            given.push(now);
        }
    }
    let spans = given.iter().enumerate();
    let counts =
        spans.map(|(i, first)| given[i..].iter().filter(|at| **at < first + 4_000).count());
    counts.max().unwrap()
}

/// Two coordinators that do not know of each other together stay within 1.5 times the limit plus
/// the permits that had accumulated.
#[test]
fn two_coordinators_bounded() {
    for limit in [0.0, 0.2, 0.5, 1.0, 3.3, 10.0, 50.0, 500.0] {
        let allowed = (1.5 * limit * 4.0 + 5.0) as usize;
        let max_permits = max_permits(limit, 1.0);
        assert!(
            2 * max_permits <= allowed,
            "{limit}: twice {max_permits} of {allowed}"
        );
        let least = (0.6 * limit * 4.0) as usize;
        assert!(max_permits >= least, "{limit}: {max_permits}");
    }
}

/// A coordinator that sees only a part of the entries issues that part of the limit.
#[test]
fn issues_visible_share() {
    for share in [1.0, 0.5, 0.1, 0.02] {
        let expected = 50.0 * 4.0 * share;
        let max_permits = max_permits(50.0, share) as f64;
        assert!(
            max_permits <= 0.7 * expected + 4.0 && max_permits >= 0.6 * expected,
            "{share}: {max_permits}"
        );
    }
}

/// An urgent asker that found no permit gets the next one; less urgent askers still get some.
#[test]
fn urgent_band_first() {
    let mut bucket = PermitBucket::empty_until(Millis(0));
    let limit = Rate(1_000);
    let turn = bucket.take(limit, 1.0, 0, 1, Millis(100)).unwrap_err();
    assert!(bucket.take(limit, 1.0, 2, 1, turn).is_err());
    assert!(bucket.take(limit, 1.0, 0, 1, turn).is_ok());
    let mut given = [0; 3];
    for now in (0..100_000).step_by(50) {
        for band in [2, 0] {
            let taken = bucket.take(limit, 1.0, band, 1, turn + Millis(now));
            given[band] += taken.unwrap_or(0);
        }
    }
    assert!(given[0] > 5 * given[2] && given[2] > 0, "{given:?}");
}

/// A limit that rises from 1 to 10 and falls again takes effect at once.
#[test]
fn follows_limit_changes() {
    let mut bucket = PermitBucket::with_one_permit(Millis(0));
    let mut count = |limit, from: u64| {
        let given = (from..from + 4_000).filter(|now| {
            let taken = bucket.take(Rate(limit), 1.0, 0, 1, Millis(*now));
            taken.is_ok()
        });
        given.count()
    };
    assert!(count(10_000, 0) >= 25);
    assert!(count(1_000, 4_000) <= 5);
}

/// A process that was stalled issues nothing until entries had time to settle; permits that it had
/// before are gone.
#[test]
fn stalled_issues_nothing() {
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

/// A peer that asks learns who the coordinator is, and that a limit has ended.
#[test]
fn asking_peer_informed() {
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

/// A peer that does not respond is not asked for a time, and nothing is sent meanwhile.
#[test]
fn unresponsive_peer_skipped() {
    let mut limits = Limits::default();
    limits.record_answer(
        TARGET,
        AnnouncedLimit::Rate(Rate(1_000)),
        Millis(0),
        Millis(10),
    );
    let peer = ([10, 0, 0, 9], 7_000).into();
    let decision = limits.decide(TARGET, Coordinator::Peer(peer), 0, Millis(1_000));
    assert_eq!(decision, PermitDecision::Ask(peer));
    let decision = limits.handle_response(TARGET, peer, None, 0, Millis(1_150));
    assert!(matches!(decision, PermitDecision::Wait(_)));
    assert!(limits.is_unresponsive(peer, Millis(1_500)));
}

/// Peer tables of one entry in each zone that received messages from each other at `now`.
fn tables(zones: &[&str], now: Millis) -> Vec<PeerTable> {
    let address = |i: usize| ([10, 0, 0, i as u8], 7_000).into();
    let member = |i: usize| {
        let mut table = PeerTable::new(address(i), &[], i as u32);
        table.set_zone(zones[i]);
        for (peer, zone) in zones.iter().enumerate().filter(|(peer, _)| *peer != i) {
            let hello = GossipMessage {
                zone: ZoneId::of(zone),
                ..hello(peer as u64, 1, None)
            };
            table.record_message(address(peer), &hello, now);
        }
        table.update_serving_peers(false, now);
        table
    };
    (0..zones.len()).map(member).collect()
}

/// All entries agree on one coordinator in the endpoint's zone. When that one falls silent, exactly
/// one other takes over, and issues the share that it sees.
#[test]
fn one_coordinator() {
    let zones = ["a", "b", "c"];
    let mut tables = tables(&zones, Millis(5_000));
    let coordinator_at = |tables: &[PeerTable], i: usize, endpoint, now| {
        tables[i].coordinator(endpoint, ZoneId::of("b"), Millis(0), Millis(now), |_| false)
    };
    for endpoint in 0..20 {
        let b = ([10, 0, 0, 1], 7_000).into();
        assert_eq!(
            coordinator_at(&tables, 0, endpoint, 5_500),
            Coordinator::Peer(b)
        );
        assert_eq!(
            coordinator_at(&tables, 2, endpoint, 5_500),
            Coordinator::Peer(b)
        );
        assert!(
            matches!(coordinator_at(&tables, 1, endpoint, 5_500), Coordinator::Own { visible_share, .. } if visible_share == 1.0)
        );
    }
    // The only entry of the zone falls silent.
    for (i, peer) in [(0, 2), (2, 0)] {
        let hello = GossipMessage {
            zone: ZoneId::of(zones[peer]),
            ..hello(peer as u64, 2, None)
        };
        tables[i].record_message(
            ([10, 0, 0, peer as u8], 7_000).into(),
            &hello,
            Millis(8_000),
        );
        tables[i].update_serving_peers(false, Millis(8_000));
    }
    for endpoint in 0..20 {
        let own = [0, 2].map(|i| coordinator_at(&tables, i, endpoint, 8_100));
        let is_own = |coordinator: &Coordinator| matches!(coordinator, Coordinator::Own { visible_share, .. } if *visible_share < 0.7);
        assert_eq!(
            own.iter().filter(|coordinator| is_own(coordinator)).count(),
            1,
            "{own:?}"
        );
    }
}
