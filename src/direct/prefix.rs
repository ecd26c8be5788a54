//! What endpoints probably keep of prompts: parts that were sent there and have not given way.
//!
//! Engines keep shared parts of prompts and let those go that were unused the longest. They tell
//! of it late, so an entry keeps its own estimate: a part is still there while the endpoint has
//! read fewer tokens since its last use than its memory holds.

use std::collections::HashMap;

use crate::direct::directory::EndpointKey;

/// Part of the memory that cached parts are taken to have; running requests hold the rest.
const CACHED_PART: f64 = 0.6;
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
    /// Tokens that the endpoint had read in all at that use.
    read_before: u64,
}

/// The estimate for all endpoints.
#[derive(Debug, Default)]
pub struct PrefixMap {
    /// The last use of each part at each endpoint, by the part's id.
    uses: HashMap<u64, Vec<Use>>,
    /// Tokens that each endpoint has read in all.
    read: HashMap<EndpointKey, u64>,
}

impl PrefixMap {
    /// Tokens at the head of a prompt that need not be read at an endpoint with this memory.
    pub fn cached(&self, endpoint: EndpointKey, parts: &[Part], memory_tokens: u64) -> u64 {
        let read = self.read.get(&endpoint).copied().unwrap_or(0);
        let most = (memory_tokens as f64 * CACHED_PART) as u64;
        let kept = |part: &Part| {
            let uses = self.uses.get(&part.id);
            let at = uses.and_then(|uses| uses.iter().find(|u| u.endpoint == endpoint));
            at.is_some_and(|u| read - u.read_before < most)
        };
        // A part is only kept together with all before it, so the deepest one tells.
        let deepest = parts.iter().rposition(kept);
        let count = deepest.map_or(0, |at| at + 1);
        parts[..count].iter().map(|part| part.tokens).sum()
    }

    /// A prompt was sent to an endpoint, by this entry or a peer.
    pub fn note(&mut self, endpoint: EndpointKey, parts: &[Part], unread: u64) {
        if self.uses.len() > MOST_PARTS {
            self.uses.clear();
        }
        let read = self.read.entry(endpoint).or_default();
        *read += unread;
        let read_before = *read;
        for part in parts {
            let uses = self.uses.entry(part.id).or_default();
            match uses.iter_mut().find(|u| u.endpoint == endpoint) {
                Some(u) => u.read_before = read_before,
                None => uses.push(Use {
                    endpoint,
                    read_before,
                }),
            }
        }
    }

    /// A peer sent a prompt whose last shared part is `part` to an endpoint.
    pub fn note_peer(&mut self, endpoint: EndpointKey, part: u64) {
        let part = Part {
            id: part,
            tokens: 0,
        };
        self.note(endpoint, &[part], 0);
    }

    /// An endpoint left; what it kept is gone.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        self.read.remove(&endpoint);
        for uses in self.uses.values_mut() {
            uses.retain(|u| u.endpoint != endpoint);
        }
        self.uses.retain(|_, uses| !uses.is_empty());
    }
}
