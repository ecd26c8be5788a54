//! A watch that lost its answer is noticed: by the store's return, or by a peer that is ahead.

mod common;

use common::{entry, listed};
use futures_util::FutureExt;
use violetline::clock::Millis;
use violetline::direct::channel::Failure;
use violetline::direct::directory::Change;
use violetline::direct::entry::Entry;
use violetline::direct::sync::{until_question, CallError};

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
    entry.take_changes(Vec::new(), 10);
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
    entry.take_changes(Vec::new(), 10);
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
    entry.take_changes(Vec::new(), 11);
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

/// A question to the store proves the configuration, whatever is known of endpoints meanwhile.
#[test]
fn proof_by_catalog() {
    let (clock, entry) = entry();
    assert!(!entry.prove_up_to(Millis(900), 10));
    entry.take_changes(Vec::new(), 10);
    assert_eq!(entry.proof_age(), None);
    clock.advance(Millis(100));
    entry.catalog_known_up_to(10);
    assert_eq!(entry.proof_age(), Some(Millis(200)));
    assert_eq!(entry.applied(), 10);
}

/// An older entry that a slower answer brings does not bring back an endpoint that has left.
#[test]
fn older_changes_ignored() {
    let (_, entry) = entry();
    let put = || Change::Put(listed("i-1", 5));
    let removed = Change::Removed {
        id: "i-1".into(),
        revision: 7,
    };
    entry.take_changes(vec![put()], 5);
    assert!(entry.directory().key("i-1").is_some());
    entry.take_changes(vec![removed], 7);
    entry.take_changes(vec![put()], 6);
    assert!(entry.directory().key("i-1").is_none());
    assert_eq!(entry.listed_up_to(), 7);
}
