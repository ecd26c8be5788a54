//! Urgent requests got nothing while less urgent ones began: of the urgent kind, which may be sent to one endpoint only, some
//! were turned away by a full one within 2 ms, and that was the end.

use violetline_lab::urgency::{play, UrgencyOptions};

/// Twelve entries before twelve engines with few places. The less urgent kind bursts to twice what all engines
/// take; the urgent one needs a quarter of their slots.
const BURST: UrgencyOptions = UrgencyOptions {
    entries: 12,
    engines: 12,
    slots: 4,
    queue: 2,
    puts_out: false,
    urgent: 0.25,
    burst: 2.0,
    seconds: 8,
    leaving: 0,
    seed: 1,
    plays: 1,
};

/// Engines turn everybody away alike when they are full.
#[actix_rt::test]
async fn full_engines() {
    let seen = play(BURST).await;
    assert!(!seen.worst.is_broken(), "{seen:?}");
}

/// Engines put out the least urgent that wait, and some of them leave as planned.
#[actix_rt::test]
async fn engines_leave() {
    let seen = play(UrgencyOptions {
        puts_out: true,
        leaving: 4,
        ..BURST
    })
    .await;
    assert!(!seen.worst.is_broken(), "{seen:?}");
}
