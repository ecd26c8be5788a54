//! Authorization of requests, and when a denial may be returned.

mod common;

use actix_http::header::HeaderValue;
use common::{catalog, route};
use violetline::clock::Millis;
use violetline::direct::catalog::{Catalog, Route, Teams};
use violetline::direct::dialect::ParsedRequest;
use violetline::direct::freshness::Freshness;
use violetline::direct::resolve::{resolve, Allowed, CatalogState, Denied};

const BOUND: Millis = Millis(4_750);

fn ask(path: &str, key: Option<&str>) -> ParsedRequest {
    ParsedRequest {
        id: HeaderValue::from_static("1"),
        caller_timeout: None,
        key: key.map(Into::into),
        host: "host.example".into(),
        path: path.into(),
        parts: Vec::new(),
        output_tokens: 0,
        last_event: None,
        resumes: None,
    }
}

fn routes() -> Catalog {
    let public = Route {
        public: true,
        ..route("public", "/p/")
    };
    catalog(3, vec![route("keyed", "/k/"), public])
}

/// The same routes with other teams.
fn with_teams(teams: Teams) -> Catalog {
    let Catalog { routes, limits, .. } = routes();
    Catalog::with_shared_routes(3, routes, Vec::new(), teams, limits)
}

fn resolve_at(proven: Option<u64>, now: u64, ask: &ParsedRequest) -> Result<Allowed, Denied> {
    resolve_in(routes(), proven, now, ask)
}

fn resolve_in(
    catalog: Catalog,
    proven: Option<u64>,
    now: u64,
    ask: &ParsedRequest,
) -> Result<Allowed, Denied> {
    let mut freshness = Freshness::default();
    if let Some(at) = proven {
        freshness.prove(Millis(at));
    }
    let knowledge = CatalogState {
        catalog: Some(&catalog),
        freshness: &freshness,
        max_key_proof_age: Some(BOUND),
    };
    resolve(knowledge, ask, Millis(now))
}

#[test]
fn key_allows() {
    let allowed = resolve_at(Some(0), 4_749, &ask("/k/x", Some("key-1"))).unwrap();
    assert!(allowed.team.is_some());
}

#[test]
fn stale_key_refused() {
    let asked = ask("/k/x", Some("key-1"));
    assert_eq!(
        resolve_at(Some(0), 4_750, &asked),
        Err(Denied::StaleCatalog)
    );
    assert_eq!(resolve_at(None, 10, &asked), Err(Denied::StaleCatalog));
}

#[test]
fn stale_public_allowed() {
    assert!(resolve_at(Some(0), 60_000, &ask("/p/x", None)).is_ok());
}

#[test]
fn denial_needs_proof() {
    let unknown = ask("/k/x", Some("nobody"));
    let nowhere = ask("/none/", Some("key-1"));
    assert_eq!(resolve_at(Some(0), 10, &unknown), Err(Denied::NoKey));
    assert_eq!(resolve_at(Some(0), 10, &nowhere), Err(Denied::NoRoute));
    assert_eq!(
        resolve_at(Some(0), 9_000, &unknown),
        Err(Denied::StaleCatalog)
    );
    assert_eq!(
        resolve_at(Some(0), 9_000, &nowhere),
        Err(Denied::StaleCatalog)
    );
    assert_eq!(
        resolve_at(Some(0), 10, &ask("/k/x", None)),
        Err(Denied::NoKey)
    );
}

/// Once the last team was removed, requests ran with any key, and without one.
#[test]
fn last_team_removed() {
    for key in [Some("key-1"), Some("nobody"), None] {
        let nobody = with_teams(Teams::default());
        let asked = ask("/k/x", key);
        let allowed = resolve_in(nobody.clone(), Some(0), 10, &asked);
        assert_eq!(allowed, Err(Denied::NoKey), "{key:?}");
        let allowed = resolve_in(nobody.clone(), Some(0), 9_000, &asked);
        assert_eq!(allowed, Err(Denied::StaleCatalog), "{key:?}");
        assert!(resolve_in(nobody, Some(0), 9_000, &ask("/p/x", key)).is_ok());
    }
}

/// Without teams no request needs a key. One that has a key waits for a proof all the same, since
/// teams may have been added, and the key removed, since then.
#[test]
fn no_teams_configured() {
    for (key, is_stale, is_allowed) in [
        (None, false, true),
        (None, true, true),
        (Some("key-1"), false, true),
        (Some("key-1"), true, false),
    ] {
        let open = with_teams(Teams::Unrestricted);
        let now = if is_stale { 9_000 } else { 10 };
        let allowed = resolve_in(open, Some(0), now, &ask("/k/x", key));
        assert_eq!(allowed.is_ok(), is_allowed, "{key:?}, stale {is_stale}");
    }
}

#[test]
fn before_first_catalog() {
    let knowledge = CatalogState {
        catalog: None,
        freshness: &Freshness::default(),
        max_key_proof_age: None,
    };
    let denied = resolve(knowledge, &ask("/k/x", None), Millis(0));
    assert_eq!(denied, Err(Denied::NoCatalog));
}
