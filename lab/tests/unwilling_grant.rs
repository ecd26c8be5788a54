//! An engine behind a sidecar that answered 503 and asked for 2 s of rest got two more calls at once (3 turned away where 1 was
//! due), and one that said in an answer that it leaves got every call that came after. The sidecar read the status of an
//! answer, its content type and the seam of a resumed stream, and no other header; its breaker took the refusals for
//! failures, and needs three in a row.

mod common;

use std::time::Duration;

use common::*;
use serde_json::{json, Value};
use tokio::time::{sleep, Instant};
use violetline_lab::client::{End, Reply};
use violetline_lab::fleet::Fleet;
use violetline_lab::process::Process;

/// Chats after the word.
const LATER: usize = 4;

async fn ask(fleet: &Fleet, id: &str) -> Reply {
    let chat = chat(id, "annotation", 4);
    fleet.caller.chat(fleet.callers(0), &chat).await
}

/// Asks, and is told that nothing ran.
async fn refused(fleet: &Fleet, id: &str) {
    let end = ask(fleet, id).await.end;
    assert!(
        matches!(&end, End::Refused(kind, _) if kind == "not_run"),
        "{end:?}"
    );
}

/// Sets what the only engine announces.
async fn announce(fleet: &Fleet, faults: Value) {
    let slot = &fleet.slots[position(fleet, MODEL_POOL, 0)];
    fleet.fault(&slot.endpoint, faults).await.unwrap();
}

/// Calls that the only engine has turned away.
async fn rested(fleet: &Fleet) -> u64 {
    let slot = &fleet.slots[position(fleet, MODEL_POOL, 0)];
    let address = slot.endpoint.addr("listen");
    let stats = fleet.caller.get(address, "/lab/stats").await.unwrap();
    stats["rested"].as_u64().unwrap()
}

/// Nothing reaches the engine in its time of rest; each caller is told that nothing ran. Then it is used again.
#[actix_rt::test]
async fn left_alone() {
    let fleet = fleet(1, 1).await;
    announce(&fleet, json!({"rest_ms": 2_000})).await;
    let asked = Instant::now();
    assert_ne!(ask(&fleet, "first").await.end, End::Complete);
    for i in 0..LATER {
        refused(&fleet, &format!("within-{i}")).await;
    }
    assert_eq!(rested(&fleet).await, 1);
    announce(&fleet, json!({})).await;
    sleep(Duration::from_millis(2_100).saturating_sub(asked.elapsed())).await;
    assert_eq!(ask(&fleet, "after").await.end, End::Complete);
    fleet.close();
}

/// Nothing reaches an engine after it said that it leaves.
#[actix_rt::test]
async fn leaves() {
    let fleet = fleet(1, 1).await;
    announce(&fleet, json!({"leaving": true})).await;
    assert_eq!(ask(&fleet, "told").await.end, End::Complete);
    for i in 0..LATER {
        let id = format!("later-{i}");
        refused(&fleet, &id).await;
        assert_eq!(fleet.runs(&id).await, 0);
    }
    fleet.close();
}

/// The next life of the engine, at its address, is used again.
#[actix_rt::test]
async fn next_life() {
    let mut fleet = fleet(1, 1).await;
    let slot = position(&fleet, MODEL_POOL, 0);
    announce(&fleet, json!({"leaving": true})).await;
    assert_eq!(ask(&fleet, "told").await.end, End::Complete);
    assert_ne!(ask(&fleet, "later").await.end, End::Complete);
    let port = fleet.slots[slot].endpoint.addr("listen").port();
    fleet.slots[slot].endpoint.kill();
    sleep(Duration::from_millis(500)).await;
    let settings = json!({"port": port}).to_string();
    let engine = Process::start(&["engine", "--settings", &settings]).unwrap();
    fleet.slots[slot].endpoint = engine;
    let until = Instant::now() + LONG;
    while ask(&fleet, "again").await.end != End::Complete {
        assert!(Instant::now() < until, "the next life is not used");
        sleep(Duration::from_millis(50)).await;
    }
    fleet.close();
}
