//! Cordoned availability zones: nothing new is sent there, whatever way the word of it comes.

mod common;

use common::{entry, listed};
use violetline::clock::Millis;
use violetline::direct::cordons::Cordons;
use violetline::direct::directory::{Change, Cordon, Directory, ListedEndpoint, Listing};

const ZONE: &str = "hall-a";

fn cordon(revision: u64) -> Cordon {
    Cordon {
        zone: ZONE.into(),
        revision,
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
fn zone_left_out() {
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

/// An endpoint that joins a cordoned zone gets nothing either.
#[test]
fn joins_cordoned_zone() {
    let mut directory = directory();
    directory.apply(Change::Cordoned(cordon(3)), Millis(10));
    directory.apply(Change::Put(listed("c", 4)), Millis(20));
    assert!(!accepts_requests(&directory, "c"));
}

/// What operators took back may be cold, whatever its entry said before.
#[test]
fn warms_up_after() {
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
fn older_word_ignored() {
    let mut cordons = Cordons::default();
    cordons.cordon(cordon(7));
    assert!(!cordons.uncordon(&cordon(6)));
    assert!(cordons.has(ZONE));
    assert!(cordons.uncordon(&cordon(8)));
    cordons.cordon(cordon(7));
    assert!(!cordons.has(ZONE), "a peer's old word");
}

/// Listings and their changes bring both ends to the same state.
#[test]
fn passed_on_by_listing() {
    let (_, first) = entry();
    let (_, second) = entry();
    let with_cordon = Listing {
        endpoints: vec![listed("a", 1)],
        cordons: vec![cordon(5)],
    };
    first.apply_listing(vec![listed("a", 1)], 2);
    second.apply_listing(vec![listed("a", 1)], 2);
    first.apply_listing(with_cordon, 6);
    let passed = first.changes_since(2).unwrap();
    second.apply_changes(passed.changes, passed.up_to);
    assert!(second.directory().is_cordoned(ZONE));
    first.apply_listing(vec![listed("a", 1)], 9);
    let passed = first.changes_since(6).unwrap();
    second.apply_changes(passed.changes, passed.up_to);
    assert!(!second.directory().is_cordoned(ZONE));
}

/// A question for a proof may bring the end of a cordon before the listing does; peers that hear of the
/// listing alone learn of that end as well.
#[test]
fn end_known_early() {
    let (_, first) = entry();
    let with_cordon = Listing {
        endpoints: Vec::new(),
        cordons: vec![cordon(5)],
    };
    first.apply_listing(with_cordon, 6);
    first.apply_cordons(Vec::new(), 8);
    assert!(!first.directory().is_cordoned(ZONE));
    first.apply_listing(Vec::new(), 9);
    let passed = first.changes_since(6).unwrap();
    let ends = |change: &Change| matches!(change, Change::Uncordoned(end) if end.zone == ZONE);
    assert!(passed.changes.iter().any(ends));
}

/// Names that other writers make up neither push a zone out nor grow without bound.
#[test]
fn made_up_zones() {
    let mut cordons = Cordons::default();
    cordons.cordon(cordon(1));
    for n in 0..5_000 {
        cordons.cordon(Cordon {
            zone: format!("made-up-{n}"),
            revision: n + 2,
        });
    }
    assert!(cordons.has(ZONE));
    assert!(cordons.uncordon(&cordon(9_000)));
    assert!(!cordons.has("made-up-4999"));
}
