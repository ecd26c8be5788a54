//! The administration API, on a listener apart from the callers' one.

use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde_json::{json, Value};
use tokio::net::TcpListener;

use crate::listener;
use crate::node::{Life, Node};

/// What a role adds to the administration API.
pub trait Report {
    /// Whether the role can take work, apart from the node's own readiness.
    fn is_ready(&self) -> bool;
    /// The role's state as JSON: queues, endpoints, keys.
    fn state(&self) -> Value;
    /// Writes the role's gauges.
    fn gauges(&self);
}

/// Serves the administration API for the life of the process.
pub async fn serve<R: Report + 'static>(
    node: Rc<Node>,
    report: Rc<R>,
    listener: TcpListener,
) -> anyhow::Result<()> {
    let handler = move |req: Request| {
        let res = route(&node, report.as_ref(), &req);
        async move { res }
    };
    listener::serve(listener, handler).await
}

fn route<R: Report>(node: &Node, report: &R, req: &Request) -> Response<BoxBody> {
    match (req.method(), req.path()) {
        (&Method::GET, "/healthz") => text(StatusCode::OK, "ok\n".into()),
        (&Method::GET, "/readyz") => readiness(node, report.is_ready()),
        (&Method::GET, "/metrics") => {
            gauges(node);
            report.gauges();
            text(StatusCode::OK, node.metrics.text())
        }
        (&Method::GET, "/v1/bundle") => answer(&json!({
            "in_force": node.replica.stamps().bundle,
            "history": node.replica.history(),
        })),
        (&Method::GET, "/v1/members") => answer(node.replica.members().as_ref()),
        (&Method::GET, "/v1/audit") => answer(&node.audit.changes()),
        (&Method::GET, "/v1/state") => answer(&report.state()),
        (&Method::POST, "/v1/drain") => {
            node.drain("administration");
            answer(&json!({ "draining": true }))
        }
        _ => text(StatusCode::NOT_FOUND, "no such page\n".into()),
    }
}

fn readiness(node: &Node, role_ready: bool) -> Response<BoxBody> {
    let unready = |why: &str| text(StatusCode::SERVICE_UNAVAILABLE, why.into());
    if node.life() == Life::Draining {
        unready("draining\n")
    } else if !node.is_ready() {
        unready("no bundle agreed with peers yet\n")
    } else if !role_ready {
        unready("keys issued now may have been used with a predecessor\n")
    } else {
        text(StatusCode::OK, "ready\n".into())
    }
}

fn gauges(node: &Node) {
    let stamps = node.replica.stamps();
    node.metrics
        .set("bundle_version", "", stamps.bundle.version);
    node.metrics
        .set("members_revision", "", stamps.members.version);
    node.metrics.set("ready", "", u64::from(node.is_ready()));
}

fn answer<T: Serialize>(value: &T) -> Response<BoxBody> {
    let body = serde_json::to_string(value).unwrap_or_default();
    Response::build(StatusCode::OK)
        .insert_header(("content-type", "application/json"))
        .body(body)
        .map_into_boxed_body()
}

fn text(status: StatusCode, body: String) -> Response<BoxBody> {
    Response::build(status)
        .insert_header(("content-type", "text/plain; charset=utf-8"))
        .body(body)
        .map_into_boxed_body()
}
