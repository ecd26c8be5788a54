//! Requests that wait at an entry of a mixed pool, with entries as processes: less urgent requests
//! whose callers have time wait for room instead of being refused.

use std::time::Duration;

use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, Instant};
use violetline_lab::site::*;
use violetline_lab::standin::{Room, WhenFull};

/// The urgent kind with a longest pause, which makes the pool mixed.
const REPLY: ModelKind = ModelKind {
    name: "reply",
    service: "s1",
    priority: 0,
    attempts: 2,
    prompt_tokens: 400,
    answer_tokens: 60,
    target_ms: 400,
    patience_ms: 6_000,
};
/// The less urgent kind, whose callers have time. An engine works on it for 1.2 s.
const REVIEW: ModelKind = ModelKind {
    name: "review",
    service: "s1",
    priority: 2,
    attempts: 1,
    prompt_tokens: 8_000,
    answer_tokens: 500,
    target_ms: 2_000,
    patience_ms: 15_000,
};
const ENGINES: usize = 2;
const SLOTS: usize = 4;
/// Interval between two reviews, in which a request is connected to its engine and counts as load.
const SEND_INTERVAL: Duration = Duration::from_millis(20);

async fn site(entries: u8) -> Site {
    let mut site = Site::start(0).await;
    site.kinds = vec![REPLY, REVIEW];
    site.engine_shape = Some(json!({"slots": SLOTS, "kv_capacity": 300_000}));
    site.configure(&["k1"]);
    let room = Room {
        slots: SLOTS,
        queue: 0,
        memory_tokens: 300_000,
        when_full: WhenFull::TurnsAway,
    };
    site.add_engines(ENGINES, room).await;
    if entries == 1 {
        let settings = site.settings("127.0.0.1", 0, 0, &[]);
        site.add_entry(&settings).await;
    } else {
        site.add_entries(entries).await;
    }
    // Slots are kept for the urgent kind, which admission refuses the others.
    for entry in &site.entries {
        let reply = model_request(&REPLY, "first", "k1");
        assert_eq!(exchange(entry.addr("callers"), &reply).await.status, 200);
    }
    site
}

/// Number of reviews that arrived at engines.
fn reviews_sent(site: &Site) -> usize {
    let is_review = |id: &str| id.starts_with('r') && id != "reply";
    let arrivals = site.arrivals().into_iter();
    arrivals
        .filter(|a| a.header("x-request-id").is_some_and(is_review))
        .count()
}

/// Sends reviews in quick succession, in turn to all entries, with ids from `first` on.
fn send_reviews(site: &Site, first: usize, count: usize) -> Vec<tokio::task::JoinHandle<Answer>> {
    let send = |i: usize| {
        let entry = &site.entries[i % site.entries.len()];
        let (address, bytes) = (
            entry.addr("callers"),
            model_request(&REVIEW, &format!("r{i}"), "k1"),
        );
        actix_rt::spawn(async move {
            sleep(SEND_INTERVAL * (i - first) as u32).await;
            exchange(address, &bytes).await
        })
    };
    (first..first + count).map(send).collect()
}

async fn metric(site: &Site, name: &str) -> f64 {
    let address = site.entries[0].addr("admin");
    let request = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let page = exchange(address, request.as_bytes()).await.body;
    let lines = page.lines().filter(|line| line.starts_with(name));
    lines
        .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

async fn waits(site: &Site, count: f64) {
    wait_for("requests wait", || async {
        metric(site, "direct_state{name=\"waiting_requests\"}").await >= count
    })
    .await;
}

/// Three times as many reviews as the engines take at once: all are served, none is turned away by
/// an engine, and a reply that comes meanwhile finds a slot at once.
#[actix_rt::test]
async fn burst_waits() {
    let site = site(1).await;
    let calls = send_reviews(&site, 0, 3 * ENGINES * SLOTS);
    sleep(Duration::from_millis(500)).await;
    let begun = Instant::now();
    let reply = model_request(&REPLY, "reply", "k1");
    let reply = exchange(site.entries[0].addr("callers"), &reply).await;
    assert_eq!(reply.status, 200);
    let first = reply.first.unwrap() - begun;
    assert!(first < Duration::from_millis(400), "{first:?}");
    for call in calls {
        let answer = call.await.unwrap();
        assert_eq!((answer.status, answer.is_cut), (200, false), "{answer:?}");
    }
    assert_eq!(reviews_sent(&site), 3 * ENGINES * SLOTS);
    assert!(metric(&site, "direct_waits_total").await > 0.0);
}

/// The same at three entries that share the engines.
#[actix_rt::test]
async fn burst_at_entries() {
    let site = site(3).await;
    let calls = send_reviews(&site, 0, 3 * ENGINES * SLOTS);
    let mut served = 0;
    for call in calls {
        served += usize::from(call.await.unwrap().status == 200);
    }
    let turned_away = reviews_sent(&site) - served;
    assert!(served >= 3 * ENGINES * SLOTS - 2, "{served}");
    assert!(turned_away <= 2, "{turned_away} by engines");
}

/// A caller that leaves while its request waits frees its place, and the request is never sent.
#[actix_rt::test]
async fn caller_leaves() {
    let site = site(1).await;
    let calls = send_reviews(&site, 0, ENGINES * SLOTS);
    sleep(Duration::from_millis(300)).await;
    let address = site.entries[0].addr("callers");
    let mut stream = TcpStream::connect(address).await.unwrap();
    let bytes = model_request(&REVIEW, "leaves", "k1");
    stream.write_all(&bytes).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    drop(stream);
    for call in calls {
        assert_eq!(call.await.unwrap().status, 200);
    }
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(
        metric(&site, "direct_state{name=\"waiting_requests\"}").await,
        0.0
    );
    let sent = site.arrivals().into_iter();
    let ids: Vec<_> = sent
        .filter(|a| a.header("x-request-id") == Some("leaves"))
        .collect();
    assert!(ids.is_empty(), "{ids:?}");
}

/// A key that is removed while requests wait: they are denied and never sent.
#[actix_rt::test]
async fn key_removed() {
    let mut site = site(1).await;
    let calls = send_reviews(&site, 0, 3 * ENGINES * SLOTS);
    waits(&site, 1.0).await;
    site.configure(&["k2"]);
    let mut denied = 0;
    for call in calls {
        let answer = call.await.unwrap();
        assert!([200, 401].contains(&answer.status), "{}", answer.status);
        denied += usize::from(answer.status == 401);
    }
    assert!(denied > 0);
    assert_eq!(reviews_sent(&site), 3 * ENGINES * SLOTS - denied);
}

/// The entry stops while requests wait: each is answered or refused before the process ends, and
/// what is refused was never sent.
#[actix_rt::test]
async fn entry_stops() {
    let mut site = site(1).await;
    let calls = send_reviews(&site, 0, 6 * ENGINES * SLOTS);
    waits(&site, 1.0).await;
    site.entries[0].terminate();
    let (mut served, mut refused) = (0, 0);
    for call in calls {
        let answer = call.await.unwrap();
        assert!(!answer.is_cut);
        served += usize::from(answer.status == 200);
        refused += usize::from(answer.status == 503);
    }
    assert_eq!(served + refused, 6 * ENGINES * SLOTS);
    assert_eq!(reviews_sent(&site), served);
    assert!(served > 3 * ENGINES * SLOTS, "{served}");
    assert!(site.entries[0].ended(LONG).await);
}

/// All engines leave while requests wait: these are refused at once instead of
/// at the end of their time.
#[actix_rt::test]
async fn engines_leave() {
    let site = site(1).await;
    let calls = send_reviews(&site, 0, 3 * ENGINES * SLOTS);
    waits(&site, 1.0).await;
    for engine in &site.engines {
        site.store.list(engine, "s1", "draining");
    }
    let begun = Instant::now();
    let mut refused = 0;
    for call in calls {
        refused += usize::from(call.await.unwrap().status == 503);
    }
    assert!(refused > 0);
    assert!(
        begun.elapsed() < Duration::from_secs(4),
        "{:?}",
        begun.elapsed()
    );
}
