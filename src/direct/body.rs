//! The body of a request that has been read.

use std::cell::RefCell;

use bytes::Bytes;

use crate::memory::{HeldMemory, SMALL_BODY_BYTES};

/// The body of a request, until no attempt can need it any more.
#[derive(Debug)]
pub struct RequestBody(RefCell<Option<(Bytes, Option<HeldMemory>)>>);

impl Default for RequestBody {
    /// An empty body.
    fn default() -> Self {
        Self(RefCell::new(Some((Bytes::new(), None))))
    }
}

impl RequestBody {
    /// A body, and the memory that is held for it.
    pub fn new(bytes: Bytes, memory: HeldMemory) -> Self {
        Self(RefCell::new(Some((bytes, Some(memory)))))
    }

    /// The body; `None` once it was released.
    pub fn bytes(&self) -> Option<Bytes> {
        self.0.borrow().as_ref().map(|(bytes, _)| bytes.clone())
    }

    /// Whether it counts as large.
    pub fn is_large(&self) -> bool {
        let held = self.0.borrow();
        held.as_ref()
            .is_some_and(|(bytes, _)| bytes.len() > SMALL_BODY_BYTES)
    }

    /// Frees its memory, once nothing reads the bytes that [`RequestBody::bytes`] returned.
    pub fn release(&self) {
        self.0.take();
    }
}
