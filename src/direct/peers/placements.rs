//! Recent placements of prompts, to be sent to peers.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// Maximum number of placements that are remembered, the newest ones: as many as two datagrams to
/// another zone hold.
const MAX_PLACEMENTS: usize = 24;

/// Placement of a prompt: it was sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptPlacement {
    /// Id of the last part of the prompt that is shared with other prompts.
    #[serde(rename = "part")]
    pub segment_id: u64,
    /// Digest of the endpoint's incarnation.
    pub endpoint: u32,
}

/// The newest placements with their times, the oldest first and one per part.
#[derive(Debug, Default)]
pub struct RecentPlacements(VecDeque<(Millis, PromptPlacement)>);

impl RecentPlacements {
    /// Records a placement; it replaces an earlier one of the same part.
    pub fn add(&mut self, placement: PromptPlacement, now: Millis) {
        self.0
            .retain(|(_, other)| other.segment_id != placement.segment_id);
        self.0.push_back((now, placement));
        if self.0.len() > MAX_PLACEMENTS {
            self.0.pop_front();
        }
    }

    /// Records a peer's placement. One that is known already keeps its time.
    pub fn add_if_new(&mut self, placement: PromptPlacement, now: Millis) {
        if self.0.iter().all(|(_, known)| *known != placement) {
            self.add(placement, now);
        }
    }

    /// Returns the newest `most` of the placements since `from`, the oldest first.
    pub fn since(&self, from: Millis, most: usize) -> Vec<PromptPlacement> {
        let recent = self.0.iter().filter(|(at, _)| *at >= from);
        let recent = recent.skip(self.0.len().saturating_sub(most));
        recent.map(|(_, placement)| *placement).collect()
    }
}
