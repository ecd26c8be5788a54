//! An engine behind a sidecar that named a limit of one call a second got a call for each chat, 89 in 4 s where 11 are allowed. The sidecar
//! decides on all calls to its engine, and read of an answer that it leaves or wants rest, but no limit.

mod common;

use std::time::Duration;

use common::*;
use serde_json::json;
use tokio::time::{sleep, Instant};
use violetline_lab::client::End;
use violetline_lab::limited;

/// The limit, in calls a second.
const LIMIT: f64 = 1.0;

/// Chats come one after the other while the engine, the only one, names a limit: it gets what that allows, and at least half of
/// it. Then the limit ends.
#[actix_rt::test]
async fn calls_kept() {
    let fleet = fleet(1, 1).await;
    let slot = &fleet.slots[position(&fleet, MODEL_POOL, 0)];
    let faults = json!({"limit": (LIMIT * 1_000.0) as u32});
    fleet.fault(&slot.endpoint, faults).await.unwrap();
    let until = Instant::now() + 2 * limited::SPAN;
    let mut calls = Vec::new();
    while Instant::now() < until {
        let id = format!("chat-{}-{}", calls.len(), rand::random::<u32>());
        let chat = chat(&id, "annotation", 2);
        let reply = fleet.caller.chat(fleet.callers(0), &chat).await;
        if reply.end == End::Complete {
            calls.push(Instant::now());
        }
        sleep(Duration::from_millis(20)).await;
    }
    let most = calls.iter().map(|first| {
        let span = *first..*first + limited::SPAN;
        calls.iter().filter(|at| span.contains(at)).count()
    });
    let most = most.max().unwrap();
    assert!(most <= limited::allowed(LIMIT), "{most}");
    assert!(calls.len() as f64 >= LIMIT * 4.0, "{} in all", calls.len());
    fleet.fault(&slot.endpoint, json!({})).await.unwrap();
    let until = Instant::now() + LONG;
    for count in 0..5 {
        while !fleet
            .caller
            .chat(
                fleet.callers(0),
                &chat(
                    &format!("after-{count}-{}", rand::random::<u32>()),
                    "annotation",
                    2,
                ),
            )
            .await
            .end
            .eq(&End::Complete)
        {
            assert!(Instant::now() < until, "the limit does not end");
            sleep(Duration::from_millis(20)).await;
        }
    }
    fleet.close();
}
