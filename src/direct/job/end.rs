//! The end of a request that no endpoint answered, or not to its end.

use rand::Rng;

use super::Job;
use crate::clock::Millis;
use crate::direct::answerer::Answerer;
use crate::direct::decision::{EndedHow, RefusedWhy};
use crate::direct::dialect::Refusal;
use crate::direct::directory::EndpointKey;
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
        let free = self.free_endpoints();
        if free > 0 {
            self.entry.gauges.refused_with_room(&self.pool);
        }
        refuse::log(self.entry, self.ask, self.incoming, why, Some(free));
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

    /// Endpoints of the pool that have a free slot and announced nothing against requests.
    fn free_endpoints(&self) -> usize {
        let now = self.entry.clock.now();
        let directory = self.entry.directory();
        let accounts = self.entry.accounts();
        let is_free = |key: EndpointKey, slots: u32| {
            let account = accounts.get(key);
            account.is_some_and(|account| account.load.present(now) < slots)
        };
        let open = directory.of_pool(&self.pool, now);
        open.filter(|(key, endpoint)| is_free(*key, endpoint.listed.slots))
            .count()
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
