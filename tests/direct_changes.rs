//! The log of changes of the list of endpoints, kept for entries that do not watch the store.

mod common;

use common::listed;
use violetline::direct::changes::{self, ChangeBatch, ChangeLog, ListingSpan};
use violetline::direct::directory::{Change, Era};

/// A change that was written at a revision.
fn change(revision: u64) -> Change {
    if revision % 3 == 0 {
        let id = format!("i-{revision}");
        let revision = revision.into();
        return Change::Removed { id, revision };
    }
    Change::Put(listed(&format!("i-{revision}"), revision))
}

fn span((after, up_to): (u64, u64)) -> ListingSpan {
    ListingSpan {
        after: after.into(),
        up_to: up_to.into(),
    }
}

/// A log to which the changes between each two of the revisions were appended.
fn log(revisions: &[u64]) -> ChangeLog {
    let mut log = ChangeLog::default();
    for pair in revisions.windows(2) {
        append(&mut log, pair[0], pair[1]);
    }
    log
}

fn append(log: &mut ChangeLog, after: u64, up_to: u64) {
    let changes: Vec<Change> = (after + 1..=up_to).map(change).collect();
    log.append(after.into(), up_to.into(), &changes);
}

fn since(log: &ChangeLog, revision: u64) -> Option<Vec<u64>> {
    let passed = log.since(revision.into())?;
    let revisions = passed.changes.iter().map(Change::revision);
    Some(revisions.map(|revision| revision.number).collect())
}

#[test]
fn only_newer_returned() {
    let log = log(&[3, 5, 9]);
    assert_eq!(since(&log, 3).unwrap(), [4, 5, 6, 7, 8, 9]);
    assert_eq!(since(&log, 5).unwrap(), [6, 7, 8, 9]);
    assert_eq!(since(&log, 4).unwrap(), [5, 6, 7, 8, 9]);
    assert_eq!(since(&log, 9), None);
    assert_eq!(log.since(3.into()).unwrap().up_to, 9.into());
}

#[test]
fn too_far_behind() {
    assert_eq!(since(&log(&[3, 5]), 2), None);
    assert_eq!(since(&ChangeLog::default(), 2), None);
}

#[test]
fn gap_clears_log() {
    let mut log = log(&[3, 5]);
    append(&mut log, 7, 8);
    assert_eq!(since(&log, 3), None);
    assert_eq!(since(&log, 7).unwrap(), [8]);
}

/// A stretch of the history without changes of the list is not a gap.
#[test]
fn quiet_stretch() {
    let mut log = log(&[3, 5]);
    log.append(5.into(), 8.into(), &[]);
    append(&mut log, 8, 9);
    assert_eq!(since(&log, 3).unwrap(), [4, 5, 9]);
    assert_eq!(since(&log, 6).unwrap(), [9]);
}

/// A listing does not show which endpoints left within its span, so an entry whose list is complete
/// up to a revision within the span gets no changes.
#[test]
fn within_listing() {
    let mut log = ChangeLog::default();
    log.append_listing(3.into(), 9.into(), &[change(5)]);
    append(&mut log, 9, 10);
    assert_eq!(since(&log, 3).unwrap(), [5, 10]);
    assert_eq!(since(&log, 4), None);
    assert_eq!(since(&log, 8), None);
    assert_eq!(since(&log, 9).unwrap(), [10]);
    assert_eq!(log.since(3.into()).unwrap().spans, [span((3, 9))]);
    assert!(log.since(9.into()).unwrap().spans.is_empty());
}

/// Spans of listings are dropped from the oldest on, with the changes before their ends.
#[test]
fn many_listings() {
    let mut log = ChangeLog::default();
    for i in 0..100 {
        log.append_listing((i * 2).into(), (i * 2 + 2).into(), &[]);
    }
    assert_eq!(log.after(), 72.into());
    assert_eq!(log.since(72.into()).unwrap().spans.len(), 64);
    assert_eq!(since(&log, 70), None);
    assert_eq!(since(&log, 73), None);
}

#[test]
fn kept_bounded() {
    let mut log = ChangeLog::default();
    append(&mut log, 0, 1_500);
    append(&mut log, 1_500, 3_000);
    assert_eq!(since(&log, 999), None);
    assert_eq!(since(&log, 1_000).unwrap().len(), 2_000);
}

/// Cordons are appended after the changes of endpoints, and listings in no order, so the change
/// that is dropped last may be older than one dropped before it. If the log's start went back to
/// it, a removal would be missing and requests would reach an endpoint that has left.
#[test]
fn dropped_in_disorder() {
    let mut log = ChangeLog::default();
    log.append(0.into(), 10.into(), &[change(9), change(3), change(5)]);
    append(&mut log, 10, 2_009);
    assert_eq!(since(&log, 3), None);
    assert_eq!(log.after(), 9.into());
}

/// Decoding never panics, whatever a peer sends, and what is decoded can be encoded.
#[test]
fn any_bytes() {
    arbtest::arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        if let Some(passed) = changes::decode(&bytes) {
            assert!(changes::encode(&passed).is_some());
        }
        let revisions: Vec<u64> = u.arbitrary()?;
        let mut passed = ChangeBatch {
            changes: revisions.into_iter().map(change).collect(),
            up_to: u.arbitrary::<u64>()?.into(),
            spans: u
                .arbitrary_iter()?
                .map(|s| s.map(span))
                .collect::<Result<_, _>>()?,
        };
        for change in &mut passed.changes {
            change.revision_mut().era = u.arbitrary::<Option<u64>>()?.map(Era);
        }
        for span in &mut passed.spans {
            span.up_to.era = u.arbitrary::<Option<u64>>()?.map(Era);
        }
        passed.up_to.era = u.arbitrary::<Option<u64>>()?.map(Era);
        let written = changes::encode(&passed).unwrap();
        assert_eq!(changes::decode(&written), Some(passed));
        Ok(())
    });
}

/// The software versions of endpoints reach the entries that follow; a batch that lacks them, as from an
/// entry of an earlier build, is rejected.
#[test]
fn software_versions_forwarded() {
    let batch = ChangeBatch {
        changes: vec![change(1), change(2), change(3)],
        up_to: 3.into(),
        spans: Vec::new(),
    };
    let decoded = changes::decode(&changes::encode(&batch).unwrap()).unwrap();
    let Change::Put(listed) = &decoded.changes[0] else {
        unreachable!()
    };
    assert_eq!(listed.software_version, "v1");
    let plain = bincode::serde::encode_to_vec(&batch, bincode::config::standard()).unwrap();
    let earlier = zstd::bulk::compress(&plain, 1).unwrap();
    assert_eq!(changes::decode(&earlier), None);
}
