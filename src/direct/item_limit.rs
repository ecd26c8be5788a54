//! The limit of one item of a response: a head, the framing between two chunks, or an event.
//!
//! A faulty endpoint may send bytes without end where an item is due. Silence is no sign of that,
//! and a sound endpoint sends an item in one go, so time counts only where it arrives in many
//! pieces.

use crate::clock::Millis;

/// Longest time from the first piece of an item to its end.
const MAX_TIME: Millis = Millis(2_000);
/// Number of pieces from which on [`MAX_TIME`] applies. An item that a slow or lossy link holds up
/// has fewer.
const MIN_PIECES: u32 = 8;

/// An item exceeded its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Endless;

/// What has arrived of an item, against its limit.
#[derive(Debug, Clone, Copy)]
pub struct ItemLimit {
    max_bytes: usize,
    bytes: usize,
    pieces: u32,
    /// When the first piece arrived.
    began_at: Millis,
}

impl ItemLimit {
    /// The limit of items of at most `max_bytes`.
    pub const fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            pieces: 0,
            began_at: Millis(0),
        }
    }

    /// Records a piece that does not complete the item. Fails where the item exceeds its limit.
    pub fn arrived(&mut self, bytes: usize, now: Millis) -> Result<(), Endless> {
        if self.pieces == 0 {
            self.began_at = now;
        }
        self.bytes = self.bytes.saturating_add(bytes);
        self.pieces = self.pieces.saturating_add(1);
        let is_late = self.pieces >= MIN_PIECES && now - self.began_at >= MAX_TIME;
        match self.bytes > self.max_bytes || is_late {
            true => Err(Endless),
            false => Ok(()),
        }
    }

    /// Records that the item is complete, so that the next one begins.
    pub fn completed(&mut self) {
        *self = Self::new(self.max_bytes);
    }

    /// Whether a part of an item has arrived.
    pub fn has_begun(&self) -> bool {
        self.pieces > 0
    }

    /// When the first piece of the unfinished item arrived; `None` where there is none.
    pub fn began_at(&self) -> Option<Millis> {
        self.has_begun().then_some(self.began_at)
    }
}
