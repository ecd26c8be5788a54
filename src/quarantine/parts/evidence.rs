//! How strongly ends speak against a part.

use std::collections::VecDeque;

use super::{
    PartEnd, ENDS_TO_REFUSE, ENDS_TO_REFUSE_ALWAYS, REQUESTS_TO_REFUSE, REQUESTS_TO_REFUSE_ALWAYS,
    TIMESTAMP_TOLERANCE,
};
use crate::clock::Millis;
use crate::quarantine::IncarnationDigest;

/// Time within which ends count as one, since they may have a common cause: a rack that fails, as
/// entries with little processor time see it.
const SAME_CAUSE: Millis = Millis(100);
/// Endpoints that end at the same time of which an entry tells.
const MAX_SIMULTANEOUS: usize = 4;
/// Maximum number of ended endpoints that are remembered, the newest ones.
const MAX_ENDED: usize = 128;
/// Probability up to which a part may be refused although its runs were lost by chance.
const MAX_CHANCE: f64 = 0.000_01;
/// Time in which the weight of a run in [`LossShare`] halves.
const HALF_LIFE: Millis = Millis(10_000);
/// Weight of the runs that are assumed before any is known: one lost of twenty.
const ASSUMED_RUNS: f64 = 20.0;

/// Endpoints that ended lately, under whichever parts.
#[derive(Debug, Default)]
pub(super) struct EndedEndpoints(VecDeque<(Millis, IncarnationDigest)>);

impl EndedEndpoints {
    pub(super) fn record(&mut self, end: &PartEnd) {
        if self.0.iter().any(|(_, endpoint)| *endpoint == end.endpoint) {
            return;
        }
        if self.0.len() == MAX_ENDED {
            self.0.pop_front();
        }
        self.0.push_back((end.ended, end.endpoint));
    }

    /// Whether so many endpoints ended at the same time as this one that one request can't be the
    /// cause.
    fn is_mass_end(&self, end: &PartEnd) -> bool {
        let is_near = |at: Millis| at + SAME_CAUSE > end.ended && end.ended + SAME_CAUSE > at;
        let near = self.0.iter().filter(|(at, _)| is_near(*at));
        near.count() >= MAX_SIMULTANEOUS
    }

    /// Number of ends that are independent of each other.
    pub(super) fn independent(&self, ends: &[&PartEnd], is_known_harmless: bool) -> usize {
        match is_known_harmless {
            true => self.consecutive(ends),
            false => spread(ends),
        }
    }

    /// Number of ends whose run had begun after the one counted before, except where many endpoints
    /// ended together. Parts that were harmless before are popular ones mostly, which run at all
    /// endpoints at any time.
    fn consecutive(&self, ends: &[&PartEnd]) -> usize {
        let mut counted = 0;
        let mut last = Millis(0);
        for end in ends {
            if !self.is_mass_end(end) && end.began + TIMESTAMP_TOLERANCE >= last {
                counted += 1;
                last = end.ended;
            }
        }
        counted
    }

    /// Whether the ends suffice to refuse a part, where `needed` independent ones would not be
    /// chance.
    pub(super) fn suffices(
        &self,
        ends: &[&PartEnd],
        is_known_harmless: bool,
        needed: usize,
    ) -> bool {
        let independent = self.independent(ends, is_known_harmless);
        let mut requests: Vec<u32> = ends.iter().map(|end| end.request).collect();
        requests.sort_unstable();
        requests.dedup();
        (independent >= needed && requests.len() >= REQUESTS_TO_REFUSE)
            || (independent >= ENDS_TO_REFUSE_ALWAYS && requests.len() >= REQUESTS_TO_REFUSE_ALWAYS)
    }
}

/// Number of ends at different times, [`SAME_CAUSE`] apart. Once there are [`ENDS_TO_REFUSE`], a
/// second one shortly after each counts as well, but none at the same moment: frequent requests end
/// all endpoints of a small pool one after the other within half a second.
fn spread(ends: &[&PartEnd]) -> usize {
    let mut times = 0;
    let mut second_ends = 0;
    let mut first = None;
    let mut has_second = false;
    for end in ends {
        if first.is_none_or(|first| end.ended >= first + SAME_CAUSE) {
            times += 1;
            first = Some(end.ended);
            has_second = false;
        } else if !has_second && first.is_some_and(|at| end.ended > at + TIMESTAMP_TOLERANCE) {
            second_ends += 1;
            has_second = true;
        }
    }
    match times >= ENDS_TO_REFUSE {
        true => times + second_ends,
        false => times,
    }
}

/// Whether two parts were at the same ends.
pub(super) fn is_same(one: &[&PartEnd], other: &[&PartEnd]) -> bool {
    let has = |ends: &[&PartEnd], end: &PartEnd| ends.iter().any(|e| e.endpoint == end.endpoint);
    one.len() == other.len() && one.iter().all(|end| has(other, end))
}

/// The endpoints of an entry's newest ends. Those that end at the same time say no more than one of
/// them, so only some are admitted.
#[derive(Debug, Default)]
pub(super) struct NewestEnds {
    since: Millis,
    endpoints: Vec<IncarnationDigest>,
}

impl NewestEnds {
    /// Whether an end counts: its endpoint is one of the first that ended at that time.
    pub(super) fn admit(&mut self, end: &PartEnd) -> bool {
        if end.ended >= self.since + SAME_CAUSE {
            self.since = end.ended;
            self.endpoints.clear();
        }
        let is_known = self.endpoints.contains(&end.endpoint);
        if !is_known && self.endpoints.len() < MAX_SIMULTANEOUS {
            self.endpoints.push(end.endpoint);
            return true;
        }
        is_known
    }
}

/// The share of runs that were lost with their endpoint lately.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LossShare {
    lost: f64,
    all: f64,
    at: Millis,
}

impl LossShare {
    pub(super) fn record(&mut self, is_lost: bool, now: Millis) {
        let faded = self.faded(now);
        *self = Self {
            lost: faded.lost + f64::from(u8::from(is_lost)),
            all: faded.all + 1.0,
            at: now,
        };
    }

    fn faded(self, now: Millis) -> Self {
        let half_lives = (now - self.at).0 as f64 / HALF_LIFE.0 as f64;
        let factor = 0.5_f64.powf(half_lives);
        Self {
            lost: self.lost * factor,
            all: self.all * factor,
            at: now,
        }
    }

    /// Independent ends in a row that would hardly be chance at this share.
    pub(super) fn ends_needed(self, now: Millis) -> usize {
        let faded = self.faded(now);
        let share = (faded.lost + 1.0) / (faded.all + ASSUMED_RUNS);
        let enough = |ends: &usize| share.powi(*ends as i32) <= MAX_CHANCE;
        let mut counts = ENDS_TO_REFUSE..ENDS_TO_REFUSE_ALWAYS;
        counts.find(enough).unwrap_or(ENDS_TO_REFUSE_ALWAYS)
    }
}
