//! Shares of teams in mixed pools: what entries tell each other of usage, and where teams stand.

use std::net::SocketAddr;

use super::Entry;
use crate::clock::Millis;
use crate::direct::admission::shares::TeamShares;
use crate::direct::admission::waiting::WaitingQueue;
use crate::direct::catalog::{Catalog, Pool};
use crate::direct::decision::Decision;
use crate::direct::known::load::BANDS;
use crate::direct::peers::{self, NameDigest, PeerId, SharedKind, UsageReport};

/// Fraction of the peers of a gossip round that are sent a usage report while a pool lacks capacity.
/// That takes 1.8 KB/s at most, at nine peers in 150 ms and 300 bytes a report.
const REPORTED_FRACTION: f64 = 0.1;
/// The same while none does.
const CALM_REPORTED_FRACTION: f64 = 0.03;

impl Entry {
    /// Calls `look` with the shares of teams in a pool; `None` where there are none, since the pool
    /// is not mixed or the configuration has fewer than two teams.
    pub fn team_shares<T>(
        &self,
        catalog: &Catalog,
        pool: &str,
        look: impl FnOnce(&mut TeamShares) -> T,
    ) -> Option<T> {
        if catalog.teams.len() < 2 || !catalog.is_mixed(pool) {
            return None;
        }
        let mut all = self.team_shares.borrow_mut();
        if !all.contains_key(pool) {
            all.insert(pool.to_owned(), TeamShares::default());
        }
        let shares = all.get_mut(pool)?;
        shares.set_team_count(catalog.teams.len());
        Some(look(shares))
    }

    /// What a team asks for over its share of a pool; 1 where there are no shares. It applies only
    /// while requests wait or are refused for lack of capacity; whoever holds a waiting request
    /// reports it by [`Entry::record_team_wait`].
    pub fn team_excess(&self, catalog: &Catalog, pool: &str, team: NameDigest, now: Millis) -> f64 {
        let excess = self.team_shares(catalog, pool, |shares| shares.excess(team, now));
        excess.unwrap_or(1.0)
    }

    /// Sets the excess of waiting requests by what their teams ask for now.
    pub(super) fn refresh_team_excess(&self, pool: &str, queue: &mut WaitingQueue, now: Millis) {
        if let Some(catalog) = self.catalog() {
            queue.refresh_excess(|team| self.team_excess(&catalog, pool, team, now));
        }
    }

    /// Records that a request of a band waits for capacity of a pool.
    pub fn record_team_wait(&self, pool: &str, band: usize, now: Millis) {
        if let Some(catalog) = self.catalog() {
            self.team_shares(&catalog, pool, |shares| shares.record_contention(band, now));
        }
    }

    /// Sends a peer the recent usage of each mixed pool by teams, if the peer is among the randomly
    /// drawn ones of the round.
    pub(super) fn send_team_usage(&self, to: SocketAddr) {
        let Some(catalog) = self.catalog() else {
            return;
        };
        let now = self.clock.now();
        for pool in catalog.pools.iter().filter(|pool| pool.engine.is_some()) {
            let report = self.team_shares(&catalog, &pool.name, |shares| {
                let fraction = match shares.is_contended(BANDS - 1, now) {
                    true => REPORTED_FRACTION,
                    false => CALM_REPORTED_FRACTION,
                };
                let is_drawn = rand::random::<f64>() < fraction;
                is_drawn.then(|| shares.report(NameDigest::of(&pool.name), now))?
            });
            if let Some(report) = report.flatten() {
                self.send_shared(to, SharedKind::TeamUsage, &report);
            }
        }
    }

    /// Handles a peer's report of usage.
    pub(super) fn handle_team_usage(&self, from: PeerId, payload: &[u8]) {
        let Some(report) = peers::decode_shared::<UsageReport>(payload) else {
            tracing::debug!("malformed usage report of a peer");
            return;
        };
        let Some(catalog) = self.catalog().filter(|_| from != self.id) else {
            return;
        };
        let is_reported = |name: &str| NameDigest::of(name) == report.pool;
        let pool = catalog.pools.iter().find(|pool| is_reported(&pool.name));
        if let Some(pool) = pool {
            let now = self.clock.now();
            self.team_shares(&catalog, &pool.name, |shares| {
                shares.record_report(from, report, now);
            });
        }
    }

    /// Updates the gauges of shares, and logs teams that are beyond theirs.
    pub(super) fn update_team_metrics(&self, now: Millis) {
        let Some(catalog) = self.catalog() else {
            return;
        };
        let has_shares = |pool: &Pool| self.team_shares(&catalog, &pool.name, |_| ()).is_some();
        if !catalog.pools.iter().any(has_shares) {
            return;
        }
        let (mut pools_contended, mut teams_beyond) = (0, 0);
        for pool in &catalog.pools {
            let beyond = self.team_shares(&catalog, &pool.name, |shares| {
                let is_contended = shares.is_contended(BANDS - 1, now);
                is_contended.then(|| shares.teams_beyond(now))
            });
            let Some(beyond) = beyond.flatten() else {
                continue;
            };
            pools_contended += 1;
            teams_beyond += beyond.len() as u64;
            if let Some((team, excess)) = beyond.first() {
                let team = catalog
                    .teams
                    .iter()
                    .find(|known| NameDigest::of(&known.name) == *team);
                self.log.state_change(Decision::TeamsBeyondShare {
                    pool: pool.name.clone(),
                    teams: beyond.len(),
                    team: team.map_or_else(String::new, |team| team.name.clone()),
                    asked_percent: (excess * 100.0) as u32,
                });
            }
        }
        self.metrics.set("pools_contended", pools_contended);
        self.metrics.set("teams_beyond_share", teams_beyond);
    }
}
