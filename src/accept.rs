//! Accepts connections one by one, and closes those that can't be served in time.

use std::borrow::Borrow;
use std::io;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::clock::{Clock, Millis};

/// Connections to serve that are accepted before other tasks run.
const SERVED_BATCH: u32 = 8;
/// Connections that are closed unread before other tasks run.
const CLOSED_BATCH: u32 = 64;
/// Time for which connections may always be waiting to be accepted.
const MAX_BACKLOG_TIME: Millis = Millis(150);
/// Pause after a connection could not be accepted, for example because of too many open files.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// For how long connections have always been waiting to be accepted.
#[derive(Debug, Default, Clone, Copy)]
pub struct Backlog {
    /// When the first one was accepted since none was waiting.
    since: Option<Millis>,
    /// Connections that were closed unread since then.
    closed: u64,
}

impl Backlog {
    /// Whether a connection that was just accepted is served. Once connections have always been
    /// waiting for too long, more of them come than this process has time for: all that wait are
    /// closed unread, so that callers try another instance.
    pub fn admits(&mut self, now: Millis) -> bool {
        let since = *self.since.get_or_insert(now);
        let is_admitted = now - since < MAX_BACKLOG_TIME;
        self.closed += u64::from(!is_admitted);
        is_admitted
    }

    /// Notes that no connection is waiting; returns the number of those closed unread before.
    pub fn emptied(&mut self) -> u64 {
        std::mem::take(self).closed
    }
}

/// A connection to serve.
#[derive(Debug)]
pub struct Accepted {
    /// The connection.
    pub stream: TcpStream,
    /// Connections that were closed unread since the one before.
    pub closed_unread: u64,
}

/// Accepts the connections of a listener.
#[derive(Debug)]
pub struct Acceptor<L> {
    listener: L,
    clock: Clock,
    backlog: Backlog,
    /// Part of a batch that is used up since other tasks ran, in connections closed unread.
    used: u32,
}

impl<L: Borrow<TcpListener>> Acceptor<L> {
    /// Creates the acceptor of `listener`.
    pub fn new(listener: L, clock: Clock) -> Self {
        Self {
            listener,
            clock,
            backlog: Backlog::default(),
            used: 0,
        }
    }

    /// Waits for the next connection to serve.
    pub async fn next(&mut self) -> Accepted {
        let mut closed_unread = 0;
        loop {
            self.pause().await;
            let accepted = match self.accept_waiting() {
                Some(accepted) => accepted,
                None => {
                    closed_unread += self.end_backlog();
                    self.used = 0;
                    self.listener.borrow().accept().await.map(|(s, _)| s)
                }
            };
            match accepted {
                Ok(stream) if self.backlog.admits(self.clock.now()) => {
                    self.used += CLOSED_BATCH / SERVED_BATCH;
                    return Accepted {
                        stream,
                        closed_unread,
                    };
                }
                Ok(_) => self.used += 1,
                Err(err) => {
                    tracing::warn!(%err, "connection not accepted");
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Lets other tasks run after a batch: what was accepted goes before what waits unread.
    async fn pause(&mut self) {
        if self.used >= CLOSED_BATCH {
            self.used = 0;
            yield_now().await;
        }
    }

    /// Accepts a connection if one is waiting.
    fn accept_waiting(&self) -> Option<io::Result<TcpStream>> {
        let accepted = self.listener.borrow().accept().now_or_never()?;
        Some(accepted.map(|(stream, _)| stream))
    }

    fn end_backlog(&mut self) -> u64 {
        let closed = self.backlog.emptied();
        if closed > 0 {
            tracing::warn!(closed, "more connections than can be served: closed unread");
        }
        closed
    }
}
