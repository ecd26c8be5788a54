//! A log of changes of the list of endpoints as a watch returned them, for entries that do not
//! watch the store themselves.
//!
//! The configuration is not part of it: it may be a thousand times as large and would delay the
//! changes.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::direct::directory::{Change, Era, Listing, Revision};

/// Maximum number of changes that are kept: each of 1,000 endpoints replaced. An entry that is
/// further behind asks the store.
const MAX_CHANGES: usize = 2_000;
/// Maximum size of what is read from a peer, in bytes after decompression: twice what is kept.
const MAX_DECOMPRESSED_BYTES: usize = 1 << 20;
/// Maximum number of spans that are kept. An entry that is behind the end of a dropped one asks the
/// store.
const MAX_SPANS: usize = 64;
/// Compression level of zstd: the fastest.
const COMPRESSION_LEVEL: i32 = 1;

/// Changes without a gap between them.
#[derive(Debug, Default)]
pub struct ChangeLog {
    /// Revision after which the changes begin.
    after: Revision,
    /// Revision up to which the changes are complete.
    up_to: Revision,
    changes: VecDeque<Change>,
    /// Spans that are known from listings, the oldest first.
    spans: VecDeque<ListingSpan>,
}

/// Span of revisions whose changes are known only from a whole listing at its end.
///
/// A listing tells what exists, and is compared with what was known at the start of the span. It
/// does not show endpoints that came or left within the span, so its changes apply only to a list
/// that is complete up to the start of the span.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListingSpan {
    /// Revision at its start.
    pub after: Revision,
    /// Revision at its end.
    pub up_to: Revision,
}

impl ListingSpan {
    /// Whether `revision` lies within the span, so that a list that is complete up to there lacks
    /// changes which the listing does not show.
    fn contains(&self, revision: Revision) -> bool {
        self.after < revision && revision < self.up_to
    }
}

/// Changes of the list, as one entry sends them to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// Changes, the oldest first.
    pub changes: Vec<Change>,
    /// Revision up to which they are complete.
    pub up_to: Revision,
    /// Spans among them that are known from listings. They are encoded after the other fields, and
    /// only if there are any: entries of earlier versions read batches without spans, and reject
    /// those with spans.
    #[serde(skip)]
    pub spans: Vec<ListingSpan>,
}

impl ChangeBatch {
    /// A whole listing, as the changes that lead to it from an empty list.
    pub fn from_listing(listing: Listing, up_to: Revision) -> Self {
        let endpoints = listing.endpoints.into_iter().map(Change::Put);
        let cordons = listing.cordons.into_iter().map(Change::Cordoned);
        Self {
            changes: endpoints.chain(cordons).collect(),
            up_to,
            spans: vec![ListingSpan {
                after: Revision::default(),
                up_to,
            }],
        }
    }

    /// Turns a batch made by [`ChangeBatch::from_listing`] back into the listing.
    pub fn into_listing(self) -> Listing {
        let mut listing = Listing::default();
        for change in self.changes {
            match change {
                Change::Put(listed) => listing.endpoints.push(listed),
                Change::Cordoned(cordon) => listing.cordons.push(cordon),
                Change::Removed { .. } | Change::Uncordoned(_) => {}
            }
        }
        listing
    }

    /// Whether the changes apply to a list that is complete up to `revision`.
    pub fn applies_to(&self, revision: Revision) -> bool {
        !self.spans.iter().any(|span| span.contains(revision))
    }
}

impl ChangeLog {
    /// Appends the changes between a list that was complete up to `after` and a listing at `up_to`.
    pub fn append_listing(&mut self, after: Revision, up_to: Revision, changes: &[Change]) {
        self.append(after, up_to, changes);
        self.append_spans(&[ListingSpan { after, up_to }]);
    }

    /// Marks spans among the changes appended last as known from listings. Beyond the maximum
    /// number the oldest are dropped, with the history up to their ends.
    pub fn append_spans(&mut self, spans: &[ListingSpan]) {
        self.spans.extend(spans);
        while self.spans.len() > MAX_SPANS {
            if let Some(oldest) = self.spans.pop_front() {
                self.after = self.after.max(oldest.up_to);
            }
        }
        let after = self.after;
        self.spans.retain(|span| span.up_to > after);
    }

    /// Appends all changes after the revision `after`, up to `up_to`. If the log does not end at
    /// `after`, it starts anew from there.
    pub fn append(&mut self, after: Revision, up_to: Revision, changes: &[Change]) {
        if self.up_to != after {
            self.changes.clear();
            self.spans.clear();
            self.after = after;
        }
        self.up_to = up_to;
        self.changes.extend(changes.iter().cloned());
        while self.changes.len() > MAX_CHANGES {
            if let Some(oldest) = self.changes.pop_front() {
                // Listings and cordons are in no order of revisions.
                self.after = self.after.max(oldest.revision());
            }
        }
    }

    /// Revision after which all changes up to the newest are kept.
    pub fn after(&self) -> Revision {
        self.after
    }

    /// Returns all changes after `revision`; `None` if there are none, some are not kept, or
    /// `revision` lies within the span of a listing.
    pub fn since(&self, revision: Revision) -> Option<ChangeBatch> {
        if self.after > revision || self.up_to <= revision {
            return None;
        }
        let newer = self.changes.iter().filter(|c| c.revision() > revision);
        let spans = self.spans.iter().filter(|span| span.up_to > revision);
        let batch = ChangeBatch {
            changes: newer.cloned().collect(),
            up_to: self.up_to,
            spans: spans.copied().collect(),
        };
        batch.applies_to(revision).then_some(batch)
    }
}

/// The eras of all revisions of a batch, in the order of its fields.
#[derive(Debug, Serialize, Deserialize)]
struct BatchEras {
    changes: Vec<Option<Era>>,
    up_to: Option<Era>,
    /// Of the start and the end of each span.
    spans: Vec<(Option<Era>, Option<Era>)>,
}

impl BatchEras {
    fn of(batch: &ChangeBatch) -> Self {
        let changes = batch.changes.iter().map(|change| change.revision().era);
        let spans = batch.spans.iter();
        Self {
            changes: changes.collect(),
            up_to: batch.up_to.era,
            spans: spans.map(|s| (s.after.era, s.up_to.era)).collect(),
        }
    }

    /// Sets the eras of a batch; false if it has more or fewer revisions.
    fn set(self, batch: &mut ChangeBatch) -> bool {
        if self.changes.len() != batch.changes.len() || self.spans.len() != batch.spans.len() {
            return false;
        }
        for (change, era) in batch.changes.iter_mut().zip(self.changes) {
            change.revision_mut().era = era;
        }
        batch.up_to.era = self.up_to;
        for (span, (after, up_to)) in batch.spans.iter_mut().zip(self.spans) {
            (span.after.era, span.up_to.era) = (after, up_to);
        }
        true
    }
}

/// Encodes and compresses changes for another entry; `None` if they can't be encoded.
///
/// The spans, the software versions of endpoints and the eras follow the batch. Entries of earlier
/// versions reject what they don't know there, and read the store instead.
pub fn encode(batch: &ChangeBatch) -> Option<Vec<u8>> {
    let mut plain = encode_plain(batch, true)?;
    let eras = BatchEras::of(batch);
    plain.extend(bincode::serde::encode_to_vec(eras, bincode::config::standard()).ok()?);
    zstd::bulk::compress(&plain, COMPRESSION_LEVEL).ok()
}

/// Encodes and compresses changes for an entry of an earlier version, which knows no eras; `None` if
/// they can't be encoded.
pub fn encode_without_eras(batch: &ChangeBatch) -> Option<Vec<u8>> {
    let plain = encode_plain(batch, false)?;
    zstd::bulk::compress(&plain, COMPRESSION_LEVEL).ok()
}

/// Encodes a batch, its spans and its software versions; empty ones of these at the end are left
/// out, unless more is to follow.
fn encode_plain(batch: &ChangeBatch, is_followed: bool) -> Option<Vec<u8>> {
    let config = bincode::config::standard();
    let mut plain = bincode::serde::encode_to_vec(batch, config).ok()?;
    let versions: Vec<&str> = batch.changes.iter().filter_map(software_version).collect();
    let has_versions = is_followed || !versions.is_empty();
    if has_versions || !batch.spans.is_empty() {
        plain.extend(bincode::serde::encode_to_vec(&batch.spans, config).ok()?);
    }
    if has_versions {
        plain.extend(bincode::serde::encode_to_vec(&versions, config).ok()?);
    }
    Some(plain)
}

/// The software version of the endpoint that a change adds or updates.
fn software_version(change: &Change) -> Option<&str> {
    match change {
        Change::Put(listed) => Some(&listed.software_version),
        Change::Removed { .. } | Change::Cordoned(_) | Change::Uncordoned(_) => None,
    }
}

/// Decodes changes from another entry; `None` if they are malformed or too long, or lack the
/// software versions of endpoints, as those from entries of early versions do. Where the eras are
/// lacking, the revisions name none.
pub fn decode(bytes: &[u8]) -> Option<ChangeBatch> {
    let plain = zstd::bulk::decompress(bytes, MAX_DECOMPRESSED_BYTES).ok()?;
    let config = bincode::config::standard().with_limit::<MAX_DECOMPRESSED_BYTES>();
    let (mut batch, read): (ChangeBatch, _) =
        bincode::serde::decode_from_slice(&plain, config).ok()?;
    let mut rest = &plain[read..];
    if !rest.is_empty() {
        let (spans, read) = bincode::serde::decode_from_slice(rest, config).ok()?;
        batch.spans = spans;
        rest = &rest[read..];
    }
    let mut versions: Vec<String> = Vec::new();
    if !rest.is_empty() {
        let (decoded, read) = bincode::serde::decode_from_slice(rest, config).ok()?;
        versions = decoded;
        rest = &rest[read..];
    }
    if !rest.is_empty() {
        let (eras, read): (BatchEras, _) = bincode::serde::decode_from_slice(rest, config).ok()?;
        if !eras.set(&mut batch) {
            return None;
        }
        rest = &rest[read..];
    }
    let is_whole = rest.is_empty() && set_software_versions(&mut batch.changes, versions);
    is_whole.then_some(batch)
}

/// Sets the software versions of the endpoints that changes add or update, in their order; false
/// if there are more or fewer of them.
fn set_software_versions(changes: &mut [Change], versions: Vec<String>) -> bool {
    let mut versions = versions.into_iter();
    for change in changes {
        if let Change::Put(listed) = change {
            let Some(version) = versions.next() else {
                return false;
            };
            listed.software_version = version;
        }
    }
    versions.next().is_none()
}
