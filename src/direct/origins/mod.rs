//! Where streams began. What endpoints of two software versions write doesn't fit together, so a
//! stream goes on only at the pool and version that began it, at whichever entry. Endpoints don't
//! check that.
//!
//! An entry remembers the streams that it relays, and while a pool has several versions it gives
//! each to two peers to keep, before the first event is sent to the caller. An entry at which a
//! caller resumes a stream that it doesn't remember asks the peers that may keep it. Where nobody
//! knows, the stream goes on only if its pool has had a single version for as long as it may take.

mod history;
mod message;
mod records;

use serde::{Deserialize, Serialize};

use crate::quarantine::parts::EndpointKind;

pub use self::history::SoftwareHistory;
pub use self::message::{
    OriginAnswer, OriginMessage, OriginQuery, PendingQuery, PoolVersions, MAX_TOLD_STREAMS,
    MAX_VERSIONS,
};
pub use self::records::OriginRecords;

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
    /// What endpoints of this pool and software version have in common.
    pub const fn endpoint_kind(self) -> EndpointKind {
        EndpointKind(self.pool.0.rotate_left(16) ^ self.version)
    }

    /// The origin of streams that an endpoint begins.
    pub fn of(pool: &str, software_version: &str) -> Self {
        Self {
            pool: PoolDigest::of(pool),
            version: digest(software_version),
        }
    }
}

/// Digest of a stream: of the team that sent the request whose response began it, and of the caller's
/// id of that request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// The stream that the request `id` of a team began; without teams the name is empty.
    pub fn of(team: &str, id: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(team.as_bytes());
        // Names hold no zero bytes, so no two pairs are hashed alike.
        hasher.update(&[0]);
        hasher.update(id);
        let hash = hasher.finalize();
        let mut head = [0; 8];
        head.copy_from_slice(&hash.as_bytes()[..8]);
        Self(u64::from_be_bytes(head))
    }
}

/// First four bytes of the BLAKE3 hash of a name; all entries compute the same.
fn digest(name: &str) -> u32 {
    let hash = blake3::hash(name.as_bytes());
    let mut head = [0; 4];
    head.copy_from_slice(&hash.as_bytes()[..4]);
    u32::from_be_bytes(head)
}
