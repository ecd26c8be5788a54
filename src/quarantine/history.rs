//! What is known of one request under which endpoints ended.

use super::{EndpointEnd, ENDS_TO_REFUSE, ENDS_TO_SEPARATE};
use crate::clock::Millis;

/// First time for which it is refused; it doubles with each further end.
const MIN_REFUSAL_TIME: Millis = Millis::from_secs(600);
/// Longest time for which it is refused, so that engines of a newer version get it to try.
const MAX_REFUSAL_TIME: Millis = Millis::from_secs(3_600);
/// Time for which ends below [`ENDS_TO_REFUSE`] are remembered.
const RETENTION: Millis = Millis::from_secs(600);
/// Ends that are remembered of one request, the newest ones.
const MAX_ENDS: usize = 8;
/// How much the times that two processes tell of one moment may differ: the way of a datagram.
pub(super) const TIMESTAMP_TOLERANCE: Millis = Millis(20);

/// What is known of one request.
#[derive(Debug, Clone, Default)]
pub(super) struct RequestHistory {
    /// Ends under it since it was finished last, the oldest first.
    pub(super) ends: Vec<EndpointEnd>,
    /// When an endpoint finished it last.
    pub(super) finished: Option<Millis>,
    /// When the newest run of it under suspicion began.
    pub(super) began: Option<Millis>,
    /// The end at which it was taken for the cause.
    pub(super) cause_since: Option<Millis>,
}

impl RequestHistory {
    /// Ends in a row: runs that began after the end of the one before.
    pub(super) fn consecutive_ends(&self) -> Vec<EndpointEnd> {
        self.consecutive_ends_where(|_| true)
    }

    /// The same of those that count.
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

    /// Their number.
    pub(super) fn consecutive_count(&self) -> usize {
        self.consecutive_ends().len()
    }

    /// Whether another request was at its newest ends as well.
    pub(super) fn shares_ends(&self, other: &Self) -> bool {
        let newest = self.ends.iter().rev().take(ENDS_TO_SEPARATE);
        let is_shared = |end: &EndpointEnd| other.ends.iter().any(|e| e.endpoint == end.endpoint);
        newest.filter(|end| is_shared(end)).count() == ENDS_TO_SEPARATE
    }

    pub(super) fn last_end(&self) -> Option<Millis> {
        self.ends.last().map(|end| end.ended)
    }

    /// Adds an end; false where it changes nothing.
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

    /// Until when it is refused where it is the cause; `None` below [`ENDS_TO_REFUSE`].
    pub(super) fn refused_until(&self) -> Option<Millis> {
        let extra_ends = match self.cause_since {
            Some(_) => self.consecutive_count().saturating_sub(ENDS_TO_REFUSE),
            None => self.consecutive_count().checked_sub(ENDS_TO_REFUSE)?,
        };
        let time = Millis(MIN_REFUSAL_TIME.0 << extra_ends.min(MAX_ENDS)).min(MAX_REFUSAL_TIME);
        let from = self.last_end().max(self.cause_since);
        from.map(|at| at + time)
    }

    /// When the newest thing known of it happened.
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
