//! Reads complete requests from callers, and detects that a caller has disconnected.

use std::time::Duration;

use actix_http::h1::Message;
use actix_http::RequestHead;
use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::timeout;

use crate::clock::Millis;
use crate::direct::answerer::Answerer;
use crate::direct::body::RequestBody;
use crate::direct::catalog::CallerLimits;
use crate::direct::decision::RefusalReason;
use crate::direct::dialect::{ErrorResponse, ParsedRequest};
use crate::direct::entry::{Entry, ProcessState};
use crate::direct::incoming_body::IncomingBody;
use crate::direct::refuse::RETRY_ELSEWHERE_AFTER;
use crate::memory::{HeldMemory, Memory, Purpose};

/// Free space in the read buffer before each read, in bytes.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// Maximum bytes of further requests that are read while a request is being served; the caller can
/// send the rest only after that.
const MAX_PIPELINED_BYTES: usize = 64 << 10;
/// Time without bytes from the caller for which a connection stays open after an error response, so
/// that the caller can read the response although part of its request was not read.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for which it stays open then: many callers read the response only after they have
/// sent the whole request.
const MAX_LINGER_TIME: Duration = Duration::from_millis(5_000);

/// A request that has been read completely.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Method, target and headers.
    pub head: RequestHead,
    /// What decisions depend on, or the response that the caller gets.
    pub parsed: Result<ParsedRequest, ErrorResponse>,
    /// The body; empty where there is none.
    pub body: RequestBody,
    /// When its first byte was read; where that was read together with the request before, when
    /// that request was done.
    pub received_at: Millis,
}

/// Why no request was read.
#[derive(Debug)]
pub enum RequestReadError {
    /// The caller closed the connection, it was idle for too long, or this process is stopping.
    Closed,
    /// The request is malformed, too long or too slow; the caller gets this error response.
    Refused(ErrorResponse),
    /// The body of a well-formed request is not taken.
    BodyRefused(Box<BodyRefusal>),
}

/// The refusal of a request whose body was not read completely.
#[derive(Debug)]
pub struct BodyRefusal {
    /// The request.
    pub parsed: ParsedRequest,
    /// When its first byte was read.
    pub received_at: Millis,
    /// The reason.
    pub why: RefusalReason,
    /// The response that the caller gets.
    pub error: ErrorResponse,
    /// Its route's first pool and urgency; `None` where no route allows it.
    pub route: Option<(String, u8)>,
}

/// The reading half of a caller's connection.
#[derive(Debug)]
pub struct RequestReader {
    reader: OwnedReadHalf,
    /// Bytes that were read and are not decoded yet.
    read_buffer: BytesMut,
    /// Memory that is held for those beyond [`READ_BUFFER_BYTES`].
    held: HeldMemory,
}

impl RequestReader {
    /// Creates the reader of a new connection.
    pub fn new(reader: OwnedReadHalf, memory: &Memory) -> Self {
        Self {
            reader,
            read_buffer: BytesMut::new(),
            held: memory.begin(Purpose::Buffer),
        }
    }

    /// Reads the next request completely. Fails with [`RequestReadError::Closed`] where none comes,
    /// and with [`RequestReadError::Refused`] where it violates the limits or the protocol.
    pub async fn next(
        &mut self,
        entry: &Entry,
        answerer: &mut Answerer,
    ) -> Result<IncomingRequest, RequestReadError> {
        let limits = entry.catalog().map(|c| c.limits).unwrap_or_default();
        self.free_buffer();
        if self.read_buffer.is_empty() {
            self.wait_for_request(entry, limits).await?;
        }
        let received_at = entry.clock.now();
        let reading = timeout(
            limits.head_time.duration(),
            self.read_head(answerer, limits),
        );
        let head = reading
            .await
            .map_err(|_| RequestReadError::Refused(ErrorResponse::TooSlow))??;
        let parsed = entry.dialect.parse_request(&head);
        let body = match answerer.expects_body() {
            true => {
                let body = IncomingBody::new(entry, &head, &parsed, received_at, limits);
                self.read_body(answerer, body).await?
            }
            false => RequestBody::default(),
        };
        Ok(IncomingRequest {
            head,
            parsed,
            body,
            received_at,
        })
    }

    /// Waits for the first bytes of a request. Fails with [`RequestReadError::Closed`] where the
    /// connection is idle for too long or the process takes no new requests any more.
    async fn wait_for_request(
        &mut self,
        entry: &Entry,
        limits: CallerLimits,
    ) -> Result<(), RequestReadError> {
        let mut process_state = entry.watch_process_state();
        tokio::select! {
            biased;
            read = timeout(limits.idle_time.duration(), self.read()) => match read {
                Ok(read) => read,
                Err(_) => Err(RequestReadError::Closed),
            },
            _ = process_state.wait_for(|state| *state == ProcessState::Stopping) => {
                Err(RequestReadError::Closed)
            }
        }
    }

    /// Reads the head of a request.
    async fn read_head(
        &mut self,
        answerer: &mut Answerer,
        limits: CallerLimits,
    ) -> Result<RequestHead, RequestReadError> {
        let malformed = |_| RequestReadError::Refused(ErrorResponse::Malformed);
        loop {
            let before = self.read_buffer.len();
            if let Some(message) = answerer.decode(&mut self.read_buffer).map_err(malformed)? {
                let too_long = before - self.read_buffer.len() > limits.head_bytes;
                return match message {
                    _ if too_long => Err(RequestReadError::Refused(ErrorResponse::HeadTooLong)),
                    Message::Item(req) => Ok(req.head().clone()),
                    Message::Chunk(_) => Err(RequestReadError::Refused(ErrorResponse::Malformed)),
                };
            }
            if before > limits.head_bytes {
                return Err(RequestReadError::Refused(ErrorResponse::HeadTooLong));
            }
            if !self.may_buffer_more() {
                let error = ErrorResponse::NotRun(RETRY_ELSEWHERE_AFTER);
                return Err(RequestReadError::Refused(error));
            }
            self.read().await?;
        }
    }

    /// Reads the body of the request whose head was read last.
    async fn read_body(
        &mut self,
        answerer: &mut Answerer,
        mut body: IncomingBody<'_>,
    ) -> Result<RequestBody, RequestReadError> {
        let malformed = |_| RequestReadError::Refused(ErrorResponse::Malformed);
        body.begin()?;
        if body.head.expect() && self.read_buffer.is_empty() {
            let sent = answerer.send_continue().await;
            sent.map_err(|_| RequestReadError::Closed)?;
        }
        loop {
            match answerer.decode(&mut self.read_buffer).map_err(malformed)? {
                Some(Message::Chunk(Some(chunk))) => body.append(&chunk)?,
                Some(Message::Chunk(None)) => return body.complete(),
                Some(Message::Item(_)) => {
                    return Err(RequestReadError::Refused(ErrorResponse::Malformed))
                }
                None => body.wait_for(self.read()).await?,
            }
        }
    }

    /// Resolves when the caller has closed its side of the connection. Bytes of further requests
    /// are buffered; once the buffer is full, or there is no memory for more, this never resolves.
    pub async fn caller_disconnected(&mut self) {
        while self.read_buffer.len() < MAX_PIPELINED_BYTES && self.may_buffer_more() {
            if self.read().await.is_err() {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Stops writing and discards what the caller still sends, until it closes the connection, sends
    /// nothing for [`LINGER_TIMEOUT`], or [`MAX_LINGER_TIME`] has passed. Closing a socket with unread
    /// bytes resets the connection, and the caller may lose the response.
    pub async fn linger_before_close(&mut self, answerer: &mut Answerer) {
        if answerer.shutdown().await.is_err() {
            return;
        }
        self.read_buffer.clear();
        self.free_buffer();
        let reading = async {
            while let Ok(Ok(())) = timeout(LINGER_TIMEOUT, self.read()).await {
                self.read_buffer.clear();
            }
        };
        // The connection is closed in either case: the caller has closed it, or time is over.
        let _ = timeout(MAX_LINGER_TIME, reading).await;
    }

    /// Whether there is memory for more bytes that are not decoded.
    fn may_buffer_more(&mut self) -> bool {
        let needed = self.read_buffer.len() + READ_BUFFER_BYTES;
        let capacity = self.read_buffer.capacity().max(needed);
        self.held.grow_to(capacity - READ_BUFFER_BYTES)
    }

    /// Drops the buffer where it is empty, so that idle connections hold no memory.
    fn free_buffer(&mut self) {
        if self.read_buffer.is_empty() {
            self.read_buffer = BytesMut::new();
            self.held.set(0);
        }
    }

    /// Reads some bytes into the buffer. Fails with [`RequestReadError::Closed`] at the end of the
    /// stream or on an error.
    async fn read(&mut self) -> Result<(), RequestReadError> {
        self.read_buffer.reserve(READ_BUFFER_BYTES);
        match self.reader.read_buf(&mut self.read_buffer).await {
            Ok(n) if n > 0 => Ok(()),
            _ => Err(RequestReadError::Closed),
        }
    }
}
