//! Streams behind sidecars whose endpoints run several software versions.

mod common;

use std::time::Duration;

use common::*;
use tokio::time::sleep;
use violetline_lab::client::End;
use violetline_lab::fleet::Fleet;

/// A fleet whose model endpoints run these versions, by ordinal.
async fn fleet_with(versions: &[&str]) -> Fleet {
    let mut fleet = fleet(versions.len() as u32, 1).await;
    for (ordinal, version) in versions.iter().enumerate() {
        let at = position(&fleet, MODEL_POOL, ordinal as u32);
        fleet.slots[at].software_version = (*version).to_owned();
    }
    fleet.publish_members().await.unwrap();
    fleet.all_ready().await.unwrap();
    fleet
}

/// Tokens that the engine of a slot has generated.
async fn generated(fleet: &Fleet, at: usize) -> u64 {
    let engine = fleet.slots[at].endpoint.addr("listen");
    let stats = fleet.caller.get(engine, "/lab/stats").await.unwrap();
    stats["generated"].as_u64().unwrap_or(0)
}

/// The slot that runs the only stream.
async fn running_slot(fleet: &Fleet) -> usize {
    loop {
        for at in 0..fleet.slots.len() {
            if fleet.slots[at].is_model() && generated(fleet, at).await > 20 {
                return at;
            }
        }
        sleep(Duration::from_millis(10)).await;
    }
}

/// A stream whose engine crashed went on at an engine of another software version.
#[actix_rt::test]
async fn mixed_behind_sidecars() {
    let mut fleet = fleet_with(&["v1", "v2"]).await;
    let stream = spawn_chat(&fleet, 0, chat("crash", "annotation", 700));
    let at = running_slot(&fleet).await;
    fleet.slots[at].endpoint.kill();
    let reply = stream.await.unwrap();
    assert_ne!(
        reply.end,
        End::Complete,
        "no endpoint of its version is left"
    );
    for other in (0..fleet.slots.len()).filter(|other| *other != at) {
        if fleet.slots[other].is_model() {
            assert_eq!(generated(&fleet, other).await, 0);
        }
    }
    fleet.close();
}

/// It goes on at its own version.
#[actix_rt::test]
async fn same_behind_sidecars() {
    let mut fleet = fleet_with(&["v1", "v2", "v1", "v2"]).await;
    let stream = spawn_chat(&fleet, 0, chat("crash", "annotation", 700));
    let at = running_slot(&fleet).await;
    fleet.slots[at].endpoint.kill();
    let reply = stream.await.unwrap();
    assert_eq!(reply.end, End::Complete);
    for other in (0..fleet.slots.len()).filter(|other| *other != at) {
        let slot = &fleet.slots[other];
        if slot.is_model() && slot.software_version != fleet.slots[at].software_version {
            assert_eq!(generated(&fleet, other).await, 0);
        }
    }
    fleet.close();
}
