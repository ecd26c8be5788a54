//! An endpoint that starts again under its identity: nothing of its earlier life counts.

mod common;

use common::{entry, listed};
use violetline::clock::Millis;
use violetline::direct::directory::{digest, Change, Directory, EndpointKey, ListedEndpoint};
use violetline::direct::health::Fault;
use violetline::direct::load::Footprint;
use violetline::direct::prefix::PromptSegment;
use violetline::fingerprint::Fingerprint;

const FOOTPRINT: Footprint = Footprint {
    band: 0,
    unread: 1_000,
    held: 1_000,
    pause_sensitivity: 0,
};

fn life(id: &str, born: u64, revision: u64) -> ListedEndpoint {
    ListedEndpoint {
        born: Some(born),
        ..listed(id, revision)
    }
}

fn key(directory: &Directory) -> EndpointKey {
    directory.key("a").unwrap()
}

#[test]
fn another_endpoint() {
    let mut directory = Directory::default();
    directory.apply(Change::Put(life("a", 100, 1)), Millis(0));
    let before = key(&directory);
    let gone = directory.apply(Change::Put(life("a", 200, 2)), Millis(10));
    assert_eq!(gone, Some(before));
    assert_ne!(key(&directory), before);
    assert!(
        !directory.accepts_requests(before, Millis(100)),
        "checked when a request is sent"
    );
}

#[test]
fn same_life() {
    let mut directory = Directory::default();
    directory.apply(Change::Put(life("a", 100, 1)), Millis(0));
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

/// An old entry that comes late does not bring the earlier life back.
#[test]
fn late_old_entry() {
    let mut directory = Directory::default();
    directory.apply(Change::Put(life("a", 200, 5)), Millis(0));
    let now = key(&directory);
    assert_eq!(
        directory.apply(Change::Put(life("a", 100, 4)), Millis(1)),
        None
    );
    assert_eq!(key(&directory), now);
}

/// Peers tell of work and placements by a digest that is another one for each life.
#[test]
fn digest_of_life() {
    assert_ne!(digest("a", Some(100)), digest("a", Some(200)));
    assert_eq!(digest("a", Some(100)), digest("a", Some(100)));
    let mut directory = Directory::default();
    directory.apply(Change::Put(life("a", 100, 1)), Millis(0));
    directory.apply(Change::Put(life("a", 200, 2)), Millis(0));
    assert_eq!(directory.by_digest(digest("a", Some(100))), None);
    assert_eq!(
        directory.by_digest(digest("a", Some(200))),
        directory.key("a")
    );
}

/// Load, record and kept parts are forgotten with the life that they were of.
#[test]
fn holds_nothing() {
    let (clock, entry) = entry();
    entry.apply_listing(vec![life("a", 100, 1)], 1);
    let before = key(&entry.directory());
    let placed = entry.begin_run(before, "pool", FOOTPRINT, Fingerprint(1));
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
    entry.apply_changes(vec![Change::Put(life("a", 200, 2))], 2);
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
    // The end of what ran in the earlier life changes nothing in the new one.
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
