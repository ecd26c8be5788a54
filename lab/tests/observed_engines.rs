//! Entries as processes that observe the engines of a mixed pool and share what they observed.

use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;
use violetline_lab::site::*;

/// Requests whose callers have time, which make the pool mixed.
const REVIEW: ModelKind = ModelKind {
    name: "review",
    service: "s1",
    priority: 2,
    attempts: 1,
    prompt_tokens: 600,
    answer_tokens: 24,
    target_ms: 1_000,
    patience_ms: 12_000,
};

/// Entries and four engines of a pool that is mixed.
async fn mixed_site(entries: u8) -> Site {
    let mut site = Site::start(4).await;
    site.kinds = vec![REVIEW];
    site.engine_shape = Some(json!({"slots": 8, "kv_capacity": 300_000}));
    site.configure(&["k1"]);
    site.add_entries(entries).await;
    site
}

/// A gauge of an entry; `None` before it is first set.
async fn gauge(site: &Site, entry: usize, name: &str) -> Option<u64> {
    let address = site.entries[entry].addr("admin");
    let request = b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let text = exchange(address, request).await.body;
    let start = format!("direct_state{{name=\"{name}\"}} ");
    let value = text.lines().find_map(|line| line.strip_prefix(&start));
    value.and_then(|value| value.trim().parse().ok())
}

async fn ask(site: &Site, entry: usize, path: &str, id: &str) -> u16 {
    let address = site.entries[entry].addr("callers");
    exchange(address, &request(path, id, "k1")).await.status
}

/// Guards against a slow engine that only the entries know whose streams it ran.
#[actix_rt::test]
async fn slow_engine_shared() {
    let site = mixed_site(3).await;
    // All engines pause, so that a busy test machine does not make equal ones look uneven.
    for engine in &site.engines {
        engine.set_event_pause(Duration::from_millis(20));
    }
    site.engines[0].set_event_pause(Duration::from_millis(80));
    let mut number = 0;
    // Once the slow engine is known, an entry reserves a fast one for the urgent streams, which
    // gets no reviews.
    while !knows_slow_engine(&site, 0).await || !knows_slow_engine(&site, 1).await {
        let streams = (0..8).map(|i| {
            let (site, id) = (&site, format!("r{number}-{i}"));
            let path = ["/review/long-stream", "/stream/long-stream"][i / 2 % 2];
            async move { ask(site, i % 2, path, &id).await }
        });
        assert_eq!(join_all(streams).await, [200; 8]);
        number += 1;
        assert!(number < 40, "the slow engine is not known");
    }
    wait_for("the entry without streams knows it", || {
        knows_slow_engine(&site, 2)
    })
    .await;
}

/// Whether an entry knows the speeds of all four engines, one of which is slow.
async fn knows_slow_engine(site: &Site, entry: usize) -> bool {
    gauge(site, entry, "observed_endpoints").await == Some(4)
        && gauge(site, entry, "uneven_endpoints").await == Some(1)
}

/// Guards against observations where no pool is mixed.
#[actix_rt::test]
async fn unmixed_pool_not_observed() {
    let mut site = Site::start(4).await;
    site.engine_shape = Some(json!({"slots": 8, "kv_capacity": 300_000}));
    site.configure(&["k1"]);
    site.add_entries(1).await;
    site.engines[0].set_event_pause(Duration::from_millis(60));
    for number in 0..6 {
        let streams = (0..8).map(|i| {
            let (site, id) = (&site, format!("r{number}-{i}"));
            async move { ask(site, 0, "/stream/long-stream", &id).await }
        });
        assert_eq!(join_all(streams).await, [200; 8]);
    }
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(gauge(&site, 0, "observed_endpoints").await, Some(0));
}

/// Guards against an entry that sends to an engine which others have found to be unreachable.
#[actix_rt::test]
async fn unreachable_engine_reported() {
    let site = mixed_site(3).await;
    site.engines[0].crash().await;
    let mut number = 0;
    while gauge(&site, 2, "endpoints_ejected_by_reports").await != Some(1) {
        // More than the other engines have slots for, so that both entries try the lost one at once.
        let requests = (0..64).map(|i| {
            let (site, id) = (&site, format!("r{number}-{i}"));
            async move { ask(site, i % 2, "/safe/ok", &id).await }
        });
        join_all(requests).await;
        number += 1;
        assert!(number < 400, "the engine is not reported");
    }
}
