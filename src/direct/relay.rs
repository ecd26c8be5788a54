//! Relaying an endpoint's answer: whole bodies are checked before a byte of them leaves, events
//! leave as they arrive, each whole.

use std::cell::Cell;

use bytes::{Bytes, BytesMut};

use crate::direct::answerer::Answerer;
use crate::direct::channel::{ExchangeError, Reply};
use crate::sse::Splitter;

/// Longest body that is relayed whole, in bytes.
const MOST_WHOLE: usize = 8 << 20;

/// How far a stream has got towards the caller, over all endpoints that made it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamPosition {
    /// Whether the head has left.
    pub begun: bool,
    /// Number of the last event that left.
    pub last_event: Option<u64>,
}

/// How relaying ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayError {
    /// The endpoint's answer broke off or is none.
    Endpoint,
    /// The caller can't be written to.
    Caller,
}

/// Reads a whole body; [`ExchangeError::Lost`] when it is too long or breaks off.
pub async fn read_body(reply: &mut Reply) -> Result<Bytes, ExchangeError> {
    reply.read_body(MOST_WHOLE).await
}

/// Cuts an answer into whole events and drops those that the caller has already.
#[derive(Debug, Default)]
pub struct EventReader {
    splitter: Splitter,
    /// Number of the last event that the caller had before.
    after: Option<u64>,
    last: Option<u64>,
}

impl EventReader {
    /// A reader that drops events up to `after`.
    pub fn new(after: Option<u64>) -> Self {
        Self {
            after,
            ..Self::default()
        }
    }

    /// Takes what has arrived; returns the whole events that are new to the caller.
    pub fn push(&mut self, piece: &[u8]) -> Bytes {
        self.splitter.push(piece);
        let mut out = BytesMut::new();
        while let Some(event) = self.splitter.next_event() {
            let number = event_number(&event);
            let is_old = number.is_some_and(|n| self.after.is_some_and(|after| n <= after));
            if is_old {
                continue;
            }
            self.last = number.or(self.last);
            out.extend_from_slice(&event);
        }
        out.freeze()
    }

    /// Whether an event has grown too long to be one.
    pub fn is_oversize(&self) -> bool {
        self.splitter.is_oversize()
    }

    /// Number of the last event that was returned.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// What is left after the last whole event of a complete answer.
    pub fn rest(&mut self) -> Bytes {
        self.splitter.take_rest()
    }
}

/// Where relaying begins, and what the caller is told of its connection.
#[derive(Debug, Clone, Copy)]
pub struct RelayContext<'a> {
    /// How far the stream has got; kept up to date.
    pub position: &'a Cell<StreamPosition>,
    /// Whether the connection ends with the answer.
    pub close: bool,
}

/// Relays events until the answer ends; `next` reads a piece of it, `begin` makes the head when
/// the first one has arrived, and `left` is told of each piece that has left.
pub async fn events(
    reply: &mut Reply,
    answerer: &mut Answerer,
    context: RelayContext<'_>,
    next: impl AsyncFn(&mut Reply) -> Result<Option<Bytes>, ExchangeError>,
    mut begin: impl FnMut() -> actix_http::ResponseHead,
    mut left: impl FnMut(),
) -> Result<(), RelayError> {
    let RelayContext { position, close } = context;
    let mut at = position.get();
    let mut reader = EventReader::new(at.last_event);
    loop {
        let chunk = next(reply).await.map_err(|_| RelayError::Endpoint)?;
        let is_last = chunk.is_none();
        let piece = match chunk {
            Some(chunk) => reader.push(&chunk),
            None => reader.rest(),
        };
        if reader.is_oversize() {
            return Err(RelayError::Endpoint);
        }
        if !piece.is_empty() || (is_last && !at.begun) {
            let written = if at.begun {
                answerer.send_chunk(piece).await
            } else {
                answerer.start_stream(begin(), piece, close).await
            };
            written.map_err(|_| RelayError::Caller)?;
            left();
            at.begun = true;
            at.last_event = reader.last().or(at.last_event);
            position.set(at);
        }
        if is_last {
            return answerer
                .finish_stream()
                .await
                .map_err(|_| RelayError::Caller);
        }
    }
}

/// The number in an event's `id` field, if it is one (WHATWG HTML, "Server-sent events").
fn event_number(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
