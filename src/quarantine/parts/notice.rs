//! The messages that processes send each other about parts of prompts.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{EndpointKind, PartEnd, PartId};
use crate::clock::Millis;
use crate::quarantine::IncarnationDigest;

/// Maximum number of notices that are kept, the newest ones.
const MAX_RECENT: usize = 64;

/// One report about one part. Times are ages in ms at sending.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartNotice {
    /// An endpoint ended that was about to answer a request with the part; for the part's judges.
    Ended {
        /// The part.
        part: PartId,
        /// The endpoint's incarnation.
        endpoint: IncarnationDigest,
        /// Its kind.
        kind: EndpointKind,
        /// Digest of the request.
        request: u32,
        /// Time since the run was sent.
        began: u32,
        /// Time since the run was lost.
        ended: u32,
    },
    /// A judge asks all entries whether runs with the part wrote.
    Asked {
        /// The part.
        part: PartId,
        /// Time since the part's newest end.
        since: u32,
    },
    /// A run with the part wrote.
    Harmless {
        /// The part.
        part: PartId,
        /// Kind of the endpoint.
        kind: EndpointKind,
        /// Time since then.
        at: u32,
    },
    /// Requests with the part are refused.
    Refused {
        /// The part.
        part: PartId,
        /// Another part that was at all ends: only requests with both are refused.
        with: Option<PartId>,
        /// Kinds of the endpoints that ended.
        kinds: Vec<EndpointKind>,
        /// Number of ends.
        ends: u8,
        /// Number of trials that ended an endpoint.
        trials: u8,
        /// Time since the newest end.
        since: u32,
    },
    /// A request with a refused part is tried.
    Tried {
        /// The part.
        part: PartId,
        /// Time since the trial began.
        at: u32,
    },
}

impl PartNotice {
    pub(super) fn for_end(part: PartId, end: &PartEnd, now: Millis) -> Self {
        Self::Ended {
            part,
            endpoint: end.endpoint,
            kind: end.kind,
            request: end.request,
            began: (now - end.began).as_u32(),
            ended: (now - end.ended).as_u32(),
        }
    }

    pub(super) fn for_harmless(part: PartId, kind: EndpointKind, at: Millis, now: Millis) -> Self {
        let at = (now - at).as_u32();
        Self::Harmless { part, kind, at }
    }

    pub(super) fn question(part: PartId, since: Millis, now: Millis) -> Self {
        let since = (now - since).as_u32();
        Self::Asked { part, since }
    }

    pub(super) fn trial(part: PartId, at: Millis, now: Millis) -> Self {
        let at = (now - at).as_u32();
        Self::Tried { part, at }
    }

    /// The part that it is about.
    pub const fn part(&self) -> PartId {
        match self {
            Self::Ended { part, .. }
            | Self::Asked { part, .. }
            | Self::Harmless { part, .. }
            | Self::Refused { part, .. }
            | Self::Tried { part, .. } => *part,
        }
    }

    /// The end that it reports, with times as of `now`; `None` for another notice.
    pub(super) fn end(&self, now: Millis) -> Option<PartEnd> {
        let Self::Ended {
            endpoint,
            kind,
            request,
            began,
            ended,
            ..
        } = *self
        else {
            return None;
        };
        Some(PartEnd {
            endpoint,
            kind,
            request,
            began: now - Millis(u64::from(began)),
            ended: now - Millis(u64::from(ended)),
        })
    }

    /// The notice with its ages increased by `time`.
    fn aged_by(&self, time: Millis) -> Self {
        let mut aged = self.clone();
        let add_time = |age: &mut u32| *age = age.saturating_add(time.as_u32());
        match &mut aged {
            Self::Ended { began, ended, .. } => {
                add_time(began);
                add_time(ended);
            }
            Self::Asked { since, .. } | Self::Refused { since, .. } => add_time(since),
            Self::Harmless { at, .. } | Self::Tried { at, .. } => add_time(at),
        }
        aged
    }

    /// Whether it tells the same of the same part as another one, whatever their ages.
    fn replaces(&self, other: &Self) -> bool {
        let is_same_kind = match (self, other) {
            (Self::Harmless { kind: a, .. }, Self::Harmless { kind: b, .. }) => a == b,
            _ => std::mem::discriminant(self) == std::mem::discriminant(other),
        };
        is_same_kind && self.part() == other.part()
    }
}

/// The newest notices that are told to all, and when each was learned.
#[derive(Debug, Default)]
pub(super) struct RecentPartNotices(VecDeque<(Millis, PartNotice)>);

impl RecentPartNotices {
    pub(super) fn add(&mut self, notice: PartNotice, now: Millis) {
        self.0.retain(|(_, known)| !notice.replaces(known));
        if self.0.len() == MAX_RECENT {
            self.0.pop_front();
        }
        self.0.push_back((now, notice));
    }

    /// Those learned since `from`, with ages as of `now`: verdicts first, then the newest.
    pub(super) fn since(&self, from: Millis, now: Millis) -> Vec<PartNotice> {
        let newest = || self.0.iter().rev().filter(|(learned, _)| *learned >= from);
        let is_verdict = |notice: &PartNotice| matches!(notice, PartNotice::Refused { .. });
        let verdicts = newest().filter(|(_, notice)| is_verdict(notice));
        let others = newest().filter(|(_, notice)| !is_verdict(notice));
        let all = verdicts.chain(others);
        all.map(|(learned, notice)| notice.aged_by(now - *learned))
            .collect()
    }
}
