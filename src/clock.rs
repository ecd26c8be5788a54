//! The project's clock: milliseconds on a monotonic and on a wall scale.

use std::cell::Cell;
use std::ops::{Add, Sub};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

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

/// Where a process reads the time; `Manual` makes whole sessions repeatable in tests.
#[derive(Debug, Clone)]
pub enum Clock {
    /// The operating system's clocks, counted from the given start.
    System(Instant),
    /// A clock that stands still until it is moved.
    Manual(Rc<Cell<u64>>),
}

impl Clock {
    /// A clock on the operating system's time.
    pub fn system() -> Self {
        Self::System(Instant::now())
    }

    /// A clock that starts at `at` and moves only by [`Clock::advance`].
    pub fn manual(at: Millis) -> Self {
        Self::Manual(Rc::new(Cell::new(at.0)))
    }

    /// Monotonic time since the process started; it goes on while the process is frozen.
    pub fn now(&self) -> Millis {
        match self {
            Self::System(start) => Millis(start.elapsed().as_millis() as u64),
            Self::Manual(at) => Millis(at.get()),
        }
    }

    /// Wall time since the Unix epoch.
    pub fn wall(&self) -> Millis {
        match self {
            Self::System(_) => {
                let since = SystemTime::now().duration_since(UNIX_EPOCH);
                Millis(since.unwrap_or_default().as_millis() as u64)
            }
            Self::Manual(at) => Millis(at.get()),
        }
    }

    /// Moves a manual clock on; a system clock is left alone.
    pub fn advance(&self, by: Millis) {
        if let Self::Manual(at) = self {
            at.set(at.get() + by.0);
        }
    }
}
