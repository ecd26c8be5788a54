//! Which connections are served when more come than a process has time for.

use violetline::accept::Backlog;
use violetline::clock::Millis;

#[test]
fn short_burst_served() {
    let mut backlog = Backlog::default();
    assert!((0..150).all(|ms| backlog.admits(Millis(1_000 + ms))));
    assert_eq!(backlog.emptied(), 0);
}

#[test]
fn long_backlog_closed() {
    let mut backlog = Backlog::default();
    assert!(backlog.admits(Millis(1_000)));
    assert!(!backlog.admits(Millis(1_150)));
    assert!(!backlog.admits(Millis(1_900)));
    assert_eq!(backlog.emptied(), 2);
    assert!(backlog.admits(Millis(2_000)));
    assert_eq!(backlog.emptied(), 0);
}

#[test]
fn frozen_process_serves() {
    let mut backlog = Backlog::default();
    assert!(backlog.admits(Millis(1_000)));
    assert_eq!(backlog.emptied(), 0);
    assert!(backlog.admits(Millis(9_000)));
}

#[test]
fn empty_backlog_starts_anew() {
    let mut backlog = Backlog::default();
    for round in 0..10 {
        assert!(backlog.admits(Millis(round * 200)));
        assert!(backlog.admits(Millis(round * 200 + 149)));
        assert_eq!(backlog.emptied(), 0);
    }
}
