//! Three entries before six engines, of which two turn everything away and ask for rest and one leaves by its own word
//! alone. While that was not read, of 776 requests 168 reached the engine that leaves and 12 one in its rest, and 14 callers were
//! refused with three engines free. Each entry learns it from answers of its own; the others serve.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, Instant};
use violetline_lab::site::*;
use violetline_lab::standin::Arrival;

/// Time of the run.
const TIME: Duration = Duration::from_secs(6);
/// The rest that is asked for each time, in seconds.
const REST: f64 = 2.0;
/// Time after an announcement in which what was under way may still come.
const SLACK: Duration = Duration::from_millis(500);
/// Callers at a time; one may be told by an engine while the others are under way.
const CALLERS: usize = 9;
/// Kinds of request: once, repeatable, and streams that may and may not be taken up.
const PATHS: [&str; 4] = ["/once/ok", "/safe/ok", "/stream/events", "/resume/events"];

/// What callers and engines saw.
#[derive(Debug, Default)]
struct Seen {
    /// Requests of callers.
    requests: usize,
    /// Those that were refused, though three engines were free all the time.
    refused: usize,
    /// Requests that reached an engine that leaves, half a second after the entry was told.
    to_leaving: usize,
    /// The same of one that rests, before its time was over.
    to_resting: usize,
}

/// Calls one entry until the time is over; requests and refusals.
async fn call(site: Rc<Site>, caller: usize) -> (usize, usize) {
    let entry = caller % site.entries.len();
    let (mut sent, mut refused) = (0, 0);
    let until = Instant::now() + TIME;
    while Instant::now() < until {
        let path = PATHS[sent % PATHS.len()];
        let id = format!("{entry}-{caller}-{sent}");
        let request = request(path, &id, "k1");
        let answer = exchange(site.entries[entry].addr("callers"), &request).await;
        sent += 1;
        refused += usize::from(answer.status == 503);
        sleep(Duration::from_millis(15)).await;
    }
    (sent, refused)
}

/// Arrivals at an engine later than `SLACK` and sooner than `end` after each announcement of a kind to the same entry.
fn against(arrivals: &[Arrival], end: Option<Duration>, is_told: fn(&Arrival) -> bool) -> usize {
    let entry = |arrival: &Arrival| arrival.id().split('-').next().map(str::to_owned);
    let is_against = |late: &&Arrival| {
        arrivals.iter().any(|told| {
            let time = late.at.saturating_duration_since(told.at);
            let is_late = time > SLACK && end.is_none_or(|end| time < end);
            is_told(told) && is_late && entry(told) == entry(late)
        })
    };
    arrivals.iter().filter(is_against).count()
}

async fn play() -> Seen {
    let site = Rc::new(Site::with_entries(3, 6).await);
    site.engines[0].set_leaving(true);
    let rest = REST.to_string();
    site.engines[1].set_resting(Some(&rest));
    site.engines[2].set_resting(Some(&rest));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| actix_rt::spawn(call(Rc::clone(&site), caller)))
        .collect();
    let mut seen = Seen::default();
    for caller in callers {
        let (sent, refused) = caller.await.unwrap();
        seen.requests += sent;
        seen.refused += refused;
    }
    let leaves = |arrival: &Arrival| arrival.told.leaves;
    seen.to_leaving = against(&site.engines[0].arrivals(), None, leaves);
    for engine in &site.engines[1..3] {
        let end = Some(Duration::from_secs_f64(REST));
        seen.to_resting += against(&engine.arrivals(), end, |told| told.told.rest.is_some());
    }
    seen
}

#[actix_rt::test]
async fn left_alone() {
    let seen = play().await;
    println!("{seen:?}");
    assert_eq!((seen.to_leaving, seen.to_resting), (0, 0), "{seen:?}");
    assert!(seen.requests > 0);
}
