//! Which endpoints ended lately, under whatever request: what tells a request that ends them from one that was there by
//! chance.

use std::collections::VecDeque;

use super::case::DATING;
use super::{EndpointEnd, IncarnationDigest, PoolSnapshot};
use crate::clock::Millis;

/// Time for which an endpoint that ended is taken to be down.
const DOWN_TIME: Millis = Millis(3_000);
/// Ends of endpoints that are remembered, the newest ones.
const MOST_LIVES: usize = 512;

/// A life that ended.
#[derive(Debug, Clone, Copy)]
struct EndedLife {
    at: Millis,
    life: IncarnationDigest,
    among: Option<PoolSnapshot>,
}

impl EndedLife {
    /// Whether a request that is sent to a pool could have been at its end, as far as is known.
    fn may_serve(&self, pool: Option<u32>) -> bool {
        match (self.among, pool) {
            (Some(among), Some(pool)) => among.pool == pool,
            _ => true,
        }
    }
}

/// Endpoints' lives that ended, and how many endpoints there are.
#[derive(Debug, Default)]
pub(super) struct Lives {
    /// The newest last.
    ended: VecDeque<EndedLife>,
    /// Endpoints that there are, where those of the pool are not known; 0 while none is known.
    pub(super) endpoints: usize,
}

impl Lives {
    /// Remembers that an endpoint ended.
    pub(super) fn note(&mut self, end: &EndpointEnd, among: Option<PoolSnapshot>) {
        if let Some(known) = self.ended.iter_mut().find(|e| e.life == end.endpoint) {
            known.among = known.among.or(among);
            return;
        }
        if self.ended.len() == MOST_LIVES {
            self.ended.pop_front();
        }
        self.ended.push_back(EndedLife {
            at: end.ended,
            life: end.endpoint,
            among,
        });
    }

    /// Chance that an innocent request would have been at each end of `row`, of all endpoints that ended from its first
    /// run to its last one, an upper bound; `all` are the request's ends, those included that are not in the row.
    ///
    /// Only endpoints of the request's own pool count: it could not have been at any other.
    pub(super) fn chance(&self, row: &[EndpointEnd], all: &[EndpointEnd]) -> f64 {
        let (Some(first), Some(last)) = (row.first(), row.last()) else {
            return 1.0;
        };
        let known: Vec<PoolSnapshot> = row.iter().filter_map(|end| self.among(end)).collect();
        let pool = known.first().map(|among| among.pool);
        let fewest = known.iter().map(|among| among.endpoints).min();
        let others = self.ended.iter().filter(|e| {
            let meanwhile = e.at >= first.began && e.at <= last.ended + DATING;
            meanwhile && e.may_serve(pool) && all.iter().all(|end| end.endpoint != e.life)
        });
        let count = row.len() + others.count();
        let ways = (0..row.len()).map(|i| (count - i) as f64 / (i + 1) as f64);
        let at_each = row.iter().map(|end| {
            let among = self.among(end).map(|among| among.endpoints);
            let endpoints = among.or(fewest).unwrap_or(self.endpoints);
            1.0 / self.up_before(end, endpoints, pool) as f64
        });
        ways.product::<f64>() * at_each.product::<f64>()
    }

    /// The endpoints among which one was that ended.
    fn among(&self, end: &EndpointEnd) -> Option<PoolSnapshot> {
        let mut ended = self.ended.iter();
        ended.find(|e| e.life == end.endpoint)?.among
    }

    /// Of so many endpoints, those that were up before an end, as far as is known: one of them has ended.
    fn up_before(&self, end: &EndpointEnd, endpoints: usize, pool: Option<u32>) -> usize {
        let from = end.ended - DOWN_TIME;
        let down = self.ended.iter().filter(|e| {
            let was_down = e.at >= from && e.at <= end.ended && e.life != end.endpoint;
            was_down && e.may_serve(pool)
        });
        endpoints.saturating_sub(down.count()).max(1)
    }
}
