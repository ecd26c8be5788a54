//! Which software versions the endpoints of each pool have had lately.

use std::collections::HashMap;

use super::{Origin, PoolDigest};
use crate::clock::Millis;

/// Time for which a version is remembered after its last endpoint left; longer than streams take.
const RETENTION: Millis = Millis(600_000);

/// The endpoints of one version.
#[derive(Debug, Clone, Copy, Default)]
struct Presence {
    /// Number of endpoints that are listed.
    endpoints: usize,
    /// When the last one left.
    left_at: Millis,
}

/// The software versions of listed endpoints, and of those that have left.
#[derive(Debug, Default)]
pub struct SoftwareHistory {
    versions: HashMap<Origin, Presence>,
    /// Since when no endpoint can have come and gone unnoticed; `None` before the first list.
    complete_since: Option<Millis>,
}

impl SoftwareHistory {
    /// Records that an endpoint was added to the list.
    pub fn added(&mut self, origin: Origin) {
        self.versions.entry(origin).or_default().endpoints += 1;
    }

    /// Records that an endpoint has left the list.
    pub fn removed(&mut self, origin: Origin, now: Millis) {
        if let Some(presence) = self.versions.get_mut(&origin) {
            presence.endpoints = presence.endpoints.saturating_sub(1);
            presence.left_at = now;
        }
        self.versions
            .retain(|_, presence| presence.endpoints > 0 || now - presence.left_at < RETENTION);
    }

    /// Records that the list was read as a whole, so that changes before it may have been missed.
    pub fn record_gap(&mut self, now: Millis) {
        self.complete_since = Some(now);
    }

    /// Time for which no endpoint can have come and gone unnoticed; `None` without a list.
    pub fn known_for(&self, now: Millis) -> Option<Millis> {
        self.complete_since.map(|since| now - since)
    }

    /// Whether any pool has had endpoints of several versions since a time.
    pub fn has_several(&self, time: Millis) -> bool {
        let mut origins = self.versions.keys();
        origins.any(|origin| self.since(origin.pool, time).nth(1).is_some())
    }

    /// The versions at which a pool has had endpoints since a time.
    pub fn since(&self, pool: PoolDigest, time: Millis) -> impl Iterator<Item = Origin> + '_ {
        self.versions
            .iter()
            .filter(move |(origin, presence)| {
                origin.pool == pool && (presence.endpoints > 0 || presence.left_at >= time)
            })
            .map(|(origin, _)| *origin)
    }
}
