//! What one answer of an endpoint announces of its limit, and which of two answers is in force.

use crate::clock::Millis;
use crate::rate::Rate;

/// The limit that one answer of an endpoint announced, for all instances together. The endpoint
/// wrote the answer at an unknown time between `sent_at` and `received_at`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitObservation {
    /// The limit; `None` if the answer announced none.
    pub limit: Option<Rate>,
    /// When the request was sent; the endpoint answered after that.
    pub sent_at: Millis,
    /// When the answer arrived; the endpoint answered before that.
    pub received_at: Millis,
}

impl LimitObservation {
    /// Whether this observation replaces `known` as the one in force.
    ///
    /// Answers may arrive in another order than endpoints wrote them. A lower limit wins unless it
    /// was certainly written before the other one; a higher one, or none, wins only if it was
    /// certainly written after it.
    pub fn supersedes(&self, known: &Self) -> bool {
        match (self.limit, known.limit) {
            (own, other) if own == other => self.received_at >= known.received_at,
            (Some(own), Some(other)) if own < other => self.received_at >= known.sent_at,
            (Some(_), None) => self.received_at >= known.sent_at,
            _ => self.sent_at >= known.received_at,
        }
    }
}
