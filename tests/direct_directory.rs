//! The directory of endpoints, through changes and outages of the platform's list.

mod common;

use common::listed;
use violetline::clock::Millis;
use violetline::direct::directory::{
    Change, Directory, EndpointStatus, ListedEndpoint, LAPSE_GRACE,
};

fn removed(id: &str, revision: u64) -> Change {
    Change::Removed {
        id: id.into(),
        revision: revision.into(),
    }
}

fn status(directory: &Directory, id: &str) -> Option<EndpointStatus> {
    let key = directory.key(id)?;
    directory.get(key).map(|endpoint| endpoint.status)
}

fn directory_with_one_endpoint() -> Directory {
    let mut directory = Directory::default();
    directory.list_available(Millis(0));
    directory.apply(Change::Put(listed("a", 1)), Millis(0));
    directory
}

#[test]
fn removed_at_once() {
    let mut directory = directory_with_one_endpoint();
    assert!(directory.apply(removed("a", 2), Millis(9_000)).is_some());
    assert_eq!(status(&directory, "a"), None);
}

#[test]
fn draining_takes_nothing() {
    let mut directory = directory_with_one_endpoint();
    let draining = ListedEndpoint {
        draining: true,
        ..listed("a", 2)
    };
    directory.apply(Change::Put(draining), Millis(10));
    let key = directory.key("a").unwrap();
    assert!(!directory.accepts_requests(key, Millis(100)));
    assert_eq!(directory.available_in_pool("pool", Millis(100)).count(), 0);
}

#[test]
fn lapse_bridged() {
    let mut directory = directory_with_one_endpoint();
    directory.list_unavailable();
    assert!(directory.apply(removed("a", 2), Millis(100)).is_none());
    let key = directory.key("a").unwrap();
    assert!(directory.accepts_requests(key, Millis(100)));
    // The grace starts when the list is available again, however long the outage was.
    assert!(directory.expire(Millis(60_000)).is_empty());
    directory.list_available(Millis(60_000));
    assert!(directory
        .expire(Millis(60_000) + LAPSE_GRACE - Millis(1))
        .is_empty());
    directory.apply(Change::Put(listed("a", 3)), Millis(61_000));
    assert!(directory.expire(Millis(70_000)).is_empty());
    assert_eq!(status(&directory, "a"), Some(EndpointStatus::Ready));
}

#[test]
fn grace_ends() {
    let mut directory = directory_with_one_endpoint();
    directory.list_unavailable();
    directory.list_available(Millis(5_000));
    assert!(directory.apply(removed("a", 2), Millis(5_100)).is_none());
    assert_eq!(directory.expire(Millis(5_000) + LAPSE_GRACE).len(), 1);
    assert_eq!(status(&directory, "a"), None);
}

#[test]
fn removed_during_outage() {
    let mut directory = directory_with_one_endpoint();
    let draining = ListedEndpoint {
        draining: true,
        ..listed("a", 2)
    };
    directory.apply(Change::Put(draining), Millis(10));
    directory.list_unavailable();
    assert!(directory.apply(removed("a", 3), Millis(20)).is_some());
}

#[test]
fn old_entry_ignored() {
    let mut directory = directory_with_one_endpoint();
    let draining = ListedEndpoint {
        draining: true,
        ..listed("a", 5)
    };
    directory.apply(Change::Put(draining), Millis(10));
    directory.apply(Change::Put(listed("a", 4)), Millis(20));
    assert_eq!(status(&directory, "a"), Some(EndpointStatus::Draining));
    assert!(directory.apply(removed("a", 3), Millis(30)).is_none());
}

#[test]
fn relisting_finds_missing() {
    let mut directory = directory_with_one_endpoint();
    directory.apply(Change::Put(listed("b", 2)), Millis(0));
    let gone = directory.replace(vec![listed("b", 2)], 3.into(), Millis(9_000));
    assert_eq!(gone.len(), 1);
    assert_eq!(status(&directory, "a"), None);
    assert_eq!(status(&directory, "b"), Some(EndpointStatus::Ready));
}

/// The pages of a listing are not a consistent snapshot: an entry that was written after the read
/// began may be missing from it, but has not disappeared.
#[test]
fn newer_than_listing() {
    let mut directory = directory_with_one_endpoint();
    directory.apply(Change::Put(listed("b", 7)), Millis(0));
    assert!(directory
        .replace(vec![listed("a", 1)], 6.into(), Millis(9_000))
        .is_empty());
    assert_eq!(status(&directory, "b"), Some(EndpointStatus::Ready));
}

/// Engines ended and were started again while the store was unavailable, at the same address but
/// with another id. Their old entries had expired and still counted as ready, so six requests for
/// an old id reached the new engine during a back-off of 1.5 s that it had asked for, and each was
/// answered with 421.
#[test]
fn address_taken() {
    let mut directory = Directory::default();
    directory.list_available(Millis(0));
    directory.apply(Change::Put(listed("a", 1)), Millis(0));
    let key = directory.key("a").unwrap();
    directory.list_unavailable();
    assert_eq!(directory.apply(removed("a", 2), Millis(100)), None);
    assert!(
        directory.accepts_requests(key, Millis(100)),
        "in use during the outage"
    );
    directory.apply(Change::Put(listed("b", 3)), Millis(200));
    assert_eq!(status(&directory, "a"), Some(EndpointStatus::Displaced));
    assert!(!directory.accepts_requests(key, Millis(200)));
    directory.list_available(Millis(300));
    assert_eq!(directory.expire(Millis(300)), [key]);
}

/// The reverse order: the new id is listed before the entry of the old one disappears.
#[test]
fn address_taken_before() {
    let mut directory = Directory::default();
    directory.apply(Change::Put(listed("a", 1)), Millis(0));
    directory.apply(Change::Put(listed("b", 3)), Millis(0));
    assert_eq!(status(&directory, "a"), Some(EndpointStatus::Ready));
    directory.list_unavailable();
    assert_eq!(directory.apply(removed("a", 4), Millis(100)), None);
    assert_eq!(status(&directory, "a"), Some(EndpointStatus::Displaced));
}

/// An endpoint whose entry expired and is written again is ready, even if another endpoint was
/// listed at its address meanwhile.
#[test]
fn written_again() {
    let mut directory = Directory::default();
    directory.apply(Change::Put(listed("a", 1)), Millis(0));
    directory.list_unavailable();
    directory.apply(removed("a", 2), Millis(100));
    directory.apply(Change::Put(listed("b", 3)), Millis(200));
    directory.apply(Change::Put(listed("a", 4)), Millis(300));
    assert_eq!(status(&directory, "a"), Some(EndpointStatus::Ready));
}
