//! A clock that goes on while the machine is suspended, and timers that keep to it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use violetline::clock::{Clock, Millis, TimeSource};

/// A machine whose clocks are moved by hand.
#[derive(Debug, Clone, Default)]
struct ByHand {
    steady: Rc<Cell<Duration>>,
    suspended: Rc<Cell<Duration>>,
}

impl ByHand {
    fn work(&self, ms: u64) {
        let by = Duration::from_millis(ms);
        self.steady.set(self.steady.get() + by);
    }

    fn suspend(&self, ms: u64) {
        let by = Duration::from_millis(ms);
        self.suspended.set(self.suspended.get() + by);
    }
}

impl TimeSource for ByHand {
    fn steady(&self) -> Duration {
        self.steady.get()
    }

    fn boot(&self) -> Duration {
        self.steady.get() + self.suspended.get()
    }
}

#[test]
fn counts_suspension() {
    let machine = ByHand::default();
    machine.work(70_000);
    machine.suspend(9_000);
    let clock = Clock::on(Box::new(machine.clone()));
    assert_eq!(clock.now(), Millis(0));
    machine.work(100);
    machine.suspend(3_000);
    assert_eq!(clock.now(), Millis(3_100));
}

#[test]
fn seen_once() {
    let machine = ByHand::default();
    machine.suspend(9_000);
    let clock = Clock::on(Box::new(machine.clone()));
    assert_eq!(clock.look(), None);
    machine.suspend(3_000);
    assert_eq!(clock.look(), Some(Millis(3_000)));
    machine.work(5_000);
    assert_eq!(clock.look(), None);
}

/// A timer that stood still with the machine is over as soon as the suspension is seen.
#[actix_rt::test]
async fn timers_set_anew() {
    let machine = ByHand::default();
    let clock = Clock::on(Box::new(machine.clone()));
    let hour = Millis::from_secs(3_600);
    let waiting = clock.timeout_at(hour, std::future::pending::<()>());
    let waking = async {
        tokio::task::yield_now().await;
        machine.suspend(3_600_000);
        clock.look()
    };
    let (ended, seen) = tokio::join!(waiting, waking);
    assert_eq!(ended, None);
    assert_eq!(seen, Some(hour));
}

/// What has arrived meanwhile is taken before the time is called over.
#[actix_rt::test]
async fn arrived_meanwhile() {
    let clock = Clock::manual(Millis(0));
    clock.advance(Millis(10_000));
    let ended = clock.timeout_at(Millis(5_000), std::future::ready(7)).await;
    assert_eq!(ended, Some(7));
}
