//! Engines ended one after the other under requests that shared one part of their prompts and nothing else: each had a body
//! of its own, so none came twice. 35 engines ended under one part; requests with it were sent to engines 26 times after
//! five had ended.

use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};
use violetline_lab::site::*;

/// The part under which engines end.
const CRASHING: u64 = 0xbad;
/// The first part of all prompts.
const FIRST: u64 = 0xf1;
/// Number of third parts, each shared by some requests.
const SUBJECTS: u64 = 8;
/// Time for an engine to come back.
const BACK: Duration = Duration::from_millis(300);
/// Pause between two requests.
const PAUSE: Duration = Duration::from_millis(25);
/// Every so many requests hold the crashing part.
const EVERY: usize = 10;
/// Requests in all.
const REQUESTS: usize = 600;
/// Time in which entries hear of a crash.
const CONTACT: Duration = Duration::from_secs(3);
/// Requests with the crashing part that may reach engines after that.
const MOST_LATE: usize = 3;

/// What callers of one kind of request got.
#[derive(Debug, Default)]
struct Seen {
    sent: usize,
    served: usize,
}

impl Seen {
    async fn of(answers: Vec<JoinHandle<Answer>>) -> Self {
        let mut seen = Self::default();
        for answer in answers {
            let answer = answer.await.unwrap();
            seen.sent += 1;
            seen.served += usize::from(answer.status == 200 && !answer.is_cut);
        }
        seen
    }

    fn share(&self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// Sends requests to one entry after the other, each with a body and a last part of its own. What became of those without the
/// crashing part: of those that were sent before the first with it, and of those sent later than twice [`CONTACT`] after it.
async fn send_all(site: &Site, path: &'static str) -> (Seen, Seen) {
    let (mut before, mut after) = (Vec::new(), Vec::new());
    let mut first_crashing = None;
    for i in 0..REQUESTS {
        let number = i as u64;
        let crashes = i >= REQUESTS / 6 && i % EVERY == 0;
        let second = if crashes { CRASHING } else { 0xa0 };
        let parts = [FIRST, second, 0xc0 + number % SUBJECTS, 0x10_000 + number];
        let request = request_of_parts(path, &format!("part-{i}"), "k1", &parts);
        let entry = site.entries[i % site.entries.len()].addr("callers");
        let answer = actix_rt::spawn(async move { exchange(entry, &request).await });
        if crashes {
            first_crashing = first_crashing.or(Some(Instant::now()));
        } else if first_crashing.is_none() {
            before.push(answer);
        } else if first_crashing.is_some_and(|at| at.elapsed() > CONTACT * 2) {
            after.push(answer);
        }
        sleep(PAUSE).await;
    }
    (Seen::of(before).await, Seen::of(after).await)
}

/// Requests with the part that reached engines later than [`CONTACT`] after the fifth end.
fn late(site: &Site) -> usize {
    let mut ends: Vec<Instant> = site
        .engines
        .iter()
        .flat_map(|engine| engine.crashes())
        .map(|arrival| arrival.at)
        .collect();
    ends.sort();
    let Some(fifth) = ends.get(4).copied() else {
        return 0;
    };
    let arrivals = site.arrivals();
    let with_part = arrivals.iter().filter(|arrival| arrival.holds(CRASHING));
    with_part
        .filter(|arrival| arrival.at > fifth + CONTACT)
        .count()
}

/// Requests with the part stop reaching engines, and sound ones with the same key and other parts are served.
async fn play(path: &'static str) {
    let site = Site::with_entries(3, 6).await;
    for engine in &site.engines {
        engine.set_crashing_part(Some(CRASHING));
    }
    site.revive_engines(BACK);
    let (before, after) = send_all(&site, path).await;
    let late = late(&site);
    let ended = site.crashes();
    assert!(
        late <= MOST_LATE,
        "{late} reached engines late, {ended} engines ended"
    );
    assert!(
        before.sent >= 20 && after.sent >= 20,
        "{before:?}, {after:?}"
    );
    assert!(
        after.share() >= before.share() / 2.0,
        "sound requests, {before:?} before, {after:?} after"
    );
}

#[actix_rt::test]
async fn part_in_streams() {
    play("/stream/events").await;
}

#[actix_rt::test]
async fn part_in_resumable_streams() {
    play("/resume/events").await;
}

#[actix_rt::test]
async fn part_in_single_runs() {
    play("/once/good").await;
}

#[actix_rt::test]
async fn part_in_repeatable_calls() {
    play("/safe/good").await;
}
