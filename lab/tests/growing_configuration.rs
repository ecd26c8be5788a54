//! A configuration of thousands of routes at an entry behind a narrow link.
//!
//! Symptom: on a fleet of 8 entries with wide links and 22 with 10 Mbit/s, all 22 turned unready
//! within 1.5 s of each other and stayed so. Before that they decided by an old configuration, sent
//! work to endpoints that had said that they leave, and refused urgent work while others ran less
//! urgent work.
//!
//! Sequence: the configuration grew by 1,400 routes three times beside a release. The third one, 0.85
//! MB and 1.13 MB as the store writes it, came into force at the wide entries only. The narrow ones
//! read it again and again, from the store and from peers, until their links were full.
//!
//! Cause: each change was read as the whole configuration, each read had a fixed time (0.8 to 2.2 s), and each
//! retry began at the first byte. Changes of the list of endpoints and proofs of freshness came with that text or after
//! it, so they waited as well.
//!
//! What settled it: of 1,165 reads of the configuration by narrow entries after the third growth none
//! ended, each with 0.3 to 0.7 MB in 0.8 or 0.9 s; 500 listings were read and none was applied;
//! 793 questions to peers for changes got 404; processors were used to 3%.

use std::time::Duration;

use serde_json::{json, Value};
use tokio::time::sleep;
use violetline_lab::relay::Relay;
use violetline_lab::site::*;

/// Routes of the large configuration: 2 MB of text.
const MANY_ROUTES: usize = 10_000;
/// Rate at which the large configuration takes longer than any one call may, in bytes a second.
const NARROW: u64 = 1 << 20;
/// Rate at which it takes longer than [`LONG`].
const VERY_NARROW: u64 = 100 << 10;
/// Time in which an entry behind a link of its own gets its first configuration from the store.
const SETTLE: Duration = Duration::from_millis(300);

/// Settings of an entry that reaches the store over a relay.
fn behind(site: &Site, relay: &Relay, mut settings: Value) -> Value {
    assert_eq!(settings["store"], site.store_address.to_string());
    settings["store"] = json!(relay.addr.to_string());
    settings
}

/// A site with one entry, and the relay between it and the store.
async fn one_behind_relay(engines: usize) -> (Site, Relay) {
    let mut site = Site::start(engines).await;
    let relay = Relay::start(site.store_address).await.unwrap();
    let settings = behind(&site, &relay, site.settings("127.0.0.1", 0, 0, &[]));
    site.add_entry(&settings).await;
    (site, relay)
}

/// Whether an entry is ready with the newest configuration.
async fn is_current(site: &Site, entry: usize) -> bool {
    site.state(entry).await["catalog"] == site.version && site.is_ready(entry).await
}

/// A read that takes long goes on as long as it makes progress.
#[actix_rt::test]
async fn narrow_link_catches_up() {
    let (mut site, relay) = one_behind_relay(1).await;
    relay.narrow(Some(NARROW));
    site.idle_routes = MANY_ROUTES;
    site.configure(&["k1"]);
    wait_for("the large configuration is in force", || {
        is_current(&site, 0)
    })
    .await;
    assert_eq!(site.ask("/once/ok", "r1").await.status, 200);
}

/// What endpoints say of themselves does not wait behind a large configuration.
#[actix_rt::test]
async fn leaving_heard_meanwhile() {
    let (mut site, relay) = one_behind_relay(2).await;
    relay.narrow(Some(VERY_NARROW));
    site.idle_routes = MANY_ROUTES;
    site.configure(&["k1"]);
    sleep(SETTLE).await;
    site.store.list(&site.engines[0], "s1", "draining");
    wait_for("the endpoint is known to leave", || async {
        let state = site.state(0).await;
        let endpoints = state["endpoints"].as_array().unwrap().iter();
        let mut draining = endpoints.filter(|e| e["standing"] == "Draining");
        draining.next().is_some_and(|e| e["id"] == "i-0")
    })
    .await;
}

/// A small change of a large configuration reaches an entry whose links carry only small ones.
#[actix_rt::test]
async fn small_change_follows() {
    let ips = ["127.0.0.4", "127.0.0.5"];
    let link = common_port(&ips);
    let (admin, narrow_admin) = (common_port(&ips), common_port(&ips));
    let mut site = Site::start(1).await;
    site.idle_routes = MANY_ROUTES;
    site.configure(&["k1"]);
    let seeds = ["127.0.0.4:1"];
    site.add_entry(&site.settings(ips[0], link, admin, &seeds))
        .await;
    let to_store = Relay::start(site.store_address).await.unwrap();
    // An entry asks a peer at the port of its own settings, which is the relay's here.
    let asked = format!("{}:{narrow_admin}", ips[0]).parse().unwrap();
    let asked_at = site.entries[0].addr("admin");
    let to_peer = Relay::start_at(asked, asked_at).await.unwrap();
    let settings = site.settings(ips[1], link, narrow_admin, &seeds);
    site.add_entry(&behind(&site, &to_store, settings)).await;
    wait_for("both are current", || is_current(&site, 1)).await;
    to_store.narrow(Some(VERY_NARROW));
    to_peer.narrow(Some(VERY_NARROW));
    site.configure(&["k1", "k2"]);
    wait_for("the small change is in force", || is_current(&site, 1)).await;
    let request = request("/once/ok", "r1", "k2");
    let answer = exchange(site.entries[1].addr("callers"), &request).await;
    assert_eq!(answer.status, 200);
}
