//! A watch that lost its answer is noticed: by the store's return, or by a peer that is ahead.

use std::rc::Rc;

use futures_util::FutureExt;
use violetline::clock::{Clock, Millis};
use violetline::direct::channel::Failure;
use violetline::direct::decision::DecisionLog;
use violetline::direct::entry::Entry;
use violetline::direct::settings::{Bounds, DirectSettings};
use violetline::direct::sync::{until_question, CallError};
use violetline::platform::Platform;

fn entry() -> (Clock, Rc<Entry>) {
    let address = ([127, 0, 0, 1], 1).into();
    let settings = DirectSettings {
        name: "entry-1".into(),
        zone: "hall-a".into(),
        callers: address,
        readiness: address,
        admin: address,
        link: address,
        seeds: Vec::new(),
        store: address,
        bounds: Bounds::default(),
    };
    let clock = Clock::manual(Millis(1_000));
    let sink = Box::new(std::io::sink());
    let log = DecisionLog::new(clock.clone(), sink, Box::new(|| 0));
    let entry = Entry::new(settings, Rc::new(Platform), clock.clone(), log);
    (clock, entry)
}

fn asks_again(entry: &Entry) -> bool {
    entry.watch_again.notified().now_or_never().is_some()
}

#[test]
fn store_returns() {
    let (_, entry) = entry();
    entry.store_answered();
    assert!(!asks_again(&entry));
    entry.store_failed(&CallError::Connection(Failure::Lost));
    entry.store_answered();
    assert!(asks_again(&entry));
    entry.store_answered();
    assert!(!asks_again(&entry));
}

#[test]
fn peer_is_ahead() {
    let (clock, entry) = entry();
    entry.applied_up_to(10);
    entry.peer_applied(11);
    clock.advance(Millis(649));
    entry.peer_applied(11);
    assert!(!asks_again(&entry));
    clock.advance(Millis(1));
    entry.peer_applied(11);
    assert!(asks_again(&entry));
}

/// A peer that is as far behind says nothing about the one that is ahead.
#[test]
fn others_behind_too() {
    let (clock, entry) = entry();
    entry.applied_up_to(10);
    entry.peer_applied(11);
    clock.advance(Millis(400));
    entry.peer_applied(10);
    clock.advance(Millis(250));
    entry.peer_applied(11);
    assert!(asks_again(&entry));
}

#[test]
fn watch_catches_up() {
    let (clock, entry) = entry();
    entry.peer_applied(11);
    clock.advance(Millis(500));
    entry.applied_up_to(11);
    entry.peer_applied(11);
    clock.advance(Millis(500));
    entry.peer_applied(12);
    assert!(!asks_again(&entry));
}

/// Peers' proofs spare questions to the store, but not while it is away: its return must be noticed.
#[test]
fn away_is_asked_on() {
    let (_, entry) = entry();
    entry.store_answered();
    entry.set_watching(true);
    entry.prove_by_peer(Millis(1_000), Millis(0));
    assert_eq!(until_question(&entry, Millis(0)), Millis(600));
    entry.store_failed(&CallError::Silent);
    assert_eq!(until_question(&entry, Millis(0)), Millis(0));
    entry.store_answered();
    assert_eq!(until_question(&entry, Millis(700)), Millis(1_300));
    entry.set_watching(false);
    assert_eq!(until_question(&entry, Millis(700)), Millis(2_900));
    entry.store_failed(&CallError::Silent);
    assert_eq!(until_question(&entry, Millis(700)), Millis(0));
}
