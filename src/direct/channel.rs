//! One HTTP/1.1 connection to an endpoint, the store or a peer, on the codecs of actix-http.
//!
//! awc is not used here: it takes an HTTP/1.1 answer without a length for an empty one, and does
//! not tell whether any byte of a request had left when a connection fails.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode};
use bytes::{Buf, Bytes, BytesMut};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::{Decoder, Encoder};

use crate::clock::Millis;

/// Time for a connection to come up. Within a region it takes milliseconds; a dropped opening
/// packet is sent again only after a second, so waiting longer gains nothing.
const CONNECT_TIME: Duration = Duration::from_millis(150);
/// Time after which data without acknowledgement ends a connection: some round trips and two
/// retransmissions, shorter than any caller's patience.
const UNACKNOWLEDGED_TIME: Duration = Duration::from_millis(3_000);
/// Idle time before the system probes whether the other side is still there, and between probes.
const PROBE_EVERY: Duration = Duration::from_secs(1);
/// Probes without an answer that end a connection.
const PROBES: u32 = 3;
/// Room kept for one read, in bytes: some events of a stream.
const READ_ROOM: usize = 2 << 10;
/// Room for the head of a request, in bytes.
const HEAD_ROOM: usize = 1 << 10;

/// How an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// Nothing listens at the address; nothing was sent.
    Refused,
    /// No connection came up; nothing was sent.
    Connect,
    /// The connection failed before any byte of the request had left.
    NotSent,
    /// The connection ended or the answer was no HTTP after something was sent.
    Lost,
}

/// A connection between two exchanges.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// What has arrived and is not decoded yet.
    inbuf: BytesMut,
    /// When it was last used.
    pub idle_since: Millis,
    /// Time that the other side keeps it.
    pub idle_time: Option<Millis>,
}

/// How the body of an answer ends.
enum Body {
    /// There is none, or it has been read.
    Done(ClientCodec),
    /// By its length or its last chunk.
    Framed(ClientPayloadCodec),
    /// With the connection.
    UntilClose,
    /// It has ended with the connection.
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

/// An answer whose body is still to be read.
#[derive(Debug)]
pub struct Reply {
    /// Its head.
    pub head: ResponseHead,
    body: Body,
    channel: Connection,
    /// Whether the whole request has left; otherwise the rest of it is still due there.
    request_sent: bool,
}

impl Connection {
    /// Connects; [`ExchangeError::Refused`] where nothing listens, [`ExchangeError::Connect`] when that fails otherwise or
    /// takes too long.
    pub async fn connect(address: SocketAddr) -> Result<Self, ExchangeError> {
        let connecting = tokio::time::timeout(CONNECT_TIME, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(err)) if err.kind() == io::ErrorKind::ConnectionRefused => {
                return Err(ExchangeError::Refused)
            }
            _ => return Err(ExchangeError::Connect),
        };
        set_options(&stream);
        Ok(Self {
            stream,
            inbuf: BytesMut::new(),
            idle_since: Millis(0),
            idle_time: None,
        })
    }

    /// Whether the connection is open and nothing has arrived on it: an answer that nobody asked
    /// for belongs to no request.
    pub fn is_idle(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit(); 1];
        let seen = SockRef::from(&self.stream).peek(&mut byte);
        let nothing = matches!(seen, Err(err) if err.kind() == io::ErrorKind::WouldBlock);
        nothing && self.inbuf.is_empty()
    }

    /// Sends a request and waits for the head of the answer that `is_own`; others are skipped.
    pub async fn send(
        mut self,
        head: RequestHead,
        body: &Bytes,
        is_own: impl Fn(&ResponseHead) -> bool,
    ) -> Result<Reply, ExchangeError> {
        let mut codec = ClientCodec::new(service_config());
        let mut out = encode(&mut codec, head, body).map_err(|_| ExchangeError::NotSent)?;
        let mut sent = false;
        loop {
            let decoded = codec
                .decode(&mut self.inbuf)
                .map_err(|_| ExchangeError::Lost)?;
            match decoded {
                Some(head) if head.status.is_informational() => {}
                Some(head) => {
                    let reply = Reply::new(head, codec, self, out.is_empty());
                    if is_own(&reply.head) {
                        return Ok(reply);
                    }
                    (self, codec) = reply.skip().await?;
                }
                None => self.exchange(&mut out, &mut sent).await?,
            }
        }
    }

    /// Moves bytes in either direction, whichever can go.
    async fn exchange(&mut self, out: &mut BytesMut, sent: &mut bool) -> Result<(), ExchangeError> {
        let failure = if *sent {
            ExchangeError::Lost
        } else {
            ExchangeError::NotSent
        };
        let (mut reader, mut writer) = self.stream.split();
        self.inbuf.reserve(READ_ROOM);
        tokio::select! {
            biased;
            wrote = writer.write(out), if !out.is_empty() => match wrote {
                Ok(n) => {
                    *sent = true;
                    out.advance(n);
                }
                Err(_) if *sent => self.read_last().await?,
                Err(_) => return Err(failure),
            },
            read = reader.read_buf(&mut self.inbuf) => match read {
                Ok(n) if n > 0 => {}
                _ => return Err(failure),
            },
        }
        Ok(())
    }

    /// Reads on after the other side refused more of a request: its answer may have come before.
    async fn read_last(&mut self) -> Result<(), ExchangeError> {
        match self.stream.read_buf(&mut self.inbuf).await {
            Ok(n) if n > 0 => Ok(()),
            _ => Err(ExchangeError::Lost),
        }
    }
}

impl Reply {
    fn new(
        head: ResponseHead,
        codec: ClientCodec,
        channel: Connection,
        request_sent: bool,
    ) -> Self {
        let framed = codec.message_type() != MessageType::None;
        let body = if framed {
            Body::Framed(codec.into_payload_codec())
        } else if ends_with_connection(&head) {
            Body::UntilClose
        } else {
            Body::Done(codec)
        };
        Self {
            head,
            body,
            channel,
            request_sent,
        }
    }

    /// The next piece of the body; `None` after its end. An early end is [`ExchangeError::Lost`].
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match &mut self.body {
                Body::Done(_) | Body::Closed => return Ok(None),
                Body::UntilClose => return self.unframed_chunk().await,
                Body::Framed(codec) => {
                    let decoded = codec.decode(&mut self.channel.inbuf);
                    match decoded.map_err(|_| ExchangeError::Lost)? {
                        Some(Some(chunk)) => return Ok(Some(chunk)),
                        Some(None) => {
                            self.end_frame();
                            return Ok(None);
                        }
                        None => self.read_more().await?,
                    }
                }
            }
        }
    }

    /// The whole body; [`ExchangeError::Lost`] when it is longer than `most` bytes or ends early.
    pub async fn read_body(&mut self, most: usize) -> Result<Bytes, ExchangeError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.chunk().await? {
            if body.len() + chunk.len() > most {
                return Err(ExchangeError::Lost);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }

    /// The connection, for another request; `None` when it can't be used again.
    pub fn into_connection(self) -> Option<Connection> {
        match self.body {
            Body::Done(codec)
                if codec.keep_alive() && self.request_sent && self.channel.inbuf.is_empty() =>
            {
                Some(self.channel)
            }
            _ => None,
        }
    }

    /// The framed body has ended; the next answer has a head again.
    fn end_frame(&mut self) {
        let body = std::mem::replace(&mut self.body, Body::Closed);
        if let Body::Framed(codec) = body {
            self.body = Body::Done(codec.into_message_codec());
        }
    }

    /// A piece of a body that ends with the connection.
    async fn unframed_chunk(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        if self.channel.inbuf.is_empty() {
            self.channel.inbuf.reserve(READ_ROOM);
            let read = self.channel.stream.read_buf(&mut self.channel.inbuf).await;
            if read.map_err(|_| ExchangeError::Lost)? == 0 {
                self.body = Body::Closed;
                return Ok(None);
            }
        }
        Ok(Some(self.channel.inbuf.split().freeze()))
    }

    /// Reads more of a body that has not ended.
    async fn read_more(&mut self) -> Result<(), ExchangeError> {
        self.channel.inbuf.reserve(READ_ROOM);
        match self.channel.stream.read_buf(&mut self.channel.inbuf).await {
            Ok(n) if n > 0 => Ok(()),
            _ => Err(ExchangeError::Lost),
        }
    }

    /// Reads over the body of an answer that belongs to another request.
    async fn skip(mut self) -> Result<(Connection, ClientCodec), ExchangeError> {
        while self.chunk().await?.is_some() {}
        match self.body {
            Body::Done(codec) => Ok((self.channel, codec)),
            _ => Err(ExchangeError::Lost),
        }
    }
}

/// Whether an answer without a length ends with its connection (RFC 9112, 6.3).
fn ends_with_connection(head: &ResponseHead) -> bool {
    let bodiless = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    let has_length = head.headers.contains_key(CONTENT_LENGTH);
    let is_chunked = head.headers.contains_key(TRANSFER_ENCODING);
    !(bodiless || has_length || is_chunked)
}

/// The bytes of a request.
fn encode(codec: &mut ClientCodec, head: RequestHead, body: &Bytes) -> io::Result<BytesMut> {
    // A method that usually has a body tells the length of an empty one, too (RFC 9110, 8.6).
    let may_have_body = matches!(head.method, Method::POST | Method::PUT | Method::PATCH);
    let size = match body.len() {
        0 if !may_have_body => BodySize::None,
        length => BodySize::Sized(length as u64),
    };
    let mut out = BytesMut::with_capacity(HEAD_ROOM + body.len());
    codec.encode(Message::Item((RequestHeadType::from(head), size)), &mut out)?;
    if !body.is_empty() {
        codec.encode(Message::Chunk(Some(body.clone())), &mut out)?;
    }
    Ok(out)
}

/// Makes the system send at once and notice a dead peer.
fn set_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(PROBE_EVERY)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    let set = [
        stream.set_nodelay(true),
        socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIME)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for err in set.into_iter().filter_map(Result::err) {
        tracing::warn!(%err, "socket option not set; a dead peer will be noticed later");
    }
}

thread_local! {
    /// One for all codecs of the process: each has a task that keeps the date.
    static SERVICE_CONFIG: ServiceConfig = ServiceConfig::default();
}

/// Configuration of the HTTP codecs: connections are kept.
pub fn service_config() -> ServiceConfig {
    SERVICE_CONFIG.with(Clone::clone)
}
