//! What the scheduler is told and what it answers.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::ids::{ClassKey, RequestId};
use crate::outcome::NotRunReason;
use crate::schedule::TicketKey;

/// How waiting requests are ordered; the first two are baselines to measure against.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// First come, first served, whatever the class.
    Fifo,
    /// Strict urgency without floors or pauses.
    Strict,
    /// Urgency with floors, fairness and pauses.
    #[default]
    Floors,
}

/// What the scheduler needs to know of a class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClassSpec {
    /// Name; ties a class to its successor in the next bundle.
    pub name: String,
    /// Urgency, 0 first.
    pub priority: u8,
    /// Share of slot time kept while it has work, in percent.
    pub floor_percent: u8,
    /// Whether its runs may be paused.
    pub preemptible: bool,
}

/// The parameters of one scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SchedulerParams {
    /// Run slots of the endpoint.
    pub slots: u32,
    /// Slots for classes of priority 0 only.
    pub reserved: u32,
    /// How long a grant is held.
    pub grant: Millis,
    /// Pauses that one run may suffer.
    pub max_preemptions: u32,
    /// Waiting tickets of one class.
    pub queue_per_class: u32,
    /// Classes in the bundle's order.
    pub classes: Vec<ClassSpec>,
}

/// What a request asks of the scheduler.
#[derive(Debug, Clone)]
pub struct SlotRequest {
    /// The request, for the spread of retry hints.
    pub request: RequestId,
    /// Its class.
    pub class: ClassKey,
    /// Its team.
    pub team: String,
    /// The team's weight.
    pub weight: u32,
    /// Tokens expected.
    pub est_tokens: u32,
    /// Longest wait for a grant.
    pub max_wait: Millis,
    /// Whether the run may be paused, if its class allows it.
    pub preemptible: bool,
}

/// What the sidecar has to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Tell the entry that it may start until `until`.
    Grant {
        /// Whose turn it is.
        ticket: TicketKey,
        /// End of the grant.
        until: Millis,
    },
    /// Tell the entry that the request is not run.
    Refuse {
        /// Whose it is; gone from the arena.
        ticket: TicketKey,
        /// Why.
        reason: NotRunReason,
        /// When to come back.
        retry_after: Millis,
    },
    /// Stop the run and report it with [`Scheduler::paused`].
    Pause {
        /// The run to stop.
        ticket: TicketKey,
    },
    /// Go on with a paused run.
    Resume {
        /// The run to go on with.
        ticket: TicketKey,
    },
}

/// The requests of one class at this moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ClassOccupancy {
    /// Class name.
    pub class: String,
    /// Waiting for a first grant.
    pub waiting: usize,
    /// Holding a slot.
    pub running: u32,
    /// Paused for more urgent work.
    pub paused: usize,
}

/// Counts kept since the start, for metrics and measurements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct SchedulerCounters {
    /// Grants given.
    pub granted: u64,
    /// Grants that were not used in time.
    pub lapsed: u64,
    /// Runs paused for more urgent work.
    pub paused: u64,
    /// Requests refused.
    pub refused: u64,
    /// Grants given because a class was below its floor.
    pub by_floor: u64,
}
