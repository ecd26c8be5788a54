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
    /// When the question that led to the newest proof was sent, in ms; `None` before the first
    /// proof. Negative if that was before the start of the clock: a process that has just started
    /// would otherwise refuse keyed requests until its peers have asked anew.
    proven_at: Option<i64>,
}

impl Freshness {
    /// Records the answer to a question sent at `asked`: what this process has was the newest then.
    pub fn prove(&mut self, asked: Millis) {
        self.prove_by_peer(asked, Millis(0));
    }

    /// Records that a peer, asked at `asked`, has the same configuration, proven `age` before its
    /// answer.
    pub fn prove_by_peer(&mut self, asked: Millis, age: Millis) {
        let proven_at = signed_ms(asked).saturating_sub(signed_ms(age));
        self.proven_at = self.proven_at.max(Some(proven_at));
    }

    /// Age of the newest proof at `now`; `None` if there is none.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        let age = signed_ms(now).saturating_sub(self.proven_at?);
        Some(Millis(u64::try_from(age).unwrap_or(0)))
    }

    /// Whether there is a proof and it is younger than `bound`.
    pub fn is_younger_than(&self, now: Millis, bound: Millis) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }

    /// Whether the newest proof is later than that of `other`.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.proven_at > other.proven_at
    }
}

fn signed_ms(time: Millis) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}
