//! One HTTP/1.1 connection to an endpoint, the store or a peer, on the codecs of actix-http.
//!
//! awc is not used here: it treats an HTTP/1.1 response without a length as empty, and when a
//! connection fails, it does not tell whether any byte of the request had been sent.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode};
use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::WriteHalf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::codec::{Decoder, Encoder};

use crate::clock::Millis;
use crate::direct::item_limit::{Endless, ItemLimit};
use crate::response_head::{self, head_length, HeadFault};

/// Timeout for opening a connection. Within a region it takes milliseconds. A lost SYN packet is
/// retransmitted only after a second, so waiting somewhat longer would gain nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after which unacknowledged data closes a connection: some round trips and two
/// retransmissions, and shorter than the timeout of any caller.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Idle time before the first TCP keepalive probe, and interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which a connection is closed.
const MAX_UNANSWERED_PROBES: u32 = 3;
/// Free space in the read buffer before each read, in bytes: some events of a stream.
const READ_BUFFER_BYTES: usize = 2 << 10;
/// Initial buffer space for the head of a request, in bytes.
const HEAD_BUFFER_BYTES: usize = 1 << 10;
/// Maximum length of the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Maximum number of interim responses (1xx) to one request.
const MAX_INTERIM_RESPONSES: u32 = 16;
/// Number of interim responses from which on the final one counts as overdue.
const MANY_INTERIM_RESPONSES: u32 = 4;
/// Maximum length of the framing between two chunks of a body, in bytes.
const MAX_FRAMING_BYTES: usize = 4 << 10;
/// Maximum length of a late response to another request, in bytes.
const MAX_LATE_BYTES: usize = 8 << 20;
/// Maximum number of late responses before the one to a request.
const MAX_LATE_RESPONSES: u32 = 8;
/// Bytes of a connection between two exchanges from which on they count as endless.
const MAX_SURPLUS_BYTES: usize = 64 << 10;

/// How an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// The connection was refused because nothing listens at the address; nothing was sent.
    Refused,
    /// The connection was reset while it was being opened; nothing was sent.
    Reset,
    /// The connection could not be opened for another reason, or not in time; nothing was sent.
    Connect,
    /// The connection failed before any byte of the request was sent.
    NotSent,
    /// Bytes of the request may have been sent, but no complete valid HTTP response came.
    Lost,
    /// The same, and bytes that are no response went on until the connection was closed here.
    Endless,
    /// The same, and what came has a head that is no response's.
    Malformed(HeadFault),
}

impl From<Endless> for ExchangeError {
    fn from(_: Endless) -> Self {
        Self::Endless
    }
}

/// What has arrived of a response; shared with whoever waits for it, since an exchange that takes
/// too long is dropped.
#[derive(Debug, Default)]
pub struct ReadProgress {
    /// Whether bytes have arrived of a head, or of the framing of a body, that is not complete.
    is_inside_item: Cell<bool>,
    /// Bytes of the body that have arrived.
    body_bytes: Cell<usize>,
}

impl ReadProgress {
    /// Whether bytes have arrived of a head, or of the framing of a body, that is not complete.
    pub fn is_inside_item(&self) -> bool {
        self.is_inside_item.get()
    }

    /// Bytes of the body that have arrived.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes.get()
    }

    fn reset(&self) {
        self.is_inside_item.set(false);
        self.body_bytes.set(0);
    }
}

/// Tells when a head that arrives in pieces is worth decoding: decoding begins anew each time.
#[derive(Debug, Default)]
struct HeadScan {
    /// Bytes in which no blank line ends.
    scanned: usize,
    /// Length from which on the head is decoded without a blank line, to find out whether it is
    /// malformed.
    next_try: usize,
}

impl HeadScan {
    /// Whether the head may be complete, or its length has doubled since the last time.
    fn is_due(&mut self, buf: &[u8]) -> bool {
        // The line before the blank one may have ended in bytes that were scanned.
        let from = self.scanned.saturating_sub(b"\n\r\n".len() - 1);
        let rest = &buf[from.min(buf.len())..];
        let line_ends = rest.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
        let mut line_ends = line_ends.map(|(at, _)| &rest[at + 1..]);
        let has_blank_line =
            line_ends.any(|next| next.starts_with(b"\n") || next.starts_with(b"\r\n"));
        self.scanned = buf.len();
        if has_blank_line {
            return true;
        }
        let is_try = !buf.is_empty() && buf.len() >= self.next_try;
        if is_try {
            self.next_try = buf.len() * 2;
        }
        is_try
    }
}

/// An open connection without a pending request.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Bytes that have arrived and are not decoded yet.
    read_buffer: BytesMut,
    /// When it was last used.
    pub idle_since: Millis,
    /// Idle time after which the other side closes it; `None` where it did not say.
    pub idle_time: Option<Millis>,
    opened_at: Instant,
    progress: Rc<ReadProgress>,
    /// Whether a write failed. The error is told once, so that reads see a plain end from then on.
    write_failed: bool,
}

/// How a response marks the end of its body (RFC 9112, 6.3).
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Framing {
    /// By its length, or by a status that never has a body.
    Length,
    /// By its last chunk.
    Chunked,
    /// By the end of the connection.
    Connection,
}

impl Framing {
    /// Value of the metric label.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        }
    }

    /// The framing of the response with this head.
    fn of(head: &ResponseHead) -> Self {
        if head.headers.contains_key(TRANSFER_ENCODING) {
            Self::Chunked
        } else if ends_with_connection(head.status, &head.headers) {
            Self::Connection
        } else {
            Self::Length
        }
    }
}

/// How the end of a response body is recognized.
enum Body {
    /// There is no body, or it has been read completely.
    Done(ClientCodec),
    /// It ends after its `Content-Length`, or with the last chunk.
    Framed(ClientPayloadCodec),
    /// It ends when the connection is closed.
    UntilClose,
    /// The connection can't be read any more: it was closed at the end of the body.
    Closed,
}

impl std::fmt::Debug for Body {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Done(_) => "Done",
            Self::Framed(_) => "Framed",
            Self::UntilClose => "UntilClose",
            Self::Closed => "Closed",
        })
    }
}

/// A response whose body has not been read yet.
#[derive(Debug)]
pub struct Reply {
    /// Status and headers.
    pub head: ResponseHead,
    body: Body,
    connection: Connection,
    /// Whether the whole request has been sent; otherwise the connection can't be reused.
    request_sent: bool,
    /// What has arrived of the framing since the last chunk.
    framing_limit: ItemLimit,
}

impl Connection {
    /// Opens a connection. Fails with [`ExchangeError::Refused`] where nothing listens at the
    /// address, with [`ExchangeError::Reset`] where it was reset, and with
    /// [`ExchangeError::Connect`] on any other error or timeout.
    pub async fn connect(address: SocketAddr) -> Result<Self, ExchangeError> {
        Self::connect_within(address, CONNECT_TIMEOUT).await
    }

    /// Opens a connection like [`Connection::connect`], within another time.
    pub async fn connect_within(
        address: SocketAddr,
        time: Duration,
    ) -> Result<Self, ExchangeError> {
        let connecting = tokio::time::timeout(time, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) => return Err(connect_error(err.kind())),
            Err(_) => return Err(ExchangeError::Connect),
        };
        set_options(&stream);
        Ok(Self {
            stream,
            read_buffer: BytesMut::new(),
            idle_since: Millis(0),
            idle_time: None,
            opened_at: Instant::now(),
            progress: Rc::default(),
            write_failed: false,
        })
    }

    /// What has arrived of the response to the request that is sent next, or was sent last.
    pub fn progress(&self) -> Rc<ReadProgress> {
        Rc::clone(&self.progress)
    }

    /// Time since the connection was opened.
    fn now(&self) -> Millis {
        let elapsed = self.opened_at.elapsed().as_millis();
        Millis(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Whether the connection is open and no bytes have arrived on it. Bytes that arrive between
    /// two exchanges belong to no request, so the connection must not be reused then.
    pub fn is_idle(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit(); 1];
        let seen = SockRef::from(&self.stream).peek(&mut byte);
        let has_nothing_to_read =
            matches!(seen, Err(err) if err.kind() == io::ErrorKind::WouldBlock);
        has_nothing_to_read && self.read_buffer.is_empty()
    }

    /// Whether the other side closes the connection within a time, before any request.
    pub async fn is_closed_within(mut self, time: Duration) -> bool {
        let mut byte = [0; 1];
        let read = tokio::time::timeout(time, self.stream.read(&mut byte)).await;
        read.is_ok_and(|read| read.map_or(true, |bytes| bytes == 0))
    }

    /// Whether more bytes have arrived on it than a late response may have left.
    pub fn has_surplus(&self) -> bool {
        let mut bytes = [std::mem::MaybeUninit::uninit(); MAX_SURPLUS_BYTES];
        let seen = SockRef::from(&self.stream).peek(&mut bytes);
        seen.is_ok_and(|seen| seen >= MAX_SURPLUS_BYTES)
    }

    /// Sends a request and waits for the head of a response for which `matches_request` returns
    /// true; other responses are discarded. `written` is called once the whole request has been
    /// written, if that is before the head.
    ///
    /// Fails with [`ExchangeError::NotSent`] where the connection failed before any byte of the
    /// request was sent, and with [`ExchangeError::Lost`], [`ExchangeError::Endless`] or
    /// [`ExchangeError::Malformed`] after that.
    pub async fn send(
        mut self,
        head: RequestHead,
        body: Bytes,
        matches_request: impl Fn(&ResponseHead) -> bool,
        written: impl FnOnce(),
    ) -> Result<Reply, ExchangeError> {
        let mut codec = ClientCodec::new(service_config());
        let mut out = Outgoing::new(&mut codec, head, body).map_err(|_| ExchangeError::NotSent)?;
        let mut sent = false;
        let mut written = Some(written);
        let mut limit = ItemLimit::new(MAX_HEAD_BYTES);
        let mut scan = HeadScan::default();
        let (mut interim_responses, mut late_responses) = (0, 0);
        let mut arrived = self.read_buffer.len();
        self.progress.reset();
        loop {
            if skip_empty_lines(&mut self.read_buffer) {
                scan = HeadScan::default();
            }
            let decoded = match scan.is_due(&self.read_buffer) {
                true => decode_head(&mut codec, &mut self.read_buffer)?,
                false => None,
            };
            let Some(head) = decoded else {
                if arrived > 0 {
                    limit.arrived(arrived, self.now())?;
                }
                let is_overdue = interim_responses >= MANY_INTERIM_RESPONSES;
                let is_inside_item = limit.has_begun() || is_overdue;
                self.progress.is_inside_item.set(is_inside_item);
                arrived = self.exchange(&mut out, &mut sent).await?;
                if out.is_empty() {
                    if let Some(written) = written.take() {
                        written();
                    }
                }
                continue;
            };
            limit.completed();
            scan = HeadScan::default();
            arrived = self.read_buffer.len();
            if head.status.is_informational() {
                interim_responses += 1;
                if interim_responses > MAX_INTERIM_RESPONSES {
                    return Err(ExchangeError::Endless);
                }
                continue;
            }
            self.progress.is_inside_item.set(false);
            let reply = Reply::new(head, codec, self, out.is_empty());
            if matches_request(&reply.head) {
                return Ok(reply);
            }
            late_responses += 1;
            if late_responses > MAX_LATE_RESPONSES {
                return Err(ExchangeError::Endless);
            }
            (self, codec) = reply.discard().await?;
            arrived = self.read_buffer.len();
        }
    }

    /// Writes or reads some bytes, whichever is possible first. Returns how many were read.
    async fn exchange(
        &mut self,
        out: &mut Outgoing,
        sent: &mut bool,
    ) -> Result<usize, ExchangeError> {
        let failure = if *sent {
            ExchangeError::Lost
        } else {
            ExchangeError::NotSent
        };
        let (mut reader, mut writer) = self.stream.split();
        self.read_buffer.reserve(READ_BUFFER_BYTES);
        tokio::select! {
            biased;
            wrote = out.write_to(&mut writer), if !out.is_empty() => match wrote {
                Ok(()) => {
                    *sent = true;
                    Ok(0)
                }
                Err(_) if *sent => self.read_after_write_error().await,
                Err(_) => Err(failure),
            },
            read = reader.read_buf(&mut self.read_buffer) => match read {
                Ok(n) if n > 0 => Ok(n),
                _ => Err(failure),
            },
        }
    }

    /// Reads once more after a failed write: the response may have arrived before the other side
    /// stopped reading the request. Returns how many bytes were read.
    async fn read_after_write_error(&mut self) -> Result<usize, ExchangeError> {
        self.write_failed = true;
        match self.stream.read_buf(&mut self.read_buffer).await {
            Ok(n) if n > 0 => Ok(n),
            _ => Err(ExchangeError::Lost),
        }
    }
}

impl Reply {
    fn new(
        head: ResponseHead,
        codec: ClientCodec,
        connection: Connection,
        request_sent: bool,
    ) -> Self {
        let framed = codec.message_type() != MessageType::None;
        let body = if framed {
            Body::Framed(codec.into_payload_codec())
        } else if ends_with_connection(head.status, &head.headers) {
            Body::UntilClose
        } else {
            Body::Done(codec)
        };
        Self {
            head,
            body,
            connection,
            request_sent,
            framing_limit: ItemLimit::new(MAX_FRAMING_BYTES),
        }
    }

    /// What has arrived of the response.
    pub fn progress(&self) -> Rc<ReadProgress> {
        self.connection.progress()
    }

    /// How the response marks the end of its body.
    pub fn framing(&self) -> Framing {
        Framing::of(&self.head)
    }

    /// Length of the body in bytes, as the head names it; `None` where it names none.
    pub fn content_length(&self) -> Option<usize> {
        let length = self.head.headers.get(CONTENT_LENGTH)?;
        length.to_str().ok()?.trim().parse().ok()
    }

    /// The next chunk of the body; `None` after its end. Fails with [`ExchangeError::Lost`] where
    /// the body ends early or is malformed, and with [`ExchangeError::Endless`] where its framing
    /// goes on without a chunk.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let mut arrived = 0;
        loop {
            match &mut self.body {
                Body::Done(_) | Body::Closed => return Ok(None),
                Body::UntilClose => return self.unframed_chunk().await,
                Body::Framed(codec) => {
                    let decoded = codec.decode(&mut self.connection.read_buffer);
                    match decoded.map_err(|_| ExchangeError::Lost)? {
                        Some(Some(chunk)) => {
                            self.chunk_arrived(&chunk);
                            return Ok(Some(chunk));
                        }
                        Some(None) => {
                            self.finish_framed_body();
                            return Ok(None);
                        }
                        None if arrived > 0 => self.framing_arrived(arrived)?,
                        None => {}
                    }
                }
            }
            arrived = self.read_more().await?;
        }
    }

    /// Records a chunk of the body.
    fn chunk_arrived(&mut self, chunk: &Bytes) {
        self.framing_limit.completed();
        let progress = &self.connection.progress;
        progress.is_inside_item.set(false);
        let bytes = progress.body_bytes.get() + chunk.len();
        progress.body_bytes.set(bytes);
    }

    /// Records bytes of the framing that complete no chunk.
    fn framing_arrived(&mut self, bytes: usize) -> Result<(), ExchangeError> {
        self.connection.progress.is_inside_item.set(true);
        let now = self.connection.now();
        Ok(self.framing_limit.arrived(bytes, now)?)
    }

    /// Reads the whole body. Fails like [`Reply::chunk`], and with [`ExchangeError::Endless`] where
    /// it is longer than `max_bytes`.
    pub async fn read_body(&mut self, max_bytes: usize) -> Result<Bytes, ExchangeError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.chunk().await? {
            if body.len() + chunk.len() > max_bytes {
                return Err(ExchangeError::Endless);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }

    /// The connection, to be reused for another request; `None` where it can't be reused.
    pub fn into_connection(self) -> Option<Connection> {
        match self.body {
            Body::Done(codec)
                if codec.keep_alive()
                    && self.request_sent
                    && self.connection.read_buffer.is_empty() =>
            {
                Some(self.connection)
            }
            _ => None,
        }
    }

    /// Notes that the framed body has ended, so that the codec expects the next response's head.
    fn finish_framed_body(&mut self) {
        let body = std::mem::replace(&mut self.body, Body::Closed);
        if let Body::Framed(codec) = body {
            self.body = Body::Done(codec.into_message_codec());
        }
    }

    /// The next chunk of a body that ends when the connection is closed; `None` after its end. Fails
    /// with [`ExchangeError::Lost`] where a write has failed: the end may have been a reset.
    async fn unframed_chunk(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        if self.connection.read_buffer.is_empty() {
            self.connection.read_buffer.reserve(READ_BUFFER_BYTES);
            let read = self
                .connection
                .stream
                .read_buf(&mut self.connection.read_buffer)
                .await;
            if read.map_err(|_| ExchangeError::Lost)? == 0 {
                if self.connection.write_failed {
                    return Err(ExchangeError::Lost);
                }
                self.body = Body::Closed;
                return Ok(None);
            }
        }
        let chunk = self.connection.read_buffer.split().freeze();
        self.chunk_arrived(&chunk);
        Ok(Some(chunk))
    }

    /// Reads more bytes of a framed body; returns how many. Fails with [`ExchangeError::Lost`] where
    /// the connection was closed.
    async fn read_more(&mut self) -> Result<usize, ExchangeError> {
        self.connection.read_buffer.reserve(READ_BUFFER_BYTES);
        match self
            .connection
            .stream
            .read_buf(&mut self.connection.read_buffer)
            .await
        {
            Ok(n) if n > 0 => Ok(n),
            _ => Err(ExchangeError::Lost),
        }
    }

    /// Reads and drops the body of a response to another request, and returns the connection.
    async fn discard(mut self) -> Result<(Connection, ClientCodec), ExchangeError> {
        let mut limit = ItemLimit::new(MAX_LATE_BYTES);
        let progress = self.progress();
        progress.is_inside_item.set(true);
        while let Some(chunk) = self.chunk().await? {
            progress.is_inside_item.set(true);
            limit.arrived(chunk.len(), self.connection.now())?;
        }
        progress.reset();
        match self.body {
            Body::Done(codec) => Ok((self.connection, codec)),
            _ => Err(ExchangeError::Lost),
        }
    }
}

/// Decodes the head of a response once it is complete, or finds out before that it is none.
fn decode_head(
    codec: &mut ClientCodec,
    buf: &mut BytesMut,
) -> Result<Option<ResponseHead>, ExchangeError> {
    if let Some(length) = head_length(buf) {
        response_head::check(&buf[..length]).map_err(ExchangeError::Malformed)?;
    }
    codec.decode(buf).map_err(|_| ExchangeError::Lost)
}

/// Drops empty lines before a head (RFC 9112, 2.2); false if there are none.
fn skip_empty_lines(buf: &mut BytesMut) -> bool {
    let is_line_end = |byte: &u8| matches!(byte, b'\r' | b'\n');
    let count = buf.iter().take_while(|byte| is_line_end(byte)).count();
    buf.advance(count);
    count > 0
}

/// How opening a connection failed.
fn connect_error(kind: io::ErrorKind) -> ExchangeError {
    match kind {
        io::ErrorKind::ConnectionRefused => ExchangeError::Refused,
        io::ErrorKind::ConnectionReset => ExchangeError::Reset,
        _ => ExchangeError::Connect,
    }
}

/// Whether a response without a length ends when its connection is closed (RFC 9112, 6.3).
pub fn ends_with_connection(status: StatusCode, headers: &HeaderMap) -> bool {
    let bodiless = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let has_length = headers.contains_key(CONTENT_LENGTH);
    let is_chunked = headers.contains_key(TRANSFER_ENCODING);
    !(bodiless || has_length || is_chunked)
}

/// What is left to be written of a request. The body is not copied: it may be long.
#[derive(Debug)]
struct Outgoing {
    head: BytesMut,
    body: Bytes,
}

impl Outgoing {
    /// Encodes a request.
    fn new(codec: &mut ClientCodec, head: RequestHead, body: Bytes) -> io::Result<Self> {
        // Methods that usually have a body send the length of an empty one too (RFC 9110, 8.6).
        let may_have_body = matches!(head.method, Method::POST | Method::PUT | Method::PATCH);
        let size = match body.len() {
            0 if !may_have_body => BodySize::None,
            length => BodySize::Sized(length as u64),
        };
        let mut out = BytesMut::with_capacity(HEAD_BUFFER_BYTES);
        codec.encode(Message::Item((RequestHeadType::from(head), size)), &mut out)?;
        Ok(Self { head: out, body })
    }

    fn is_empty(&self) -> bool {
        self.head.is_empty() && self.body.is_empty()
    }

    /// Writes some bytes. Nothing has been written where it fails or is cancelled.
    async fn write_to(&mut self, writer: &mut WriteHalf<'_>) -> io::Result<()> {
        let mut rest = (&mut self.head).chain(&mut self.body);
        if writer.write_buf(&mut rest).await? == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        if self.body.is_empty() {
            self.body = Bytes::new();
        }
        Ok(())
    }
}

/// Makes the operating system send without delay and detect a dead peer.
fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    let set = [
        stream.set_nodelay(true),
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for err in set.into_iter().filter_map(Result::err) {
        tracing::warn!(%err, "socket option not set; a dead peer will be detected later");
    }
}

thread_local! {
    /// Shared by all codecs of a thread, because each configuration has a task that updates its
    /// date.
    static SERVICE_CONFIG: ServiceConfig = ServiceConfig::default();
}

/// Configuration of the HTTP codecs, with keep-alive.
pub fn service_config() -> ServiceConfig {
    SERVICE_CONFIG.with(Clone::clone)
}
