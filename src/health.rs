//! Health of one endpoint as its sidecar sees it: set aside after failures, tried again gently.

use crate::clock::Millis;

/// Failures in a row after which an endpoint is set aside.
const FAILURES: u32 = 3;
/// First time aside; it doubles with every failed trial.
const ASIDE_LEAST: Millis = Millis(1_000);
/// Longest time aside.
const ASIDE_MOST: Millis = Millis(30_000);

/// Whether an endpoint may be used, and how much of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// All slots.
    Good,
    /// One request at a time until one succeeds.
    Trial,
    /// Nothing until the given time.
    Aside(Millis),
}

/// Counts the failures of one endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Breaker {
    health: Health,
    failures: u32,
    aside: Millis,
    /// Until when the endpoint has asked for rest.
    rests_until: Millis,
}

impl Default for Breaker {
    fn default() -> Self {
        Self {
            health: Health::Good,
            failures: 0,
            aside: ASIDE_LEAST,
            rests_until: Millis(0),
        }
    }
}

impl Breaker {
    /// Health at `now`; time aside that is over becomes a trial.
    pub fn health(&mut self, now: Millis) -> Health {
        if matches!(self.health, Health::Aside(until) if now >= until) {
            self.health = Health::Trial;
        }
        self.health
    }

    /// The endpoint answered.
    pub fn succeeded(&mut self) {
        *self = Self {
            rests_until: self.rests_until,
            ..Self::default()
        };
    }

    /// The endpoint asked for rest until a time. It has not failed, but is tried with one request then.
    pub fn asked_for_rest(&mut self, until: Millis) {
        self.rests_until = self.rests_until.max(until);
        if self.health == Health::Good {
            self.health = Health::Trial;
        }
    }

    /// Time of rest that is left; `None` where the endpoint takes requests.
    pub fn rest_left(&self, now: Millis) -> Option<Millis> {
        (now < self.rests_until).then(|| self.rests_until - now)
    }

    /// Another life of the endpoint has begun, which has asked for nothing.
    pub fn begin_life(&mut self) {
        self.rests_until = Millis(0);
    }

    /// The endpoint failed.
    pub fn failed(&mut self, now: Millis) {
        self.failures += 1;
        if self.health == Health::Trial {
            self.aside = Millis(self.aside.0 * 2).min(ASIDE_MOST);
        }
        if self.failures >= FAILURES || self.health == Health::Trial {
            self.health = Health::Aside(now + self.aside);
        }
    }

    /// Slots that may be used out of `slots`, and how long none may be.
    pub fn allowance(&mut self, now: Millis, slots: u32) -> (u32, Millis) {
        if let Some(left) = self.rest_left(now) {
            return (0, left);
        }
        match self.health(now) {
            Health::Good => (slots, Millis(0)),
            Health::Trial => (1, Millis(0)),
            Health::Aside(until) => (0, until - now),
        }
    }
}
