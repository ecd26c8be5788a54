//! Leaving endpoints get no new work, and planned stops cut nothing off.

mod common;

use std::time::Duration;

use common::*;
use serde_json::json;
use tokio::time::sleep;
use violetline::members::LifeState;
use violetline::outcome::NotRunReason;
use violetline_lab::client::End;
use violetline_lab::fleet::Fleet;

async fn starts(fleet: &Fleet, at: usize) -> usize {
    let addr = fleet.slots[at].endpoint.addr("listen");
    let stats = fleet.caller.get(addr, "/lab/stats").await.unwrap();
    stats["starts"].as_object().map_or(0, serde_json::Map::len)
}

#[actix_rt::test]
async fn sidecar_stop() {
    let mut spec = spec(2, 1);
    spec.bundle["pools"][0]["slots"] = json!(4);
    let mut fleet = Fleet::start(spec).await.unwrap();
    let tasks: Vec<_> = (0..6)
        .map(|n| spawn_chat(&fleet, n % 2, chat(&format!("s{n}"), "summary", 400)))
        .collect();
    let at = position(&fleet, MODEL_POOL, 0);
    let admin = fleet.slots[at].sidecar.addr("admin");
    until(&fleet, admin, "/v1/state", |s| {
        s["load"]["running"].as_u64() > Some(0)
    })
    .await;
    fleet.slots[at].sidecar.terminate();
    fleet.slots[at].sidecar.terminate();
    for (n, task) in tasks.into_iter().enumerate() {
        let reply = task.await.unwrap();
        assert_eq!(reply.end, End::Complete, "request {n}");
        assert_eq!(
            fleet.runs(&format!("s{n}")).await,
            1,
            "nothing was run again"
        );
    }
    for entry in &fleet.entries {
        let page = fleet
            .caller
            .get(entry.process.addr("admin"), "/metrics")
            .await
            .unwrap();
        let resumed = page.as_str().unwrap().contains("streams_resumed_total");
        assert!(!resumed, "no stream broke off, to be taken up elsewhere");
    }
    assert!(
        fleet.slots[at].sidecar.ended(LONG).await,
        "it ends once nothing is in flight"
    );
    let reply = fleet
        .caller
        .chat(fleet.callers(0), &chat("later", "annotation", 5))
        .await;
    assert_eq!(reply.end, End::Complete, "the other endpoint serves");
    fleet.close();
}

#[actix_rt::test]
async fn queue_handed_back() {
    let mut spec = spec(2, 1);
    spec.bundle["pools"][0]["slots"] = json!(1);
    spec.bundle["pools"][0]["reserved_slots"] = json!(0);
    let mut fleet = Fleet::start(spec).await.unwrap();
    let tasks: Vec<_> = (0..4)
        .map(|n| spawn_chat(&fleet, 0, chat(&format!("q{n}"), "summary", 250)))
        .collect();
    let at = position(&fleet, MODEL_POOL, 1);
    let admin = fleet.slots[at].sidecar.addr("admin");
    until(&fleet, admin, "/v1/state", |s| {
        s["load"]["waiting"].as_u64() > Some(0)
    })
    .await;
    fleet.slots[at].sidecar.terminate();
    for task in tasks {
        assert_eq!(task.await.unwrap().end, End::Complete, "placed elsewhere");
    }
    assert!(fleet.slots[at].sidecar.ended(LONG).await);
    fleet.close();
}

#[actix_rt::test]
async fn entry_stop() {
    let mut fleet = fleet(2, 1).await;
    let stream = spawn_chat(&fleet, 0, chat("stream", "annotation", 600));
    runs_reach(&fleet, "stream", 1).await;
    fleet.entries[0].process.terminate();
    let admin = fleet.entries[0].process.addr("admin");
    let unready = || async { fleet.caller.status(admin, "/readyz").await == 503 };
    while !unready().await {
        sleep(Duration::from_millis(5)).await;
    }
    let late = fleet
        .caller
        .chat(fleet.callers(0), &chat("late", "lookup", 5))
        .await;
    assert_eq!(late.end, End::Complete, "the balancer has not noticed yet");
    fleet.entries[0].process.terminate();
    assert_eq!(stream.await.unwrap().end, End::Complete);
    assert!(fleet.entries[0].process.ended(LONG).await);
    fleet.close();
}

#[actix_rt::test]
async fn stopping_entry_refuses() {
    let fleet = fleet(1, 1).await;
    let key = violetline_lab::client::key();
    let ran = fleet
        .caller
        .call(fleet.callers(0), &call("ran", Some(&key)))
        .await;
    assert_eq!(ran.end, End::Complete);
    let stream = spawn_chat(&fleet, 0, chat("long", "annotation", 1_500));
    runs_reach(&fleet, "long", 1).await;
    fleet.entries[0].process.terminate();
    sleep(Duration::from_millis(800)).await;
    let late = fleet
        .caller
        .chat(fleet.callers(0), &chat("late", "lookup", 5))
        .await;
    assert!(late.is("not_run"), "{:?}", late.end);
    assert_eq!(fleet.runs("late").await, 0);
    let again = fleet
        .caller
        .call(fleet.callers(0), &call("ran", Some(&key)))
        .await;
    assert!(again.is("outcome_unknown"), "it did run: {:?}", again.end);
    assert_eq!(stream.await.unwrap().end, End::Complete);
    fleet.close();
}

#[actix_rt::test]
async fn leaving_refused() {
    let mut fleet = fleet(2, 1).await;
    let at = position(&fleet, MODEL_POOL, 0);
    let other = position(&fleet, MODEL_POOL, 1);
    fleet.entries[1].process.freeze();
    fleet.slots[at].state = LifeState::Leaving;
    fleet.publish_members().await.unwrap();
    let admin = fleet.slots[at].sidecar.addr("admin");
    until(&fleet, admin, "/v1/state", |s| s["listing"] == "Leaving").await;
    let mut bare = Bare::offer(&fleet, &fleet.slots[at], None).await;
    assert_eq!(
        bare.refused().await,
        NotRunReason::Draining,
        "refused at admission"
    );
    let before = starts(&fleet, at).await;
    fleet.entries[1].process.thaw();
    for n in 0..20 {
        let reply = fleet
            .caller
            .chat(fleet.callers(n % 2), &chat(&format!("l{n}"), "lookup", 5))
            .await;
        assert_eq!(reply.end, End::Complete, "request {n}");
    }
    assert_eq!(
        starts(&fleet, at).await,
        before,
        "no new work, whatever an entry believes"
    );
    assert!(starts(&fleet, other).await >= 20);
    fleet.slots[at].state = LifeState::Live;
    fleet.publish_members().await.unwrap();
    until(&fleet, admin, "/v1/state", |s| s["listing"] == "Live").await;
    fleet.close();
}

#[actix_rt::test]
async fn superseded_refused() {
    let mut fleet = fleet(1, 1).await;
    let at = position(&fleet, MODEL_POOL, 0);
    fleet.slots[at].id = "violet-pool-0-replacement".into();
    fleet.publish_members().await.unwrap();
    let admin = fleet.slots[at].sidecar.addr("admin");
    until(&fleet, admin, "/v1/state", |s| s["listing"] == "Superseded").await;
    let reply = fleet
        .caller
        .chat(fleet.callers(0), &chat("old", "lookup", 5))
        .await;
    assert!(reply.is("not_run"), "{:?}", reply.end);
    assert_eq!(fleet.runs("old").await, 0);
    fleet.close();
}

#[actix_rt::test]
async fn stop_before_ready() {
    let mut fleet = fleet(1, 1).await;
    let mut settings = fleet.slots[0].settings.clone();
    settings["node"]["bundle_url"] = json!("http://127.0.0.1:9/bundle");
    settings["node"]["members_url"] = json!("http://127.0.0.1:9/members");
    settings["node"]["seeds"] = json!([]);
    let mut lonely = fleet.start_product("sidecar", &settings).unwrap();
    sleep(Duration::from_millis(300)).await;
    lonely.terminate();
    assert!(lonely.ended(LONG).await, "it has nothing to finish");
    fleet.close();
}
