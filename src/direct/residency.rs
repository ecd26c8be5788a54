//! Data residency: restricts the requests of a route or a team to endpoints in certain regions.
//!
//! If both the route and the team name regions, an endpoint must satisfy both. An endpoint in a
//! zone of unknown region satisfies no restriction.

use std::collections::BTreeMap;

use crate::direct::catalog::{Route, Team};

/// Whether an endpoint in availability zone `zone` may run requests of a route and a team;
/// `regions` maps each zone to its region.
pub fn allows(
    route: &Route,
    team: Option<&Team>,
    zone: &str,
    regions: &BTreeMap<String, String>,
) -> bool {
    let team_regions = team.map_or(&[][..], |team| &team.regions[..]);
    let is_within = |allowed_regions: &[String]| {
        allowed_regions.is_empty()
            || regions
                .get(zone)
                .is_some_and(|region| allowed_regions.contains(region))
    };
    is_within(&route.regions) && is_within(team_regions)
}
