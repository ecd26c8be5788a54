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
pub struct Part {
    /// Identity.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// A use of a part at an endpoint.
#[derive(Debug, Clone, Copy)]
struct Use {
    endpoint: EndpointKey,
    at: Millis,
}

/// The estimate for all endpoints.
#[derive(Debug, Default)]
pub struct PrefixMap {
    /// The last use of each part at each endpoint, by the part's id.
    uses: HashMap<u64, Vec<Use>>,
}

impl PrefixMap {
    /// Tokens at the head of a prompt that need not be read at an endpoint which keeps unused parts
    /// since `kept_since`.
    pub fn cached(&self, endpoint: EndpointKey, parts: &[Part], kept_since: Millis) -> u64 {
        let kept = |part: &Part| {
            let uses = self.uses.get(&part.id);
            let at = uses.and_then(|uses| uses.iter().find(|u| u.endpoint == endpoint));
            at.is_some_and(|u| u.at >= kept_since)
        };
        // A part is only kept together with all before it, so the deepest one tells.
        let deepest = parts.iter().rposition(kept);
        let count = deepest.map_or(0, |at| at + 1);
        parts[..count].iter().map(|part| part.tokens).sum()
    }

    /// A prompt with these parts was sent to an endpoint, by this entry or a peer.
    pub fn note(&mut self, endpoint: EndpointKey, parts: impl Iterator<Item = u64>, now: Millis) {
        if self.uses.len() > MOST_PARTS {
            self.uses.clear();
        }
        for part in parts {
            let uses = self.uses.entry(part).or_default();
            match uses.iter_mut().find(|u| u.endpoint == endpoint) {
                Some(u) => u.at = now,
                None => uses.push(Use { endpoint, at: now }),
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
