//! Endpoints whose bytes never end, in any place of an answer, through entries as processes.

use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::{sleep, timeout, Instant};
use violetline_lab::site::*;
use violetline_lab::standin::ENDLESS_PLACES;
use violetline_lab::usage;

/// Routes of each kind: whole answers that run once or may be repeated, streams that run once or
/// are resumed.
const ROUTES: [&str; 4] = ["once", "safe", "stream", "resume"];
/// Time within which a request of these routes has its answer: their time limit, and a little.
const TIME_LIMIT: Duration = Duration::from_millis(4_500);
/// Time limits that callers name: beyond that of the routes, and far below.
const LONG_LIMIT_MS: u64 = 5_000;
const SHORT_LIMIT_MS: u64 = 700;
/// Memory that an entry may hold for answers that arrive, in bytes.
const HELD_BYTES: u64 = 96 << 20;
/// Requests at once that flood an entry.
const FLOODS: usize = 48;
/// Requests of a test of an endpoint beside others.
const REQUESTS: usize = 40;
/// Requests of these that are sent at once.
const AT_ONCE: usize = 4;
/// Requests of these that the endpoint may get before it is left alone, and in its trials.
const MAX_TRIALS: usize = 12;

/// How a request ended.
#[derive(Debug)]
struct End {
    id: String,
    place: &'static str,
    answer: Answer,
    took: Duration,
}

/// Sends a request to the first entry and reads its answer, however long that takes. `limit_ms` is
/// how long its caller says that it waits.
async fn play(site: &Site, route: &str, pace: &str, place: &'static str, limit_ms: u64) -> End {
    let id = format!("{route}-{pace}-{place}");
    let path = format!("/{route}/endless-{pace}-{place}");
    let request = String::from_utf8(request(&path, &id, "k1")).unwrap();
    let limit = format!("x-request-deadline: {limit_ms}");
    let request = request.replace("x-request-deadline: 5000", &limit);
    let begun = Instant::now();
    let answer = exchange(site.entries[0].addr("callers"), request.as_bytes()).await;
    let took = begun.elapsed();
    End {
        id,
        place,
        answer,
        took,
    }
}

/// Places in which a whole answer stands before the bytes without end.
fn is_whole(place: &str) -> bool {
    place == "after"
}

/// Checks what the caller got against what the engines did.
fn check(site: &Site, end: &End) {
    let End {
        id, place, answer, ..
    } = end;
    let arrivals = site.arrivals();
    let runs = arrivals.iter().filter(|a| a.id() == id && a.ran).count();
    if answer.status == 0 {
        // While connections wait for too long, they are closed before a request is read.
        assert!(
            answer.is_cut && arrivals.iter().all(|a| a.id() != id),
            "{id}"
        );
        return;
    }
    let is_once = id.starts_with("once") || id.starts_with("stream");
    assert!(!is_once || runs <= 1, "{id} ran {runs} times");
    let told_not_run = matches!(answer.status, 408 | 421 | 429 | 503);
    assert!(
        !(told_not_run && runs > 0),
        "{id} ran and got {}",
        answer.status
    );
    let is_refusal = place.starts_with("refusal") || *place == "misdirected";
    if is_refusal && *place != "refusal-fields" {
        assert_eq!(answer.status, 503, "{id}: {answer:?}");
    }
    let is_complete = answer.status == 200 && !answer.is_cut;
    assert!(
        !is_complete || is_whole(place),
        "{id} looks complete: {answer:?}"
    );
}

/// Whether all answers without end were closed.
async fn all_closed(site: &Site) -> bool {
    site.engines.iter().all(|engine| engine.endless() == 0)
}

/// Whether an entry has ejected the engine with this number.
async fn is_ejected(site: &Site, engine: usize) -> bool {
    let state = site.state(0).await;
    let id = site.engines[engine].id();
    let endpoints = state["endpoints"].as_array().cloned().unwrap_or_default();
    endpoints
        .iter()
        .any(|e| e["id"] == id.as_str() && e["ejected"] == true)
}

/// The caller of a refusal whose body never ended had no answer by its time limit, and heads of
/// interim answers and other endless bytes kept their connections.
#[actix_rt::test]
async fn answered_in_time() {
    for pace in ["fast", "slow"] {
        let site = Site::with_entry(3).await;
        // A connection with a whole answer is kept, so that another request may be lost on it.
        let (after, places): (Vec<_>, Vec<_>) = ENDLESS_PLACES
            .into_iter()
            .partition(|place| is_whole(place));
        for places in [places, after] {
            let cases = ROUTES
                .iter()
                .flat_map(|route| places.iter().map(move |place| (*route, *place)));
            let playing =
                cases.map(|(route, place)| play(&site, route, pace, place, LONG_LIMIT_MS));
            for end in join_all(playing).await {
                assert!(end.took < TIME_LIMIT, "{} took {:?}", end.id, end.took);
                check(&site, &end);
            }
        }
        wait_for("all connections are closed", || all_closed(&site)).await;
    }
}

/// A caller that waits for less than the route's time has its answer by then.
#[actix_rt::test]
async fn short_time_limits() {
    let site = Site::with_entry(3).await;
    let playing = ENDLESS_PLACES.map(|place| play(&site, "once", "slow", place, SHORT_LIMIT_MS));
    for end in join_all(playing).await {
        let limit = Duration::from_millis(SHORT_LIMIT_MS + 300);
        assert!(end.took < limit, "{} took {:?}", end.id, end.took);
        check(&site, &end);
    }
    wait_for("all connections are closed", || all_closed(&site)).await;
}

/// Dozens at once must not take the memory of the entry, nor the time of others.
#[actix_rt::test]
async fn memory_of_dozens() {
    for place in [
        "body", "chunks", "length", "error", "value", "event", "earlier",
    ] {
        let site = Site::with_entry(3).await;
        assert_eq!(site.ask("/safe/ok", "before").await.status, 200);
        let before = usage::resident(site.entries[0].id());
        let flooding = async {
            let playing = (0..FLOODS).map(|i| {
                let route = ROUTES[i % ROUTES.len()];
                let id = format!("flood-{i}");
                let path = format!("/{route}/endless-fast-{place}");
                let site = &site;
                async move { site.ask(&path, &id).await }
            });
            join_all(playing).await
        };
        let watching = async {
            let mut most = 0;
            loop {
                most = most.max(usage::resident(site.entries[0].id()));
                let growth = most.saturating_sub(before);
                assert!(growth < HELD_BYTES, "{place}: {growth} bytes");
                sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::select! {
            answers = flooding => assert!(answers.iter().all(|a| a.status != 200 || a.is_cut)),
            () = watching => {}
        }
        wait_for("all connections are closed", || all_closed(&site)).await;
        let answer = timeout(TIME_LIMIT, site.ask("/safe/ok", "after")).await;
        assert_eq!(answer.unwrap().status, 200, "{place}");
    }
}

/// An endpoint that answers so counts as failed: others get its requests, and callers are served.
#[actix_rt::test]
async fn failing_endpoint_left() {
    let whole = [
        "start",
        "fields",
        "interim",
        "earlier",
        "extension",
        "body",
        "refusal",
        "error",
    ];
    let streams = ["size", "event", "lines", "comments"];
    let cases = whole.map(|place| ("safe", place));
    let cases = cases
        .into_iter()
        .chain(streams.map(|place| ("resume", place)));
    for (route, place) in cases {
        let site = Site::with_entry(3).await;
        let wish = if route == "safe" { "ok" } else { "events" };
        site.ask(&format!("/{route}/{wish}"), "first").await;
        let failing = site.engines.iter().find(|engine| engine.runs() > 0);
        let failing = failing.expect("an engine that is tried first");
        failing.set_wish(Some(&format!("endless-fast-{place}")));
        for round in 0..REQUESTS / AT_ONCE {
            let asking = (0..AT_ONCE).map(|i| {
                let site = &site;
                let id = format!("{place}-{round}-{i}");
                async move { site.ask(&format!("/{route}/{wish}"), &id).await }
            });
            for answer in join_all(asking).await {
                // Comments reach the caller at once, and a stream that has begun goes on elsewhere
                // only after an event with a number.
                let is_cut = place == "comments" && answer.is_cut;
                assert_eq!((answer.status, answer.is_cut), (200, is_cut), "{place}");
            }
        }
        let tried = failing.arrivals().len() - 1;
        assert!(tried > 0, "{place}: the endpoint was not tried");
        assert!(tried <= MAX_TRIALS, "{place}: tried {tried} times");
        wait_for("all connections are closed", || all_closed(&site)).await;
    }
}

/// The same where bytes come a few at a time, so that no limit of silence applies.
#[actix_rt::test]
async fn slow_endpoint_left() {
    let places = [
        "fields",
        "interim",
        "earlier",
        "extension",
        "event",
        "refusal",
    ];
    let playing = places.map(|place| async move {
        let site = Site::with_entry(1).await;
        site.engines[0].set_wish(Some(&format!("endless-slow-{place}")));
        let asking = (0..4).map(|i| {
            let site = &site;
            let route = if place == "event" { "stream" } else { "once" };
            async move { site.ask(&format!("/{route}/ok"), &format!("r{i}")).await }
        });
        join_all(asking).await;
        assert!(is_ejected(&site, 0).await, "{place}");
    });
    join_all(playing).await;
}

/// Bytes that follow a whole answer belong to no request. The connection was kept, and its bytes
/// with it, until it had been idle for too long.
#[actix_rt::test]
async fn bytes_after_answer() {
    let site = Site::with_entry(1).await;
    for pace in ["fast", "slow"] {
        let answer = site.ask(&format!("/once/endless-{pace}-after"), pace).await;
        assert_eq!((answer.status, answer.is_cut), (200, false));
        let closing = wait_for("the connection is closed", || all_closed(&site));
        timeout(Duration::from_secs(3), closing).await.expect(pace);
    }
}

/// A sound endpoint with a long answer is not taken for one that never ends.
#[actix_rt::test]
async fn long_answer_whole() {
    let site = Site::with_entry(1).await;
    let asking = (0..8).map(|i| {
        let site = &site;
        async move { site.ask("/once/large", &format!("r{i}")).await }
    });
    for answer in join_all(asking).await {
        assert_eq!((answer.status, answer.is_cut), (200, false));
        assert_eq!(answer.body.len(), 4 << 20);
    }
    let answer = site.ask("/stream/long-stream", "stream").await;
    assert_eq!((answer.status, answer.is_cut), (200, false));
    assert!(!is_ejected(&site, 0).await);
}
