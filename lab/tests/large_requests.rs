//! Many callers that send large requests at once, through entries as processes.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use futures_util::future::join_all;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};
use violetline_lab::site::*;
use violetline_lab::usage;

/// Length of a large body, and of the longest one that the configuration allows.
const LARGE_BYTES: usize = 4 << 20;
/// Requests of which an entry can hold all bodies at once, but not twice each.
const FEW: usize = 4;
/// Requests of which an entry can't hold all bodies.
const MANY: usize = 40;
/// Memory that an entry may use whose settings name none, in bytes.
const ENTRY_BYTES: u64 = 88 << 20;
/// Memory that may stay resident once nothing is held, in bytes.
const IDLE_GROWTH_BYTES: u64 = 8 << 20;
/// What a slow caller leaves out of its body at first, in bytes.
const REST_BYTES: usize = 4 << 10;
/// Time within which a body that arrives slowly gives way to others: below the routes' time limit.
const SLOW_TIME: Duration = Duration::from_millis(3_500);
/// Pause before each try of another one.
const SLOW_PAUSE: Duration = Duration::from_millis(300);
/// Time limit of the routes, and a little.
const ROUTE_TIME: Duration = Duration::from_millis(4_500);

/// A site with one entry, whose configuration allows large bodies.
async fn site(engines: usize) -> Site {
    let mut site = Site::start(engines).await;
    allow_large(&mut site);
    let settings = site.settings("127.0.0.1", 0, 0, &[]);
    site.add_entry(&settings).await;
    site
}

fn allow_large(site: &mut Site) {
    site.max_body_bytes = LARGE_BYTES;
    site.configure(&["k1"]);
}

/// Sends a request with a large body.
fn send_large(site: &Site, path: &str, id: &str) -> JoinHandle<Answer> {
    let callers = site.entries[0].addr("callers");
    let request = request_with(path, id, "k1", &"x".repeat(LARGE_BYTES));
    actix_rt::spawn(async move { exchange(callers, &request).await })
}

/// Memory that the entry holds, in bytes.
fn resident(site: &Site) -> u64 {
    usage::resident(site.entries[0].id())
}

/// An entry held each body twice from when it was sent until the head of its answer arrived.
#[actix_rt::test]
async fn held_once() {
    let site = site(2).await;
    let before = resident(&site);
    for i in 0..FEW {
        send_large(&site, "/once/hang", &format!("r{i}"));
    }
    wait_for("the engines work for all", || async { site.runs() == FEW }).await;
    sleep(Duration::from_millis(200)).await;
    let growth = resident(&site).saturating_sub(before) as usize;
    assert!(growth < FEW * LARGE_BYTES * 3 / 2, "{growth} bytes");
}

/// The most that the entry holds, in bytes, until the handle is aborted.
fn watch_memory(site: &Site) -> (Rc<Cell<u64>>, JoinHandle<()>) {
    let peak = Rc::new(Cell::new(0));
    let (seen, id) = (Rc::clone(&peak), site.entries[0].id());
    let watching = actix_rt::spawn(async move {
        loop {
            seen.set(seen.get().max(usage::resident(id)));
            sleep(Duration::from_millis(2)).await;
        }
    });
    (peak, watching)
}

/// A burst of large requests took entries over the memory of their machines, and all that they had
/// accepted was lost with them. Now what does not fit is refused as not run, and the rest is sent.
#[actix_rt::test]
async fn burst_refused() {
    let site = site(2).await;
    let (peak, watching) = watch_memory(&site);
    let calls = (0..MANY).map(|i| send_large(&site, "/safe/hang", &format!("r{i}")));
    let calls: Vec<_> = calls.collect();
    wait_for("some requests are sent", || async { site.runs() >= FEW }).await;
    let small = site.ask("/once/x", "small").await;
    assert_eq!(small.status, 200, "{small:?}");
    let answers = join_all(calls).await;
    watching.abort();
    let arrivals = site.arrivals();
    let mut refused = 0;
    for (i, answer) in answers.into_iter().enumerate() {
        let (id, answer) = (format!("r{i}"), answer.unwrap());
        let has_arrived = arrivals.iter().any(|a| a.id() == id);
        match answer.status {
            503 => {
                assert!(!has_arrived, "{id} ran");
                assert!(answer.header("retry-after").is_some(), "{answer:?}");
                refused += 1;
            }
            status => assert!(has_arrived && status == 504, "{id}: {answer:?}"),
        }
    }
    assert!(refused > 0 && MANY - refused >= FEW, "{refused} refused");
    assert!(peak.get() < ENTRY_BYTES, "{} bytes", peak.get());
}

/// What an entry had held for large requests stayed resident after their end.
#[actix_rt::test]
async fn memory_returned() {
    let site = site(2).await;
    let before = resident(&site);
    for _ in 0..3 {
        let calls = (0..FEW).map(|i| send_large(&site, "/safe/slow", &format!("r{i}")));
        for answer in join_all(calls).await {
            assert_eq!(answer.unwrap().status, 200);
        }
    }
    wait_for("the memory is free", || async {
        resident(&site).saturating_sub(before) < IDLE_GROWTH_BYTES
    })
    .await;
}

/// Sends all of a large body but its last bytes, and then one byte at a time; the answer, and when it
/// came.
async fn send_slowly(site: &Site, id: &str) -> (Answer, Duration) {
    let begun = Instant::now();
    let request = request_with("/once/x", id, "k1", &"x".repeat(LARGE_BYTES));
    let (first, rest) = request.split_at(request.len() - REST_BYTES);
    let stream = TcpStream::connect(site.entries[0].addr("callers")).await;
    let mut stream = stream.unwrap();
    stream.write_all(first).await.unwrap();
    for byte in rest {
        tokio::select! {
            answer = read_answer(&mut stream) => return (answer, begun.elapsed()),
            () = sleep(Duration::from_millis(300)) => {}
        }
        if stream.write_all(&[*byte]).await.is_err() {
            break;
        }
    }
    (read_answer(&mut stream).await, begun.elapsed())
}

/// Bodies of which a byte came now and then were held for as long as their callers liked, beyond the
/// time limits of their requests.
#[actix_rt::test]
async fn slow_bodies_end() {
    let site = site(2).await;
    let ids: Vec<String> = (0..FEW).map(|i| format!("r{i}")).collect();
    let slow = ids.iter().map(|id| send_slowly(&site, id));
    let ended = timeout(ROUTE_TIME * 2, join_all(slow)).await;
    for (answer, took) in ended.expect("the requests stay open") {
        assert_eq!(answer.status, 408, "{answer:?}");
        assert!(took < ROUTE_TIME, "{took:?}");
    }
    assert!(site.arrivals().is_empty());
}

/// Bodies that arrive slowly give way to one that arrives in time.
#[actix_rt::test]
async fn slow_bodies_displaced() {
    let site = site(2).await;
    let ids: Vec<String> = (0..MANY).map(|i| format!("r{i}")).collect();
    let slow = join_all(ids.iter().map(|id| send_slowly(&site, id)));
    let slow = timeout(ROUTE_TIME * 2, slow);
    // Bodies count as slow some time after most of them has arrived, which may take long itself.
    let prompt = async {
        let begun = Instant::now();
        loop {
            sleep(SLOW_PAUSE).await;
            let answer = send_large(&site, "/once/x", "prompt").await.unwrap();
            if answer.status != 503 || begun.elapsed() > SLOW_TIME {
                return (answer, begun.elapsed());
            }
        }
    };
    let (slow, (prompt, took)) = tokio::join!(slow, prompt);
    assert_eq!(prompt.status, 200, "{prompt:?}");
    assert!(took < SLOW_TIME, "{took:?}");
    let slow = slow.expect("the requests stay open");
    assert!(slow.iter().all(|(a, _)| matches!(a.status, 408 | 503)));
    let arrivals = site.arrivals();
    assert!(arrivals.iter().all(|a| a.id() == "prompt"));
}

/// A caller that waits for leave to send its body is refused before it sends it.
#[actix_rt::test]
async fn refused_before_body() {
    let site = site(2).await;
    let calls = (0..MANY).map(|i| send_large(&site, "/safe/hang", &format!("r{i}")));
    let calls: Vec<_> = calls.collect();
    wait_for("some requests are sent", || async { site.runs() >= FEW }).await;
    let request = request_with("/safe/x", "asks", "k1", &"x".repeat(LARGE_BYTES));
    let head =
        String::from_utf8_lossy(&request).replace("x-tenant: forged", "expect: 100-continue");
    let head = head.trim_end_matches('x');
    let answer = exchange(site.entries[0].addr("callers"), head.as_bytes()).await;
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(answer.header("x-request-id"), Some("asks"));
    drop(calls);
}

/// An entry with little memory refuses bodies that it could never hold as too long, and serves small
/// ones.
#[actix_rt::test]
async fn tiny_memory() {
    let mut site = Site::start(2).await;
    allow_large(&mut site);
    let mut settings = site.settings("127.0.0.1", 0, 0, &[]);
    settings["memory_mb"] = json!(4);
    site.add_entry(&settings).await;
    let answer = send_large(&site, "/once/x", "large").await.unwrap();
    assert_eq!(answer.status, 413, "{answer:?}");
    assert_eq!(site.ask("/once/x", "small").await.status, 200);
}

/// Heads that were never completed were held for each connection, whatever their sum.
#[actix_rt::test]
async fn heads_bounded() {
    const MEMORY_MB: u64 = 32;
    const CONNECTIONS: usize = 1_000;
    let mut site = Site::start(1).await;
    site.configure_with(&["k1"], |config| {
        config["limits"]["max_header_bytes"] = json!(64 << 10);
        config["limits"]["header_timeout_ms"] = json!(3_000);
    });
    let mut settings = site.settings("127.0.0.1", 0, 0, &[]);
    settings["memory_mb"] = json!(MEMORY_MB);
    site.add_entry(&settings).await;
    let before = resident(&site);
    let (peak, watching) = watch_memory(&site);
    let head = format!("POST /once/x HTTP/1.1\r\nx-long: {}", "x".repeat(48 << 10));
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        let stream = TcpStream::connect(site.entries[0].addr("callers")).await;
        let mut stream = stream.unwrap();
        // Later ones may be refused before all was written.
        let _ = stream.write_all(head.as_bytes()).await;
        connections.push(stream);
    }
    sleep(Duration::from_millis(500)).await;
    watching.abort();
    let growth = peak.get().saturating_sub(before);
    assert!(growth < MEMORY_MB << 20, "{growth} bytes");
    drop(connections);
    assert_eq!(site.ask("/once/x", "small").await.status, 200);
}
