//! State that entries share for mixed pools: what this entry sends to peers in each round, and what
//! it takes from theirs.

use std::net::SocketAddr;

use super::Entry;
use crate::direct::peers::{self, PeerId, SharedKind};

impl Entry {
    /// Sends a peer what it does not know yet of the shared state.
    pub fn send_shared_state(&self, to: SocketAddr) {
        self.send_team_usage(to);
    }

    /// Handles a datagram of shared state; false if it is of another format.
    pub fn handle_shared_state(&self, bytes: &[u8]) -> bool {
        let Some((kind, from, payload)) = peers::split_shared(bytes) else {
            return false;
        };
        match kind {
            SharedKind::Observations => self.handle_observations(from, payload),
            SharedKind::Waiting => self.handle_waiting(from, payload),
            SharedKind::TeamUsage => self.handle_team_usage(from, payload),
        }
        true
    }

    fn handle_observations(&self, _from: PeerId, _payload: &[u8]) {}

    fn handle_waiting(&self, _from: PeerId, _payload: &[u8]) {}
}
