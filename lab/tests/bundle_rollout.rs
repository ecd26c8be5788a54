//! A bundle is in force everywhere soon after it is accepted, and never gives way to an older.

mod common;

use std::time::Duration;

use common::*;
use serde_json::json;
use tokio::time::sleep;
use violetline::document::Stamp;
use violetline::outcome::NotRunReason;
use violetline_lab::client::End;
use violetline_lab::fleet::Fleet;

async fn version_at(fleet: &Fleet, admin: std::net::SocketAddr) -> (u64, u64) {
    let page = fleet.caller.get(admin, "/v1/bundle").await.unwrap();
    let field = |name: &str| page["in_force"][name].as_u64().unwrap();
    (field("version"), field("digest"))
}

async fn platform(fleet: &Fleet, faults: serde_json::Value) {
    fleet.fault(&fleet.platform, faults).await.unwrap();
}

/// Waits until the service has answered that many more reads.
async fn wait_for_reads(fleet: &Fleet, more: u64) {
    let addr = fleet.platform.addr("listen");
    let reads = || async {
        let stats = fleet.caller.get(addr, "/lab/stats").await.unwrap();
        stats["reads"].as_u64().unwrap()
    };
    let enough = reads().await + more;
    while reads().await < enough {
        sleep(Duration::from_millis(50)).await;
    }
}

/// A process that went back for a moment shows it in its trail, even if peers mended it.
async fn assert_never_back(fleet: &Fleet, admin: std::net::SocketAddr) {
    let audit = fleet.caller.get(admin, "/v1/audit").await.unwrap();
    for change in audit.as_array().unwrap() {
        if change["what"] == "bundle_accepted" {
            let version = |field: &str| change[field]["version"].as_u64().unwrap();
            assert!(
                version("from") <= version("to"),
                "{admin} went back: {change}"
            );
        }
    }
}

#[actix_rt::test]
async fn change_everywhere() {
    let mut fleet = fleet(3, 2).await;
    let version = fleet
        .change_bundle(|bundle| bundle["note"] = json!("second"))
        .await
        .unwrap();
    fleet.bundle_reached(version).await.unwrap();
    let audit = fleet
        .caller
        .get(fleet.admins()[0], "/v1/audit")
        .await
        .unwrap();
    let accepted = audit
        .as_array()
        .unwrap()
        .iter()
        .find(|c| c["to"]["version"] == version)
        .unwrap();
    assert_eq!(accepted["note"], "second");
    assert_eq!(accepted["from"]["version"], version - 1);
    fleet.close();
}

#[actix_rt::test]
async fn service_goes_back() {
    let mut fleet = fleet(2, 1).await;
    let version = fleet.change_bundle(|_| {}).await.unwrap();
    fleet.bundle_reached(version).await.unwrap();
    platform(&fleet, json!({ "stale": true })).await;
    wait_for_reads(&fleet, 4 * fleet.admins().len() as u64).await;
    fleet.slots[0].sidecar.kill();
    fleet.restart_sidecar(0).unwrap();
    let admin = fleet.slots[0].sidecar.addr("admin");
    fleet.ready(admin).await.unwrap();
    assert_eq!(
        version_at(&fleet, admin).await.0,
        version,
        "fresh, with a stale service"
    );
    for admin in fleet.admins() {
        assert_eq!(version_at(&fleet, admin).await.0, version);
        assert_never_back(&fleet, admin).await;
    }
    fleet.close();
}

#[actix_rt::test]
async fn service_down() {
    let mut fleet = fleet(2, 1).await;
    let version = fleet.change_bundle(|_| {}).await.unwrap();
    fleet.bundle_reached(version).await.unwrap();
    platform(&fleet, json!({ "down": true })).await;
    fleet.slots[1].sidecar.kill();
    fleet.restart_sidecar(1).unwrap();
    let admin = fleet.slots[1].sidecar.addr("admin");
    fleet.ready(admin).await.unwrap();
    assert_eq!(
        version_at(&fleet, admin).await.0,
        version,
        "from its peers alone"
    );
    let reply = fleet
        .caller
        .chat(fleet.callers(0), &chat("down", "lookup", 5))
        .await;
    assert_eq!(reply.end, End::Complete);
    fleet.close();
}

#[actix_rt::test]
async fn racing_operators() {
    let mut fleet = fleet(2, 1).await;
    let mut second = fleet.spec.bundle.clone();
    second["version"] = json!(2);
    second["note"] = json!("one operator");
    fleet.publish_bundle(&second).await.unwrap();
    fleet.bundle_reached(2).await.unwrap();
    second["note"] = json!("another operator");
    fleet.publish_bundle(&second).await.unwrap();
    sleep(Duration::from_millis(2_500)).await;
    let mut stamps = Vec::new();
    for admin in fleet.admins() {
        stamps.push(version_at(&fleet, admin).await);
    }
    stamps.dedup();
    assert_eq!(stamps.len(), 1, "all hold the same of the two: {stamps:?}");
    fleet.close();
}

#[actix_rt::test]
async fn refused_bundles() {
    let mut fleet = fleet(1, 1).await;
    let good = fleet.spec.bundle.clone();
    let mut invalid = good.clone();
    invalid["version"] = json!(5);
    invalid["pools"][0]["slots"] = json!(0);
    fleet.publish_bundle(&invalid).await.unwrap();
    let admin = fleet.admins()[0];
    until(&fleet, admin, "/v1/audit", |audit| {
        let refused = |c: &serde_json::Value| c["what"] == "bundle_refused";
        audit
            .as_array()
            .is_some_and(|list| list.iter().any(refused))
    })
    .await;
    let addr = fleet.platform.addr("listen");
    let sealed = fleet
        .sign(&json!({ "version": 9 }))
        .unwrap()
        .replace("9", "8");
    fleet
        .caller
        .send(addr, "/lab/bundle", sealed)
        .await
        .unwrap();
    sleep(Duration::from_millis(1_500)).await;
    fleet
        .caller
        .send(addr, "/lab/bundle", "{\"payload\":".into())
        .await
        .unwrap();
    sleep(Duration::from_millis(1_500)).await;
    for admin in fleet.admins() {
        assert_eq!(version_at(&fleet, admin).await.0, 1);
    }
    fleet.spec.bundle = good;
    let reply = fleet
        .caller
        .chat(fleet.callers(0), &chat("still", "lookup", 5))
        .await;
    assert_eq!(reply.end, End::Complete);
    fleet.close();
}

#[actix_rt::test]
async fn thawed_entry_decides_anew() {
    let mut fleet = fleet(2, 1).await;
    let muon = "demo-muon";
    let mut asked = chat("muon", "batch", 5);
    asked.bearer = muon.into();
    let before = fleet.caller.chat(fleet.callers(0), &asked).await;
    assert_eq!(before.end, End::Complete);
    fleet.entries[0].process.freeze();
    let version = fleet
        .change_bundle(|bundle| {
            for team in bundle["teams"].as_array_mut().unwrap() {
                if team["name"] == "muon" {
                    team["classes"] = json!(["lookup"]);
                }
            }
        })
        .await
        .unwrap();
    for slot in &fleet.slots {
        until(&fleet, slot.sidecar.addr("admin"), "/v1/bundle", |p| {
            p["in_force"]["version"] == 2
        })
        .await;
    }
    assert_eq!(version, 2);
    let addr = fleet.callers(0);
    asked.id = "muon-late".into();
    let late = asked.clone();
    let waiting = actix_rt::spawn(async move {
        violetline_lab::client::Caller::default()
            .chat(addr, &late)
            .await
    });
    sleep(Duration::from_millis(300)).await;
    fleet.entries[0].process.thaw();
    let reply = waiting.await.unwrap();
    assert_ne!(
        reply.end,
        End::Complete,
        "the team is gone in the bundle in force"
    );
    assert_eq!(fleet.runs("muon-late").await, 0);
    fleet.close();
}

#[actix_rt::test]
async fn stale_offer_refused() {
    let mut fleet = fleet(1, 1).await;
    let at = position(&fleet, PLAIN_POOL, 0);
    let old = stamp_of(&fleet, &fleet.slots[at]).await;
    let version = fleet.change_bundle(|_| {}).await.unwrap();
    fleet.bundle_reached(version).await.unwrap();
    let slot = &fleet.slots[at];
    let ahead = Stamp {
        version: 99,
        digest: 1,
    };
    for stamp in [old, ahead] {
        let mut bare = Bare::offer_under(stamp, slot, None).await;
        assert_eq!(bare.refused().await, NotRunReason::StaleBundle);
    }
    let now = stamp_of(&fleet, slot).await;
    Bare::offer_under(now, slot, None).await.granted().await;
    fleet.close();
}

#[actix_rt::test]
async fn few_reads() {
    let mut fleet = fleet(3, 2).await;
    for _ in 0..3 {
        let version = fleet.change_bundle(|_| {}).await.unwrap();
        fleet.bundle_reached(version).await.unwrap();
    }
    let stats = fleet
        .caller
        .get(fleet.platform.addr("listen"), "/lab/stats")
        .await
        .unwrap();
    assert_eq!(stats["refused"], 0, "under the service's rate: {stats}");
    let updates = fleet
        .caller
        .get(fleet.admins()[0], "/metrics")
        .await
        .unwrap();
    assert!(
        updates.as_str().unwrap().contains("bundle_version"),
        "{updates}"
    );
    fleet.close();
}
