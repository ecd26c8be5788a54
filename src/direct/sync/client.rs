//! An HTTP client of the store, which is also used to read from peers.
//!
//! A response may be large and its link slow, so a call has no fixed time limit as a whole: the
//! head must arrive in time, and the body must keep arriving.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::{RequestHead, ResponseHead};
use bytes::{Bytes, BytesMut};
use futures_util::stream::FuturesUnordered;
use futures_util::StreamExt;
use tokio::time::{timeout, Instant};

use crate::direct::channel::{Connection, ExchangeError, Reply};
use crate::direct::dialect::InvalidResponse;

/// Longest body that is read, in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 20;
/// Longest pause within a body before the read is given up. The store and peers send what they have
/// in one go, and three retransmissions of a packet take less.
const STALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest time for a body that keeps arriving: twice what [`MAX_BODY_BYTES`] take over a link of
/// 10 Mbit/s.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Bytes a second below which a body that keeps arriving is given up.
const MIN_BODY_RATE: u64 = 1_024;
/// Time after which [`MIN_BODY_RATE`] applies: some retransmissions of its first packets take less.
const MIN_RATE_AFTER: Duration = Duration::from_secs(2);

/// Why a call to the store or to a peer failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The connection could not be opened, or failed.
    Connection(ExchangeError),
    /// The head did not arrive in time, or the body stopped arriving.
    TimedOut,
    /// The response is not in a usable form.
    InvalidResponse(InvalidResponse),
}

impl CallError {
    /// Whether the store did not answer, or turned the call away, so that the same call may succeed later.
    pub const fn is_passing(&self) -> bool {
        match self {
            Self::Connection(_) | Self::TimedOut => true,
            Self::InvalidResponse(why) => matches!(why, InvalidResponse::Status(_)),
        }
    }

    /// Whether a whole answer came that says nothing usable, as the next one may.
    pub const fn is_unusable_answer(&self) -> bool {
        matches!(self, Self::InvalidResponse(InvalidResponse::Body(_)))
    }
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connection(failure) => write!(f, "connection: {failure:?}"),
            Self::TimedOut => f.write_str("no answer in time"),
            Self::InvalidResponse(why) => write!(f, "unusable answer: {why}"),
        }
    }
}

/// A response whose head has arrived.
#[derive(Debug)]
pub struct PendingResponse(Reply);

/// A client of one store or peer that keeps one connection for the next call.
#[derive(Debug)]
pub struct StoreClient {
    address: Cell<SocketAddr>,
    /// The connection, while no call is in progress on it.
    idle: RefCell<Option<Connection>>,
    /// Bytes of the last response's body that have arrived.
    received_bytes: Cell<u64>,
}

impl StoreClient {
    /// Creates a client that has no connection yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address: Cell::new(address),
            idle: RefCell::default(),
            received_bytes: Cell::default(),
        }
    }

    /// Calls another address from now on, on a new connection.
    pub fn set_address(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.idle.take();
        }
    }

    /// Bytes of the last response's body that have arrived, also if it was not complete in time.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.get()
    }

    /// Makes one call; the head of the response must arrive within `head_timeout`, and its body may
    /// have `max_bytes`. Returns the head and the body. A connection on which a response was lost is
    /// never used again.
    pub async fn call(
        &self,
        head: RequestHead,
        head_timeout: Duration,
        max_bytes: usize,
    ) -> Result<(ResponseHead, Bytes), CallError> {
        let pending = self.begin(head, head_timeout).await?;
        self.finish(pending, max_bytes, |_| ()).await
    }

    /// Sends a request and waits at most `head_timeout` for the head of its response.
    pub async fn begin(
        &self,
        head: RequestHead,
        head_timeout: Duration,
    ) -> Result<PendingResponse, CallError> {
        self.received_bytes.set(0);
        let response = timeout(head_timeout, self.exchange(head)).await;
        let reply = response.map_err(|_| CallError::TimedOut)?;
        reply.map(PendingResponse).map_err(CallError::Connection)
    }

    /// Sends a request, and once more on a connection of its own each `patience` without the head of a
    /// response, `tries` times in all; the first head that arrives counts. An answer that was lost and
    /// one that is late can't be told apart: asking again serves the one, waiting on the other.
    /// `is_late` is called each time that no head has arrived.
    pub async fn begin_patiently(
        &self,
        head: RequestHead,
        patience: Duration,
        tries: u32,
        is_late: impl Fn(),
    ) -> Result<PendingResponse, CallError> {
        self.received_bytes.set(0);
        let mut pending = FuturesUnordered::new();
        for _ in 0..tries {
            pending.push(self.exchange(head.clone()));
            if let Ok(Some(reply)) = timeout(patience, pending.next()).await {
                return reply.map(PendingResponse).map_err(CallError::Connection);
            }
            is_late();
        }
        Err(CallError::TimedOut)
    }

    /// Reads the rest of a response of at most `max_bytes` for as long as it keeps arriving.
    /// `on_progress` is called after each piece with the number of bytes that have arrived.
    pub async fn finish(
        &self,
        pending: PendingResponse,
        max_bytes: usize,
        on_progress: impl Fn(u64),
    ) -> Result<(ResponseHead, Bytes), CallError> {
        let reading = self.read_body(pending.0, max_bytes, on_progress);
        let reading = timeout(BODY_TIMEOUT, reading);
        reading.await.map_err(|_| CallError::TimedOut)?
    }

    async fn exchange(&self, head: RequestHead) -> Result<Reply, ExchangeError> {
        let idle = self.idle.borrow_mut().take().filter(Connection::is_idle);
        let channel = match idle {
            Some(channel) => channel,
            None => Connection::connect(self.address.get()).await?,
        };
        channel.send(head, Bytes::new(), |_| true, || ()).await
    }

    async fn read_body(
        &self,
        mut reply: Reply,
        max_bytes: usize,
        on_progress: impl Fn(u64),
    ) -> Result<(ResponseHead, Bytes), CallError> {
        let begun_at = Instant::now();
        let mut body = BytesMut::new();
        loop {
            let chunk = timeout(STALL_TIMEOUT, reply.chunk()).await;
            let chunk = chunk.map_err(|_| CallError::TimedOut)?;
            let Some(chunk) = chunk.map_err(CallError::Connection)? else {
                break;
            };
            if body.len() + chunk.len() > max_bytes {
                return Err(CallError::Connection(ExchangeError::Endless));
            }
            body.extend_from_slice(&chunk);
            self.received_bytes.set(body.len() as u64);
            on_progress(body.len() as u64);
            if is_too_slow(body.len() as u64, begun_at.elapsed()) {
                return Err(CallError::Connection(ExchangeError::Endless));
            }
        }
        let mut head = ResponseHead::new(reply.head.status);
        head.headers = std::mem::take(&mut reply.head.headers);
        *self.idle.borrow_mut() = reply.into_connection();
        Ok((head, body.freeze()))
    }
}

/// Whether a body that is not complete arrives so slowly that it is none.
fn is_too_slow(bytes: u64, took: Duration) -> bool {
    took >= MIN_RATE_AFTER
        && u128::from(bytes) * 1_000 < took.as_millis() * u128::from(MIN_BODY_RATE)
}
