//! Documents that travel between processes: held monotonically, sent as differences.
//!
//! A stamp orders two versions in every process alike: by version, and between two documents
//! that carry one version (a race of operators) by digest, so that all processes end up with
//! the same one. A document never gives way to one with a lower stamp.

use std::collections::VecDeque;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// Earlier versions kept to send and apply differences.
const KEPT_VERSIONS: usize = 8;
/// Compression level: 3 is the library's default balance.
const ZSTD_LEVEL: i32 = 3;
/// Largest document, in bytes; the same bound as a bundle's with its envelope.
pub const MAX_DOCUMENT_BYTES: usize = 2 << 20;

/// Version and digest of a document; ordered by both.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// The document's own number.
    pub version: u64,
    /// First eight bytes of the content's BLAKE3 hash.
    pub digest: u64,
}

impl Stamp {
    /// The stamp of some content.
    pub fn new(version: u64, content: &[u8]) -> Self {
        let hash = blake3::hash(content);
        let mut head = [0; 8];
        head.copy_from_slice(&hash.as_bytes()[..8]);
        Self {
            version,
            digest: u64::from_be_bytes(head),
        }
    }
}

/// The kinds of document that travel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum DocumentKind {
    /// The sealed configuration bundle.
    Bundle,
    /// The instance list.
    Members,
}

/// What became of an offered document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accepted {
    /// It is in force now.
    Newer,
    /// It was in force already.
    Same,
    /// It is behind the one in force and was dropped.
    Older,
    /// It has the version in force and other content, and lost the comparison.
    Conflict,
}

/// A document on the wire: whole, or as a difference to one that the receiver holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// Kind of document.
    pub kind: DocumentKind,
    /// The document that the difference applies to; `None` when sent whole.
    pub base: Option<Stamp>,
    /// Stamp of the content.
    pub stamp: Stamp,
    /// zstd data (RFC 8878), with the base as its dictionary.
    pub data: Vec<u8>,
}

/// One kind of document in one process: the version in force and some earlier ones.
#[derive(Debug, Default)]
pub struct Versions {
    held: VecDeque<(Stamp, Rc<[u8]>)>,
}

impl Versions {
    /// Stamp of the document in force; the zero stamp when there is none.
    pub fn stamp(&self) -> Stamp {
        self.held
            .front()
            .map(|(stamp, _)| *stamp)
            .unwrap_or_default()
    }

    /// The document in force.
    pub fn content(&self) -> Option<Rc<[u8]>> {
        self.held.front().map(|(_, content)| Rc::clone(content))
    }

    /// What [`Versions::put`] would answer.
    pub fn compare(&self, stamp: Stamp) -> Accepted {
        let held = self.stamp();
        if stamp == held {
            Accepted::Same
        } else if stamp > held {
            Accepted::Newer
        } else if stamp.version == held.version {
            Accepted::Conflict
        } else {
            Accepted::Older
        }
    }

    /// Takes a checked document when it is newer than the one in force.
    pub fn put(&mut self, stamp: Stamp, content: &[u8]) -> Accepted {
        let verdict = self.compare(stamp);
        if verdict == Accepted::Newer {
            self.held.push_front((stamp, content.into()));
            self.held.truncate(KEPT_VERSIONS);
        }
        verdict
    }

    /// The document in force for a receiver that holds `have`; `None` when it needs nothing.
    pub fn update(&self, kind: DocumentKind, have: Stamp) -> Option<Update> {
        let (stamp, content) = self.held.front()?;
        if have >= *stamp {
            return None;
        }
        let base = self.at(have);
        let data = compress(content, base.as_deref())?;
        Some(Update {
            kind,
            base: base.map(|_| have),
            stamp: *stamp,
            data,
        })
    }

    /// The content of a update; `None` when its base is not held or its data are damaged.
    pub fn unpack(&self, update: &Update) -> Option<Vec<u8>> {
        let base = match update.base {
            Some(stamp) => Some(self.at(stamp)?),
            None => None,
        };
        decompress(&update.data, base.as_deref())
    }

    fn at(&self, stamp: Stamp) -> Option<Rc<[u8]>> {
        let found = self.held.iter().find(|(held, _)| *held == stamp);
        found.map(|(_, content)| Rc::clone(content))
    }
}

fn compress(content: &[u8], base: Option<&[u8]>) -> Option<Vec<u8>> {
    let mut compressor =
        zstd::bulk::Compressor::with_dictionary(ZSTD_LEVEL, base.unwrap_or_default()).ok()?;
    compressor.compress(content).ok()
}

fn decompress(data: &[u8], base: Option<&[u8]>) -> Option<Vec<u8>> {
    let mut decompressor =
        zstd::bulk::Decompressor::with_dictionary(base.unwrap_or_default()).ok()?;
    decompressor.decompress(data, MAX_DOCUMENT_BYTES).ok()
}
