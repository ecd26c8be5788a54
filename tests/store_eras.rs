//! Eras of the store: a restored store gives its revisions out again, and has lost what was written
//! since its copy was made.

mod common;

use std::rc::Rc;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{ResponseHead, StatusCode};
use common::{catalog, entry, hello};
use violetline::clock::{Clock, Millis};
use violetline::direct::changes::{self, ChangeBatch};
use violetline::direct::departed::{LostEnd, SaidEnd};
use violetline::direct::dialect::InvalidResponse;
use violetline::direct::directory::{
    Change, Cordon, Directory, EndpointStatus, Era, ListedEndpoint, Listing, Revision,
    DEPARTED_GRACE, LAPSE_GRACE,
};
use violetline::direct::entry::Entry;
use violetline::direct::peers::{self, GossipMessage, READS_ERAS};

/// A revision in an era.
fn at(era: u64, number: u64) -> Revision {
    Revision::new(Some(Era(era)), number)
}

/// An endpoint at an address of its own.
fn listed(id: &str, revision: Revision) -> ListedEndpoint {
    let number: u16 = id.trim_start_matches("i-").parse().unwrap();
    ListedEndpoint {
        address: ([127, 0, 0, 1], 9_000 + number).into(),
        ..common::listed(id, revision)
    }
}

fn draining(id: &str, revision: Revision) -> ListedEndpoint {
    ListedEndpoint {
        draining: true,
        ..listed(id, revision)
    }
}

fn status(entry: &Entry, id: &str) -> Option<EndpointStatus> {
    let directory = entry.directory();
    let key = directory.key(id)?;
    directory.get(key).map(|endpoint| endpoint.status)
}

/// An entry whose list and configuration, version 9, are known up to revision 34 of the first era.
fn entry_at_34() -> (Clock, Rc<Entry>) {
    let (clock, entry) = entry();
    entry.apply_catalog(Box::new(catalog(9, Vec::new())), "store");
    entry.apply_listing(
        vec![listed("i-1", at(1, 3)), listed("i-2", at(1, 4))],
        at(1, 34),
    );
    entry.confirm_catalog_at(at(1, 34));
    clock.advance(Millis(5_000));
    (clock, entry)
}

fn response(status: u16, era: Option<&str>) -> ResponseHead {
    let mut head = ResponseHead::new(StatusCode::from_u16(status).unwrap());
    if let Some(era) = era {
        let name = HeaderName::from_static("store-era");
        head.headers
            .append(name, HeaderValue::from_str(era).unwrap());
    }
    head
}

#[test]
fn era_goes_first() {
    assert!(at(2, 3) > at(1, 34));
    assert!(at(1, 4) > at(1, 3));
    assert!(at(0, 1) > Revision::from(34), "before it named any");
}

/// The word that an endpoint leaves got revision 33, while the list was known up to 34.
#[test]
fn lower_number_is_news() {
    let (_, entry) = entry_at_34();
    entry.apply_listing(
        vec![listed("i-1", at(2, 3)), listed("i-2", at(2, 4))],
        at(2, 32),
    );
    entry.apply_changes(vec![Change::Put(draining("i-1", at(2, 33)))], at(2, 33));
    assert_eq!(status(&entry, "i-1"), Some(EndpointStatus::Draining));
    assert_eq!(entry.list_revision(), at(2, 33));
}

/// An answer that was read in the former era and arrives late changes nothing.
#[test]
fn former_era_ignored() {
    let (_, entry) = entry_at_34();
    entry.apply_listing(vec![listed("i-2", at(2, 4))], at(2, 20));
    entry.apply_listing(vec![listed("i-9", at(1, 35))], at(1, 36));
    entry.apply_changes(vec![Change::Put(listed("i-9", at(1, 35)))], at(1, 36));
    assert_eq!(status(&entry, "i-9"), None);
    assert_eq!(entry.list_revision(), at(2, 20));
}

/// An entry took itself for proven although a configuration that it had not read was in force: the
/// store had given out the same number again.
#[test]
fn proof_of_another_era() {
    let (_, entry) = entry_at_34();
    let asked = entry.clock.now();
    assert!(!entry.prove_up_to(asked, at(2, 34)));
    assert_eq!(entry.proof_age(), None);
    entry.confirm_catalog_at(at(2, 34));
    assert_eq!(entry.proof_age(), Some(Millis(0)));
}

/// What the store held when it was asked may be lost by now.
#[test]
fn pending_proof_of_former_era() {
    let (_, entry) = entry_at_34();
    assert!(!entry.prove_up_to(entry.clock.now(), at(1, 35)));
    entry.confirm_catalog_at(at(2, 40));
    assert_eq!(entry.proof_age(), None);
}

/// Versions never go back, and being the newest in the store proves nothing where peers have a
/// later version that the store has lost.
#[test]
fn lost_version_known_to_peer() {
    let (_, entry) = entry_at_34();
    entry.apply_catalog(Box::new(catalog(7, Vec::new())), "store");
    assert_eq!(entry.version(), 9);
    entry.confirm_catalog_at(at(2, 20));
    assert!(entry.prove_up_to(entry.clock.now(), at(2, 20)));
    entry.note_peer_version(11, Some(Era(2)));
    assert!(entry.proof_age().is_some(), "it was written since");
    entry.note_peer_version(11, Some(Era(1)));
    assert_eq!(entry.proof_age(), None);
    entry.prove_up_to(entry.clock.now(), at(2, 20));
    assert_eq!(entry.proof_age(), None, "the store does not know it");
    entry.apply_catalog(Box::new(catalog(11, Vec::new())), "a peer");
    entry.prove_up_to(entry.clock.now(), at(2, 20));
    assert!(entry.proof_age().is_some());
}

#[test]
fn leaving_survives() {
    let (_, entry) = entry_at_34();
    entry.apply_changes(vec![Change::Put(draining("i-1", at(1, 35)))], at(1, 35));
    let copy = || vec![listed("i-1", at(2, 3)), listed("i-2", at(2, 4))];
    entry.apply_listing(copy(), at(2, 20));
    assert_eq!(status(&entry, "i-1"), Some(EndpointStatus::Draining));
    entry.apply_listing(copy(), at(2, 21));
    assert_eq!(status(&entry, "i-1"), Some(EndpointStatus::Draining));
    let passed = entry.whole_list().into_listing();
    let first = passed.endpoints.iter().find(|l| l.id == "i-1").unwrap();
    assert!(first.draining, "peers learn it from here");
    let other_life = ListedEndpoint {
        software_version: "v2".into(),
        ..listed("i-1", at(2, 22))
    };
    entry.apply_changes(vec![Change::Put(other_life)], at(2, 22));
    assert_eq!(status(&entry, "i-1"), Some(EndpointStatus::Ready));
}

/// Within one era the list's newer word counts.
#[test]
fn ready_again_in_one_era() {
    let (_, entry) = entry_at_34();
    entry.apply_changes(vec![Change::Put(draining("i-1", at(1, 35)))], at(1, 35));
    entry.apply_changes(vec![Change::Put(listed("i-1", at(1, 36)))], at(1, 36));
    assert_eq!(status(&entry, "i-1"), Some(EndpointStatus::Ready));
}

#[test]
fn departure_survives() {
    let (_, entry) = entry_at_34();
    let removed = Change::Removed {
        id: "i-1".into(),
        revision: at(1, 35),
    };
    entry.apply_changes(vec![removed], at(1, 35));
    entry.apply_listing(
        vec![listed("i-1", at(2, 3)), listed("i-2", at(2, 4))],
        at(2, 20),
    );
    assert!(is_departed(&entry));
    entry.apply_listing(
        vec![listed("i-1", at(2, 3)), listed("i-2", at(2, 4))],
        at(2, 20),
    );
    assert!(is_departed(&entry), "listed again");
    entry.apply_changes(vec![Change::Put(listed("i-1", at(2, 21)))], at(2, 21));
    assert_eq!(
        status(&entry, "i-1"),
        Some(EndpointStatus::Ready),
        "it wrote again"
    );
}

fn is_departed(entry: &Entry) -> bool {
    matches!(status(entry, "i-1"), Some(EndpointStatus::Departed(_)))
}

/// An endpoint whose entry expired though it lived, and was not lost with the copy, writes nothing
/// that changes it. It is used again once that entry has stayed for longer than one that nobody writes.
#[test]
fn departed_endpoint_lives() {
    let (clock, entry) = entry_at_34();
    let removed = |number| Change::Removed {
        id: "i-1".into(),
        revision: at(1, number),
    };
    entry.apply_changes(vec![removed(35)], at(1, 35));
    let copy = || vec![listed("i-1", at(2, 3)), listed("i-2", at(2, 4))];
    entry.apply_listing(copy(), at(2, 20));
    clock.advance(DEPARTED_GRACE - Millis(1));
    entry.expire();
    assert!(is_departed(&entry));
    clock.advance(Millis(1));
    entry.expire();
    assert_eq!(status(&entry, "i-1"), Some(EndpointStatus::Ready));
    entry.apply_listing(copy(), at(2, 21));
    assert_eq!(status(&entry, "i-1"), Some(EndpointStatus::Ready));
}

/// An endpoint that was listed after the copy was made is written again soon.
#[test]
fn missing_entry_lapses() {
    let (clock, entry) = entry_at_34();
    entry.apply_listing(vec![listed("i-2", at(2, 4))], at(2, 20));
    assert!(matches!(
        status(&entry, "i-1"),
        Some(EndpointStatus::Lapsed(_))
    ));
    clock.advance(LAPSE_GRACE);
    entry.expire();
    assert_eq!(status(&entry, "i-1"), None);
    assert_eq!(status(&entry, "i-2"), Some(EndpointStatus::Ready));
}

/// The same at an entry that follows: it hears of the restoration by the changes of a peer.
#[test]
fn followers_get_changes() {
    let (_, watcher) = entry_at_34();
    let (_, follower) = entry_at_34();
    let copy = vec![draining("i-2", at(2, 30)), listed("i-3", at(2, 31))];
    watcher.apply_listing(copy, at(2, 31));
    let passed = watcher.changes_since(follower.list_revision()).unwrap();
    let bytes = changes::encode(&passed).unwrap();
    follower.apply_peer_changes(changes::decode(&bytes).unwrap());
    assert_eq!(follower.list_revision(), at(2, 31));
    assert!(matches!(
        status(&follower, "i-1"),
        Some(EndpointStatus::Lapsed(_))
    ));
    assert_eq!(status(&follower, "i-2"), Some(EndpointStatus::Draining));
    assert_eq!(status(&follower, "i-3"), Some(EndpointStatus::Ready));
}

/// Entries that follow fetch what changed, not the whole list again: with 3,500 endpoints that
/// would take the control traffic of some seconds at each of 450 entries.
#[test]
fn unchanged_endpoints_not_forwarded() {
    let all = |era| -> Vec<ListedEndpoint> {
        let ids = (1..=3_500).map(|i| listed(&format!("i-{i}"), at(era, i)));
        ids.collect()
    };
    let (_, entry) = entry();
    entry.apply_listing(all(1), at(1, 4_000));
    let mut copy = all(2);
    copy[7].draining = true;
    entry.apply_listing(copy, at(2, 3_900));
    let passed = entry.changes_since(at(1, 4_000)).unwrap();
    assert_eq!(passed.changes.len(), 1);
    assert!(changes::encode(&passed).unwrap().len() < 200);
}

fn cordon(revision: Revision) -> Cordon {
    Cordon {
        zone: "hall-a".into(),
        revision,
    }
}

fn listing(endpoint: ListedEndpoint, cordons: Vec<Cordon>) -> Listing {
    Listing {
        endpoints: vec![endpoint],
        cordons,
    }
}

/// A cordon that the store has lost stays until operators have had time to set it again.
#[test]
fn lost_cordon_kept_for_a_time() {
    let (clock, entry) = entry_at_34();
    entry.apply_changes(vec![Change::Cordoned(cordon(at(1, 35)))], at(1, 35));
    entry.apply_listing(listing(listed("i-1", at(2, 3)), Vec::new()), at(2, 20));
    entry.apply_cordons(Vec::new(), at(2, 21));
    assert!(entry.directory().is_cordoned("hall-a"));
    clock.advance(LAPSE_GRACE);
    entry.expire();
    assert!(!entry.directory().is_cordoned("hall-a"));
}

/// One that is set again counts like any other; one that was ended and is back is obeyed.
#[test]
fn cordon_of_new_era() {
    let (clock, entry) = entry_at_34();
    entry.apply_changes(vec![Change::Cordoned(cordon(at(1, 35)))], at(1, 35));
    entry.apply_changes(vec![Change::Uncordoned(cordon(at(1, 36)))], at(1, 36));
    let copy = listing(listed("i-1", at(2, 3)), vec![cordon(at(2, 10))]);
    entry.apply_listing(copy, at(2, 20));
    assert!(entry.directory().is_cordoned("hall-a"));
    clock.advance(LAPSE_GRACE);
    entry.expire();
    assert!(entry.directory().is_cordoned("hall-a"));
    entry.apply_changes(vec![Change::Uncordoned(cordon(at(2, 21)))], at(2, 21));
    assert!(!entry.directory().is_cordoned("hall-a"));
}

/// An entry that has read nothing but the copy is told by peers which endpoints leave or have left,
/// in whichever order.
#[test]
fn lost_ends_told() {
    let (_, entry) = entry_at_34();
    let removed = Change::Removed {
        id: "i-1".into(),
        revision: at(1, 35),
    };
    let leaves = Change::Put(draining("i-2", at(1, 36)));
    entry.apply_changes(vec![removed, leaves], at(1, 36));
    let copy = || vec![listed("i-1", at(2, 3)), listed("i-2", at(2, 4))];
    entry.apply_listing(copy(), at(2, 20));
    let ends = entry.directory().lost_ends(Millis(6_000));
    assert_eq!(ends.len(), 2);
    for listed_first in [false, true] {
        let mut fresh = Directory::default();
        let list = |fresh: &mut Directory| {
            fresh.replace(copy(), at(2, 20), Millis(10));
        };
        if listed_first {
            list(&mut fresh);
        }
        for end in ends.clone() {
            fresh.apply_lost_end(end, Millis(10));
        }
        list(&mut fresh);
        let accepts = |id| {
            fresh
                .key(id)
                .is_some_and(|key| fresh.accepts_requests(key, Millis(20)))
        };
        assert!(!accepts("i-1"), "listed first: {listed_first}");
        assert!(!accepts("i-2"), "listed first: {listed_first}");
    }
}

/// An entry that follows tells them too, though it got no new word of the endpoint in the new era.
#[test]
fn lost_ends_told_by_followers() {
    let leaves = || Change::Put(draining("i-2", at(1, 35)));
    let (_, watcher) = entry_at_34();
    let (_, follower) = entry_at_34();
    for entry in [&watcher, &follower] {
        entry.apply_changes(vec![leaves()], at(1, 35));
    }
    watcher.apply_listing(
        vec![listed("i-1", at(2, 3)), listed("i-2", at(2, 4))],
        at(2, 20),
    );
    follower.apply_peer_changes(watcher.changes_since(at(1, 35)).unwrap());
    for entry in [watcher, follower] {
        let ends = entry.directory().lost_ends(Millis(6_000));
        assert_eq!(ends.len(), 1);
        assert_eq!((&*ends[0].id, ends[0].said), ("i-2", SaidEnd::Leaves));
    }
}

/// An endpoint has the address of one that left; the copy lists the latter and lacks the former, which
/// lives.
#[test]
fn address_given_on() {
    let (_, entry) = entry_at_34();
    let removed = Change::Removed {
        id: "i-1".into(),
        revision: at(1, 35),
    };
    let heir = ListedEndpoint {
        address: listed("i-1", at(1, 3)).address,
        ..listed("i-3", at(1, 36))
    };
    entry.apply_changes(vec![removed, Change::Put(heir)], at(1, 36));
    entry.apply_listing(
        vec![listed("i-1", at(2, 3)), listed("i-2", at(2, 4))],
        at(2, 20),
    );
    assert!(is_departed(&entry));
    assert!(matches!(
        status(&entry, "i-3"),
        Some(EndpointStatus::Lapsed(_))
    ));
}

/// A version is passed on with the era in which it was written: an entry of the new era that has got
/// a lost one from a peer shows it to others as lost.
#[test]
fn era_of_version_passed_on() {
    let (_, entry) = entry_at_34();
    assert_eq!(entry.catalog_era(), None, "before any era was known");
    entry.apply_catalog(Box::new(catalog(10, Vec::new())), "store");
    assert_eq!(entry.catalog_era(), Some(Era(1)));
    entry.apply_listing(vec![listed("i-2", at(2, 4))], at(2, 20));
    entry.note_peer_version(11, Some(Era(1)));
    entry.apply_catalog(Box::new(catalog(11, Vec::new())), "a peer");
    assert_eq!(entry.catalog_era(), Some(Era(1)));
    entry.apply_catalog(Box::new(catalog(12, Vec::new())), "store");
    assert_eq!(entry.catalog_era(), Some(Era(2)));
}

/// An endpoint that wrote again since is not affected by what peers know of its earlier end.
#[test]
fn lost_end_of_former_life() {
    let mut directory = Directory::default();
    let reborn = ListedEndpoint {
        born: Some(200),
        ..listed("i-1", at(2, 21))
    };
    directory.apply(Change::Put(reborn), Millis(0));
    directory.apply(Change::Put(listed("i-2", at(2, 22))), Millis(0));
    let end = |id: &str, born, said| LostEnd {
        id: id.into(),
        born,
        said,
    };
    directory.apply_lost_end(end("i-1", Some(100), SaidEnd::Leaves), Millis(0));
    let left = SaidEnd::Left { last_entry: 4 };
    directory.apply_lost_end(end("i-2", None, left), Millis(0));
    for id in ["i-1", "i-2"] {
        let key = directory.key(id).unwrap();
        assert!(directory.accepts_requests(key, Millis(1)), "{id}");
    }
}

/// An answer without an era, or of a former one, can't be ordered once the store has named one.
#[test]
fn unordered_answers_rejected() {
    let (_, entry) = entry();
    let note = |status, era| entry.note_store_era(&response(status, era));
    assert_eq!(note(200, None), Ok(None));
    assert_eq!(note(200, Some("x")), Ok(None));
    assert_eq!(note(503, Some("0")), Ok(Some(Era(0))));
    assert_eq!(note(410, Some("2")), Ok(Some(Era(2))));
    assert_eq!(note(200, None), Err(InvalidResponse::EraMissing));
    assert_eq!(note(200, Some("x")), Err(InvalidResponse::EraMissing));
    let former = InvalidResponse::EraFormer {
        named: Era(1),
        known: Era(2),
    };
    assert_eq!(note(200, Some("1")), Err(former));
    assert_eq!(note(200, Some("2")), Ok(Some(Era(2))));
}

/// A message whose revisions are of different eras, as after the list has been read anew and the
/// configuration has not.
fn message() -> GossipMessage {
    GossipMessage {
        revision: at(2, 20),
        changes_after: at(1, 3),
        catalog_revision: at(1, 34),
        version_era: Some(Era(1)),
        names_eras: true,
        ..hello(7, READS_ERAS | 5, None)
    }
}

#[test]
fn messages_name_eras() {
    let bytes = peers::encode(&message()).unwrap();
    assert_eq!(peers::decode(&bytes), Some(message()));
    assert!(message().reads_eras());
    let cut = &bytes[..bytes.len() - 1];
    assert_eq!(peers::decode(cut), None);
    let longer = [&bytes[..], &[0]].concat();
    assert_eq!(peers::decode(&longer), None);
}

/// Entries of earlier builds read messages without eras, and theirs are read.
#[test]
fn messages_of_earlier_builds() {
    let plain = GossipMessage {
        version_era: None,
        names_eras: false,
        ..message()
    };
    let bytes = peers::encode(&plain).unwrap();
    let read = peers::decode(&bytes).unwrap();
    assert_eq!(read.revision, 20.into());
    assert_eq!((read.names_eras, read.version), (false, plain.version));
    assert!(!hello(7, 5, None).reads_eras());
}

#[test]
fn changes_for_earlier_builds() {
    let batch = ChangeBatch {
        changes: vec![Change::Put(listed("i-1", at(2, 5)))],
        up_to: at(2, 6),
        spans: Vec::new(),
    };
    let config = bincode::config::standard();
    let mut earlier = bincode::serde::encode_to_vec(&batch, config).unwrap();
    earlier.extend(bincode::serde::encode_to_vec(&batch.spans, config).unwrap());
    earlier.extend(bincode::serde::encode_to_vec(vec!["v1"], config).unwrap());
    let earlier = zstd::bulk::compress(&earlier, 1).unwrap();
    assert_eq!(changes::encode_without_eras(&batch).unwrap(), earlier);
    let read = changes::decode(&earlier).unwrap();
    assert_eq!(
        (read.up_to, read.changes[0].revision()),
        (6.into(), 5.into())
    );
}

/// What an entry of an earlier build tells of the store counts until the store names eras: after a
/// restoration its numbers may be of any era.
#[test]
fn earlier_builds_not_relied_on() {
    let (_, entry) = entry();
    let of_earlier_build = GossipMessage {
        proof_age_ms: Some(100),
        watches: true,
        ..hello(7, 5, None)
    };
    assert!(entry.is_comparable(&of_earlier_build));
    let from = ([127, 0, 0, 2], 1).into();
    let now = entry.clock.now();
    let watches = |entry: &Entry| entry.peers.borrow().has_watcher(now);
    entry
        .peers
        .borrow_mut()
        .record_message(from, &of_earlier_build, now);
    assert!(watches(&entry));
    entry.note_store_era(&response(200, Some("1"))).unwrap();
    assert!(!entry.is_comparable(&of_earlier_build));
    entry
        .peers
        .borrow_mut()
        .record_message(from, &of_earlier_build, now);
    assert!(!watches(&entry));
    assert!(entry.is_comparable(&message()));
}
