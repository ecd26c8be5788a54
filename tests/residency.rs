//! Requests whose route or team is restricted to regions run at no endpoint elsewhere.

mod common;

use std::collections::BTreeMap;

use common::{catalog, route};
use violetline::direct::catalog::{Route, Team};
use violetline::direct::residency::allows;
use violetline::ids::TeamKey;

fn regions() -> BTreeMap<String, String> {
    let zones = [("hall-a", "akl"), ("hall-b", "akl"), ("caxias", "sul-br")];
    zones
        .map(|(zone, region)| (zone.into(), region.into()))
        .into()
}

fn bound_route(regions: &[&str]) -> Route {
    Route {
        regions: regions.iter().map(|r| (*r).to_owned()).collect(),
        ..route("r", "/r/")
    }
}

fn bound_team(regions: &[&str]) -> Team {
    Team {
        regions: regions.iter().map(|r| (*r).to_owned()).collect(),
        ..catalog(1, Vec::new()).teams[TeamKey(0)].clone()
    }
}

/// Zones in which a request may run.
fn allowed(route: &Route, team: Option<&Team>) -> Vec<&'static str> {
    let zones = ["hall-a", "hall-b", "caxias", "elsewhere"];
    let allows = |zone: &&str| allows(route, team, zone, &regions());
    zones.into_iter().filter(allows).collect()
}

#[test]
fn no_restriction() {
    let all = ["hall-a", "hall-b", "caxias", "elsewhere"];
    assert_eq!(allowed(&bound_route(&[]), Some(&bound_team(&[]))), all);
    assert_eq!(allowed(&bound_route(&[]), None), all);
}

#[test]
fn route_binds() {
    let route = bound_route(&["sul-br"]);
    assert_eq!(allowed(&route, None), ["caxias"]);
    assert_eq!(allowed(&route, Some(&bound_team(&[]))), ["caxias"]);
}

#[test]
fn team_binds() {
    let team = bound_team(&["akl"]);
    assert_eq!(
        allowed(&bound_route(&[]), Some(&team)),
        ["hall-a", "hall-b"]
    );
}

#[test]
fn both_bind() {
    let team = bound_team(&["akl", "sul-br"]);
    assert_eq!(allowed(&bound_route(&["sul-br"]), Some(&team)), ["caxias"]);
    let team = bound_team(&["akl"]);
    assert!(allowed(&bound_route(&["sul-br"]), Some(&team)).is_empty());
}
