//! The newest versions of the configuration as entries pass them on: the patches between them, and
//! the whole for an entry that is further behind or has none.

use std::cell::RefCell;
use std::collections::VecDeque;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::direct::catalog::{Catalog, CatalogParts};
use crate::direct::patch::Patch;

/// Layout of an [`Update`]; another one is not read, and the store is asked instead.
const FORMAT: u8 = 1;
/// Patches that are kept: a storm of changes every 80 ms for some seconds.
const MOST_PATCHES: usize = 64;
/// Bytes of patches that are kept: 32 versions of 1,400 new routes each, at 16 KB.
const MOST_BYTES: usize = 512 << 10;
/// Bytes that are read from a peer at most, once decompressed: 100,000 routes are read, 200,000 are not.
const MOST_PLAIN: usize = 16 << 20;
/// Level of compression: the fastest.
const LEVEL: i32 = 1;

/// What one entry passes to another that has an older version, or none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Update {
    format: u8,
    body: UpdateBody,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum UpdateBody {
    /// Patches, the oldest first, each written by itself.
    Patches(Vec<Vec<u8>>),
    /// The newest version.
    #[serde(rename = "Whole")]
    Full(Vec<u8>),
}

/// What an update brought.
#[derive(Debug)]
pub enum VersionUpdate {
    /// Patches and their written forms, to be passed on.
    Patches(Vec<Patch>, Vec<Bytes>),
    /// A whole version.
    Full(Box<Catalog>),
}

/// A patch as it is passed on.
#[derive(Debug, Clone)]
pub struct EncodedPatch {
    /// The version to which it belongs.
    pub base: u64,
    /// The version that it makes.
    pub version: u64,
    /// Its text, compressed.
    pub payload: Bytes,
}

/// The newest patches, without a gap between them, up to the version in force.
#[derive(Debug, Default)]
pub struct VersionLog {
    kept: VecDeque<EncodedPatch>,
    bytes: usize,
    /// The version in force as it is passed on, once a peer has asked for it.
    whole: RefCell<Option<Bytes>>,
}

impl VersionLog {
    /// A version came into force by these patches, written for peers; none where it came whole.
    pub fn advance(&mut self, patches: Vec<EncodedPatch>) {
        self.whole.take();
        if patches.is_empty() {
            self.kept.clear();
            self.bytes = 0;
        }
        for patch in patches {
            self.bytes += patch.payload.len();
            self.kept.push_back(patch);
        }
        while self.kept.len() > MOST_PATCHES || self.bytes > MOST_BYTES {
            let Some(oldest) = self.kept.pop_front() else {
                return;
            };
            self.bytes -= oldest.payload.len();
        }
    }

    /// What makes the version in force of `version`, for a peer; `None` when it can't be written.
    pub fn since(&self, version: u64, catalog: &Catalog) -> Option<Vec<u8>> {
        let newer: Vec<&EncodedPatch> = self
            .kept
            .iter()
            .skip_while(|patch| patch.base != version)
            .collect();
        let is_newest = newer.last().is_some_and(|p| p.version == catalog.version);
        let body = if is_newest {
            UpdateBody::Patches(newer.iter().map(|p| p.payload.to_vec()).collect())
        } else {
            UpdateBody::Full(self.whole(catalog)?.to_vec())
        };
        let format = FORMAT;
        bincode::serde::encode_to_vec(Update { format, body }, bincode::config::standard()).ok()
    }

    /// The version in force, written once for all peers.
    fn whole(&self, catalog: &Catalog) -> Option<Bytes> {
        if let Some(written) = &*self.whole.borrow() {
            return Some(written.clone());
        }
        let written = encode_compressed(&catalog.parts())?;
        *self.whole.borrow_mut() = Some(written.clone());
        Some(written)
    }
}

/// Reads what a peer passed on; `None` when it is not of this kind, or too long.
pub fn decode(bytes: &[u8]) -> Option<VersionUpdate> {
    let config = bincode::config::standard().with_limit::<MOST_PLAIN>();
    let (update, read): (Update, _) = bincode::serde::decode_from_slice(bytes, config).ok()?;
    if update.format != FORMAT || read != bytes.len() {
        return None;
    }
    match update.body {
        UpdateBody::Patches(written) => {
            let patches: Option<Vec<Patch>> =
                written.iter().map(|w| decode_compressed(w)).collect();
            let written = written.into_iter().map(Bytes::from).collect();
            Some(VersionUpdate::Patches(patches?, written))
        }
        UpdateBody::Full(written) => {
            let parts: CatalogParts = decode_compressed(&written)?;
            Some(VersionUpdate::Full(Box::new(Catalog::from(parts))))
        }
    }
}

/// Writes a patch or a whole version, compressed; `None` when it can't be written.
pub fn encode_compressed<T: Serialize>(value: &T) -> Option<Bytes> {
    let plain = bincode::serde::encode_to_vec(value, bincode::config::standard()).ok()?;
    zstd::bulk::compress(&plain, LEVEL).ok().map(Bytes::from)
}

fn decode_compressed<T: DeserializeOwned>(written: &[u8]) -> Option<T> {
    let plain = zstd::bulk::decompress(written, MOST_PLAIN).ok()?;
    let config = bincode::config::standard().with_limit::<MOST_PLAIN>();
    let (value, read) = bincode::serde::decode_from_slice(&plain, config).ok()?;
    (read == plain.len()).then_some(value)
}
