//! Links between processes: h2 connections (RFC 9113) that carry framed messages.

use std::cell::Cell;
use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::client::SendRequest;
use h2::{RecvStream, SendStream};
use http::{Method, Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, Instant};

use crate::wire::{self, WireError};

/// Flow-control window of one stream, in bytes; bounds what a slow reader makes us hold.
const STREAM_WINDOW: u32 = 64 << 10;
/// Flow-control window of a whole link, in bytes.
const LINK_WINDOW: u32 = 4 << 20;
/// Streams that a peer may have open on one link.
const MAX_STREAMS: u32 = 10_000;
/// Time to connect and shake hands.
const CONNECT_TIME: Duration = Duration::from_millis(1_000);
/// Time between two looks at whether a link needs a ping.
const PING_LOOK: Duration = Duration::from_millis(500);
/// Silence on a link with open streams after which it is pinged; without open streams it is not.
const PING_AFTER: Duration = Duration::from_millis(1_500);
/// Time for the answer to a ping; after it the link counts as dead and all its streams end.
const PING_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Why a link or a stream ended.
#[derive(Debug, Clone, Copy)]
pub enum LinkError {
    /// No connection in time.
    Connect,
    /// The peer refused the stream, or speaks another wire version.
    Refused,
    /// The connection or the stream broke.
    Broken,
    /// The peer sent a bad frame.
    Wire(WireError),
}

/// What the streams of a link and the task that drives it share.
#[derive(Debug)]
struct Activity {
    alive: Cell<bool>,
    heard: Cell<Instant>,
    streams: Cell<usize>,
}

/// Counts a stream as open until it is dropped.
#[derive(Debug)]
struct OpenStream(Rc<Activity>);

impl OpenStream {
    fn new(activity: &Rc<Activity>) -> Self {
        activity.streams.set(activity.streams.get() + 1);
        Self(Rc::clone(activity))
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.streams.set(self.0.streams.get() - 1);
    }
}

/// The reading half of a stream.
#[derive(Debug)]
pub struct Reader {
    recv: RecvStream,
    buf: BytesMut,
    open: Option<OpenStream>,
}

impl Reader {
    fn new(recv: RecvStream, open: Option<OpenStream>) -> Self {
        Self {
            recv,
            buf: BytesMut::new(),
            open,
        }
    }

    /// The next message; `None` at a clean end between two frames.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, LinkError> {
        loop {
            if let Some(message) = wire::decode(&mut self.buf).map_err(LinkError::Wire)? {
                return Ok(Some(message));
            }
            let Some(data) = self.recv.data().await else {
                return if self.buf.is_empty() {
                    Ok(None)
                } else {
                    Err(LinkError::Broken)
                };
            };
            let data = data.map_err(|_| LinkError::Broken)?;
            let _ = self.recv.flow_control().release_capacity(data.len());
            self.buf.extend_from_slice(&data);
            if let Some(open) = &self.open {
                open.0.heard.set(Instant::now());
            }
        }
    }
}

/// The writing half of a stream.
#[derive(Debug)]
pub struct Writer {
    send: SendStream<Bytes>,
}

impl Writer {
    /// Sends one message, waiting for the peer's window.
    pub async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), LinkError> {
        let mut frame = wire::encode(message);
        while !frame.is_empty() {
            self.send.reserve_capacity(frame.len());
            let granted = poll_fn(|cx| self.send.poll_capacity(cx)).await;
            let Some(Ok(room)) = granted else {
                return Err(LinkError::Broken);
            };
            let part = frame.split_to(room.min(frame.len()));
            self.send
                .send_data(part, false)
                .map_err(|_| LinkError::Broken)?;
        }
        Ok(())
    }

    /// Ends the stream cleanly.
    pub fn close(mut self) {
        let _ = self.send.send_data(Bytes::new(), true);
    }

    /// Resolves when the peer resets the stream or the link breaks.
    pub async fn gone(&mut self) {
        let _ = poll_fn(|cx| self.send.poll_reset(cx)).await;
    }
}

/// A connection that this process opened.
#[derive(Debug, Clone)]
pub struct Link {
    send: SendRequest<Bytes>,
    activity: Rc<Activity>,
}

impl Link {
    /// Connects to a peer and starts the task that drives the connection.
    pub async fn connect(addr: SocketAddr) -> Result<Self, LinkError> {
        let opening = async {
            let tcp = TcpStream::connect(addr)
                .await
                .map_err(|_| LinkError::Connect)?;
            let _ = tcp.set_nodelay(true);
            let mut builder = h2::client::Builder::new();
            builder
                .initial_window_size(STREAM_WINDOW)
                .initial_connection_window_size(LINK_WINDOW)
                .enable_push(false);
            builder
                .handshake::<_, Bytes>(tcp)
                .await
                .map_err(|_| LinkError::Connect)
        };
        let (send, mut conn) = timeout(CONNECT_TIME, opening)
            .await
            .map_err(|_| LinkError::Connect)??;
        let activity = Rc::new(Activity {
            alive: Cell::new(true),
            heard: Cell::new(Instant::now()),
            streams: Cell::new(0),
        });
        let shared = Rc::clone(&activity);
        let pings = conn.ping_pong();
        actix_rt::spawn(async move {
            tokio::select! {
                _ = conn => {}
                () = watch_pings(pings, &shared) => {}
            }
            shared.alive.set(false);
        });
        Ok(Self { send, activity })
    }

    /// Whether the connection still answers.
    pub fn is_alive(&self) -> bool {
        self.activity.alive.get()
    }

    /// Opens a stream; nothing is sent again by itself if it fails.
    pub async fn open(&self, path: &str) -> Result<(Writer, Reader), LinkError> {
        let mut send = self.send.clone();
        let open = OpenStream::new(&self.activity);
        poll_fn(|cx| send.poll_ready(cx))
            .await
            .map_err(|_| LinkError::Broken)?;
        let req = Request::builder().method(Method::POST).uri(path).body(());
        let req = req.map_err(|_| LinkError::Refused)?;
        let (head, stream) = send
            .send_request(req, false)
            .map_err(|_| LinkError::Broken)?;
        let res = head.await.map_err(|_| LinkError::Broken)?;
        if res.status() != StatusCode::OK {
            return Err(LinkError::Refused);
        }
        Ok((
            Writer { send: stream },
            Reader::new(res.into_body(), Some(open)),
        ))
    }
}

/// Returns when a ping stays unanswered for [`PING_TIMEOUT`].
async fn watch_pings(pings: Option<h2::PingPong>, activity: &Activity) {
    let Some(mut pings) = pings else {
        return std::future::pending().await;
    };
    loop {
        sleep(PING_LOOK).await;
        let silent = activity.heard.get().elapsed() >= PING_AFTER;
        if activity.streams.get() == 0 || !silent {
            continue;
        }
        let answered = timeout(PING_TIMEOUT, pings.ping(h2::Ping::opaque())).await;
        if !matches!(answered, Ok(Ok(_))) {
            return;
        }
        activity.heard.set(Instant::now());
    }
}

/// A stream that a peer opened.
#[derive(Debug)]
pub struct Incoming {
    /// Its path, which names its purpose.
    pub path: String,
    /// Messages to the peer.
    pub writer: Writer,
    /// Messages from the peer.
    pub reader: Reader,
    /// Ends the whole connection; used after a malformed message.
    pub abort: Rc<Notify>,
}

/// Serves one accepted connection; `handle` is called for each stream.
pub async fn serve<F>(tcp: TcpStream, paths: &'static [&'static str], handle: F)
where
    F: Fn(Incoming),
{
    let _ = tcp.set_nodelay(true);
    let mut builder = h2::server::Builder::new();
    builder
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(LINK_WINDOW)
        .max_concurrent_streams(MAX_STREAMS);
    let Ok(Ok(mut conn)) = timeout(CONNECT_TIME, builder.handshake::<_, Bytes>(tcp)).await else {
        return;
    };
    let abort = Rc::new(Notify::new());
    loop {
        let accepted = tokio::select! {
            accepted = conn.accept() => accepted,
            () = abort.notified() => {
                conn.abrupt_shutdown(h2::Reason::PROTOCOL_ERROR);
                let _ = poll_fn(|cx| conn.poll_closed(cx)).await;
                return;
            }
        };
        let Some(Ok((req, mut respond))) = accepted else {
            return;
        };
        let path = req.uri().path().to_owned();
        let known = paths.contains(&path.as_str());
        let status = if known {
            StatusCode::OK
        } else {
            StatusCode::NOT_FOUND
        };
        let mut head = Response::new(());
        *head.status_mut() = status;
        let Ok(send) = respond.send_response(head, !known) else {
            continue;
        };
        if known {
            let reader = Reader::new(req.into_body(), None);
            handle(Incoming {
                path,
                writer: Writer { send },
                reader,
                abort: Rc::clone(&abort),
            });
        }
    }
}
