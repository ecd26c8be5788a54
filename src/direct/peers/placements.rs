//! Prompts that this entry placed lately, for peers.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Placements that are remembered, the newest ones: two datagrams to another zone hold as many.
const MOST_PLACED: usize = 24;

/// A prompt that was sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPlacement {
    /// Its last shared part.
    pub segment_id: u64,
    /// Digest of the endpoint's identity.
    pub endpoint: u32,
}

/// The newest placements, one a shared part.
#[derive(Debug, Default)]
pub struct RecentPlacements(VecDeque<(Millis, PromptPlacement)>);

impl RecentPlacements {
    /// A prompt was sent to an endpoint.
    pub fn add(&mut self, placed: PromptPlacement, now: Millis) {
        self.0
            .retain(|(_, other)| other.segment_id != placed.segment_id);
        self.0.push_back((now, placed));
        if self.0.len() > MOST_PLACED {
            self.0.pop_front();
        }
    }

    /// A peer placed a prompt; one that it tells again changes nothing.
    pub fn hear(&mut self, placed: PromptPlacement, now: Millis) {
        if self.0.iter().all(|(_, known)| *known != placed) {
            self.add(placed, now);
        }
    }

    /// The newest `most` of those since a time, the oldest first.
    pub fn since(&self, from: Millis, most: usize) -> Vec<PromptPlacement> {
        let recent = self.0.iter().filter(|(at, _)| *at >= from);
        let recent = recent.skip(self.0.len().saturating_sub(most));
        recent.map(|(_, placed)| *placed).collect()
    }
}
