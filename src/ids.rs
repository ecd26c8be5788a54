//! Identifiers and units that cross module borders.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One caller's request, fresh for each HTTP request an entry accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl RequestId {
    /// A new random id.
    pub fn random() -> Self {
        Self(uuid::Uuid::new_v4().as_u128())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// One life of a process: a random number that differs after every start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// An incarnation that sorts after earlier ones: wall milliseconds, then random bits.
    pub fn new(wall: crate::clock::Millis) -> Self {
        Self((wall.0 << 16) | u64::from(rand::random::<u16>()))
    }
}

/// A count of tokens, read or generated.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Tokens(pub u64);

/// A grant of one run slot; unique within one incarnation of a sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantId(pub u64);

/// Position of a class in the bundle's list; a `Copy` key into that arena.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassKey(pub usize);

/// Position of a team in the bundle's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TeamKey(pub usize);

/// Position of a pool in the bundle's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PoolKey(pub usize);
