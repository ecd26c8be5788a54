//! The decision log: one structured line for each decision that touches a request or changes what
//! the process believes.
//!
//! Lines are JSON on standard output. Their number a second is bounded by kind, and a writer that
//! is held up drops lines instead of holding up a request; what was dropped is counted and told.

use std::cell::{Cell, RefCell};
use std::io::Write;

use serde::{Deserialize, Serialize};

use crate::announced::DeclineReason;
use crate::clock::{Clock, Millis};
use crate::direct::ends::EndSign;
use crate::direct::resolve::Denied;
use crate::direct::sync::Document;
use crate::fingerprint::Fingerprint;

/// Lines a second about requests that went well. A full entry serves some hundred requests a
/// second; a line takes about 10 microseconds.
const SERVED_LINES: u32 = 300;
/// Lines a second about requests that failed; kept apart, so that success can't push them out. As many for the most
/// urgent ones.
const FAILED_LINES: u32 = 120;
/// Lines a second about changes of belief.
const BELIEF_LINES: u32 = 80;
/// Number of [`Kind`]s.
const KINDS: usize = 4;

/// Why a request was refused without being sent anywhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// Not allowed, or not known to be.
    Denied(Denied),
    /// No endpoint of the pool can be reached.
    NoEndpoint,
    /// All endpoints of the pool that would take work have asked for rest.
    EndpointsRest {
        /// Time until the first has rested, in ms.
        first_back_ms: u64,
    },
    /// All endpoints of the pool that would take work have named limits that others use now.
    EndpointsLimited {
        /// Time until a permit for one of them may be asked for, in ms.
        first_free_ms: u64,
    },
    /// It would wait too long in a pool that is overloaded.
    Overload {
        /// Time until its first event at the best endpoint, by estimate, in ms.
        expected_ms: u64,
        /// Mean time that the pool's endpoints need to read the prompts that they have, in ms.
        backlog_ms: u64,
    },
    /// The slots that its endpoints have free are left to more urgent requests, or to others of its kind.
    RoomKept {
        /// Of a hundred such requests, those that are sent.
        sent_percent: u32,
    },
    /// Endpoints ended in a row under what it asks for.
    EndsEndpoints {
        /// Digest of that.
        fingerprint: Fingerprint,
        /// Ends in a row.
        ends: usize,
        /// Time after which it may come back, in ms.
        come_back_ms: u64,
    },
    /// The endpoint said that it did not run it, and no other may be asked.
    EndpointRefused,
    /// The time was over before it could be sent.
    TimeOver,
    /// This process stops.
    Stopping,
}

/// How a request that was sent ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The whole answer was delivered.
    Served,
    /// The endpoint's own error was delivered.
    EndpointError,
    /// The outcome is not known.
    Unknown,
    /// The time was over.
    TimeOver,
    /// The stream broke off and could not be taken up.
    Broken,
    /// The caller left.
    CallerGone,
}

impl RequestOutcome {
    /// Short name, as a metric label.
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

/// One decision or change of belief, with the inputs that decided it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Decision {
    /// A request was given to an endpoint.
    Placed {
        /// Route.
        route: String,
        /// Endpoint.
        endpoint: String,
        /// Which attempt, from 1.
        attempt: u32,
        /// Urgency that the endpoint is told, 0 first.
        #[serde(default)]
        priority: u8,
        /// Time until the first event, by estimate, in ms.
        expected_ms: u64,
        /// Prompt tokens that the endpoint is taken to keep.
        cached: u64,
        /// Prompt tokens that it takes from another endpoint's memory.
        #[serde(skip_serializing_if = "is_zero", default)]
        moved: u64,
        /// That endpoint.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        moved_from: Option<String>,
        /// Tokens that it must read.
        unread: u32,
        /// Requests there, of all entries as far as known.
        running: u32,
        /// Configuration that decided.
        catalog: u64,
        /// Age of its proof, in ms.
        proof_age_ms: Option<u64>,
        /// Time left, in ms.
        left_ms: u64,
        /// Why the endpoint had announced that it wants no requests.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        against: Option<DeclineReason>,
        /// The limit that the endpoint had named for all instances together, in requests a second.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        limit_per_s: Option<f64>,
        /// Endpoint that keeps a copy of the run's memory.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        copy: Option<String>,
        /// Whether the run goes on from its copy, after the endpoint that made it was lost.
        #[serde(skip_serializing_if = "std::ops::Not::not", default)]
        takes_over: bool,
    },
    /// A request was refused without being sent, or not run anywhere.
    Refused {
        /// Why.
        why: RefusalReason,
        /// Host and path that it named.
        target: String,
        /// Configuration that decided.
        catalog: u64,
        /// Age of its proof, in ms.
        proof_age_ms: Option<u64>,
        /// Time since it was read, in ms.
        held_ms: u64,
        /// Urgency of its route, 0 first; `None` where it is not allowed on any.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        urgency: Option<u8>,
        /// Endpoints that had a free slot and had announced nothing against requests, by this entry's knowledge.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        free_endpoints: Option<usize>,
    },
    /// An attempt ended without an answer for the caller.
    AttemptFailed {
        /// Endpoint.
        endpoint: String,
        /// Which attempt, from 1.
        attempt: u32,
        /// How.
        failure: String,
        /// Whether anything may have run.
        may_have_run: bool,
        /// Attempts that the route still allows.
        attempts_left: u32,
        /// Urgency of its route, 0 first.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        urgency: Option<u8>,
        /// Requests at the endpoint without this one, of all entries as far as known.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        running: Option<u32>,
        /// Slots of the endpoint.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        slots: Option<u32>,
        /// Digest of what was asked for; the same for every repeat of it.
        #[serde(skip_serializing_if = "String::is_empty", default)]
        fingerprint: String,
    },
    /// A request that was sent ended.
    Ended {
        /// Route.
        route: String,
        /// Endpoint.
        endpoint: String,
        /// How.
        how: RequestOutcome,
        /// Urgency of its route, 0 first.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        urgency: Option<u8>,
        /// Status that the caller got; 0 when none.
        status: u16,
        /// Time until the first byte of the answer left, in ms.
        first_ms: Option<u64>,
        /// Longest time between two pieces of the answer, in ms; `None` where it left in one.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        pause_ms: Option<u64>,
        /// Time in all, in ms.
        total_ms: u64,
    },
    /// A configuration came into force.
    CatalogInForce {
        /// Its version.
        version: u64,
        /// The one before; 0 for none.
        before: u64,
        /// Where it came from.
        from: String,
    },
    /// An endpoint was listed, changed or left.
    EndpointListed {
        /// Endpoint.
        endpoint: String,
        /// What it is now.
        standing: String,
        /// Revision of the list.
        revision: u64,
    },
    /// The list of endpoints is complete up to a later revision.
    ListKnown {
        /// `store`, `listing` for all of it anew, or the peer's address.
        from: String,
        /// Revision up to which it was complete before.
        after: u64,
        /// Revision up to which it is complete.
        up_to: u64,
    },
    /// An availability zone was cordoned, so that nothing new is sent to its endpoints, or taken back.
    ZoneCordon {
        /// The zone.
        zone: String,
        /// Whether it is cordoned.
        cordoned: bool,
        /// Revision of the list.
        revision: u64,
    },
    /// An entry of the store can't be read and names nothing; told when it is seen first.
    EntryUnreadable {
        /// Its key.
        key: String,
        /// What is wrong with it.
        why: String,
    },
    /// An endpoint announced something of itself in an answer.
    EndpointAnnounced {
        /// Endpoint.
        endpoint: String,
        /// What.
        announces: DeclineReason,
        /// For how long, in ms; `None` where it is told no end.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        for_ms: Option<u64>,
        /// The caller's id of the request that it answered.
        in_answer_to: String,
    },
    /// An endpoint named another limit for all instances together, or none any more.
    EndpointLimited {
        /// Endpoint.
        endpoint: String,
        /// Requests a second; `None` where it has no limit any more.
        per_s: Option<f64>,
        /// The caller's id of the request that it answered; `None` where a peer told it.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        in_answer_to: Option<String>,
        /// That peer.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        told_by: Option<String>,
    },
    /// An endpoint was set aside or taken back.
    EndpointHealth {
        /// Endpoint.
        endpoint: String,
        /// Whether it is set aside.
        aside: bool,
        /// Why.
        why: String,
    },
    /// The life of an endpoint is over, and runs were lost with it.
    EndpointEnded {
        /// Endpoint.
        endpoint: String,
        /// What showed it.
        sign: EndSign,
        /// Digests of what those runs were asked for.
        lost: Vec<String>,
    },
    /// Endpoints ended in a row under a request, which is not sent any more.
    RequestRefused {
        /// Digest of what is asked for.
        fingerprint: String,
        /// Ends in a row.
        ends: usize,
        /// Time for which it is refused, in ms.
        for_ms: u64,
    },
    /// The configuration store was lost or regained.
    Store {
        /// Whether it answers.
        answers: bool,
        /// What was seen.
        why: String,
    },
    /// A document was read from the store or a peer; told when that failed or brought much.
    DocumentRead {
        /// Which.
        document: Document,
        /// `store`, or the peer's address.
        from: String,
        /// How it failed; `None` where it went well.
        #[serde(skip_serializing_if = "Option::is_none", default)]
        failure: Option<String>,
        /// Bytes of the answer's body that came.
        bytes: u64,
        /// Time in all, in ms.
        took_ms: u64,
    },
    /// A peer was lost or regained.
    Peer {
        /// Its address.
        peer: String,
        /// Whether it is heard.
        heard: bool,
        /// Peers heard now.
        peers: usize,
    },
    /// The process started, became ready or unready, reloads, stops or ends.
    Process {
        /// Which.
        state: String,
        /// Why, or with what.
        note: String,
    },
    /// Lines that the bound on their number dropped in the last second.
    Dropped {
        /// About served requests.
        served: u64,
        /// About failed requests.
        failed: u64,
        /// About beliefs.
        beliefs: u64,
        /// Lines that a full pipe dropped since the start.
        writer: u64,
    },
}

/// What a line is about; each kind has its own bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Served,
    Failed,
    /// A failure of the most urgent requests, apart from those of others, which are many while the urgent fail.
    UrgentFailed,
    Belief,
}

impl Decision {
    fn kind(&self) -> Kind {
        match self {
            Self::Placed { .. } => Kind::Served,
            Self::Ended { how, .. } if *how == RequestOutcome::Served => Kind::Served,
            Self::Refused { urgency, .. }
            | Self::AttemptFailed { urgency, .. }
            | Self::Ended { urgency, .. } => match urgency {
                Some(0) => Kind::UrgentFailed,
                _ => Kind::Failed,
            },
            _ => Kind::Belief,
        }
    }
}

/// Whether a count is left out of a line.
fn is_zero(count: &u64) -> bool {
    *count == 0
}

/// One line of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Wall time, in ms since the epoch.
    pub at: Millis,
    /// Time since the process started, in ms; it does not jump.
    pub up: Millis,
    /// The caller's id of the request, for lines about one.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub request: Option<String>,
    /// What was decided.
    #[serde(flatten)]
    pub decision: Decision,
}

/// Where lines go; writing must not block.
pub type LineWriter = Box<dyn Write>;
/// How many lines the writer has dropped because its reader was too slow.
pub type DropCount = Box<dyn Fn() -> u64>;

/// Counts of one second.
#[derive(Debug, Default)]
struct Second {
    /// Lines written, by [`Kind`].
    written: [Cell<u32>; KINDS],
    /// Lines that the bound dropped, by [`Kind`].
    dropped: [Cell<u64>; KINDS],
}

/// The log of one process.
pub struct DecisionLog {
    clock: Clock,
    writer: RefCell<LineWriter>,
    writer_dropped: DropCount,
    second: Second,
}

impl std::fmt::Debug for DecisionLog {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DecisionLog").finish_non_exhaustive()
    }
}

impl DecisionLog {
    /// A log on a writer that must not block.
    pub fn new(clock: Clock, writer: LineWriter, writer_dropped: DropCount) -> Self {
        Self {
            clock,
            writer: RefCell::new(writer),
            writer_dropped,
            second: Second::default(),
        }
    }

    /// Writes a line about a request.
    pub fn request(&self, id: &[u8], decision: Decision) {
        self.write(Some(String::from_utf8_lossy(id).into_owned()), decision);
    }

    /// Writes a line about the process or what it believes.
    pub fn state_change(&self, decision: Decision) {
        self.write(None, decision);
    }

    /// Begins a new second; tells what the last one dropped.
    pub fn next_second(&self) {
        for written in &self.second.written {
            written.set(0);
        }
        let [served, failed, urgent, beliefs] = self.second.dropped.each_ref().map(Cell::take);
        if served + failed + urgent + beliefs > 0 {
            self.state_change(Decision::Dropped {
                served,
                failed: failed + urgent,
                beliefs,
                writer: (self.writer_dropped)(),
            });
        }
    }

    fn write(&self, request: Option<String>, decision: Decision) {
        let (place, most) = match decision.kind() {
            Kind::Served => (0, SERVED_LINES),
            Kind::Failed => (1, FAILED_LINES),
            Kind::UrgentFailed => (2, FAILED_LINES),
            Kind::Belief => (3, BELIEF_LINES),
        };
        let written = &self.second.written[place];
        if written.get() >= most {
            let dropped = &self.second.dropped[place];
            dropped.set(dropped.get() + 1);
            return;
        }
        written.set(written.get() + 1);
        let line = Line {
            at: self.clock.wall(),
            up: self.clock.now(),
            request,
            decision,
        };
        let Ok(mut text) = serde_json::to_vec(&line) else {
            return;
        };
        text.push(b'\n');
        // A failed write can't be logged; the writer counts what it drops.
        let _ = self.writer.borrow_mut().write_all(&text);
    }
}
