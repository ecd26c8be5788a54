//! Guards against refusing innocent requests that are polled: a copy of them is lost with each
//! engine that another request crashes. Such requests were refused for 10 minutes and more.

mod common;

use std::rc::Rc;

use common::{entry, listed};
use violetline::clock::{Clock, Millis};
use violetline::direct::directory::{digest, ListedEndpoint};
use violetline::direct::entry::Entry;
use violetline::fingerprint::Fingerprint;
use violetline::quarantine::{Notice, QuarantineStatus};

const POLLED: Fingerprint = Fingerprint(1);
const CRASHING: Fingerprint = Fingerprint(2);
/// Delay of the evaluation, in which simultaneous ends are reported.
const EVALUATION_DELAY: Millis = Millis(500);

/// An entry with `own` endpoints of one pool and `others` of another.
fn with_pools(own: usize, others: usize) -> (Clock, Rc<Entry>) {
    let (clock, entry) = entry();
    let own = (0..own).map(|i| listed(&format!("i-{i}"), 1));
    let others = (0..others).map(|i| ListedEndpoint {
        pool: "other".into(),
        ..listed(&format!("m-{i}"), 1)
    });
    entry.apply_listing(own.chain(others).collect::<Vec<_>>(), 1.into());
    clock.advance(Millis(10_000));
    (clock, entry)
}

/// An endpoint ends under a request whose run started 50 ms before.
fn record_end(entry: &Entry, request: Fingerprint, endpoint: usize) {
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

/// Three of a pool's four endpoints ended under both requests. Among the nine endpoints of all
/// pools that would hardly be chance; among the pool's four it is.
#[test]
fn small_pool_chance() {
    let (clock, entry) = with_pools(4, 5);
    for endpoint in 0..3 {
        clock.advance(Millis(100));
        record_end(&entry, CRASHING, endpoint);
        record_end(&entry, POLLED, endpoint);
    }
    clock.advance(EVALUATION_DELAY);
    assert!(!is_refused(&entry, POLLED));
}

/// Two requests share two ends: one does not run while the other does, and the next end tells them
/// apart.
#[test]
fn shared_ends_alternate() {
    let (clock, entry) = with_pools(9, 3);
    let shared = |endpoint| {
        clock.advance(Millis(100));
        record_end(&entry, CRASHING, endpoint);
        record_end(&entry, POLLED, endpoint);
    };
    shared(0);
    entry.record_suspect_start(CRASHING, clock.now());
    assert_eq!(
        entry.request_status(POLLED),
        QuarantineStatus::Suspect { ends: 1 }
    );
    shared(1);
    assert_eq!(
        entry.request_status(POLLED),
        QuarantineStatus::Suspect { ends: 2 }
    );
    entry.record_suspect_start(CRASHING, clock.now() + Millis(1));
    let status = entry.request_status(POLLED);
    assert!(
        matches!(
            status,
            QuarantineStatus::MustWait {
                ends: 2,
                began: None,
                ..
            }
        ),
        "{status:?}"
    );
    clock.advance(Millis(100));
    record_end(&entry, CRASHING, 2);
    assert_eq!(
        entry.request_status(POLLED),
        QuarantineStatus::Suspect { ends: 2 }
    );
    clock.advance(EVALUATION_DELAY);
    assert!(is_refused(&entry, CRASHING));
    // One more end of its own does not make it the cause: the others are explained.
    record_end(&entry, POLLED, 3);
    clock.advance(EVALUATION_DELAY);
    assert!(!is_refused(&entry, POLLED));
}

/// In a pool of nine the third end is enough.
#[test]
fn third_end_suffices() {
    let (clock, entry) = with_pools(9, 3);
    for endpoint in 0..3 {
        clock.advance(Millis(100));
        record_end(&entry, CRASHING, endpoint);
    }
    clock.advance(EVALUATION_DELAY);
    assert!(is_refused(&entry, CRASHING));
}
