//! Estimate of the prompt prefixes that endpoints have cached: segments that were sent there and
//! have probably not been evicted.
//!
//! Engines cache shared segments of prompts and evict the least recently used ones. They report
//! their caches late, so an entry compares the time at which a segment was last used at an
//! endpoint, by itself or a peer, with the time for which that endpoint retains unused segments
//! under its present load.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::direct::directory::EndpointKey;

/// Maximum number of remembered segments. Beyond it all are dropped, which costs some repeated
/// prefill.
const MAX_SEGMENTS: usize = 40_000;

/// One segment of a prompt; segments with equal ids have the same text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PromptSegment {
    /// Identifier of the segment's text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Latest use of a segment at an endpoint.
#[derive(Debug, Clone, Copy)]
struct SegmentUse {
    endpoint: EndpointKey,
    /// When it was last sent there.
    at: Millis,
    /// When it has been prefilled there: an estimate until an answer begins.
    prefilled_at: Millis,
}

/// Length of the prefix of a prompt that an endpoint has cached, in tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CachedPrefix {
    /// Tokens that were sent there. It has prefilled them, or will have before it gets to a prompt
    /// that is sent now.
    pub sent: u64,
    /// Tokens that it has already prefilled.
    pub prefilled: u64,
}

/// The estimate for all segments and endpoints.
#[derive(Debug, Default)]
pub struct PrefixMap {
    /// Latest use of each segment at each endpoint, by the segment's id. Sorted by endpoint,
    /// because a segment may be cached at a thousand of them.
    uses: HashMap<u64, Vec<SegmentUse>>,
}

impl PrefixMap {
    /// Prefix of a prompt that an endpoint has cached if it retains segments that were used at
    /// `cached_since` or later.
    pub fn cached(
        &self,
        endpoint: EndpointKey,
        parts: &[PromptSegment],
        kept_since: Millis,
        now: Millis,
    ) -> CachedPrefix {
        let mut cached = CachedPrefix::default();
        let mut tokens = 0;
        // A segment is cached only together with all those before it, so the deepest one decides.
        for part in parts {
            tokens += part.tokens;
            let Some(last) = self.last_use(endpoint, part.id) else {
                continue;
            };
            if last.at >= kept_since {
                cached.sent = tokens;
                if last.prefilled_at <= now {
                    cached.prefilled = tokens;
                }
            }
        }
        cached
    }

    fn last_use(&self, endpoint: EndpointKey, part: u64) -> Option<&SegmentUse> {
        let uses = self.uses.get(&part)?;
        position(uses, endpoint).ok().map(|at| &uses[at])
    }

    /// Records that an endpoint has prefilled the segments that were sent to it.
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
                uses[at].prefilled_at = uses[at].prefilled_at.min(now);
            }
        }
    }

    /// Records that a prompt with these segments was sent to an endpoint, by this entry or a peer.
    /// `prefilled_at` is the estimated time at which the endpoint will have prefilled them.
    pub fn record_use(
        &mut self,
        endpoint: EndpointKey,
        parts: impl Iterator<Item = u64>,
        now: Millis,
        prefilled_at: Millis,
    ) {
        if self.uses.len() > MAX_SEGMENTS {
            self.uses.clear();
        }
        for part in parts {
            let uses = self.uses.entry(part).or_default();
            let latest = SegmentUse {
                endpoint,
                at: now,
                prefilled_at,
            };
            match position(uses, endpoint) {
                Ok(at) => {
                    let prefilled_at = uses[at].prefilled_at.min(prefilled_at);
                    uses[at] = SegmentUse {
                        prefilled_at,
                        ..latest
                    };
                }
                Err(at) => uses.insert(at, latest),
            }
        }
    }

    /// Drops all uses at an endpoint that has left.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        for uses in self.uses.values_mut() {
            uses.retain(|u| u.endpoint != endpoint);
        }
        self.uses.retain(|_, uses| !uses.is_empty());
    }
}

/// Position of an endpoint's use in the sorted list: `Ok` if there is one, otherwise `Err` with the
/// position at which to insert it.
fn position(uses: &[SegmentUse], endpoint: EndpointKey) -> Result<usize, usize> {
    uses.binary_search_by_key(&endpoint, |u| u.endpoint)
}
