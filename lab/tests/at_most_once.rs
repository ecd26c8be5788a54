//! Work that may run only once runs at most once, and "not run" is told truthfully.

mod common;

use std::time::Duration;

use common::*;
use serde_json::json;
use tokio::time::sleep;
use uuid::Uuid;
use violetline::outcome::NotRunReason;
use violetline_lab::client::{key, End};

/// What a caller was told must fit what the endpoint did.
async fn assert_honest(fleet: &violetline_lab::fleet::Fleet, id: &str, told: &[&End]) {
    let runs = fleet.runs(id).await;
    assert!(runs <= 1, "{id} ran {runs} times; told {told:?}");
    for end in told {
        if let End::Refused(kind, _) = end {
            assert!(
                kind != "not_run" || runs == 0,
                "{id} ran and was told {end:?}"
            );
        }
        assert!(**end != End::Wrong, "{id} got a wrong answer");
    }
}

#[actix_rt::test]
async fn start_in_frozen_socket() {
    let mut spec = spec(1, 1);
    spec.bundle["limits"]["grant_ms"] = json!(200);
    let fleet = violetline_lab::fleet::Fleet::start(spec).await.unwrap();
    let slot = &fleet.slots[position(&fleet, PLAIN_POOL, 0)];
    let mut bare = Bare::offer(&fleet, slot, Some(Uuid::now_v7())).await;
    let grant = bare.granted().await;
    slot.sidecar.freeze();
    bare.start(grant, "frozen").await;
    sleep(Duration::from_millis(500)).await;
    slot.sidecar.thaw();
    assert_eq!(bare.refused().await, NotRunReason::GrantLapsed);
    assert_eq!(
        fleet.runs("frozen").await,
        0,
        "the grant had lapsed when it was read"
    );
    fleet.close();
}

#[actix_rt::test]
async fn frozen_home() {
    let fleet = fleet(1, 3).await;
    let key = key();
    let home = home_of(&fleet, &key);
    fleet.slots[home].sidecar.freeze();
    let first = fleet
        .caller
        .call(fleet.callers(0), &call("f", Some(&key)))
        .await;
    assert!(
        first.is("outcome_unknown"),
        "the home was silent: {:?}",
        first.end
    );
    fleet.slots[home].sidecar.thaw();
    sleep(Duration::from_millis(300)).await;
    let second = fleet
        .caller
        .call(fleet.callers(1), &call("f", Some(&key)))
        .await;
    assert_honest(&fleet, "f", &[&first.end, &second.end]).await;
    fleet.close();
}

#[actix_rt::test]
async fn answer_lost() {
    let mut spec = spec(1, 2);
    spec.relays = true;
    let fleet = violetline_lab::fleet::Fleet::start(spec).await.unwrap();
    let key = key();
    let home = home_of(&fleet, &key);
    let slot = &fleet.slots[home];
    fleet
        .fault(&slot.endpoint, json!({ "delay_ms": 400 }))
        .await
        .unwrap();
    let first = spawn_call(&fleet, 0, call("lost", Some(&key)));
    runs_reach(&fleet, "lost", 1).await;
    slot.relay.as_ref().unwrap().cut();
    let first = first.await.unwrap();
    assert!(first.is("outcome_unknown"), "{:?}", first.end);
    let mut second = fleet
        .caller
        .call(fleet.callers(1), &call("lost", Some(&key)))
        .await;
    while second.is("outcome_unknown") {
        sleep(Duration::from_millis(100)).await;
        second = fleet
            .caller
            .call(fleet.callers(1), &call("lost", Some(&key)))
            .await;
    }
    assert_eq!(
        second.end,
        End::Complete,
        "the first run's answer is given again"
    );
    assert_honest(&fleet, "lost", &[&first.end, &second.end]).await;
    fleet.close();
}

#[actix_rt::test]
async fn restarted_home() {
    let mut fleet = fleet(1, 2).await;
    let key = key();
    let home = home_of(&fleet, &key);
    fleet
        .fault(&fleet.slots[home].endpoint, json!({ "delay_ms": 600 }))
        .await
        .unwrap();
    let first = spawn_call(&fleet, 0, call("restart", Some(&key)));
    runs_reach(&fleet, "restart", 1).await;
    fleet.slots[home].sidecar.kill();
    let first = first.await.unwrap();
    assert!(first.is("outcome_unknown"), "{:?}", first.end);
    let down = fleet
        .caller
        .call(fleet.callers(1), &call("restart", Some(&key)))
        .await;
    assert!(
        down.is("outcome_unknown"),
        "nobody can know: {:?}",
        down.end
    );
    fleet.restart_sidecar(home).unwrap();
    fleet
        .ready(fleet.slots[home].sidecar.addr("admin"))
        .await
        .unwrap();
    let after = fleet
        .caller
        .call(fleet.callers(1), &call("restart", Some(&key)))
        .await;
    assert!(
        after.is("outcome_unknown"),
        "the memory begins later: {:?}",
        after.end
    );
    assert_honest(&fleet, "restart", &[&first.end, &down.end, &after.end]).await;
    fleet.close();
}

#[actix_rt::test]
async fn frozen_entry() {
    let fleet = fleet(1, 2).await;
    let key = key();
    let home = home_of(&fleet, &key);
    fleet
        .fault(&fleet.slots[home].endpoint, json!({ "delay_ms": 300 }))
        .await
        .unwrap();
    let first = spawn_call(&fleet, 0, call("entry", Some(&key)));
    runs_reach(&fleet, "entry", 1).await;
    fleet.entries[0].process.freeze();
    let mut second = fleet
        .caller
        .call(fleet.callers(1), &call("entry", Some(&key)))
        .await;
    while second.is("outcome_unknown") {
        sleep(Duration::from_millis(100)).await;
        second = fleet
            .caller
            .call(fleet.callers(1), &call("entry", Some(&key)))
            .await;
    }
    fleet.entries[0].process.thaw();
    let first = first.await.unwrap();
    assert_honest(&fleet, "entry", &[&first.end, &second.end]).await;
    assert_eq!(second.end, End::Complete);
    fleet.close();
}

#[actix_rt::test]
async fn same_key_at_once() {
    let fleet = fleet(1, 3).await;
    let key = key();
    fleet
        .fault(
            &fleet.slots[home_of(&fleet, &key)].endpoint,
            json!({ "delay_ms": 200 }),
        )
        .await
        .unwrap();
    let tasks: Vec<_> = (0..8)
        .map(|n| spawn_call(&fleet, n % 2, call("same", Some(&key))))
        .collect();
    let mut ends = Vec::new();
    for task in tasks {
        ends.push(task.await.unwrap().end);
    }
    assert_honest(&fleet, "same", &ends.iter().collect::<Vec<_>>()).await;
    assert_eq!(fleet.runs("same").await, 1);
    assert!(ends.contains(&End::Complete), "{ends:?}");
    fleet.close();
}

#[actix_rt::test]
async fn replacement_beside_frozen() {
    let mut fleet = fleet(1, 1).await;
    let at = position(&fleet, PLAIN_POOL, 0);
    let settings = fleet.fixed_settings(at);
    let path = fleet.settings_file("sidecar", &settings).unwrap();
    fleet.slots[at].sidecar.freeze();
    let args = ["product", "--", "sidecar", "--settings", path.as_str()];
    let mut second = violetline_lab::process::Process::start_silent(&args).unwrap();
    sleep(Duration::from_millis(500)).await;
    assert!(second.is_running(), "it waits for the place");
    fleet.slots[at].sidecar.thaw();
    let key = key();
    let reply = fleet
        .caller
        .call(fleet.callers(0), &call("thawed", Some(&key)))
        .await;
    assert_eq!(
        reply.end,
        End::Complete,
        "the old process still holds the place"
    );
    fleet.slots[at].sidecar.kill();
    second.read_addresses().unwrap();
    let admin = second.addr("admin");
    fleet.slots[at].sidecar = second;
    fleet.ready(admin).await.unwrap();
    let again = fleet
        .caller
        .call(fleet.callers(1), &call("thawed", Some(&key)))
        .await;
    assert!(again.is("outcome_unknown"), "{:?}", again.end);
    assert_honest(&fleet, "thawed", &[&reply.end, &again.end]).await;
    fleet.close();
}

#[actix_rt::test]
async fn no_hidden_retry() {
    let fleet = fleet(1, 1).await;
    let service = &fleet.slots[position(&fleet, PLAIN_POOL, 0)].endpoint;
    for (id, faults) in [
        ("cut", json!({ "cut_after_run": true })),
        ("moved", json!({ "redirect": true })),
    ] {
        let before = fleet
            .caller
            .call(fleet.callers(0), &call("warm", Some(&key())))
            .await;
        assert!(matches!(before.end, End::Complete), "{:?}", before.end);
        fleet.fault(service, faults).await.unwrap();
        let reply = fleet.caller.call(fleet.callers(0), &call(id, None)).await;
        assert_eq!(
            fleet.runs(id).await,
            1,
            "{id} is sent once; told {:?}",
            reply.end
        );
        assert!(!reply.is("not_run"), "{id} ran: {:?}", reply.end);
        fleet.fault(service, json!({})).await.unwrap();
    }
    fleet.close();
}

#[actix_rt::test]
async fn dead_endpoint() {
    let mut fleet = fleet(1, 1).await;
    let at = position(&fleet, PLAIN_POOL, 0);
    fleet.slots[at].endpoint.kill();
    let reply = fleet
        .caller
        .call(fleet.callers(0), &call("dead", Some(&key())))
        .await;
    assert!(reply.is("not_run"), "nothing was sent: {:?}", reply.end);
    assert!(reply.retry_after.is_some(), "says when to come back");
    fleet.close();
}

#[actix_rt::test]
async fn refused_engine_orders() {
    let mut fleet = fleet(1, 1).await;
    let at = position(&fleet, MODEL_POOL, 0);
    fleet
        .fault(&fleet.slots[at].endpoint, json!({ "keeps_orphans": true }))
        .await
        .unwrap();
    let long = spawn_chat(&fleet, 0, chat("long", "summary", 200_000));
    runs_reach(&fleet, "long", 1).await;
    fleet.slots[at].sidecar.kill();
    let told = long.await.unwrap();
    assert!(!matches!(told.end, End::Complete), "{:?}", told.end);
    fleet.restart_sidecar(at).unwrap();
    fleet
        .ready(fleet.slots[at].sidecar.addr("admin"))
        .await
        .unwrap();
    let engine = fleet.slots[at].endpoint.addr("listen");
    until(&fleet, engine, "/lab/stats", |stats| stats["running"] == 0).await;
    let reply = fleet
        .caller
        .chat(fleet.callers(0), &chat("after", "lookup", 5))
        .await;
    assert_eq!(reply.end, End::Complete);
    fleet.close();
}

#[actix_rt::test]
async fn caller_leaves_queue() {
    let mut spec = spec(1, 1);
    spec.bundle["pools"][1]["slots"] = json!(1);
    spec.bundle["pools"][1]["reserved_slots"] = json!(0);
    let fleet = violetline_lab::fleet::Fleet::start(spec).await.unwrap();
    let slot = &fleet.slots[position(&fleet, PLAIN_POOL, 0)];
    fleet
        .fault(&slot.endpoint, json!({ "delay_ms": 900 }))
        .await
        .unwrap();
    let first = spawn_call(&fleet, 0, call("holder", None));
    runs_reach(&fleet, "holder", 1).await;
    let leaver = spawn_call(&fleet, 0, call("leaver", None));
    let admin = slot.sidecar.addr("admin");
    until(&fleet, admin, "/v1/state", |state| {
        state["load"]["waiting"] == 1
    })
    .await;
    leaver.abort();
    until(&fleet, admin, "/v1/state", |state| {
        state["load"]["waiting"] == 0
    })
    .await;
    assert_eq!(first.await.unwrap().end, End::Complete);
    until(&fleet, admin, "/v1/state", |state| {
        state["load"]["running"] == 0
    })
    .await;
    assert_eq!(fleet.runs("leaver").await, 0, "its caller had gone");
    fleet.close();
}

#[actix_rt::test]
async fn caller_leaves_stream() {
    let fleet = fleet(1, 1).await;
    let slot = &fleet.slots[position(&fleet, MODEL_POOL, 0)];
    let leaver = spawn_chat(&fleet, 0, chat("leaver", "annotation", 100_000));
    runs_reach(&fleet, "leaver", 1).await;
    leaver.abort();
    let engine = slot.endpoint.addr("listen");
    until(&fleet, engine, "/lab/stats", |stats| stats["running"] == 0).await;
    until(&fleet, slot.sidecar.addr("admin"), "/v1/state", |s| {
        s["load"]["running"] == 0
    })
    .await;
    fleet.close();
}

#[actix_rt::test]
async fn unkeyed_lost() {
    let fleet = fleet(1, 2).await;
    for ordinal in 0..2 {
        let service = &fleet.slots[position(&fleet, PLAIN_POOL, ordinal)].endpoint;
        fleet
            .fault(service, json!({ "cut_after_run": true }))
            .await
            .unwrap();
    }
    let reply = fleet
        .caller
        .call(fleet.callers(0), &call("unkeyed", None))
        .await;
    assert!(reply.is("outcome_unknown"), "{:?}", reply.end);
    assert_eq!(
        fleet.runs("unkeyed").await,
        1,
        "not tried at the other endpoint"
    );
    fleet.close();
}

#[actix_rt::test]
async fn limited_repeat() {
    let mut spec = spec(1, 1);
    for team in spec.bundle["teams"].as_array_mut().unwrap() {
        if team["name"] == "beam-ops" {
            team["requests_per_s"] = json!(0.2);
        }
    }
    let fleet = violetline_lab::fleet::Fleet::start(spec).await.unwrap();
    let key = key();
    let first = fleet
        .caller
        .call(fleet.callers(0), &call("limited", Some(&key)))
        .await;
    assert_eq!(first.end, End::Complete);
    let second = fleet
        .caller
        .call(fleet.callers(0), &call("limited", Some(&key)))
        .await;
    assert!(
        second.is("already_ran"),
        "over the limit, and it did run: {:?}",
        second.end
    );
    let fresh = fleet
        .caller
        .call(
            fleet.callers(0),
            &call("other", Some(&violetline_lab::client::key())),
        )
        .await;
    assert!(
        fresh.is("not_run"),
        "the home says that nothing ran: {:?}",
        fresh.end
    );
    assert_eq!(fleet.runs("other").await, 0);
    fleet.close();
}

#[actix_rt::test]
async fn changed_places() {
    let mut fleet = fleet(1, 3).await;
    let key = loop {
        let key = key();
        if home_of(&fleet, &key) == position(&fleet, PLAIN_POOL, 2) {
            break key;
        }
    };
    let first = fleet
        .caller
        .call(fleet.callers(0), &call("moved", Some(&key)))
        .await;
    assert_eq!(first.end, End::Complete);
    let fewer = fleet
        .change_bundle(|bundle| bundle["pools"][1]["places"] = json!(2))
        .await
        .unwrap();
    fleet.bundle_reached(fewer).await.unwrap();
    let second = fleet
        .caller
        .call(fleet.callers(1), &call("moved", Some(&key)))
        .await;
    assert!(
        second.is("outcome_unknown"),
        "the key's new home can't know: {:?}",
        second.end
    );
    assert_eq!(fleet.runs("moved").await, 1);
    fleet.close();
}
