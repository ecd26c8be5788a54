//! The newest versions of the configuration, as entries forward them: the patches between them, and
//! the full version for an entry that is further behind or has none.

use std::cell::RefCell;
use std::collections::VecDeque;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::direct::catalog::{Catalog, CatalogParts};
use crate::direct::patch::Patch;

/// Format of an [`Update`]. One of another format is not read, and the store is asked instead.
const FORMAT: u8 = 1;
/// Maximum number of patches that are kept: enough for changes every 80 ms over some seconds.
const MAX_PATCHES: usize = 64;
/// Maximum size of the patches that are kept, in bytes: 32 versions of 1,400 new routes each, at 16
/// KB.
const MAX_PATCH_BYTES: usize = 512 << 10;
/// Maximum size of what is read from a peer, in bytes after decompression: 100,000 routes are read,
/// 200,000 are not.
const MAX_DECOMPRESSED_BYTES: usize = 16 << 20;
/// Compression level of zstd: the fastest.
const COMPRESSION_LEVEL: i32 = 1;

/// What one entry sends to another that has an older version, or none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Update {
    format: u8,
    body: UpdateBody,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum UpdateBody {
    /// Patches, the oldest first, each encoded and compressed by itself.
    Patches(Vec<Vec<u8>>),
    /// The newest version, encoded and compressed.
    #[serde(rename = "Whole")]
    Full(Vec<u8>),
}

/// A decoded update.
#[derive(Debug)]
pub enum VersionUpdate {
    /// Patches, and their encoded forms to be forwarded.
    Patches(Vec<Patch>, Vec<Bytes>),
    /// A full version.
    Full(Box<Catalog>),
}

/// An encoded patch, as it is forwarded.
#[derive(Debug, Clone)]
pub struct EncodedPatch {
    /// The version to which it applies.
    pub base: u64,
    /// The version that results.
    pub version: u64,
    /// The encoded and compressed patch.
    pub payload: Bytes,
}

/// The newest patches, which lead without a gap to the version in force.
#[derive(Debug, Default)]
pub struct VersionLog {
    patches: VecDeque<EncodedPatch>,
    total_bytes: usize,
    /// The encoded version in force, once a peer has asked for it.
    encoded_full: RefCell<Option<Bytes>>,
}

impl VersionLog {
    /// Records that a version came into force by these patches; none if it came in full. Drops the
    /// oldest patches beyond the limits.
    pub fn advance(&mut self, patches: Vec<EncodedPatch>) {
        self.encoded_full.take();
        if patches.is_empty() {
            self.patches.clear();
            self.total_bytes = 0;
        }
        for patch in patches {
            self.total_bytes += patch.payload.len();
            self.patches.push_back(patch);
        }
        while self.patches.len() > MAX_PATCHES || self.total_bytes > MAX_PATCH_BYTES {
            let Some(oldest) = self.patches.pop_front() else {
                return;
            };
            self.total_bytes -= oldest.payload.len();
        }
    }

    /// Encodes an update from `version` to the version in force, `catalog`: patches if they are all
    /// kept, else the full version. `None` if it can't be encoded.
    pub fn since(&self, version: u64, catalog: &Catalog) -> Option<Vec<u8>> {
        let newer: Vec<&EncodedPatch> = self
            .patches
            .iter()
            .skip_while(|patch| patch.base != version)
            .collect();
        let is_newest = newer.last().is_some_and(|p| p.version == catalog.version);
        let body = if is_newest {
            UpdateBody::Patches(newer.iter().map(|p| p.payload.to_vec()).collect())
        } else {
            UpdateBody::Full(self.encoded_full(catalog)?.to_vec())
        };
        let format = FORMAT;
        bincode::serde::encode_to_vec(Update { format, body }, bincode::config::standard()).ok()
    }

    /// Returns the version in force, encoded once for all peers.
    fn encoded_full(&self, catalog: &Catalog) -> Option<Bytes> {
        if let Some(encoded) = &*self.encoded_full.borrow() {
            return Some(encoded.clone());
        }
        let encoded = encode_compressed(&catalog.parts())?;
        *self.encoded_full.borrow_mut() = Some(encoded.clone());
        Some(encoded)
    }
}

/// Decodes an update from a peer; `None` if it is malformed, of another format or too long.
pub fn decode(bytes: &[u8]) -> Option<VersionUpdate> {
    let config = bincode::config::standard().with_limit::<MAX_DECOMPRESSED_BYTES>();
    let (update, read): (Update, _) = bincode::serde::decode_from_slice(bytes, config).ok()?;
    if update.format != FORMAT || read != bytes.len() {
        return None;
    }
    match update.body {
        UpdateBody::Patches(encoded) => {
            let patches: Option<Vec<Patch>> =
                encoded.iter().map(|w| decode_compressed(w)).collect();
            let encoded = encoded.into_iter().map(Bytes::from).collect();
            Some(VersionUpdate::Patches(patches?, encoded))
        }
        UpdateBody::Full(encoded) => {
            let parts: CatalogParts = decode_compressed(&encoded)?;
            Some(VersionUpdate::Full(Box::new(Catalog::from(parts))))
        }
    }
}

/// Encodes and compresses a patch or a full version; `None` if it can't be encoded.
pub fn encode_compressed<T: Serialize>(value: &T) -> Option<Bytes> {
    let plain = bincode::serde::encode_to_vec(value, bincode::config::standard()).ok()?;
    zstd::bulk::compress(&plain, COMPRESSION_LEVEL)
        .ok()
        .map(Bytes::from)
}

fn decode_compressed<T: DeserializeOwned>(encoded: &[u8]) -> Option<T> {
    let plain = zstd::bulk::decompress(encoded, MAX_DECOMPRESSED_BYTES).ok()?;
    let config = bincode::config::standard().with_limit::<MAX_DECOMPRESSED_BYTES>();
    let (value, read) = bincode::serde::decode_from_slice(&plain, config).ok()?;
    (read == plain.len()).then_some(value)
}
