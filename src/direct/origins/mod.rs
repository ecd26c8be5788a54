//! Where streams began. What endpoints of two software versions write doesn't fit together, so a
//! stream goes on only at the pool and version that began it, at whichever entry. Endpoints don't
//! check that.

use serde::{Deserialize, Serialize};

/// The pool and the software version of the endpoint that began a stream, as digests of their names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// The pool.
    pub pool: PoolDigest,
    /// Digest of the software version.
    version: u32,
}

/// Digest of a pool's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PoolDigest(u32);

impl PoolDigest {
    /// The digest of a name.
    pub fn of(pool: &str) -> Self {
        Self(digest(pool))
    }
}

impl Origin {
    /// The origin of streams that an endpoint begins.
    pub fn of(pool: &str, software_version: &str) -> Self {
        Self {
            pool: PoolDigest::of(pool),
            version: digest(software_version),
        }
    }
}

/// First four bytes of the BLAKE3 hash of a name; all entries compute the same.
fn digest(name: &str) -> u32 {
    let hash = blake3::hash(name.as_bytes());
    let mut head = [0; 4];
    head.copy_from_slice(&hash.as_bytes()[..4]);
    u32::from_be_bytes(head)
}
