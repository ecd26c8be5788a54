//! A client of the store; peers are asked through it as well.
//!
//! An answer may be large and its link narrow, so a call has no fixed time in all: its head must
//! come in time, and its body must go on arriving.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::{RequestHead, StatusCode};
use bytes::{Bytes, BytesMut};
use tokio::time::timeout;

use crate::direct::channel::{Connection, ExchangeError, Reply};
use crate::direct::dialect::InvalidResponse;

/// Longest body that is read, in bytes.
const MOST_BODY: usize = 16 << 20;
/// Silence within a body after which it is given up: the store and peers send what they have in one
/// go, and three retransmissions of a packet take less.
const STALL: Duration = Duration::from_millis(900);
/// Longest time for a body that goes on arriving: [`MOST_BODY`] over a link of 10 Mbit/s, twice.
const LONGEST: Duration = Duration::from_secs(30);

/// A call to the store that brought nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The connection failed.
    Connection(ExchangeError),
    /// No answer in time, or it stopped arriving.
    TimedOut,
    /// The answer can't be used.
    InvalidResponse(InvalidResponse),
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

/// An answer whose head has come.
#[derive(Debug)]
pub struct Arriving(Reply);

/// A client of the store that keeps one connection.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    /// The connection, while no call is under way on it.
    kept: RefCell<Option<Connection>>,
    /// Bytes of the last answer's body that have arrived.
    received: Cell<u64>,
}

impl StoreClient {
    /// A client without a connection.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            kept: RefCell::default(),
            received: Cell::default(),
        }
    }

    /// Bytes of the last answer's body that arrived, also where it did not end in time.
    pub fn received(&self) -> u64 {
        self.received.get()
    }

    /// Makes one call, whose answer begins within `time`. A connection whose answer was lost is never
    /// used again.
    pub async fn call(
        &self,
        head: RequestHead,
        time: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let arriving = self.begin(head, time).await?;
        self.finish(arriving, |_| ()).await
    }

    /// Sends a request and waits for the head of its answer.
    pub async fn begin(&self, head: RequestHead, time: Duration) -> Result<Arriving, CallError> {
        self.received.set(0);
        let begun = timeout(time, self.exchange(head)).await;
        let reply = begun.map_err(|_| CallError::TimedOut)?;
        reply.map(Arriving).map_err(CallError::Connection)
    }

    /// Reads the rest of an answer as long as it goes on arriving; `arrived` hears how
    /// many bytes are there, after each piece.
    pub async fn finish(
        &self,
        arriving: Arriving,
        arrived: impl Fn(u64),
    ) -> Result<(StatusCode, Bytes), CallError> {
        let reading = timeout(LONGEST, self.read_body(arriving.0, arrived));
        reading.await.map_err(|_| CallError::TimedOut)?
    }

    async fn exchange(&self, head: RequestHead) -> Result<Reply, ExchangeError> {
        let kept = self.kept.borrow_mut().take().filter(Connection::is_idle);
        let channel = match kept {
            Some(channel) => channel,
            None => Connection::connect(self.address).await?,
        };
        channel.send(head, &Bytes::new(), |_| true).await
    }

    async fn read_body(
        &self,
        mut reply: Reply,
        arrived: impl Fn(u64),
    ) -> Result<(StatusCode, Bytes), CallError> {
        let mut body = BytesMut::new();
        loop {
            let piece = timeout(STALL, reply.chunk()).await;
            let piece = piece.map_err(|_| CallError::TimedOut)?;
            let Some(piece) = piece.map_err(CallError::Connection)? else {
                break;
            };
            if body.len() + piece.len() > MOST_BODY {
                return Err(CallError::Connection(ExchangeError::Lost));
            }
            body.extend_from_slice(&piece);
            self.received.set(body.len() as u64);
            arrived(body.len() as u64);
        }
        let status = reply.head.status;
        *self.kept.borrow_mut() = reply.into_connection();
        Ok((status, body.freeze()))
    }
}
