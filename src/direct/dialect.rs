//! The interface between the entry and the wire formats of callers, endpoints and the configuration
//! store. A [`Dialect`] only translates between these formats and the types below.

use std::fmt::Debug;
use std::net::SocketAddr;

use actix_http::header::HeaderValue;
use actix_http::{RequestHead, ResponseHead, StatusCode};
use bytes::Bytes;

use crate::announced::Announcement;
use crate::clock::Millis;
use crate::direct::catalog::Catalog;
use crate::direct::directory::Cordon;
use crate::direct::directory::{Change, Era, Listing, Revision};
use crate::direct::known::load::EndpointReport;
use crate::direct::placement::prefix::PromptSegment;
use crate::quarantine::parts::{PartId, SharedParts};

/// The properties of a caller's request that decisions depend on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedRequest {
    /// The caller's id of this request; forwarded unchanged.
    pub id: HeaderValue,
    /// How long the caller waits for the response, counted from when it sent the request; `None`
    /// where it does not say.
    pub caller_timeout: Option<Millis>,
    /// The API key that it sent.
    pub key: Option<String>,
    /// Host that it names, in lower case, without a port.
    pub host: String,
    /// Path without query.
    pub path: String,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptSegment>,
    /// Expected length of the response, in tokens; the caller's own estimate where it gives one.
    pub output_tokens: u64,
    /// Number of the last event that the caller has received; set when it resumes a stream.
    pub last_event: Option<u64>,
    /// Set when the caller resumes a stream.
    pub resumes: Option<Resumes>,
}

impl ParsedRequest {
    /// The parts of the prompt that other requests may hold: all but the last one, which is the
    /// request's or its session's own.
    pub fn shared_parts(&self) -> SharedParts {
        let shared = self.parts.len().saturating_sub(1);
        let parts = self.parts[..shared].iter();
        parts.map(|part| PartId(part.id)).collect()
    }
}

/// The stream that a caller resumes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Resumes {
    /// The caller's id of the request whose response began the stream; `None` where the caller does
    /// not name it.
    pub began_as: Option<HeaderValue>,
}

impl Resumes {
    /// The id of the request that began the stream, as text for the log.
    pub fn began_as_text(&self) -> Option<String> {
        let id = self.began_as.as_ref()?;
        Some(String::from_utf8_lossy(id.as_bytes()).into_owned())
    }
}

/// What the request to an endpoint adds to the caller's request.
#[derive(Debug, Clone, Copy)]
pub struct EndpointRequest<'a> {
    /// Identity of the endpoint that the request is meant for; another one refuses it.
    pub endpoint: &'a str,
    /// Time left until the request's deadline.
    pub time_left: Millis,
    /// Name of the team that sent it.
    pub team: Option<&'a str>,
    /// Urgency, 0 to 9; 0 is the highest.
    pub priority: Option<u8>,
    /// Number of the event after which the stream continues.
    pub last_event: Option<u64>,
    /// Another endpoint from which cached parts of the prompt are fetched before the prefill of the
    /// rest.
    pub fetch_from: Option<SocketAddr>,
    /// Another endpoint that keeps a copy of the run's memory.
    pub copy_to: Option<SocketAddr>,
    /// The address under which the endpoint has a copy of this run, from which it continues.
    pub copy_of: Option<SocketAddr>,
}

/// What the head of an endpoint's response says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseInfo {
    /// Whether it belongs to the current request; otherwise it is a late response to an earlier
    /// one.
    pub belongs_to_request: bool,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// Whether a different endpoint than the intended one has this address.
    pub misdirected: bool,
    /// Whether it carries the header by which an endpoint marks its own responses; without it, a
    /// success does not count.
    pub sealed: bool,
    /// Whether its body is encoded, which no request asks for: it is not the endpoint's own.
    pub encoded: bool,
    /// Load that the endpoint reports.
    pub report: Option<EndpointReport>,
    /// Idle time after which the endpoint closes a connection.
    pub idle_time: Option<Millis>,
    /// What the endpoint announces about accepting requests.
    pub announcement: Announcement,
}

/// An error response that the entry itself sends to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ErrorResponse {
    /// The request did not run and will not; the caller may retry after the given time.
    NotRun(Millis),
    /// The request may have run, but its outcome is unknown.
    Unknown,
    /// The request was sent, and its deadline passed before a response came.
    TimeOver,
    /// No route matches.
    NoRoute,
    /// The key is missing, or no team has it.
    NoKey,
    /// The request can't be parsed.
    Malformed,
    /// The head is longer than allowed.
    HeadTooLong,
    /// The body is longer than allowed.
    BodyTooLong,
    /// The request did not arrive in time.
    TooSlow,
}

/// A response of the store, before its body is parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreAnswer {
    /// The status code.
    pub status: StatusCode,
    /// The era in which the store answered; `None` where it names none.
    pub era: Option<Era>,
    /// The body.
    pub body: Bytes,
}

/// One page of the store's list of endpoints and cordons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The endpoints and cordons on this page.
    pub listing: Listing,
    /// Entries that can't be parsed; they are ignored.
    pub unreadable: Vec<UnreadableEntry>,
    /// Key after which the next page starts; `None` for the last page.
    pub next: Option<String>,
    /// The store's revision when it answered.
    pub current: Revision,
}

/// An entry of the store that can't be parsed; another program may have written it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadableEntry {
    /// Its key.
    pub key: String,
    /// The error.
    pub why: String,
}

/// The store's revision, with a page of the cordons in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The revision.
    pub current: Revision,
    /// The cordons on this page.
    pub cordons: Vec<Cordon>,
    /// Key after which the next page starts; `None` for the last page.
    pub next: Option<String>,
}

/// A change of a document in the store.
#[derive(Debug, Clone)]
pub enum StoreUpdate {
    /// A new version of the configuration.
    Catalog(Box<Catalog>),
    /// A change of the list of endpoints or of the cordons.
    Change(Change),
    /// An entry that can't be parsed. Where its key is that of an endpoint, that endpoint is no
    /// longer listed, which is the change.
    UnreadableEntry(UnreadableEntry, Option<Change>),
}

/// Which documents a watch covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchScope {
    /// The configuration, the list of endpoints and the cordons.
    All,
    /// Only the list of endpoints.
    Endpoints,
}

/// The result of a watch.
#[derive(Debug, Clone)]
pub enum WatchResult {
    /// All changes up to this revision; empty where nothing changed in the time to wait.
    Changes(Vec<StoreUpdate>, Revision),
    /// The store no longer has the history since the requested revision, so everything must be read
    /// again.
    HistoryGone,
}

/// Why a response of the store can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InvalidResponse {
    /// Unexpected status code.
    Status(u16),
    /// A header can't be decoded; the text names it.
    Header(String),
    /// It names no era, although the store has named one before.
    EraMissing,
    /// It is of a former era, and so has been overtaken.
    EraFormer {
        /// Its era.
        named: Era,
        /// The era of the store.
        known: Era,
    },
    /// Two responses that belong together are of different eras.
    ErasDiffer,
    /// The body can't be decoded; the text says where and why.
    Body(String),
}

impl std::fmt::Display for InvalidResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Status(status) => write!(f, "status {status}"),
            Self::EraMissing => f.write_str("no era"),
            Self::EraFormer { named, known } => {
                write!(
                    f,
                    "of the former era {}, the store is in {}",
                    named.0, known.0
                )
            }
            Self::ErasDiffer => f.write_str("the era changed between two responses"),
            Self::Header(why) | Self::Body(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for InvalidResponse {}

/// One set of wire formats.
pub trait Dialect: Debug {
    /// Path at which the load balancer checks whether this entry accepts connections.
    fn readiness_path(&self) -> &str;
    /// Parses the head of a caller's request. The error is the response that the caller gets.
    fn parse_request(&self, head: &RequestHead) -> Result<ParsedRequest, ErrorResponse>;
    /// Makes the head of the request to an endpoint; the body is forwarded unchanged.
    fn endpoint_request(
        &self,
        head: &RequestHead,
        endpoint_request: &EndpointRequest<'_>,
    ) -> RequestHead;
    /// Parses the head of an endpoint's response to the request with this id.
    fn response_info(&self, head: &ResponseHead, id: &HeaderValue) -> ResponseInfo;
    /// Makes the head of the response to the caller from that of the endpoint's response.
    fn caller_response(&self, head: &ResponseHead) -> ResponseHead;
    /// Makes the head of an error response of the entry itself; `id` is `None` where the request
    /// could not be parsed.
    fn error_response(&self, error: ErrorResponse, id: Option<&HeaderValue>) -> ResponseHead;

    /// The era that a response of the store names, whatever its status; `None` where it names none.
    fn store_era(&self, head: &ResponseHead) -> Result<Option<Era>, InvalidResponse>;
    /// Makes the request for the configuration in force.
    fn catalog_query(&self) -> RequestHead;
    /// Parses the response to [`Dialect::catalog_query`]; `None` where there is no configuration
    /// yet.
    fn parse_catalog(&self, answer: &StoreAnswer) -> Result<Option<Box<Catalog>>, InvalidResponse>;
    /// Makes the request for a page of the endpoints and cordons; `from` is [`Page::next`] of the
    /// previous page, or `None` for the first one.
    fn page_query(&self, from: Option<&str>) -> RequestHead;
    /// Parses the response to [`Dialect::page_query`].
    fn parse_page(&self, answer: &StoreAnswer) -> Result<Page, InvalidResponse>;
    /// Makes the request for all changes after a revision; the store waits up to `wait` for the
    /// first one.
    fn watch_query(&self, scope: WatchScope, since: Revision, wait: Millis) -> RequestHead;
    /// Parses the response to [`Dialect::watch_query`].
    fn parse_watch(&self, answer: &StoreAnswer) -> Result<WatchResult, InvalidResponse>;
    /// Makes the request for the store's current revision and a page of the cordons; `from` is
    /// [`Snapshot::next`] of the previous page. Its response is never stale.
    fn snapshot_query(&self, from: Option<&str>) -> RequestHead;
    /// Parses the response to [`Dialect::snapshot_query`].
    fn parse_snapshot(&self, answer: &StoreAnswer) -> Result<Snapshot, InvalidResponse>;
}
