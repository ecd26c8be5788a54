//! The project's clock: milliseconds on a monotonic and on a wall scale.

use std::cell::Cell;
use std::fmt::Debug;
use std::ops::{Add, Sub};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::ClockId;
use serde::{Deserialize, Serialize};

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
#[derive(Debug, Clone)]
pub struct Clock(Rc<Source>);

#[derive(Debug)]
enum Source {
    /// A machine's clocks, counted from the given start.
    Machine(Box<dyn TimeSource>, Duration),
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
        let start = source.steady();
        Self(Rc::new(Source::Machine(source, start)))
    }

    /// A clock that starts at `at` and moves only by [`Clock::advance`].
    pub fn manual(at: Millis) -> Self {
        Self(Rc::new(Source::Manual(Cell::new(at.0))))
    }

    /// Monotonic time since the process started; it goes on while the process is frozen.
    pub fn now(&self) -> Millis {
        match &*self.0 {
            Source::Machine(source, start) => {
                let since = source.steady().saturating_sub(*start);
                Millis(since.as_millis() as u64)
            }
            Source::Manual(at) => Millis(at.get()),
        }
    }

    /// Wall time since the Unix epoch.
    pub fn wall(&self) -> Millis {
        match &*self.0 {
            Source::Machine(..) => {
                let since = SystemTime::now().duration_since(UNIX_EPOCH);
                Millis(since.unwrap_or_default().as_millis() as u64)
            }
            Source::Manual(at) => Millis(at.get()),
        }
    }

    /// Moves a manual clock on; a system clock is left alone.
    pub fn advance(&self, by: Millis) {
        if let Source::Manual(at) = &*self.0 {
            at.set(at.get() + by.0);
        }
    }
}
