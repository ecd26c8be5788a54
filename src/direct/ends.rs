//! Runs that an endpoint did not finish, kept until it is known whether the endpoint itself
//! terminated.
//!
//! Connections break for many reasons. A run is a possible cause of its endpoint's termination only
//! if the endpoint did terminate, and not by a planned shutdown, a network partition or a freeze.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::fingerprint::Fingerprint;
use crate::quarantine::parts::{EndpointKind, SharedParts, HARMLESS_AFTER};

/// Time after the first broken connection during which data that an endpoint sent before it
/// terminated may still be read.
const LATE_READ_TIME: Millis = Millis(100);
/// Maximum number of unfinished runs kept for one endpoint, the newest ones: the slots of a large
/// engine.
const MAX_LOST_RUNS: usize = 64;
/// Time for which they are kept: several check-ins of an endpoint, after which the list shows that
/// it has gone.
const RETENTION: Millis = Millis(8_000);

/// How a run was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostHow {
    /// Its connection broke.
    Broken,
    /// Nothing more arrived, or its caller left; it may have continued.
    Silent,
}

/// Evidence that an endpoint has terminated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndSign {
    /// Nothing listens at its address.
    Refused,
    /// Another endpoint, or another incarnation of it, has its address.
    Replaced,
    /// Its record disappeared from the list.
    Unlisted,
    /// A peer reported it.
    Told,
}

impl EndSign {
    /// Value of the metric label.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Replaced => "replaced",
            Self::Unlisted => "unlisted",
            Self::Told => "told",
        }
    }
}

/// A run that an endpoint did not finish.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRun {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// The parts of its prompt that other requests may hold.
    pub parts: SharedParts,
    /// Kind of the endpoint.
    pub kind: EndpointKind,
    /// Whether the endpoint was warming up, and may have ended because all entries together
    /// overloaded it.
    pub was_warming: bool,
    /// When the first byte of its answer arrived; `None` if none did.
    pub answer_began: Option<Millis>,
    /// When it was sent to the endpoint.
    pub began: Millis,
    /// When it was lost.
    pub lost: Millis,
    /// How it was lost.
    pub how: LostHow,
}

impl LostRun {
    /// Whether the endpoint may have ended because it began to answer the run.
    pub fn may_have_begun_to_answer(&self) -> bool {
        self.answer_began
            .is_none_or(|at| self.lost - at < HARMLESS_AFTER)
    }
}

/// Unfinished runs of one endpoint.
#[derive(Debug, Default)]
pub struct LostRuns {
    runs: VecDeque<LostRun>,
    /// Evidence that the endpoint has terminated, if there is any.
    ended: Option<EndSign>,
}

impl LostRuns {
    /// Records a lost run. Returns the evidence if the endpoint is already known to have
    /// terminated; the run is then not kept.
    pub fn record_loss(&mut self, run: LostRun) -> Option<EndSign> {
        if self.ended.is_some() {
            return self.ended;
        }
        if self.runs.len() == MAX_LOST_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back(run);
        None
    }

    /// Records that data arrived from the endpoint, so it is alive and the runs lost earlier did
    /// not terminate it. Those lost within [`LATE_READ_TIME`] are kept, because the data may be from
    /// before.
    pub fn record_contact(&mut self, now: Millis) {
        self.ended = None;
        self.runs.retain(|run| now - run.lost < LATE_READ_TIME);
    }

    /// Records that the endpoint accepted a connection that was started at `started_at`, so the
    /// runs lost by then did not terminate it.
    pub fn record_connection(&mut self, started_at: Millis) {
        self.ended = None;
        self.runs.retain(|run| run.lost > started_at);
    }

    /// Records that the endpoint has terminated. Returns the runs that were lost with it; none if
    /// that was already known.
    ///
    /// A frozen or disconnected endpoint is silent as well, and its record lapses. So if it is only
    /// unlisted, runs count only if their connection broke.
    pub fn record_end(&mut self, sign: EndSign, now: Millis) -> Vec<LostRun> {
        if sign != EndSign::Unlisted {
            self.ended = Some(sign);
        }
        let runs = std::mem::take(&mut self.runs);
        let recent = runs.into_iter().filter(|run| now - run.lost < RETENTION);
        recent
            .filter(|run| sign != EndSign::Unlisted || run.how == LostHow::Broken)
            .collect()
    }
}
