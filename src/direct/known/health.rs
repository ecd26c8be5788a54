//! Outlier detection: the health of one endpoint as an entry observes it through its own requests,
//! by answers, failures and speed.
//!
//! Health probes cost money and can be misleading, so only real requests count. An endpoint that
//! fails often is ejected and then tried with one request at a time; one that answers slowly has a
//! higher price when endpoints are chosen. If all endpoints are ejected, all are used.

use crate::clock::Millis;

/// Weight of the latest result in the mean failure rate.
const FAILURE_WEIGHT: f64 = 0.2;
/// Mean failure rate from which an endpoint is ejected.
const EJECTION_FAILURE_RATE: f64 = 0.45;
/// Number of consecutive failures after which an endpoint is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Duration of the first ejection; it doubles with every failed trial.
const MIN_EJECTION: Millis = Millis(700);
/// Longest ejection.
const MAX_EJECTION: Millis = Millis(6_000);
/// Weight of the latest observation in the mean slowness.
const SLOWNESS_WEIGHT: f64 = 0.15;
/// Lower and upper bound of the mean slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 12.0);
/// Half-life of the deviation of slowness from 1, in ms, so that a slow endpoint is tried again.
const SLOWNESS_HALF_LIFE_MS: f64 = 4_000.0;

/// How an endpoint may be used; better grades first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Grade {
    /// Like any other.
    Good,
    /// With one request at a time, to find out whether it works again.
    Trial,
    /// Only if there is no other.
    Poor,
}

/// How an endpoint failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// It answered with an error, or its answer broke off.
    Answer,
    /// It could not be reached, or did not respond.
    Unreachable,
}

/// Health of one endpoint.
#[derive(Debug, Clone, Copy)]
pub struct HealthRecord {
    /// Mean failure rate, from 0 to 1.
    failure_rate: f64,
    /// Number of failures since the last success.
    consecutive_failures: u32,
    /// When it is due for a trial; `None` while it is not ejected.
    ejected_until: Option<Millis>,
    /// Duration of the next ejection; doubles with every failed trial.
    ejection_time: Millis,
    /// Mean ratio of observed to expected time, as of `slowness_at`.
    slowness: f64,
    slowness_at: Millis,
}

impl Default for HealthRecord {
    fn default() -> Self {
        Self {
            failure_rate: 0.0,
            consecutive_failures: 0,
            ejected_until: None,
            ejection_time: MIN_EJECTION,
            slowness: 1.0,
            slowness_at: Millis(0),
        }
    }
}

impl HealthRecord {
    /// How the endpoint may be used at `now`.
    pub fn grade(&self, now: Millis) -> Grade {
        match self.ejected_until {
            None => Grade::Good,
            Some(until) if now >= until => Grade::Trial,
            Some(_) => Grade::Poor,
        }
    }

    /// Whether the endpoint is ejected, including while it is due for a trial.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// This record with an ejection until `until`, or until its own one ends if that is later.
    #[must_use]
    pub fn with_ejection(self, until: Millis) -> Self {
        Self {
            ejected_until: self.ejected_until.max(Some(until)),
            ..self
        }
    }

    /// Records a success. The ejection ends if the failure rate is low enough by then.
    pub fn succeeded(&mut self) {
        self.failure_rate *= 1.0 - FAILURE_WEIGHT;
        self.consecutive_failures = 0;
        if self.failure_rate < EJECTION_FAILURE_RATE {
            self.ejected_until = None;
            self.ejection_time = MIN_EJECTION;
        }
    }

    /// Records a failed request; returns true if this ejected the endpoint.
    pub fn failed(&mut self, now: Millis, fault: Fault) -> bool {
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_WEIGHT;
        self.consecutive_failures += match fault {
            Fault::Answer => 1,
            Fault::Unreachable => MAX_CONSECUTIVE_FAILURES,
        };
        let was_ejected = self.ejected_until.is_some();
        if !was_ejected
            && self.failure_rate < EJECTION_FAILURE_RATE
            && self.consecutive_failures < MAX_CONSECUTIVE_FAILURES
        {
            return false;
        }
        if was_ejected {
            self.ejection_time = Millis(self.ejection_time.0 * 2).min(MAX_EJECTION);
        }
        self.ejected_until = Some(now + self.ejection_time);
        !was_ejected
    }

    /// Records that the endpoint asked for no requests until `until`. It is healthy, but afterwards
    /// it is tried with one request instead of all that arrive first: idle by then, it looks like
    /// the best endpoint to every entry. One that asks again at its trial is left alone for longer
    /// each time.
    pub fn requested_backoff(&mut self, now: Millis, until: Millis) {
        let mut ejected_until = until;
        if self.grade(now) == Grade::Trial {
            self.ejection_time = Millis(self.ejection_time.0 * 2).min(MAX_EJECTION);
            ejected_until = ejected_until.max(now + self.ejection_time);
        }
        let current = self.ejected_until.unwrap_or_default();
        self.ejected_until = Some(current.max(ejected_until));
    }

    /// Records that an answer began after `observed`, where `expected_ms` had been estimated for an
    /// endpoint of nominal speed.
    pub fn observe_response_time(&mut self, now: Millis, observed: Millis, expected_ms: f64) {
        let ratio = observed.0 as f64 / expected_ms.max(1.0);
        let mean = self.slowness(now);
        let (least, most) = SLOWNESS_RANGE;
        self.slowness = (mean + (ratio.min(most) - mean) * SLOWNESS_WEIGHT).clamp(least, most);
        self.slowness_at = now;
    }

    /// Mean ratio of observed to estimated time at this endpoint, decaying towards 1.
    pub fn slowness(&self, now: Millis) -> f64 {
        let age = (now - self.slowness_at).0 as f64;
        let remaining = 0.5_f64.powf(age / SLOWNESS_HALF_LIFE_MS);
        1.0 + (self.slowness - 1.0) * remaining
    }
}
