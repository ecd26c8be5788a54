//! Retry budget of a pool that all entries keep without communicating.

use violetline::clock::Millis;
use violetline::direct::admission::budget::{RetryBudget, RetryWindow};

const ALLOWANCE: RetryBudget = RetryBudget {
    window: Millis(10_000),
    ratio: 0.2,
    extra: 52.0,
};

fn count_retries(window: &mut RetryWindow, now: Millis, entries: usize) -> usize {
    (0..1_000)
        .take_while(|_| window.try_take(now, ALLOWANCE, entries, false))
        .count()
}

#[test]
fn extra_is_shared() {
    assert_eq!(count_retries(&mut RetryWindow::default(), Millis(0), 1), 36);
    assert_eq!(count_retries(&mut RetryWindow::default(), Millis(0), 4), 9);
}

#[test]
fn requests_add_retries() {
    let mut window = RetryWindow::default();
    for i in 0..100 {
        window.record_request(Millis(i), ALLOWANCE);
    }
    assert_eq!(count_retries(&mut window, Millis(100), 52), 14);
}

/// Retries of less urgent requests leave some of the budget for urgent ones.
#[test]
fn urgent_budget_reserved() {
    let mut window = RetryWindow::default();
    let less_urgent = (0..1_000)
        .take_while(|_| window.try_take(Millis(0), ALLOWANCE, 1, true))
        .count();
    assert_eq!(less_urgent, 27);
    assert_eq!(count_retries(&mut window, Millis(0), 1), 9);
}

#[test]
fn window_slides() {
    let mut window = RetryWindow::default();
    assert_eq!(count_retries(&mut window, Millis(0), 4), 9);
    assert!(!window.try_take(Millis(10_000), ALLOWANCE, 4, false));
    assert!(window.try_take(Millis(10_001), ALLOWANCE, 4, false));
}

/// However requests are distributed over entries, all entries together stay within the budget.
#[test]
fn sum_bounded() {
    arbtest::arbtest(|u| {
        let entries = u.int_in_range(1..=8usize)?;
        let mut windows: Vec<RetryWindow> = (0..entries).map(|_| RetryWindow::default()).collect();
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        let mut now = 0;
        while !u.is_empty() {
            now += u.int_in_range(0..=200u64)?;
            let window = &mut windows[u.choose_index(entries)?];
            if u.ratio(1, 3)? {
                window.record_request(Millis(now), ALLOWANCE);
                requests.push(now);
            } else if window.try_take(Millis(now), ALLOWANCE, entries, false) {
                retries.push(now);
            }
            let within = |at: &&u64| now - **at < ALLOWANCE.window.0;
            let sent = retries.iter().filter(within).count() as f64;
            let asked = requests
                .iter()
                .filter(|at| now - **at <= ALLOWANCE.window.0)
                .count() as f64;
            assert!(sent <= ALLOWANCE.ratio * asked + ALLOWANCE.extra);
        }
        Ok(())
    });
}
