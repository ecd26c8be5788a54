//! Data residency: regions outside of which the requests of a route or a team don't run.
//!
//! Both bind where both are told. An endpoint in a zone whose region is not known is outside of all.

use std::collections::BTreeMap;

use crate::direct::catalog::{Route, Team};

/// Whether an endpoint in an availability zone may run requests of a route and a team; `regions` names the region
/// of each zone.
pub fn allows(
    route: &Route,
    team: Option<&Team>,
    zone: &str,
    regions: &BTreeMap<String, String>,
) -> bool {
    let of_team = team.map_or(&[][..], |team| &team.regions[..]);
    let is_within = |allowed: &[String]| {
        allowed.is_empty()
            || regions
                .get(zone)
                .is_some_and(|region| allowed.contains(region))
    };
    is_within(&route.regions) && is_within(of_team)
}
