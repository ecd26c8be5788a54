//! Changes of the store's documents as a watch brought them, kept for a while for entries that do
//! not watch the store themselves.
//!
//! The texts are passed on as the store wrote them, so that every entry reads them alike.

use std::collections::VecDeque;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::direct::directory::Revision;

/// Answers of the watch that are kept: about ten seconds in a storm of changes. Whoever is further
/// behind asks the store.
const MOST_KEPT: usize = 24;
/// Bytes that are kept; a configuration of 1,400 routes takes 400 KB.
const MOST_BYTES: usize = 1 << 20;
/// Bytes that are read from a peer at most, once decompressed.
const MOST_PLAIN: usize = 2 * MOST_BYTES;
/// Level of compression: the fastest.
const LEVEL: i32 = 1;

/// One answer of a watch.
#[derive(Debug, Clone)]
struct Kept {
    /// Revision after which its changes begin.
    after: Revision,
    /// Revision up to which it tells them.
    up_to: Revision,
    text: Bytes,
}

/// The newest answers of a watch, without a gap between them.
#[derive(Debug, Default)]
pub struct ChangeLog {
    kept: VecDeque<Kept>,
    bytes: usize,
}

/// What one entry passes to another: answers of the watch, the oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PassedOn {
    /// The store's texts.
    pub texts: Vec<Vec<u8>>,
}

impl ChangeLog {
    /// Keeps the answer to a watch that asked for changes after `after`.
    pub fn keep(&mut self, after: Revision, up_to: Revision, text: Bytes) {
        let follows = self.kept.back().is_none_or(|last| last.up_to == after);
        if !follows {
            self.kept.clear();
            self.bytes = 0;
        }
        self.bytes += text.len();
        self.kept.push_back(Kept { after, up_to, text });
        while self.kept.len() > MOST_KEPT || self.bytes > MOST_BYTES {
            let Some(oldest) = self.kept.pop_front() else {
                return;
            };
            self.bytes -= oldest.text.len();
        }
    }

    /// All changes after a revision; `None` when some of them are not kept.
    pub fn since(&self, revision: Revision) -> Option<PassedOn> {
        let first = self.kept.front()?;
        let last = self.kept.back()?;
        if first.after > revision || last.up_to <= revision {
            return None;
        }
        let newer = self.kept.iter().filter(|kept| kept.up_to > revision);
        Some(PassedOn {
            texts: newer.map(|kept| kept.text.to_vec()).collect(),
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
