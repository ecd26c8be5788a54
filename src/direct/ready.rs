//! What the balancer and operators ask: readiness, metrics, state, the configuration in force.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderName, HeaderValue, HOST};
use actix_http::{Method, Request, RequestHead, Response, StatusCode};
use tokio::net::TcpListener;

use crate::direct::entry::Entry;
use crate::listener;

/// Path of the metrics, as Prometheus text.
const METRICS_PATH: &str = "/metrics";
/// Path of the configuration's text, for peers.
const CATALOG_PATH: &str = "/v1/catalog";
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
        CATALOG_PATH if entry.version() > 0 => text(entry.catalog_text().to_vec()),
        STATE_PATH => text(state(entry).to_string().into_bytes()),
        _ => Response::new(StatusCode::NOT_FOUND).set_body(BoxBody::new(())),
    }
}

fn state(entry: &Entry) -> serde_json::Value {
    let now = entry.clock.now();
    let directory = entry.directory();
    let endpoints: Vec<serde_json::Value> = directory
        .iter()
        .map(|(_, e)| {
            serde_json::json!({
                "id": e.listed.id,
                "pool": e.listed.pool,
                "zone": e.listed.zone,
                "standing": format!("{:?}", e.standing),
            })
        })
        .collect();
    serde_json::json!({
        "catalog": entry.version(),
        "proof_age_ms": entry.proof_age().map(|age| age.0),
        "ready": entry.is_ready(),
        "entries": entry.peers.borrow().entries(now),
        "endpoints": endpoints,
    })
}

fn text(body: Vec<u8>) -> Response<BoxBody> {
    Response::ok().set_body(BoxBody::new(body))
}

/// Asks a peer for its configuration.
pub fn catalog_query() -> RequestHead {
    get(CATALOG_PATH)
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
