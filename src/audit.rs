//! The audit trail: every change of configuration or duty, as a structured line and in memory.

use std::cell::RefCell;
use std::collections::VecDeque;

use serde::Serialize;

use crate::clock::{Clock, Millis};
use crate::document::Stamp;

/// Changes kept for the administration API.
const KEPT: usize = 256;

/// What was changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// A bundle came into force.
    BundleAccepted,
    /// A genuine bundle did not pass validation.
    BundleRefused,
    /// The process takes no new work.
    Drain,
    /// The process started.
    Start,
    /// The process is about to end.
    Stop,
    /// An older process beside the same endpoint was shut out.
    Fence,
}

/// One change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Change {
    /// Wall time in ms since the epoch; set when recorded.
    pub at: Millis,
    /// What was changed.
    pub what: What,
    /// Who or what brought it: a peer, the platform, an operator, a signal.
    pub by: String,
    /// State before, for bundles.
    pub from: Option<Stamp>,
    /// State after, for bundles.
    pub to: Option<Stamp>,
    /// The operators' note or the findings.
    pub note: String,
}

impl Change {
    /// A change without versions.
    pub fn plain(what: What, by: &str, note: impl Into<String>) -> Self {
        Self {
            at: Millis(0),
            what,
            by: by.into(),
            from: None,
            to: None,
            note: note.into(),
        }
    }

    /// A bundle that came into force.
    pub fn bundle_accepted(from: Stamp, to: Stamp, by: &str, note: String) -> Self {
        Self {
            from: Some(from),
            to: Some(to),
            ..Self::plain(What::BundleAccepted, by, note)
        }
    }

    /// A bundle that did not pass validation.
    pub fn bundle_refused(stamp: Stamp, by: &str, findings: String) -> Self {
        Self {
            to: Some(stamp),
            ..Self::plain(What::BundleRefused, by, findings)
        }
    }
}

/// The trail of one process.
#[derive(Debug)]
pub struct Audit {
    clock: Clock,
    kept: RefCell<VecDeque<Change>>,
}

impl Audit {
    /// An empty trail.
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            kept: RefCell::default(),
        }
    }

    /// Writes a change to the log and keeps it.
    pub fn record(&self, mut change: Change) {
        change.at = self.clock.wall();
        tracing::info!(
            target: "audit",
            what = ?change.what,
            by = change.by,
            from = change.from.map(|s| s.version),
            to = change.to.map(|s| s.version),
            note = change.note,
            "change"
        );
        let mut kept = self.kept.borrow_mut();
        kept.push_front(change);
        kept.truncate(KEPT);
    }

    /// The changes kept, newest first.
    pub fn changes(&self) -> Vec<Change> {
        self.kept.borrow().iter().cloned().collect()
    }
}
