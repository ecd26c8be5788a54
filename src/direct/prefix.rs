//! What endpoints probably keep of prompts: parts that were sent there and have not given way.
//!
//! Engines keep shared parts of prompts and let those go that were unused the longest. They tell
//! of it late, so an entry keeps its own estimate: when a part was last used at an endpoint, by
//! this entry or a peer, against how long it keeps unused parts at its present load.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::direct::directory::EndpointKey;

/// Parts remembered at most; beyond that all are forgotten, which costs some reading anew.
const MOST_PARTS: usize = 40_000;

/// One part of a prompt; equal ids have equal text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PromptSegment {
    /// Identity.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// A use of a part at an endpoint.
#[derive(Debug, Clone, Copy)]
struct Use {
    endpoint: EndpointKey,
    /// When it was sent there last.
    at: Millis,
    /// When it has been read there, by estimate until an answer began.
    read_at: Millis,
}

/// Tokens at the head of a prompt that an endpoint keeps.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CachedPrefix {
    /// Those that were sent there: it has read them, or will have before it reads what comes after.
    pub sent: u64,
    /// Those that it has read.
    pub prefilled: u64,
}

/// The estimate for all endpoints.
#[derive(Debug, Default)]
pub struct PrefixMap {
    /// The last use of each part at each endpoint, by the part's id; sorted by endpoint, since a part
    /// may be kept at a thousand of them.
    uses: HashMap<u64, Vec<Use>>,
}

impl PrefixMap {
    /// Tokens at the head of a prompt that need not be read at an endpoint which keeps unused parts
    /// since `kept_since`.
    pub fn cached(
        &self,
        endpoint: EndpointKey,
        parts: &[PromptSegment],
        kept_since: Millis,
        now: Millis,
    ) -> CachedPrefix {
        let mut cached = CachedPrefix::default();
        let mut tokens = 0;
        // A part is only kept together with all before it, so the deepest one tells.
        for part in parts {
            tokens += part.tokens;
            let Some(last) = self.last_use(endpoint, part.id) else {
                continue;
            };
            if last.at >= kept_since {
                cached.sent = tokens;
                if last.read_at <= now {
                    cached.prefilled = tokens;
                }
            }
        }
        cached
    }

    fn last_use(&self, endpoint: EndpointKey, part: u64) -> Option<&Use> {
        let uses = self.uses.get(&part)?;
        position(uses, endpoint).ok().map(|at| &uses[at])
    }

    /// An endpoint has read the parts that were sent to it.
    pub fn record_prefill(
        &mut self,
        endpoint: EndpointKey,
        parts: impl Iterator<Item = u64>,
        now: Millis,
    ) {
        for part in parts {
            let Some(uses) = self.uses.get_mut(&part) else {
                continue;
            };
            if let Ok(at) = position(uses, endpoint) {
                uses[at].read_at = uses[at].read_at.min(now);
            }
        }
    }

    /// A prompt with these parts was sent to an endpoint, by this entry or a peer, which will have
    /// read them at `read_at`.
    pub fn record_use(
        &mut self,
        endpoint: EndpointKey,
        parts: impl Iterator<Item = u64>,
        now: Millis,
        read_at: Millis,
    ) {
        if self.uses.len() > MOST_PARTS {
            self.uses.clear();
        }
        for part in parts {
            let uses = self.uses.entry(part).or_default();
            let newest = Use {
                endpoint,
                at: now,
                read_at,
            };
            match position(uses, endpoint) {
                Ok(at) => {
                    let read_at = uses[at].read_at.min(read_at);
                    uses[at] = Use { read_at, ..newest };
                }
                Err(at) => uses.insert(at, newest),
            }
        }
    }

    /// An endpoint left; what it kept is gone.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        for uses in self.uses.values_mut() {
            uses.retain(|u| u.endpoint != endpoint);
        }
        self.uses.retain(|_, uses| !uses.is_empty());
    }
}

/// Position of an endpoint's use, or where it is to be inserted.
fn position(uses: &[Use], endpoint: EndpointKey) -> Result<usize, usize> {
    uses.binary_search_by_key(&endpoint, |u| u.endpoint)
}
