//! Health of endpoints, as observed through real requests.

use violetline::clock::Millis;
use violetline::direct::known::health::{Fault, Grade, HealthRecord};

#[test]
fn three_failures_eject() {
    let mut record = HealthRecord::default();
    assert!(!record.failed(Millis(0), Fault::Answer));
    assert!(!record.failed(Millis(0), Fault::Answer));
    assert!(record.failed(Millis(0), Fault::Answer));
    assert_eq!(record.grade(Millis(10)), Grade::Poor);
    assert_eq!(record.grade(Millis(700)), Grade::Trial);
}

#[test]
fn unreachable_ejected() {
    let mut record = HealthRecord::default();
    assert!(record.failed(Millis(0), Fault::Unreachable));
    assert!(record.is_ejected());
}

#[test]
fn half_failing_ejected() {
    let mut record = HealthRecord::default();
    for _ in 0..20 {
        record.failed(Millis(0), Fault::Answer);
        record.succeeded();
    }
    record.failed(Millis(0), Fault::Answer);
    assert!(record.is_ejected());
}

/// A failure rate that is normal for a service does not eject its endpoints.
#[test]
fn seldom_failing_kept() {
    let mut record = HealthRecord::default();
    for i in 0..70 {
        if i % 7 == 0 {
            record.failed(Millis(0), Fault::Answer);
        } else {
            record.succeeded();
        }
        assert!(!record.is_ejected());
    }
}

#[test]
fn trials_spaced_out() {
    let mut record = HealthRecord::default();
    record.failed(Millis(0), Fault::Unreachable);
    record.failed(Millis(700), Fault::Answer);
    assert_eq!(record.grade(Millis(2_000)), Grade::Poor);
    assert_eq!(record.grade(Millis(2_100)), Grade::Trial);
    for _ in 0..10 {
        record.succeeded();
    }
    assert_eq!(record.grade(Millis(2_200)), Grade::Good);
}

#[test]
fn slowness_decays() {
    let mut record = HealthRecord::default();
    for _ in 0..30 {
        record.observe_response_time(Millis(1_000), Millis(500), 100.0);
    }
    assert!(record.slowness(Millis(1_000)) > 4.5);
    assert!(record.slowness(Millis(5_000)) < 3.1);
    assert!(record.slowness(Millis(60_000)) < 1.1);
}

/// After its back-off an endpoint is tried with one request; one that asks again at each trial is
/// left alone for longer each time.
#[test]
fn tried_after_backoff() {
    let mut record = HealthRecord::default();
    record.requested_backoff(Millis(0), Millis(3_000));
    assert_eq!(record.grade(Millis(2_999)), Grade::Poor);
    assert_eq!(record.grade(Millis(3_000)), Grade::Trial);
    record.succeeded();
    assert_eq!(record.grade(Millis(3_001)), Grade::Good);
    let mut now = Millis(10_000);
    let mut last = Millis(0);
    for _ in 0..6 {
        record.requested_backoff(now, now + Millis(100));
        let trial = (now.0..).find(|at| record.grade(Millis(*at)) == Grade::Trial);
        let aside = Millis(trial.unwrap()) - now;
        assert!(aside >= last && aside >= Millis(100), "{aside:?}");
        (now, last) = (now + aside, aside);
    }
    assert_eq!(last, Millis(6_000));
}

/// A shorter back-off, requested by a response that was still in transit, does not cut an earlier
/// one short.
#[test]
fn longer_backoff_counts() {
    let mut record = HealthRecord::default();
    record.requested_backoff(Millis(0), Millis(3_000));
    record.requested_backoff(Millis(50), Millis(1_000));
    assert_eq!(record.grade(Millis(2_999)), Grade::Poor);
}
