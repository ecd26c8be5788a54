//! What endpoints announce in their answers takes precedence over the list, and holds for the
//! incarnation that announced it.

mod common;

use common::listed;
use violetline::announced::{AnnouncedLimit, AnnouncedState, Announcement, FormerIncarnations};
use violetline::clock::Millis;
use violetline::direct::directory::{Change, Directory, ListedEndpoint, LAPSE_GRACE};

const LONGEST: Millis = Millis(300_000);
const LEAVES: Announcement = Announcement {
    leaves: true,
    rest: None,
    limit: AnnouncedLimit::None,
};

fn rest(ms: u64) -> Announcement {
    Announcement {
        leaves: false,
        rest: Some(Millis(ms)),
        limit: AnnouncedLimit::None,
    }
}

/// The endpoint `a` as listed, of an incarnation that started at `born`.
fn incarnation(born: Option<u64>, revision: u64) -> ListedEndpoint {
    ListedEndpoint {
        born,
        ..listed("a", revision)
    }
}

fn removed(revision: u64) -> Change {
    Change::Removed {
        id: "a".into(),
        revision: revision.into(),
    }
}

/// A directory that holds `a`, which announced something at time 0.
fn announced(born: Option<u64>, announcement: Announcement) -> Directory {
    let mut directory = Directory::default();
    directory.apply(Change::Put(incarnation(born, 1)), Millis(0));
    let key = directory.key("a").unwrap();
    directory.record_announcement(key, announcement, Millis(0), LONGEST);
    directory
}

fn accepts_requests(directory: &Directory, now: u64) -> bool {
    let key = directory.key("a");
    key.is_some_and(|key| directory.accepts_requests(key, Millis(now)))
}

#[test]
fn leaving_incarnation() {
    let mut directory = announced(Some(100), LEAVES);
    assert!(!accepts_requests(&directory, 0));
    directory.apply(Change::Put(incarnation(Some(100), 2)), Millis(10));
    assert!(!accepts_requests(&directory, 10), "another entry of it");
    directory.replace(vec![incarnation(Some(100), 2)], 3.into(), Millis(20));
    assert!(!accepts_requests(&directory, 20), "a whole listing");
    directory.apply(removed(4), Millis(30));
    directory.apply(Change::Put(incarnation(Some(100), 5)), Millis(40));
    assert!(!accepts_requests(&directory, 40), "its entry went and came");
    directory.apply(Change::Put(incarnation(Some(200), 6)), Millis(50));
    assert!(accepts_requests(&directory, 50), "another life");
}

/// An endpoint that announced that it leaves gets no grace period when its entry expires while the
/// list is unavailable.
#[test]
fn leaving_without_grace() {
    let mut directory = announced(None, LEAVES);
    directory.list_unavailable();
    assert!(directory.apply(removed(2), Millis(10)).is_some());
    let mut directory = announced(None, rest(60_000));
    directory.list_unavailable();
    assert!(directory.apply(removed(2), Millis(10)).is_none());
    assert!(!accepts_requests(&directory, 20), "lapsed, and resting");
}

#[test]
fn resting_incarnation() {
    let mut directory = announced(Some(100), rest(10_000));
    assert!(!accepts_requests(&directory, 9_999));
    assert!(accepts_requests(&directory, 10_000));
    let gone = directory.apply(removed(2), Millis(100) + LAPSE_GRACE);
    assert!(gone.is_some());
    directory.apply(Change::Put(incarnation(Some(100), 3)), Millis(5_000));
    assert!(
        !accepts_requests(&directory, 5_000),
        "its entry went and came"
    );
    directory.apply(Change::Put(incarnation(Some(200), 4)), Millis(6_000));
    assert!(accepts_requests(&directory, 6_000), "another life");
}

#[test]
fn latest_rest_counts() {
    let mut announced = AnnouncedState::default();
    announced.apply(rest(5_000), Millis(0), LONGEST);
    announced.apply(rest(500), Millis(100), LONGEST);
    assert_eq!(announced.rests_until, Millis(5_000));
    announced.apply(rest(u64::MAX), Millis(200), LONGEST);
    assert_eq!(announced.rests_until, Millis(200) + LONGEST);
}

/// The number of remembered incarnations is bounded: the oldest is dropped.
#[test]
fn former_incarnations_bounded() {
    let mut former = FormerIncarnations::default();
    let leaves = AnnouncedState {
        leaves: true,
        ..AnnouncedState::default()
    };
    for i in 0..5_000 {
        former.keep(&format!("i-{i}"), None, leaves, Millis(0));
    }
    assert_eq!(former.take("i-0", None), AnnouncedState::default());
    assert_eq!(former.take("i-4999", None), leaves);
    let kept = (0..4_999).filter(|i| former.take(&format!("i-{i}"), None).leaves);
    assert_eq!(kept.count(), 4_095);
    former.keep("over", None, AnnouncedState::default(), Millis(0));
    assert_eq!(former.take("over", None), AnnouncedState::default());
}
