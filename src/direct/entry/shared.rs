//! State that entries share where a deployment needs it: what this entry sends to peers in each
//! round, and what it takes from theirs.

use std::net::SocketAddr;

use super::Entry;
use crate::direct::peers::{self, SharedKind};

impl Entry {
    /// Sends a peer what it does not know yet of the shared state.
    pub fn send_shared_state(&self, to: SocketAddr) {
        if self.has_mixed_pool() {
            self.share_observations(to);
        }
    }

    /// Sends a peer that is new all that it is to know of the shared state.
    pub fn greet_with_shared_state(&self, to: SocketAddr) {
        self.greet_with_part_verdicts(to);
        if self.has_mixed_pool() {
            self.greet_with_observations(to);
        }
    }

    /// Handles a datagram of shared state; false if it is of another format.
    pub fn handle_shared_state(&self, address: SocketAddr, bytes: &[u8]) -> bool {
        let Some((kind, from, payload)) = peers::split_shared(bytes) else {
            return false;
        };
        match kind {
            SharedKind::Observations => self.handle_observations(from, payload),
            SharedKind::Parts => {
                if let Some(notices) = peers::decode_shared(payload) {
                    self.handle_part_notices(notices);
                }
            }
            SharedKind::Origins => {
                if let Some(message) = peers::decode_shared(payload) {
                    self.handle_origin_message(address, message);
                }
            }
        }
        true
    }

    /// Whether the configuration in force has a mixed pool.
    fn has_mixed_pool(&self) -> bool {
        self.catalog()
            .is_some_and(|catalog| catalog.has_mixed_pool())
    }
}
