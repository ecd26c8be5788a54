//! One odd entry of another writer among those of the endpoints ended the machines that read the list again and again,
//! or they stopped following it.

use serde_json::json;
use violetline_lab::site::*;
use violetline_lab::standin::Engine;

const ENTRIES: u8 = 3;

/// A sound entry with other fields.
fn entry_with(fields: &str) -> String {
    let sound =
        r#""service": "s1", "zone": "hall-a", "version": "v1", "state": "ready", "sequence": 1"#;
    let defaults = [
        ("address", r#""127.0.0.1:9""#),
        ("slots", "4"),
        ("cold_left_ms", "0"),
    ];
    let defaults = defaults
        .iter()
        .filter(|(name, _)| !fields.contains(&format!("\"{name}\"")));
    let defaults: String = defaults
        .map(|(name, value)| format!(", \"{name}\": {value}"))
        .collect();
    format!("{{{sound}{defaults}, {fields}}}")
}

/// Values that no engine writes, and some that look sound with a number at the end of its range.
fn odd_values() -> Vec<String> {
    let deep =
        |open: &str, close: &str| format!("{}1{}", open.repeat(100_000), close.repeat(100_000));
    vec![
        deep("[", "]"),
        deep("{\"a\":", "}"),
        entry_with(&format!("\"more\": {}", deep("[", "]"))),
        "[".repeat(500_000),
        entry_with(r#""slots": 1e400"#),
        entry_with(&format!(r#""slots": {}"#, "9".repeat(60_000))),
        entry_with(r#""slots": 4294967296"#),
        entry_with(r#""address": "127.0.0.1:65536""#),
        entry_with(r#""address": "127.0.0.1:-1""#),
        entry_with(r#""address": "127.0.0.1:99999999999999999999""#),
        entry_with(r#""address": "[::1%eth0]:9""#),
        entry_with(&format!(r#""more": "{}""#, "x".repeat(60_000))),
        entry_with(r#""address": "0.0.0.0:0""#),
        entry_with(r#""slots": 4294967295"#),
        entry_with(r#""cold_left_ms": 1e308"#),
        entry_with(r#""born": 18446744073709551615"#),
        entry_with(r#""born": 0, "cold_left_ms": 1e-320"#),
        entry_with(r#""sequence": 18446744073709551616"#),
        "\u{0}".repeat(60_000),
        String::new(),
    ]
}

/// Lists one more engine, and waits until all entries know it.
async fn check_followed(site: &mut Site, what: &str) {
    let id = format!("i-new-{}", site.engines.len());
    let engine = Engine::start(&id).await.unwrap();
    site.store.list(&engine, "s1", "ready");
    site.engines.push(engine);
    for entry in 0..site.entries.len() {
        let is_known = || async {
            let state = site.state(entry).await;
            let endpoints = state["endpoints"].as_array().cloned().unwrap_or_default();
            endpoints.iter().any(|endpoint| endpoint["id"] == json!(id))
        };
        wait_for("the entry lists the new endpoint", is_known).await;
        let callers = site.entries[entry].addr("callers");
        for n in 0..5 {
            let id = format!("{what}-{entry}-{n}-{id}");
            let answer = exchange(callers, &request("/safe/ok", &id, "k1")).await;
            assert_eq!(answer.status, 200, "{what}, entry {entry}: {answer:?}");
        }
        assert!(site.entries[entry].is_running(), "{what}, entry {entry}");
    }
}

/// The entries appear one after the other while all follow the list, and all stand when every entry starts.
#[actix_rt::test]
async fn followed_and_listed() {
    let mut site = Site::with_entries(ENTRIES, 4).await;
    for (n, value) in odd_values().iter().enumerate() {
        site.store.put_text(&format!("servers/odd-{n}"), value);
        check_followed(&mut site, &format!("value {n}")).await;
    }
    site.entries.clear();
    site.add_entries(ENTRIES).await;
    check_followed(&mut site, "all values").await;
}
