//! Sources of a prompt's tokens at an endpoint: the endpoint's own cache, the cache of another
//! endpoint, or prefill.
//!
//! Transferring a cached prefix takes a small fraction of the time to prefill it. So any endpoint
//! can serve a prompt whose prefix is cached somewhere, including one that is not crowded in a
//! burst.

use std::cmp::Reverse;

use crate::clock::Millis;
use crate::direct::directory::EndpointKey;
use crate::direct::known::health::Grade;
use crate::direct::placement::candidate::CandidateState;
use crate::direct::placement::demand::Demand;

/// Time to start a transfer, in ms: connecting two engines and sending the request.
const TRANSFER_SETUP_MS: f64 = 4.0;
/// Smallest transfer, in tokens: prefilling fewer takes about as long as starting a transfer.
const MIN_TRANSFER_TOKENS: u64 = 256;

/// How much of a prompt's prefix an endpoint can reuse instead of prefilling it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PrefixReuse {
    /// Tokens that the endpoint is assumed to have cached.
    pub cached: u64,
    /// Tokens that are transferred to it, in addition.
    pub moved: u64,
    /// Endpoint that they are transferred from; `None` if nothing is transferred.
    pub from: Option<EndpointKey>,
}

impl PrefixReuse {
    /// Reuse of cached tokens alone, without a transfer.
    pub fn cached(cached: u64) -> Self {
        Self {
            cached,
            ..Self::default()
        }
    }

    /// Tokens that need no prefill.
    pub fn reused_tokens(&self) -> u64 {
        self.cached + self.moved
    }

    /// Time that the transfer takes, in ms; 0 without one.
    pub fn transfer_ms(&self, demand: &Demand<'_>) -> f64 {
        let transfer = demand.engine.and_then(|engine| engine.moves);
        match (transfer, self.moved) {
            (Some(transfer), 1..) => TRANSFER_SETUP_MS + transfer.transfer_ms(self.moved),
            _ => 0.0,
        }
    }
}

/// Endpoints from which the prefix of one prompt can be transferred: the best one, and the second
/// best for the case that the best is itself the target.
///
/// Only healthy endpoints are sources: one that fails or does not answer would delay the request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Sources {
    best: Option<Source>,
    second_best: Option<Source>,
}

/// An endpoint that has prefilled a prefix of the prompt.
#[derive(Debug, Clone, Copy)]
struct Source {
    key: EndpointKey,
    /// Tokens of the prompt that it has prefilled.
    transferable_tokens: u64,
    /// Prompt tokens that it still has to prefill; the least busy of equal sources is preferred.
    unread: u32,
    /// Random tie-breaker, so that none of several equal sources becomes a bottleneck.
    draw: u64,
}

impl Sources {
    /// Finds the sources for a prompt among all endpoints of its pool; none if the pool's engines
    /// don't support transfers.
    pub fn find(demand: &Demand<'_>, states: &[CandidateState<'_>], now: Millis) -> Self {
        let mut found = Self::default();
        if demand.engine.and_then(|engine| engine.moves).is_none() {
            return found;
        }
        for state in states
            .iter()
            .filter(|state| state.transferable_tokens >= MIN_TRANSFER_TOKENS)
        {
            // An endpoint that has announced a rate limit is short of capacity, and a transfer from
            // it would count against that limit as well.
            let may_serve = !state.candidate.is_limited;
            if may_serve && state.candidate.record.grade(now) == Grade::Good {
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

    /// Reuse at `target` with a transfer from another endpoint; `None` if there is no source or the
    /// transfer would be too small.
    pub fn reuse(&self, target: &CandidateState<'_>) -> Option<PrefixReuse> {
        let is_other = |source: &Source| source.key != target.candidate.key;
        let source = self.best.filter(is_other).or(self.second_best)?;
        let moved = source
            .transferable_tokens
            .saturating_sub(target.cached_tokens);
        (moved >= MIN_TRANSFER_TOKENS).then_some(PrefixReuse {
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
            self.second_best = self.best.replace(source);
        } else if self
            .second_best
            .is_none_or(|second_best| rank(&source) > rank(&second_best))
        {
            self.second_best = Some(source);
        }
    }
}
