//! Configurations whose last team is gone, through entries as processes.

use serde_json::{json, Value};
use violetline_lab::site::*;

/// Keys that callers send, the last one of no configuration; `None` for no key.
const KEYS: [Option<&str>; 4] = [Some("k1"), Some(TEAM_KEYS[0]), Some("never-held"), None];

/// A request with a key, or without one.
fn keyed_request(id: &str, key: Option<&str>) -> Vec<u8> {
    let text = String::from_utf8(request("/safe/ok", id, key.unwrap_or("none"))).unwrap();
    match key {
        Some(_) => text.into_bytes(),
        None => text
            .replace("authorization: Bearer none\r\n", "")
            .into_bytes(),
    }
}

/// Waits until all entries have the newest configuration.
async fn in_force(site: &Site) {
    for entry in 0..site.entries.len() {
        wait_for("the version is in force", || async {
            site.state(entry).await["catalog"] == json!(site.version)
        })
        .await;
    }
}

/// Statuses that an entry gives to requests with each of the keys, and how many of them ran.
async fn statuses(site: &Site, entry: usize, what: &str) -> (Vec<u16>, usize) {
    let before = site.runs();
    let mut all = Vec::new();
    for (i, key) in KEYS.into_iter().enumerate() {
        let request = keyed_request(&format!("{what}-{entry}-{i}"), key);
        let callers = site.entries[entry].addr("callers");
        all.push(exchange(callers, &request).await.status);
    }
    (all, site.runs() - before)
}

fn set_teams(site: &mut Site, teams: Value) {
    site.configure_with(&["k1"], |config| config["tenants"] = teams);
}

/// Once the last team was removed, requests ran with removed keys, with unknown keys and without
/// one: an empty list was taken for a configuration without teams.
#[actix_rt::test]
async fn last_team_gone() {
    let mut site = Site::with_entries(3, 1).await;
    for (what, teams) in [("empty", json!([])), ("null", json!(null))] {
        site.configure(&["k1"]);
        in_force(&site).await;
        assert_eq!(
            statuses(&site, 0, "held").await,
            (vec![200, 200, 401, 401], 2)
        );
        set_teams(&mut site, teams);
        in_force(&site).await;
        for entry in 0..3 {
            let refused = (vec![401; 4], 0);
            assert_eq!(
                statuses(&site, entry, what).await,
                refused,
                "{what} {entry}"
            );
        }
    }
}

/// An entry that has the configuration from peers alone, and one that starts after them.
#[actix_rt::test]
async fn last_team_gone_for_peers() {
    let ips = ["127.0.0.2", "127.0.0.3"];
    let (link, admin) = (common_port(&ips), common_port(&ips));
    let mut site = Site::start(1).await;
    let seeds = ["127.0.0.2:1"];
    let first = site.settings(ips[0], link, admin, &seeds);
    site.add_entry(&first).await;
    set_teams(&mut site, json!([]));
    let mut second = site.settings(ips[1], link, admin, &seeds);
    second["store"] = json!("127.0.0.1:9");
    site.add_unready(&second);
    in_force(&site).await;
    let (statuses, runs) = statuses(&site, 1, "peer").await;
    assert!(
        statuses.iter().all(|s| *s == 401 || *s == 503),
        "{statuses:?}"
    );
    assert_eq!(runs, 0);
}

/// Without the field, no request needs a key.
#[actix_rt::test]
async fn no_teams_at_all() {
    let mut site = Site::with_entry(1).await;
    site.configure_with(&["k1"], |config| {
        config.as_object_mut().unwrap().remove("tenants");
    });
    in_force(&site).await;
    assert_eq!(statuses(&site, 0, "open").await, (vec![200; 4], 4));
}
