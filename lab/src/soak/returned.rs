//! All entries lose power at once, while items of another program stand among those of the endpoints.

use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use tokio::time::{sleep, Instant};

use super::faults::{restart, End};
use super::{Soak, KEYS};

/// Names of the items, which stand between those of the endpoints.
const FOREIGN: [&str; 8] = [
    "i-0&since_rev=zz",
    "i-0+x",
    "i-1#x",
    "i-1%41",
    "i-2 x",
    "i-2\"<x>",
    "i-3\u{e9}",
    "i-3\r\n",
];
/// Time until the entries start again.
const DARK: Duration = Duration::from_millis(600);
/// Time for which the store is in trouble meanwhile.
const TROUBLE: Duration = Duration::from_secs(5);
/// Time that each answer of a slow store takes.
const SLOW: Duration = Duration::from_millis(240);

impl Soak {
    /// Writes the items of another program.
    pub(super) fn write_foreign(&self) {
        let store = &self.site.borrow().store;
        for name in FOREIGN {
            store.put_text(&format!("servers/{name}"), "of another program");
        }
    }

    /// All entries lose power right after a change; the store is slow or turns calls away as they return.
    pub(super) fn lose_power(&self, rng: &mut SmallRng) {
        let removed = self.removed.borrow();
        let is_kept = |key: &&str| !removed.contains_key(*key);
        let kept: Vec<&str> = KEYS.into_iter().filter(is_kept).collect();
        self.site.borrow_mut().configure(&kept);
        self.platform.until(Instant::now() + TROUBLE);
        for entry in &self.entries {
            restart(Rc::clone(entry), End::Kill, DARK);
        }
        let store = Rc::clone(&self.site.borrow().store);
        match rng.gen_range(0..3) {
            0 => store.slow_down(SLOW),
            1 => store.turn_away(3),
            _ => return,
        }
        actix_rt::spawn(async move {
            sleep(TROUBLE).await;
            store.slow_down(Duration::ZERO);
            store.turn_away(0);
        });
    }
}
