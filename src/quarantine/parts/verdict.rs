//! The refusal of requests that hold a part, and the way back.

use super::{EndpointKind, PartEnd, PartId, PartNotice, TIMESTAMP_TOLERANCE};
use crate::clock::Millis;

/// Time for which a part is refused before one request with it is tried; it doubles with each trial.
const MIN_REFUSAL_TIME: Millis = Millis::from_secs(600);
/// Trials that the whole fleet makes. After them only endpoints of another kind, or the end of such
/// requests, lift the refusal.
const MAX_TRIALS: u8 = 2;
/// Time after which a verdict without a new end is dropped.
const RETENTION: Millis = Millis::from_secs(4 * 3_600);
/// Time after a trial's start in which no other one is made.
const TRIAL_TIME: Millis = Millis(10_000);
/// Advised delay while a trial runs, or another entry is to make it.
const RETRY_AFTER_TRIAL: Millis = Millis::from_secs(60);
/// Maximum number of kinds of endpoints in a verdict.
const MAX_KINDS: usize = 4;

/// Why requests with a part are refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Verdict {
    /// Time of the newest end.
    since: Millis,
    /// Another part that was at all of its ends: only requests with both are refused.
    with: Option<PartId>,
    /// Kinds of the endpoints that ended.
    kinds: Vec<EndpointKind>,
    /// Kinds of endpoints at which the part is harmless.
    harmless: Vec<EndpointKind>,
    ends: u8,
    trials: u8,
    /// When the last trial began.
    tried: Option<Millis>,
}

/// The refusal of a request that holds a part under which endpoints end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartRefusal {
    /// The part.
    pub part: PartId,
    /// Number of endpoints that ended, as far as the verdict tells.
    pub ends: usize,
    /// When the caller may come back.
    pub until: Millis,
    /// Whether one request may be tried now, by the entry whose turn it is.
    pub is_trial_due: bool,
    /// Kinds of endpoints at which the part is harmless.
    harmless: Vec<EndpointKind>,
}

impl PartRefusal {
    /// Whether the request may run at endpoints of a kind all the same.
    pub fn allows(&self, kind: EndpointKind) -> bool {
        self.harmless.contains(&kind)
    }
}

impl Verdict {
    pub(super) fn new(ends: &[&PartEnd], with: Option<PartId>) -> Self {
        let mut kinds: Vec<EndpointKind> = ends.iter().map(|end| end.kind).collect();
        kinds.sort_unstable();
        kinds.dedup();
        kinds.truncate(MAX_KINDS);
        let newest = ends.iter().map(|end| end.ended).max();
        Self {
            since: newest.unwrap_or_default(),
            with,
            kinds,
            harmless: Vec::new(),
            ends: u8::try_from(ends.len()).unwrap_or(u8::MAX),
            trials: 0,
            tried: None,
        }
    }

    /// The verdict that a notice tells; `None` for another notice, and for one without kinds.
    pub(super) fn of_notice(notice: &PartNotice, now: Millis) -> Option<Self> {
        let PartNotice::Refused {
            with,
            kinds,
            ends,
            trials,
            since,
            ..
        } = notice
        else {
            return None;
        };
        let verdict = Self {
            since: now - Millis(u64::from(*since)),
            with: *with,
            kinds: kinds.iter().take(MAX_KINDS).copied().collect(),
            harmless: Vec::new(),
            ends: *ends,
            trials: *trials,
            tried: None,
        };
        (!verdict.kinds.is_empty()).then_some(verdict)
    }

    pub(super) fn notice(&self, part: PartId, now: Millis) -> PartNotice {
        PartNotice::Refused {
            part,
            with: self.with,
            kinds: self.kinds.clone(),
            ends: self.ends,
            trials: self.trials,
            since: (now - self.since).as_u32(),
        }
    }

    pub(super) fn since(&self) -> Millis {
        self.since
    }

    pub(super) fn with(&self) -> Option<PartId> {
        self.with
    }

    /// Records that a run with the part wrote at a kind of endpoint; false if that is known or from
    /// before the verdict.
    pub(super) fn record_harmless(&mut self, kind: EndpointKind, at: Millis) -> bool {
        if at <= self.since || self.harmless.contains(&kind) {
            return false;
        }
        self.kinds.retain(|known| *known != kind);
        self.harmless.push(kind);
        true
    }

    /// Whether the part is harmless at all kinds of endpoints that ended.
    pub(super) fn is_cleared(&self) -> bool {
        self.kinds.is_empty()
    }

    /// Records a further end; false if it is not newer.
    pub(super) fn record_end(&mut self, end: &PartEnd) -> bool {
        if end.ended <= self.since {
            return false;
        }
        let was_trial = self
            .tried
            .is_some_and(|at| end.began >= at && at > self.since);
        self.since = end.ended;
        self.ends = self.ends.saturating_add(1);
        self.trials += u8::from(was_trial);
        self.harmless.retain(|kind| *kind != end.kind);
        if !self.kinds.contains(&end.kind) && self.kinds.len() < MAX_KINDS {
            self.kinds.push(end.kind);
        }
        true
    }

    /// Takes over what another entry knows; false if it tells nothing new.
    pub(super) fn merge(&mut self, other: &Self) -> bool {
        let drops_condition = self.with.is_some() && other.with.is_none();
        let is_newer = other.since > self.since + TIMESTAMP_TOLERANCE || other.trials > self.trials;
        if drops_condition {
            self.with = None;
        }
        if is_newer {
            self.since = other.since.max(self.since);
            self.ends = other.ends.max(self.ends);
            self.trials = other.trials.max(self.trials);
        }
        drops_condition || is_newer
    }

    /// Records the start of a trial; false if it is known.
    pub(super) fn record_trial(&mut self, at: Millis) -> bool {
        if self
            .tried
            .is_some_and(|known| known + TIMESTAMP_TOLERANCE >= at)
        {
            return false;
        }
        self.tried = Some(at);
        true
    }

    /// When one request with the part is tried; `None` if none is any more.
    fn trial_at(&self) -> Option<Millis> {
        let wait = Millis(MIN_REFUSAL_TIME.0 << self.trials.min(MAX_TRIALS));
        (self.trials < MAX_TRIALS).then(|| self.since + wait)
    }

    /// The refusal of a request with these parts; `None` where the verdict does not hold for it.
    pub(super) fn refusal(
        &self,
        part: PartId,
        parts: &[PartId],
        now: Millis,
    ) -> Option<PartRefusal> {
        if self.with.is_some_and(|with| !parts.contains(&with)) {
            return None;
        }
        let trial_at = self.trial_at().unwrap_or(self.since + RETENTION);
        let is_over = now >= trial_at;
        let runs = self.tried.is_some_and(|at| now < at + TRIAL_TIME);
        Some(PartRefusal {
            part,
            ends: usize::from(self.ends),
            until: if is_over {
                now + RETRY_AFTER_TRIAL
            } else {
                trial_at
            },
            is_trial_due: is_over && !runs,
            harmless: self.harmless.clone(),
        })
    }

    pub(super) fn is_expired(&self, now: Millis) -> bool {
        now >= self.since + RETENTION
    }
}
