//! Which of two observations of an endpoint's limit is in force.

use violetline::announced::AnnouncedLimit;
use violetline::clock::Millis;
use violetline::direct::limits::{LimitObservation, Limits, Target};
use violetline::rate::Rate;

const ENDPOINT: Target = Target {
    endpoint: 7,
    zone: None,
};

/// A limit that an answer announces, in thousandths of a request per second.
fn announced(limit: u32) -> AnnouncedLimit {
    AnnouncedLimit::Rate(Rate(limit))
}

/// The limit in force after some answers, each given as what it announces, when its request was
/// sent and when it arrived, in ms.
fn limit_after(answers: &[(AnnouncedLimit, u64, u64)]) -> Option<Rate> {
    let mut limits = Limits::default();
    for (announced, sent_at, received_at) in answers {
        limits.record_answer(ENDPOINT, *announced, Millis(*sent_at), Millis(*received_at));
    }
    limits.limit(ENDPOINT.endpoint, Millis(60))
}

/// A lower limit applies at once; a higher one, or none, only if the request was sent after the
/// lower one was received.
#[test]
fn lower_limit_wins() {
    let (ten, one, none) = (announced(10_000), announced(1_000), AnnouncedLimit::None);
    assert_eq!(
        limit_after(&[(ten, 10, 20), (one, 5, 30)]),
        Some(Rate(1_000))
    );
    assert_eq!(
        limit_after(&[(one, 10, 20), (ten, 15, 30)]),
        Some(Rate(1_000))
    );
    assert_eq!(
        limit_after(&[(one, 10, 20), (ten, 20, 30)]),
        Some(Rate(10_000))
    );
    assert_eq!(
        limit_after(&[(one, 10, 20), (none, 19, 30)]),
        Some(Rate(1_000))
    );
    assert_eq!(limit_after(&[(one, 10, 20), (none, 20, 30)]), None);
    assert_eq!(
        limit_after(&[(one, 10, 20), (none, 20, 30), (one, 10, 31)]),
        Some(Rate(1_000))
    );
}

/// An answer that was written before a limit ended, but arrives later, does not bring the limit
/// back. An answer whose request was sent before the limit was received does not end it.
#[test]
fn late_answers() {
    let (one, none) = (announced(1_000), AnnouncedLimit::None);
    assert_eq!(
        limit_after(&[(one, 10, 20), (none, 40, 50), (one, 30, 35)]),
        None
    );
    assert_eq!(
        limit_after(&[(one, 10, 20), (none, 0, 50)]),
        Some(Rate(1_000))
    );
}

/// An unreadable limit changes nothing, and an endpoint that never announced a limit has none.
#[test]
fn unreadable_changes_nothing() {
    let unreadable = AnnouncedLimit::Unreadable;
    assert_eq!(
        limit_after(&[(unreadable, 10, 20), (AnnouncedLimit::None, 30, 40)]),
        None
    );
    assert_eq!(
        limit_after(&[(announced(1_000), 10, 20), (unreadable, 30, 40)]),
        Some(Rate(1_000))
    );
}

/// A limit reported by a peer lasts for 30 s; a peer's report that the limit has ended holds until
/// an answer announces one.
#[test]
fn peer_reports_expire() {
    let observation = |limit: Option<u32>, sent_at, received_at| LimitObservation {
        limit: limit.map(Rate),
        sent_at: Millis(sent_at),
        received_at: Millis(received_at),
    };
    let mut limits = Limits::default();
    limits.record_peer_observation(ENDPOINT, observation(Some(1_000), 10, 20), Millis(30));
    assert_eq!(limits.limit(7, Millis(29_000)), Some(Rate(1_000)));
    assert_eq!(limits.limit(7, Millis(31_000)), None);
    limits.record_answer(ENDPOINT, announced(3_000), Millis(31_000), Millis(31_010));
    // A forged report closes the endpoint for 30 s at most.
    limits.record_peer_observation(
        ENDPOINT,
        observation(Some(0), 31_500, 31_510),
        Millis(31_520),
    );
    assert_eq!(limits.limit(7, Millis(32_000)), Some(Rate(0)));
    assert_eq!(limits.limit(7, Millis(62_000)), Some(Rate(3_000)));
    limits.record_peer_observation(ENDPOINT, observation(None, 63_000, 63_010), Millis(63_020));
    assert_eq!(limits.limit(7, Millis(120_000)), None);
    limits.record_answer(ENDPOINT, announced(2_000), Millis(121_000), Millis(121_010));
    assert_eq!(limits.limit(7, Millis(121_010)), Some(Rate(2_000)));
}
