//! Which requests are taken for the cause when endpoints end, and which are not.

use violetline::clock::Millis;
use violetline::fingerprint::Fingerprint;
use violetline::quarantine::{Change, EndpointEnd, Notice, Quarantine, QuarantineStatus};

const REQUEST: Fingerprint = Fingerprint(7);

fn end(endpoint: u32, began: u64, ended: u64) -> EndpointEnd {
    EndpointEnd {
        endpoint,
        began: Millis(began),
        ended: Millis(ended),
    }
}

/// A quarantine that knows twelve endpoints and has recorded these ends as they happened.
fn with_ends(ends: &[EndpointEnd]) -> Quarantine {
    let mut quarantine = Quarantine::default();
    quarantine.set_endpoint_count(12);
    for end in ends {
        quarantine.record_end(REQUEST, *end, end.ended);
    }
    quarantine
}

/// Whether the request is refused once it has been evaluated.
fn is_refused(quarantine: &mut Quarantine, at: u64) -> bool {
    quarantine.evaluate_suspects(Millis(u64::MAX));
    matches!(
        quarantine.request_status(REQUEST, Millis(at)),
        QuarantineStatus::Refused { .. }
    )
}

#[test]
fn third_end_refuses() {
    let ends = [end(1, 0, 100), end(2, 200, 300), end(3, 400, 500)];
    assert_eq!(
        with_ends(&ends[..2]).request_status(REQUEST, Millis(600)),
        QuarantineStatus::Suspect { ends: 2 }
    );
    assert!(is_refused(&mut with_ends(&ends), 600));
    let other = with_ends(&ends).request_status(Fingerprint(8), Millis(600));
    assert_eq!(other, QuarantineStatus::Clear);
}

/// Ends of one moment count once: a rack with three endpoints that run copies of one request fails,
/// or five copies are running when the first endpoint ends.
#[test]
fn simultaneous_ends() {
    let at_once = [end(1, 0, 900), end(2, 100, 900), end(3, 300, 910)];
    let quarantine = with_ends(&at_once);
    assert_eq!(
        quarantine.request_status(REQUEST, Millis(1_000)),
        QuarantineStatus::Suspect { ends: 1 }
    );
    let mut again = quarantine;
    again.record_end(REQUEST, end(4, 1_000, 1_100), Millis(1_100));
    again.record_end(REQUEST, end(5, 1_200, 1_300), Millis(1_300));
    assert!(is_refused(&mut again, 1_400));
}

/// Where endpoints end under many requests, a request can lose three runs by chance; the fifth end
/// is enough even then.
#[test]
fn fifth_end_refuses() {
    let long = [1, 2, 3, 4, 5].map(|i| end(i, u64::from(i) * 1_000 - 900, u64::from(i) * 1_000));
    let mut quarantine = Quarantine::default();
    quarantine.set_endpoint_count(9);
    for i in 0..20 {
        let other = end(100 + i, 0, u64::from(i) * 100);
        quarantine.record_end(Fingerprint(50), other, Millis(2_000));
    }
    for (i, end) in long.iter().enumerate() {
        assert!(!is_refused(&mut quarantine, end.ended.0), "{i} ends");
        quarantine.record_end(REQUEST, *end, end.ended);
    }
    assert!(is_refused(&mut quarantine, 5_100));
    // Where nothing else ends meanwhile the third end is enough.
    let mut alone = quarantine;
    for i in 0..3 {
        let at = 20_000 + i * 500;
        let end = end(30 + i as u32, at, at + 40);
        alone.record_end(Fingerprint(9), end, Millis(at + 40));
    }
    alone.evaluate_suspects(Millis(u64::MAX));
    let status = alone.request_status(Fingerprint(9), Millis(21_100));
    assert!(matches!(status, QuarantineStatus::Refused { ends: 3, .. }));
}

/// A request that was lost with ends of an already refused request is not suspected for these.
#[test]
fn explained_by_refused() {
    let mut quarantine = with_ends(&[end(1, 0, 100), end(2, 200, 300), end(3, 400, 500)]);
    assert!(is_refused(&mut quarantine, 600));
    quarantine.set_endpoint_count(56);
    let other = Fingerprint(9);
    for end in [end(1, 0, 101), end(2, 150, 301), end(30, 900, 1_000)] {
        quarantine.record_end(other, end, end.ended);
    }
    assert!(is_refused(&mut quarantine, 1_100));
    let status = quarantine.request_status(other, Millis(1_100));
    assert_eq!(status, QuarantineStatus::Suspect { ends: 3 });
    // A request that was at all three ends can't be told from the cause, so both are refused.
    let mut both = with_ends(&[end(1, 0, 100), end(2, 200, 300)]);
    for end in [end(1, 0, 101), end(2, 200, 301), end(3, 400, 501)] {
        both.record_end(other, end, end.ended);
    }
    both.record_end(REQUEST, end(3, 400, 500), Millis(502));
    assert!(is_refused(&mut both, 600));
}

/// A request is lost with an endpoint that ended for its own reasons, then with two that another
/// request ended. The other one goes on to end endpoints alone, which explains those two.
#[test]
fn explained_by_later() {
    let other = Fingerprint(9);
    let mut quarantine = with_ends(&[end(2, 200, 300), end(3, 400, 500), end(4, 700, 800)]);
    for end in [end(1, 0, 100), end(2, 150, 301), end(3, 350, 501)] {
        quarantine.record_end(other, end, end.ended);
    }
    assert!(is_refused(&mut quarantine, 900));
    let status = quarantine.request_status(other, Millis(900));
    assert_eq!(status, QuarantineStatus::Suspect { ends: 3 });
}

/// A process that has just started does not know what else ended meanwhile. It refuses what its
/// peers refuse, and nothing on the basis of reported ends alone.
#[test]
fn fresh_follows_peers() {
    let now = Millis(10);
    let ended = |endpoint, age| Notice::Ended {
        request: REQUEST,
        endpoint,
        began: age,
        ended: age - 80,
    };
    let fresh_before = |endpoints| {
        let mut fresh = Quarantine::started_at(Millis(0));
        fresh.set_endpoint_count(endpoints);
        for (endpoint, age) in [(1, 3_000), (2, 2_500), (3, 2_000), (4, 1_500)] {
            fresh.apply_notice(&ended(endpoint, age), now);
        }
        fresh
    };
    assert!(!is_refused(&mut fresh_before(0), 20), "none is listed yet");
    let mut fresh = fresh_before(56);
    assert!(!is_refused(&mut fresh, 20), "from before it started");
    let refused = Notice::Refused {
        request: REQUEST,
        since: 1_400,
    };
    let change = fresh.apply_notice(&refused, now);
    assert!(matches!(change, Change::Refused { .. }));
    assert!(is_refused(&mut fresh, 20));
    let change = fresh.record_completion(REQUEST, Millis(30), Millis(30));
    assert_eq!(change, Change::Cleared);
}

/// Ends of the same moment are reported some gossip rounds later. Until then the request waits: it
/// is neither refused nor sent.
#[test]
fn reports_awaited() {
    let ends = [end(1, 0, 100), end(2, 200, 300), end(3, 400, 500)];
    let mut alone = with_ends(&ends);
    assert!(alone.evaluate_suspects(Millis(900)).is_empty());
    let status = alone.request_status(REQUEST, Millis(900));
    assert!(matches!(
        status,
        QuarantineStatus::MustWait {
            ends: 3,
            began: None,
            ..
        }
    ));
    assert_eq!(alone.evaluate_suspects(Millis(1_000)), [REQUEST]);
    let mut rack = with_ends(&ends);
    for i in 0..6 {
        rack.record_end(Fingerprint(50 + i), end(10 + i as u32, 0, 500), Millis(700));
    }
    assert!(rack.evaluate_suspects(Millis(1_000)).is_empty());
    let status = rack.request_status(REQUEST, Millis(1_000));
    assert_eq!(status, QuarantineStatus::Suspect { ends: 3 });
}

/// The end of one incarnation counts once, whoever saw it, in whatever order.
#[test]
fn incarnation_counts_once() {
    let mut quarantine = with_ends(&[end(1, 0, 100), end(1, 0, 104), end(2, 200, 300)]);
    assert_eq!(
        quarantine.record_end(REQUEST, end(2, 201, 330), Millis(400)),
        Change::None
    );
    assert!(!is_refused(&mut quarantine, 500));
    // The endpoint's address and id are the same, but the incarnation is another one.
    quarantine.record_end(REQUEST, end(9, 400, 500), Millis(500));
    assert!(is_refused(&mut quarantine, 600));
}

#[test]
fn any_notice_order() {
    let all = [end(1, 0, 100), end(2, 200, 300), end(3, 400, 500)];
    let now = Millis(1_000);
    for order in [[0, 1, 2], [2, 1, 0], [1, 2, 0], [2, 0, 1]] {
        let mut quarantine = Quarantine::default();
        quarantine.set_endpoint_count(12);
        for i in order {
            let notice = Notice::Ended {
                request: REQUEST,
                endpoint: all[i].endpoint,
                began: (now - all[i].began).as_u32(),
                ended: (now - all[i].ended).as_u32(),
            };
            quarantine.apply_notice(&notice, now);
            assert_eq!(quarantine.apply_notice(&notice, now), Change::None);
        }
        assert!(is_refused(&mut quarantine, 1_000), "{order:?}");
    }
}

/// A run that an endpoint completes clears the request, also of an earlier end that is reported
/// only afterwards.
#[test]
fn completion_clears() {
    let mut quarantine = with_ends(&[end(1, 0, 100), end(2, 200, 300)]);
    let change = quarantine.record_completion(REQUEST, Millis(400), Millis(400));
    assert_eq!(change, Change::Cleared);
    assert_eq!(
        quarantine.record_end(REQUEST, end(3, 150, 350), Millis(450)),
        Change::None
    );
    assert_eq!(
        quarantine.request_status(REQUEST, Millis(500)),
        QuarantineStatus::Clear
    );
    quarantine.record_end(REQUEST, end(4, 500, 600), Millis(600));
    assert_eq!(quarantine.consecutive_ends(REQUEST), 1);
}

#[test]
fn single_running_copy() {
    let mut quarantine = with_ends(&[end(1, 0, 100)]);
    let now = Millis(200);
    assert_eq!(quarantine.record_start(REQUEST, now, now), Change::Began);
    let status = quarantine.request_status(REQUEST, Millis(250));
    assert!(
        matches!(status, QuarantineStatus::MustWait { ends: 1, began, .. } if began == Some(now))
    );
    quarantine.record_end(REQUEST, end(2, 200, 300), Millis(300));
    let status = quarantine.request_status(REQUEST, Millis(310));
    assert_eq!(status, QuarantineStatus::Suspect { ends: 2 });
    // A run whose end nobody reports does not block the next copy for ever.
    quarantine.record_start(REQUEST, Millis(320), Millis(320));
    let status = quarantine.request_status(REQUEST, Millis(2_000));
    assert_eq!(status, QuarantineStatus::Suspect { ends: 2 });
}

/// Hours later, on other engines, the request may run once; it is refused for longer if that ends
/// one more endpoint.
#[test]
fn retry_after_refusal() {
    let ends = [end(1, 0, 100), end(2, 200, 300), end(3, 400, 500)];
    let mut quarantine = with_ends(&ends);
    assert!(is_refused(&mut quarantine, 600_000));
    let later = 601_000;
    quarantine.expire(Millis(later));
    assert_eq!(
        quarantine.request_status(REQUEST, Millis(later)),
        QuarantineStatus::Suspect { ends: 3 }
    );
    quarantine.record_end(REQUEST, end(4, later, later + 100), Millis(later + 100));
    assert!(is_refused(&mut quarantine, later + 1_190_000));
    quarantine.record_completion(
        REQUEST,
        Millis(later + 1_201_000),
        Millis(later + 1_201_000),
    );
    let status = quarantine.request_status(REQUEST, Millis(later + 1_201_000));
    assert_eq!(status, QuarantineStatus::Clear);
}

/// A flood of requests that are each lost once does not displace a request that ends endpoints.
#[test]
fn flood_keeps_suspects() {
    let mut quarantine = with_ends(&[end(1, 0, 100), end(2, 200, 300)]);
    for i in 0..20_000 {
        let now = Millis(1_000 + i);
        quarantine.record_end(Fingerprint(100 + i), end(3, 900, 1_000), now);
    }
    assert!(quarantine.len() <= 4_096);
    assert_eq!(quarantine.consecutive_ends(REQUEST), 2);
}

#[test]
fn new_peer_refuses() {
    let ends = [end(1, 0, 100), end(2, 200, 300), end(3, 400, 500)];
    let late = Millis(100_000);
    let mut known = with_ends(&ends);
    assert!(is_refused(&mut known, 600));
    let told = known.refused_notices(72, late);
    let mut newcomer = Quarantine::default();
    for notice in &told {
        newcomer.apply_notice(notice, Millis(500_000));
    }
    assert!(is_refused(&mut newcomer, 500_010));
    // Ages keep growing in transit: it is not refused for longer than elsewhere.
    assert!(!is_refused(&mut newcomer, 500_000 + 501_000));
}

#[test]
fn fingerprint_includes_caller() {
    let of = |team, body: &[u8]| Fingerprint::of(team, &["h", "POST", "/p"], body);
    assert_eq!(of("a", b"x"), of("a", b"x"));
    assert_ne!(of("a", b"x"), of("b", b"x"));
    assert_ne!(of("a", b"x"), of("a", b"y"));
    assert_ne!(
        Fingerprint::of("a", &["hp", ""], b""),
        Fingerprint::of("a", &["h", "p"], b"")
    );
}
