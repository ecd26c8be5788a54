//! Where the tokens of a prompt come from at an endpoint: its own memory, another endpoint's, or the
//! prompt itself.
//!
//! Moving kept parts takes a small part of the time of reading them (on engines with 0.3 MB of
//! memory a token, 25 ms against 150 ms for 6,300 tokens), so any endpoint may serve a prompt whose
//! parts are kept somewhere.

use crate::clock::Millis;
use crate::direct::demand::{Demand, Seen};
use crate::direct::directory::EndpointKey;
use crate::direct::health::Grade;

/// Time to begin a move, in ms: a connection between two engines and the request on it.
const SETUP_MS: f64 = 4.0;
/// Fewest tokens that are worth a move: reading them takes about as long as beginning one.
const LEAST_TOKENS: u64 = 256;

/// Where the tokens of a prompt come from at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Supply {
    /// Tokens that the endpoint is taken to keep.
    pub kept: u64,
    /// Tokens that are moved there.
    pub moved: u64,
    /// From where; `None` when nothing is moved.
    pub from: Option<EndpointKey>,
}

impl Supply {
    /// Nothing is moved.
    pub fn kept(kept: u64) -> Self {
        Self {
            kept,
            ..Self::default()
        }
    }

    /// Tokens that need not be read.
    pub fn spared(&self) -> u64 {
        self.kept + self.moved
    }

    /// Time that the move takes, in ms.
    pub fn move_ms(&self, demand: &Demand<'_>) -> f64 {
        let shape = demand.engine.and_then(|engine| engine.moves);
        match (shape, self.moved) {
            (Some(shape), 1..) => SETUP_MS + shape.ms(self.moved),
            _ => 0.0,
        }
    }
}

/// The best other endpoint from which `target` takes parts of the prompt, if that is worth a move: the
/// one that has read the most of it, among those the nearest and least busy.
///
/// Only an endpoint that is well gives: one that fails or is silent would hold the request up.
pub fn supply(
    demand: &Demand<'_>,
    all: &[Seen<'_>],
    target: &Seen<'_>,
    now: Millis,
) -> Option<Supply> {
    demand.engine?.moves?;
    let zone = &target.candidate.endpoint.listed.zone;
    let source = all
        .iter()
        .filter(|seen| seen.candidate.key != target.candidate.key)
        .filter(|seen| seen.candidate.record.grade(now) == Grade::Good)
        .max_by_key(|seen| {
            let is_near = seen.candidate.endpoint.listed.zone == *zone;
            let unread = seen.total.all_unread();
            (seen.ready, is_near, std::cmp::Reverse(unread))
        })?;
    let moved = source.ready.saturating_sub(target.known);
    (moved >= LEAST_TOKENS).then_some(Supply {
        kept: target.known,
        moved,
        from: Some(source.candidate.key),
    })
}
