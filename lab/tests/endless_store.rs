//! A store, or a peer, whose answers never end. Peers' answers are read by the store's client, too.

use std::time::Duration;

use futures_util::future::join_all;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, Instant};
use violetline::direct::ready::get;
use violetline::direct::sync::StoreClient;
use violetline_lab::site::*;
use violetline_lab::standin::{EndlessServer, ENDLESS_PLACES};
use violetline_lab::usage;

/// Time for the head of an answer.
const HEAD_TIME: Duration = Duration::from_millis(900);
/// Time for a call to end, whatever comes: below the shortest bound on removed keys.
const CALL_TIME: Duration = Duration::from_millis(4_000);
/// Longest body of a call, in bytes.
const BODY_BYTES: usize = 4 << 20;
/// Time for which an entry has such a store.
const PLAY_TIME: Duration = Duration::from_millis(3_000);
/// Memory that an entry may hold for answers of the store, in bytes.
const HELD_BYTES: u64 = 96 << 20;
/// Calls of an entry in that time, of which each may fail at once.
const MAX_CALLS: usize = 60;

/// Calls a store that answers so, and checks how the call ends.
async fn check_call(pace: &str, place: &str) {
    let wish = format!("endless-{pace}-{place}");
    let (server, address) = EndlessServer::start(&wish).await.unwrap();
    let client = StoreClient::new(address);
    let begun = Instant::now();
    let answer = client.call(get("/x"), HEAD_TIME, BODY_BYTES).await;
    assert!(begun.elapsed() < CALL_TIME, "{wish}: {:?}", begun.elapsed());
    assert_eq!(answer.is_ok(), place == "after", "{wish}: {answer:?}");
    drop(client);
    wait_for("the connection is closed", || async { server.open() == 0 }).await;
}

/// A call ended after 30 s where the store sent a few bytes at a time.
#[actix_rt::test]
async fn calls_end() {
    join_all(ENDLESS_PLACES.map(|place| check_call("slow", place))).await;
    // One after the other: the stores share the thread with their client here.
    for place in ENDLESS_PLACES {
        check_call("fast", place).await;
    }
}

/// An entry whose store answers so keeps up through its peers, within its memory.
#[actix_rt::test]
async fn peers_help() {
    for wish in [
        "endless-fast-body",
        "endless-slow-body",
        "endless-fast-chunks",
        "endless-slow-fields",
        "endless-fast-interim",
    ] {
        let (server, address) = EndlessServer::start(wish).await.unwrap();
        let ips = ["127.0.0.2", "127.0.0.3"];
        let (link, admin) = (common_port(&ips), common_port(&ips));
        let mut site = Site::start(1).await;
        let seeds = ["127.0.0.2:1"];
        let first = site.settings(ips[0], link, admin, &seeds);
        site.add_entry(&first).await;
        let mut second = site.settings(ips[1], link, admin, &seeds);
        second["store"] = json!(address.to_string());
        site.add_unready(&second);
        wait_for("the peer's version arrives", || async {
            site.state(1).await["catalog"] == json!(site.version)
        })
        .await;
        let until = Instant::now() + PLAY_TIME;
        let calls = server.calls();
        while Instant::now() < until {
            let held = usage::resident(site.entries[1].id());
            assert!(held < HELD_BYTES, "{wish}: {held} bytes");
            sleep(Duration::from_millis(5)).await;
        }
        let calls = server.calls() - calls;
        assert!(calls <= MAX_CALLS, "{wish}: {calls} calls");
        let callers = site.entries[1].addr("callers");
        let answer = exchange(callers, &request("/once/ok", "r1", "k1")).await;
        assert_eq!(answer.status, 200, "{wish}: {answer:?}");
    }
}

/// The store's client, which reads peers too, takes no head with a fault for an answer.
#[actix_rt::test]
async fn odd_heads_refused() {
    for head in [
        "HTTP/1.1 600 Odd\r\ncontent-length: 2\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length : 2\r\n",
        "HTTP/1.1 200 OK\r\nx-bad : 1\r\ncontent-length: 2\r\n",
    ] {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 1 << 10]).await;
            let _ = stream.write_all(format!("{head}\r\n{{}}").as_bytes()).await;
        });
        let client = StoreClient::new(address);
        let answer = client.call(get("/x"), HEAD_TIME, BODY_BYTES).await;
        assert!(answer.is_err(), "{head:?}: {answer:?}");
    }
}
