//! State that entries share for mixed pools: what this entry sends to peers in each round, and what
//! it takes from theirs.

use std::net::SocketAddr;

use serde::Serialize;

use super::Entry;
use crate::direct::peers::{self, PeerId, SharedKind};

impl Entry {
    /// Sends a peer what it does not know yet of the shared state.
    pub fn send_shared_state(&self, to: SocketAddr) {
        self.send_waiting(to);
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

    /// Sends a datagram of shared state. A lost one needs no resending: the next round makes up for
    /// it.
    pub(super) fn send_shared(&self, to: SocketAddr, kind: SharedKind, payload: &impl Serialize) {
        let encoded = peers::encode_shared(kind, self.id, payload);
        let (Some(socket), Some(bytes)) = (self.peer_socket.get(), encoded) else {
            return;
        };
        if let Err(err) = socket.try_send_to(&bytes, to) {
            tracing::debug!(%err, %to, "datagram of shared state not sent");
        }
    }

    fn handle_observations(&self, _from: PeerId, _payload: &[u8]) {}

    fn handle_team_usage(&self, _from: PeerId, _payload: &[u8]) {}
}
