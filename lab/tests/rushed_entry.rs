//! Most new connections of a region come to one entry for some seconds, while callers open new ones more often. Entries get
//! a share of a processor: they run for a part of each tenth of a second and stand still for the rest.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, timeout, Instant};
use violetline_lab::site::*;

/// Length of the slices of which an entry gets its share.
const SLICE: Duration = Duration::from_millis(100);
/// Time of the even load, and of the rush.
const PHASE: Duration = Duration::from_secs(6);
/// Time after the rush has begun from which requests count.
const CONTACT: Duration = Duration::from_secs(3);
/// Time for which a caller waits for its answer.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// How many times as long a request takes in an unoptimized build.
const UNOPTIMIZED_SLOWDOWN: u64 = 10;
/// Tries of a caller, each on a new connection.
const TRIES: usize = 3;
/// Of ten new connections in the rush, those that come to one entry.
const RUSHED: usize = 9;

/// What became of requests that an entry read at their first attempt.
#[derive(Debug, Default)]
struct Seen {
    read: usize,
    served: usize,
    /// Attempts that were refused, or closed without an answer, and read by another entry later.
    passed_on: usize,
}

impl Seen {
    fn share(&self) -> f64 {
        self.served as f64 / self.read.max(1) as f64
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Served,
    /// Another answer, or none in time.
    NotServed,
    /// The connection was refused, or closed without an answer.
    Unread,
}

async fn attempt(entry: SocketAddr, id: String) -> End {
    let request = request("/safe/ok", &id, "k1");
    match timeout(PATIENCE, exchange(entry, &request)).await {
        Ok(answer) if answer.status == 200 && !answer.is_cut => End::Served,
        Ok(answer) if answer.status == 0 => End::Unread,
        _ => End::NotServed,
    }
}

/// The first attempt that an entry read, and whether it was the first of all.
async fn call(entries: Rc<[SocketAddr]>, first: usize, id: String) -> Option<(End, bool)> {
    for n in 0..TRIES {
        let entry = entries[(first + n) % entries.len()];
        match attempt(entry, format!("{id}-{n}")).await {
            End::Unread => {}
            end => return Some((end, n == 0)),
        }
    }
    None
}

/// Sends `rate` requests a second for [`PHASE`], each on a new connection, to the entries that `pick` names; those count
/// that are sent from `from` on.
async fn load(
    entries: &Rc<[SocketAddr]>,
    name: &str,
    rate: u64,
    from: Duration,
    pick: impl Fn(usize) -> usize,
) -> Seen {
    let begun = Instant::now();
    let mut calls = Vec::new();
    let mut number = 0;
    while begun.elapsed() < PHASE {
        let due = (begun.elapsed().as_millis() as u64 * rate / 1_000) as usize;
        while number < due {
            let calling = call(Rc::clone(entries), pick(number), format!("{name}-{number}"));
            let calling = actix_rt::spawn(calling);
            if begun.elapsed() >= from {
                calls.push(calling);
            }
            number += 1;
        }
        sleep(Duration::from_millis(2)).await;
    }
    let mut seen = Seen::default();
    for calling in calls {
        let Some((end, is_first)) = calling.await.unwrap() else {
            seen.read += 1;
            continue;
        };
        if !is_first {
            seen.passed_on += 1;
            continue;
        }
        seen.read += 1;
        seen.served += usize::from(end == End::Served);
    }
    seen
}

/// Gives processes a share of a processor until the future is dropped.
async fn share(site: &Site, percent: u32) {
    let runs = SLICE * percent / 100;
    loop {
        site.entries.iter().for_each(|entry| entry.thaw());
        sleep(runs).await;
        site.entries.iter().for_each(|entry| entry.freeze());
        sleep(SLICE - runs).await;
    }
}

/// A rate that an entry of this build bears as an optimized one does `rate`.
const fn for_build(rate: u64) -> u64 {
    match cfg!(debug_assertions) {
        true => rate / UNOPTIMIZED_SLOWDOWN,
        false => rate,
    }
}

/// Requests are served at the first attempt that an entry reads at least three quarters as often as before.
async fn play(percent: u32, rate: u64) {
    let site = Site::with_entries(3, 8).await;
    let entries: Rc<[SocketAddr]> = site.entries.iter().map(|e| e.addr("callers")).collect();
    let loading = async {
        let before = load(&entries, "even", rate, Duration::ZERO, |n| n % 3).await;
        let rushed = |n: usize| if n % 10 < RUSHED { 0 } else { 1 + n % 2 };
        let after = load(&entries, "rush", rate, CONTACT, rushed).await;
        (before, after)
    };
    let (before, after) = tokio::select! {
        seen = loading => seen,
        () = share(&site, percent) => unreachable!(),
    };
    site.entries.iter().for_each(|entry| entry.thaw());
    eprintln!("{percent}% at {rate}/s: {before:?}, in the rush {after:?}");
    assert!(before.read >= 20 && after.read >= 20);
    assert!(
        after.share() >= 0.75 * before.share(),
        "{before:?}, in the rush {after:?}"
    );
}

#[actix_rt::test]
async fn small_site_rush() {
    play(19, 72).await;
}

#[actix_rt::test]
async fn large_site_rush() {
    play(9, for_build(450)).await;
}

/// More than the entry has processor time for: what it can't serve in time it must not read.
#[actix_rt::test]
async fn entry_overwhelmed() {
    play(3, for_build(600)).await;
}
