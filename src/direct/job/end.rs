//! The end of a request that no endpoint answered, or not to its end.

use rand::Rng;

use super::Job;
use crate::clock::Millis;
use crate::direct::answerer::Answerer;
use crate::direct::decision::{EndedHow, RefusedWhy};
use crate::direct::dialect::Refusal;
use crate::direct::refuse;

/// Advice when to come back after a refusal, before its random addition.
const COME_BACK: Millis = Millis(150);
/// Random addition, so that callers don't come back at the same instant.
const COME_BACK_SPREAD_MS: u64 = 250;

impl Job<'_> {
    /// Nothing ran anywhere, and nothing will.
    pub(super) async fn give_up(&self, answerer: &mut Answerer, why: RefusedWhy) -> bool {
        if self.position.get().begun {
            return self.broken();
        }
        refuse::log(self.entry, self.ask, self.incoming, why);
        let outcome = match why {
            RefusedWhy::Overload { .. } => "turned_away",
            RefusedWhy::EndsEndpoints { .. } => "ends_endpoints",
            _ => "not_run",
        };
        self.entry.gauges.request(&self.pool, outcome);
        let spread = rand::thread_rng().gen_range(0..COME_BACK_SPREAD_MS);
        let come_back = match why {
            RefusedWhy::EndsEndpoints { come_back_ms, .. } => Millis(come_back_ms),
            _ => COME_BACK,
        };
        let refusal = Refusal::NotRun(come_back + Millis(spread));
        refuse::write(self.entry, answerer, refusal, Some(self.ask)).await
    }

    /// It may have run.
    pub(super) async fn lost(&self, answerer: &mut Answerer) -> bool {
        if self.position.get().begun {
            return self.broken();
        }
        self.log_ended(EndedHow::Unknown, 502);
        refuse::write(self.entry, answerer, Refusal::Unknown, Some(self.ask)).await
    }

    /// Its time is over.
    pub(super) async fn time_over(&self, answerer: &mut Answerer) -> bool {
        if self.position.get().begun {
            return self.broken();
        }
        if !self.sent {
            return self.give_up(answerer, RefusedWhy::TimeOver).await;
        }
        self.log_ended(EndedHow::TimeOver, 504);
        refuse::write(self.entry, answerer, Refusal::TimeOver, Some(self.ask)).await
    }

    /// A stream that began can't be completed; its connection is closed without its end.
    fn broken(&self) -> bool {
        self.log_ended(EndedHow::Broken, 0);
        false
    }
}
