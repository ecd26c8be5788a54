//! When a request is given up because endpoints can't be reached; nothing was sent to them.
//!
//! It guards against refusals right after many endpoints of a pool have crashed together. A refused
//! connection costs a round trip and proves that nothing ran, so the request can pass over any
//! number of such endpoints for as long as its target, counted from its first connection: a request
//! that waited at the entry before has it whole. An unanswered connection costs a time-out, and
//! many of them tell that this entry is cut off, so only a few are tried.

use crate::clock::Millis;

/// Number of endpoints that may be unreachable before a request is given up.
const MAX_UNREACHABLE: u32 = 4;

/// Why nothing was sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionFailure {
    /// The connection was refused, or was reset before anything was sent.
    Refused,
    /// The connection could not be opened in time, or failed in another way.
    Unanswered,
}

/// Which unreachable endpoints count before a request is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUpRule {
    /// All of them.
    CountAll,
    /// Those that refuse the connection don't count for a time after the first connection, as long
    /// as others are left.
    PassOver {
        /// Length of that time.
        period: Millis,
        /// When it is over in any case.
        deadline: Millis,
    },
}

/// Endpoints that one request found unreachable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct UnreachableEndpoints {
    /// When the request first looked for a connection; `None` before.
    search_started: Option<Millis>,
    /// Number of those that count.
    counted: u32,
    /// Number of those that were passed over.
    passed_over: u32,
}

impl UnreachableEndpoints {
    /// Records that the request looks for a connection; only the first time counts.
    pub fn start_search(&mut self, now: Millis) {
        self.search_started.get_or_insert(now);
    }

    /// Records an endpoint to which nothing could be sent, and decides whether the request is tried
    /// at another one. `has_other` tells whether an endpoint is left that is not known to be
    /// unreachable; it is only called where that matters.
    #[must_use]
    pub fn may_try_another(
        &mut self,
        now: Millis,
        failure: ConnectionFailure,
        rule: GiveUpRule,
        has_other: impl FnOnce() -> bool,
    ) -> bool {
        match (failure, rule) {
            (ConnectionFailure::Refused, GiveUpRule::PassOver { .. }) => self.passed_over += 1,
            _ => self.counted += 1,
        }
        if self.counted + self.passed_over < MAX_UNREACHABLE {
            return true;
        }
        match rule {
            GiveUpRule::CountAll => false,
            GiveUpRule::PassOver { period, deadline } => {
                let started = self.search_started.unwrap_or(now);
                let end = deadline.min(started + period);
                self.counted < MAX_UNREACHABLE && now < end && has_other()
            }
        }
    }

    /// Number of endpoints that were passed over.
    pub fn passed_over(&self) -> u32 {
        self.passed_over
    }
}
