//! The store of the soak comes back from an older copy, and what still reaches engines that left.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use tokio::time::{sleep, Instant};

use super::{Issue, RelayedEngine, Soak};
use crate::standin::Condition;

/// Time in which nothing may have happened to an entry and the platform, for a change of the list to count there.
const CONTACT: Duration = Duration::from_secs(3);
/// Time after which an entry in contact sends nothing to an engine that has left.
const LEAVING_BOUND: Duration = Duration::from_secs(2);
/// Time that a request may be on its way.
const SLACK: Duration = Duration::from_millis(500);

/// Restores the store again and again, a mean time in ms after it has come back; 0 for never.
pub(super) async fn restore_on(soak: Rc<Soak>, pause: u64, mut rng: SmallRng, until: Instant) {
    if pause == 0 {
        return;
    }
    loop {
        let wait = Duration::from_millis(rng.gen_range(0..2 * pause));
        if Instant::now() + wait >= until {
            return;
        }
        sleep(wait).await;
        soak.restore_store(&mut rng).await;
    }
}

impl Soak {
    /// The store is away for a moment and comes back from a copy some seconds old. What was written since is written again
    /// after a while.
    async fn restore_store(&self, rng: &mut SmallRng) {
        let away = Duration::from_millis(rng.gen_range(0..2_500));
        let copy_age = Duration::from_millis(rng.gen_range(500..4_000));
        let until_written = Duration::from_millis(rng.gen_range(0..1_000));
        self.platform.until(Instant::now() + away + until_written);
        let store = Rc::clone(&self.site.borrow().store);
        store.set_condition(Condition::Busy);
        let copied = store.revision_before(copy_age);
        sleep(away).await;
        let lost = store.restore(copied);
        store.set_condition(Condition::Up);
        sleep(until_written).await;
        store.write_again(&lost, copied);
        self.platform.now();
    }

    /// A request that reached an engine after it left, from an entry in contact with a platform to which nothing happened.
    pub(super) fn check_departed(&self) -> Vec<String> {
        let issues = self.issues.borrow();
        let gone = self.gone.borrow();
        let late = gone.iter().filter_map(|left| self.sent_late(left, &issues));
        late.collect()
    }

    fn sent_late(
        &self,
        relayed: &RelayedEngine,
        issues: &HashMap<String, Issue>,
    ) -> Option<String> {
        let left_at = relayed.left_at.get()?;
        let arrivals = relayed.engine.arrivals();
        let late = arrivals.iter().find(|arrival| {
            let Some(issue) = issues.get(arrival.id()) else {
                return false;
            };
            let entry = &self.entries[issue.entry];
            let from = arrival.at.checked_sub(CONTACT + SLACK);
            let is_calm = from.is_some_and(|from| {
                !self.platform.touch(from, arrival.at) && !entry.disturbed.touch(from, arrival.at)
            });
            let is_meant = arrival.header("x-expect-instance") == Some(&arrival.life);
            is_calm && is_meant && arrival.at > left_at + LEAVING_BOUND + SLACK
        })?;
        let (id, engine) = (late.id(), relayed.engine.id());
        let after = (late.at - left_at).as_millis();
        Some(format!("{id} reached {engine} {after} ms after it left"))
    }
}
