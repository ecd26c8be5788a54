//! Memory that an entry holds for bodies that it sends only once they are complete.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that are held for all bodies together.
const MAX_TOTAL_BYTES: usize = 64 << 20;
/// Bytes that a body may have whatever is held for others, so that a few large bodies do not keep
/// small ones out.
const ALWAYS_ALLOWED_BYTES: usize = 256 << 10;

/// The bytes that are held for all bodies of an entry.
#[derive(Debug, Clone, Default)]
pub struct HeldBodies(Rc<Cell<usize>>);

impl HeldBodies {
    /// Begins to hold a body.
    pub fn begin(&self) -> HeldBody {
        HeldBody {
            total: Rc::clone(&self.0),
            bytes: 0,
        }
    }

    /// Bytes that are held now.
    pub fn bytes(&self) -> usize {
        self.0.get()
    }
}

/// The bytes that are held for one body, until it is dropped.
#[derive(Debug)]
pub struct HeldBody {
    total: Rc<Cell<usize>>,
    bytes: usize,
}

impl HeldBody {
    /// Holds at least so many bytes from now on; false if there is no room for them.
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let added = bytes.saturating_sub(self.bytes);
        let total = self.total.get() + added;
        if total > MAX_TOTAL_BYTES && self.bytes + added > ALWAYS_ALLOWED_BYTES {
            return false;
        }
        self.total.set(total);
        self.bytes += added;
        true
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.bytes);
    }
}
