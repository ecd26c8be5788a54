//! The urgent goes first, nobody starves, and one team does not delay another.

mod common;

use std::time::{Duration, Instant};

use common::*;
use serde_json::json;
use violetline_lab::client::End;
use violetline_lab::fleet::Fleet;

async fn narrow(slots: u32) -> Fleet {
    let mut spec = spec(1, 1);
    spec.bundle["pools"][0]["slots"] = json!(slots);
    spec.bundle["pools"][0]["reserved_slots"] = json!(0);
    Fleet::start(spec).await.unwrap()
}

#[actix_rt::test]
async fn lookup_through_flood() {
    let fleet = narrow(2).await;
    let admin = fleet.slots[position(&fleet, MODEL_POOL, 0)]
        .sidecar
        .addr("admin");
    let mut flood = Vec::new();
    for n in 0..12 {
        flood.push(spawn_chat(
            &fleet,
            n % 2,
            chat(&format!("b{n}"), "batch", 300),
        ));
    }
    until(&fleet, admin, "/v1/state", |s| {
        s["load"]["waiting"].as_u64() > Some(5)
    })
    .await;
    for n in 0..10 {
        let reply = fleet
            .caller
            .chat(fleet.callers(n % 2), &chat(&format!("u{n}"), "lookup", 5))
            .await;
        assert_eq!(
            reply.end,
            End::Complete,
            "lookup {n} while batch work fills every slot"
        );
    }
    for (n, task) in flood.into_iter().enumerate() {
        let reply = task.await.unwrap();
        assert_eq!(reply.end, End::Complete, "batch {n} resumes and completes");
        assert_eq!(
            fleet.runs(&format!("b{n}")).await,
            1,
            "paused work is not begun anew"
        );
    }
    fleet.close();
}

#[actix_rt::test]
async fn batch_under_lookups() {
    let fleet = narrow(2).await;
    let stop = std::rc::Rc::new(std::cell::Cell::new(false));
    let mut senders = Vec::new();
    for n in 0..8 {
        let (addr, stop) = (fleet.callers(n % 2), std::rc::Rc::clone(&stop));
        senders.push(actix_rt::spawn(async move {
            let caller = violetline_lab::client::Caller::default();
            while !stop.get() {
                caller
                    .chat(addr, &chat(&format!("u{n}"), "lookup", 20))
                    .await;
            }
        }));
    }
    let batch = fleet
        .caller
        .chat(fleet.callers(0), &chat("floor", "batch", 60))
        .await;
    stop.set(true);
    for sender in senders {
        sender.await.unwrap();
    }
    assert_eq!(
        batch.end,
        End::Complete,
        "the floor lets batch work through without end of lookups"
    );
    fleet.close();
}

#[actix_rt::test]
async fn small_team_beside_burst() {
    let fleet = narrow(2).await;
    let admin = fleet.slots[position(&fleet, MODEL_POOL, 0)]
        .sidecar
        .addr("admin");
    let burst: Vec<_> = (0..16)
        .map(|n| spawn_chat(&fleet, n % 2, chat(&format!("l{n}"), "summary", 200)))
        .collect();
    until(&fleet, admin, "/v1/state", |s| {
        s["load"]["waiting"].as_u64() > Some(10)
    })
    .await;
    let began = Instant::now();
    let mut small = chat("small", "summary", 20);
    small.bearer = "demo-vacuum".into();
    let reply = fleet.caller.chat(fleet.callers(0), &small).await;
    let small_took = began.elapsed();
    assert_eq!(reply.end, End::Complete);
    let mut last = Duration::ZERO;
    for task in burst {
        assert_eq!(task.await.unwrap().end, End::Complete);
        last = began.elapsed();
    }
    assert!(
        small_took < last,
        "the small team did not wait for the whole burst"
    );
    let queue = fleet.caller.get(admin, "/v1/state").await.unwrap();
    assert_eq!(queue["load"]["waiting"], 0);
    fleet.close();
}

#[actix_rt::test]
async fn over_limit() {
    let mut spec = spec(1, 1);
    for team in spec.bundle["teams"].as_array_mut().unwrap() {
        if team["name"] == "cryo" {
            team["requests_per_s"] = json!(2);
        }
    }
    let fleet = Fleet::start(spec).await.unwrap();
    let mut asked = chat("cryo", "lookup", 2);
    asked.bearer = "demo-cryo".into();
    let mut refused = 0;
    for n in 0..30 {
        let reply = fleet.caller.chat(fleet.callers(n % 2), &asked).await;
        if reply.status == 429 {
            assert!(
                reply.is("not_run") && reply.retry_after.is_some(),
                "{:?}",
                reply.end
            );
            refused += 1;
        }
    }
    assert!(refused > 10, "{refused} of 30 were over the limit");
    let other = fleet
        .caller
        .chat(fleet.callers(0), &chat("free", "lookup", 2))
        .await;
    assert_eq!(other.end, End::Complete, "another team is not touched");
    fleet.close();
}

#[actix_rt::test]
async fn uneven_balancer() {
    let mut spec = spec(1, 1);
    for team in spec.bundle["teams"].as_array_mut().unwrap() {
        if team["name"] == "cryo" {
            team["requests_per_s"] = json!(20);
        }
    }
    let fleet = Fleet::start(spec).await.unwrap();
    let admin = fleet.entries[0].process.addr("admin");
    let mut asked = chat("cryo", "lookup", 2);
    asked.bearer = "demo-cryo".into();
    let end = Instant::now() + LONG;
    loop {
        fleet.caller.chat(fleet.callers(0), &asked).await;
        let state = fleet.caller.get(admin, "/v1/state").await.unwrap();
        if state["shares"]["cryo"].as_f64() > Some(0.7) {
            break;
        }
        assert!(
            Instant::now() < end,
            "one of two entries has all the traffic: {state}"
        );
    }
    fleet.close();
}
