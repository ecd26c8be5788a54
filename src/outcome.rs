//! What became of a request: one enum, carried unchanged from the sidecar to the caller.

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Why a request was positively not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The wait would pass the class's target or the caller's deadline.
    TooLate,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The queue of the request's class is full.
    QueueFull,
    /// The team is over its limit.
    OverLimit,
    /// The sidecar takes no new work because it is leaving or stopping.
    Draining,
    /// The endpoint fails and is set aside.
    EndpointFailing,
    /// No endpoint of the pool could be reached.
    NoEndpoint,
    /// The two sides could not agree on a bundle in time.
    StaleBundle,
    /// The grant lapsed before the work arrived.
    GrantLapsed,
    /// The sidecar does not hold this key's home.
    NotHome,
    /// Another process now holds this endpoint's place.
    Superseded,
    /// The key's time of issue lies in the future.
    KeyFromFuture,
    /// The key's home remembers as many keys as it can.
    KeyMemoryFull,
    /// The bundle in force no longer allows the request.
    NotAllowed,
    /// This entry is stopping.
    Stopping,
    /// This entry is not yet ready.
    NotReady,
    /// Endpoints ended in a row under the same work.
    EndsEndpoints,
    /// This entry has no memory for the request beside what it holds for others.
    NoMemory,
}

/// Why nothing can be said about whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The connection to the sidecar ended after the work was sent.
    SidecarLost,
    /// The endpoint's connection ended after the work was sent.
    EndpointLost,
    /// The key was issued before this sidecar's memory begins.
    KeyForgotten,
    /// No answer came within the bound after the work was sent.
    Silent,
    /// The same key waits or runs now; ask again later.
    KeyInFlight,
    /// An earlier attempt under this key started and its end is not known.
    EarlierAttempt,
    /// The key's home could not be asked, and an earlier attempt may have run.
    HomeUnreachable,
}

/// Why a request that started did not complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FailReason {
    /// The endpoint answered with an error after it began.
    EndpointError,
    /// The endpoint's stream was cut.
    StreamCut,
    /// The engine resumed at another token than the one asked for.
    BadSeam,
    /// The caller did not read its answer in time.
    SlowCaller,
    /// The endpoint was silent for longer than the pool's bound.
    Stalled,
    /// The entry held too much for other answers.
    NoRoom,
}

/// What the endpoint spent on a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens read from the request.
    pub prompt_tokens: u64,
    /// Tokens generated and delivered.
    pub completion_tokens: u64,
    /// Tokens computed again after a preemption.
    pub recomputed_tokens: u64,
}

/// The end of one attempt at a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The whole answer was delivered.
    Completed(Usage),
    /// Nothing ran; trying again is safe.
    NotRun {
        /// Why it was not run.
        reason: NotRunReason,
        /// When to come back.
        retry_after: Millis,
    },
    /// It may have run.
    Unknown(UnknownReason),
    /// It started and did not complete.
    Failed(FailReason),
    /// It ran once, under the same key; its answer is not kept.
    AlreadyRan,
}

impl Outcome {
    /// A refusal with the given reason.
    pub const fn not_run(reason: NotRunReason, retry_after: Millis) -> Self {
        Self::NotRun {
            reason,
            retry_after,
        }
    }

    /// Whether the whole answer was delivered.
    pub const fn is_completed(&self) -> bool {
        matches!(self, Self::Completed(_))
    }

    /// Whether another attempt at a request that is not repeatable is honest.
    pub const fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun { .. })
    }
}

impl NotRunReason {
    /// Whether another endpoint may still take the request.
    pub const fn try_elsewhere(self) -> bool {
        matches!(
            self,
            Self::TooLate
                | Self::QueueFull
                | Self::Draining
                | Self::EndpointFailing
                | Self::NoEndpoint
                | Self::GrantLapsed
                | Self::Superseded
        )
    }

    /// Whether the refusal is the word of the key's home that nothing ran under the key.
    pub const fn speaks_for_key(self) -> bool {
        matches!(
            self,
            Self::TooLate
                | Self::DeadlinePassed
                | Self::QueueFull
                | Self::Draining
                | Self::EndpointFailing
                | Self::GrantLapsed
                | Self::KeyFromFuture
        )
    }

    /// Whether the two sides hold different documents and should agree before trying again.
    pub const fn disagrees(self) -> bool {
        matches!(self, Self::StaleBundle | Self::NotHome)
    }
}
