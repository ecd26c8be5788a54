//! The history of one request under which endpoints ended.

use super::{EndpointEnd, ENDS_TO_REFUSE, ENDS_TO_SEPARATE};
use crate::clock::Millis;

/// Time for which a request is refused at first; it doubles with each further end.
const MIN_REFUSAL_TIME: Millis = Millis::from_secs(600);
/// Longest time for which a request is refused, so that engines of a newer version get to try it.
const MAX_REFUSAL_TIME: Millis = Millis::from_secs(3_600);
/// Time for which a history is kept after its newest event, and after its refusal has expired.
const RETENTION: Millis = Millis::from_secs(600);
/// Maximum number of ends kept for one request, the newest ones.
const MAX_ENDS: usize = 8;
/// How far the times that two processes report for one event may differ: the delay of a datagram.
pub(super) const TIMESTAMP_TOLERANCE: Millis = Millis(20);

/// The ends, runs and refusal of one request.
#[derive(Debug, Clone, Default)]
pub(super) struct RequestHistory {
    /// Ends under the request since its last completion, the oldest first.
    pub(super) ends: Vec<EndpointEnd>,
    /// When an endpoint completed it last.
    pub(super) finished: Option<Millis>,
    /// When its newest run under suspicion started.
    pub(super) began: Option<Millis>,
    /// The time of the end since which it is taken for the cause; `None` where it is not.
    pub(super) cause_since: Option<Millis>,
}

impl RequestHistory {
    /// The consecutive ends: those whose run started after the previous counted end.
    pub(super) fn consecutive_ends(&self) -> Vec<EndpointEnd> {
        self.consecutive_ends_where(|_| true)
    }

    /// The consecutive ends among those for which `counts` is true.
    pub(super) fn consecutive_ends_where(
        &self,
        counts: impl Fn(&EndpointEnd) -> bool,
    ) -> Vec<EndpointEnd> {
        let mut consecutive: Vec<EndpointEnd> = Vec::with_capacity(self.ends.len());
        for end in self.ends.iter().filter(|end| counts(end)) {
            if consecutive
                .last()
                .is_none_or(|last| end.began + TIMESTAMP_TOLERANCE >= last.ended)
            {
                consecutive.push(*end);
            }
        }
        consecutive
    }

    /// Number of consecutive ends.
    pub(super) fn consecutive_count(&self) -> usize {
        self.consecutive_ends().len()
    }

    /// Whether the newest [`ENDS_TO_SEPARATE`] ends were also ends under the other request.
    pub(super) fn shares_ends(&self, other: &Self) -> bool {
        let newest = self.ends.iter().rev().take(ENDS_TO_SEPARATE);
        let is_shared = |end: &EndpointEnd| other.ends.iter().any(|e| e.endpoint == end.endpoint);
        newest.filter(|end| is_shared(end)).count() == ENDS_TO_SEPARATE
    }

    pub(super) fn last_end(&self) -> Option<Millis> {
        self.ends.last().map(|end| end.ended)
    }

    /// Adds an end; false if it is known, or was cleared by a later completion.
    pub(super) fn add(&mut self, end: EndpointEnd) -> bool {
        let is_known = self.ends.iter().any(|e| e.endpoint == end.endpoint);
        let is_cleared = self.finished.is_some_and(|at| end.ended <= at);
        if is_known || is_cleared {
            return false;
        }
        let at = self.ends.partition_point(|e| e.ended <= end.ended);
        self.ends.insert(at, end);
        if self.ends.len() > MAX_ENDS {
            self.ends.remove(0);
        }
        true
    }

    /// When the refusal would expire if the request is the cause; `None` below [`ENDS_TO_REFUSE`],
    /// unless it is already taken for the cause.
    pub(super) fn refused_until(&self) -> Option<Millis> {
        let extra_ends = match self.cause_since {
            Some(_) => self.consecutive_count().saturating_sub(ENDS_TO_REFUSE),
            None => self.consecutive_count().checked_sub(ENDS_TO_REFUSE)?,
        };
        let time = Millis(MIN_REFUSAL_TIME.0 << extra_ends.min(MAX_ENDS)).min(MAX_REFUSAL_TIME);
        let from = self.last_end().max(self.cause_since);
        from.map(|at| at + time)
    }

    /// Time of the newest event.
    pub(super) fn last_event_at(&self) -> Millis {
        let newest = self.last_end().max(self.finished).max(self.began);
        let newest = newest.max(self.cause_since);
        newest.unwrap_or_default()
    }

    pub(super) fn is_expired(&self, now: Millis) -> bool {
        let refusal_end = self.refused_until().unwrap_or_default();
        now >= (self.last_event_at() + RETENTION).max(refusal_end + RETENTION)
    }
}
