//! Health of one endpoint as an entry sees it by its own requests: answers, failures, speed.
//!
//! Health probes are priced and may lie, so only real work counts. An endpoint that fails often is
//! set aside and tried with one request at a time; one that answers slowly costs more in the
//! choice. When all are bad, all are used.

use crate::clock::Millis;

/// Weight of the newest result in the mean share of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// Mean share of failures above which an endpoint is set aside.
const FAILING: f64 = 0.45;
/// Failures in a row after which an endpoint is set aside.
const FAILURES_IN_A_ROW: u32 = 3;
/// First time aside; it doubles with every failed trial.
const ASIDE_LEAST: Millis = Millis(700);
/// Longest time aside.
const ASIDE_MOST: Millis = Millis(6_000);
/// Weight of the newest observation in the mean slowness.
const SLOWNESS_WEIGHT: f64 = 0.15;
/// Bounds of the mean slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 12.0);
/// Time after which half of an old slowness is forgotten, so that the endpoint is tried again.
const SLOWNESS_HALF_LIFE_MS: f64 = 4_000.0;

/// How an endpoint may be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Grade {
    /// Like any other.
    Good,
    /// One request at a time, to see.
    Trial,
    /// Only when there is no other.
    Poor,
}

/// How an endpoint failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It answered with an error, or broke its answer off.
    Answer,
    /// It could not be reached, or is silent.
    Unreachable,
}

/// The record of one endpoint.
#[derive(Debug, Clone, Copy)]
pub struct HealthRecord {
    /// Mean share of failures, 0 to 1.
    failing: f64,
    /// Failures since the last success.
    in_a_row: u32,
    /// When it is due for a trial; `None` while it is not set aside.
    aside_until: Option<Millis>,
    /// Time for which it is set aside; doubles with every failed trial.
    aside: Millis,
    /// Mean of seen by expected time as it was at `slowness_at`.
    slowness: f64,
    slowness_at: Millis,
}

impl Default for HealthRecord {
    fn default() -> Self {
        Self {
            failing: 0.0,
            in_a_row: 0,
            aside_until: None,
            aside: ASIDE_LEAST,
            slowness: 1.0,
            slowness_at: Millis(0),
        }
    }
}

impl HealthRecord {
    /// How the endpoint may be used at `now`.
    pub fn grade(&self, now: Millis) -> Grade {
        match self.aside_until {
            None => Grade::Good,
            Some(until) if now >= until => Grade::Trial,
            Some(_) => Grade::Poor,
        }
    }

    /// Whether the endpoint is set aside, also while it is due for a trial.
    pub fn is_ejected(&self) -> bool {
        self.aside_until.is_some()
    }

    /// The endpoint answered well.
    pub fn succeeded(&mut self) {
        self.failing *= 1.0 - FAILURE_WEIGHT;
        self.in_a_row = 0;
        if self.failing < FAILING {
            self.aside_until = None;
            self.aside = ASIDE_LEAST;
        }
    }

    /// The endpoint failed a request; true when this set it aside.
    pub fn failed(&mut self, now: Millis, fault: Fault) -> bool {
        self.failing += (1.0 - self.failing) * FAILURE_WEIGHT;
        self.in_a_row += match fault {
            Fault::Answer => 1,
            Fault::Unreachable => FAILURES_IN_A_ROW,
        };
        let was_aside = self.aside_until.is_some();
        if !was_aside && self.failing < FAILING && self.in_a_row < FAILURES_IN_A_ROW {
            return false;
        }
        if was_aside {
            self.aside = Millis(self.aside.0 * 2).min(ASIDE_MOST);
        }
        self.aside_until = Some(now + self.aside);
        !was_aside
    }

    /// The endpoint asked for rest until a time. It is well, but whether it takes requests again then is found out with one,
    /// not with all that come first: it has nothing to do by that time, and so looks like the best. One that asks
    /// again at its trial is left for longer each time.
    pub fn requested_backoff(&mut self, now: Millis, until: Millis) {
        let mut aside_until = until;
        if self.grade(now) == Grade::Trial {
            self.aside = Millis(self.aside.0 * 2).min(ASIDE_MOST);
            aside_until = aside_until.max(now + self.aside);
        }
        let known = self.aside_until.unwrap_or_default();
        self.aside_until = Some(known.max(aside_until));
    }

    /// An answer began after `seen` where `expected` was estimated for an endpoint of usual speed, in ms.
    pub fn observe_response_time(&mut self, now: Millis, seen: Millis, expected: f64) {
        let ratio = seen.0 as f64 / expected.max(1.0);
        let mean = self.slowness(now);
        let (least, most) = SLOWNESS_RANGE;
        self.slowness = (mean + (ratio.min(most) - mean) * SLOWNESS_WEIGHT).clamp(least, most);
        self.slowness_at = now;
    }

    /// How many times longer than estimated this endpoint takes.
    pub fn slowness(&self, now: Millis) -> f64 {
        let age = (now - self.slowness_at).0 as f64;
        let kept = 0.5_f64.powf(age / SLOWNESS_HALF_LIFE_MS);
        1.0 + (self.slowness - 1.0) * kept
    }
}
