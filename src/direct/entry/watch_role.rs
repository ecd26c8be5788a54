//! Whether an entry is to watch the store: not before it has found out who else does.

use super::Entry;
use crate::clock::Millis;

/// Time after a start, or after the first seeds became known, in which peers are discovered: until
/// then it is not known which entries are to watch the store, and all would begin to.
const DISCOVERY_TIME: Millis = Millis(300);
/// Minimum of the same time for an entry to which peers have provided the list of endpoints; it
/// waits until it has had time to hear all of its neighbors.
const MIN_PROVIDED_DISCOVERY_TIME: Millis = Millis(2_000);

impl Entry {
    /// Whether this entry is to watch the store itself.
    pub fn is_to_watch(&self) -> bool {
        !self.is_discovering() && self.peers.borrow().should_watch(self.clock.now())
    }

    /// Whether this entry has just started and does not know its peers yet. Seeds, which all others
    /// ask first, read the store at once.
    pub fn is_discovering(&self) -> bool {
        let settings = self.settings.borrow();
        let own = settings.link.ip();
        let is_seed = settings.seeds.iter().any(|seed| seed.ip() == own);
        let since = self.seeds_known_at.get().unwrap_or(self.started_at);
        let time = match self.is_list_from_peers.get() {
            true => MIN_PROVIDED_DISCOVERY_TIME.max(self.peers.borrow().hearing_time()),
            false => DISCOVERY_TIME,
        };
        !is_seed && self.clock.now() - since < time
    }
}
