//! State that entries share where a deployment needs it: what this entry sends to peers in each
//! round, and what it takes from theirs.

use std::net::SocketAddr;

use super::Entry;
use crate::direct::departed::LostEnd;
use crate::direct::peers::{self, SharedKind};

/// Maximum number of ends in one datagram, which fits one packet with ids of 40 bytes.
const MAX_LOST_ENDS_PER_DATAGRAM: usize = 24;

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
        self.greet_with_lost_ends(to);
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
            SharedKind::LostEnds => {
                if let Some(ends) = peers::decode_shared(payload) {
                    self.apply_lost_ends(ends);
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

    /// Sends a peer that is new the ends of endpoints that a restored store has lost: it may have
    /// read nothing but the copy.
    fn greet_with_lost_ends(&self, to: SocketAddr) {
        let ends = self.directory().lost_ends(self.clock.now());
        let Some(socket) = self.peer_socket.get() else {
            return;
        };
        for ends in ends.chunks(MAX_LOST_ENDS_PER_DATAGRAM) {
            let Some(bytes) = peers::encode_shared(SharedKind::LostEnds, self.id, &ends) else {
                continue;
            };
            // A peer that is down causes an error here; it is greeted again when it is back.
            if let Err(err) = socket.try_send_to(&bytes, to) {
                tracing::debug!(%err, %to, "lost ends not sent");
            }
        }
    }

    /// Applies ends of endpoints that a peer knows and a restored store has lost.
    fn apply_lost_ends(&self, ends: Vec<LostEnd>) {
        let now = self.clock.now();
        for end in ends {
            self.directory.borrow_mut().apply_lost_end(end, now);
        }
    }

    /// Whether the configuration in force has a mixed pool.
    fn has_mixed_pool(&self) -> bool {
        self.catalog()
            .is_some_and(|catalog| catalog.has_mixed_pool())
    }
}
