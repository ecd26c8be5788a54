//! Bodies of requests that are arriving, with the memory that is held for them: less urgent and slow
//! ones give way to others.

use std::cell::RefCell;
use std::rc::Rc;

use slotmap::{new_key_type, SlotMap};
use tokio::sync::Notify;

use crate::clock::Millis;
use crate::memory::{HeldMemory, Memory, Purpose};

/// Time for which a body may arrive below [`MIN_RATE`] before it counts as slow.
const SLOW_AFTER: Millis = Millis(1_000);
/// Bytes per millisecond.
const MIN_RATE: usize = 64;

new_key_type! {
    /// A body that is arriving.
    struct UploadKey;
}

/// The bodies that are arriving.
#[derive(Debug)]
pub struct Uploads {
    memory: Memory,
    arriving: Rc<RefCell<SlotMap<UploadKey, Arriving>>>,
}

#[derive(Debug)]
struct Arriving {
    /// Urgency band, 0 for the highest.
    band: usize,
    /// When it counts as slow unless more bytes arrive.
    slow_at: Millis,
    held: HeldMemory,
    /// Wakes its reader when it has to give way.
    displaced: Rc<Notify>,
}

impl Arriving {
    fn is_slow(&self, now: Millis) -> bool {
        now >= self.slow_at
    }

    /// Whether it gives way to a body of an urgency band.
    fn gives_way_to(&self, band: usize, now: Millis) -> bool {
        self.band > band || (self.band == band && self.is_slow(now))
    }
}

impl Uploads {
    /// None yet; their memory counts in this account.
    pub fn new(memory: Memory) -> Self {
        Self {
            memory,
            arriving: Rc::default(),
        }
    }

    /// Begins a body, for which nothing is held yet.
    pub fn begin(&self, band: usize, now: Millis) -> Upload {
        let displaced = Rc::new(Notify::new());
        let arriving = Arriving {
            band,
            slow_at: now + SLOW_AFTER,
            held: self.memory.begin(Purpose::Request { band }),
            displaced: Rc::clone(&displaced),
        };
        let key = self.arriving.borrow_mut().insert(arriving);
        Upload {
            arriving: Rc::clone(&self.arriving),
            key,
            displaced,
        }
    }

    /// Holds at least so many bytes for a body; others give way to it where that makes enough room.
    /// False if there is none.
    pub fn grow_to(&self, upload: &Upload, bytes: usize, now: Millis) -> bool {
        let mut arriving = self.arriving.borrow_mut();
        let Some(own) = arriving.get_mut(upload.key) else {
            return false;
        };
        if own.held.grow_to(bytes) {
            return true;
        }
        let (band, missing) = (own.band, own.held.missing_for(bytes));
        let others = arriving.iter().filter(|(key, _)| *key != upload.key);
        let giving_way = others.filter(|(_, other)| other.gives_way_to(band, now));
        let mut giving_way: Vec<_> = giving_way
            .map(|(key, other)| (other.band, other.is_slow(now), other.held.bytes(), key))
            .collect();
        let available: usize = giving_way.iter().map(|(_, _, held, _)| held).sum();
        if available < missing {
            return false;
        }
        giving_way.sort_by_key(|(band, is_slow, ..)| (*band, *is_slow));
        while let Some((.., key)) = giving_way.pop() {
            if let Some(other) = arriving.remove(key) {
                other.displaced.notify_one();
            }
            let own = arriving.get_mut(upload.key);
            if own.is_some_and(|own| own.held.grow_to(bytes)) {
                return true;
            }
        }
        false
    }
}

/// A body that is arriving, until it is dropped.
#[derive(Debug)]
pub struct Upload {
    arriving: Rc<RefCell<SlotMap<UploadKey, Arriving>>>,
    key: UploadKey,
    displaced: Rc<Notify>,
}

impl Upload {
    /// Resolves when the body has given way to another one.
    pub async fn displaced(&self) {
        self.displaced.notified().await;
    }

    /// Records bytes that have arrived.
    pub fn arrived(&self, bytes: usize, now: Millis) {
        if let Some(own) = self.arriving.borrow_mut().get_mut(self.key) {
            let time = Millis((bytes / MIN_RATE) as u64);
            own.slow_at = (own.slow_at + time).min(now + SLOW_AFTER);
        }
    }

    /// Holds exactly so many bytes from now on.
    pub fn hold(&self, bytes: usize) {
        if let Some(own) = self.arriving.borrow_mut().get_mut(self.key) {
            own.held.set(bytes);
        }
    }

    /// Ends it with the last byte: the memory is held for the request from now on. `None` if the
    /// body has given way.
    pub fn complete(self) -> Option<HeldMemory> {
        let arriving = self.arriving.borrow_mut().remove(self.key);
        arriving.map(|arriving| arriving.held)
    }
}

impl Drop for Upload {
    fn drop(&mut self) {
        self.arriving.borrow_mut().remove(self.key);
    }
}
