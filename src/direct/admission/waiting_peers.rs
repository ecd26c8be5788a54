//! What other entries reported of the requests that wait there for one pool.
//!
//! A report counts for a second after it came, so lost, repeated or reordered datagrams change
//! little, and an entry that is cut off counts only those that it hears.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::clock::Millis;
use crate::direct::known::load::BANDS;
use crate::direct::peers::PeerId;

/// Time for which a report counts.
pub const REPORT_TTL: Millis = Millis(1_000);
/// Largest number of requests that can wait at one entry.
pub const MAX_WAITING: usize = 512;
/// Largest number of tokens of one request that is believed, so that a corrupted report can't claim
/// the whole capacity.
const MAX_REQUEST_TOKENS: u64 = 1 << 18;
/// Highest pace that is believed of one entry, in tokens per ms.
const MAX_PACE: u32 = 100_000;
/// Largest number of entries whose reports are kept.
const MAX_SOURCES: usize = 512;
/// Tokens in one unit of a report.
const BLOCK_TOKENS: u64 = 256;

/// The waiting requests of one band.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BandSummary {
    /// Number of requests.
    count: u16,
    /// Their prompt tokens, in blocks of 256.
    blocks: u32,
}

impl BandSummary {
    /// Adds a request with this many prompt tokens.
    pub fn add(&mut self, tokens: u32) {
        self.count = self.count.saturating_add(1);
        let blocks = u64::from(tokens).div_ceil(BLOCK_TOKENS);
        self.blocks = self
            .blocks
            .saturating_add(u32::try_from(blocks).unwrap_or(u32::MAX));
    }

    fn tokens(self) -> f64 {
        (u64::from(self.blocks) * BLOCK_TOKENS) as f64
    }

    /// The same within what one entry can have.
    fn bounded(self) -> Self {
        let count = self.count.min(MAX_WAITING as u16);
        let most = u64::from(count) * MAX_REQUEST_TOKENS / BLOCK_TOKENS;
        Self {
            count,
            blocks: self.blocks.min(u32::try_from(most).unwrap_or(u32::MAX)),
        }
    }
}

/// The waiting requests of one entry for one pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSummary {
    bands: [BandSummary; BANDS],
    /// Prompt tokens that the entry sent in the last seconds, per second.
    tokens_per_s: u32,
    /// Whether one of the requests can still be answered in time.
    has_in_time: bool,
}

impl PoolSummary {
    /// A summary of an entry that sends `pace` prompt tokens in a millisecond.
    pub fn new(bands: [BandSummary; BANDS], pace: f64, has_in_time: bool) -> Self {
        Self {
            bands,
            tokens_per_s: (pace * 1_000.0) as u32,
            has_in_time,
        }
    }

    fn bounded(self) -> Self {
        Self {
            bands: self.bands.map(BandSummary::bounded),
            tokens_per_s: self.tokens_per_s.min(MAX_PACE * 1_000),
            has_in_time: self.has_in_time,
        }
    }
}

/// The latest report of each peer.
#[derive(Debug, Default)]
pub struct WaitingPeers {
    reports: HashMap<PeerId, (Millis, PoolSummary)>,
}

impl WaitingPeers {
    /// Takes a peer's report, within what an entry can have. It replaces the one before.
    pub fn record(&mut self, from: PeerId, summary: PoolSummary, now: Millis) {
        if self.reports.len() >= MAX_SOURCES {
            self.reports.retain(|_, (at, _)| now < *at + REPORT_TTL);
        }
        if self.reports.len() < MAX_SOURCES || self.reports.contains_key(&from) {
            self.reports.insert(from, (now, summary.bounded()));
        }
    }

    /// Discards all reports.
    pub fn clear(&mut self) {
        self.reports.clear();
    }

    /// Prompt tokens that wait at the peers that are heard, of bands up to `band`.
    pub fn tokens_up_to(&self, band: usize, now: Millis) -> f64 {
        (0..=band).map(|band| self.tokens_in(band, now)).sum()
    }

    /// Prompt tokens that wait at the peers that are heard, of one band.
    pub fn tokens_in(&self, band: usize, now: Millis) -> f64 {
        self.valid(now)
            .map(|summary| summary.bands[band].tokens())
            .sum()
    }

    /// Prompt tokens per millisecond that these peers sent in the last seconds.
    pub fn pace(&self, now: Millis) -> f64 {
        let per_s: f64 = self
            .valid(now)
            .map(|summary| f64::from(summary.tokens_per_s))
            .sum();
        per_s / 1_000.0
    }

    /// Whether a request that can be in time waits at a peer that is heard.
    pub fn have_in_time(&self, now: Millis) -> bool {
        self.valid(now).any(|summary| summary.has_in_time)
    }

    fn valid(&self, now: Millis) -> impl Iterator<Item = &PoolSummary> {
        let valid = move |(at, _): &&(Millis, PoolSummary)| now < *at + REPORT_TTL;
        self.reports
            .values()
            .filter(valid)
            .map(|(_, summary)| summary)
    }
}
