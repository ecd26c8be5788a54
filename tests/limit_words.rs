//! Which of two answers counts that name another limit, or none.

use violetline::announced::AnnouncedLimit;
use violetline::clock::Millis;
use violetline::direct::limits::{LimitObservation, Limits, Target};
use violetline::rate::Rate;

const ENDPOINT: Target = Target {
    endpoint: 7,
    zone: None,
};

/// An answer names a limit, in thousandths of a request a second.
fn named(limit: u32) -> AnnouncedLimit {
    AnnouncedLimit::Rate(Rate(limit))
}

/// The limit in force after some answers: what each names, when its request was sent, and when it came.
fn after(answers: &[(AnnouncedLimit, u64, u64)]) -> Option<Rate> {
    let mut limits = Limits::default();
    for (named, sent_at, received_at) in answers {
        limits.record_answer(ENDPOINT, *named, Millis(*sent_at), Millis(*received_at));
    }
    limits.limit(ENDPOINT.endpoint, Millis(60))
}

/// Lower at once, higher and none only where the request was sent after the lower one was heard.
#[test]
fn lower_first() {
    let (ten, one, none) = (named(10_000), named(1_000), AnnouncedLimit::None);
    assert_eq!(after(&[(ten, 10, 20), (one, 5, 30)]), Some(Rate(1_000)));
    assert_eq!(after(&[(one, 10, 20), (ten, 15, 30)]), Some(Rate(1_000)));
    assert_eq!(after(&[(one, 10, 20), (ten, 20, 30)]), Some(Rate(10_000)));
    assert_eq!(after(&[(one, 10, 20), (none, 19, 30)]), Some(Rate(1_000)));
    assert_eq!(after(&[(one, 10, 20), (none, 20, 30)]), None);
    assert_eq!(
        after(&[(one, 10, 20), (none, 20, 30), (one, 10, 31)]),
        Some(Rate(1_000))
    );
}

/// An answer that was given before a limit ended, and comes after, does not bring it back; nor does one to a request that
/// nobody knows the time of end it.
#[test]
fn late_answers() {
    let (one, none) = (named(1_000), AnnouncedLimit::None);
    assert_eq!(after(&[(one, 10, 20), (none, 40, 50), (one, 30, 35)]), None);
    assert_eq!(after(&[(one, 10, 20), (none, 0, 50)]), Some(Rate(1_000)));
}

/// What can't be read changes nothing, and an endpoint that never named a limit has none.
#[test]
fn nothing_said() {
    let unreadable = AnnouncedLimit::Unreadable;
    assert_eq!(
        after(&[(unreadable, 10, 20), (AnnouncedLimit::None, 30, 40)]),
        None
    );
    assert_eq!(
        after(&[(named(1_000), 10, 20), (unreadable, 30, 40)]),
        Some(Rate(1_000))
    );
}

/// A peer's word of a limit counts for some seconds; its word that the limit has ended counts until an answer names one.
#[test]
fn peers_words() {
    let word = |limit: Option<u32>, sent_at, received_at| LimitObservation {
        limit: limit.map(Rate),
        sent_at: Millis(sent_at),
        received_at: Millis(received_at),
    };
    let mut limits = Limits::default();
    limits.record_peer_observation(ENDPOINT, word(Some(1_000), 10, 20), Millis(30));
    assert_eq!(limits.limit(7, Millis(29_000)), Some(Rate(1_000)));
    assert_eq!(limits.limit(7, Millis(31_000)), None);
    limits.record_answer(ENDPOINT, named(3_000), Millis(31_000), Millis(31_010));
    // The forged word of a peer closes the endpoint for a time at most.
    limits.record_peer_observation(ENDPOINT, word(Some(0), 31_500, 31_510), Millis(31_520));
    assert_eq!(limits.limit(7, Millis(32_000)), Some(Rate(0)));
    assert_eq!(limits.limit(7, Millis(62_000)), Some(Rate(3_000)));
    limits.record_peer_observation(ENDPOINT, word(None, 63_000, 63_010), Millis(63_020));
    assert_eq!(limits.limit(7, Millis(120_000)), None);
    limits.record_answer(ENDPOINT, named(2_000), Millis(121_000), Millis(121_010));
    assert_eq!(limits.limit(7, Millis(121_010)), Some(Rate(2_000)));
}
