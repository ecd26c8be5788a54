//! The request to be placed, as the choice of an endpoint sees it.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::clock::Millis;
use crate::direct::catalog::EngineCapacity;
use crate::direct::known::capacity::PoolCapacity;
use crate::direct::placement::prefix::PromptSegment;
use crate::direct::placement::price::PREFILL_TOKENS_PER_MS;
use crate::direct::placement::room::RoomInputs;
use crate::mix_bits::mix_bits;

/// The request to be placed, with the parameters of this entry and of the pool that bear on the
/// choice.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// Urgency band; 0 is the most urgent.
    pub band: usize,
    /// Segments of the prompt, in order; empty for plain services.
    pub parts: &'a [PromptSegment],
    /// Maximum number of tokens in the answer.
    pub output_tokens: u64,
    /// Target time until the first event.
    pub target: Millis,
    /// Availability zone of this entry.
    pub zone: &'a str,
    /// Capacity of an engine of the pool; `None` for plain services.
    pub engine: Option<EngineCapacity>,
    /// How much the answer is delayed by prefill at the same engine, in hundredths: 100 for the
    /// stream with the shortest allowed pause.
    pub pause_sensitivity: u32,
    /// Shortest allowed pause between events among the pool's streams; 0 if there are none.
    pub pause: Millis,
    /// Mean time until other entries' choices become visible here; 0 if there are no other entries.
    pub visibility_delay: Millis,
    /// Inputs to the number of slots that the request may use.
    pub room: RoomInputs,
    /// Random number, so that entries with the same knowledge don't all choose the same endpoint.
    pub draw: u64,
    /// Learned capacity of the pool's typical engine; `None` for plain services and for pools that
    /// are not mixed (see [`crate::direct::catalog::Catalog::is_mixed`]).
    pub capacity: Option<PoolCapacity>,
}

impl Demand<'_> {
    /// Tokens of the whole prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Tokens of all segments but the last, which belongs to this request alone.
    pub fn shared_tokens(&self) -> u64 {
        let count = self.parts.len().saturating_sub(1);
        self.parts[..count].iter().map(|part| part.tokens).sum()
    }

    /// Rendezvous hashing: weight of an endpoint, by the digest of its identity, as the home of the
    /// prompt's deepest shared segment. All entries compute the same weights, and the endpoint with
    /// the highest one is the home. `None` if the prompt has no shared segment.
    pub fn home_weight(&self, digest: u32) -> Option<u64> {
        let deepest_shared = self.parts.len().checked_sub(2)?;
        Some(mix_bits(
            self.parts[deepest_shared].id ^ mix_bits(u64::from(digest)),
        ))
    }

    /// Random number of this request for one endpoint, by the digest of its identity.
    pub fn draw_for(&self, digest: u32) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.draw, digest).hash(&mut hasher);
        hasher.finish()
    }

    /// Random number from 0 to 1 for the lottery between endpoints, by the digest of an endpoint's
    /// identity; independent of the one added to its price.
    pub fn lottery_draw(&self, digest: u32) -> f64 {
        self.draw_for(!digest) as f64 / u64::MAX as f64
    }

    /// Random number from 0 to 1 for the prompts that are not visible yet at an endpoint, by the digest
    /// of its identity; independent of the others.
    pub fn unseen_draw(&self, digest: u32) -> f64 {
        self.draw_for(digest.reverse_bits()) as f64 / u64::MAX as f64
    }

    /// Prompt tokens that the pool's typical engine prefills per millisecond.
    pub fn prefill_tokens_per_ms(&self) -> f64 {
        self.capacity
            .map_or(PREFILL_TOKENS_PER_MS, |c| c.prefill_tokens_per_ms)
    }

    /// Time that the pool's typical engine takes to prefill tokens, in ms.
    pub fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens / self.prefill_tokens_per_ms()
    }

    /// Memory of an engine of the pool, in tokens; 0 for plain services.
    pub fn memory_tokens(&self) -> u64 {
        self.engine.map_or(0, |engine| engine.memory_tokens)
    }
}
