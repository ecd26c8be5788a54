//! The endpoints that ended lately, under any request. From these follows how likely an innocent
//! request was at the same ends by chance.

use std::collections::VecDeque;

use super::case::TIMESTAMP_TOLERANCE;
use super::{EndpointEnd, IncarnationDigest, PoolSnapshot};
use crate::clock::Millis;

/// Time for which an endpoint that ended is taken to be down.
const DOWN_TIME: Millis = Millis(3_000);
/// Maximum number of ends that are kept, the newest ones.
const MAX_ENDED: usize = 512;

/// An incarnation of an endpoint that ended.
#[derive(Debug, Clone, Copy)]
struct EndedIncarnation {
    at: Millis,
    incarnation: IncarnationDigest,
    pool_snapshot: Option<PoolSnapshot>,
}

impl EndedIncarnation {
    /// Whether requests of `pool` may have been at this endpoint; true where either pool is
    /// unknown.
    fn may_serve(&self, pool: Option<u32>) -> bool {
        match (self.pool_snapshot, pool) {
            (Some(pool_snapshot), Some(pool)) => pool_snapshot.pool == pool,
            _ => true,
        }
    }
}

/// The incarnations that ended lately, and the number of endpoints.
#[derive(Debug, Default)]
pub(super) struct EndedIncarnations {
    /// The newest last.
    ended: VecDeque<EndedIncarnation>,
    /// Number of endpoints, used where the size of the pool is unknown; 0 before any is known.
    pub(super) endpoint_count: usize,
}

impl EndedIncarnations {
    /// Records that an endpoint ended; `pool_snapshot` is the size of its pool then, if known.
    pub(super) fn record(&mut self, end: &EndpointEnd, pool_snapshot: Option<PoolSnapshot>) {
        if let Some(known) = self
            .ended
            .iter_mut()
            .find(|e| e.incarnation == end.endpoint)
        {
            known.pool_snapshot = known.pool_snapshot.or(pool_snapshot);
            return;
        }
        if self.ended.len() == MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(EndedIncarnation {
            at: end.ended,
            incarnation: end.endpoint,
            pool_snapshot,
        });
    }

    /// Upper bound of the probability that an innocent request was at each end of `consecutive`,
    /// given all endpoints that ended between its first run and its last end. `all` holds all ends
    /// of the request, including those that are not consecutive.
    ///
    /// Only endpoints of the request's own pool count: it could not have been at any other.
    pub(super) fn innocent_chance(&self, consecutive: &[EndpointEnd], all: &[EndpointEnd]) -> f64 {
        let (Some(first), Some(last)) = (consecutive.first(), consecutive.last()) else {
            return 1.0;
        };
        let known: Vec<PoolSnapshot> = consecutive
            .iter()
            .filter_map(|end| self.pool_snapshot(end))
            .collect();
        let pool = known.first().map(|pool_snapshot| pool_snapshot.pool);
        let fewest = known
            .iter()
            .map(|pool_snapshot| pool_snapshot.endpoints)
            .min();
        let others = self.ended.iter().filter(|e| {
            let meanwhile = e.at >= first.began && e.at <= last.ended + TIMESTAMP_TOLERANCE;
            meanwhile && e.may_serve(pool) && all.iter().all(|end| end.endpoint != e.incarnation)
        });
        let count = consecutive.len() + others.count();
        let combinations = (0..consecutive.len()).map(|i| (count - i) as f64 / (i + 1) as f64);
        let chance_at_each = consecutive.iter().map(|end| {
            let pool_size = self.pool_snapshot(end).map(|snapshot| snapshot.endpoints);
            let endpoints = pool_size.or(fewest).unwrap_or(self.endpoint_count);
            1.0 / self.up_before(end, endpoints, pool) as f64
        });
        combinations.product::<f64>() * chance_at_each.product::<f64>()
    }

    /// Size of the pool of the endpoint that ended, if known.
    fn pool_snapshot(&self, end: &EndpointEnd) -> Option<PoolSnapshot> {
        let mut ended = self.ended.iter();
        ended.find(|e| e.incarnation == end.endpoint)?.pool_snapshot
    }

    /// Of `endpoints` endpoints, the number that was up just before an end, as far as is known; at
    /// least 1, the one that ended.
    fn up_before(&self, end: &EndpointEnd, endpoints: usize, pool: Option<u32>) -> usize {
        let from = end.ended - DOWN_TIME;
        let down = self.ended.iter().filter(|e| {
            let was_down = e.at >= from && e.at <= end.ended && e.incarnation != end.endpoint;
            was_down && e.may_serve(pool)
        });
        endpoints.saturating_sub(down.count()).max(1)
    }
}
