//! Items of the store written by other programs: a malformed one names no endpoint, and the others
//! remain readable.

mod common;

use actix_http::StatusCode;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use common::{entry, listed, store_answer};
use serde_json::{json, Value};
use violetline::direct::dialect::{Dialect, StoreUpdate, UnreadableEntry, WatchResult};
use violetline::direct::directory::{Change, Revision};
use violetline::platform::Platform;

fn valid_endpoint() -> Value {
    json!({"service": "s1", "address": "10.128.0.9:8080", "zone": "hall-a", "version": "v1",
           "slots": 64, "state": "ready", "cold_left_ms": 12.5, "sequence": 4,
           "born": 1_765_000_000_000_u64})
}

fn item(key: &str, text: &str, revision: u64) -> Value {
    json!({"key": key, "value": STANDARD.encode(text), "revision": revision,
           "create_rev": 1, "lease": 0})
}

/// Items that name no endpoint: each field missing or of another type, unknown states, other bytes.
fn malformed_endpoints() -> Vec<String> {
    let mut all = Vec::new();
    let fields = ["service", "address", "zone", "version", "slots", "state"];
    for field in fields.into_iter().chain(["cold_left_ms", "sequence"]) {
        let mut missing = valid_endpoint();
        missing.as_object_mut().unwrap().remove(field);
        all.push(missing.to_string());
        for other in [json!(null), json!([1]), json!({"a": 1}), json!(true)] {
            let mut changed = valid_endpoint();
            changed[field] = other;
            all.push(changed.to_string());
        }
    }
    let changes = [
        ("state", json!("asleep")),
        ("slots", json!(0)),
        ("slots", json!(-4)),
        ("address", json!("hall-a")),
        ("cold_left_ms", json!(-1)),
        ("sequence", json!(1.5)),
        ("born", json!("2026-12-02")),
        ("born", json!(1.5)),
        ("born", json!(null)),
        ("born", json!(-3)),
    ];
    for (field, other) in changes {
        let mut changed = valid_endpoint();
        changed[field] = other;
        all.push(changed.to_string());
    }
    all.extend(["", "null", "[]", "{", "\u{0}\u{1}"].map(String::from));
    all
}

fn page(items: &[Value]) -> violetline::direct::dialect::Page {
    let body = json!({"items": items, "has_more": false, "current_rev": 99});
    let body = body.to_string();
    Platform
        .parse_page(&store_answer(StatusCode::OK, &body))
        .unwrap()
}

#[test]
fn malformed_item_skipped() {
    for text in malformed_endpoints() {
        let items = [
            item("servers/a", &valid_endpoint().to_string(), 1),
            item("servers/b", &text, 2),
            item("servers/c", &valid_endpoint().to_string(), 3),
        ];
        let page = page(&items);
        let ids: Vec<&str> = page.listing.endpoints.iter().map(|l| &*l.id).collect();
        assert_eq!(ids, ["a", "c"], "{text}");
        assert_eq!(page.unreadable.len(), 1, "{text}");
    }
}

#[test]
fn valid_item_read() {
    let page = page(&[item("servers/a", &valid_endpoint().to_string(), 1)]);
    assert_eq!(page.listing.endpoints[0].born, Some(1_765_000_000_000));
    let mut without = valid_endpoint();
    without.as_object_mut().unwrap().remove("born");
    let page = self::page(&[item("servers/a", &without.to_string(), 1)]);
    assert_eq!(page.listing.endpoints[0].born, None);
}

/// Bytes that are not base64 name no endpoint either; keys of other kinds are skipped.
#[test]
fn other_bytes() {
    let mut items = vec![item("servers/a", &valid_endpoint().to_string(), 1)];
    items.push(json!({"key": "servers/b", "value": "%%%", "revision": 2}));
    items.push(
        json!({"key": "servers/", "value": STANDARD.encode(valid_endpoint().to_string()), "revision": 3}),
    );
    items.push(json!({"key": "servers/c", "value": STANDARD.encode([0xff, 0xfe]), "revision": 4}));
    items.push(item("elsewhere/d", &valid_endpoint().to_string(), 5));
    items.push(item("op/evacuate/hall-b", "not json", 6));
    let page = page(&items);
    assert_eq!(page.listing.endpoints.len(), 1);
    assert_eq!(page.unreadable.len(), 3);
    assert_eq!(page.listing.cordons[0].zone, "hall-b");
}

/// If a malformed item replaces a good one, its endpoint is removed.
#[test]
fn malformed_endpoint_removed() {
    let event = item("servers/a", "{}", 8);
    let body = json!({"events": [event], "current_rev": 8}).to_string();
    let watched = Platform.parse_watch(&store_answer(StatusCode::OK, &body));
    let Ok(WatchResult::Changes(changes, Revision { number: 8, .. })) = watched else {
        panic!("changes up to 8");
    };
    let removed = Change::Removed {
        id: "a".into(),
        revision: 8.into(),
    };
    assert!(
        matches!(&changes[0], StoreUpdate::UnreadableEntry(_, Some(change)) if *change == removed)
    );
}

#[test]
fn counted_and_logged() {
    let (_, entry) = entry();
    entry.apply_listing(vec![listed("a", 1)], 1.into());
    for n in 0..3_000 {
        for _ in 0..2 {
            entry.report_unreadable(UnreadableEntry {
                key: format!("servers/{n}"),
                why: "unknown state".into(),
            });
        }
    }
    assert_eq!(entry.directory().iter().count(), 1);
    let text = entry.metrics.text();
    let count = text
        .lines()
        .find(|l| l.starts_with("direct_unreadable_entries"));
    assert!(count.unwrap().ends_with(" 6000"), "{count:?}");
}

/// Whatever is written, reading it never panics, and an item names an endpoint only if every field
/// has its type.
#[test]
fn any_entry() {
    arbtest::arbtest(|u| {
        let text: String = u.arbitrary()?;
        let key: String = u.arbitrary()?;
        let bytes: Vec<u8> = u.arbitrary()?;
        let items = [
            item(&format!("servers/{key}"), &text, 1),
            json!({"key": "servers/x", "value": STANDARD.encode(bytes), "revision": 2}),
            item("servers/good", &valid_endpoint().to_string(), 3),
        ];
        let page = page(&items);
        let ids: Vec<&str> = page.listing.endpoints.iter().map(|l| &*l.id).collect();
        assert_eq!(ids, ["good"]);
        Ok(())
    });
}

/// The last key of a page was sent as it stood: characters that end or change a query led to another page.
#[test]
fn page_start_escaped() {
    let query = |key: &str| Platform.page_query(Some(key)).uri.to_string();
    let start = "/violetline/kv-range?path_prefix=&since_rev=";
    let cases = [
        ("servers/i-7f3a91c2", "servers/i-7f3a91c2"),
        ("servers/a&since_rev=zz", "servers/a%26since_rev%3Dzz"),
        ("servers/a+b#c%41", "servers/a%2Bb%23c%2541"),
        ("servers/a b\"<\r\n", "servers/a%20b%22%3C%0D%0A"),
        ("servers/\u{e9}\u{0}", "servers/%C3%A9%00"),
    ];
    for (key, sent) in cases {
        assert_eq!(query(key), format!("{start}{sent}"));
    }
    let long = format!("servers/{}", "&".repeat(192));
    assert_eq!(
        query(&long),
        format!("{start}servers/{}", "%26".repeat(192))
    );
}

/// Such an entry was used like any other one, at an address that may be another endpoint's.
#[test]
fn odd_names_skipped() {
    let text = valid_endpoint().to_string();
    let names = [
        "a&b", "a+b", "a#b", "a%41", "a b", "a\"b", "a/b", "a\u{1}", "\u{e9}", "",
    ];
    let mut items = vec![item("servers/a-1.2_3~4:5", &text, 1)];
    items.extend(names.map(|name| item(&format!("servers/{name}"), &text, 2)));
    let page = page(&items);
    assert_eq!(page.listing.endpoints.len(), 1);
    assert_eq!(page.unreadable.len(), names.len());
}

/// A page that more follows, and that holds nothing, counted as the last: all endpoints after it left.
#[test]
fn empty_page_not_last() {
    let body = json!({"items": [], "has_more": true, "current_rev": 9}).to_string();
    let page = Platform.parse_page(&store_answer(StatusCode::OK, &body));
    assert!(page.is_err(), "{page:?}");
}
