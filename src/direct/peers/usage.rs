//! What an entry reports of the recent usage of a mixed pool by teams.

use serde::{Deserialize, Serialize};

use crate::direct::directory::digest;
use crate::direct::known::load::BANDS;

/// Maximum number of teams in one report, those with the most usage or demand.
pub const MAX_REPORTED_TEAMS: usize = 16;
/// Tokens in one block, the unit of reported figures.
pub const BLOCK_TOKENS: f64 = 256.0;
/// Largest reported figure, in blocks; larger ones are corrupted.
const MAX_BLOCKS: u32 = 1 << 20;

/// First four bytes of the hash of a name, of a team or a pool, the same in all entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NameDigest(pub u32);

impl NameDigest {
    /// Digest of a name.
    pub fn of(name: &str) -> Self {
        Self(digest(name, None))
    }

    /// Digest of the name of a request's team. Requests without a team count as one team.
    pub fn of_team(name: Option<&str>) -> Self {
        Self::of(name.unwrap_or_default())
    }
}

/// Reported figures of one team, or of several, in blocks of [`BLOCK_TOKENS`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedUsage {
    /// What was sent to endpoints.
    pub used: u32,
    /// What arrived, by urgency band.
    pub asked: [u32; BANDS],
}

impl ReportedUsage {
    fn is_valid(self) -> bool {
        let all = [self.used].into_iter().chain(self.asked);
        all.max().is_some_and(|largest| largest <= MAX_BLOCKS)
    }
}

/// Usage of one pool at one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The pool.
    pub pool: NameDigest,
    /// The teams with the most usage or demand.
    pub teams: Vec<(NameDigest, ReportedUsage)>,
    /// All other teams together.
    pub others: ReportedUsage,
}

impl UsageReport {
    /// Whether the report can be one that an entry sent.
    pub fn is_valid(&self) -> bool {
        let all = self.teams.iter().map(|(_, usage)| *usage);
        self.teams.len() <= MAX_REPORTED_TEAMS
            && all.chain([self.others]).all(ReportedUsage::is_valid)
    }
}
