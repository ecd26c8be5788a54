//! Runs that were lost with an endpoint, told apart from those lost for other reasons.

use violetline::clock::Millis;
use violetline::direct::ends::{EndSign, LostHow, LostRun, LostRuns};
use violetline::fingerprint::Fingerprint;

fn lost(request: u64, at: u64, how: LostHow) -> LostRun {
    LostRun {
        request: Fingerprint(request),
        began: Millis(at - 50),
        lost: Millis(at),
        how,
    }
}

fn requests(runs: &[LostRun]) -> Vec<u64> {
    runs.iter().map(|run| run.request.0).collect()
}

#[test]
fn refused_connection() {
    let mut runs = LostRuns::default();
    assert_eq!(runs.record_loss(lost(1, 100, LostHow::Broken)), None);
    assert_eq!(runs.record_loss(lost(2, 100, LostHow::Silent)), None);
    let ended = runs.record_end(EndSign::Refused, Millis(110));
    assert_eq!(requests(&ended), [1, 2]);
    assert!(runs.record_end(EndSign::Unlisted, Millis(3_000)).is_empty());
    // One that is read only now was lost with it as well.
    let late = runs.record_loss(lost(3, 120, LostHow::Broken));
    assert_eq!(late, Some(EndSign::Refused));
}

/// A frozen engine, or one behind a cut, says nothing, and its entry lapses.
#[test]
fn silent_then_unlisted() {
    let mut runs = LostRuns::default();
    runs.record_loss(lost(1, 100, LostHow::Silent));
    runs.record_loss(lost(2, 100, LostHow::Broken));
    let ended = runs.record_end(EndSign::Unlisted, Millis(3_000));
    assert_eq!(requests(&ended), [2]);
}

/// A connection breaks and the endpoint goes on: what was lost there is not held against it when that ends later.
#[test]
fn heard_afterwards() {
    let mut runs = LostRuns::default();
    runs.record_loss(lost(1, 100, LostHow::Broken));
    // Bytes from before the end may be read just after the first broken connection.
    runs.record_contact(Millis(120));
    runs.record_loss(lost(2, 300, LostHow::Broken));
    runs.record_contact(Millis(320));
    let ended = runs.record_end(EndSign::Refused, Millis(330));
    assert_eq!(requests(&ended), [2]);
}

/// It takes a connection just after it broke one: it only answers that request so.
#[test]
fn connected_afterwards() {
    let mut runs = LostRuns::default();
    runs.record_loss(lost(1, 100, LostHow::Broken));
    runs.record_connection(Millis(100));
    runs.record_loss(lost(2, 101, LostHow::Broken));
    assert_eq!(
        requests(&runs.record_end(EndSign::Refused, Millis(110))),
        [2]
    );
}

#[test]
fn lost_long_before() {
    let mut runs = LostRuns::default();
    runs.record_loss(lost(1, 100, LostHow::Broken));
    assert!(runs.record_end(EndSign::Refused, Millis(20_000)).is_empty());
}
