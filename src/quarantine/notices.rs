//! What is told to other entries of requests under suspicion, and for how long.

use std::collections::VecDeque;

use super::Notice;
use crate::clock::Millis;
use crate::fingerprint::Fingerprint;

/// Notices that are remembered, the newest ones.
const MAX_RECENT: usize = 256;
/// Ends in a row from which on the notices of a request are told first, and again for longer: few innocent requests get
/// there.
const PRIORITY_ENDS: usize = 2;
/// Time for which those are told: longer than most cuts between entries, after which a peer that was lost for
/// longer is told all that is refused.
const PRIORITY_REPEAT_TIME: Millis = Millis(6_000);

/// One notice and when it was learned.
#[derive(Debug, Clone, Copy)]
struct RecentNotice {
    learned: Millis,
    notice: Notice,
    is_priority: bool,
}

/// The newest notices, one of a kind and request.
#[derive(Debug, Default)]
pub struct RecentNotices(VecDeque<RecentNotice>);

impl RecentNotices {
    /// Something was learned of a request with so many ends in a row.
    pub(super) fn add(&mut self, notice: Notice, ends: usize, now: Millis) {
        self.0
            .retain(|recent| !is_same_event(&recent.notice, &notice));
        if self.0.len() == MAX_RECENT {
            self.0.pop_front();
        }
        self.0.push_back(RecentNotice {
            learned: now,
            notice,
            is_priority: ends >= PRIORITY_ENDS,
        });
    }

    /// A request was cleared: what spoke against it is told no more.
    pub(super) fn clear(&mut self, request: Fingerprint) {
        self.0.retain(|recent| recent.notice.request() != request);
    }

    /// At most `max` of those to be told now: learned since `from`, and with `repeats` the alarming ones of longer ago;
    /// ages as of `now`.
    pub fn since(&self, from: Millis, repeats: bool, max: usize, now: Millis) -> Vec<Notice> {
        let is_repeated = |recent: &RecentNotice| {
            repeats && recent.is_priority && recent.learned + PRIORITY_REPEAT_TIME >= now
        };
        let is_due = |recent: &&RecentNotice| recent.learned >= from || is_repeated(recent);
        let newest = || self.0.iter().rev().filter(is_due);
        let priority = newest().filter(|recent| recent.is_priority);
        let others = newest().filter(|recent| !recent.is_priority);
        let due = priority.chain(others).take(max);
        due.map(|recent| recent.notice.aged_by(now - recent.learned))
            .collect()
    }
}

/// Whether two notices tell the same of one request, whatever their ages.
fn is_same_event(one: &Notice, other: &Notice) -> bool {
    if one.request() != other.request() {
        return false;
    }
    match (one, other) {
        (Notice::Ended { endpoint: a, .. }, Notice::Ended { endpoint: b, .. }) => a == b,
        (Notice::Began { .. }, Notice::Began { .. }) => true,
        (Notice::Refused { .. }, Notice::Refused { .. }) => true,
        (Notice::Finished { .. }, Notice::Finished { .. }) => true,
        _ => false,
    }
}
