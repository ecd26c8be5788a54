//! Changes of the list of endpoints as a watch brought them, kept for a while for entries that do
//! not watch the store themselves.
//!
//! The configuration isn't among them: it may be a thousand times as large and would hold them up.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::direct::directory::{Change, Listing, Revision};

/// Changes that are kept: each of 1,000 endpoints replaced. Whoever is further behind asks the store.
const MOST_CHANGES: usize = 2_000;
/// Bytes that are read from a peer at most, once decompressed: twice what is kept.
const MOST_PLAIN: usize = 1 << 20;
/// Spans that are kept; whoever is before an older one asks the store.
const MOST_SPANS: usize = 64;
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
    /// Spans that are known from listings, the oldest first.
    spans: VecDeque<ListingSpan>,
}

/// Part of the history that is known from a whole listing at its end.
///
/// A listing tells what is there, compared with what was known at the start of the span. It does not tell of
/// endpoints that came or left within the span, so its changes lead on from the start alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListingSpan {
    /// Its start.
    pub after: Revision,
    /// Its end.
    pub up_to: Revision,
}

impl ListingSpan {
    /// Whether a list that is complete up to a revision lacks changes that the listing does not tell.
    const fn splits_at(&self, revision: Revision) -> bool {
        self.after < revision && revision < self.up_to
    }
}

/// What one entry passes to another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBatch {
    /// Changes, the oldest first.
    pub changes: Vec<Change>,
    /// Revision up to which they are complete.
    pub up_to: Revision,
    /// Spans among them that are known from listings; written behind the rest, and only where there are any, so
    /// that entries of earlier versions read all other messages and no such one.
    #[serde(skip)]
    pub spans: Vec<ListingSpan>,
}

impl ChangeBatch {
    /// A whole listing, as the changes that make it of an empty one.
    pub fn from_listing(listing: Listing, up_to: Revision) -> Self {
        let endpoints = listing.endpoints.into_iter().map(Change::Put);
        let cordons = listing.cordons.into_iter().map(Change::Cordoned);
        Self {
            changes: endpoints.chain(cordons).collect(),
            up_to,
            spans: vec![ListingSpan { after: 0, up_to }],
        }
    }

    /// That listing.
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

    /// Whether the changes lead on from a list that is complete up to a revision.
    pub fn applies_to(&self, revision: Revision) -> bool {
        !self.spans.iter().any(|span| span.splits_at(revision))
    }
}

impl ChangeLog {
    /// Keeps what a listing changed in a list that was complete up to a revision.
    pub fn append_listing(&mut self, after: Revision, up_to: Revision, changes: &[Change]) {
        self.append(after, up_to, changes);
        self.append_spans(&[ListingSpan { after, up_to }]);
    }

    /// Spans among the changes that were kept last are known from listings.
    pub fn append_spans(&mut self, spans: &[ListingSpan]) {
        self.spans.extend(spans);
        while self.spans.len() > MOST_SPANS {
            if let Some(oldest) = self.spans.pop_front() {
                self.after = self.after.max(oldest.up_to);
            }
        }
        let after = self.after;
        self.spans.retain(|span| span.up_to > after);
    }

    /// Keeps all changes after a revision, up to another one.
    pub fn append(&mut self, after: Revision, up_to: Revision, changes: &[Change]) {
        if self.up_to != after {
            self.kept.clear();
            self.spans.clear();
            self.after = after;
        }
        self.up_to = up_to;
        self.kept.extend(changes.iter().cloned());
        while self.kept.len() > MOST_CHANGES {
            if let Some(oldest) = self.kept.pop_front() {
                // Listings and cordons come in no order.
                self.after = self.after.max(oldest.revision());
            }
        }
    }

    /// Revision after which all changes up to the newest are kept.
    pub fn after(&self) -> Revision {
        self.after
    }

    /// All changes after a revision; `None` when some of them are not kept, or there are none.
    pub fn since(&self, revision: Revision) -> Option<ChangeBatch> {
        if self.after > revision || self.up_to <= revision {
            return None;
        }
        let newer = self.kept.iter().filter(|c| c.revision() > revision);
        let spans = self.spans.iter().filter(|span| span.up_to > revision);
        let passed = ChangeBatch {
            changes: newer.cloned().collect(),
            up_to: self.up_to,
            spans: spans.copied().collect(),
        };
        passed.applies_to(revision).then_some(passed)
    }
}

/// Writes changes for another entry, compressed; `None` when they can't be written.
pub fn encode(passed: &ChangeBatch) -> Option<Vec<u8>> {
    let config = bincode::config::standard();
    let mut plain = bincode::serde::encode_to_vec(passed, config).ok()?;
    if !passed.spans.is_empty() {
        plain.extend(bincode::serde::encode_to_vec(&passed.spans, config).ok()?);
    }
    zstd::bulk::compress(&plain, LEVEL).ok()
}

/// Reads what another entry passed on; `None` when it is not of this kind or too long.
pub fn decode(bytes: &[u8]) -> Option<ChangeBatch> {
    let plain = zstd::bulk::decompress(bytes, MOST_PLAIN).ok()?;
    let config = bincode::config::standard().with_limit::<MOST_PLAIN>();
    let (mut passed, read): (ChangeBatch, _) =
        bincode::serde::decode_from_slice(&plain, config).ok()?;
    let rest = &plain[read..];
    if rest.is_empty() {
        return Some(passed);
    }
    let (spans, read) = bincode::serde::decode_from_slice(rest, config).ok()?;
    passed.spans = spans;
    (read == rest.len()).then_some(passed)
}
