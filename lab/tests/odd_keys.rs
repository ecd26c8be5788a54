//! No entry became ready again, or half of the endpoints were not used, while an item of another program stood among
//! those of the endpoints: the key at the end of a page went into the next call as it stood.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;
use violetline_lab::site::*;

const ENTRIES: u8 = 3;
const ENGINES: usize = 8;
/// Requests through each entry after the restart.
const REQUESTS: usize = 50;
/// Time for which a listing does not move on.
const STUCK_TIME: Duration = Duration::from_secs(4);
/// Calls for pages with which all entries come back: each may list a few times.
const MAX_CALLS: u64 = 200;

/// Items between those of the endpoints, so that one ends a page whatever the length of pages.
fn odd_keys(name: &str) -> Vec<String> {
    let ids = (0..ENGINES).flat_map(|i| [format!("i-{i}{name}"), format!("i-{i}{name}0")]);
    ids.map(|id| format!("servers/{id}")).collect()
}

/// Restarts all entries while such items are listed, and checks that each knows all endpoints and no other
/// one, and that all requests are served.
async fn check_restart(name: &str, value: Option<&str>) {
    let mut site = Site::with_entries(ENTRIES, ENGINES).await;
    for key in odd_keys(name) {
        match value {
            Some(text) => site.store.put_text(&key, text),
            // A valid entry with the address of an endpoint.
            None => {
                let address = site.engines[0].address.to_string();
                let entry = json!({"service": "s1", "address": address, "zone": "hall-a",
                    "version": "v1", "slots": 4, "state": "ready", "cold_left_ms": 0, "sequence": 1});
                site.store.put(&key, &entry);
            }
        }
    }
    let calls = site.store.calls();
    site.entries.clear();
    site.add_entries(ENTRIES).await;
    let calls = site.store.calls() - calls;
    assert!(calls < MAX_CALLS, "{name:?}: {calls} calls");
    let ids: BTreeSet<String> = (0..ENGINES).map(|i| format!("i-{i}")).collect();
    for (i, entry) in site.entries.iter().enumerate() {
        let state = site.state(i).await;
        let known = state["endpoints"].as_array().unwrap().iter();
        let known: BTreeSet<String> = known.map(|e| e["id"].as_str().unwrap().into()).collect();
        assert_eq!(known, ids, "{name:?}: endpoints of entry {i}");
        let callers = entry.addr("callers");
        for n in 0..REQUESTS {
            let answer = exchange(callers, &request("/once/ok", &format!("r-{i}-{n}"), "k1")).await;
            assert_eq!(answer.status, 200, "{name:?}: {}", answer.body);
        }
    }
}

#[actix_rt::test]
async fn delimiters() {
    for name in ["&x=", "&since_rev=zz", "+x", "#x", "%41", "%", "?a/b=c"] {
        check_restart(name, Some("of another program")).await;
    }
}

#[actix_rt::test]
async fn blanks_and_controls() {
    for name in [" x", "\"x", "<x>", "\t", "\u{1}", "\r\n", "é", "\u{1F980}"] {
        check_restart(name, Some("of another program")).await;
    }
}

/// Such a key names no endpoint whatever its value says.
#[actix_rt::test]
async fn valid_values() {
    for name in ["&x=", "+x", "%41", " x", "\u{1}", "é"] {
        check_restart(name, None).await;
    }
}

/// A listing that does not move on was read without end, and without a pause.
#[actix_rt::test]
async fn stuck_listing() {
    let mut site = Site::start(ENGINES).await;
    site.store.repeat_pages(true);
    let settings = site.settings("127.0.0.1", 0, 0, &[]);
    site.add_unready(&settings);
    sleep(STUCK_TIME).await;
    let calls = site.store.calls();
    assert!(calls < MAX_CALLS, "{calls} calls");
    assert!(!site.is_ready(0).await, "ready without the list");
    assert_eq!(site.state(0).await["lacks"], "list");
    site.store.repeat_pages(false);
    site.wait_ready(0).await;
    assert_eq!(site.state(0).await["lacks"], json!(null));
    assert_eq!(site.ask("/once/ok", "r").await.status, 200);
}
