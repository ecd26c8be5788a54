//! Where the tokens of a prompt come from at an endpoint: its own memory, another endpoint's, or the
//! prompt itself.
//!
//! Moving kept parts takes a small part of the time of reading them, so any endpoint may serve a prompt whose
//! parts are kept somewhere, also one that others don't crowd in a burst.

use std::cmp::Reverse;

use crate::clock::Millis;
use crate::direct::demand::{CandidateState, Demand};
use crate::direct::directory::EndpointKey;
use crate::direct::health::Grade;

/// Time to begin a move, in ms: a connection between two engines and the request on it.
const SETUP_MS: f64 = 4.0;
/// Fewest tokens that are worth a move: reading them takes about as long as beginning one.
const LEAST_TOKENS: u64 = 256;

/// Where the tokens of a prompt come from at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrefixReuse {
    /// Tokens that the endpoint is taken to keep.
    pub cached: u64,
    /// Tokens that are moved there.
    pub moved: u64,
    /// From where; `None` when nothing is moved.
    pub from: Option<EndpointKey>,
}

impl PrefixReuse {
    /// Nothing is moved.
    pub fn cached(cached: u64) -> Self {
        Self {
            cached,
            ..Self::default()
        }
    }

    /// Tokens that need not be read.
    pub fn spared(&self) -> u64 {
        self.cached + self.moved
    }

    /// Time that the move takes, in ms.
    pub fn move_ms(&self, demand: &Demand<'_>) -> f64 {
        let shape = demand.engine.and_then(|engine| engine.moves);
        match (shape, self.moved) {
            (Some(shape), 1..) => SETUP_MS + shape.transfer_ms(self.moved),
            _ => 0.0,
        }
    }
}

/// The endpoints from which parts of one prompt can be taken: the best, and the next best for when the
/// best is itself the target.
///
/// Only an endpoint that is well gives: one that fails or is silent would hold the request up.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sources {
    best: Option<Source>,
    next: Option<Source>,
}

/// An endpoint that has read the head of a prompt.
#[derive(Debug, Clone, Copy)]
struct Source {
    key: EndpointKey,
    /// Tokens of the prompt that it has read.
    transferable_tokens: u64,
    /// Prompt tokens that it still has to read; the least busy gives first.
    unread: u32,
    /// Its place among those that are as good: at random, so that none of them becomes a bottleneck.
    draw: u64,
}

impl Sources {
    /// The sources for a prompt among all endpoints of its pool; none where memory can't be moved.
    pub fn find(demand: &Demand<'_>, all: &[CandidateState<'_>], now: Millis) -> Self {
        let mut found = Self::default();
        if demand.engine.and_then(|engine| engine.moves).is_none() {
            return found;
        }
        for state in all
            .iter()
            .filter(|state| state.transferable_tokens >= LEAST_TOKENS)
        {
            // One that has named a limit is in need: what is taken from it would count as well.
            let gives = !state.candidate.is_limited;
            if gives && state.candidate.record.grade(now) == Grade::Good {
                found.add(Source {
                    key: state.candidate.key,
                    transferable_tokens: state.transferable_tokens,
                    unread: state.total.total_unread(),
                    draw: demand.draw_for(state.candidate.endpoint.digest),
                });
            }
        }
        found
    }

    /// What `target` may take from another endpoint, if that is worth a move.
    pub fn reuse(&self, target: &CandidateState<'_>) -> Option<PrefixReuse> {
        let is_other = |source: &Source| source.key != target.candidate.key;
        let source = self.best.filter(is_other).or(self.next)?;
        let moved = source
            .transferable_tokens
            .saturating_sub(target.cached_tokens);
        (moved >= LEAST_TOKENS).then_some(PrefixReuse {
            cached: target.cached_tokens,
            moved,
            from: Some(source.key),
        })
    }

    fn add(&mut self, source: Source) {
        let rank = |source: &Source| {
            (
                source.transferable_tokens,
                Reverse(source.unread),
                source.draw,
            )
        };
        if self.best.is_none_or(|best| rank(&source) > rank(&best)) {
            self.next = self.best.replace(source);
        } else if self.next.is_none_or(|next| rank(&source) > rank(&next)) {
            self.next = Some(source);
        }
    }
}
