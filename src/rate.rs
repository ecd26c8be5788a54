//! Request rates.

use serde::{Deserialize, Serialize};

/// A request rate, in thousandths of a request per second.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rate(pub u32);

impl Rate {
    /// Requests per second.
    pub fn per_s(self) -> f64 {
        f64::from(self.0) / 1_000.0
    }

    /// Requests per millisecond.
    pub fn per_ms(self) -> f64 {
        self.per_s() / 1_000.0
    }

    /// Parses requests per second: digits with at most one decimal point, `None` for anything else.
    /// The rate is rounded down to thousandths, and a rate that is too large becomes the largest
    /// one.
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
