//! Prompts that this entry placed lately, for peers.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Placements that are told, the newest ones: an entry makes some ten in the time between two
/// datagrams to one peer.
const MOST_PLACED: usize = 12;

/// A prompt that was sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedPrompt {
    /// Its last shared part.
    pub part: u64,
    /// Digest of the endpoint's identity.
    pub endpoint: u32,
}

/// The newest placements, one a shared part.
#[derive(Debug, Default)]
pub struct RecentPlacements(VecDeque<PlacedPrompt>);

impl RecentPlacements {
    /// A prompt was sent to an endpoint.
    pub fn add(&mut self, placed: PlacedPrompt) {
        self.0.retain(|other| other.part != placed.part);
        self.0.push_back(placed);
        if self.0.len() > MOST_PLACED {
            self.0.pop_front();
        }
    }

    /// All of them, the oldest first.
    pub fn all(&self) -> Vec<PlacedPrompt> {
        self.0.iter().copied().collect()
    }
}
