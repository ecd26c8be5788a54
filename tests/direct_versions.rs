//! Versions of the configuration as entries forward them: as patches, or in full.

mod common;

use std::rc::Rc;

use arbtest::arbitrary::Unstructured;
use bytes::Bytes;
use common::{entry, route};
use violetline::clock::Millis;
use violetline::direct::catalog::{CallerLimits, Catalog, CatalogParts, Pool, Route, Team, Teams};
use violetline::direct::entry::Entry;
use violetline::direct::patch::Patch;
use violetline::direct::versions::{self, EncodedPatch, VersionLog, VersionUpdate};

/// Number of routes of the large configurations.
const MANY_ROUTES: usize = 10_000;

fn numbered_route(i: usize) -> Route {
    let name = format!("r-{i}");
    route(&name, &format!("/{name}/"))
}

fn team(i: usize) -> Team {
    Team {
        name: format!("team-{i}"),
        keys: vec![format!("key-{i}")],
        priority: None,
        regions: Vec::new(),
    }
}

fn numbered_catalog(version: u64, routes: usize, teams: usize) -> Catalog {
    let routes = (0..routes).map(numbered_route).collect();
    let teams = (0..teams).map(team).collect();
    let teams = Teams::Listed(teams);
    Catalog::new(version, routes, Vec::new(), teams, CallerLimits::default())
}

fn boxed(catalog: &Catalog) -> Box<Catalog> {
    Box::new(Catalog::from(catalog.parts()))
}

/// The parts of a catalog, with their lists sorted by name.
fn sorted(catalog: &Catalog) -> CatalogParts {
    let mut parts = catalog.parts();
    parts.routes.sort_by(|a, b| a.name.cmp(&b.name));
    parts.pools.sort_by(|a, b| a.name.cmp(&b.name));
    parts.teams.sort_by(|a, b| a.name.cmp(&b.name));
    parts
}

/// Sends what `from` has to `to`; returns the bytes that it took.
fn forward(from: &Rc<Entry>, to: &Rc<Entry>) -> usize {
    let update = from.catalog_since(to.version()).unwrap();
    let newer = versions::decode(&update).unwrap();
    assert!(to.apply_newer_catalog(newer, "a peer"));
    update.len()
}

#[test]
fn size_of_change() {
    let (_, first) = entry();
    let (_, second) = entry();
    first.apply_catalog(boxed(&numbered_catalog(1, MANY_ROUTES, 24)), "store");
    let whole = forward(&first, &second);
    let mut changed = numbered_catalog(2, MANY_ROUTES, 24).parts();
    changed.teams[3].keys = vec!["key-new".into()];
    first.apply_catalog(Box::new(Catalog::from(changed)), "store");
    let patch = forward(&first, &second);
    assert!(patch < 512, "{patch} bytes for one key");
    assert!(whole > 50 * patch, "{whole} bytes for all");
    let catalog = second.catalog().unwrap();
    assert!(catalog.team("key-new").is_some() && catalog.team("key-3").is_none());
    assert_eq!(catalog.parts(), first.catalog().unwrap().parts());
}

#[test]
fn forwarded_again() {
    let entries: Vec<Rc<Entry>> = (0..3).map(|_| entry().1).collect();
    entries[0].apply_catalog(boxed(&numbered_catalog(1, 50, 2)), "store");
    forward(&entries[0], &entries[1]);
    forward(&entries[0], &entries[2]);
    for version in 2..6 {
        let next = boxed(&numbered_catalog(version, 50 * version as usize, 2));
        entries[0].apply_catalog(next, "store");
        forward(&entries[0], &entries[1]);
    }
    // Four patches at once, from an entry that has them from a peer itself.
    let update = entries[1].catalog_since(1).unwrap();
    let Some(VersionUpdate::Patches(patches, _)) = versions::decode(&update) else {
        panic!("patches");
    };
    assert_eq!(patches.len(), 4);
    forward(&entries[1], &entries[2]);
    let catalog = entries[2].catalog().unwrap();
    assert_eq!(catalog.version, 5);
    assert_eq!(catalog.parts(), entries[0].catalog().unwrap().parts());
}

/// An entry that has advanced meanwhile applies the rest of the patches, and nothing older.
#[test]
fn overtaken() {
    let (_, first) = entry();
    let (_, second) = entry();
    for entry in [&first, &second] {
        entry.apply_catalog(boxed(&numbered_catalog(1, 10, 1)), "store");
    }
    first.apply_catalog(boxed(&numbered_catalog(2, 20, 1)), "store");
    first.apply_catalog(boxed(&numbered_catalog(3, 30, 1)), "store");
    let late = first.catalog_since(1).unwrap();
    second.apply_catalog(boxed(&numbered_catalog(2, 20, 1)), "store");
    assert!(second.apply_newer_catalog(versions::decode(&late).unwrap(), "a peer"));
    assert_eq!(second.version(), 3);
    assert!(!second.apply_newer_catalog(versions::decode(&late).unwrap(), "a peer"));
    assert_eq!(second.version(), 3);
}

#[test]
fn gap_sends_all() {
    let (_, first) = entry();
    first.apply_catalog(boxed(&numbered_catalog(4, 10, 1)), "store");
    first.apply_catalog(boxed(&numbered_catalog(6, 20, 1)), "store");
    for version in [0, 2, 5] {
        let update = first.catalog_since(version).unwrap();
        assert!(matches!(
            versions::decode(&update),
            Some(VersionUpdate::Full(catalog)) if catalog.version == 6 && catalog.routes.len() == 20
        ));
    }
}

#[test]
fn ambiguous_names_unpatched() {
    let old = numbered_catalog(1, 3, 1);
    let same_name = vec![route("a", "/a/"), route("a", "/b/")];
    let same_prefix = vec![route("a", "/a/"), route("b", "/a/")];
    for routes in [same_name, same_prefix] {
        let new = Catalog::new(
            2,
            routes,
            Vec::new(),
            Teams::default(),
            CallerLimits::default(),
        );
        assert_eq!(Patch::between(&old, &new), None);
    }
    let one_key = |i: usize| Team {
        keys: vec!["key".into()],
        ..team(i)
    };
    let teams = vec![one_key(1), one_key(2)];
    let new = Catalog::new(
        2,
        Vec::new(),
        Vec::new(),
        Teams::Listed(teams),
        CallerLimits::default(),
    );
    assert_eq!(Patch::between(&old, &new), None);
}

#[test]
fn kept_bounded() {
    let mut log = VersionLog::default();
    for version in 0..8 {
        log.advance(vec![EncodedPatch {
            base: version,
            version: version + 1,
            payload: Bytes::from(vec![0; 200 << 10]),
        }]);
    }
    let catalog = numbered_catalog(8, 1, 1);
    let body = |version| log.since(version, &catalog).unwrap().len();
    assert!(body(6) > 400 << 10, "the newest two are kept");
    assert!(body(5) < 1 << 10, "older ones are not");
}

/// A random configuration with few names, so that versions share some.
fn random_catalog(u: &mut Unstructured<'_>, version: u64) -> arbtest::arbitrary::Result<Catalog> {
    let mut routes = Vec::new();
    let mut pools = Vec::new();
    let mut teams = Vec::new();
    for i in 0..6 {
        if u.arbitrary()? {
            let mut route = numbered_route(i);
            route.timeout = Millis(u.int_in_range(1..=3)?);
            routes.push(route);
        }
        if u.arbitrary()? {
            pools.push(Pool {
                warm_up: None,
                name: format!("pool-{i}"),
                max_connections: u.int_in_range(1..=3)?,
                engine: None,
            });
        }
        if u.arbitrary()? {
            teams.push(Team {
                priority: Some(u.int_in_range(0..=2)?),
                ..team(i)
            });
        }
    }
    let limits = CallerLimits {
        body_bytes: u.int_in_range(1..=2)?,
        ..CallerLimits::default()
    };
    let teams = match u.arbitrary()? {
        true => Teams::Listed(teams),
        false => Teams::Unrestricted,
    };
    Ok(Catalog::new(version, routes, pools, teams, limits))
}

#[test]
fn any_versions() {
    arbtest::arbtest(|u| {
        let first = random_catalog(u, 1)?;
        let second = random_catalog(u, 2)?;
        let third = random_catalog(u, 3)?;
        let patches = [
            Patch::between(&first, &second).unwrap(),
            Patch::between(&second, &third).unwrap(),
        ];
        let made = Patch::apply_all(&patches, &first).unwrap();
        assert_eq!(sorted(&made), sorted(&third));
        assert_eq!(made.teams.listed().len(), third.teams.listed().len());
        let is_open = |catalog: &Catalog| catalog.teams == Teams::Unrestricted;
        assert_eq!(is_open(&made), is_open(&third));
        assert_eq!(made.is_ambiguous(), third.is_ambiguous());
        for i in 0..6 {
            let path = format!("/r-{i}/x");
            let name = |c: &Catalog| {
                c.route("host.example", &path)
                    .map(|k| c.routes[k.0].name.clone())
            };
            assert_eq!(name(&made), name(&third));
        }
        assert!(Patch::apply_all(&patches[1..], &first).is_none());
        Ok(())
    });
}

/// A list whose last team was removed was taken for one that lets anyone in.
#[test]
fn no_team_left() {
    let steps = [
        Teams::Listed(vec![team(0)]),
        Teams::default(),
        Teams::Unrestricted,
        Teams::default(),
    ];
    let (_, first) = entry();
    let (_, follower) = entry();
    for (version, teams) in (1..).zip(steps) {
        let limits = CallerLimits::default();
        let catalog = Catalog::new(version, vec![numbered_route(0)], Vec::new(), teams, limits);
        first.apply_catalog(Box::new(catalog), "store");
        forward(&first, &follower);
        let (_, fresh) = entry();
        forward(&first, &fresh);
        let in_force = first.catalog().unwrap();
        for other in [follower.catalog().unwrap(), fresh.catalog().unwrap()] {
            assert_eq!(other.teams, in_force.teams, "version {version}");
        }
    }
}

/// Decoding never panics, whatever a peer sends.
#[test]
fn any_bytes() {
    arbtest::arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let _ = versions::decode(&bytes);
        Ok(())
    });
}
