//! Cordons that fill more than a page: requests went to endpoints of a cordoned availability zone.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;
use violetline_lab::relay::Relay;
use violetline_lab::site::*;
use violetline_lab::standin::Engine;

/// Cordoned zones, the first ones of another program, which fill a page of the store.
const CORDONED: [&str; 4] = ["a&1", "a 2", "a-3", "hall-b"];
/// Routes of a configuration that takes long over [`NARROW`].
const MANY_ROUTES: usize = 10_000;
/// Rate of the way to the store, in bytes a second.
const NARROW: u64 = 200 << 10;
/// Time until the large configuration is being read.
const SETTLE: Duration = Duration::from_millis(500);

/// Requests of some that reach the endpoints of the cordoned zone, while the other one is full.
async fn reached(site: &Site, name: &str) -> usize {
    let cordoned = || {
        site.engines[1..]
            .iter()
            .map(|e| e.arrivals().len())
            .sum::<usize>()
    };
    let before = cordoned();
    site.engines[0].set_shedding(true);
    for n in 0..10 {
        let answer = site.ask("/safe/ok", &format!("{name}-{n}")).await;
        assert_ne!(answer.status, 0, "{name}: {answer:?}");
    }
    site.engines[0].set_shedding(false);
    cordoned() - before
}

#[actix_rt::test]
async fn more_than_a_page() {
    let mut site = Site::start(2).await;
    site.engines[1].zone.set("hall-b");
    site.store.list(&site.engines[1], "s1", "ready");
    for zone in CORDONED {
        site.store.put(&format!("op/evacuate/{zone}"), &json!({}));
    }
    let relay = Relay::start(site.store_address).await.unwrap();
    let mut settings = site.settings("127.0.0.1", 0, 0, &[]);
    settings["store"] = json!(relay.addr.to_string());
    site.add_entry(&settings).await;
    assert_eq!(reached(&site, "listed").await, 0);
    // While a large configuration is read, the list is watched beside it, and the cordons are read apart.
    relay.narrow(Some(NARROW));
    site.idle_routes = MANY_ROUTES;
    site.configure(&["k1"]);
    sleep(SETTLE).await;
    let engine = Engine::start("i-2").await.unwrap();
    engine.zone.set("hall-b");
    site.store.list(&engine, "s1", "ready");
    site.engines.push(engine);
    wait_for("the entry lists the new endpoint", || async {
        let state = site.state(0).await;
        state["endpoints"].as_array().map_or(0, Vec::len) == 3
    })
    .await;
    assert_eq!(reached(&site, "watched").await, 0);
}
