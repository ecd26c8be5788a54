//! The rules on urgency, as the soak judges them.

use std::time::Duration;

use tokio::time::Instant;
use violetline_lab::tiers::{worst, Asked, Begun};

/// So many requests of one urgency within a second, of which some got nothing.
fn asked(count: usize, nothing: usize, at: Instant) -> Vec<Asked> {
    let ask = |i: usize| Asked {
        at: at + Duration::from_millis(i as u64),
        urgency: 0,
        tokens: 100,
        is_served: i >= nothing,
    };
    (0..count).map(ask).collect()
}

fn begun(urgency: u8, tokens: u64, at: Instant) -> Begun {
    Begun {
        at,
        urgency,
        tokens,
    }
}

#[test]
fn both_sizes() {
    let now = Instant::now();
    let later = |tokens| [begun(1, tokens, now + Duration::from_secs(1))];
    let is_broken = |asked: &[Asked], begun: &[Begun]| {
        worst(asked, begun, 0, |_| false).is_some_and(|span| span.is_broken())
    };
    assert!(is_broken(&asked(100, 10, now), &later(2_001)));
    assert!(!is_broken(&asked(100, 10, now), &later(2_000)));
    assert!(!is_broken(&asked(100, 9, now), &later(9_000)));
    assert!(!is_broken(&asked(120, 10, now), &later(9_000)));
    assert!(!is_broken(&asked(100, 10, now), &[begun(0, 9_000, now)]));
}

/// What is unbroken for the whole of a day may be broken in five seconds of it.
#[test]
fn each_span() {
    let now = Instant::now();
    let mut all = asked(500, 0, now);
    let bad = now + Duration::from_secs(60);
    all.extend(asked(20, 10, bad));
    let meanwhile = [begun(1, 9_000, bad)];
    let span = worst(&all, &meanwhile, 0, |_| false).unwrap();
    assert_eq!((span.asked, span.nothing, span.less_urgent), (20, 10, 1));
    assert!(span.is_broken());
    assert!(worst(&all, &meanwhile, 0, |at| at >= bad).is_some_and(|span| !span.is_broken()));
}
