//! The edge towards the outside: what callers, endpoints and the configuration store put on the
//! wire, decoded once into the types below. An implementation only translates.

use std::fmt::Debug;
use std::net::SocketAddr;

use actix_http::header::HeaderValue;
use actix_http::{RequestHead, ResponseHead, StatusCode};

use crate::announced::Announcement;
use crate::clock::Millis;
use crate::direct::catalog::Catalog;
use crate::direct::directory::Cordon;
use crate::direct::directory::{Change, Listing, Revision};
use crate::direct::load::EndpointReport;
use crate::direct::prefix::PromptSegment;

/// A caller's request, as far as decisions need it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsedRequest {
    /// The caller's id of this request; passed on byte for byte.
    pub id: HeaderValue,
    /// How long the caller waits, counted from when it sent the request.
    pub caller_timeout: Option<Millis>,
    /// The key that it presents.
    pub key: Option<String>,
    /// Host that it names, in lower case, without a port.
    pub host: String,
    /// Path without query.
    pub path: String,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptSegment>,
    /// Tokens that the answer may have, by the caller's own guess where it gives one.
    pub output_tokens: u64,
    /// Number of the last event that the caller has, when it takes up a stream.
    pub last_event: Option<u64>,
}

/// What an order to an endpoint adds to a caller's request.
#[derive(Debug, Clone, Copy)]
pub struct EndpointRequest<'a> {
    /// Identity of the endpoint that is meant.
    pub endpoint: &'a str,
    /// Time left for the work.
    pub time_left: Millis,
    /// Team for which it is done.
    pub team: Option<&'a str>,
    /// Urgency, 0 to 9.
    pub priority: Option<u8>,
    /// Event after which a stream goes on.
    pub last_event: Option<u64>,
    /// Another endpoint from which kept parts of the prompt are taken before it is read.
    pub fetch_from: Option<SocketAddr>,
    /// Another endpoint that is to keep a copy of the run's memory.
    pub copy_to: Option<SocketAddr>,
    /// The address under which the endpoint has kept a copy of this run; the run goes on from it.
    pub copy_of: Option<SocketAddr>,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseInfo {
    /// Whether it answers the request at hand; others are late answers to earlier ones.
    pub is_own: bool,
    /// Whether the endpoint says that it did not run the request.
    pub not_run: bool,
    /// Whether another endpoint than the one meant has this address.
    pub misdirected: bool,
    /// Whether it carries the endpoint's seal, without which a success does not count.
    pub sealed: bool,
    /// Load that it tells.
    pub report: Option<EndpointReport>,
    /// Time that the endpoint keeps an idle connection.
    pub idle_time: Option<Millis>,
    /// What the endpoint announces of itself.
    pub announcement: Announcement,
}

/// Why a caller gets an answer of our own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Nothing ran and nothing will; come back after the given time.
    NotRun(Millis),
    /// It may have run, and its end is not known.
    Unknown,
    /// It was sent and the time was over before an answer came.
    TimeOver,
    /// No such route.
    NoRoute,
    /// No key, or one that nobody holds.
    NoKey,
    /// The request can't be read.
    Malformed,
    /// The head is longer than allowed.
    HeadTooLong,
    /// The body is longer than allowed.
    BodyTooLong,
    /// The request did not arrive in time.
    TooSlow,
}

/// One page of the list of endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// What it lists.
    pub listing: Listing,
    /// Entries that can't be read; they name nothing.
    pub unreadable: Vec<Unreadable>,
    /// Where the next page starts, when there is one.
    pub next: Option<String>,
    /// The store's revision when it answered.
    pub current: Revision,
}

/// An entry of the store that can't be read, and why: its writer may be another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unreadable {
    /// Its key.
    pub key: String,
    /// What is wrong with it.
    pub why: String,
}

/// The store's revision, with the cordons that stood then.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The revision.
    pub current: Revision,
    /// The cordons; `None` where they are more than fit into one answer.
    pub cordons: Option<Vec<Cordon>>,
}

/// A document that was written or removed.
#[derive(Debug, Clone)]
pub enum StoreUpdate {
    /// A version of the configuration.
    Catalog(Box<Catalog>),
    /// A change of the list of endpoints, or of the cordons.
    Change(Change),
    /// An entry that can't be read, and what that changes: an endpoint of its key is no longer named.
    Unreadable(Unreadable, Option<Change>),
}

/// What a watch is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchScope {
    /// The configuration, the list of endpoints and the cordons.
    All,
    /// The list of endpoints alone.
    Endpoints,
}

/// What a watch brought.
#[derive(Debug, Clone)]
pub enum WatchResult {
    /// Changes up to a revision; none when the wait was over.
    Changes(Vec<StoreUpdate>, Revision),
    /// The history since the asked revision is gone; everything must be read anew.
    HistoryGone,
}

/// An answer of the store that can't be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum InvalidResponse {
    /// Another status than the ones expected.
    Status(u16),
    /// A body that does not decode; where and why.
    Body(String),
}

impl std::fmt::Display for InvalidResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Status(status) => write!(f, "status {status}"),
            Self::Body(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for InvalidResponse {}

/// One set of wire formats.
pub trait Dialect: Debug {
    /// Path under which the balancer asks whether this entry takes connections.
    fn readiness_path(&self) -> &str;
    /// Reads a caller's request.
    fn parse_request(&self, head: &RequestHead) -> Result<ParsedRequest, Refusal>;
    /// Writes the head of the request for an endpoint; the body stays as it is.
    fn endpoint_request(
        &self,
        head: &RequestHead,
        endpoint_request: &EndpointRequest<'_>,
    ) -> RequestHead;
    /// Reads the head of an endpoint's answer to `id`.
    fn response_info(&self, head: &ResponseHead, id: &HeaderValue) -> ResponseInfo;
    /// Writes the head for the caller from that of the endpoint.
    fn answer(&self, head: &ResponseHead) -> ResponseHead;
    /// Writes the head of an answer of our own.
    fn refusal(&self, refusal: Refusal, id: Option<&HeaderValue>) -> ResponseHead;

    /// Asks the store for the configuration in force.
    fn catalog_query(&self) -> RequestHead;
    /// Reads that answer; `None` while there is no configuration.
    fn catalog(
        &self,
        status: StatusCode,
        body: &[u8],
    ) -> Result<Option<Box<Catalog>>, InvalidResponse>;
    /// Asks for a page of the list of endpoints and of the cordons.
    fn page_query(&self, from: Option<&str>) -> RequestHead;
    /// Reads a page.
    fn page(&self, status: StatusCode, body: &[u8]) -> Result<Page, InvalidResponse>;
    /// Asks for changes after a revision, and to wait for one.
    fn watch_query(&self, scope: WatchScope, since: Revision, wait: Millis) -> RequestHead;
    /// Reads the changes.
    fn watched(&self, status: StatusCode, body: &[u8]) -> Result<WatchResult, InvalidResponse>;
    /// Asks for the store's revision and the cordons, with an answer that is never stale.
    fn snapshot_query(&self) -> RequestHead;
    /// Reads them.
    fn snapshot(&self, status: StatusCode, body: &[u8]) -> Result<Snapshot, InvalidResponse>;
}
