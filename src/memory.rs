//! The memory that a process holds for what callers and endpoints send: one account for all of it,
//! and its limit.
//!
//! Bodies of requests may fill a part of the limit only, the less urgent and the larger ones a
//! smaller part, so that answers to what was accepted and small urgent requests still find room.

use std::cell::Cell;
use std::rc::Rc;

/// Number of [`Purpose`]s.
const PURPOSES: usize = 3;
/// Part of the memory of the machine that may be held. The rest is for the process itself, its
/// connections, and bytes that have arrived and were not read yet.
const HELD_FRACTION: f64 = 0.5;
/// Longest body that counts as small, in bytes.
pub const SMALL_BODY_BYTES: usize = 64 << 10;
/// Part of the limit up to which small bodies of the most urgent requests are accepted.
const URGENT_FRACTION: f64 = 0.85;
/// What is taken off that part for each step of urgency below the highest.
const FRACTION_PER_BAND: f64 = 0.1;
/// Part of the limit up to which large answers are accepted.
const LARGE_ANSWER_FRACTION: f64 = 0.95;
/// Number of steps that are distinguished.
const MAX_BAND: usize = 2;
/// What is taken off that part for large bodies.
const LARGE_FRACTION: f64 = 0.15;

/// Memory of a machine whose settings name none, in MB: that of the smallest supported one.
const DEFAULT_MACHINE_MB: u64 = 88;

/// Memory of a machine in MB, whose settings name so much; 0 where they name none.
pub const fn machine_mb(named: u64) -> u64 {
    match named {
        0 => DEFAULT_MACHINE_MB,
        named => named,
    }
}

/// What memory is held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// The body of a request.
    Request {
        /// Urgency, from 0 for the highest.
        band: usize,
    },
    /// An answer that is delivered once it is complete.
    Answer,
    /// Bytes of a connection that are neither: a head that is not complete, further requests, events
    /// for a caller that reads slowly.
    Buffer,
}

impl Purpose {
    const fn index(self) -> usize {
        match self {
            Self::Request { .. } => 0,
            Self::Answer => 1,
            Self::Buffer => 2,
        }
    }

    /// Part of the limit up to which so many bytes for it are accepted.
    fn fraction(self, bytes: usize) -> f64 {
        let is_large = bytes > SMALL_BODY_BYTES;
        match self {
            Self::Request { band } => {
                let for_urgency = URGENT_FRACTION - FRACTION_PER_BAND * band.min(MAX_BAND) as f64;
                for_urgency - if is_large { LARGE_FRACTION } else { 0.0 }
            }
            Self::Answer if is_large => LARGE_ANSWER_FRACTION,
            Self::Answer | Self::Buffer => 1.0,
        }
    }
}

/// The memory that is held by one process.
#[derive(Debug, Clone)]
pub struct Memory(Rc<Account>);

#[derive(Debug)]
struct Account {
    /// Most bytes that are held.
    limit: Cell<usize>,
    /// Bytes that are held now, by purpose.
    held: [Cell<usize>; PURPOSES],
    /// Most bytes that were held at once since [`Memory::take_peak`] was last called.
    peak: Cell<usize>,
}

impl Memory {
    /// The account of a process on a machine with so much memory, in MB.
    pub fn new(machine_mb: u64) -> Self {
        let memory = Self(Rc::new(Account {
            limit: Cell::new(0),
            held: Default::default(),
            peak: Cell::new(0),
        }));
        memory.set_machine(machine_mb);
        memory
    }

    /// Changes the memory of the machine, in MB. What is held stays.
    pub fn set_machine(&self, machine_mb: u64) {
        let bytes = machine_mb as f64 * HELD_FRACTION * f64::from(1 << 20);
        self.0.limit.set(bytes as usize);
    }

    /// Begins to hold memory.
    pub fn begin(&self, purpose: Purpose) -> HeldMemory {
        HeldMemory {
            account: Rc::clone(&self.0),
            purpose,
            bytes: 0,
        }
    }

    /// Whether so many bytes would be accepted if nothing else were held.
    pub fn could_hold(&self, purpose: Purpose, bytes: usize) -> bool {
        bytes <= self.0.limit_of(purpose, bytes)
    }

    /// Most bytes that are held.
    pub fn limit(&self) -> usize {
        self.0.limit.get()
    }

    /// Bytes that are held now for all purposes.
    pub fn held(&self) -> usize {
        self.0.total()
    }

    /// Bytes that are held now for a purpose.
    pub fn held_for(&self, purpose: Purpose) -> usize {
        self.0.held[purpose.index()].get()
    }

    /// Most bytes that were held at once since the last call.
    pub fn take_peak(&self) -> usize {
        self.0.peak.replace(self.0.total())
    }
}

impl Account {
    fn total(&self) -> usize {
        self.held.iter().map(Cell::get).sum()
    }

    fn limit_of(&self, purpose: Purpose, bytes: usize) -> usize {
        (self.limit.get() as f64 * purpose.fraction(bytes)) as usize
    }

    fn add(&self, purpose: Purpose, bytes: usize) {
        let held = &self.held[purpose.index()];
        held.set(held.get() + bytes);
        self.peak.set(self.peak.get().max(self.total()));
    }
}

/// The memory that is held for one thing, until it is dropped.
#[derive(Debug)]
pub struct HeldMemory {
    account: Rc<Account>,
    purpose: Purpose,
    bytes: usize,
}

impl HeldMemory {
    /// Bytes that are held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Bytes that others would have to free, so that so many can be held.
    pub fn missing_for(&self, bytes: usize) -> usize {
        if bytes <= self.bytes {
            return 0;
        }
        let total = self.account.total() + bytes - self.bytes;
        total.saturating_sub(self.account.limit_of(self.purpose, bytes))
    }

    /// Holds at least so many bytes from now on; false if there is no room for them.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let has_room = self.missing_for(bytes) == 0;
        if has_room && bytes > self.bytes {
            self.set(bytes);
        }
        has_room
    }

    /// Holds exactly so many bytes from now on, also where there is no room: they are held already.
    pub fn set(&mut self, bytes: usize) {
        let held = &self.account.held[self.purpose.index()];
        held.set(held.get() - self.bytes);
        self.account.add(self.purpose, bytes);
        self.bytes = bytes;
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.set(0);
    }
}
