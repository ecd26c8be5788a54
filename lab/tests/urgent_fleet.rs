//! Urgent requests got nothing while less urgent ones began. The urgent kind may be sent to one endpoint only, and endpoints that
//! were full of less urgent work turned it away within 2 ms (`refused` with `endpoint_refused`); a less urgent kind with two
//! attempts began elsewhere. No slot was kept for it, entries that hear of each other's work 0.2 s late all went to
//! the endpoint that looked best (23 requests within 12 ms to one of eight slots), and one that refuses at once looks best.
//! `attempt_failed` lines settled it: half of the urgent requests were turned away where their entry knew of a free slot,
//! and half of an endpoint's refusals to one entry came 8 ms or less after the one before. In the worst five seconds
//! of this test 69 of 140, 91 of 150 and 72 of 141 got nothing.

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
