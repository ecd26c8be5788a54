//! An endpoint in need named a limit of 3.2 requests a second for all instances together; it went on getting 6.1 from three
//! entries, 30 in some 4 s where 24 are allowed, and one that named 1.1 got 12. The endpoint got as many as before it named a
//! limit, each of them as a first attempt (`placed` with `"attempt":1`), and no line of an entry spoke of the limit: the word
//! was passed on to the caller unread.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, Instant};
use violetline_lab::limited::{self, Count, Sent};
use violetline_lab::site::*;

/// Time of a run: two spans.
const TIME: Duration = Duration::from_secs(9);
/// Pause of a caller after an answer.
const PAUSE: Duration = Duration::from_millis(20);
/// Least part of a limit that is used where work waits.
const USED_PART: f64 = 0.5;

/// A request of a caller, as it saw it.
#[derive(Debug, Clone)]
struct Call {
    id: String,
    entry: usize,
    status: u16,
    answered: Instant,
}

/// What callers saw in one run.
#[derive(Debug, Default)]
struct Seen(Vec<Call>);

impl Seen {
    fn refused(&self) -> usize {
        self.0.iter().filter(|call| call.status == 503).count()
    }

    /// The worst span at an engine.
    fn worst(&self, site: &Site, engine: usize) -> Count {
        let arrivals = site.engines[engine].arrivals();
        let sent = arrivals.iter().filter_map(|arrival| {
            let call = self.0.iter().find(|call| call.id == arrival.id())?;
            Some(Sent {
                entry: call.entry,
                at: arrival.at,
                limit: arrival.told.limit_per_s(),
                passed_on: Some(call.answered),
            })
        });
        let sent: Vec<Sent> = sent.collect();
        limited::worst(&sent, |_, _| None, |_| false).unwrap()
    }
}

/// Calls one entry until the time is over.
async fn call(site: Rc<Site>, caller: usize, entry: usize, paths: &[&str]) -> Vec<Call> {
    let mut calls = Vec::new();
    let until = Instant::now() + TIME;
    while Instant::now() < until {
        let path = paths[calls.len() % paths.len()];
        let id = format!("{caller}-{}", calls.len());
        let request = request(path, &id, "k1");
        let status = exchange(site.entries[entry].addr("callers"), &request)
            .await
            .status;
        calls.push(Call {
            id,
            entry,
            status,
            answered: Instant::now(),
        });
        sleep(PAUSE).await;
    }
    calls
}

/// Lets a caller for each of `entries` call it.
async fn play(site: &Rc<Site>, entries: &[usize], paths: &'static [&'static str]) -> Seen {
    let callers = entries.iter().enumerate();
    let calling = callers
        .map(|(i, entry)| actix_rt::spawn(call(Rc::clone(site), i, *entry, paths)))
        .collect::<Vec<_>>();
    let mut seen = Seen::default();
    for calls in calling {
        seen.0.extend(calls.await.unwrap());
    }
    seen
}

/// Kinds of request: once, repeatable, and streams that may and may not be taken up.
const PATHS: [&str; 4] = ["/once/ok", "/safe/ok", "/stream/events", "/resume/events"];

/// Three entries with as many callers each keep the limit together, and no caller is refused beside a free engine.
#[actix_rt::test]
async fn kept_together() {
    let site = Rc::new(Site::with_entries(3, 2).await);
    site.engines[0].set_limit(Some("1"));
    let seen = play(&site, &[0, 1, 2, 0, 1, 2], &PATHS).await;
    let worst = seen.worst(&site, 0);
    assert!(!worst.is_over(), "{worst:?}");
    assert_eq!(seen.refused(), 0);
}

/// Second attempts count as well: those to another engine, and those after an error.
#[actix_rt::test]
async fn second_attempts() {
    let site = Rc::new(Site::with_entries(3, 2).await);
    for engine in &site.engines {
        engine.set_limit(Some("0.5"));
    }
    let seen = play(
        &site,
        &[0, 1, 2],
        &["/safe/error", "/resume/cut", "/safe/reset"],
    )
    .await;
    for engine in 0..2 {
        let worst = seen.worst(&site, engine);
        assert!(!worst.is_over(), "{worst:?}");
    }
}

/// The only engine names a limit, and all callers come to one entry of three: more than half of it is used, and not more
/// than all.
#[actix_rt::test]
async fn used_uneven() {
    let site = Rc::new(Site::with_entries(3, 1).await);
    site.engines[0].set_limit(Some("5"));
    let seen = play(&site, &[1, 1, 1], &PATHS).await;
    let worst = seen.worst(&site, 0);
    assert!(!worst.is_over(), "{worst:?}");
    let served = seen.0.iter().filter(|call| call.status == 200).count();
    let least = 5.0 * TIME.as_secs_f64() * USED_PART;
    assert!(
        served as f64 >= least,
        "{served} served of {}",
        seen.0.len()
    );
}

/// A limit that is no longer named ends.
#[actix_rt::test]
async fn ends() {
    let site = Rc::new(Site::with_entries(3, 1).await);
    site.engines[0].set_limit(Some("0"));
    assert_eq!(site.ask("/safe/ok", "told").await.status, 200);
    site.engines[0].set_limit(None);
    let until = Instant::now() + LONG;
    while site.ask("/safe/ok", "later").await.status != 200 {
        assert!(Instant::now() < until, "the limit does not end");
        sleep(PAUSE).await;
    }
    for i in 0..20 {
        assert_eq!(
            site.ask("/safe/ok", &format!("after-{i}")).await.status,
            200
        );
    }
}
