//! One HTTP/1.1 connection to an endpoint, the store or a peer, on the codecs of actix-http.
//!
//! awc is not used here: it treats an HTTP/1.1 response without a length as empty, and when a
//! connection fails, it does not tell whether any byte of the request had been sent.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode};
use bytes::{Buf, Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder};

use crate::clock::Millis;

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
}

impl Connection {
    /// Opens a connection. Fails with [`ExchangeError::Refused`] where nothing listens at the
    /// address, with [`ExchangeError::Reset`] where it was reset, and with
    /// [`ExchangeError::Connect`] on any other error or timeout.
    pub async fn connect(address: SocketAddr) -> Result<Self, ExchangeError> {
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
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
        })
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

    /// Sends a request and waits for the head of a response for which `matches_request` returns
    /// true; other responses are discarded.
    ///
    /// Fails with [`ExchangeError::NotSent`] where the connection failed before any byte of the
    /// request was sent, and with [`ExchangeError::Lost`] after that.
    pub async fn send(
        mut self,
        head: RequestHead,
        body: &Bytes,
        matches_request: impl Fn(&ResponseHead) -> bool,
    ) -> Result<Reply, ExchangeError> {
        let mut codec = ClientCodec::new(service_config());
        let mut out = encode(&mut codec, head, body).map_err(|_| ExchangeError::NotSent)?;
        let mut sent = false;
        loop {
            let decoded = codec
                .decode(&mut self.read_buffer)
                .map_err(|_| ExchangeError::Lost)?;
            match decoded {
                Some(head) if head.status.is_informational() => {}
                Some(head) => {
                    let reply = Reply::new(head, codec, self, out.is_empty());
                    if matches_request(&reply.head) {
                        return Ok(reply);
                    }
                    (self, codec) = reply.discard().await?;
                }
                None => self.exchange(&mut out, &mut sent).await?,
            }
        }
    }

    /// Writes or reads some bytes, whichever is possible first.
    async fn exchange(&mut self, out: &mut BytesMut, sent: &mut bool) -> Result<(), ExchangeError> {
        let failure = if *sent {
            ExchangeError::Lost
        } else {
            ExchangeError::NotSent
        };
        let (mut reader, mut writer) = self.stream.split();
        self.read_buffer.reserve(READ_BUFFER_BYTES);
        tokio::select! {
            biased;
            wrote = writer.write(out), if !out.is_empty() => match wrote {
                Ok(n) => {
                    *sent = true;
                    out.advance(n);
                }
                Err(_) if *sent => self.read_after_write_error().await?,
                Err(_) => return Err(failure),
            },
            read = reader.read_buf(&mut self.read_buffer) => match read {
                Ok(n) if n > 0 => {}
                _ => return Err(failure),
            },
        }
        Ok(())
    }

    /// Reads once more after a failed write: the response may have arrived before the other side
    /// stopped reading the request.
    async fn read_after_write_error(&mut self) -> Result<(), ExchangeError> {
        match self.stream.read_buf(&mut self.read_buffer).await {
            Ok(n) if n > 0 => Ok(()),
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
        }
    }

    /// How the response marks the end of its body.
    pub fn framing(&self) -> Framing {
        Framing::of(&self.head)
    }

    /// The next chunk of the body; `None` after its end. Fails with [`ExchangeError::Lost`] where
    /// the body ends early or is malformed.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match &mut self.body {
                Body::Done(_) | Body::Closed => return Ok(None),
                Body::UntilClose => return self.unframed_chunk().await,
                Body::Framed(codec) => {
                    let decoded = codec.decode(&mut self.connection.read_buffer);
                    match decoded.map_err(|_| ExchangeError::Lost)? {
                        Some(Some(chunk)) => return Ok(Some(chunk)),
                        Some(None) => {
                            self.finish_framed_body();
                            return Ok(None);
                        }
                        None => self.read_more().await?,
                    }
                }
            }
        }
    }

    /// Reads the whole body. Fails with [`ExchangeError::Lost`] where it is longer than `max_bytes`
    /// or ends early.
    pub async fn read_body(&mut self, max_bytes: usize) -> Result<Bytes, ExchangeError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.chunk().await? {
            if body.len() + chunk.len() > max_bytes {
                return Err(ExchangeError::Lost);
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

    /// The next chunk of a body that ends when the connection is closed; `None` after its end.
    async fn unframed_chunk(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        if self.connection.read_buffer.is_empty() {
            self.connection.read_buffer.reserve(READ_BUFFER_BYTES);
            let read = self
                .connection
                .stream
                .read_buf(&mut self.connection.read_buffer)
                .await;
            if read.map_err(|_| ExchangeError::Lost)? == 0 {
                self.body = Body::Closed;
                return Ok(None);
            }
        }
        Ok(Some(self.connection.read_buffer.split().freeze()))
    }

    /// Reads more bytes of a framed body. Fails with [`ExchangeError::Lost`] where the connection
    /// was closed.
    async fn read_more(&mut self) -> Result<(), ExchangeError> {
        self.connection.read_buffer.reserve(READ_BUFFER_BYTES);
        match self
            .connection
            .stream
            .read_buf(&mut self.connection.read_buffer)
            .await
        {
            Ok(n) if n > 0 => Ok(()),
            _ => Err(ExchangeError::Lost),
        }
    }

    /// Reads and drops the body of a response to another request, and returns the connection.
    async fn discard(mut self) -> Result<(Connection, ClientCodec), ExchangeError> {
        while self.chunk().await?.is_some() {}
        match self.body {
            Body::Done(codec) => Ok((self.connection, codec)),
            _ => Err(ExchangeError::Lost),
        }
    }
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

/// Encodes a request.
fn encode(codec: &mut ClientCodec, head: RequestHead, body: &Bytes) -> io::Result<BytesMut> {
    // Methods that usually have a body send the length of an empty one too (RFC 9110, 8.6).
    let may_have_body = matches!(head.method, Method::POST | Method::PUT | Method::PATCH);
    let size = match body.len() {
        0 if !may_have_body => BodySize::None,
        length => BodySize::Sized(length as u64),
    };
    let mut out = BytesMut::with_capacity(HEAD_BUFFER_BYTES + body.len());
    codec.encode(Message::Item((RequestHeadType::from(head), size)), &mut out)?;
    if !body.is_empty() {
        codec.encode(Message::Chunk(Some(body.clone())), &mut out)?;
    }
    Ok(out)
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
