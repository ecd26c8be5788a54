//! How long work takes at an endpoint at one moment, as the endpoint reports it. Endpoints share
//! their machines with other programs, so the figure changes several times a second and an old one
//! says little.

use std::ops::RangeInclusive;

use crate::clock::Millis;

/// Half-life of a report's deviation from the usual time, in ms: an endpoint is slowed for some
/// hundred milliseconds at a time.
const HALF_LIFE_MS: f64 = 150.0;
/// Reports that are plausible, in percent of the usual time; others are ignored.
const PLAUSIBLE_PERCENT: RangeInclusive<u32> = 10..=2_000;

/// Time that work takes at an endpoint, in percent of the usual time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slowdown(u32);

impl Slowdown {
    /// A reported percentage; `None` if it is not plausible.
    pub fn from_percent(percent: u32) -> Option<Self> {
        PLAUSIBLE_PERCENT
            .contains(&percent)
            .then_some(Self(percent))
    }

    /// Expected factor on the usual time when the report is `age` old: the reported one at first,
    /// and 1 in the long run.
    pub fn factor(self, age: Millis) -> f64 {
        let reported = f64::from(self.0) / 100.0;
        1.0 + (reported - 1.0) * 0.5_f64.powf(age.0 as f64 / HALF_LIFE_MS)
    }
}
