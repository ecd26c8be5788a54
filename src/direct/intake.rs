//! Reading callers' requests whole, and noticing that a caller left.

use std::time::Duration;

use actix_http::h1::Message;
use actix_http::RequestHead;
use bytes::{Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::timeout;

use crate::clock::Millis;
use crate::direct::answerer::Answerer;
use crate::direct::catalog::CallerLimits;
use crate::direct::dialect::Refusal;
use crate::direct::entry::{Entry, Life};

/// Room for one read, in bytes.
const READ_ROOM: usize = 4 << 10;
/// Bytes that a caller may send ahead while its request is served; beyond that it has to wait.
const MOST_AHEAD: usize = 64 << 10;
/// Time for a caller to read an answer after which its connection is closed with bytes unread.
const LAST_READ: Duration = Duration::from_millis(500);

/// A request that has been read whole.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Bytes,
    /// When its first byte was read.
    pub received_at: Millis,
}

/// Why no request was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestReadError {
    /// The caller closed, or the connection was idle too long.
    Closed,
    /// What came is not acceptable.
    Refused(Refusal),
}

/// The reading side of a connection.
#[derive(Debug)]
pub struct RequestReader {
    reader: OwnedReadHalf,
    buf: BytesMut,
}

impl RequestReader {
    /// The reading side of a fresh connection.
    pub fn new(reader: OwnedReadHalf) -> Self {
        Self {
            reader,
            buf: BytesMut::new(),
        }
    }

    /// Reads the next request whole.
    pub async fn next(
        &mut self,
        entry: &Entry,
        answerer: &mut Answerer,
    ) -> Result<IncomingRequest, RequestReadError> {
        let limits = entry.catalog().map(|c| c.limits).unwrap_or_default();
        if self.buf.is_empty() {
            self.first_bytes(entry, limits).await?;
        }
        let received_at = entry.clock.now();
        let reading = timeout(limits.head_time.duration(), self.head(answerer, limits));
        let head = reading
            .await
            .map_err(|_| RequestReadError::Refused(Refusal::TooSlow))??;
        if head.expect() && self.buf.is_empty() {
            answerer
                .send_continue()
                .await
                .map_err(|_| RequestReadError::Closed)?;
        }
        let body = self.body(answerer, limits).await?;
        Ok(IncomingRequest {
            head,
            body,
            received_at,
        })
    }

    /// Waits for a request to begin; ends when the connection is idle too long or a stop needs it.
    async fn first_bytes(
        &mut self,
        entry: &Entry,
        limits: CallerLimits,
    ) -> Result<(), RequestReadError> {
        let mut life = entry.watch_life();
        tokio::select! {
            biased;
            read = timeout(limits.idle_time.duration(), self.read()) => match read {
                Ok(read) => read,
                Err(_) => Err(RequestReadError::Closed),
            },
            _ = life.wait_for(|life| *life == Life::Stopping) => Err(RequestReadError::Closed),
        }
    }

    /// Reads a head.
    async fn head(
        &mut self,
        answerer: &mut Answerer,
        limits: CallerLimits,
    ) -> Result<RequestHead, RequestReadError> {
        let malformed = |_| RequestReadError::Refused(Refusal::Malformed);
        loop {
            let before = self.buf.len();
            if let Some(message) = answerer.decode(&mut self.buf).map_err(malformed)? {
                let too_long = before - self.buf.len() > limits.head_bytes;
                return match message {
                    _ if too_long => Err(RequestReadError::Refused(Refusal::HeadTooLong)),
                    Message::Item(req) => Ok(req.head().clone()),
                    Message::Chunk(_) => Err(RequestReadError::Refused(Refusal::Malformed)),
                };
            }
            if before > limits.head_bytes {
                return Err(RequestReadError::Refused(Refusal::HeadTooLong));
            }
            self.read().await?;
        }
    }

    /// Reads the body of the request whose head was read last.
    async fn body(
        &mut self,
        answerer: &mut Answerer,
        limits: CallerLimits,
    ) -> Result<Bytes, RequestReadError> {
        if !answerer.expects_body() {
            return Ok(Bytes::new());
        }
        let malformed = |_| RequestReadError::Refused(Refusal::Malformed);
        let mut body = BytesMut::new();
        loop {
            match answerer.decode(&mut self.buf).map_err(malformed)? {
                Some(Message::Chunk(Some(chunk))) => body.extend_from_slice(&chunk),
                Some(Message::Chunk(None)) => return Ok(body.freeze()),
                Some(Message::Item(_)) => {
                    return Err(RequestReadError::Refused(Refusal::Malformed))
                }
                None => {
                    let reading = timeout(limits.head_time.duration(), self.read());
                    reading
                        .await
                        .map_err(|_| RequestReadError::Refused(Refusal::TooSlow))??;
                }
            }
            if body.len() > limits.body_bytes {
                return Err(RequestReadError::Refused(Refusal::BodyTooLong));
            }
        }
    }

    /// Resolves when the caller has closed its side; what it sends ahead is kept.
    pub async fn caller_left(&mut self) {
        while self.buf.len() < MOST_AHEAD {
            if self.read().await.is_err() {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Lets a caller read its answer before the connection goes: closing with bytes unread would
    /// reset it and may take the answer along.
    pub async fn let_caller_read(&mut self, answerer: &mut Answerer) {
        if answerer.shutdown().await.is_err() {
            return;
        }
        let reading = async {
            while self.read().await.is_ok() {
                self.buf.clear();
            }
        };
        // Whether the caller closed or the time is over, the connection goes.
        let _ = timeout(LAST_READ, reading).await;
    }

    /// Reads some bytes.
    async fn read(&mut self) -> Result<(), RequestReadError> {
        self.buf.reserve(READ_ROOM);
        match self.reader.read_buf(&mut self.buf).await {
            Ok(n) if n > 0 => Ok(()),
            _ => Err(RequestReadError::Closed),
        }
    }
}
