//! The decision log: one structured line for each decision about a request and for each change of
//! the process's state or of what it knows about endpoints, peers and the configuration.
//!
//! Lines are JSON on standard output. The number of lines per second is limited for each kind. A
//! blocked writer drops lines instead of delaying requests. Dropped lines are counted, and the
//! counts are logged as [`Decision::Dropped`].

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io::Write;

use serde::{Deserialize, Serialize};

use crate::announced::DeclineReason;
use crate::clock::{Clock, Millis};
use crate::direct::channel::Framing;
use crate::direct::directory::Era;
use crate::direct::ends::{EndSign, LostRun};
use crate::direct::entry::Lack;
use crate::direct::resolve::Denied;
use crate::direct::sync::Document;
use crate::fingerprint::Fingerprint;
use crate::quarantine::parts::PartId;

/// Maximum lines per second about successful requests. A fully loaded entry serves a few hundred
/// requests per second, and writing a line takes about 10 microseconds.
const MAX_SERVED_LINES_PER_S: u32 = 300;
/// Maximum lines per second about failed requests. They have their own limit, so that successful
/// requests can't crowd them out; failures of the most urgent requests have another one of this
/// size.
const MAX_FAILED_LINES_PER_S: u32 = 120;
/// Maximum lines per second about changes of the process's state.
const MAX_STATE_LINES_PER_S: u32 = 80;
/// Number of [`LineKind`]s.
const KIND_COUNT: usize = 4;

/// Reason in [`Decision::EndpointHealth`] where no connection to the endpoint could be opened.
pub const NO_CONNECTION: &str = "no connection";

/// Why this entry refused a request that no endpoint ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The configuration does not allow it, or is too old to tell.
    Denied(Denied),
    /// No endpoint of the pool is reachable.
    NoEndpoint,
    /// All endpoints of the pool that would otherwise accept requests have asked this instance to
    /// back off.
    EndpointsRest {
        /// Time until the first back-off ends, in ms.
        first_back_ms: u64,
    },
    /// All endpoints of the pool that would otherwise accept requests have announced a request
    /// rate limit, and other requests use these limits up.
    EndpointsLimited {
        /// Time until a permit for one of them can be requested, in ms.
        first_free_ms: u64,
    },
    /// The pool is overloaded, and the request would wait too long.
    Overload {
        /// Estimated time until its first event at the best endpoint, in ms.
        expected_ms: u64,
        /// Mean time that the pool's endpoints need to prefill their pending prompts, in ms.
        backlog_ms: u64,
    },
    /// The free slots of the endpoints are reserved for more urgent requests, or only part of the
    /// requests of this urgency is sent and this one is not among them.
    RoomKept {
        /// Percentage of such requests that are sent.
        sent_percent: u32,
    },
    /// Several endpoints in a row ended while they ran a request with the same fingerprint.
    EndsEndpoints {
        /// Digest of what the request asks for.
        fingerprint: Fingerprint,
        /// Number of endpoints that ended in a row.
        ends: usize,
        /// Time after which it may be repeated, in ms.
        come_back_ms: u64,
    },
    /// Endpoints ended when they began to answer prompts with a part that this one holds.
    PartEndsEndpoints {
        /// The part.
        part: PartId,
        /// Number of endpoints that ended.
        ends: usize,
        /// Time after which the request may be repeated, in ms.
        come_back_ms: u64,
    },
    /// The caller resumes a stream, and it is not known at which of several software versions that
    /// began.
    OriginUnknown,
    /// The caller resumes a stream, and no endpoint of the software version that began it is
    /// available.
    VersionGone,
    /// The endpoint answered that it did not run the request, and no further attempt is allowed.
    EndpointRefused,
    /// Its deadline passed before it could be sent.
    TimeOver,
    /// There is no memory for its body beside what is held for others, or it gave way to another
    /// one while it arrived.
    NoMemory {
        /// Length of the body as far as known, in bytes.
        body_bytes: u64,
        /// Bytes that are held for all purposes.
        held_bytes: u64,
    },
    /// Its body is longer than this entry could ever hold.
    BodyTooLarge {
        /// Length of the body as far as known, in bytes.
        body_bytes: u64,
    },
    /// Its body did not arrive in time.
    BodyTooSlow {
        /// Bytes that had arrived.
        arrived_bytes: u64,
    },
    /// This process is stopping.
    Stopping,
}

/// How a request ended that this entry did not refuse.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The complete response was delivered.
    Served,
    /// An error response of the endpoint was delivered.
    EndpointError,
    /// The endpoint may have run it, but no valid response came.
    Unknown,
    /// Its deadline passed.
    TimeOver,
    /// The stream broke off and could not be resumed, or the caller did not read the answer in time.
    Broken,
    /// The caller disconnected.
    CallerGone,
}

impl RequestOutcome {
    /// Value of the metric label.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Served => "served",
            Self::EndpointError => "endpoint_error",
            Self::Unknown => "unknown",
            Self::TimeOver => "time_over",
            Self::Broken => "broken",
            Self::CallerGone => "caller_gone",
        }
    }
}

/// What is logged of a run that was lost with its endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostRunRecord {
    /// Parts of the prompt that other requests may hold, in order.
    parts: Vec<PartId>,
    /// Time from the first byte of the answer to the loss, in ms; `None` where none had arrived.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    answered_ms: Option<u64>,
}

impl LostRunRecord {
    /// The record of a lost run.
    pub fn of(run: &LostRun) -> Self {
        Self {
            parts: run.parts.to_vec(),
            answered_ms: run.answer_began.map(|at| (run.lost - at).0),
        }
    }

    /// Whether the prompt held one of these parts.
    pub fn has_any(&self, parts: &BTreeSet<PartId>) -> bool {
        self.parts.iter().any(|part| parts.contains(part))
    }
}

/// What is logged of the list of endpoints.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRecord {
    /// Store revision up to which it is complete.
    pub revision: u64,
    /// Era of that revision; `None` where the store names none.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub era: Option<Era>,
    /// Time since it was last known to hold all that the store had, in ms.
    pub age_ms: u64,
    /// Who told that: `store`, `listing`, or a peer's address.
    pub from: String,
}

/// One decision or change of state, with the inputs that led to it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Decision {
    /// A request is about to be sent to an endpoint.
    Placed {
        /// Name of the route.
        route: String,
        /// Identity of the endpoint.
        endpoint: String,
        /// Version of its software.
        #[serde(skip_serializing_if = "String::is_empty", default)]
        software_version: String,
        /// Id of the request whose response began the stream, where the caller resumes one and names
        /// it.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        resumes: Option<String>,
        /// Number of the attempt, counted from 1.
        attempt: u32,
        /// Urgency that is passed to the endpoint; 0 is the highest.
        #[serde(default)]
        priority: u8,
        /// Estimated time until the first event, in ms.
        expected_ms: u64,
        /// Prompt tokens that the endpoint is assumed to have cached.
        cached: u64,
        /// Prompt tokens that it fetches from another endpoint's memory.
        #[serde(skip_serializing_if = "is_zero", default)]
        moved: u64,
        /// Identity of that other endpoint.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        moved_from: Option<String>,
        /// Prompt tokens that it has to prefill.
        unread: u32,
        /// Number of endpoints of the pool that are reserved for latency-sensitive streams.
        #[serde(skip_serializing_if = "is_zero", default)]
        reserved_endpoints: usize,
        /// Whether the endpoint is one of them.
        #[serde(skip_serializing_if = "std::ops::Not::not", default)]
        reserved: bool,
        /// Requests running at the endpoint, of all entries as far as known.
        running: u32,
        /// Version of the configuration in force.
        catalog: u64,
        /// Time since that configuration was last proven to be the newest, in ms.
        proof_age_ms: Option<u64>,
        /// The list of endpoints from which it was chosen.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        list: Option<Box<ListRecord>>,
        /// Time left until the request's deadline, in ms.
        left_ms: u64,
        /// Set when the request is sent although the endpoint has announced that it wants no
        /// requests: the reason that it gave.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        against: Option<DeclineReason>,
        /// Rate limit that the endpoint announced for all instances together, in requests per
        /// second.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        limit_per_s: Option<f64>,
        /// Identity of the endpoint that keeps a copy of the run's memory.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        copy: Option<String>,
        /// Whether the run continues from its copy, because the endpoint that ran it was lost.
        #[serde(skip_serializing_if = "std::ops::Not::not", default)]
        takes_over: bool,
        /// Number of endpoints that were passed over before because they refused the connection.
        #[serde(skip_serializing_if = "is_zero", default)]
        passed_over: u32,
        /// Parts of the prompt that other requests may hold, in order.
        #[serde(skip_serializing_if = "Vec::is_empty", default)]
        parts: Vec<PartId>,
    },
    /// A request resumes a stream.
    StreamOrigin {
        /// Id of the request whose response began the stream; `None` where the caller does not name
        /// it.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        resumes: Option<String>,
        /// How it was found at which software version the stream began: `own` and `peer` remember
        /// it, `only_version` means that there is no other one, and `unknown` that it was not found.
        found: String,
    },
    /// A request was refused: it was not sent, or no endpoint ran it.
    Refused {
        /// Reason.
        why: RefusalReason,
        /// Host and path of the request.
        target: String,
        /// Version of the configuration in force.
        catalog: u64,
        /// Time since that configuration was last proven to be the newest, in ms.
        proof_age_ms: Option<u64>,
        /// Time since the request arrived, in ms.
        held_ms: u64,
        /// Urgency of its route, 0 is the highest; `None` where the request was refused before it
        /// was allowed on a route.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        urgency: Option<u8>,
        /// Number of endpoints that, as far as this entry knew, had a free slot and accepted
        /// requests.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        free_endpoints: Option<usize>,
        /// Number of endpoints that were passed over because they refused the connection.
        #[serde(skip_serializing_if = "is_zero", default)]
        passed_over: u32,
    },
    /// An attempt ended without a complete response for the caller.
    AttemptFailed {
        /// Identity of the endpoint.
        endpoint: String,
        /// Number of the attempt, counted from 1.
        attempt: u32,
        /// How the attempt failed.
        failure: String,
        /// Whether the endpoint may have run the request.
        may_have_run: bool,
        /// Attempts that the route still allows.
        attempts_left: u32,
        /// Urgency of its route; 0 is the highest.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        urgency: Option<u8>,
        /// Other requests running at the endpoint, of all entries as far as known.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        running: Option<u32>,
        /// Number of requests that the endpoint can run at a time.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        slots: Option<u32>,
        /// Digest of what the request asks for, the same for every repeat; empty where the
        /// endpoint did not run it.
        #[serde(skip_serializing_if = "String::is_empty", default)]
        fingerprint: String,
    },
    /// A request ended that was not refused.
    Ended {
        /// Name of the route.
        route: String,
        /// Identity of the endpoint that it was last sent to; empty where it was not sent.
        endpoint: String,
        /// How it ended.
        how: RequestOutcome,
        /// Urgency of its route; 0 is the highest.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        urgency: Option<u8>,
        /// Status code of the response to the caller; 0 where it got no complete response.
        status: u16,
        /// Time from its arrival until the first byte of the response was sent, in ms.
        first_ms: Option<u64>,
        /// Longest time between two chunks of the response, in ms; `None` where fewer than two
        /// were sent.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        pause_ms: Option<u64>,
        /// How the endpoint's response marks its end; `None` where none came.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        framing: Option<Framing>,
        /// Length of the unfinished event at the end of the endpoint's stream, in bytes.
        #[serde(skip_serializing_if = "is_zero", default)]
        unfinished_bytes: usize,
        /// Time from its arrival to its end, in ms.
        total_ms: u64,
    },
    /// A configuration came into force.
    CatalogInForce {
        /// Its version.
        version: u64,
        /// Version of the previous one; 0 for none.
        before: u64,
        /// `store`, or the address of the peer that sent it.
        from: String,
    },
    /// An endpoint was added to the list, changed or removed.
    EndpointListed {
        /// Identity of the endpoint.
        endpoint: String,
        /// Its status now.
        standing: String,
        /// Version of its software; empty where it has left the list.
        #[serde(skip_serializing_if = "String::is_empty", default)]
        software_version: String,
        /// Store revision of the change.
        revision: u64,
        /// Era of that revision; `None` where the store names none.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        era: Option<Era>,
    },
    /// The list of endpoints is complete up to a later revision.
    ListKnown {
        /// `store`, `listing` where the whole list was read again, or the peer's address.
        from: String,
        /// Era of the later revision; `None` where the store names none.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        era: Option<Era>,
        /// Whether the revision before is of a former era, so that its number may be higher.
        #[serde(skip_serializing_if = "std::ops::Not::not", default)]
        restored: bool,
        /// Revision up to which it was complete before.
        after: u64,
        /// Revision up to which it is complete now.
        up_to: u64,
    },
    /// An availability zone was cordoned, so that its endpoints get no new requests, or uncordoned.
    ZoneCordon {
        /// Name of the zone.
        zone: String,
        /// Whether it is cordoned now.
        cordoned: bool,
        /// Store revision of the change.
        revision: u64,
        /// Era of that revision; `None` where the store names none.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        era: Option<Era>,
    },
    /// The store holds an older version of the configuration than the one in force, which stays.
    CatalogOlder {
        /// The version in the store.
        version: u64,
        /// The version in force.
        in_force: u64,
    },
    /// What this process took for the newest configuration is not: a peer has a later version, which
    /// the store has lost. Requests with a key wait for it.
    ProofVoid {
        /// The version in force here.
        version: u64,
        /// The peer's version.
        peer_version: u64,
    },
    /// An entry of the store can't be parsed and is ignored; logged once for each key.
    EntryUnreadable {
        /// Its key.
        key: String,
        /// The error.
        why: String,
    },
    /// An endpoint announced in a response that it wants no requests.
    EndpointAnnounced {
        /// Identity of the endpoint.
        endpoint: String,
        /// What it announced.
        announces: DeclineReason,
        /// For how long, in ms; `None` where no end is known.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        for_ms: Option<u64>,
        /// The caller's id of the request that the response belongs to.
        in_answer_to: String,
    },
    /// An endpoint changed or withdrew its rate limit for all instances together.
    EndpointLimited {
        /// Identity of the endpoint.
        endpoint: String,
        /// Requests per second; `None` where it has no limit any more.
        per_s: Option<f64>,
        /// The caller's id of the request in whose response the endpoint announced it; `None`
        /// where a peer passed it on.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        in_answer_to: Option<String>,
        /// The peer that passed it on.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        told_by: Option<String>,
    },
    /// An endpoint was ejected because of failures, or is used normally again.
    EndpointHealth {
        /// Identity of the endpoint.
        endpoint: String,
        /// Whether it is ejected now.
        aside: bool,
        /// Reason.
        why: String,
    },
    /// The time that work takes at an endpoint, compared with the others of its pool, has changed
    /// by the streams of all entries.
    EndpointSpeed {
        /// Identity of the endpoint.
        endpoint: String,
        /// Time relative to the typical endpoint of its pool.
        relative_time: f64,
        /// Time between two events of a stream, in ms; `None` where it is no longer known.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        event_ms: Option<f64>,
    },
    /// The learned capacity of a pool's typical engine has changed.
    PoolCapacity {
        /// Name of the pool.
        pool: String,
        /// Prompt tokens that it prefills per millisecond.
        prefill_tokens_per_ms: f64,
        /// Time of one step, in ms.
        step_ms: f64,
        /// Tokens in one event of a stream.
        tokens_per_event: f64,
    },
    /// An endpoint ended, and the runs that it had not finished were lost.
    EndpointEnded {
        /// Identity of the endpoint.
        endpoint: String,
        /// How the end was detected.
        sign: EndSign,
        /// Fingerprints of the lost requests.
        lost: Vec<String>,
        /// The parts of their prompts, and how far their answers had got, in the same order.
        #[serde(skip_serializing_if = "Vec::is_empty", default)]
        runs: Vec<LostRunRecord>,
    },
    /// Several endpoints in a row ended while they ran a request, so it is not sent any more.
    RequestRefused {
        /// Digest of what the request asks for.
        fingerprint: String,
        /// Number of endpoints that ended in a row.
        ends: usize,
        /// Time for which it is refused, in ms.
        for_ms: u64,
    },
    /// Endpoints ended when they began to answer prompts with a part, so such requests are not sent
    /// any more.
    PartRefused {
        /// The part.
        part: PartId,
        /// Another part that was at all these ends: only requests that hold both are refused.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        with: Option<PartId>,
        /// Number of endpoints that ended.
        ends: usize,
        /// Time for which they are refused, in ms.
        for_ms: u64,
    },
    /// A part that was refused is harmless.
    PartCleared {
        /// The part.
        part: PartId,
    },
    /// More connections of callers came than could be served.
    ConnectionsClosed {
        /// Those that were closed before a request was read.
        unread: u64,
    },
    /// Much of the memory for what callers and endpoints send was held in the last second.
    MemoryHeld {
        /// Most bytes that were held at once.
        peak: u64,
        /// Most bytes that may be held.
        limit: u64,
        /// Bytes that are held now for bodies of requests.
        requests: u64,
        /// Bytes that are held now for answers that are delivered once they are complete.
        answers: u64,
        /// Bytes that are held now for heads that are not complete, further requests, and events for
        /// callers that read slowly.
        buffers: u64,
    },
    /// The entry became ready, or lacks something else than before.
    Readiness {
        /// What it lacks; `None` where it is ready.
        lacks: Option<Lack>,
        /// Time since the process started, in ms.
        age_ms: u64,
    },
    /// The configuration store stopped answering, or answers again.
    Store {
        /// Whether it answers.
        answers: bool,
        /// The error, or what shows that it answers.
        why: String,
    },
    /// The configuration store named its era for the first time, or was restored from an older copy.
    StoreEra {
        /// The era.
        era: Era,
        /// The era before; `None` where none was known.
        before: Option<Era>,
    },
    /// A document was read from the store or a peer; logged when that failed or the document was
    /// large.
    DocumentRead {
        /// Kind of document.
        document: Document,
        /// `store`, or the peer's address.
        from: String,
        /// The error; `None` where the read succeeded.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        failure: Option<String>,
        /// Bytes of the response body that arrived.
        bytes: u64,
        /// Total time, in ms.
        took_ms: u64,
    },
    /// A peer is heard that was not heard before.
    Peer {
        /// Its address.
        peer: String,
        /// Whether it is heard; lines are written only when it is.
        heard: bool,
        /// Number of peers that are heard now.
        peers: usize,
    },
    /// The process started, reloaded its settings, is stopping or ended, resumed after its machine
    /// was suspended, or started or ceased to watch the store.
    Process {
        /// The new state.
        state: String,
        /// Reason or details.
        note: String,
    },
    /// Lines that were dropped in the last second because of the limits on their number.
    Dropped {
        /// About served requests.
        served: u64,
        /// About failed requests.
        failed: u64,
        /// About changes of state.
        beliefs: u64,
        /// Lines that the writer has dropped since the start because its pipe was full.
        writer: u64,
    },
}

/// What a line is about; each kind has its own limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LineKind {
    Served,
    Failed,
    /// A failure of a request of the highest urgency, counted apart from other failures: when the
    /// urgent ones fail, there are many others.
    UrgentFailed,
    StateChange,
}

impl Decision {
    fn kind(&self) -> LineKind {
        match self {
            Self::Placed { .. } | Self::StreamOrigin { .. } => LineKind::Served,
            Self::Ended { how, .. } if *how == RequestOutcome::Served => LineKind::Served,
            Self::Refused { urgency, .. }
            | Self::AttemptFailed { urgency, .. }
            | Self::Ended { urgency, .. } => match urgency {
                Some(0) => LineKind::UrgentFailed,
                _ => LineKind::Failed,
            },
            _ => LineKind::StateChange,
        }
    }
}

/// Whether a count is 0, which leaves it out of a line.
fn is_zero<T: Default + PartialEq>(count: &T) -> bool {
    *count == T::default()
}

/// One line of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogLine {
    /// Wall time, in ms since the Unix epoch.
    pub at: Millis,
    /// Time since the process started, in ms; monotonic, and it includes time in which the machine
    /// was suspended.
    pub up: Millis,
    /// The caller's id of the request; `None` for lines about the process.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub request: Option<String>,
    /// The decision or change of state.
    #[serde(flatten)]
    pub decision: Decision,
}

/// Output for lines; a write must not block.
pub type LineWriter = Box<dyn Write>;
/// Returns how many lines the writer has dropped so far because its reader was too slow.
pub type DropCounter = Box<dyn Fn() -> u64>;

/// Numbers of lines in the current second.
#[derive(Debug, Default)]
struct LineCounts {
    /// Lines written, by [`LineKind`].
    written: [Cell<u32>; KIND_COUNT],
    /// Lines dropped because of the limit, by [`LineKind`].
    dropped: [Cell<u64>; KIND_COUNT],
}

/// The decision log of one process.
pub struct DecisionLog {
    clock: Clock,
    writer: RefCell<LineWriter>,
    writer_drop_count: DropCounter,
    counts: LineCounts,
}

impl std::fmt::Debug for DecisionLog {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DecisionLog").finish_non_exhaustive()
    }
}

impl DecisionLog {
    /// Creates a log on a writer that must not block.
    pub fn new(clock: Clock, writer: LineWriter, writer_drop_count: DropCounter) -> Self {
        Self {
            clock,
            writer: RefCell::new(writer),
            writer_drop_count,
            counts: LineCounts::default(),
        }
    }

    /// Writes a line about the request with this id.
    pub fn request(&self, id: &[u8], decision: Decision) {
        self.write(Some(String::from_utf8_lossy(id).into_owned()), decision);
    }

    /// Writes a line about a change of the process's state or knowledge.
    pub fn state_change(&self, decision: Decision) {
        self.write(None, decision);
    }

    /// Starts counting a new second, and logs how many lines were dropped in the last one.
    pub fn next_second(&self) {
        for written in &self.counts.written {
            written.set(0);
        }
        let [served, failed, urgent, beliefs] = self.counts.dropped.each_ref().map(Cell::take);
        if served + failed + urgent + beliefs > 0 {
            self.state_change(Decision::Dropped {
                served,
                failed: failed + urgent,
                beliefs,
                writer: (self.writer_drop_count)(),
            });
        }
    }

    fn write(&self, request: Option<String>, decision: Decision) {
        let (index, limit) = match decision.kind() {
            LineKind::Served => (0, MAX_SERVED_LINES_PER_S),
            LineKind::Failed => (1, MAX_FAILED_LINES_PER_S),
            LineKind::UrgentFailed => (2, MAX_FAILED_LINES_PER_S),
            LineKind::StateChange => (3, MAX_STATE_LINES_PER_S),
        };
        let written = &self.counts.written[index];
        if written.get() >= limit {
            let dropped = &self.counts.dropped[index];
            dropped.set(dropped.get() + 1);
            return;
        }
        written.set(written.get() + 1);
        let line = LogLine {
            at: self.clock.wall(),
            up: self.clock.now(),
            request,
            decision,
        };
        let Ok(mut text) = serde_json::to_vec(&line) else {
            return;
        };
        text.push(b'\n');
        // A failed write can't be logged. The writer counts the lines that it drops.
        let _ = self.writer.borrow_mut().write_all(&text);
    }
}
