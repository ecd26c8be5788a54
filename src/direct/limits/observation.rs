//! What one answer of an endpoint says of its limit, and which of two answers counts.

use crate::clock::Millis;
use crate::rate::Rate;

/// What an answer says of the limit that the endpoint has for all instances together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitObservation {
    /// The limit; `None` where the answer names none.
    pub limit: Option<Rate>,
    /// When the request was sent: the endpoint said it later.
    pub sent_at: Millis,
    /// When the answer came: the endpoint said it earlier.
    pub received_at: Millis,
}

impl LimitObservation {
    /// Whether this word counts instead of another one.
    ///
    /// Answers come in another order than endpoints make them. A lower limit counts unless it was certainly said
    /// before the other; a higher one, or none, only where it was certainly said after it.
    pub fn supersedes(&self, known: &Self) -> bool {
        match (self.limit, known.limit) {
            (own, other) if own == other => self.received_at >= known.received_at,
            (Some(own), Some(other)) if own < other => self.received_at >= known.sent_at,
            (Some(_), None) => self.received_at >= known.sent_at,
            _ => self.sent_at >= known.received_at,
        }
    }
}
