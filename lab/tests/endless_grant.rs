//! Endpoints behind sidecars whose bytes never end.

mod common;

use std::time::Duration;

use common::*;
use futures_util::future::join_all;
use serde_json::json;
use tokio::time::{sleep, Instant};
use violetline_lab::client::End;
use violetline_lab::endless::Endless;
use violetline_lab::fleet::Fleet;
use violetline_lab::usage;

/// Longest silence of an endpoint, in ms.
const STALL_MS: u64 = 1_000;
/// Time for an answer to end: that silence at each of four endpoints, waits and searches between.
const END_TIME: Duration = Duration::from_secs(12);
/// Requests at once.
const FLOODS: usize = 16;
/// Memory that a process may hold for them, in bytes.
const HELD_BYTES: u64 = 96 << 20;

/// A fleet whose endpoints are silent for a short time at most, with bytes without end.
async fn fleet_of(endless: Endless) -> Fleet {
    let mut spec = spec(1, 1);
    for pool in spec.bundle["pools"].as_array_mut().unwrap() {
        pool["stall_ms"] = json!(STALL_MS);
    }
    spec.bundle["pools"][0]["slots"] = json!(FLOODS);
    let fleet = Fleet::start(spec).await.unwrap();
    for slot in &fleet.slots {
        let faults = json!({ "endless": endless });
        fleet.fault(&slot.endpoint, faults).await.unwrap();
    }
    fleet
}

/// A few bytes at a time kept a run, its slot and its caller for as long as they came.
#[actix_rt::test]
async fn answers_end() {
    for endless in [
        Endless::FastEvent,
        Endless::SlowEvent,
        Endless::SlowComments,
        Endless::SlowError,
    ] {
        let fleet = fleet_of(endless).await;
        let begun = Instant::now();
        let chats = [true, false].map(|stream| {
            let mut chat = chat(&format!("{endless:?}-{stream}"), "annotation", 50);
            chat.stream = stream;
            spawn_chat(&fleet, 0, chat)
        });
        let call = spawn_call(&fleet, 0, call(&format!("{endless:?}-plain"), None));
        let playing = join_all(chats.into_iter().chain([call]));
        let replies = tokio::time::timeout(END_TIME, playing).await;
        let replies = replies.unwrap_or_else(|_| panic!("{endless:?} goes on"));
        assert!(begun.elapsed() < END_TIME);
        for reply in replies {
            let reply = reply.unwrap();
            let is_told = matches!(reply.end, End::Refused(..) | End::Cut);
            assert!(is_told, "{endless:?}: {reply:?}");
        }
        fleet.close();
    }
}

/// Answers that are sent whole have a bound on their memory together.
#[actix_rt::test]
async fn tokens_without_end() {
    let fleet = fleet_of(Endless::FastTokens).await;
    let processes = [
        ("entry", fleet.entries[0].process.id()),
        ("sidecar", fleet.slots[0].sidecar.id()),
    ];
    let asking = (0..FLOODS).map(|i| {
        let mut chat = chat(&format!("tokens-{i}"), "annotation", 50);
        chat.stream = false;
        spawn_chat(&fleet, 0, chat)
    });
    let watching = async {
        loop {
            for (name, id) in processes {
                let held = usage::resident(id);
                assert!(held < HELD_BYTES, "{name}: {held} bytes");
            }
            sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        replies = join_all(asking) => for reply in replies {
            let reply = reply.unwrap();
            assert!(!matches!(reply.end, End::Complete | End::Wrong), "{reply:?}");
        },
        () = watching => {}
    }
    fleet.close();
}
