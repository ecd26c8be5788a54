//! A request that is polled is lost with each engine that another request ends, again and again. Its callers were told to
//! stay away for 10 minutes and more: `endpoint_ended` lines name both digests, `request_refused` lines as well.

use std::time::Duration;

use tokio::time::{sleep, Instant};
use violetline_lab::site::*;
use violetline_lab::standin::Engine;

/// Engines of another pool, which neither request can meet.
const OTHERS: usize = 8;
/// Callers that poll.
const POLLING: usize = 6;
/// Time for the engine to come back.
const BACK: Duration = Duration::from_millis(100);
/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(20);
/// Time in which both are sent: an engine is listed again within a second, and five ends in a row tell the cause.
const TIME: Duration = Duration::from_secs(12);
/// Seconds from which on an advice to come back is one to stay away.
const LONG_S: f64 = 60.0;

/// How often callers of one path were told to stay away, and how often they were answered.
#[derive(Debug, Default)]
struct Seen {
    sent_away: usize,
    served: usize,
}

/// Polls until a time, at one entry after the other.
async fn poll(site: &Site, path: &str, name: &str, until: Instant) -> Seen {
    let mut seen = Seen::default();
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let entry = &site.entries[number % site.entries.len()];
        let request = request_with(path, &format!("{name}-{number}"), "k1", "the same work");
        let answer = exchange(entry.addr("callers"), &request).await;
        let wait = answer.header("retry-after").and_then(|t| t.parse().ok());
        let is_long = wait.is_some_and(|seconds: f64| seconds > LONG_S);
        seen.sent_away += usize::from(answer.status == 503 && is_long);
        seen.served += usize::from(answer.status == 200);
        sleep(PAUSE).await;
    }
    seen
}

/// The pool has one engine, so both requests are always at the same one, and five of its lives end under them unless they
/// run one after the other. The polled one is served; the other one is told to stay away.
#[actix_rt::test]
async fn only_engine() {
    let mut site = Site::with_entries(3, 1).await;
    let mut others = Vec::new();
    for i in 0..OTHERS {
        let engine = Engine::start(&format!("m-{i}")).await.unwrap();
        site.store.list(&engine, "s2", "ready");
        others.push(engine);
    }
    site.revive_engines(BACK);
    let until = Instant::now() + TIME;
    let names: Vec<String> = (0..POLLING).map(|i| format!("polled-{i}")).collect();
    let polling = names
        .iter()
        .map(|name| poll(&site, "/once/slow", name, until));
    let polling = futures_util::future::join_all(polling);
    let (polled, ending) = tokio::join!(polling, poll(&site, "/stream/crash", "ending", until));
    let served: usize = polled.iter().map(|seen| seen.served).sum();
    let sent_away: usize = polled.iter().map(|seen| seen.sent_away).sum();
    assert_eq!(sent_away, 0, "{served} served, {} ended", site.crashes());
    assert!(
        served > 0 && ending.sent_away > 0,
        "{served} served, {ending:?}"
    );
    site.entries.clear();
}
