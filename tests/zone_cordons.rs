//! Cordoned availability zones: nothing new is sent there, however the information arrives.

mod common;

use common::{entry, listed};
use violetline::clock::Millis;
use violetline::direct::cordons::Cordons;
use violetline::direct::directory::{Change, Cordon, Directory, ListedEndpoint, Listing};

const ZONE: &str = "hall-a";

fn cordon(revision: u64) -> Cordon {
    Cordon {
        zone: ZONE.into(),
        revision: revision.into(),
    }
}

fn directory() -> Directory {
    let mut directory = Directory::default();
    let elsewhere = ListedEndpoint {
        zone: "hall-b".into(),
        ..listed("b", 2)
    };
    directory.apply(Change::Put(listed("a", 1)), Millis(0));
    directory.apply(Change::Put(elsewhere), Millis(0));
    directory
}

fn accepts_requests(directory: &Directory, id: &str) -> bool {
    directory.accepts_requests(directory.key(id).unwrap(), Millis(100))
}

#[test]
fn cordoned_zone_excluded() {
    let mut directory = directory();
    directory.apply(Change::Cordoned(cordon(3)), Millis(10));
    assert!(
        !accepts_requests(&directory, "a"),
        "checked when a request is sent"
    );
    assert!(accepts_requests(&directory, "b"));
    assert_eq!(directory.available_in_pool("pool", Millis(100)).count(), 1);
    directory.apply(Change::Uncordoned(cordon(4)), Millis(20));
    assert!(accepts_requests(&directory, "a"));
}

/// An endpoint that joins a cordoned zone gets no requests either.
#[test]
fn joining_endpoint_excluded() {
    let mut directory = directory();
    directory.apply(Change::Cordoned(cordon(3)), Millis(10));
    directory.apply(Change::Put(listed("c", 4)), Millis(20));
    assert!(!accepts_requests(&directory, "c"));
}

/// After a cordon ends, endpoints may be cold, whatever their records said before.
#[test]
fn warmed_after_cordon() {
    let mut directory = directory();
    let key = directory.key("a").unwrap();
    directory.apply(Change::Cordoned(cordon(3)), Millis(1_000));
    directory.apply(Change::Uncordoned(cordon(4)), Millis(9_000));
    let warm_until = |directory: &Directory| directory.get(key).unwrap().warm_until(Millis(3_000));
    assert_eq!(warm_until(&directory), Millis(12_000));
    directory.apply(Change::Put(listed("a", 5)), Millis(9_500));
    assert_eq!(
        warm_until(&directory),
        Millis(9_500),
        "its newer entry says so"
    );
}

#[test]
fn older_information_ignored() {
    let mut cordons = Cordons::default();
    cordons.cordon(cordon(7));
    assert!(!cordons.uncordon(&cordon(6)));
    assert!(cordons.has(ZONE));
    assert!(cordons.uncordon(&cordon(8)));
    cordons.cordon(cordon(7));
    assert!(!cordons.has(ZONE), "a peer's old word");
}

/// Listings and their changes bring sender and receiver to the same state.
#[test]
fn forwarded_by_listing() {
    let (_, first) = entry();
    let (_, second) = entry();
    let with_cordon = Listing {
        endpoints: vec![listed("a", 1)],
        cordons: vec![cordon(5)],
    };
    first.apply_listing(vec![listed("a", 1)], 2.into());
    second.apply_listing(vec![listed("a", 1)], 2.into());
    first.apply_listing(with_cordon, 6.into());
    let passed = first.changes_since(2.into()).unwrap();
    second.apply_changes(passed.changes, passed.up_to);
    assert!(second.directory().is_cordoned(ZONE));
    first.apply_listing(vec![listed("a", 1)], 9.into());
    let passed = first.changes_since(6.into()).unwrap();
    second.apply_changes(passed.changes, passed.up_to);
    assert!(!second.directory().is_cordoned(ZONE));
}

/// A request for a proof may reveal the end of a cordon before the listing does; peers that only
/// receive the listing still learn of that end.
#[test]
fn early_end_forwarded() {
    let (_, first) = entry();
    let with_cordon = Listing {
        endpoints: Vec::new(),
        cordons: vec![cordon(5)],
    };
    first.apply_listing(with_cordon, 6.into());
    first.apply_cordons(Vec::new(), 8.into());
    assert!(!first.directory().is_cordoned(ZONE));
    first.apply_listing(Vec::new(), 9.into());
    let passed = first.changes_since(6.into()).unwrap();
    let ends = |change: &Change| matches!(change, Change::Uncordoned(end) if end.zone == ZONE);
    assert!(passed.changes.iter().any(ends));
}

/// Invalid zone names from other writers neither displace a real zone nor use unbounded memory.
#[test]
fn invalid_zones_bounded() {
    let mut cordons = Cordons::default();
    cordons.cordon(cordon(1));
    for n in 0..5_000 {
        cordons.cordon(Cordon {
            zone: format!("made-up-{n}"),
            revision: (n + 2).into(),
        });
    }
    assert!(cordons.has(ZONE));
    assert!(cordons.uncordon(&cordon(9_000)));
    assert!(!cordons.has("made-up-4999"));
}
