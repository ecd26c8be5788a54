//! Age of the process's knowledge of the configuration, measured on its own monotonic clock.
//!
//! A proof of being up to date is dated from the moment at which the question was sent, never from
//! the answer, which may have waited in a socket buffer. A peer's proof is dated from the question
//! to that peer, minus the age that the peer reports. So a proof is never dated later than it
//! should be.

use crate::clock::Millis;

/// When the configuration in force was last known to be the newest.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    /// When the question that led to the newest proof was sent; `None` before the first proof.
    proven_at: Option<Millis>,
}

impl Freshness {
    /// Records the answer to a question sent at `asked`: what this process has was the newest then.
    pub fn prove(&mut self, asked: Millis) {
        self.proven_at = self.proven_at.max(Some(asked));
    }

    /// Records that a peer, asked at `asked`, has the same configuration, proven `age` before its
    /// answer. Ignored if that lies before the start of the clock.
    pub fn prove_by_peer(&mut self, asked: Millis, age: Millis) {
        if asked.0 >= age.0 {
            self.prove(asked - age);
        }
    }

    /// When the question that led to the newest proof was sent; `None` before the first proof.
    pub fn proven_at(&self) -> Option<Millis> {
        self.proven_at
    }

    /// Age of the newest proof at `now`; `None` if there is none.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.proven_at.map(|at| now - at)
    }

    /// Whether there is a proof and it is younger than `bound`.
    pub fn is_younger_than(&self, now: Millis, bound: Millis) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
