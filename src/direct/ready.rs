//! What the balancer and operators ask: readiness, metrics, state, the configuration in force.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderName, HeaderValue, HOST};
use actix_http::{Method, Request, RequestHead, Response, StatusCode};
use tokio::net::TcpListener;

use crate::direct::changes;
use crate::direct::directory::Revision;
use crate::direct::entry::Entry;
use crate::listener;
use crate::rate::Rate;

/// Path of the metrics, as Prometheus text.
const METRICS_PATH: &str = "/metrics";
/// Path of the configuration in force, as JSON.
const CATALOG_PATH: &str = "/v1/catalog";
/// Path of what makes it of a version, for peers; the version follows.
const NEWER_PATH: &str = "/v1/catalog/since/";
/// Path of the changes after a revision, for peers; the revision follows.
const CHANGES_PATH: &str = "/v1/changes/";
/// Path of the whole list of endpoints, for peers that the store turns away.
const LIST_PATH: &str = "/v1/list";
/// Path of the state that operators read.
const STATE_PATH: &str = "/v1/state";

/// Answers the balancer.
pub async fn answer_readiness(entry: Rc<Entry>, socket: Rc<TcpListener>) -> anyhow::Result<()> {
    listener::serve(socket, move |req: Request| {
        let known = req.path() == entry.dialect.readiness_path();
        let status = match (known, entry.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { Response::new(status) }
    })
    .await
}

/// Answers operators and peers.
pub async fn answer_admin(entry: Rc<Entry>, socket: Rc<TcpListener>) -> anyhow::Result<()> {
    listener::serve(socket, move |req: Request| {
        let answer = admin(&entry, req.path());
        async move { answer }
    })
    .await
}

fn admin(entry: &Entry, path: &str) -> Response<BoxBody> {
    match path {
        METRICS_PATH => text(entry.gauges.text().into_bytes()),
        CATALOG_PATH => catalog(entry),
        _ if path.starts_with(NEWER_PATH) => catalog_since(entry, &path[NEWER_PATH.len()..]),
        _ if path.starts_with(CHANGES_PATH) => changes_since(entry, &path[CHANGES_PATH.len()..]),
        LIST_PATH => changes::encode(&entry.whole_list()).map_or_else(not_found, text),
        STATE_PATH => text(state(entry).to_string().into_bytes()),
        _ => not_found(),
    }
}

fn catalog(entry: &Entry) -> Response<BoxBody> {
    let catalog = entry.catalog();
    let written = catalog.and_then(|catalog| serde_json::to_vec(&catalog.parts()).ok());
    written.map_or_else(not_found, text)
}

fn catalog_since(entry: &Entry, version: &str) -> Response<BoxBody> {
    let newer = version.parse().ok().and_then(|v| entry.catalog_since(v));
    newer.map_or_else(not_found, text)
}

fn changes_since(entry: &Entry, revision: &str) -> Response<BoxBody> {
    let passed = revision.parse().ok().and_then(|r| entry.changes_since(r));
    match passed.as_ref().and_then(changes::encode) {
        Some(bytes) => text(bytes),
        None => not_found(),
    }
}

fn not_found() -> Response<BoxBody> {
    Response::new(StatusCode::NOT_FOUND).set_body(BoxBody::new(()))
}

fn state(entry: &Entry) -> serde_json::Value {
    let now = entry.clock.now();
    let directory = entry.directory();
    let endpoints: Vec<serde_json::Value> = directory
        .iter()
        .map(|(key, e)| {
            serde_json::json!({
                "id": e.listed.id,
                "pool": e.listed.pool,
                "zone": e.listed.zone,
                "standing": format!("{:?}", e.status),
                "announced": e.announced.decline_reason(now),
                "limit_per_s": entry.limit(key).map(Rate::per_s),
            })
        })
        .collect();
    serde_json::json!({
        "catalog": entry.version(),
        "watches": entry.is_watching(),
        "proof_age_ms": entry.proof_age().map(|age| age.0),
        "ready": entry.is_ready(),
        "entries": entry.peers.borrow().entries(now),
        "endpoints": endpoints,
    })
}

fn text(body: Vec<u8>) -> Response<BoxBody> {
    Response::ok().set_body(BoxBody::new(body))
}

/// Asks a peer for what makes its configuration of a version.
pub fn catalog_since_query(version: u64) -> RequestHead {
    get(&format!("{NEWER_PATH}{version}"))
}

/// Asks a peer for its whole list of endpoints.
pub fn list_query() -> RequestHead {
    get(LIST_PATH)
}

/// Asks a peer for the changes after a revision.
pub fn changes_query(revision: Revision) -> RequestHead {
    get(&format!("{CHANGES_PATH}{revision}"))
}

/// The head of a GET request without further headers.
pub fn get(path: &str) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = Method::GET;
    match path.parse() {
        Ok(uri) => head.uri = uri,
        Err(err) => tracing::error!(%err, path, "not a path"),
    }
    let host: HeaderName = HOST;
    head.headers
        .insert(host, HeaderValue::from_static("violetline"));
    head
}
