//! Rates of requests.

use serde::{Deserialize, Serialize};

/// Requests a second, in thousandths.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rate(pub u32);

impl Rate {
    /// Requests a second.
    pub fn per_s(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }

    /// Requests in a millisecond.
    pub fn per_ms(self) -> f64 {
        self.per_s() / 1_000.0
    }

    /// Reads requests a second, as digits with at most one point; `None` for anything else. What is finer than a
    /// thousandth is left out, and what is larger than can be held is held as the largest.
    pub fn parse(text: &str) -> Option<Self> {
        let text = text.trim();
        let is_decimal = |c: char| c.is_ascii_digit() || c == '.';
        if !text.chars().all(is_decimal) {
            return None;
        }
        let per_s: f64 = text.parse().ok()?;
        // The cast saturates.
        Some(Self((per_s * 1_000.0) as u32))
    }
}
