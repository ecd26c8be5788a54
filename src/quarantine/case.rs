//! What is known of one request under which endpoints ended.

use super::{EndpointEnd, ENDS_TO_REFUSE, ENDS_TO_SEPARATE};
use crate::clock::Millis;

/// First time for which it is refused; it doubles with each further end.
const REFUSED_LEAST: Millis = Millis::from_secs(600);
/// Longest time for which it is refused, so that engines of a newer version get it to try.
const REFUSED_MOST: Millis = Millis::from_secs(3_600);
/// Time for which ends below [`ENDS_TO_REFUSE`] are remembered.
const KEPT: Millis = Millis::from_secs(600);
/// Ends that are remembered of one request, the newest ones.
const MOST_ENDS: usize = 8;
/// How much the times that two processes tell of one moment may differ: the way of a datagram.
pub(super) const DATING: Millis = Millis(20);

/// What is known of one request.
#[derive(Debug, Clone, Default)]
pub(super) struct Case {
    /// Ends under it since it was finished last, the oldest first.
    pub(super) ends: Vec<EndpointEnd>,
    /// When an endpoint finished it last.
    pub(super) finished: Option<Millis>,
    /// When the newest run of it under suspicion began.
    pub(super) began: Option<Millis>,
    /// The end at which it was taken for the cause.
    pub(super) cause_since: Option<Millis>,
}

impl Case {
    /// Ends in a row: runs that began after the end of the one before.
    pub(super) fn row(&self) -> Vec<EndpointEnd> {
        self.row_of(|_| true)
    }

    /// The same of those that count.
    pub(super) fn row_of(&self, counts: impl Fn(&EndpointEnd) -> bool) -> Vec<EndpointEnd> {
        let mut row: Vec<EndpointEnd> = Vec::with_capacity(self.ends.len());
        for end in self.ends.iter().filter(|end| counts(end)) {
            if row
                .last()
                .is_none_or(|last| end.began + DATING >= last.ended)
            {
                row.push(*end);
            }
        }
        row
    }

    /// Their number.
    pub(super) fn in_a_row(&self) -> usize {
        self.row().len()
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
        let is_settled = self.finished.is_some_and(|at| end.ended <= at);
        if is_known || is_settled {
            return false;
        }
        let at = self.ends.partition_point(|e| e.ended <= end.ended);
        self.ends.insert(at, end);
        if self.ends.len() > MOST_ENDS {
            self.ends.remove(0);
        }
        true
    }

    /// Until when it is refused where it is the cause; `None` below [`ENDS_TO_REFUSE`].
    pub(super) fn refused_until(&self) -> Option<Millis> {
        let beyond = match self.cause_since {
            Some(_) => self.in_a_row().saturating_sub(ENDS_TO_REFUSE),
            None => self.in_a_row().checked_sub(ENDS_TO_REFUSE)?,
        };
        let time = Millis(REFUSED_LEAST.0 << beyond.min(MOST_ENDS)).min(REFUSED_MOST);
        let from = self.last_end().max(self.cause_since);
        from.map(|at| at + time)
    }

    /// When the newest thing known of it happened.
    pub(super) fn touched(&self) -> Millis {
        let newest = self.last_end().max(self.finished).max(self.began);
        let newest = newest.max(self.cause_since);
        newest.unwrap_or_default()
    }

    pub(super) fn is_over(&self, now: Millis) -> bool {
        let kept = self.refused_until().unwrap_or_default();
        now >= (self.touched() + KEPT).max(kept + KEPT)
    }
}
