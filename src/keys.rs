//! Memory of idempotency keys at the key's home, for work that may run only once.
//!
//! Keys are UUIDv7 (RFC 9562) and carry their time of issue. A fresh process therefore knows
//! which keys it could have forgotten: those issued before its memory begins. For them it says
//! that the outcome is unknown, never that they did not run.

use std::collections::{BTreeSet, HashMap};

use uuid::Uuid;

use crate::clock::Millis;
use crate::wire::Answer;

/// Largest answer kept for replay, in bytes.
pub const MAX_KEPT_ANSWER: usize = 16 << 10;
/// Bytes of answers kept by one process, at most.
pub const MAX_KEPT_BYTES: usize = 32 << 20;
/// Keys remembered by one process, at most; further ones are refused, none is forgotten early.
pub const MAX_KEYS: usize = 200_000;

/// What is known of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyVerdict {
    /// Never seen, and it would be remembered if it had been: it may run.
    Fresh,
    /// It waits or runs now.
    InFlight,
    /// It ran and gave this answer.
    Done(Answer),
    /// It ran, and its answer is not kept.
    DoneUnkept,
    /// It started, and nobody knows how it ended.
    Unknown,
    /// It may have run before this memory began or after it was trimmed.
    Forgotten,
    /// Its time of issue lies in the future by more than the allowed skew.
    FromFuture,
    /// The memory is full.
    Full,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    InFlight,
    Started,
    Done(Option<Answer>),
    Unknown,
}

/// The keys that one sidecar is the home of.
#[derive(Debug)]
pub struct KeyMemory {
    since: Millis,
    states: HashMap<Uuid, State>,
    by_issue: BTreeSet<(Millis, Uuid)>,
    kept_bytes: usize,
}

impl KeyMemory {
    /// A memory that begins at `wall`: keys issued up to `skew` later may be forgotten ones.
    pub fn new(wall: Millis, skew: Millis) -> Self {
        Self {
            since: wall + skew,
            states: HashMap::new(),
            by_issue: BTreeSet::new(),
            kept_bytes: 0,
        }
    }

    /// Counts keys held.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Whether a key issued at `wall` can't have been forgotten.
    pub fn remembers(&self, wall: Millis) -> bool {
        wall >= self.since
    }

    /// Looks a key up, and holds it as in flight when it is fresh.
    pub fn begin(&mut self, key: Uuid, wall: Millis, skew: Millis) -> KeyVerdict {
        if let Some(state) = self.states.get(&key) {
            return verdict(state);
        }
        let Some(issued) = issued_at(key) else {
            return KeyVerdict::Forgotten;
        };
        if issued > wall + skew {
            return KeyVerdict::FromFuture;
        }
        if issued < self.since {
            return KeyVerdict::Forgotten;
        }
        if self.states.len() >= MAX_KEYS {
            return KeyVerdict::Full;
        }
        self.states.insert(key, State::InFlight);
        self.by_issue.insert((issued, key));
        KeyVerdict::Fresh
    }

    /// Notes that the work was given to the endpoint.
    pub fn started(&mut self, key: Uuid) {
        self.set(key, State::Started);
    }

    /// Forgets a key whose work positively never started.
    pub fn release(&mut self, key: Uuid) {
        if self.is_open(key) {
            self.remove(key);
        }
    }

    /// Notes the answer of a run.
    pub fn done(&mut self, key: Uuid, answer: Option<Answer>) {
        let fits = |a: &Answer| {
            a.body.len() <= MAX_KEPT_ANSWER && self.kept_bytes + a.body.len() <= MAX_KEPT_BYTES
        };
        let kept = answer.filter(fits);
        self.kept_bytes += kept.as_ref().map_or(0, |a| a.body.len());
        self.set(key, State::Done(kept));
    }

    /// Notes that a started run ended without a known outcome.
    pub fn unknown(&mut self, key: Uuid) {
        self.set(key, State::Unknown);
    }

    /// Drops finished keys issued before `wall - memory` and moves the beginning past them.
    pub fn trim(&mut self, wall: Millis, memory: Millis) {
        let horizon = wall - memory;
        let before = self.by_issue.range(..(horizon, Uuid::nil()));
        let expired: Vec<Uuid> = before
            .map(|(_, key)| *key)
            .filter(|key| !self.is_open(*key))
            .collect();
        for key in expired {
            self.remove(key);
        }
        self.since = self.since.max(horizon);
    }

    fn is_open(&self, key: Uuid) -> bool {
        matches!(
            self.states.get(&key),
            Some(State::InFlight | State::Started)
        )
    }

    fn set(&mut self, key: Uuid, state: State) {
        if let Some(held) = self.states.get_mut(&key) {
            *held = state;
        }
    }

    fn remove(&mut self, key: Uuid) {
        if let Some(State::Done(Some(answer))) = self.states.remove(&key) {
            self.kept_bytes -= answer.body.len();
        }
        if let Some(issued) = issued_at(key) {
            self.by_issue.remove(&(issued, key));
        }
    }
}

/// The time of issue that a UUIDv7 carries.
pub fn issued_at(key: Uuid) -> Option<Millis> {
    if key.get_version_num() != 7 {
        return None;
    }
    let (secs, nanos) = key.get_timestamp()?.to_unix();
    Some(Millis(secs * 1_000 + u64::from(nanos) / 1_000_000))
}

/// A change of a pool's places: some keys have another home since.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rehoming {
    /// Count of places before.
    pub before: u32,
    /// Wall time from which all processes use the new homes.
    pub until: Millis,
}

impl Rehoming {
    /// Whether a key may have run at another home before it came to `ordinal`.
    pub fn may_have_run_elsewhere(&self, key: Uuid, ordinal: u32) -> bool {
        let early = issued_at(key).is_none_or(|issued| issued < self.until);
        early && home(key, self.before) != ordinal
    }
}

/// The ordinal that is a key's home: the same in every process that holds the same bundle.
pub fn home(key: Uuid, places: u32) -> u32 {
    let mut head = [0; 8];
    head.copy_from_slice(&blake3::hash(key.as_bytes()).as_bytes()[..8]);
    ordinal(u64::from_be_bytes(head), places)
}

/// Spreads hashes over `places` ordinals; a further place takes over only its own part (jump
/// consistent hash, Lamping and Veach 2014).
pub fn ordinal(hash: u64, places: u32) -> u32 {
    const MULTIPLIER: u64 = 2_862_933_555_777_941_757;
    const SPAN: f64 = (1_u64 << 31) as f64;
    let mut state = hash;
    let mut found = 0;
    let mut next = 0_i64;
    while next < i64::from(places) {
        found = next;
        state = state.wrapping_mul(MULTIPLIER).wrapping_add(1);
        next = ((found + 1) as f64 * (SPAN / ((state >> 33) + 1) as f64)) as i64;
    }
    found as u32
}

fn verdict(state: &State) -> KeyVerdict {
    match state {
        State::InFlight | State::Started => KeyVerdict::InFlight,
        State::Done(Some(answer)) => KeyVerdict::Done(answer.clone()),
        State::Done(None) => KeyVerdict::DoneUnkept,
        State::Unknown => KeyVerdict::Unknown,
    }
}
