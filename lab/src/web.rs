//! Small HTTP helpers for the stand-ins.

use actix_http::body::BoxBody;
use actix_http::{Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::TcpListener;

/// Largest body that a stand-in reads, in bytes.
const MAX_BODY: usize = 4 << 20;

/// Binds a port of the loopback address and prints it as one JSON line.
pub async fn bind(role: &str, port: u16) -> anyhow::Result<TcpListener> {
    let listener = TcpListener::bind(("127.0.0.1", port)).await?;
    violetline::node::announce(role, &[("listen", &listener)])?;
    Ok(listener)
}

/// Reads a whole body.
pub async fn body(req: &mut Request) -> Bytes {
    let mut payload = req.take_payload();
    let mut whole = BytesMut::new();
    while let Some(Ok(piece)) = payload.next().await {
        whole.extend_from_slice(&piece);
        if whole.len() > MAX_BODY {
            break;
        }
    }
    whole.freeze()
}

/// Reads a body as JSON.
pub async fn json_body<T: DeserializeOwned>(req: &mut Request) -> Option<T> {
    serde_json::from_slice(&body(req).await).ok()
}

/// A JSON answer.
pub fn json<T: Serialize>(value: &T) -> Response<BoxBody> {
    let body = serde_json::to_string(value).unwrap_or_default();
    Response::build(StatusCode::OK)
        .insert_header(("content-type", "application/json"))
        .body(body)
        .map_into_boxed_body()
}

/// An answer without a body.
pub fn status(code: StatusCode) -> Response<BoxBody> {
    Response::new(code)
}

/// A header as text.
pub fn header<'a>(req: &'a Request, name: &str) -> Option<&'a str> {
    req.head()
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
}
