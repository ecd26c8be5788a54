//! The project's clock: milliseconds on a monotonic and on a wall scale.

use std::cell::Cell;
use std::fmt::Debug;
use std::future::Future;
use std::ops::{Add, Sub};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::ClockId;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;
use tokio::time::sleep;

/// Least suspension that is noticed: longer than the time between the readings of two clocks.
const NOTICED: Duration = Duration::from_millis(50);

/// A point in time or a length of time, in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// A length of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000)
    }

    /// The same length as a [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// The length in milliseconds, capped to what a wire message carries.
    pub fn as_u32(self) -> u32 {
        u32::try_from(self.0).unwrap_or(u32::MAX)
    }
}

impl Add for Millis {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for Millis {
    type Output = Self;
    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

/// The operating system's clocks that never jump back, in time since the machine started.
pub trait TimeSource: Debug {
    /// Stands still while the machine is suspended, as the runtime's timers do.
    fn steady(&self) -> Duration;
    /// Goes on meanwhile.
    fn boot(&self) -> Duration;
}

/// The clocks of this machine.
#[derive(Debug, Clone, Copy)]
pub struct Machine;

impl TimeSource for Machine {
    fn steady(&self) -> Duration {
        read(ClockId::CLOCK_MONOTONIC)
    }

    fn boot(&self) -> Duration {
        read(ClockId::CLOCK_BOOTTIME)
    }
}

/// Reads a clock that every Linux has (2.6.39 and later); without one nothing could be promised.
fn read(clock: ClockId) -> Duration {
    clock.now().map(Duration::from).unwrap_or_default()
}

/// Where a process reads the time; a manual clock makes whole sessions repeatable in tests.
///
/// Ages and deadlines are measured on the clock that goes on while the machine is suspended: on the steady one a
/// proof, a lease or a key would be younger than it looks. The runtime's timers stand still meanwhile; those of
/// [`Clock::sleep_until`] are set anew once [`Clock::look`] has seen that.
#[derive(Debug, Clone)]
pub struct Clock(Rc<State>);

#[derive(Debug)]
struct State {
    source: Source,
    /// Wakes timers after a suspension.
    resumed: Notify,
}

#[derive(Debug)]
enum Source {
    /// A machine's clocks.
    Machine {
        source: Box<dyn TimeSource>,
        /// When this clock was made.
        start: Duration,
        /// Time for which the machine had been suspended at the last look.
        suspended: Cell<Duration>,
    },
    /// A clock that stands still until it is moved.
    Manual(Cell<u64>),
}

impl Clock {
    /// A clock on the operating system's time.
    pub fn system() -> Self {
        Self::on(Box::new(Machine))
    }

    /// A clock on a source of time.
    pub fn on(source: Box<dyn TimeSource>) -> Self {
        let start = source.boot();
        let suspended = Cell::new(start.saturating_sub(source.steady()));
        Self::of(Source::Machine {
            source,
            start,
            suspended,
        })
    }

    /// A clock that starts at `at` and moves only by [`Clock::advance`].
    pub fn manual(at: Millis) -> Self {
        Self::of(Source::Manual(Cell::new(at.0)))
    }

    fn of(source: Source) -> Self {
        Self(Rc::new(State {
            source,
            resumed: Notify::new(),
        }))
    }

    /// Monotonic time since the process started; it goes on while the process is frozen or its machine suspended.
    pub fn now(&self) -> Millis {
        match &self.0.source {
            Source::Machine { source, start, .. } => {
                let since = source.boot().saturating_sub(*start);
                Millis(since.as_millis() as u64)
            }
            Source::Manual(at) => Millis(at.get()),
        }
    }

    /// Wall time since the Unix epoch.
    pub fn wall(&self) -> Millis {
        match &self.0.source {
            Source::Machine { .. } => {
                let since = SystemTime::now().duration_since(UNIX_EPOCH);
                Millis(since.unwrap_or_default().as_millis() as u64)
            }
            Source::Manual(at) => Millis(at.get()),
        }
    }

    /// Waits until a point in time; at once where that is over.
    pub async fn sleep_until(&self, at: Millis) {
        loop {
            let resumed = self.0.resumed.notified();
            let left = at - self.now();
            if left == Millis(0) {
                return;
            }
            tokio::select! {
                () = sleep(left.duration()) => {}
                () = resumed => {}
            }
        }
    }

    /// What `work` results in; `None` where it has not by a point in time.
    pub async fn timeout_at<T>(&self, at: Millis, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            result = work => Some(result),
            () = self.sleep_until(at) => None,
        }
    }

    /// Looks whether the machine was suspended since the last look, and sets timers anew if so. Returns for how long.
    pub fn look(&self) -> Option<Millis> {
        let Source::Machine {
            source, suspended, ..
        } = &self.0.source
        else {
            return None;
        };
        // Read in this order, a pause between the two readings counts as none.
        let boot = source.boot();
        let now = boot.saturating_sub(source.steady());
        let time = now.saturating_sub(suspended.get());
        if time < NOTICED {
            return None;
        }
        suspended.set(now);
        self.0.resumed.notify_waiters();
        Some(Millis(time.as_millis() as u64))
    }

    /// Moves a manual clock on, and sets timers anew; a system clock is left alone.
    pub fn advance(&self, by: Millis) {
        if let Source::Manual(at) = &self.0.source {
            at.set(at.get() + by.0);
            self.0.resumed.notify_waiters();
        }
    }
}
