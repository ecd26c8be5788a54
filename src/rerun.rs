//! Waiting for the budget of reruns, so that streams that broke off together are resumed one after
//! the other.

use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

use crate::clock::Millis;
use crate::entry::Entry;

/// Longest time that a broken stream waits for the budget, and that it then searches for an
/// endpoint: three times the wait for one endpoint's answer to an offer.
pub const MAX_WAIT: Millis = Millis(5_000);
/// Longest pause between two checks of the budget, or between two searches.
const MAX_POLL_PAUSE: Duration = Duration::from_millis(300);

/// Waits until the budget allows a rerun; false if it does not within [`MAX_WAIT`].
pub async fn wait_for_budget(entry: &Entry) -> bool {
    let clock = &entry.node.clock;
    let deadline = clock.now() + MAX_WAIT;
    while !entry.reruns.borrow_mut().withdraw() {
        if clock.now() >= deadline {
            return false;
        }
        pause_before_poll().await;
    }
    true
}

/// Pauses before the next check, for a random time, so that broken streams don't all check at once.
pub async fn pause_before_poll() {
    sleep(rand::thread_rng().gen_range(Duration::ZERO..=MAX_POLL_PAUSE)).await;
}
