//! Changes of the list of endpoints and of the configuration at an entry: a watch that lost its
//! response is noticed by the store's return or by a peer that is ahead, and older answers undo
//! nothing.

mod common;

use common::{catalog, entry, listed};
use futures_util::FutureExt;
use violetline::clock::Millis;
use violetline::direct::changes;
use violetline::direct::channel::ExchangeError;
use violetline::direct::directory::{Change, ListedEndpoint};
use violetline::direct::entry::{Entry, ListSource};
use violetline::direct::peers::{GossipMessage, PeerId, WorkScope};
use violetline::direct::sync::{time_until_proof_due, CallError};

fn is_rewatch_requested(entry: &Entry) -> bool {
    entry.rewatch_requested.notified().now_or_never().is_some()
}

fn is_relist_requested(entry: &Entry) -> bool {
    entry.relist_requested.notified().now_or_never().is_some()
}

#[test]
fn store_returns() {
    let (_, entry) = entry();
    entry.store_answered();
    assert!(!is_rewatch_requested(&entry));
    entry.store_failed(&CallError::Connection(ExchangeError::Lost));
    entry.store_answered();
    assert!(is_rewatch_requested(&entry));
    entry.store_answered();
    assert!(!is_rewatch_requested(&entry));
}

#[test]
fn peer_is_ahead() {
    let (clock, entry) = entry();
    entry.apply_changes(Vec::new(), 10.into());
    entry.note_peer_list_revision(11.into());
    clock.advance(Millis(649));
    entry.note_peer_list_revision(11.into());
    assert!(!is_rewatch_requested(&entry));
    clock.advance(Millis(1));
    entry.note_peer_list_revision(11.into());
    assert!(is_rewatch_requested(&entry));
}

/// A watch that is repeated in vain does not tell what the store has; the whole list does. Proofs of
/// peers keep the configuration fresh, so nothing else would show that the list is old.
#[test]
fn rewatched_in_vain() {
    let (clock, entry) = entry();
    entry.apply_changes(Vec::new(), 10.into());
    entry.set_watching(true);
    for _ in 0..2 {
        assert!(!is_relist_requested(&entry));
        entry.note_peer_list_revision(11.into());
        clock.advance(Millis(650));
        entry.note_peer_list_revision(11.into());
    }
    assert!(is_relist_requested(&entry));
}

/// The age of the list counts from when it was last known to hold all changes, whoever told.
#[test]
fn list_age() {
    let (clock, entry) = entry();
    entry.apply_changes(Vec::new(), 10.into());
    entry.log_list_advanced(9.into(), ListSource::Store);
    clock.advance(Millis(300));
    assert_eq!(entry.list_age(), Millis(300));
    let peer = ListSource::Peer(([127, 0, 0, 2], 1).into());
    entry.confirm_list(entry.clock.now() - Millis(100), peer);
    assert_eq!(entry.list_age(), Millis(100));
    entry.confirm_list(entry.clock.now() - Millis(200), ListSource::Store);
    assert_eq!(
        (entry.list_age(), entry.list_confirmed_by()),
        (Millis(100), peer)
    );
    entry.log_list_advanced(10.into(), peer);
    assert_eq!(entry.list_age(), Millis(100), "the peer brought nothing");
}

/// A peer that is as far behind as this entry does not restart the time for which another one is
/// ahead.
#[test]
fn others_behind_too() {
    let (clock, entry) = entry();
    entry.apply_changes(Vec::new(), 10.into());
    entry.note_peer_list_revision(11.into());
    clock.advance(Millis(400));
    entry.note_peer_list_revision(10.into());
    clock.advance(Millis(250));
    entry.note_peer_list_revision(11.into());
    assert!(is_rewatch_requested(&entry));
}

#[test]
fn watch_catches_up() {
    let (clock, entry) = entry();
    entry.note_peer_list_revision(11.into());
    clock.advance(Millis(500));
    entry.apply_changes(Vec::new(), 11.into());
    entry.note_peer_list_revision(11.into());
    clock.advance(Millis(500));
    entry.note_peer_list_revision(12.into());
    assert!(!is_rewatch_requested(&entry));
}

/// Peers' proofs save requests to the store, but not while it is unreachable: its return must be
/// noticed.
#[test]
fn unreachable_store_polled() {
    let (clock, entry) = entry();
    clock.advance(Millis(600));
    entry.store_answered();
    entry.set_watching(true);
    entry.prove_by_peer(entry.clock.now(), Millis(0));
    assert_eq!(time_until_proof_due(&entry, Millis(0)), Millis(600));
    entry.store_failed(&CallError::TimedOut);
    assert_eq!(time_until_proof_due(&entry, Millis(0)), Millis(0));
    entry.store_answered();
    assert_eq!(time_until_proof_due(&entry, Millis(700)), Millis(1_300));
    entry.set_watching(false);
    assert_eq!(time_until_proof_due(&entry, Millis(700)), Millis(2_900));
    entry.store_failed(&CallError::TimedOut);
    assert_eq!(time_until_proof_due(&entry, Millis(700)), Millis(0));
}

/// A request to the store proves the configuration, whatever is known of endpoints by then.
#[test]
fn proof_by_catalog() {
    let (clock, entry) = entry();
    assert!(!entry.prove_up_to(Millis(900), 10.into()));
    entry.apply_changes(Vec::new(), 10.into());
    assert_eq!(entry.proof_age(), None);
    clock.advance(Millis(100));
    entry.confirm_catalog_at(10.into());
    assert_eq!(entry.proof_age(), Some(Millis(200)));
    assert_eq!(entry.applied(), 10.into());
}

/// An older item of the list, in a response that arrives late, does not bring back an endpoint that
/// has left.
#[test]
fn older_changes_ignored() {
    let (_, entry) = entry();
    let put = || Change::Put(listed("i-1", 5));
    let removed = Change::Removed {
        id: "i-1".into(),
        revision: 7.into(),
    };
    entry.apply_changes(vec![put()], 5.into());
    assert!(entry.directory().key("i-1").is_some());
    entry.apply_changes(vec![removed], 7.into());
    entry.apply_changes(vec![put()], 6.into());
    assert!(entry.directory().key("i-1").is_none());
    assert_eq!(entry.list_revision(), 7.into());
}

/// A listing that began before an endpoint left is read to its end after a peer has reported the
/// removal. If it brought the endpoint back, the endpoint would stay for good and get requests.
#[test]
fn older_listing() {
    let (_, entry) = entry();
    let all = || vec![listed("i-1", 3), listed("i-2", 4)];
    entry.apply_listing(all(), 5.into());
    let removed = Change::Removed {
        id: "i-1".into(),
        revision: 7.into(),
    };
    entry.apply_changes(vec![removed], 7.into());
    entry.apply_listing([all(), vec![listed("i-3", 8)]].concat(), 6.into());
    assert!(entry.directory().key("i-1").is_none());
    assert!(entry.directory().key("i-2").is_some());
    assert!(entry.directory().key("i-3").is_some(), "written meanwhile");
    assert_eq!(entry.list_revision(), 7.into());
}

/// A whole listing is forwarded as the changes that it makes, so that peers need not read a listing
/// after the store has dropped its history.
#[test]
fn listing_forwarded() {
    let (_, entry) = entry();
    let listed = |id: &str, revision| common::listed(id, revision);
    entry.apply_listing(vec![listed("i-1", 3), listed("i-2", 4)], 5.into());
    let first = entry.changes_since(0.into()).unwrap();
    assert_eq!((first.changes.len(), first.up_to), (2, 5.into()));
    entry.apply_listing(vec![listed("i-2", 4), listed("i-3", 8)], 9.into());
    assert_eq!(entry.changes_after(), 0.into());
    let passed = entry.changes_since(5.into()).unwrap();
    let removed = Change::Removed {
        id: "i-1".into(),
        revision: 9.into(),
    };
    assert_eq!(passed.up_to, 9.into());
    assert_eq!(passed.changes.len(), 2);
    assert!(passed.changes.contains(&removed));
    assert!(passed.changes.contains(&Change::Put(listed("i-3", 8))));
    entry.apply_listing(vec![listed("i-9", 2)], 7.into());
    assert_eq!(
        entry.changes_since(9.into()),
        None,
        "an older listing passes nothing on"
    );
}

/// Sends `to` the changes that `from` has after the list of `to`.
fn forward(from: &Entry, to: &Entry) {
    let passed = from.changes_since(to.list_revision());
    let written = passed.as_ref().and_then(changes::encode);
    if let Some(passed) = written.as_deref().and_then(changes::decode) {
        to.apply_peer_changes(passed);
    }
}

/// Requests reached an endpoint up to 2.5 s after it had left. An entry that had just started read
/// a listing without it, and its peers took their lists for complete up to that revision by the
/// changes that it forwarded, which did not contain the removal.
#[test]
fn left_before_listing() {
    let (_, peer) = entry();
    peer.apply_listing(vec![listed("i-1", 3), listed("i-2", 4)], 5.into());
    let (_, fresh) = entry();
    fresh.apply_listing(vec![listed("i-2", 4)], 6.into());
    forward(&fresh, &peer);
    assert_eq!(peer.list_revision(), 5.into());
    let removed = Change::Removed {
        id: "i-1".into(),
        revision: 6.into(),
    };
    peer.apply_changes(vec![removed], 6.into());
    assert!(peer.directory().key("i-1").is_none());
}

/// The same through an entry that has the changes from the fresh one, and for a list that has
/// advanced into the span of the listing meanwhile.
#[test]
fn left_before_forwarding() {
    let (_, fresh) = entry();
    fresh.apply_listing(vec![listed("i-2", 4)], 6.into());
    let (_, empty) = entry();
    forward(&fresh, &empty);
    assert_eq!(empty.list_revision(), 6.into());
    let (_, peer) = entry();
    peer.apply_listing(vec![listed("i-1", 3), listed("i-2", 4)], 5.into());
    forward(&empty, &peer);
    assert_eq!(peer.list_revision(), 5.into());
    peer.apply_peer_changes(fresh.changes_since(0.into()).unwrap());
    assert_eq!(peer.list_revision(), 5.into());
    assert!(is_rewatch_requested(&peer));
}

/// A peer's whole list replaces an older list; a newer one stays.
#[test]
fn whole_list() {
    let (_, fresh) = entry();
    let draining = ListedEndpoint {
        draining: true,
        ..listed("i-3", 6)
    };
    fresh.apply_listing(vec![listed("i-2", 4), draining], 6.into());
    let (_, peer) = entry();
    peer.apply_listing(vec![listed("i-1", 3), listed("i-2", 4)], 5.into());
    let passed = changes::encode(&fresh.whole_list()).unwrap();
    let passed = || changes::decode(&passed).unwrap();
    peer.apply_peer_list(passed());
    assert_eq!(peer.list_revision(), 6.into());
    assert_eq!(peer.directory().listing(), fresh.directory().listing());
    peer.apply_changes(vec![Change::Put(listed("i-4", 7))], 7.into());
    peer.apply_peer_list(passed());
    assert_eq!(peer.list_revision(), 7.into());
    assert!(peer.directory().key("i-4").is_some());
}

/// The whole configuration is read from the store by the entries that watch, and by an entry that
/// its peers don't bring up to date.
#[test]
fn catalog_from_peers() {
    let (clock, entry) = entry();
    let catalog = |version| Box::new(catalog(version, Vec::new()));
    entry.apply_catalog(catalog(3), "store");
    assert!(!entry.can_get_catalog_from_peers(), "no peer watches");
    let hear_watchers = || {
        for i in [2, 3] {
            let peer = ([127, 0, 0, i], 1).into();
            let hello = watching_peer(u64::from(i));
            let mut peers = entry.peers.borrow_mut();
            peers.record_message(peer, &hello, entry.clock.now());
        }
    };
    hear_watchers();
    assert!(entry.can_get_catalog_from_peers());
    entry.note_peer_catalog_version(4);
    clock.advance(Millis(700));
    entry.apply_catalog(catalog(4), "a peer");
    entry.note_peer_catalog_version(5);
    clock.advance(Millis(800));
    hear_watchers();
    assert!(entry.can_get_catalog_from_peers());
    clock.advance(Millis(700));
    hear_watchers();
    assert!(
        !entry.can_get_catalog_from_peers(),
        "lacks version 5 for 1.5 s"
    );
}

/// A message of an entry with a fast link that watches the store.
fn watching_peer(id: u64) -> GossipMessage {
    GossipMessage {
        from: PeerId(id),
        number: 1,
        echo: None,
        version: 3,
        proof_age_ms: Some(100),
        revision: 10.into(),
        changes_after: 0.into(),
        catalog_revision: 10.into(),
        leaving: false,
        watches: true,
        reads_large: false,
        link_mbps: 200,
        zone: None,
        zone_entries: 1,
        wants_reply: false,
        peer_addresses: Vec::new(),
        work_scope: WorkScope::Sender,
        work: Vec::new(),
        placements: Vec::new(),
        version_era: None,
        names_eras: false,
    }
}
