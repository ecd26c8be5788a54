//! What a request does for the shares of teams, and what these do for its admission. Nothing in
//! pools that are not mixed, and without at least two teams.

use super::Job;
use crate::clock::Millis;
use crate::direct::admission::overload::EngineAdmission;
use crate::direct::admission::shares::{TeamShares, TeamStanding};
use crate::direct::decision::RefusalReason;
use crate::direct::peers::NameDigest;
use crate::direct::placement::choose::Choice;

impl Job<'_> {
    /// Counts the request once in what its team asks for. Requests that no endpoint may run don't
    /// count: they take no part of the pool.
    pub(super) fn count_team_arrival(&mut self) {
        if !self.is_arrival_counted {
            self.is_arrival_counted = true;
            let (band, tokens) = (self.band(), self.total_tokens());
            let now = self.entry.clock.now();
            self.team_shares(|shares, team| shares.record_arrival(team, band, tokens, now));
        }
    }

    /// Records that the request is sent.
    pub(super) fn record_team_usage(&self) {
        let (tokens, now) = (self.total_tokens(), self.entry.clock.now());
        self.team_shares(|shares, team| shares.record_sent(team, tokens, now));
    }

    /// Takes back what [`Self::record_team_usage`] recorded, since the endpoint did not run it.
    pub(super) fn take_back_team_usage(&self) {
        let (tokens, now) = (self.total_tokens(), self.entry.clock.now());
        self.team_shares(|shares, team| shares.record_not_run(team, tokens, now));
    }

    /// Records that the request found no capacity, whatever its team is.
    pub(super) fn record_team_contention(&self) {
        let (band, now) = (self.band(), self.entry.clock.now());
        self.team_shares(|shares, _| shares.record_contention(band, now));
    }

    /// What the request's team asks for over its share, by which waiting requests are ordered.
    pub(super) fn team_excess(&self) -> f64 {
        let now = self.entry.clock.now();
        self.entry
            .team_excess(&self.catalog, &self.pool, self.team_digest(), now)
    }

    /// Digest of the name of the request's team.
    pub(super) fn team_digest(&self) -> NameDigest {
        let team = self.allowed.team.map(|team| &self.catalog.teams[team.0]);
        NameDigest::of_team(team.map(|team| team.name.as_str()))
    }

    /// Whether the request is sent by the wait that is accepted of its team.
    pub(super) fn is_team_admitted(&self, outlook: &EngineAdmission) -> bool {
        if outlook.lacks_capacity(self.route().timeout) {
            self.record_team_contention();
        }
        let (band, now) = (self.band(), self.entry.clock.now());
        let factor = self
            .team_shares(|shares, team| shares.wait_factor(team, band, outlook.overload(), now));
        outlook.is_admitted_with(factor.unwrap_or(1.0))
    }

    /// Fraction of the team's requests to send where only a fraction of all can be.
    pub(super) fn team_fraction(&self, of_all: f64) -> f64 {
        let (band, now) = (self.band(), self.entry.clock.now());
        let fraction = self.team_shares(|shares, team| match shares.is_contended(band, now) {
            true => shares.sent_fraction(team, band, of_all, now),
            false => of_all,
        });
        fraction.unwrap_or(of_all)
    }

    /// The reason for a refusal for lack of capacity: the team's share, if the team asks for more.
    pub(super) fn team_refusal(&self, choice: &Choice, why: RefusalReason) -> RefusalReason {
        match self.team_standing() {
            Some(standing) if standing.excess > 1.0 => {
                self.share_refusal(Millis(choice.expected_ms as u64))
            }
            _ => why,
        }
    }

    /// The refusal of a request for the share of its team, where a start was expected after
    /// `expected`.
    pub(super) fn share_refusal(&self, expected: Millis) -> RefusalReason {
        let percent = |relative: f64| (relative * 100.0) as u32;
        let standing = self.team_standing();
        RefusalReason::TeamShare {
            used_percent: standing.map_or(100, |standing| percent(standing.relative_usage)),
            asked_percent: standing.map_or(100, |standing| percent(standing.excess)),
            expected_ms: expected.0,
        }
    }

    /// Where the team stands; `None` without shares, or while nothing lacks capacity.
    fn team_standing(&self) -> Option<TeamStanding> {
        let (band, now) = (self.band(), self.entry.clock.now());
        self.team_shares(|shares, team| shares.standing(team, band, now))?
    }

    fn team_shares<T>(&self, look: impl FnOnce(&mut TeamShares, NameDigest) -> T) -> Option<T> {
        let team = self.team_digest();
        let look = |shares: &mut TeamShares| look(shares, team);
        self.entry.team_shares(&self.catalog, &self.pool, look)
    }

    /// Tokens of the whole prompt and of the longest answer.
    fn total_tokens(&self) -> u64 {
        let parts = self.ask.parts.iter().map(|part| part.tokens);
        parts.sum::<u64>() + self.ask.output_tokens
    }
}
