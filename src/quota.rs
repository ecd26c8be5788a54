//! Limits over the whole fleet: each team has an owner among the entries that leases shares.
//!
//! A share is a part of the team's limit, from 0 to 1. The owner keeps the sum of leases at or
//! under 1 less a reserve for entries that have not claimed. All of it is soft state: a new
//! owner begins cautiously, and an entry without a lease uses an equal share.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::clock::Millis;

/// How long a lease holds.
pub const LEASE: Millis = Millis(10_000);
/// Time after which a lease is renewed.
pub const RENEW: Millis = Millis(5_000);
/// Demand, as a part of an equal share, below which an entry does not claim.
pub const CLAIM_FROM: f64 = 0.1;
/// Room above the demand, so that a growing demand is not cut at once.
const HEADROOM: f64 = 1.25;
/// Part of its lease that an entry's demand may reach before it claims anew.
const OUTGROWN: f64 = 0.9;

/// One team's demand at one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Claim {
    /// Team name.
    pub team: String,
    /// Demand as a part of the team's limit; above 1 when one entry asks for more than all.
    pub demand: f64,
}

/// A share leased to one entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Team name.
    pub team: String,
    /// Part of the limit.
    pub share: f64,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    share: f64,
    demand: f64,
    until: Millis,
}

/// The leases that an owner has given out.
#[derive(Debug)]
pub struct QuotaBook {
    teams: HashMap<String, BTreeMap<String, Held>>,
    cautious_until: Millis,
}

impl QuotaBook {
    /// An empty book; an earlier owner's leases may still hold, so it begins cautiously.
    pub fn new(now: Millis) -> Self {
        Self {
            teams: HashMap::new(),
            cautious_until: now + LEASE,
        }
    }

    /// Leases a share to an entry, out of `entries` in all.
    pub fn lease(&mut self, now: Millis, entry: &str, claim: &Claim, entries: usize) -> Lease {
        let equal = 1.0 / entries.max(1) as f64;
        let held = self.teams.entry(claim.team.clone()).or_default();
        held.retain(|_, lease| now < lease.until);
        let others: f64 = held
            .iter()
            .filter(|(id, _)| *id != entry)
            .map(|(_, h)| h.share)
            .sum();
        let claimants = held.len() + usize::from(!held.contains_key(entry));
        let quiet = entries.saturating_sub(claimants) as f64;
        let total = 1.0 - quiet * equal * CLAIM_FROM;
        let mut demands: Vec<f64> = held
            .iter()
            .filter(|(id, _)| *id != entry)
            .map(|(_, h)| h.demand)
            .collect();
        let wanted = claim.demand * HEADROOM;
        demands.push(wanted);
        let contended = demands.iter().sum::<f64>() > total;
        let ceiling = if contended {
            fair_level(demands, total).min(wanted)
        } else {
            wanted.max(equal)
        };
        let mut share = ceiling.min((total - others).max(0.0));
        if now < self.cautious_until {
            share = share.min(equal);
        }
        let until = now + LEASE;
        held.insert(
            entry.to_owned(),
            Held {
                share,
                demand: wanted,
                until,
            },
        );
        Lease {
            team: claim.team.clone(),
            share,
        }
    }

    /// Sum of the leases of a team that hold at `now`.
    pub fn leased(&self, now: Millis, team: &str) -> f64 {
        let held = self.teams.get(team).into_iter().flat_map(BTreeMap::values);
        held.filter(|lease| now < lease.until)
            .map(|lease| lease.share)
            .sum()
    }
}

/// The level to which all demands can be met when `total` is shared out fairly (max-min).
fn fair_level(mut demands: Vec<f64>, total: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = total;
    let mut count = demands.len() as f64;
    for demand in demands {
        let level = left / count;
        if demand >= level {
            return level;
        }
        left -= demand;
        count -= 1.0;
    }
    left.max(0.0) + total
}

#[derive(Debug, Clone, Copy)]
struct Share {
    share: f64,
    until: Millis,
    renew_at: Millis,
}

/// The shares that one entry holds.
#[derive(Debug, Default)]
pub struct Shares {
    held: HashMap<String, Share>,
}

impl Shares {
    /// This entry's part of a team's limit: its lease, else an equal share.
    pub fn of(&self, now: Millis, team: &str, entries: usize) -> f64 {
        let equal = 1.0 / entries.max(1) as f64;
        let held = self.held.get(team).filter(|share| now < share.until);
        held.map_or(equal, |share| share.share)
    }

    /// Whether to claim now: there is enough demand, and no fresh lease that covers it.
    pub fn is_due(&self, now: Millis, team: &str, demand: f64, entries: usize) -> bool {
        let enough = demand > CLAIM_FROM / entries.max(1) as f64;
        let fresh = self
            .held
            .get(team)
            .is_some_and(|held| now < held.renew_at && demand < held.share * OUTGROWN);
        enough && !fresh
    }

    /// Notes a lease that was asked for at `asked`; its time counts from there.
    pub fn note(&mut self, asked: Millis, lease: &Lease) {
        let share = Share {
            share: lease.share,
            until: asked + LEASE,
            renew_at: asked + RENEW,
        };
        self.held.insert(lease.team.clone(), share);
    }

    /// Shares held at `now`, by team.
    pub fn rows(&self, now: Millis) -> BTreeMap<String, f64> {
        let live = self.held.iter().filter(|(_, share)| now < share.until);
        live.map(|(team, share)| (team.clone(), share.share))
            .collect()
    }
}
