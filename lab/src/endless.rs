//! Answers of stand-ins behind sidecars that go on without end.

use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_util::stream;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

/// Bytes that are sent at a time without a pause.
const BLOCK_BYTES: usize = 16 << 10;
/// Pause between a few bytes.
const PAUSE: Duration = Duration::from_millis(50);
/// A token, as engines send it.
const TOKEN: &str = "data: {\"choices\":[{\"delta\":{\"content\":\"ink \"}}]}\n\n";

/// What goes on without end, and how fast.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Endless {
    /// An event, as fast as it is read.
    FastEvent,
    /// An event, a few bytes at a time.
    SlowEvent,
    /// Comments, a few bytes at a time.
    SlowComments,
    /// Tokens, as fast as they are read.
    FastTokens,
    /// The body of an error of the caller, a few bytes at a time.
    SlowError,
}

impl Endless {
    /// The answer.
    pub fn answer(self) -> Response<BoxBody> {
        let (status, unit, is_fast) = match self {
            Self::FastEvent => (StatusCode::OK, "data: x", true),
            Self::SlowEvent => (StatusCode::OK, "data: x", false),
            Self::SlowComments => (StatusCode::OK, ":c\n\n", false),
            Self::FastTokens => (StatusCode::OK, TOKEN, true),
            Self::SlowError => (StatusCode::BAD_REQUEST, "no", false),
        };
        let count = if is_fast { BLOCK_BYTES / unit.len() } else { 1 };
        let piece = Bytes::from(unit.repeat(count));
        let pieces = stream::unfold(piece, move |piece| async move {
            if !is_fast {
                sleep(PAUSE).await;
            }
            Some((Ok::<_, std::convert::Infallible>(piece.clone()), piece))
        });
        let mut builder = Response::build(status);
        builder.insert_header(("content-type", "text/event-stream"));
        builder
            .body(BodyStream::new(Box::pin(pieces)))
            .map_into_boxed_body()
    }
}
