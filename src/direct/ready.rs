//! The HTTP interface for the load balancer, operators and peers: readiness, metrics, state, and
//! what peers fetch of the configuration and the list of endpoints.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::{HeaderName, HeaderValue, HOST};
use actix_http::{Method, Request, RequestHead, Response, StatusCode};
use tokio::net::TcpListener;

use crate::direct::changes;
use crate::direct::directory::{Era, Revision};
use crate::direct::entry::Entry;
use crate::listener;
use crate::rate::Rate;

/// Path of the metrics, in the Prometheus text format.
const METRICS_PATH: &str = "/metrics";
/// Path of the configuration in force, as JSON.
const CATALOG_PATH: &str = "/v1/catalog";
/// Path of the update from a version of the configuration to the one in force, for peers; the
/// version follows.
const CATALOG_SINCE_PATH: &str = "/v1/catalog/since/";
/// Path of the changes of the list of endpoints after a revision, for peers; the era, or `-` for
/// none, and the number of the revision follow.
const CHANGES_PATH: &str = "/v2/changes/";
/// Path of the whole list of endpoints, for peers that can't read it from the store.
const LIST_PATH: &str = "/v2/list";
/// The same for peers of earlier builds, which know no eras; the number of the revision follows,
/// which is taken for one of the present era.
const CHANGES_WITHOUT_ERAS_PATH: &str = "/v1/changes/";
/// The whole list for peers of earlier builds.
const LIST_WITHOUT_ERAS_PATH: &str = "/v1/list";
/// Stands for the era of a revision that names none.
const NO_ERA: &str = "-";
/// Path of the process's state for operators, as JSON.
const STATE_PATH: &str = "/v1/state";

/// Answers the load balancer's readiness checks with 200 or 503.
pub async fn answer_readiness(entry: Rc<Entry>, socket: Rc<TcpListener>) -> anyhow::Result<()> {
    listener::serve(socket, move |req: Request| {
        let is_readiness_path = req.path() == entry.dialect.readiness_path();
        let status = match (is_readiness_path, entry.is_ready()) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { Response::new(status) }
    })
    .await
}

/// Answers requests of operators and peers.
pub async fn answer_admin(entry: Rc<Entry>, socket: Rc<TcpListener>) -> anyhow::Result<()> {
    listener::serve(socket, move |req: Request| {
        let answer = admin(&entry, req.path());
        async move { answer }
    })
    .await
}

fn admin(entry: &Entry, path: &str) -> Response<BoxBody> {
    match path {
        METRICS_PATH => ok_response(entry.metrics.text().into_bytes()),
        CATALOG_PATH => catalog(entry),
        _ if path.starts_with(CATALOG_SINCE_PATH) => {
            catalog_since(entry, &path[CATALOG_SINCE_PATH.len()..])
        }
        _ if path.starts_with(CHANGES_PATH) => {
            let since = parse_revision(&path[CHANGES_PATH.len()..]);
            let found = since.and_then(|since| entry.changes_since(since));
            found_response(found.as_ref().and_then(changes::encode))
        }
        LIST_PATH => found_response(changes::encode(&entry.whole_list())),
        _ if path.starts_with(CHANGES_WITHOUT_ERAS_PATH) => {
            let number = path[CHANGES_WITHOUT_ERAS_PATH.len()..].parse().ok();
            let since = number.map(|number| Revision::new(entry.list_revision().era, number));
            let found = since.and_then(|since| entry.changes_since(since));
            found_response(found.as_ref().and_then(changes::encode_without_eras))
        }
        LIST_WITHOUT_ERAS_PATH => found_response(changes::encode_without_eras(&entry.whole_list())),
        STATE_PATH => ok_response(state(entry).to_string().into_bytes()),
        _ => not_found(),
    }
}

fn catalog(entry: &Entry) -> Response<BoxBody> {
    let catalog = entry.catalog();
    let json = catalog.and_then(|catalog| serde_json::to_vec(&catalog.parts()).ok());
    json.map_or_else(not_found, ok_response)
}

fn catalog_since(entry: &Entry, version: &str) -> Response<BoxBody> {
    let update = version.parse().ok().and_then(|v| entry.catalog_since(v));
    found_response(update)
}

/// Parses the era and the number of a revision in a path.
fn parse_revision(text: &str) -> Option<Revision> {
    let (era, number) = text.split_once('/')?;
    let era = match era {
        NO_ERA => None,
        _ => Some(Era(era.parse().ok()?)),
    };
    Some(Revision::new(era, number.parse().ok()?))
}

fn found_response(body: Option<Vec<u8>>) -> Response<BoxBody> {
    body.map_or_else(not_found, ok_response)
}

fn not_found() -> Response<BoxBody> {
    Response::new(StatusCode::NOT_FOUND).set_body(BoxBody::new(()))
}

fn state(entry: &Entry) -> serde_json::Value {
    let now = entry.clock.now();
    let directory = entry.directory();
    let endpoint_states = entry.endpoint_states();
    let is_ejected = |key| {
        let endpoint_state = endpoint_states.get(key);
        endpoint_state.is_some_and(|endpoint_state| endpoint_state.record.is_ejected())
    };
    let endpoints: Vec<serde_json::Value> = directory
        .iter()
        .map(|(key, e)| {
            serde_json::json!({
                "id": e.listed.id,
                "pool": e.listed.pool,
                "zone": e.listed.zone,
                "standing": format!("{:?}", e.status),
                "announced": e.announced.decline_reason(now),
                "ejected": is_ejected(key),
                "limit_per_s": entry.limit(key).map(Rate::per_s),
            })
        })
        .collect();
    serde_json::json!({
        "catalog": entry.version(),
        "list_revision": entry.list_revision().number,
        "list_era": entry.list_revision().era,
        "watches": entry.is_watching(),
        "proof_age_ms": entry.proof_age().map(|age| age.0),
        "ready": entry.is_ready(),
        "lacks": entry.lack(),
        "entries": entry.peers.borrow().entries(now),
        "endpoints": endpoints,
    })
}

fn ok_response(body: Vec<u8>) -> Response<BoxBody> {
    Response::ok().set_body(BoxBody::new(body))
}

/// Makes the request for a peer's patches from a version of the configuration to the newest.
pub fn catalog_since_query(version: u64) -> RequestHead {
    get(&format!("{CATALOG_SINCE_PATH}{version}"))
}

/// Makes the request for a peer's whole list of endpoints; `reads_eras` says whether the peer knows
/// eras.
pub fn list_query(reads_eras: bool) -> RequestHead {
    match reads_eras {
        true => get(LIST_PATH),
        false => get(LIST_WITHOUT_ERAS_PATH),
    }
}

/// Makes the request for a peer's changes of the list of endpoints after a revision; `reads_eras`
/// says whether the peer knows eras.
pub fn changes_query(since: Revision, reads_eras: bool) -> RequestHead {
    let number = since.number;
    if !reads_eras {
        return get(&format!("{CHANGES_WITHOUT_ERAS_PATH}{number}"));
    }
    match since.era {
        Some(era) => get(&format!("{CHANGES_PATH}{}/{number}", era.0)),
        None => get(&format!("{CHANGES_PATH}{NO_ERA}/{number}")),
    }
}

/// The head of a GET request with only a `Host` header. An invalid path is logged and left out.
pub fn get(path: &str) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = Method::GET;
    match path.parse() {
        Ok(uri) => head.uri = uri,
        Err(err) => tracing::error!(%err, path, "invalid request path"),
    }
    let host: HeaderName = HOST;
    head.headers
        .insert(host, HeaderValue::from_static("violetline"));
    head
}
