//! When something happened to an entry or to a way.

use std::cell::RefCell;
use std::ops::RangeInclusive;

use tokio::time::Instant;

/// The times of all troubles of one entry or way so far.
#[derive(Debug, Default)]
pub(super) struct Troubles(RefCell<Vec<RangeInclusive<Instant>>>);

impl Troubles {
    /// Something happens now.
    pub(super) fn now(&self) {
        self.until(Instant::now());
    }

    /// Something happens from now on until a time.
    pub(super) fn until(&self, end: Instant) {
        self.0.borrow_mut().push(Instant::now()..=end);
    }

    /// Whether anything happened since a time.
    pub(super) fn any_since(&self, time: Instant) -> bool {
        self.0.borrow().iter().any(|trouble| *trouble.end() >= time)
    }

    /// The end of the last trouble that began before a time.
    pub(super) fn last_before(&self, time: Instant) -> Option<Instant> {
        let troubles = self.0.borrow();
        let earlier = troubles.iter().filter(|trouble| *trouble.start() <= time);
        earlier.map(|trouble| *trouble.end()).max()
    }

    /// Whether anything happened between two times.
    pub(super) fn touch(&self, from: Instant, to: Instant) -> bool {
        let troubles = self.0.borrow();
        troubles
            .iter()
            .any(|trouble| *trouble.start() <= to && *trouble.end() >= from)
    }
}
