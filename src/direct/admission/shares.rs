//! Max-min fair shares of teams in what a mixed pool handles.
//!
//! It handles the load of one team that sends many times its usual rate to a pool at the limit of
//! its capacity. A team that asks for less than an equal share gets all that it asks for, and the
//! rest is divided equally among the others. Within an urgency, waiting requests of teams that ask
//! for more than their share are sent after those of the others. While this entry sees the pool
//! overloaded or without capacity, a team that used more than its share has a shorter accepted wait;
//! no team has a longer one than without shares.
//!
//! An entry sees a part of the requests, and hears late of some of the others. Shares are ratios,
//! for which a sample of the fleet suffices.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::direct::known::load::BANDS;
use crate::direct::peers::{
    NameDigest, PeerId, ReportedUsage, UsageReport, BLOCK_TOKENS, MAX_REPORTED_TEAMS,
};

/// Half-life of usage and demand.
pub const USAGE_HALF_LIFE: Millis = Millis(5_000);
/// Age from which the report of a peer is ignored.
const REPORT_TTL: Millis = Millis(3_000);
/// Time for which a pool counts as contended after a request found no capacity.
const CONTENTION_TIME: Millis = Millis(1_000);
/// Time for which computed shares are used before they are computed again.
const SHARES_TTL: Millis = Millis(100);
/// Maximum number of peers whose reports are kept.
const MAX_SOURCES: usize = 512;
/// Largest sum of the figures of one peer, relative to the median of all, so that corrupted figures
/// change the shares little.
const MAX_RELATIVE_SUM: f64 = 4.0;
/// Largest factor on the usage of a team that asks for more than its share of a pool that lacks
/// capacity. Without it, the team would never count as beyond its share while the others get all
/// that they ask for, and by late figures would take from them.
const MAX_DEMAND_FACTOR: f64 = 1.1;
/// Smallest factor on the accepted wait: whatever a team used before, its request is sent to a pool
/// that would start it soon.
const MIN_WAIT_FACTOR: f64 = 0.25;
/// Relative error of sums of figures.
const ROUNDING: f64 = 1e-9;
/// Power of the excess by which the accepted wait of a team beyond its share is divided. More urgent
/// requests are sent first whatever their team is, so a team that has its share by these must get
/// next to nothing by the others.
const EXCESS_EXPONENT: i32 = 8;

/// Tokens of a team within the last seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Usage {
    /// Prompt and answer tokens of requests that were sent to endpoints.
    used: f64,
    /// The same of requests that arrived, by urgency band.
    asked: [f64; BANDS],
}

impl Usage {
    fn from_report(reported: ReportedUsage) -> Self {
        Self {
            used: f64::from(reported.used) * BLOCK_TOKENS,
            asked: reported
                .asked
                .map(|blocks| f64::from(blocks) * BLOCK_TOKENS),
        }
    }

    fn to_report(self) -> ReportedUsage {
        // Rounded; `as` limits what does not fit.
        let blocks = |tokens: f64| (tokens / BLOCK_TOKENS).round() as u32;
        ReportedUsage {
            used: blocks(self.used),
            asked: self.asked.map(blocks),
        }
    }

    fn add(&mut self, other: Self, factor: f64) {
        self.used += other.used * factor;
        for (asked, other) in self.asked.iter_mut().zip(other.asked) {
            *asked += other * factor;
        }
    }

    /// What the team asks for. Requests that are sent again or wait before they are sent count as
    /// usage when they no longer do as demand.
    fn demand(self) -> f64 {
        self.asked.iter().sum::<f64>().max(self.used)
    }
}

/// Usage of one team at this entry, as of a time.
#[derive(Debug, Clone, Copy)]
struct DecayingUsage {
    usage: Usage,
    at: Millis,
}

impl DecayingUsage {
    fn at(self, now: Millis) -> Usage {
        let half_lives = (now - self.at).0 as f64 / USAGE_HALF_LIFE.0 as f64;
        let left = (-half_lives).exp2();
        Usage {
            used: self.usage.used * left,
            asked: self.usage.asked.map(|asked| asked * left),
        }
    }
}

/// What a peer reported.
#[derive(Debug)]
struct PeerReport {
    at: Millis,
    report: UsageReport,
}

impl PeerReport {
    /// Sum of all figures, in tokens.
    fn sum(&self) -> f64 {
        let teams = self.report.teams.iter().map(|(_, usage)| *usage);
        let all = teams.chain([self.report.others]);
        all.map(|usage| Usage::from_report(usage).demand()).sum()
    }
}

/// Where a team stands in a pool that lacks capacity.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamStanding {
    /// What the team asks for over its share; 1 or less is within it.
    pub excess: f64,
    /// What was sent for the team over its share.
    pub relative_usage: f64,
}

/// Recent usage of one pool by teams, and their shares.
#[derive(Debug, Default)]
pub struct TeamShares {
    /// Number of teams in the configuration.
    team_count: usize,
    /// Usage at this entry.
    own: HashMap<NameDigest, DecayingUsage>,
    /// When teams without recent usage were last removed.
    pruned_at: Millis,
    /// Newest reports of peers.
    reports: HashMap<PeerId, PeerReport>,
    /// When a request of each band last found no capacity here. What peers see is no reason to
    /// refuse here: a corrupted report would refuse requests of a pool that has room.
    contention: [Option<Millis>; BANDS],
    shares: Option<(Millis, Shares)>,
}

impl TeamShares {
    /// Sets the number of teams in the configuration.
    pub fn set_team_count(&mut self, teams: usize) {
        self.team_count = teams;
    }

    /// Records that a request arrived that endpoints could run; `tokens` are those of its prompt
    /// and answer.
    pub fn record_arrival(&mut self, team: NameDigest, band: usize, tokens: u64, now: Millis) {
        let mut usage = Usage::default();
        usage.asked[band] = tokens as f64;
        self.add_own(team, usage, now);
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_sent(&mut self, team: NameDigest, tokens: u64, now: Millis) {
        self.add_used(team, tokens as f64, now);
    }

    /// Takes back what was recorded for a request that no endpoint ran after all.
    pub fn record_not_run(&mut self, team: NameDigest, tokens: u64, now: Millis) {
        self.add_used(team, -(tokens as f64), now);
    }

    /// Records that a request of a band found no capacity: it waits, or the admission would refuse
    /// it whatever its team is.
    pub fn record_contention(&mut self, band: usize, now: Millis) {
        self.contention[band] = Some(now);
    }

    /// Keeps a peer's report for [`REPORT_TTL`]. A malformed one is discarded.
    pub fn record_report(&mut self, from: PeerId, report: UsageReport, now: Millis) {
        self.reports.retain(|_, known| now < known.at + REPORT_TTL);
        let is_full = self.reports.len() >= MAX_SOURCES && !self.reports.contains_key(&from);
        if is_full || !report.is_valid() {
            return;
        }
        self.reports.insert(from, PeerReport { at: now, report });
    }

    /// What peers are told of this entry's usage; `None` if there was none lately.
    pub fn report(&mut self, pool: NameDigest, now: Millis) -> Option<UsageReport> {
        self.prune_own(now);
        let own = self.own.iter();
        let mut teams: Vec<_> = own.map(|(team, known)| (*team, known.at(now))).collect();
        teams.sort_by(|(_, a), (_, b)| b.demand().total_cmp(&a.demand()));
        let mut others = Usage::default();
        for (_, usage) in teams.iter().skip(MAX_REPORTED_TEAMS) {
            others.add(*usage, 1.0);
        }
        teams.truncate(MAX_REPORTED_TEAMS);
        (!teams.is_empty()).then(|| UsageReport {
            pool,
            teams: teams
                .into_iter()
                .map(|(team, usage)| (team, usage.to_report()))
                .collect(),
            others: others.to_report(),
        })
    }

    /// Whether requests of a band, or of more urgent ones, found no capacity lately.
    pub fn is_contended(&self, band: usize, now: Millis) -> bool {
        let is_recent = |at: &Option<Millis>| at.is_some_and(|at| now < at + CONTENTION_TIME);
        self.contention[..=band].iter().any(is_recent)
    }

    /// What a team asks for over its share; 1 or less is within it. Requests count from their
    /// arrival, so that those of a flood are behind the others before any of them is sent.
    pub fn excess(&mut self, team: NameDigest, now: Millis) -> f64 {
        self.shares(now).excess(team)
    }

    /// Factor on the accepted wait of a team's request, at most 1. It is less only for a team beyond
    /// its share, and only while this entry sees the pool overloaded (`overload` from 0 to 1) or
    /// requests found no capacity here lately.
    pub fn wait_factor(
        &mut self,
        team: NameDigest,
        band: usize,
        overload: f64,
        now: Millis,
    ) -> f64 {
        let is_contended = self.is_contended(band, now);
        if !is_contended && overload <= 0.0 {
            return 1.0;
        }
        let shares = self.shares(now);
        let excess = match is_contended {
            true => shares.relative_usage(team) * shares.excess(team).clamp(1.0, MAX_DEMAND_FACTOR),
            // Requests that are about to be sent are no lack of capacity.
            false => shares.relative_usage(team),
        };
        excess.max(1.0).powi(-EXCESS_EXPONENT).max(MIN_WAIT_FACTOR)
    }

    /// Where a team stands; `None` while requests of the band lack no capacity.
    pub fn standing(&mut self, team: NameDigest, band: usize, now: Millis) -> Option<TeamStanding> {
        self.is_contended(band, now).then(|| {
            let shares = self.shares(now);
            TeamStanding {
                excess: shares.excess(team),
                relative_usage: shares.relative_usage(team),
            }
        })
    }

    /// Fraction of a team's requests of a band to send where only a fraction of all of the band can
    /// be: the same number of tokens in total, divided by shares of what the band and more urgent
    /// ones ask for.
    pub fn sent_fraction(
        &mut self,
        team: NameDigest,
        band: usize,
        of_all: f64,
        now: Millis,
    ) -> f64 {
        self.shares(now).sent_fraction(team, band, of_all)
    }

    /// The teams beyond their shares, with their excess, the largest first.
    pub fn teams_beyond(&mut self, now: Millis) -> Vec<(NameDigest, f64)> {
        let shares = self.shares(now);
        let all = shares
            .teams
            .keys()
            .map(|team| (*team, shares.excess(*team)));
        let mut beyond: Vec<_> = all.filter(|(_, excess)| *excess > 1.0).collect();
        beyond.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        beyond
    }

    /// Removes the teams without recent usage.
    fn prune_own(&mut self, now: Millis) {
        self.pruned_at = now;
        self.own
            .retain(|_, known| known.at(now).demand() >= BLOCK_TOKENS / 2.0);
    }

    fn add_used(&mut self, team: NameDigest, used: f64, now: Millis) {
        let usage = Usage {
            used,
            ..Usage::default()
        };
        self.add_own(team, usage, now);
    }

    fn add_own(&mut self, team: NameDigest, usage: Usage, now: Millis) {
        if now >= self.pruned_at + USAGE_HALF_LIFE {
            self.prune_own(now);
        }
        let known = self.own.get(&team).map(|known| known.at(now));
        let mut sum = known.unwrap_or_default();
        sum.add(usage, 1.0);
        sum.used = sum.used.max(0.0);
        self.own.insert(
            team,
            DecayingUsage {
                usage: sum,
                at: now,
            },
        );
    }

    /// The shares, computed again if they are older than [`SHARES_TTL`].
    fn shares(&mut self, now: Millis) -> &Shares {
        let known = self.shares.take();
        let fresh = known.filter(|(at, _)| now < *at + SHARES_TTL);
        let computed = fresh.unwrap_or_else(|| (now, self.compute_shares(now)));
        &self.shares.insert(computed).1
    }

    fn compute_shares(&self, now: Millis) -> Shares {
        let mut teams: HashMap<NameDigest, Usage> = HashMap::new();
        for (team, known) in &self.own {
            teams.insert(*team, known.at(now));
        }
        let own_sum: f64 = teams.values().map(|usage| usage.demand()).sum();
        let reports = self.reports.values();
        let recent: Vec<_> = reports.filter(|r| now < r.at + REPORT_TTL).collect();
        let mut sums: Vec<f64> = recent.iter().map(|report| report.sum()).collect();
        sums.push(own_sum);
        sums.sort_by(f64::total_cmp);
        let max_sum = sums[(sums.len() - 1) / 2] * MAX_RELATIVE_SUM;
        let mut others = Usage::default();
        for known in recent {
            let factor = (max_sum / known.sum().max(1.0)).min(1.0);
            for (team, usage) in &known.report.teams {
                let sum = teams.entry(*team).or_default();
                sum.add(Usage::from_report(*usage), factor);
            }
            others.add(Usage::from_report(known.report.others), factor);
        }
        Shares::new(teams, others, self.team_count)
    }
}

/// What one of several equal teams asks for, in tokens.
#[derive(Debug, Clone, Copy)]
struct Demand {
    teams: f64,
    /// What it gets in any case, since it is more urgent.
    more_urgent: f64,
    /// What is divided by shares.
    divided: f64,
}

/// Shares computed from the usage at one time.
#[derive(Debug)]
struct Shares {
    teams: HashMap<NameDigest, Usage>,
    /// Usage of each team that peers did not name, and the number of such teams.
    unnamed: (Usage, f64),
    /// The largest share, in tokens: that of every team that asks for as much or more.
    level: f64,
}

impl Shares {
    /// Shares of `teams`. `others` is the usage of the teams that peers did not name, which are
    /// taken as equal.
    fn new(teams: HashMap<NameDigest, Usage>, others: Usage, team_count: usize) -> Self {
        let used = teams.values().map(|usage| usage.used).sum::<f64>() + others.used;
        let count = team_count.saturating_sub(teams.len()).max(1) as f64;
        let mut each = Usage::default();
        each.add(others, 1.0 / count);
        let mut shares = Self {
            teams,
            unnamed: (each, count),
            level: 0.0,
        };
        let demands = shares.demands(|usage| (0.0, usage.demand()));
        shares.level = level(&demands, used);
        shares
    }

    /// Demands of all teams, of which `parts` gives what is more urgent and what is divided.
    fn demands(&self, parts: impl Fn(&Usage) -> (f64, f64)) -> Vec<Demand> {
        let named = self.teams.values().map(|usage| (usage, 1.0));
        let all = named.chain([(&self.unnamed.0, self.unnamed.1)]);
        all.map(|(usage, teams)| {
            let (more_urgent, divided) = parts(usage);
            Demand {
                teams,
                more_urgent,
                divided,
            }
        })
        .collect()
    }

    fn usage(&self, team: NameDigest) -> Usage {
        self.teams.get(&team).copied().unwrap_or_default()
    }

    fn excess(&self, team: NameDigest) -> f64 {
        self.usage(team).demand() / self.level.max(1.0)
    }

    fn relative_usage(&self, team: NameDigest) -> f64 {
        self.usage(team).used / self.level.max(1.0)
    }

    fn sent_fraction(&self, team: NameDigest, band: usize, of_all: f64) -> f64 {
        let parts = |usage: &Usage| (usage.asked[..band].iter().sum(), usage.asked[band]);
        let (more_urgent, asked): (f64, f64) = parts(&self.usage(team));
        if of_all >= 1.0 || asked <= 0.0 {
            return 1.0;
        }
        let demands = self.demands(parts);
        let all: f64 = demands.iter().map(|d| d.divided * d.teams).sum();
        let share = level(&demands, all * of_all) - more_urgent;
        (share / asked).clamp(0.0, 1.0)
    }
}

/// The largest share, including what is more urgent, where `capacity` is divided; the largest
/// demand if there is enough for all.
fn level(demands: &[Demand], capacity: f64) -> f64 {
    // From the first step of a team to its second, its part grows with the level.
    let steps = |d: &Demand| {
        let end = d.more_urgent + d.divided;
        [(d.more_urgent, d.teams), (end, -d.teams)]
    };
    let mut steps: Vec<(f64, f64)> = demands.iter().flat_map(steps).collect();
    steps.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let (mut level, mut growing, mut divided) = (0.0, 0.0, 0.0);
    for (next, change) in steps {
        let up_to_next = divided + growing * (next - level);
        if up_to_next > capacity * (1.0 + ROUNDING) {
            return level + (capacity - divided) / growing;
        }
        (level, growing, divided) = (next, growing + change, up_to_next);
    }
    level
}
