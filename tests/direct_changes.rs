//! Changes that a watch brought, kept for entries that follow.

use bytes::Bytes;
use violetline::direct::changes::{self, ChangeLog, PassedOn};

fn log(revisions: &[u64]) -> ChangeLog {
    let mut log = ChangeLog::default();
    for pair in revisions.windows(2) {
        let text = format!("{}..{}", pair[0], pair[1]);
        log.keep(pair[0], pair[1], Bytes::from(text));
    }
    log
}

fn since(log: &ChangeLog, revision: u64) -> Option<Vec<String>> {
    let passed = log.since(revision)?;
    let texts = passed.texts.into_iter().map(String::from_utf8);
    Some(texts.map(Result::unwrap).collect())
}

#[test]
fn newer_only() {
    let log = log(&[3, 5, 9]);
    assert_eq!(since(&log, 3).unwrap(), ["3..5", "5..9"]);
    assert_eq!(since(&log, 5).unwrap(), ["5..9"]);
    // What begins before the revision is passed on whole: changes are applied once only.
    assert_eq!(since(&log, 4).unwrap(), ["3..5", "5..9"]);
    assert_eq!(since(&log, 9), None);
}

#[test]
fn too_far_behind() {
    assert_eq!(since(&log(&[3, 5]), 2), None);
    assert_eq!(since(&ChangeLog::default(), 2), None);
}

#[test]
fn gap_forgets() {
    let mut log = log(&[3, 5]);
    log.keep(7, 8, Bytes::from_static(b"7..8"));
    assert_eq!(since(&log, 3), None);
    assert_eq!(since(&log, 7).unwrap(), ["7..8"]);
}

#[test]
fn kept_bounded() {
    let mut log = ChangeLog::default();
    for n in 0..8 {
        log.keep(n, n + 1, Bytes::from(vec![0; 400 << 10]));
    }
    assert_eq!(log.since(0), None);
    assert!(log.since(6).is_some());
}

/// Whatever a peer sends is read without a panic, and what is read can be written.
#[test]
fn any_bytes() {
    arbtest::arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        if let Some(passed) = changes::decode(&bytes) {
            assert!(changes::encode(&passed).is_some());
        }
        let passed = PassedOn {
            texts: u.arbitrary()?,
        };
        let written = changes::encode(&passed).unwrap();
        assert_eq!(changes::decode(&written), Some(passed));
        Ok(())
    });
}
