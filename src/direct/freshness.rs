//! How old the process's knowledge of the configuration may be, proved on its own steady clock.
//!
//! A proof dates from the moment at which the question was sent, never from the answer: the
//! answer may have waited in a socket buffer. A peer's proof is dated from the question to that
//! peer, less the age that the peer tells. So a proof never claims to be younger than it is.

use crate::clock::Millis;

/// When the configuration in force was last known to be the newest.
#[derive(Debug, Clone, Copy, Default)]
pub struct Freshness {
    /// When the question of the newest proof was sent.
    proven: Option<Millis>,
}

impl Freshness {
    /// A question sent at `asked` was answered: what this process holds was the newest then.
    pub fn prove(&mut self, asked: Millis) {
        self.proven = self.proven.max(Some(asked));
    }

    /// A peer asked at `asked` holds the same knowledge, proven `age` before its answer.
    pub fn prove_by_peer(&mut self, asked: Millis, age: Millis) {
        if asked.0 >= age.0 {
            self.prove(asked - age);
        }
    }

    /// Age of the proof at `now`; `None` when there has been none.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.proven.map(|at| now - at)
    }

    /// Whether the proof is younger than `bound`.
    pub fn is_younger_than(&self, now: Millis, bound: Millis) -> bool {
        self.age(now).is_some_and(|age| age < bound)
    }
}
