//! An endpoint that restarts under the same id: nothing of its earlier incarnation counts.

mod common;

use common::{entry, listed};
use violetline::clock::Millis;
use violetline::direct::directory::{digest, Change, Directory, EndpointKey, ListedEndpoint};
use violetline::direct::known::health::Fault;
use violetline::direct::known::load::Footprint;
use violetline::direct::placement::prefix::PromptSegment;
use violetline::fingerprint::Fingerprint;

const FOOTPRINT: Footprint = Footprint {
    band: 0,
    unread: 1_000,
    held: 1_000,
    pause_sensitivity: 0,
};

fn incarnation(id: &str, born: u64, revision: u64) -> ListedEndpoint {
    ListedEndpoint {
        born: Some(born),
        ..listed(id, revision)
    }
}

fn key(directory: &Directory) -> EndpointKey {
    directory.key("a").unwrap()
}

#[test]
fn old_incarnation_replaced() {
    let mut directory = Directory::default();
    directory.apply(Change::Put(incarnation("a", 100, 1)), Millis(0));
    let before = key(&directory);
    let gone = directory.apply(Change::Put(incarnation("a", 200, 2)), Millis(10));
    assert_eq!(gone, Some(before));
    assert_ne!(key(&directory), before);
    assert!(
        !directory.accepts_requests(before, Millis(100)),
        "checked when a request is sent"
    );
}

#[test]
fn same_incarnation() {
    let mut directory = Directory::default();
    directory.apply(Change::Put(incarnation("a", 100, 1)), Millis(0));
    let before = key(&directory);
    for (n, born) in [Some(100), None, Some(100)].into_iter().enumerate() {
        let listed = ListedEndpoint {
            born,
            ..listed("a", n as u64 + 2)
        };
        assert_eq!(directory.apply(Change::Put(listed), Millis(10)), None);
    }
    assert_eq!(key(&directory), before, "an entry without it tells nothing");
}

/// An old entry that arrives late does not bring the earlier incarnation back.
#[test]
fn late_entry_ignored() {
    let mut directory = Directory::default();
    directory.apply(Change::Put(incarnation("a", 200, 5)), Millis(0));
    let now = key(&directory);
    assert_eq!(
        directory.apply(Change::Put(incarnation("a", 100, 4)), Millis(1)),
        None
    );
    assert_eq!(key(&directory), now);
}

/// Peers report work and placements under a digest that differs for each incarnation.
#[test]
fn digest_per_incarnation() {
    assert_ne!(digest("a", Some(100)), digest("a", Some(200)));
    assert_eq!(digest("a", Some(100)), digest("a", Some(100)));
    let mut directory = Directory::default();
    directory.apply(Change::Put(incarnation("a", 100, 1)), Millis(0));
    directory.apply(Change::Put(incarnation("a", 200, 2)), Millis(0));
    assert_eq!(directory.by_digest(digest("a", Some(100))), None);
    assert_eq!(
        directory.by_digest(digest("a", Some(200))),
        directory.key("a")
    );
}

/// Load, record and kept prompt parts are forgotten with the incarnation that they belong to.
#[test]
fn new_incarnation_empty() {
    let (clock, entry) = entry();
    entry.apply_listing(vec![incarnation("a", 100, 1)], 1.into());
    let before = key(&entry.directory());
    let placed = entry.begin_run(before, "pool", FOOTPRINT, Fingerprint(1), [].into());
    entry.endpoint_failed(before, Fault::Unreachable, "test");
    let now = clock.now();
    let parts = [
        PromptSegment { id: 1, tokens: 500 },
        PromptSegment { id: 2, tokens: 9 },
    ];
    let ids = parts.iter().map(|part| part.id);
    entry
        .prefixes
        .borrow_mut()
        .record_use(before, ids, now, now);
    entry.apply_changes(vec![Change::Put(incarnation("a", 200, 2))], 2.into());
    let after = key(&entry.directory());
    let endpoint_states = entry.endpoint_states();
    let endpoint_state = endpoint_states.get(after).unwrap();
    assert_eq!(endpoint_state.load.own(now).running, 0);
    assert!(!endpoint_state.record.is_ejected());
    let cached = entry
        .prefixes
        .borrow()
        .cached(after, &parts, Millis(0), now);
    assert_eq!(cached.sent, 0);
    assert!(endpoint_states.get(before).is_none());
    drop(endpoint_states);
    // The end of a run of the earlier incarnation changes nothing in the new one.
    drop(placed);
    assert_eq!(
        entry
            .endpoint_states()
            .get(after)
            .unwrap()
            .load
            .own(now)
            .running,
        0
    );
}

/// An endpoint that comes back under its id with other software is another one: its streams don't go
/// on there.
#[test]
fn other_software() {
    let mut directory = Directory::default();
    directory.apply(Change::Put(listed("a", 1)), Millis(0));
    let before = key(&directory);
    let listed = ListedEndpoint {
        software_version: "v2".into(),
        ..listed("a", 2)
    };
    let gone = directory.apply(Change::Put(listed), Millis(10));
    assert_eq!(gone, Some(before));
    assert_ne!(key(&directory), before);
}
