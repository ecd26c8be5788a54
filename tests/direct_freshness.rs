//! The reported age of an entry's configuration is never less than its real age.

use violetline::clock::Millis;
use violetline::direct::freshness::Freshness;

#[test]
fn unproven_never_fresh() {
    let freshness = Freshness::default();
    assert_eq!(freshness.age(Millis(5)), None);
    assert!(!freshness.is_younger_than(Millis(5), Millis(10_000)));
}

#[test]
fn dated_from_question() {
    let mut freshness = Freshness::default();
    freshness.prove(Millis(1_000));
    assert_eq!(freshness.age(Millis(4_000)), Some(Millis(3_000)));
    assert!(freshness.is_younger_than(Millis(4_000), Millis(3_001)));
    assert!(!freshness.is_younger_than(Millis(4_000), Millis(3_000)));
}

#[test]
fn older_proof_ignored() {
    let mut freshness = Freshness::default();
    freshness.prove(Millis(2_000));
    freshness.prove(Millis(1_000));
    assert_eq!(freshness.age(Millis(2_000)), Some(Millis(0)));
}

#[test]
fn ages_add_up() {
    let mut freshness = Freshness::default();
    freshness.prove_by_peer(Millis(5_000), Millis(1_500));
    assert_eq!(freshness.age(Millis(6_000)), Some(Millis(2_500)));
    freshness.prove_by_peer(Millis(100), Millis(200));
    assert_eq!(freshness.age(Millis(6_000)), Some(Millis(2_500)));
}

/// A process that has just started takes a proof that is older than itself: without it, all entries
/// that are started together would refuse keyed requests until the next question to the store.
#[test]
fn older_than_process() {
    let mut freshness = Freshness::default();
    freshness.prove_by_peer(Millis(20), Millis(600));
    assert_eq!(freshness.age(Millis(30)), Some(Millis(610)));
    assert!(!freshness.is_younger_than(Millis(30), Millis(610)));
}

/// However a proof is forwarded between two clocks, and however long each message lies in a buffer,
/// it is at least as old as the question to the store.
#[test]
fn never_too_young() {
    arbtest::arbtest(|u| {
        let offset = u.int_in_range(0..=100_000u64)?;
        let question = u.int_in_range(1_000..=5_000u64)?;
        let asked_peer = question + u.int_in_range(0..=2_000u64)?;
        let composed = asked_peer + u.int_in_range(0..=2_000u64)?;
        let read = composed + u.int_in_range(0..=9_000u64)?;
        let mut first = Freshness::default();
        first.prove(Millis(question));
        let age = first.age(Millis(composed)).unwrap();
        let mut second = Freshness::default();
        second.prove_by_peer(Millis(asked_peer + offset), age);
        if let Some(told) = second.age(Millis(read + offset)) {
            assert!(told.0 >= read - question);
        }
        Ok(())
    });
}
