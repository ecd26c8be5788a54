//! Runs that were lost because their endpoint terminated, distinguished from those lost for other
//! reasons.

use violetline::clock::Millis;
use violetline::direct::ends::{EndSign, LostHow, LostRun, LostRuns};
use violetline::fingerprint::Fingerprint;
use violetline::quarantine::parts::EndpointKind;

fn lost(request: u64, at: u64, how: LostHow) -> LostRun {
    LostRun {
        request: Fingerprint(request),
        parts: [].into(),
        kind: EndpointKind::default(),
        was_warming: false,
        answer_began: None,
        began: Millis(at - 50),
        lost: Millis(at),
        how,
    }
}

fn requests(runs: &[LostRun]) -> Vec<u64> {
    runs.iter().map(|run| run.request.0).collect()
}

#[test]
fn refusal_ends_runs() {
    let mut runs = LostRuns::default();
    assert_eq!(runs.record_loss(lost(1, 100, LostHow::Broken)), None);
    assert_eq!(runs.record_loss(lost(2, 100, LostHow::Silent)), None);
    let ended = runs.record_end(EndSign::Refused, Millis(110));
    assert_eq!(requests(&ended), [1, 2]);
    assert!(runs.record_end(EndSign::Unlisted, Millis(3_000)).is_empty());
    // A loss that is noticed only now also belongs to that termination.
    let late = runs.record_loss(lost(3, 120, LostHow::Broken));
    assert_eq!(late, Some(EndSign::Refused));
}

/// A frozen or partitioned engine is silent, and its record lapses.
#[test]
fn silent_then_unlisted() {
    let mut runs = LostRuns::default();
    runs.record_loss(lost(1, 100, LostHow::Silent));
    runs.record_loss(lost(2, 100, LostHow::Broken));
    let ended = runs.record_end(EndSign::Unlisted, Millis(3_000));
    assert_eq!(requests(&ended), [2]);
}

/// A connection breaks and the endpoint continues: the run lost there is not blamed when the
/// endpoint terminates later.
#[test]
fn contact_clears_runs() {
    let mut runs = LostRuns::default();
    runs.record_loss(lost(1, 100, LostHow::Broken));
    // Data sent before the termination may be read just after the first broken connection.
    runs.record_contact(Millis(120));
    runs.record_loss(lost(2, 300, LostHow::Broken));
    runs.record_contact(Millis(320));
    let ended = runs.record_end(EndSign::Refused, Millis(330));
    assert_eq!(requests(&ended), [2]);
}

/// The endpoint accepts a connection just after it broke another one, so it only answers that
/// request in this way.
#[test]
fn connection_clears_runs() {
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
fn old_losses_ignored() {
    let mut runs = LostRuns::default();
    runs.record_loss(lost(1, 100, LostHow::Broken));
    assert!(runs.record_end(EndSign::Refused, Millis(20_000)).is_empty());
}
