//! An endpoint behind a sidecar that asks for a rest, during which it gets no work.

use violetline::clock::Millis;
use violetline::health::Breaker;

const SLOTS: u32 = 8;

#[test]
fn nothing_during_rest() {
    let mut breaker = Breaker::default();
    breaker.asked_for_rest(Millis(3_000));
    assert_eq!(breaker.allowance(Millis(500), SLOTS), (0, Millis(2_500)));
    // Neither answers to earlier requests nor a shorter rest end it sooner.
    breaker.succeeded();
    breaker.asked_for_rest(Millis(1_000));
    assert_eq!(breaker.allowance(Millis(2_999), SLOTS).0, 0);
}

#[test]
fn single_request_afterwards() {
    let mut breaker = Breaker::default();
    breaker.asked_for_rest(Millis(3_000));
    assert_eq!(breaker.allowance(Millis(3_000), SLOTS), (1, Millis(0)));
    breaker.succeeded();
    assert_eq!(breaker.allowance(Millis(3_001), SLOTS).0, SLOTS);
}

/// A rest is no failure, however often it is asked for; a new incarnation has asked for none.
#[test]
fn rest_without_failure() {
    let mut breaker = Breaker::default();
    for at in 0..10 {
        breaker.asked_for_rest(Millis(at * 100));
    }
    assert_eq!(breaker.allowance(Millis(900), SLOTS).0, 1);
    breaker.asked_for_rest(Millis(60_000));
    breaker.begin_life();
    assert_eq!(breaker.allowance(Millis(1_000), SLOTS).0, 1);
}
