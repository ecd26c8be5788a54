//! The clock includes time in which the machine is suspended, and its timers follow.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use violetline::clock::{Clock, Millis, TimeSource};

/// A machine whose clocks are advanced by hand.
#[derive(Debug, Clone, Default)]
struct ManualMachine {
    steady: Rc<Cell<Duration>>,
    suspended: Rc<Cell<Duration>>,
}

impl ManualMachine {
    fn run_for(&self, ms: u64) {
        let by = Duration::from_millis(ms);
        self.steady.set(self.steady.get() + by);
    }

    fn suspend_for(&self, ms: u64) {
        let by = Duration::from_millis(ms);
        self.suspended.set(self.suspended.get() + by);
    }
}

impl TimeSource for ManualMachine {
    fn steady(&self) -> Duration {
        self.steady.get()
    }

    fn boot(&self) -> Duration {
        self.steady.get() + self.suspended.get()
    }
}

#[test]
fn clock_counts_suspension() {
    let machine = ManualMachine::default();
    machine.run_for(70_000);
    machine.suspend_for(9_000);
    let clock = Clock::on(Box::new(machine.clone()));
    assert_eq!(clock.now(), Millis(0));
    machine.run_for(100);
    machine.suspend_for(3_000);
    assert_eq!(clock.now(), Millis(3_100));
}

#[test]
fn suspension_noticed_once() {
    let machine = ManualMachine::default();
    machine.suspend_for(9_000);
    let clock = Clock::on(Box::new(machine.clone()));
    assert_eq!(clock.look(), None);
    machine.suspend_for(3_000);
    assert_eq!(clock.look(), Some(Millis(3_000)));
    machine.run_for(5_000);
    assert_eq!(clock.look(), None);
}

/// A timer that stood still during a suspension ends as soon as the suspension is noticed.
#[actix_rt::test]
async fn timer_after_suspension() {
    let machine = ManualMachine::default();
    let clock = Clock::on(Box::new(machine.clone()));
    let hour = Millis::from_secs(3_600);
    let waiting = clock.timeout_at(hour, std::future::pending::<()>());
    let waking = async {
        tokio::task::yield_now().await;
        machine.suspend_for(3_600_000);
        clock.look()
    };
    let (ended, seen) = tokio::join!(waiting, waking);
    assert_eq!(ended, None);
    assert_eq!(seen, Some(hour));
}

/// A result that is ready is returned even if the deadline has passed.
#[actix_rt::test]
async fn ready_result_returned() {
    let clock = Clock::manual(Millis(0));
    clock.advance(Millis(10_000));
    let ended = clock.timeout_at(Millis(5_000), std::future::ready(7)).await;
    assert_eq!(ended, Some(7));
}
