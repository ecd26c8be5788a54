//! The scheduler's inputs (its parameters and requests) and outputs (actions and counters).

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::ids::{ClassKey, RequestId};
use crate::outcome::NotRunReason;
use crate::schedule::TicketKey;

/// In which order waiting requests are served; the first two are baselines for measurements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// First come, first served, whatever the class.
    Fifo,
    /// Strict priority of classes, without floors or pauses.
    Strict,
    /// Priority of classes with floors, pausing less urgent runs for more urgent requests.
    #[default]
    Floors,
}

/// The parameters of a class that the scheduler uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassSpec {
    /// Name; identifies the class across bundles.
    pub name: String,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Floor: share of slot time guaranteed to the class while it has requests, in percent.
    pub floor_percent: u8,
    /// Whether its runs may be paused.
    pub preemptible: bool,
}

/// The parameters of one scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchedulerParams {
    /// Run slots of the endpoint.
    pub slots: u32,
    /// Slots reserved for classes of priority 0; not applied with [`Order::Fifo`].
    pub reserved: u32,
    /// Time within which a granted request must be started.
    pub grant: Millis,
    /// How often one run may be paused.
    pub max_preemptions: u32,
    /// Most waiting tickets of one class; further requests are refused.
    pub queue_per_class: u32,
    /// Classes, in the bundle's order; a [`ClassKey`] is an index into them.
    pub classes: Vec<ClassSpec>,
}

/// A request for a run slot.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// The request's id; spreads the retry delays of refused requests.
    pub request: RequestId,
    /// Its class.
    pub class: ClassKey,
    /// Its team.
    pub team: String,
    /// The team's weight in fair queueing; its share grows with it.
    pub weight: u32,
    /// Expected number of tokens.
    pub est_tokens: u32,
    /// Longest wait for a grant.
    pub max_wait: Millis,
    /// Whether the run may be paused, if its class allows it.
    pub preemptible: bool,
}

/// What the sidecar has to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Tell the entry that it may start the run before `until`.
    Grant {
        /// The ticket that now holds a slot.
        ticket: TicketKey,
        /// Time at which the grant expires.
        until: Millis,
    },
    /// Tell the entry that the request is refused and doesn't run.
    Refuse {
        /// The refused ticket; the scheduler has already removed it.
        ticket: TicketKey,
        /// Why it was refused.
        reason: NotRunReason,
        /// Time after which the caller may retry.
        retry_after: Millis,
    },
    /// Stop the run, then report that it has stopped with
    /// [`Scheduler::paused`](crate::schedule::Scheduler::paused).
    Pause {
        /// The run to stop.
        ticket: TicketKey,
    },
    /// Resume a paused run.
    Resume {
        /// The run to resume.
        ticket: TicketKey,
    },
}

/// Current number of requests of one class in each state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ClassOccupancy {
    /// Class name.
    pub class: String,
    /// Waiting for a first grant.
    pub waiting: usize,
    /// Holding a slot: granted, running or about to pause.
    pub running: u32,
    /// Paused for more urgent requests.
    pub paused: usize,
}

/// Event counts since the scheduler was created, for metrics and measurements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct SchedulerCounters {
    /// Grants.
    pub granted: u64,
    /// Grants that expired before the run was started.
    pub lapsed: u64,
    /// Times that a run was told to pause for more urgent requests.
    pub paused: u64,
    /// Requests refused, including those whose wait or grant expired.
    pub refused: u64,
    /// Slots given, by a grant or a resume, because a class was below its floor.
    pub by_floor: u64,
}
