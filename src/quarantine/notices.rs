//! The notices that a process sends to its peers, and for how long.

use std::collections::VecDeque;

use super::Notice;
use crate::clock::Millis;
use crate::fingerprint::Fingerprint;

/// Maximum number of notices that are kept, the newest ones.
const MAX_RECENT: usize = 256;
/// Consecutive ends from which on the notices of a request are sent first, and repeated for longer:
/// few innocent requests have that many.
const PRIORITY_ENDS: usize = 2;
/// Time for which priority notices are repeated: longer than most partitions between entries. A
/// peer that was away for longer is sent all refused requests.
const PRIORITY_REPEAT_TIME: Millis = Millis(6_000);

/// A notice and when it was learned.
#[derive(Debug, Clone, Copy)]
struct RecentNotice {
    learned: Millis,
    notice: Notice,
    is_priority: bool,
}

/// The newest notices; for one request, a newer notice of the same kind replaces the older one.
#[derive(Debug, Default)]
pub struct RecentNotices(VecDeque<RecentNotice>);

impl RecentNotices {
    /// Adds a notice about a request with `ends` consecutive ends.
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

    /// Removes all notices about a request that was cleared.
    pub(super) fn clear(&mut self, request: Fingerprint) {
        self.0.retain(|recent| recent.notice.request() != request);
    }

    /// At most `max` notices to be sent now, with ages as of `now`: those learned since `from`, and
    /// with `repeats` also older priority notices. Priority notices come first, then the newest.
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

/// Whether two notices report the same event, or events of the same kind of one request, whatever
/// their ages.
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
