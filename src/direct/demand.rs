//! What is to be placed, and what is known of an endpoint for it: the terms of a choice.

use std::hash::{DefaultHasher, Hash, Hasher};

use crate::clock::Millis;
use crate::direct::catalog::EngineCapacity;
use crate::direct::directory::{Endpoint, EndpointKey};
use crate::direct::health::HealthRecord;
use crate::direct::load::{EndpointLoad, EndpointWork};
use crate::direct::prefix::PromptSegment;
use crate::direct::room::RoomInputs;
use crate::mix_bits::mix_bits;

/// What is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// Band of urgency.
    pub band: usize,
    /// Parts of the prompt; empty for plain services.
    pub parts: &'a [PromptSegment],
    /// Tokens that the answer may have.
    pub output_tokens: u64,
    /// Time within which the first event is in time.
    pub target: Millis,
    /// Availability zone of this entry.
    pub zone: &'a str,
    /// Size of an engine of the pool; `None` for plain services.
    pub engine: Option<EngineCapacity>,
    /// How much the answer suffers when prompts are read beside it, in hundredths: 100 for the
    /// stream with the tightest pauses.
    pub pause_sensitivity: u32,
    /// Tightest pause among the pool's streams; 0 where there are none.
    pub pause: Millis,
    /// How long other entries' choices stay unseen here; 0 where there are none.
    pub visibility_delay: Millis,
    /// What room at an endpoint is for.
    pub room: RoomInputs,
    /// A random number, so that entries that know the same don't all choose the same endpoint.
    pub draw: u64,
}

impl Demand<'_> {
    /// Tokens of all parts of the prompt.
    pub fn prompt_tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Tokens of all parts but the last, which belongs to the request itself.
    pub fn shared_tokens(&self) -> u64 {
        let count = self.parts.len().saturating_sub(1);
        self.parts[..count].iter().map(|part| part.tokens).sum()
    }

    /// Weight of an endpoint, by the digest of its identity, as the home of the prompt's deepest
    /// shared part: alike at all entries, and the endpoint with the greatest is the home. `None` where
    /// nothing is shared.
    pub fn home_weight(&self, digest: u32) -> Option<u64> {
        let last = self.parts.len().checked_sub(2)?;
        Some(mix_bits(self.parts[last].id ^ mix_bits(u64::from(digest))))
    }

    /// The random number of one endpoint, by the digest of its identity.
    pub fn draw_for(&self, digest: u32) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self.draw, digest).hash(&mut hasher);
        hasher.finish()
    }

    /// A random number from 0 to 1 for the lot of one endpoint, another one than that of its price.
    pub fn lot_draw(&self, digest: u32) -> f64 {
        self.draw_for(!digest) as f64 / u64::MAX as f64
    }

    /// Tokens of memory of an engine of the pool; 0 for plain services.
    pub fn memory_tokens(&self) -> u64 {
        self.engine.map_or(0, |engine| engine.memory_tokens)
    }
}

/// An endpoint with what is known of it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Its key.
    pub key: EndpointKey,
    /// Its entry in the directory.
    pub endpoint: &'a Endpoint,
    /// Its load.
    pub load: &'a EndpointLoad,
    /// Its record.
    pub record: &'a HealthRecord,
    /// Whether it is taken to warm up.
    pub is_warming: bool,
    /// Whether it has named a limit.
    pub is_limited: bool,
}

/// An endpoint with what is known of it for one request.
#[derive(Debug, Clone, Copy)]
pub struct CandidateState<'a> {
    /// The endpoint.
    pub candidate: Candidate<'a>,
    /// Its load from all entries, as far as known.
    pub total: EndpointWork,
    /// Tokens at the head of the prompt that it is known to keep, or will once it has read what was
    /// sent to it.
    pub cached_tokens: u64,
    /// Those of them that it has read, so that others can take them from it.
    pub transferable_tokens: u64,
    /// Whether it is kept for delicate streams.
    pub is_reserved: bool,
    /// Shared tokens of the prompt that no endpoint is known to keep, where this is their home; `None`
    /// elsewhere.
    pub uncached_home_tokens: Option<u64>,
}
