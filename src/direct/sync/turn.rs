//! Turns in which entries that follow others call the store, when these don't provide what they
//! need.
//!
//! All entries of a zone need it at the same time, and often the store does not answer then. Each
//! draws a time that grows with their number, so that the calls of the zone stay few. The first one
//! that is answered provides for the others.

use rand::Rng;

use crate::clock::Millis;
use crate::direct::entry::Entry;

/// Calls a second that the following entries of a zone make together, whatever their number.
const ZONE_CALLS_PER_S: u64 = 2;

/// The turn of one entry for one need.
#[derive(Debug, Default)]
pub(super) struct Turn {
    /// When the turn comes; `None` while nothing is needed.
    at: Option<Millis>,
}

impl Turn {
    /// Whether the turn has come; draws it at the first call, and anew after it has come.
    pub(super) fn has_come(&mut self, entry: &Entry) -> bool {
        let now = entry.clock.now();
        let at = *self.at.get_or_insert_with(|| now + draw(entry, now));
        if now < at {
            return false;
        }
        self.at = None;
        true
    }

    /// Forgets the turn, since nothing is needed any more.
    pub(super) fn reset(&mut self) {
        self.at = None;
    }
}

/// A random time, up to that in which every entry of the zone has had its turn.
fn draw(entry: &Entry, now: Millis) -> Millis {
    let peers = entry.peers.borrow();
    // An entry that has just started has heard few of the peers that it knows.
    let neighbors = match entry.has_list() {
        true => peers.live_neighbors(now),
        false => peers.known_neighbors(),
    };
    let entries = neighbors as u64 + 1;
    Millis(rand::thread_rng().gen_range(0..=entries * 1_000 / ZONE_CALLS_PER_S))
}
