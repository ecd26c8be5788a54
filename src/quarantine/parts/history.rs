//! The ends under requests with one part, as a judge of the part knows them.

use super::PartEnd;
use crate::clock::Millis;
use crate::quarantine::IncarnationDigest;

/// Maximum number of ends kept for one part, the newest ones.
const MAX_ENDS: usize = 16;

/// The ends under requests with one part that no later run has cleared, one for each endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct PartHistory {
    /// The oldest first.
    ends: Vec<PartEnd>,
    /// When the part is to be evaluated; `None` where its ends do not suffice.
    pub(super) evaluate_at: Option<Millis>,
    /// When all entries were last asked whether the part is harmless.
    pub(super) asked_at: Option<Millis>,
}

impl PartHistory {
    /// Adds an end; false if one of this endpoint is known.
    pub(super) fn add(&mut self, end: PartEnd) -> bool {
        if self.has(end.endpoint) {
            return false;
        }
        let at = self.ends.partition_point(|e| e.ended <= end.ended);
        self.ends.insert(at, end);
        if self.ends.len() > MAX_ENDS {
            self.ends.remove(0);
        }
        true
    }

    /// Removes the ends up to `at` that a run cleared which wrote then.
    pub(super) fn clear(&mut self, at: Millis, is_cleared: impl Fn(&PartEnd) -> bool) {
        self.ends.retain(|end| end.ended > at || !is_cleared(end));
    }

    pub(super) fn ends(&self) -> impl Iterator<Item = &PartEnd> {
        self.ends.iter()
    }

    /// Whether an endpoint is among them.
    pub(super) fn has(&self, endpoint: IncarnationDigest) -> bool {
        self.ends.iter().any(|end| end.endpoint == endpoint)
    }

    /// Time of the newest end.
    pub(super) fn newest(&self) -> Option<Millis> {
        self.ends.last().map(|end| end.ended)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }
}
