//! A client of the store; peers are asked through it as well.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::{RequestHead, StatusCode};
use bytes::Bytes;
use tokio::time::timeout;

use crate::direct::channel::{Channel, Failure};
use crate::direct::dialect::Unusable;

/// Longest body that is read from the store, in bytes.
const MOST_BODY: usize = 16 << 20;

/// A call to the store that brought nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The connection failed.
    Connection(Failure),
    /// No answer in time.
    Silent,
    /// The answer can't be used.
    Unusable(Unusable),
}

impl std::fmt::Display for CallError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Connection(failure) => write!(f, "connection: {failure:?}"),
            Self::Silent => f.write_str("no answer in time"),
            Self::Unusable(why) => write!(f, "unusable answer: {why}"),
        }
    }
}

/// A client of the store that keeps one connection.
#[derive(Debug)]
pub struct StoreClient {
    address: SocketAddr,
    /// The connection, while no call is under way on it.
    kept: RefCell<Option<Channel>>,
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

    /// Makes one call. A connection whose answer was lost is never used again.
    pub async fn call(
        &self,
        head: RequestHead,
        time: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let called = timeout(time, self.exchange(head)).await;
        called
            .map_err(|_| CallError::Silent)?
            .map_err(CallError::Connection)
    }

    async fn exchange(&self, head: RequestHead) -> Result<(StatusCode, Bytes), Failure> {
        self.received.set(0);
        let kept = self.kept.borrow_mut().take().filter(Channel::is_quiet);
        let channel = match kept {
            Some(channel) => channel,
            None => Channel::connect(self.address).await?,
        };
        let mut reply = channel.send(head, &Bytes::new(), |_| true).await?;
        let body = reply
            .whole(MOST_BODY, |n| self.received.set(n as u64))
            .await?;
        let status = reply.head.status;
        *self.kept.borrow_mut() = reply.into_channel();
        Ok((status, body))
    }
}
