//! Runs that an endpoint did not finish, kept until it is known whether the endpoint itself has ended.
//!
//! A connection breaks for many reasons. Only where the endpoint's life is over may a run be taken for a
//! possible cause of that; planned ends, cuts and freezes are none.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::fingerprint::Fingerprint;

/// Time for which bytes that an endpoint sent before its end may still be read after the first broken connection.
const READ_LATE: Millis = Millis(100);
/// Unfinished runs that are kept for one endpoint, the newest ones: the slots of a large engine.
const MOST_LOST: usize = 64;
/// Time for which they are kept: some check-ins of an endpoint, after which the list shows that it has gone.
const KEPT: Millis = Millis(8_000);

/// How a run was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostHow {
    /// Its connection broke.
    Broken,
    /// Nothing more came, or its caller left; it may have gone on.
    Silent,
}

/// What shows that the life of an endpoint is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndSign {
    /// Nothing listens at its address.
    Refused,
    /// Another one, or another life of it, has its address.
    Replaced,
    /// Its entry disappeared from the list.
    Unlisted,
    /// A peer saw it end.
    Told,
}

impl EndSign {
    /// Short name, as a metric label.
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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostRun {
    /// What was asked for.
    pub request: Fingerprint,
    /// When it was sent to the endpoint.
    pub began: Millis,
    /// When it was lost.
    pub lost: Millis,
    /// How.
    pub how: LostHow,
}

/// The unfinished runs of one endpoint.
#[derive(Debug, Default)]
pub struct LostRuns {
    runs: VecDeque<LostRun>,
    /// What showed that its life is over.
    ended: Option<EndSign>,
}

impl LostRuns {
    /// A run was lost. Returns what showed that the endpoint has ended, where that is known by now.
    pub fn record_loss(&mut self, run: LostRun) -> Option<EndSign> {
        if self.ended.is_some() {
            return self.ended;
        }
        if self.runs.len() == MOST_LOST {
            self.runs.pop_front();
        }
        self.runs.push_back(run);
        None
    }

    /// The endpoint lives: what was lost there before did not end it.
    pub fn record_contact(&mut self, now: Millis) {
        self.ended = None;
        self.runs.retain(|run| now - run.lost < READ_LATE);
    }

    /// The endpoint took a connection that was begun at a time: what was lost there by then did not end it.
    pub fn record_connection(&mut self, begun: Millis) {
        self.ended = None;
        self.runs.retain(|run| run.lost > begun);
    }

    /// The endpoint's life is over. Returns the runs that were lost with it; none when that was known.
    ///
    /// A frozen or cut-off endpoint is silent as well, and its entry lapses: there only broken
    /// connections tell that something ended.
    pub fn record_end(&mut self, sign: EndSign, now: Millis) -> Vec<LostRun> {
        if sign != EndSign::Unlisted {
            self.ended = Some(sign);
        }
        let runs = std::mem::take(&mut self.runs);
        let fresh = runs.into_iter().filter(|run| now - run.lost < KEPT);
        fresh
            .filter(|run| sign != EndSign::Unlisted || run.how == LostHow::Broken)
            .collect()
    }
}
