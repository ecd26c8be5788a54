//! Changes of the list of endpoints as a watch brought them, kept for a while for entries that do
//! not watch the store themselves.
//!
//! The configuration isn't among them: it may be a thousand times as large and would hold them up.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::direct::directory::{Change, Revision};

/// Changes that are kept: each of 1,000 endpoints replaced. Whoever is further behind asks the store.
const MOST_CHANGES: usize = 2_000;
/// Bytes that are read from a peer at most, once decompressed: twice what is kept.
const MOST_PLAIN: usize = 1 << 20;
/// Level of compression: the fastest.
const LEVEL: i32 = 1;

/// Changes without a gap between them.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Revision after which the changes begin.
    after: Revision,
    /// Revision up to which they are complete.
    up_to: Revision,
    kept: VecDeque<Change>,
}

/// What one entry passes to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedOn {
    /// Changes, the oldest first.
    pub changes: Vec<Change>,
    /// Revision up to which they are complete.
    pub up_to: Revision,
}

impl ChangeLog {
    /// Keeps all changes after a revision, up to another one.
    pub fn keep(&mut self, after: Revision, up_to: Revision, changes: &[Change]) {
        if self.up_to != after {
            self.kept.clear();
            self.after = after;
        }
        self.up_to = up_to;
        self.kept.extend(changes.iter().cloned());
        while self.kept.len() > MOST_CHANGES {
            if let Some(oldest) = self.kept.pop_front() {
                self.after = oldest.revision();
            }
        }
    }

    /// Revision after which all changes up to the newest are kept.
    pub fn after(&self) -> Revision {
        self.after
    }

    /// All changes after a revision; `None` when some of them are not kept, or there are none.
    pub fn since(&self, revision: Revision) -> Option<PassedOn> {
        if self.after > revision || self.up_to <= revision {
            return None;
        }
        let newer = self.kept.iter().filter(|c| c.revision() > revision);
        Some(PassedOn {
            changes: newer.cloned().collect(),
            up_to: self.up_to,
        })
    }
}

/// Writes changes for another entry, compressed; `None` when they can't be written.
pub fn encode(passed: &PassedOn) -> Option<Vec<u8>> {
    let plain = bincode::serde::encode_to_vec(passed, bincode::config::standard()).ok()?;
    zstd::bulk::compress(&plain, LEVEL).ok()
}

/// Reads what another entry passed on; `None` when it is not of this kind or too long.
pub fn decode(bytes: &[u8]) -> Option<PassedOn> {
    let plain = zstd::bulk::decompress(bytes, MOST_PLAIN).ok()?;
    let config = bincode::config::standard().with_limit::<MOST_PLAIN>();
    let (passed, read) = bincode::serde::decode_from_slice(&plain, config).ok()?;
    (read == plain.len()).then_some(passed)
}
