//! Requests reached an endpoint 2.2 s after it had said that it leaves: the store had come back from an older copy and gave
//! the word a revision that the entries knew from before, so that it counted as older news.

use std::time::Duration;

use tokio::time::sleep;
use violetline_lab::site::*;
use violetline_lab::standin::Condition;

const ENTRIES: u8 = 3;
/// Time after which a change of the list counts everywhere.
const BOUND: Duration = Duration::from_secs(2);
/// Changes that the store loses.
const LOST: usize = 12;
/// Entries that watch in a fleet of [`ENTRIES`].
const WATCHERS: u64 = 2;

/// Writes some versions of the configuration, and waits until all entries have the last one.
async fn write_versions(site: &mut Site, count: usize) {
    for _ in 0..count {
        site.configure(&["k1"]);
    }
    wait_for_version(site).await;
}

async fn wait_for_version(site: &Site) {
    for entry in 0..site.entries.len() {
        let is_known = || async { site.state(entry).await["catalog"] == site.version };
        wait_for("the entry has the configuration", is_known).await;
    }
}

async fn wait_for_standing(site: &Site, id: &str, standing: Option<&str>) {
    for entry in 0..site.entries.len() {
        let is_known = || async { self::standing(site, entry, id).await.as_deref() == standing };
        wait_for("the entry knows how the endpoint stands", is_known).await;
    }
}

/// How an endpoint stands, as an entry tells operators.
async fn standing(site: &Site, entry: usize, id: &str) -> Option<String> {
    let state = site.state(entry).await;
    let mut endpoints = state["endpoints"].as_array()?.iter();
    let endpoint = endpoints.find(|endpoint| endpoint["id"] == id)?;
    endpoint["standing"].as_str().map(str::to_owned)
}

/// Requests that reach an engine, of some through every entry that are all served.
async fn reached(site: &Site, engine: usize) -> usize {
    let before = site.engines[engine].arrivals().len();
    for (number, entry) in site.entries.iter().enumerate() {
        for i in 0..6 {
            let id = format!("r-{before}-{number}-{i}");
            let request = request("/safe/ok", &id, "k1");
            let answer = exchange(entry.addr("callers"), &request).await;
            assert_eq!(answer.status, 200, "{}", answer.body);
        }
    }
    site.engines[engine].arrivals().len() - before
}

/// A store whose revisions lie below the known ones after it has come back.
async fn restored_site() -> Site {
    let mut site = Site::with_entries(ENTRIES, 2).await;
    write_versions(&mut site, LOST).await;
    site.store.restore(site.store.revision() - LOST as u64);
    site
}

#[actix_rt::test]
async fn leaving_after_restore() {
    let site = restored_site().await;
    site.store.list(&site.engines[0], "s1", "draining");
    sleep(BOUND).await;
    assert_eq!(reached(&site, 0).await, 0);
}

#[actix_rt::test]
async fn removed_after_restore() {
    let site = restored_site().await;
    sleep(BOUND).await;
    site.store.unlist(&site.engines[0]);
    sleep(BOUND).await;
    assert_eq!(reached(&site, 0).await, 0);
}

/// The revisions overtake the known ones before any entry asks, so its watch goes on without a 410.
#[actix_rt::test]
async fn leaving_when_overtaken() {
    let mut site = Site::with_entries(ENTRIES, 2).await;
    write_versions(&mut site, 2).await;
    site.store.hold_watches(true);
    site.store.restore(site.store.revision() - 2);
    site.store.list(&site.engines[0], "s1", "draining");
    for _ in 0..3 {
        site.configure(&["k1"]);
    }
    site.store.hold_watches(false);
    sleep(BOUND).await;
    assert_eq!(reached(&site, 0).await, 0);
}

/// While the store was away, nobody asked it at all.
#[actix_rt::test]
async fn leaving_after_outage() {
    let mut site = Site::with_entries(ENTRIES, 2).await;
    write_versions(&mut site, LOST).await;
    site.store.set_condition(Condition::Busy);
    site.store.restore(site.store.revision() - LOST as u64);
    sleep(Duration::from_millis(2_500)).await;
    site.store.set_condition(Condition::Up);
    sleep(Duration::from_millis(600)).await;
    site.store.list(&site.engines[0], "s1", "draining");
    sleep(BOUND).await;
    assert_eq!(reached(&site, 0).await, 0);
}

#[actix_rt::test]
async fn listed_after_restore() {
    let mut site = restored_site().await;
    let engine = violetline_lab::standin::Engine::start("i-new")
        .await
        .unwrap();
    site.store.list(&engine, "s1", "ready");
    site.engines.push(engine);
    let is_used = || async { reached(&site, 2).await > 0 };
    wait_for("the new endpoint gets requests", is_used).await;
}

/// The copy says "ready" of an endpoint that had said that it leaves, also to an entry that starts later.
#[actix_rt::test]
async fn leaving_endpoint_stays_so() {
    let mut site = Site::with_entries(ENTRIES, 2).await;
    let before = site.store.revision();
    site.store.list(&site.engines[0], "s1", "draining");
    wait_for_standing(&site, "i-0", Some("Draining")).await;
    site.store.restore(before);
    sleep(BOUND).await;
    assert_eq!(reached(&site, 0).await, 0);
    start_another(&mut site).await;
    assert_eq!(
        reached(&site, 0).await,
        0,
        "at an entry that has just started"
    );
}

/// The copy still lists an endpoint that had left.
#[actix_rt::test]
async fn endpoint_that_left_stays_gone() {
    let site = Site::with_entries(ENTRIES, 2).await;
    let before = site.store.revision();
    site.store.unlist(&site.engines[0]);
    wait_for_standing(&site, "i-0", None).await;
    site.store.restore(before);
    sleep(BOUND).await;
    assert_eq!(reached(&site, 0).await, 0);
    site.store.list(&site.engines[0], "s1", "ready");
    let is_used = || async { reached(&site, 0).await > 0 };
    wait_for("the endpoint is used once it is listed anew", is_used).await;
}

/// The copy lacks an endpoint that lives; it is written again soon.
#[actix_rt::test]
async fn missing_endpoint_stays() {
    let site = Site::with_entries(ENTRIES, 1).await;
    site.store.unlist(&site.engines[0]);
    wait_for_standing(&site, "i-0", None).await;
    let before = site.store.revision();
    site.store.list(&site.engines[0], "s1", "ready");
    wait_for_standing(&site, "i-0", Some("Ready")).await;
    site.store.restore(before);
    sleep(Duration::from_millis(1_000)).await;
    assert!(reached(&site, 0).await > 0);
    site.store.list(&site.engines[0], "s1", "ready");
    wait_for_standing(&site, "i-0", Some("Ready")).await;
    sleep(Duration::from_millis(2_500)).await;
    assert!(reached(&site, 0).await > 0);
}

/// The copy holds an older configuration, with a key that was removed.
#[actix_rt::test]
async fn removed_key_stays_so() {
    let mut site = Site::with_entries(ENTRIES, 1).await;
    write_versions(&mut site, 3).await;
    let before = site.store.revision();
    site.configure(&["k2"]);
    wait_for_version(&site).await;
    site.store.restore(before);
    sleep(BOUND).await;
    start_another(&mut site).await;
    for entry in &site.entries {
        let request = request("/safe/ok", "r-k1", "k1");
        let answer = exchange(entry.addr("callers"), &request).await;
        assert_eq!(answer.status, 401);
    }
    assert_eq!(site.runs(), 0);
}

/// A configuration that the store holds after it has come back is in force everywhere, and proven.
#[actix_rt::test]
async fn versions_go_on() {
    let mut site = restored_site().await;
    for _ in 0..2 {
        site.configure(&["k1", "k2"]);
        wait_for_version(&site).await;
        sleep(Duration::from_millis(KEY_REMOVAL_MS + 500)).await;
        for entry in 0..site.entries.len() {
            assert!(site.is_ready(entry).await);
        }
        site.store.restore(site.store.revision() - 1);
    }
}

/// Entries called the store 6,400 to 7,500 times a second, since each watch from a known revision got 410 and each listing
/// seemed older.
#[actix_rt::test]
async fn calls_after_restore() {
    let mut site = Site::with_entries(ENTRIES, 2).await;
    write_versions(&mut site, LOST).await;
    let (calls, listings) = (site.store.calls(), site.store.list_reads());
    site.store.restore(site.store.revision() - LOST as u64);
    sleep(Duration::from_secs(3)).await;
    let listings = site.store.list_reads() - listings;
    let calls = site.store.calls() - calls;
    assert!((1..=WATCHERS).contains(&listings), "{listings} listings");
    assert!(calls <= 30, "{calls} calls in 3 s");
}

/// In a fleet of several zones one entry of each zone reads the store anew; the others get what changed from these.
#[actix_rt::test]
async fn large_fleet_lists_once_a_zone() {
    let mut site = Site::start(2).await;
    site.zones = vec!["hall-a", "hall-b", "hall-c", "hall-d"];
    site.add_entries(24).await;
    write_versions(&mut site, LOST).await;
    // The roles of watchers settle.
    sleep(BOUND).await;
    let (calls, listings) = (site.store.calls(), site.store.list_reads());
    site.store.restore(site.store.revision() - LOST as u64);
    site.store.list(&site.engines[0], "s1", "draining");
    sleep(BOUND).await;
    let listings = site.store.list_reads() - listings;
    let calls = site.store.calls() - calls;
    assert_eq!(reached(&site, 0).await, 0);
    assert!((1..=4).contains(&listings), "{listings} listings");
    assert!(calls <= 40, "{calls} calls in 2 s");
}

/// Starts one more entry, as a seed, which reads the store at once.
async fn start_another(site: &mut Site) {
    let text = std::fs::read_to_string(site.settings_path(0)).unwrap();
    let first: serde_json::Value = serde_json::from_str(&text).unwrap();
    let port = |name: &str| {
        let address: std::net::SocketAddr = first[name].as_str().unwrap().parse().unwrap();
        address.port()
    };
    let ip = format!("127.0.0.{}", 2 + ENTRIES);
    let seeds = ["127.0.0.2:1".to_owned(), format!("{ip}:1")];
    let seeds: Vec<&str> = seeds.iter().map(String::as_str).collect();
    let settings = site.settings(&ip, port("link"), port("admin"), &seeds);
    site.add_entry(&settings).await;
}
