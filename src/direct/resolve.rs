//! Authorization of a request: finds its route and team in the configuration in force, and checks
//! that this configuration is known to be recent enough for the answer.

use crate::clock::Millis;
use crate::direct::catalog::{Catalog, RouteKey, Teams};
use crate::direct::dialect::ParsedRequest;
use crate::direct::freshness::Freshness;
use crate::ids::TeamKey;

/// The configuration that this process has, with the age of the proof that it is the newest.
#[derive(Debug, Clone, Copy)]
pub struct CatalogState<'a> {
    /// Configuration in force; `None` before the first one was read.
    pub catalog: Option<&'a Catalog>,
    /// When it was last proven to be the newest.
    pub freshness: &'a Freshness,
    /// Age that the proof must be below for requests with a key to run; `None` if any age is
    /// accepted.
    pub max_key_proof_age: Option<Millis>,
}

/// A request that may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowed {
    /// Its route.
    pub route: RouteKey,
    /// Its team; `None` for public routes and where requests need no key.
    pub team: Option<TeamKey>,
}

/// Why a request may not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Denied {
    /// No configuration has been read yet.
    NoCatalog,
    /// The configuration may be too old for this decision.
    StaleCatalog,
    /// No route matches the host and path.
    NoRoute,
    /// The request has no key, or one that belongs to no team.
    NoKey,
}

/// Finds the route and team of a request.
///
/// Returns an error if there is no configuration, no route matches, or the route needs a key that
/// is missing or unknown. Such a denial is returned only while the configuration is proven to be
/// recent; otherwise a newer one may allow the request, and the error is `StaleCatalog`. Requests
/// for public routes run with a configuration of any age, and so do requests without a key where
/// the configuration names no teams.
pub fn resolve(
    state: CatalogState<'_>,
    ask: &ParsedRequest,
    now: Millis,
) -> Result<Allowed, Denied> {
    let catalog = state.catalog.ok_or(Denied::NoCatalog)?;
    let fresh = state
        .max_key_proof_age
        .is_none_or(|max_age| state.freshness.is_younger_than(now, max_age));
    let Some(route) = catalog.route(&ask.host, &ask.path) else {
        return Err(unless_stale(fresh, Denied::NoRoute));
    };
    let needs_no_key = match catalog.teams {
        _ if catalog.routes[route.0].public => true,
        // A newer configuration may have given out the key and taken it away.
        Teams::Unrestricted => fresh || ask.key.is_none(),
        Teams::Listed(_) => false,
    };
    if needs_no_key {
        return Ok(Allowed { route, team: None });
    }
    if !fresh {
        return Err(Denied::StaleCatalog);
    }
    let team = ask.key.as_deref().and_then(|key| catalog.team(key));
    match team {
        Some(team) => Ok(Allowed {
            route,
            team: Some(team),
        }),
        None => Err(Denied::NoKey),
    }
}

/// The given denial if the configuration is recent, otherwise `StaleCatalog`.
fn unless_stale(fresh: bool, denied: Denied) -> Denied {
    if fresh {
        denied
    } else {
        Denied::StaleCatalog
    }
}
