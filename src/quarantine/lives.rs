//! Which endpoints ended lately, under whatever request: what tells a request that ends them from one that was there by
//! chance.

use std::collections::VecDeque;

use super::case::DATING;
use super::{End, LifeDigest};
use crate::clock::Millis;

/// Time for which an endpoint that ended is taken to be down.
const DOWN_TIME: Millis = Millis(3_000);
/// Ends of endpoints that are remembered, the newest ones.
const MOST_LIVES: usize = 512;

/// Endpoints' lives that ended, and how many endpoints there are.
#[derive(Debug, Default)]
pub(super) struct Lives {
    /// The newest last.
    ended: VecDeque<(Millis, LifeDigest)>,
    /// Endpoints that there are; 0 while none is known.
    pub(super) endpoints: usize,
}

impl Lives {
    /// Remembers that an endpoint ended.
    pub(super) fn note(&mut self, end: &End) {
        if self.ended.iter().any(|(_, life)| *life == end.endpoint) {
            return;
        }
        if self.ended.len() == MOST_LIVES {
            self.ended.pop_front();
        }
        self.ended.push_back((end.ended, end.endpoint));
    }

    /// Chance that an innocent request would have been at each end of `row`, of all endpoints that ended from its first
    /// run to its last one, an upper bound; `all` are the request's ends, those included that are not in the row.
    pub(super) fn chance(&self, row: &[End], all: &[End]) -> f64 {
        let (Some(first), Some(last)) = (row.first(), row.last()) else {
            return 1.0;
        };
        let others = self.ended.iter().filter(|(at, life)| {
            let meanwhile = *at >= first.began && *at <= last.ended + DATING;
            meanwhile && all.iter().all(|end| end.endpoint != *life)
        });
        let count = row.len() + others.count();
        let ways = (0..row.len()).map(|i| (count - i) as f64 / (i + 1) as f64);
        let at_each = row.iter().map(|end| 1.0 / self.up_before(end) as f64);
        ways.product::<f64>() * at_each.product::<f64>()
    }

    /// Endpoints that were up before an end, as far as is known: one of them has ended.
    fn up_before(&self, end: &End) -> usize {
        let from = end.ended - DOWN_TIME;
        let down = self
            .ended
            .iter()
            .filter(|(at, life)| *at >= from && *at <= end.ended && *life != end.endpoint);
        self.endpoints.saturating_sub(down.count()).max(1)
    }
}
