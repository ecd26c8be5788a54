//! Leases of a team's limit add up to no more than the limit, and follow the demand.

use arbtest::arbtest;
use violetline::bundle::Team;
use violetline::clock::Millis;
use violetline::limit::Limiter;
use violetline::quota::{Claim, QuotaBook, Shares, LEASE, RENEW};

const TEAM: &str = "team";

fn claim(demand: f64) -> Claim {
    Claim {
        team: TEAM.into(),
        demand,
    }
}

#[test]
fn sum_bounded() {
    arbtest(|u| {
        let mut book = QuotaBook::new(Millis(0));
        let mut now = Millis(0);
        for _ in 0..100 {
            now = now + Millis(u.int_in_range(0..=3_000)?);
            let entry = format!("entry-{}", u.int_in_range(0..=9)?);
            let demand = f64::from(u.int_in_range(0..=300)?) / 100.0;
            let lease = book.lease(now, &entry, &claim(demand), 10);
            assert!(lease.share >= 0.0);
            let sum = book.leased(now, TEAM);
            assert!(sum <= 1.0 + 1e-9, "leases add up to {sum}");
        }
        Ok(())
    });
}

/// Two entries renew in turn until their shares settle.
fn settle(book: &mut QuotaBook, demands: [f64; 2], entries: usize) -> [f64; 2] {
    let mut shares = [0.0; 2];
    let mut now = LEASE;
    for _ in 0..6 {
        for (at, demand) in demands.into_iter().enumerate() {
            shares[at] = book
                .lease(now, &format!("entry-{at}"), &claim(demand), entries)
                .share;
            now = now + Millis(RENEW.0 / 2);
        }
    }
    shares
}

#[test]
fn uneven_traffic() {
    let mut book = QuotaBook::new(Millis(0));
    let [busy, quiet] = settle(&mut book, [2.0, 0.05], 2);
    assert!(
        busy > 0.85,
        "the busy entry holds most of the limit: {busy}"
    );
    assert!(quiet >= 0.05, "the quiet one what it needs: {quiet}");
}

#[test]
fn even_traffic() {
    let mut book = QuotaBook::new(Millis(0));
    let [a, b] = settle(&mut book, [2.0, 2.0], 2);
    assert!(
        (a - 0.5).abs() < 0.01 && (b - 0.5).abs() < 0.01,
        "{a} and {b}"
    );
}

#[test]
fn small_demand() {
    let mut book = QuotaBook::new(Millis(0));
    let share = book.lease(LEASE, "entry-0", &claim(0.04), 3).share;
    assert!(
        share >= 1.0 / 3.0,
        "nobody else wants the rest, so nothing is cut: {share}"
    );
}

#[test]
fn growing_demand() {
    let mut shares = Shares::default();
    let lease = violetline::quota::Lease {
        team: TEAM.into(),
        share: 0.3,
    };
    shares.note(Millis(0), &lease);
    assert!(!shares.is_due(Millis(1_000), TEAM, 0.1, 4));
    assert!(
        shares.is_due(Millis(1_000), TEAM, 0.4, 4),
        "it outgrows its lease"
    );
}

#[test]
fn cautious_owner() {
    let mut book = QuotaBook::new(Millis(0));
    let early = book.lease(Millis(10), "entry-0", &claim(5.0), 4);
    assert!(early.share <= 0.25, "a predecessor's leases may still hold");
    let later = book.lease(LEASE, "entry-0", &claim(5.0), 4);
    assert!(later.share > 0.8, "{}", later.share);
}

#[test]
fn lapsed_lease() {
    let mut shares = Shares::default();
    let lease = violetline::quota::Lease {
        team: TEAM.into(),
        share: 0.9,
    };
    assert_eq!(
        shares.of(Millis(0), TEAM, 4),
        0.25,
        "an equal share without a lease"
    );
    shares.note(Millis(0), &lease);
    assert_eq!(shares.of(Millis(1), TEAM, 4), 0.9);
    assert!(!shares.is_due(Millis(1), TEAM, 0.5, 4));
    assert!(shares.is_due(RENEW, TEAM, 0.5, 4));
    assert_eq!(
        shares.of(LEASE, TEAM, 4),
        0.25,
        "and again when it has lapsed"
    );
}

#[test]
fn bucket_rate() {
    let team = Team {
        name: TEAM.into(),
        key_hashes: Vec::new(),
        classes: Vec::new(),
        requests_per_s: 10.0,
        tokens_per_s: 10_000.0,
        weight: 1,
    };
    let mut limiter = Limiter::default();
    let mut admitted = 0;
    for ms in 0..10_000 {
        if let Ok(estimate) = limiter.admit(Millis(ms), &team, 0.5, 10) {
            admitted += 1;
            limiter.settle(TEAM, estimate, 10, Some(20));
        }
    }
    assert!(
        (50..=61).contains(&admitted),
        "half of 10 a second, and a burst: {admitted}"
    );
    assert!(
        limiter.demand(Millis(10_000), &team).unwrap() > 10.0,
        "refused ones count as demand"
    );
}

#[test]
fn unknown_output() {
    let team = Team {
        name: TEAM.into(),
        key_hashes: Vec::new(),
        classes: Vec::new(),
        requests_per_s: 0.0,
        tokens_per_s: 1_000.0,
        weight: 1,
    };
    let mut limiter = Limiter::default();
    let estimate = limiter.admit(Millis(0), &team, 1.0, 10).unwrap();
    limiter.settle(TEAM, estimate, 10, Some(50_000));
    let wait = limiter.admit(Millis(1), &team, 1.0, 10).unwrap_err();
    assert!(
        wait >= Millis(40_000),
        "a long answer is paid for afterwards: {wait:?}"
    );
    limiter.settle(TEAM, 0, 0, None);
}
