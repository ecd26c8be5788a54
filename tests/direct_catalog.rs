//! Lookups in the catalog of a direct entry.

mod common;

use common::{catalog, events_route, route};
use violetline::clock::Millis;

#[test]
fn longest_prefix() {
    let long = route("long", "/a/b/");
    let short = route("short", "/a/");
    let catalog = catalog(1, vec![short, long]);
    let name = |path| {
        let key = catalog.route("host.example", path)?;
        Some(catalog.routes[key.0].name.clone())
    };
    assert_eq!(name("/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("/a/c").as_deref(), Some("short"));
    assert_eq!(name("/a"), None);
    assert_eq!(name("/ab/c"), None);
    assert!(catalog.route("other.example", "/a/b").is_none());
}

#[test]
fn team_of_key() {
    let catalog = catalog(1, Vec::new());
    let team = catalog.team("key-2").unwrap();
    assert_eq!(catalog.teams[team].name, "beam-ops");
    assert!(catalog.team("key-3").is_none());
}

#[test]
fn stream_pause_sensitivity() {
    let tight = events_route("tight", "/t/", Millis(250));
    let loose = events_route("loose", "/l/", Millis(1_000));
    let whole = route("whole", "/w/");
    let catalog = catalog(1, vec![tight, loose, whole]);
    let pause_sensitivity = |i: usize| catalog.pause_sensitivity(&catalog.routes[i], "pool");
    assert_eq!(pause_sensitivity(0), 100);
    assert_eq!(pause_sensitivity(1), 6);
    assert_eq!(pause_sensitivity(2), 0);
    assert_eq!(catalog.shortest_pause("pool"), Millis(250));
    assert_eq!(catalog.shortest_pause("other"), Millis(0));
}
