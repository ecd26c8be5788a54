//! Buffers for whole bodies. A long body has pages of its own, which return to the system when it is
//! dropped; the allocator would keep them.

use std::io;

use bytes::{Bytes, BytesMut};
use memmap2::MmapMut;

/// Capacity up to which a buffer comes from the allocator, in bytes.
const MAX_ALLOCATED_BYTES: usize = 64 << 10;

/// The beginning of a body, with room for the rest.
#[derive(Debug)]
pub struct BodyBuffer {
    storage: Storage,
    capacity: usize,
}

#[derive(Debug)]
enum Storage {
    Allocated(BytesMut),
    Pages { pages: MmapMut, filled: usize },
}

impl Default for BodyBuffer {
    /// An empty buffer without room.
    fn default() -> Self {
        Self {
            storage: Storage::Allocated(BytesMut::new()),
            capacity: 0,
        }
    }
}

impl BodyBuffer {
    /// An empty buffer with room for a body of this length. Fails where the system has no memory.
    pub fn with_capacity(capacity: usize) -> io::Result<Self> {
        let storage = match capacity > MAX_ALLOCATED_BYTES {
            true => Storage::Pages {
                pages: MmapMut::map_anon(capacity)?,
                filled: 0,
            },
            false => Storage::Allocated(BytesMut::with_capacity(capacity)),
        };
        Ok(Self { storage, capacity })
    }

    /// Bytes that it holds, or has room for.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Length of what it holds, in bytes.
    pub fn len(&self) -> usize {
        match &self.storage {
            Storage::Allocated(buf) => buf.len(),
            Storage::Pages { filled, .. } => *filled,
        }
    }

    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends bytes. Fails where there is no room for them.
    pub fn extend(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.len() + bytes.len() > self.capacity {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        match &mut self.storage {
            Storage::Allocated(buf) => buf.extend_from_slice(bytes),
            Storage::Pages { pages, filled } => {
                pages[*filled..*filled + bytes.len()].copy_from_slice(bytes);
                *filled += bytes.len();
            }
        }
        Ok(())
    }

    /// The bytes that it holds.
    pub fn freeze(self) -> Bytes {
        match self.storage {
            Storage::Allocated(buf) => buf.freeze(),
            Storage::Pages { pages, filled } => Bytes::from_owner(pages).slice(..filled),
        }
    }

    /// A buffer with the same content and a larger capacity. Fails like
    /// [`BodyBuffer::with_capacity`].
    pub fn grown_to(&self, capacity: usize) -> io::Result<Self> {
        let mut grown = Self::with_capacity(capacity)?;
        grown.extend(self.as_slice())?;
        Ok(grown)
    }

    fn as_slice(&self) -> &[u8] {
        match &self.storage {
            Storage::Allocated(buf) => buf,
            Storage::Pages { pages, filled } => &pages[..*filled],
        }
    }
}
