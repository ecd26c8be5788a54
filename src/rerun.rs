//! Waiting for the budget of reruns, so that streams that broke off together are taken up in turn.

use std::time::Duration;

use rand::Rng;
use tokio::time::sleep;

use crate::clock::Millis;
use crate::entry::Entry;

/// Longest time that a broken stream waits for the budget, and that it then searches for an
/// endpoint: three times the wait for one endpoint's answer to an offer.
pub const MAX_WAIT: Millis = Millis(5_000);
/// Longest time between two looks at the budget, or two searches.
const LOOK_AGAIN: Duration = Duration::from_millis(300);

/// Waits until the budget allows a rerun; false when it does not in time.
pub async fn wait_for_budget(entry: &Entry) -> bool {
    let clock = &entry.node.clock;
    let until = clock.now() + MAX_WAIT;
    while !entry.reruns.borrow_mut().withdraw() {
        if clock.now() >= until {
            return false;
        }
        pause_before_poll().await;
    }
    true
}

/// Waits before another look, at random so that broken streams don't look at the same instant.
pub async fn pause_before_poll() {
    sleep(rand::thread_rng().gen_range(Duration::ZERO..=LOOK_AGAIN)).await;
}
