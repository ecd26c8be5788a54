//! Relays an endpoint's response to the caller: a body is sent only after it has arrived
//! completely; the events of a stream are sent as they arrive, each one complete.

use std::cell::Cell;

use actix_http::header::CONTENT_TYPE;
use actix_http::{ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};

use crate::body_buffer::BodyBuffer;
use crate::clock::{Clock, Millis};
use crate::direct::answerer::Answerer;
use crate::direct::channel::{ExchangeError, Framing, Reply};
use crate::direct::item_limit::{Endless, ItemLimit};
use crate::memory::{HeldMemory, Memory, Purpose};
use crate::sse::{self, Splitter, MAX_EVENT};

/// Maximum length of a body that is not a stream, in bytes.
const MAX_WHOLE_BODY_BYTES: usize = 8 << 20;
/// Maximum length of the body of a refusal, which nobody reads, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// How much of a stream has been sent to the caller, over all endpoints that produced it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StreamPosition {
    /// Whether the response's head has been sent.
    pub head_sent: bool,
    /// Number of the last event that was sent.
    pub last_event: Option<u64>,
}

/// What the head of a response says of its body. All endpoints that produce a stream have to answer
/// with the same: another one's answer is not the rest of the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamKind {
    status: StatusCode,
    /// Media type in lower case, without parameters; empty where the head names none.
    media_type: String,
}

impl StreamKind {
    /// The kind of the response with this head.
    pub fn of(head: &ResponseHead) -> Self {
        let content_type = head.headers.get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let media_type = content_type.and_then(|value| value.split(';').next());
        Self {
            status: head.status,
            media_type: media_type.unwrap_or_default().trim().to_ascii_lowercase(),
        }
    }
}

/// Why a stream could not be relayed to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayError {
    /// The endpoint's response broke off or is invalid.
    Endpoint,
    /// The endpoint's response ended inside an event, whatever its framing.
    Unfinished {
        /// Length of the unfinished event, in bytes.
        bytes: usize,
    },
    /// The endpoint's connection ended before the first event, and nothing else marks the end.
    Empty,
    /// The endpoint's bytes go on without an event.
    Endless,
    /// Writing to the caller failed.
    Caller,
}

/// Reads the whole body of a response that is not a stream. Fails with [`ExchangeError::Lost`]
/// where it breaks off, and with [`ExchangeError::Endless`] where it is longer than
/// [`MAX_WHOLE_BODY_BYTES`].
pub async fn read_body(reply: &mut Reply) -> Result<Bytes, ExchangeError> {
    reply.read_body(MAX_WHOLE_BODY_BYTES).await
}

/// Reads and drops the body of a refusal, so that its connection can be reused. Fails like
/// [`read_body`], at [`MAX_REFUSAL_BYTES`].
pub async fn skip_refusal(reply: &mut Reply) -> Result<(), ExchangeError> {
    reply.read_body(MAX_REFUSAL_BYTES).await.map(drop)
}

/// A whole body, and the memory that is held for it.
#[derive(Debug)]
pub struct WholeBody {
    /// The body.
    pub bytes: Bytes,
    /// The memory; to be dropped with the body.
    pub held: HeldMemory,
}

/// Why a whole body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It ended early or is malformed.
    BrokenOff,
    /// It is longer than [`MAX_WHOLE_BODY_BYTES`], or its framing goes on without end.
    Endless,
    /// The entry holds too much for other bodies, which says nothing about the endpoint.
    NoRoom,
}

/// Reads the whole body of a response that is not a stream, within the memory that an entry has for
/// all that it holds.
pub async fn read_whole(reply: &mut Reply, memory: &Memory) -> Result<WholeBody, BodyError> {
    let declared = reply.content_length();
    if declared.is_some_and(|length| length > MAX_WHOLE_BODY_BYTES) {
        return Err(BodyError::Endless);
    }
    let mut held = memory.begin(Purpose::Answer);
    let mut buf = BodyBuffer::default();
    loop {
        let chunk = reply.chunk().await.map_err(|err| match err {
            ExchangeError::Endless => BodyError::Endless,
            _ => BodyError::BrokenOff,
        })?;
        let Some(chunk) = chunk else {
            let bytes = buf.freeze();
            return Ok(WholeBody { bytes, held });
        };
        let length = buf.len() + chunk.len();
        if length > MAX_WHOLE_BODY_BYTES {
            return Err(BodyError::Endless);
        }
        if length > buf.capacity() {
            let capacity = declared.unwrap_or(length.next_power_of_two());
            // Both buffers exist while one is copied to the other.
            if !held.grow_to(buf.len() + capacity) {
                return Err(BodyError::NoRoom);
            }
            buf = buf.grown_to(capacity).map_err(|_| BodyError::NoRoom)?;
            held.set(capacity);
        }
        buf.extend(&chunk).map_err(|_| BodyError::BrokenOff)?;
    }
}

/// Splits a stream into complete events, and drops those that the caller already has.
#[derive(Debug)]
pub struct EventReader {
    splitter: Splitter,
    /// Number of the last event that the caller had before; events up to it are dropped.
    after: Option<u64>,
    /// Number of the last event that was returned.
    last: Option<u64>,
    /// Number of events that the last call of [`EventReader::push`] returned.
    pushed: u32,
    /// Whether the last call of [`EventReader::push`] completed anything.
    has_completed: bool,
    /// Bytes of comments and blank lines since the last event.
    idle_bytes: usize,
    /// What has arrived of the event that is not complete.
    limit: ItemLimit,
}

impl EventReader {
    /// Creates a reader that drops events with numbers up to `after`.
    pub fn new(after: Option<u64>) -> Self {
        Self {
            splitter: Splitter::default(),
            after,
            last: None,
            pushed: 0,
            has_completed: false,
            idle_bytes: 0,
            limit: ItemLimit::new(MAX_EVENT),
        }
    }

    /// Adds bytes that have arrived; returns the events that are complete now and new to the
    /// caller.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.splitter.push(bytes);
        let mut out = BytesMut::new();
        self.pushed = 0;
        self.has_completed = false;
        while let Some(event) = self.splitter.next_event() {
            self.has_completed = true;
            self.idle_bytes = match has_field(&event) {
                true => 0,
                false => self.idle_bytes + event.len(),
            };
            let number = event_number(&event);
            let is_old = number.is_some_and(|n| self.after.is_some_and(|after| n <= after));
            if is_old {
                continue;
            }
            self.last = number.or(self.last);
            let is_blank = event.iter().all(|byte| sse::is_line_end(*byte));
            self.pushed = self.pushed.saturating_add(u32::from(!is_blank));
            out.extend_from_slice(&event);
        }
        out.freeze()
    }

    /// Checks the bytes that were pushed last, which arrived at `now`. Fails where the unfinished
    /// event is longer than any valid one or goes on for too long, or comments go on without an
    /// event.
    pub fn check_limit(&mut self, now: Millis) -> Result<(), Endless> {
        if self.splitter.is_oversize() || self.idle_bytes > MAX_EVENT {
            return Err(Endless);
        }
        if self.has_completed {
            self.limit.completed();
        }
        match self.unfinished_bytes() {
            0 => Ok(()),
            // Its length has been checked already.
            _ => self.limit.arrived(0, now),
        }
    }

    /// When the first bytes of the event that is not complete yet arrived; `None` where there is
    /// none.
    pub fn unfinished_since(&self) -> Option<Millis> {
        self.limit.began_at()
    }

    /// Number of the last event that was returned.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Number of events that the last call of [`EventReader::push`] returned.
    pub fn pushed(&self) -> u32 {
        self.pushed
    }

    /// Length of the event that is not complete yet, in bytes.
    pub fn unfinished_bytes(&self) -> usize {
        self.splitter.rest_len()
    }
}

/// Where a stream continues, and whether the caller's connection ends with it.
#[derive(Debug, Clone, Copy)]
pub struct RelayContext<'a> {
    /// Measures how long events take to arrive.
    pub clock: &'a Clock,
    /// Counts the events that are held.
    pub memory: &'a Memory,
    /// When the first bytes of an event arrived that is not complete yet; `None` where there is
    /// none. Updated with each chunk.
    pub unfinished_since: &'a Cell<Option<Millis>>,
    /// How much of the stream has been sent; updated after each write.
    pub position: &'a Cell<StreamPosition>,
    /// Whether to close the caller's connection after the response.
    pub close: bool,
}

/// Relays events until the response ends; an unfinished event is not sent. `next` reads a chunk of
/// the endpoint's response, `begin` makes the head when the first event has arrived, and `sent` is
/// called after each write to the caller with the number of events in it.
pub async fn events(
    reply: &mut Reply,
    answerer: &mut Answerer,
    context: RelayContext<'_>,
    next: impl AsyncFn(&mut Reply) -> Result<Option<Bytes>, ExchangeError>,
    mut begin: impl FnMut() -> ResponseHead,
    mut sent: impl FnMut(u32),
) -> Result<(), RelayError> {
    let RelayContext {
        position, close, ..
    } = context;
    // An earlier endpoint may have left an unfinished event.
    context.unfinished_since.set(None);
    let mut at = position.get();
    let mut reader = EventReader::new(at.last_event);
    let mut held = context.memory.begin(Purpose::Buffer);
    loop {
        let chunk = next(reply).await.map_err(|err| match err {
            ExchangeError::Endless => RelayError::Endless,
            _ => RelayError::Endpoint,
        })?;
        let is_last = chunk.is_none();
        let bytes = match chunk {
            Some(chunk) => reader.push(&chunk),
            None => Bytes::new(),
        };
        // Held as they arrived and encoded.
        held.set(reader.unfinished_bytes() + bytes.len() * 2);
        let checked = reader.check_limit(context.clock.now());
        context.unfinished_since.set(reader.unfinished_since());
        checked.map_err(|Endless| RelayError::Endless)?;
        if is_last {
            check_end(&reader, at, reply.framing())?;
        }
        if !bytes.is_empty() || (is_last && !at.head_sent) {
            let written = if at.head_sent {
                answerer.send_chunk(bytes).await
            } else {
                answerer.start_stream(begin(), bytes, close).await
            };
            written.map_err(|_| RelayError::Caller)?;
            held.set(reader.unfinished_bytes());
            sent(reader.pushed());
            at.head_sent = true;
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

/// Checks that a response that has ended holds a complete stream. The end of a connection looks the
/// same where its endpoint was done and where it terminated.
fn check_end(reader: &EventReader, at: StreamPosition, framing: Framing) -> Result<(), RelayError> {
    let bytes = reader.unfinished_bytes();
    if bytes > 0 {
        return Err(RelayError::Unfinished { bytes });
    }
    let has_begun = at.head_sent || at.last_event.is_some();
    match framing {
        Framing::Connection if !has_begun => Err(RelayError::Empty),
        Framing::Connection | Framing::Length | Framing::Chunked => Ok(()),
    }
}

/// Whether an event has a field, not only comments and blank lines.
fn has_field(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| sse::is_line_end(*byte));
    lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}

/// The value of an event's `id` field, where that is a number (WHATWG HTML, "Server-sent events").
fn event_number(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| sse::is_line_end(*byte))
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
