//! What a request is allowed: its route and team under the configuration in force, and whether
//! that is known to be fresh enough to say so.

use crate::clock::Millis;
use crate::direct::catalog::{Catalog, RouteKey};
use crate::direct::dialect::ParsedRequest;
use crate::direct::freshness::Freshness;
use crate::ids::TeamKey;

/// What this process knows, with its age.
#[derive(Debug, Clone, Copy)]
pub struct CatalogState<'a> {
    /// The configuration in force; `None` before the first one.
    pub catalog: Option<&'a Catalog>,
    /// When it was last proven to be the newest.
    pub freshness: &'a Freshness,
    /// Age of that proof up to which requests with a key may run; `None` for any.
    pub max_key_proof_age: Option<Millis>,
}

/// A request that may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowed {
    /// Its route.
    pub route: RouteKey,
    /// Its team; `None` on public routes and where there are no teams.
    pub team: Option<TeamKey>,
}

/// Why a request may not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Denied {
    /// No configuration has been read yet.
    NoCatalog,
    /// The configuration may be older than a request with a key allows.
    StaleCatalog,
    /// No route for this host and path.
    NoRoute,
    /// No key, or one that no team holds.
    NoKey,
}

/// Finds the route and team of a request.
///
/// A denial is only told when the configuration is fresh; otherwise it may be a newer one that
/// allows the request.
pub fn resolve(
    knowledge: CatalogState<'_>,
    ask: &ParsedRequest,
    now: Millis,
) -> Result<Allowed, Denied> {
    let catalog = knowledge.catalog.ok_or(Denied::NoCatalog)?;
    let fresh = knowledge
        .max_key_proof_age
        .is_none_or(|bound| knowledge.freshness.is_younger_than(now, bound));
    let Some(route) = catalog.route(&ask.host, &ask.path) else {
        return Err(when_fresh(fresh, Denied::NoRoute));
    };
    if catalog.routes[route.0].public || catalog.teams.is_empty() {
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

fn when_fresh(fresh: bool, denied: Denied) -> Denied {
    if fresh {
        denied
    } else {
        Denied::StaleCatalog
    }
}
