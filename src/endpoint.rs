//! Endpoints as a sidecar sees them: a trait at the process's edge, and HTTP behind it.

use std::future::ready;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue, CONTENT_ENCODING, CONTENT_TYPE, HOST};
use actix_http::{Method, RequestHead, ResponseHead, Uri};
use awc::http::header::{DATE, RETRY_AFTER};
use awc::http::StatusCode;
use awc::{Client, Connector};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::LocalBoxStream;
use futures_util::{stream, FutureExt, StreamExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::announced::{self, AnnouncedLimit, Announcement};
use crate::bundle::PoolKind;
use crate::direct::channel::{self, Connection, ExchangeError, Framing};
use crate::ids::{Incarnation, RequestId};

/// Time for small orders such as a cancellation.
const ORDER_TIME: Duration = Duration::from_secs(2);
/// Time to connect.
const CONNECT_TIME: Duration = Duration::from_secs(1);
/// Header that names the run.
pub const RUN_HEADER: &str = "x-run-id";
/// Header that names the life of the sidecar that orders.
pub const INCARNATION_HEADER: &str = "x-incarnation";
/// Header with the class's urgency, 0 first.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header with the count of tokens to go on after.
pub const RESUME_HEADER: &str = "x-resume-from";

/// Header of an answer that says, as `1`, that the endpoint leaves.
pub const LEAVING_HEADER: &str = "x-endpoint-leaving";
/// Header of an answer: the requests a second that the endpoint takes at most, as a decimal number.
pub const LIMIT_HEADER: &str = "x-endpoint-limit";

/// One order to run something.
#[derive(Debug, Clone)]
pub struct Call {
    /// The run.
    pub run: RequestId,
    /// The sidecar's life.
    pub incarnation: Incarnation,
    /// The class's urgency.
    pub priority: u8,
    /// Path on a plain service.
    pub path: String,
    /// Body.
    pub body: Bytes,
    /// Tokens already delivered of a paused run that goes on; `None` for a first start.
    pub resume_from: Option<u64>,
}

/// Why an endpoint did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointError {
    /// Nothing was sent: it positively did not run.
    NotSent,
    /// The work was sent, and the answer did not come.
    Lost,
}

/// The head and the coming body of an endpoint's answer.
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Position that a resumed stream goes on after, if the endpoint says so.
    pub resumed_at: Option<u64>,
    /// What the endpoint announces of itself.
    pub announcement: Announcement,
    /// Body in pieces.
    pub body: LocalBoxStream<'static, Result<Bytes, EndpointError>>,
}

impl std::fmt::Debug for Reply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Reply")
            .field("status", &self.status)
            .finish_non_exhaustive()
    }
}

/// The endpoint's protocol; the users' real one takes this place.
pub trait Endpoint {
    /// Runs a call; nothing is sent twice.
    fn call(&self, call: Call) -> LocalBoxFuture<'_, Result<Reply, EndpointError>>;
    /// Stops a run; returns once the endpoint has confirmed or can't be reached.
    fn cancel(&self, run: RequestId) -> LocalBoxFuture<'_, bool>;
    /// Whether nothing listens any more at its address: its process has ended.
    fn is_gone(&self) -> LocalBoxFuture<'_, bool>;
    /// Shuts out orders and ends runs of earlier incarnations.
    fn fence(&self, incarnation: Incarnation) -> LocalBoxFuture<'_, bool>;
}

/// An endpoint over HTTP.
#[derive(Clone)]
pub struct HttpEndpoint {
    client: Client,
    base: String,
    kind: PoolKind,
}

impl std::fmt::Debug for HttpEndpoint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HttpEndpoint")
            .field("base", &self.base)
            .finish_non_exhaustive()
    }
}

impl HttpEndpoint {
    /// An endpoint at a base address.
    ///
    /// Work goes out on a connection of its own each time: on a reused one that the endpoint is
    /// closing, work that was never read could not be told from work that ran. Orders follow no
    /// redirects, which would send them again.
    pub fn new(base: &str, kind: PoolKind) -> Self {
        let connector = Connector::new().timeout(CONNECT_TIME).limit(0);
        let client = Client::builder()
            .connector(connector)
            .disable_timeout()
            .disable_redirects()
            .finish();
        Self {
            client,
            base: base.trim_end_matches('/').into(),
            kind,
        }
    }

    /// Sends work on [`Connection`]: awc takes a body that ends early for a whole one, and passes on
    /// heads with faults.
    async fn send(&self, call: Call) -> Result<Reply, EndpointError> {
        let (address, head) = self.work_request(&call).ok_or(EndpointError::NotSent)?;
        let connection = Connection::connect_within(address, CONNECT_TIME).await;
        let connection = connection.map_err(|_| EndpointError::NotSent)?;
        let sending = connection.send(head, call.body, |_| true, || ());
        match sending.await {
            Ok(answer) => Ok(reply(answer)),
            Err(ExchangeError::NotSent) => Err(EndpointError::NotSent),
            Err(_) => Err(EndpointError::Lost),
        }
    }

    /// The address and the head of the request for some work; `None` where the base address or the
    /// path can't be one.
    fn work_request(&self, call: &Call) -> Option<(SocketAddr, RequestHead)> {
        let url = match self.kind {
            PoolKind::Model => format!("{}/v1/chat/completions", self.base),
            PoolKind::Plain => format!("{}{}", self.base, call.path),
        };
        let url: Uri = url.parse().ok()?;
        let host = url.authority()?.as_str();
        let mut head = RequestHead::default();
        head.method = Method::POST;
        head.uri = url.path_and_query()?.as_str().parse().ok()?;
        let mut put = |name: &str, value: &str| {
            let name = HeaderName::try_from(name).ok()?;
            head.headers
                .insert(name, HeaderValue::try_from(value).ok()?);
            Some(())
        };
        put(HOST.as_str(), host)?;
        put(CONTENT_TYPE.as_str(), "application/json")?;
        put(RUN_HEADER, &call.run.to_string())?;
        put(INCARNATION_HEADER, &call.incarnation.0.to_string())?;
        put(PRIORITY_HEADER, &call.priority.to_string())?;
        if let Some(from) = call.resume_from {
            put(RESUME_HEADER, &from.to_string())?;
        }
        Some((host.parse().ok()?, head))
    }

    /// Whether a connection is refused at once; one that hangs tells nothing.
    async fn refuses_connections(&self) -> bool {
        let Some(address) = self.base.strip_prefix("http://") else {
            return false;
        };
        let connected = timeout(CONNECT_TIME, TcpStream::connect(address)).await;
        matches!(connected, Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused)
    }

    async fn order(&self, path: String, incarnation: Option<Incarnation>) -> bool {
        let mut req = self
            .client
            .post(format!("{}{path}", self.base))
            .timeout(ORDER_TIME);
        if let Some(incarnation) = incarnation {
            req = req.insert_header((INCARNATION_HEADER, incarnation.0.to_string()));
        }
        matches!(req.send().await, Ok(res) if res.status().is_success())
    }
}

impl Endpoint for HttpEndpoint {
    fn call(&self, call: Call) -> LocalBoxFuture<'_, Result<Reply, EndpointError>> {
        self.send(call).boxed_local()
    }

    fn cancel(&self, run: RequestId) -> LocalBoxFuture<'_, bool> {
        match self.kind {
            PoolKind::Model => self
                .order(format!("/v1/runs/{run}/cancel"), None)
                .boxed_local(),
            PoolKind::Plain => ready(false).boxed_local(),
        }
    }

    fn is_gone(&self) -> LocalBoxFuture<'_, bool> {
        self.refuses_connections().boxed_local()
    }

    fn fence(&self, incarnation: Incarnation) -> LocalBoxFuture<'_, bool> {
        match self.kind {
            PoolKind::Model => self
                .order("/v1/fence".into(), Some(incarnation))
                .boxed_local(),
            PoolKind::Plain => ready(false).boxed_local(),
        }
    }
}

/// The limit that an answer names.
fn limit(head: &ResponseHead) -> AnnouncedLimit {
    let named = head.headers.get_all(LIMIT_HEADER);
    // What is no text can't be read as a limit either.
    AnnouncedLimit::parse(named.map(|value| value.to_str().unwrap_or_default()))
}

fn reply(answer: channel::Reply) -> Reply {
    let head = &answer.head;
    let header = |name: &str| {
        let value = head.headers.get(name).and_then(|v| v.to_str().ok());
        value.map(str::to_owned)
    };
    let rest =
        header(RETRY_AFTER.as_str()).filter(|_| head.status == StatusCode::SERVICE_UNAVAILABLE);
    let answered = header(DATE.as_str());
    let announcement = Announcement {
        leaves: header(LEAVING_HEADER).as_deref() == Some("1"),
        rest: rest.and_then(|told| announced::parse_retry_after(&told, answered.as_deref())),
        limit: limit(head),
    };
    Reply {
        status: head.status.as_u16(),
        announcement,
        content_type: header(CONTENT_TYPE.as_str()).unwrap_or_default(),
        resumed_at: header(RESUME_HEADER).and_then(|v| v.parse().ok()),
        body: body(answer),
    }
}

/// The body in pieces. One that its connection ends, or that is encoded, is none that can be passed
/// on.
fn body(answer: channel::Reply) -> LocalBoxStream<'static, Result<Bytes, EndpointError>> {
    let is_encoded = answer.head.headers.contains_key(CONTENT_ENCODING);
    if is_encoded || answer.framing() == Framing::Connection {
        return stream::once(ready(Err(EndpointError::Lost))).boxed_local();
    }
    let pieces = stream::try_unfold(answer, |mut answer| async move {
        let piece = answer.chunk().await.map_err(|_| EndpointError::Lost)?;
        Ok(piece.map(|piece| (piece, answer)))
    });
    pieces.boxed_local()
}
