//! Requests that are polled, so that a copy of them is lost with each engine that another request ends. They were told to
//! stay away for 10 minutes and more, though innocent.

mod common;

use std::rc::Rc;

use common::{entry, listed};
use violetline::clock::{Clock, Millis};
use violetline::direct::directory::{digest, ListedEndpoint};
use violetline::direct::entry::Entry;
use violetline::fingerprint::Fingerprint;
use violetline::quarantine::{Notice, QuarantineStatus};

const POLLED: Fingerprint = Fingerprint(1);
const ENDING: Fingerprint = Fingerprint(2);
/// Time for what ended together to be heard.
const JUDGED: Millis = Millis(500);

/// An entry before some endpoints of one pool and some of another.
fn with_pools(own: usize, others: usize) -> (Clock, Rc<Entry>) {
    let (clock, entry) = entry();
    let own = (0..own).map(|i| listed(&format!("i-{i}"), 1));
    let others = (0..others).map(|i| ListedEndpoint {
        pool: "other".into(),
        ..listed(&format!("m-{i}"), 1)
    });
    entry.apply_listing(own.chain(others).collect::<Vec<_>>(), 1);
    clock.advance(Millis(10_000));
    (clock, entry)
}

/// An endpoint ends under a request whose run began 50 ms before.
fn ended(entry: &Entry, request: Fingerprint, endpoint: usize) {
    entry.apply_notices(&[Notice::Ended {
        request,
        endpoint: digest(&format!("i-{endpoint}"), None),
        began: 50,
        ended: 0,
    }]);
}

fn is_refused(entry: &Entry, request: Fingerprint) -> bool {
    matches!(
        entry.request_status(request),
        QuarantineStatus::Refused { .. }
    )
}

/// Three of a pool's four endpoints ended under both. Among the nine endpoints of all pools that would hardly be chance;
/// among the four it is.
#[test]
fn small_pool() {
    let (clock, entry) = with_pools(4, 5);
    for endpoint in 0..3 {
        clock.advance(Millis(100));
        ended(&entry, ENDING, endpoint);
        ended(&entry, POLLED, endpoint);
    }
    clock.advance(JUDGED);
    assert!(!is_refused(&entry, POLLED));
}

/// Two ends are shared: the one does not run while the other does, and the next end tells them apart.
#[test]
fn one_at_once() {
    let (clock, entry) = with_pools(9, 3);
    let shared = |endpoint| {
        clock.advance(Millis(100));
        ended(&entry, ENDING, endpoint);
        ended(&entry, POLLED, endpoint);
    };
    shared(0);
    entry.record_suspect_start(ENDING, clock.now());
    assert_eq!(
        entry.request_status(POLLED),
        QuarantineStatus::Suspect { ends: 1 }
    );
    shared(1);
    assert_eq!(
        entry.request_status(POLLED),
        QuarantineStatus::Suspect { ends: 2 }
    );
    entry.record_suspect_start(ENDING, clock.now() + Millis(1));
    let standing = entry.request_status(POLLED);
    assert!(
        matches!(
            standing,
            QuarantineStatus::MustWait {
                ends: 2,
                began: None,
                ..
            }
        ),
        "{standing:?}"
    );
    clock.advance(Millis(100));
    ended(&entry, ENDING, 2);
    assert_eq!(
        entry.request_status(POLLED),
        QuarantineStatus::Suspect { ends: 2 }
    );
    clock.advance(JUDGED);
    assert!(is_refused(&entry, ENDING));
    // One more end, of its own, does not make it the cause: the others are explained.
    ended(&entry, POLLED, 3);
    clock.advance(JUDGED);
    assert!(!is_refused(&entry, POLLED));
}

/// In a pool of nine the third end tells, as before.
#[test]
fn larger_pool() {
    let (clock, entry) = with_pools(9, 3);
    for endpoint in 0..3 {
        clock.advance(Millis(100));
        ended(&entry, ENDING, endpoint);
    }
    clock.advance(JUDGED);
    assert!(is_refused(&entry, ENDING));
}
