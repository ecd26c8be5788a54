//! Callers' connections: reading whole requests, noticing that a caller left, writing answers.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{ConnectionType, RequestHead, Response, ResponseHead};
use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Decoder, Encoder};

use crate::clock::Millis;
use crate::direct::catalog::CallerLimits;
use crate::direct::channel::service_config;
use crate::direct::decision::EndedHow;
use crate::direct::dialect::Refusal;
use crate::direct::entry::{Entry, Life};
use crate::direct::handle::handle;
use crate::direct::progress::Progress;

/// Room for one read, in bytes.
const READ_ROOM: usize = 4 << 10;
/// Bytes that a caller may send ahead while its request is served; beyond that it has to wait.
const MOST_AHEAD: usize = 64 << 10;
/// Time for a caller to read an answer after which its connection is closed with bytes unread.
const LAST_READ: Duration = Duration::from_millis(500);
/// Pause after an error of the listener, such as too many open files.
const PAUSE: Duration = Duration::from_millis(50);

/// A request that has been read whole.
#[derive(Debug)]
pub struct Incoming {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Bytes,
    /// When its first byte was read.
    pub at: Millis,
}

/// Why no request was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NoRequest {
    /// The caller closed, or the connection was idle too long.
    Closed,
    /// What came is not acceptable.
    Refused(Refusal),
}

/// Accepts connections until the task is ended.
pub async fn accept(entry: Rc<Entry>, listener: Rc<TcpListener>) -> anyhow::Result<()> {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve(Rc::clone(&entry), stream));
            }
            Err(err) => {
                tracing::warn!(%err, "connection not accepted");
                sleep(PAUSE).await;
            }
        }
    }
}

async fn serve(entry: Rc<Entry>, stream: TcpStream) {
    if let Err(err) = stream.set_nodelay(true) {
        tracing::debug!(%err, "small packets may be delayed");
    }
    let (reader, writer) = stream.into_split();
    let mut intake = Intake {
        reader,
        buf: BytesMut::new(),
    };
    let mut answerer = Answerer {
        writer,
        codec: Codec::new(service_config()),
        out: BytesMut::new(),
    };
    loop {
        let read = intake.next(&entry, &mut answerer).await;
        let kept = match read {
            Ok(incoming) => serve_one(&entry, &incoming, &mut intake, &mut answerer).await,
            Err(NoRequest::Refused(refusal)) => {
                let head = entry.dialect.refusal(refusal, None);
                if answerer.whole(head, Bytes::new(), true).await.is_ok() {
                    intake.let_caller_read(&mut answerer).await;
                }
                false
            }
            Err(NoRequest::Closed) => false,
        };
        if !kept {
            return;
        }
    }
}

/// Serves one request; false when the connection is to be closed.
async fn serve_one(
    entry: &Rc<Entry>,
    incoming: &Incoming,
    intake: &mut Intake,
    answerer: &mut Answerer,
) -> bool {
    let _in_flight = entry.count_in_flight();
    let progress = RefCell::new(Progress::default());
    tokio::select! {
        kept = handle(entry, incoming, answerer, &progress) => kept,
        () = intake.caller_left() => {
            progress.borrow().log_ended(entry, incoming, EndedHow::CallerGone, 0);
            false
        }
    }
}

/// The reading side of a connection.
#[derive(Debug)]
struct Intake {
    reader: OwnedReadHalf,
    buf: BytesMut,
}

impl Intake {
    /// Reads the next request whole.
    async fn next(
        &mut self,
        entry: &Entry,
        answerer: &mut Answerer,
    ) -> Result<Incoming, NoRequest> {
        let limits = entry.catalog().map(|c| c.limits).unwrap_or_default();
        if self.buf.is_empty() {
            self.first_bytes(entry, limits).await?;
        }
        let at = entry.clock.now();
        let reading = timeout(limits.head_time.duration(), self.head(answerer, limits));
        let head = reading
            .await
            .map_err(|_| NoRequest::Refused(Refusal::TooSlow))??;
        if head.expect() && self.buf.is_empty() {
            answerer.go_ahead().await?;
        }
        let body = self.body(answerer, limits).await?;
        Ok(Incoming { head, body, at })
    }

    /// Waits for a request to begin; ends when the connection is idle too long or a stop needs it.
    async fn first_bytes(&mut self, entry: &Entry, limits: CallerLimits) -> Result<(), NoRequest> {
        let mut life = entry.watch_life();
        tokio::select! {
            biased;
            read = timeout(limits.idle_time.duration(), self.read()) => match read {
                Ok(read) => read,
                Err(_) => Err(NoRequest::Closed),
            },
            _ = life.wait_for(|life| *life == Life::Stopping) => Err(NoRequest::Closed),
        }
    }

    async fn head(
        &mut self,
        answerer: &mut Answerer,
        limits: CallerLimits,
    ) -> Result<RequestHead, NoRequest> {
        let malformed = |_| NoRequest::Refused(Refusal::Malformed);
        loop {
            let before = self.buf.len();
            if let Some(message) = answerer.codec.decode(&mut self.buf).map_err(malformed)? {
                let too_long = before - self.buf.len() > limits.head_bytes;
                return match message {
                    _ if too_long => Err(NoRequest::Refused(Refusal::HeadTooLong)),
                    Message::Item(req) => Ok(req.head().clone()),
                    Message::Chunk(_) => Err(NoRequest::Refused(Refusal::Malformed)),
                };
            }
            if before > limits.head_bytes {
                return Err(NoRequest::Refused(Refusal::HeadTooLong));
            }
            self.read().await?;
        }
    }

    async fn body(
        &mut self,
        answerer: &mut Answerer,
        limits: CallerLimits,
    ) -> Result<Bytes, NoRequest> {
        if answerer.codec.message_type() == MessageType::None {
            return Ok(Bytes::new());
        }
        let malformed = |_| NoRequest::Refused(Refusal::Malformed);
        let mut body = BytesMut::new();
        loop {
            match answerer.codec.decode(&mut self.buf).map_err(malformed)? {
                Some(Message::Chunk(Some(chunk))) => body.extend_from_slice(&chunk),
                Some(Message::Chunk(None)) => return Ok(body.freeze()),
                Some(Message::Item(_)) => return Err(NoRequest::Refused(Refusal::Malformed)),
                None => {
                    let reading = timeout(limits.head_time.duration(), self.read());
                    reading
                        .await
                        .map_err(|_| NoRequest::Refused(Refusal::TooSlow))??;
                }
            }
            if body.len() > limits.body_bytes {
                return Err(NoRequest::Refused(Refusal::BodyTooLong));
            }
        }
    }

    /// Resolves when the caller has closed its side; what it sends ahead is kept.
    async fn caller_left(&mut self) {
        while self.buf.len() < MOST_AHEAD {
            if self.read().await.is_err() {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Lets a caller read its answer before the connection goes: closing with bytes unread would
    /// reset it and may take the answer along.
    async fn let_caller_read(&mut self, answerer: &mut Answerer) {
        if answerer.writer.shutdown().await.is_err() {
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

    async fn read(&mut self) -> Result<(), NoRequest> {
        self.buf.reserve(READ_ROOM);
        match self.reader.read_buf(&mut self.buf).await {
            Ok(n) if n > 0 => Ok(()),
            _ => Err(NoRequest::Closed),
        }
    }
}

/// The writing side of a connection.
pub struct Answerer {
    writer: OwnedWriteHalf,
    codec: Codec,
    out: BytesMut,
}

impl std::fmt::Debug for Answerer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Answerer")
            .field("codec", &self.codec)
            .finish_non_exhaustive()
    }
}

impl Answerer {
    /// Writes a whole answer; `close` tells the caller that the connection ends with it.
    pub async fn whole(&mut self, head: ResponseHead, body: Bytes, close: bool) -> io::Result<()> {
        let size = BodySize::Sized(body.len() as u64);
        self.put_head(head, size, close)?;
        if !body.is_empty() {
            self.put_chunk(Some(body))?;
        }
        self.flush().await
    }

    /// Begins an answer in pieces with the first one.
    pub async fn begin(&mut self, head: ResponseHead, first: Bytes, close: bool) -> io::Result<()> {
        self.put_head(head, BodySize::Stream, close)?;
        self.piece(first).await
    }

    /// Writes a piece of an answer that was begun.
    pub async fn piece(&mut self, bytes: Bytes) -> io::Result<()> {
        if !bytes.is_empty() {
            self.put_chunk(Some(bytes))?;
        }
        self.flush().await
    }

    /// Ends an answer that was begun; without this it looks broken off.
    pub async fn end(&mut self) -> io::Result<()> {
        self.put_chunk(None)?;
        self.flush().await
    }

    /// Whether the connection is kept after the answer.
    pub fn is_kept(&self) -> bool {
        self.codec.keep_alive()
    }

    async fn go_ahead(&mut self) -> Result<(), NoRequest> {
        let written = self.writer.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
        written.await.map_err(|_| NoRequest::Closed)
    }

    fn put_head(&mut self, head: ResponseHead, size: BodySize, close: bool) -> io::Result<()> {
        let mut res = Response::new(head.status);
        *res.headers_mut() = head.headers;
        if close {
            res.head_mut().set_connection_type(ConnectionType::Close);
        }
        let message = Message::Item((res.drop_body(), size));
        self.codec.encode(message, &mut self.out)
    }

    fn put_chunk(&mut self, chunk: Option<Bytes>) -> io::Result<()> {
        self.codec.encode(Message::Chunk(chunk), &mut self.out)
    }

    async fn flush(&mut self) -> io::Result<()> {
        let written = self.writer.write_all(&self.out).await;
        self.out.clear();
        written
    }
}
