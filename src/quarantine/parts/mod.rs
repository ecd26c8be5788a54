//! Detects parts of prompts under which endpoints crash, and refuses requests that hold one.
//!
//! Requests that share such a part may be alike in nothing else, so no request crashes a second
//! endpoint. What an endpoint was about to answer when it ended is counted for each part that other
//! requests may hold. A part is refused once endpoints ended several times under different requests
//! with it and none of these has begun to write an answer: a run that writes for a while, or ends
//! well, shows that its parts are harmless at endpoints of that kind.
//!
//! Each end is reported to a few entries of the fleet, the judges, which see which parts were at
//! which ends. Before they refuse a part they ask all entries whether it has been written for
//! elsewhere. A verdict is told to all.
//! What entries tell each other ([`PartNotice`]) is a set, as for single requests.

mod evidence;
mod history;
mod notice;
mod verdict;

use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use self::evidence::{EndedEndpoints, LossShare, NewestEnds};
use self::history::PartHistory;
pub use self::notice::PartNotice;
use self::notice::RecentPartNotices;
pub use self::verdict::PartRefusal;
use self::verdict::Verdict;
use super::IncarnationDigest;
use crate::clock::Millis;
use crate::fingerprint::Fingerprint;

/// Independent ends from which on a part may be refused.
const ENDS_TO_REFUSE: usize = 3;
/// Independent ends from which on it is refused, however many runs are lost for other reasons.
const ENDS_TO_REFUSE_ALWAYS: usize = 6;
/// Different requests among these ends from which on it may be refused: with fewer, the requests
/// themselves are the suspects.
const REQUESTS_TO_REFUSE: usize = 3;
/// The same, once a part has [`ENDS_TO_REFUSE_ALWAYS`] ends.
const REQUESTS_TO_REFUSE_ALWAYS: usize = 2;
/// Minimum time between two questions to all entries whether a part is harmless.
const QUESTION_INTERVAL: Millis = Millis(1_000);
/// Time between the moment from which a part could be refused and its evaluation: all entries of a
/// large fleet are asked, and have answered.
const EVALUATION_DELAY: Millis = Millis(800);
/// Time after an end in which a run with the same part may still clear it, before judges are told.
const REPORT_DELAY: Millis = Millis(250);
/// Time for which an endpoint has to write an answer to show that its parts are harmless; one that
/// crashes does so within some steps.
pub const HARMLESS_AFTER: Millis = Millis(300);
/// How far the times that two processes report for one event may differ.
const TIMESTAMP_TOLERANCE: Millis = Millis(20);
/// Time for which entries answer a question.
const QUESTION_TIME: Millis = Millis(10_000);
/// Time for which an end counts.
const RETENTION: Millis = Millis::from_secs(600);
/// Maximum number of parts with ends; the ones with the fewest ends are dropped first.
const MAX_HISTORIES: usize = 1_024;
/// Maximum number of parts that are known to be harmless at a kind of endpoint.
const MAX_HARMLESS: usize = 4_096;
/// Maximum number of verdicts: what forged notices can refuse is bounded.
const MAX_VERDICTS: usize = 64;
/// Maximum number of notices in one message.
pub const MAX_PART_NOTICES: usize = 24;

/// Identifier of the text of a part of a prompt; the same in all requests that hold the part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartId(pub u64);

/// The parts of a prompt that other requests may hold as well, in order.
pub type SharedParts = Rc<[PartId]>;

/// Digest of what endpoints have in common that may matter to a part: pool and software version.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct EndpointKind(pub u32);

/// The end of an endpoint that was about to answer a request with a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartEnd {
    /// The endpoint's incarnation.
    pub endpoint: IncarnationDigest,
    /// Its kind.
    pub kind: EndpointKind,
    /// Digest of the request.
    pub request: u32,
    /// When the run was sent to the endpoint.
    pub began: Millis,
    /// When the run was lost.
    pub ended: Millis,
}

impl PartEnd {
    /// The digest of a request among the ends of a part.
    pub const fn request_digest(request: Fingerprint) -> u32 {
        (request.0 >> 32) as u32
    }
}

/// What an observation or a notice changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartChange {
    /// Nothing that others need to know at once.
    None,
    /// Something that is told to all, between two rounds.
    Told,
    /// A part is refused from now on.
    Refused,
    /// A refused part was shown to be harmless.
    Cleared,
    /// The judges are to be told this.
    ForJudges(PartNotice),
}

/// A judge's question whether a part is harmless.
#[derive(Debug, Clone, Copy)]
struct Question {
    /// Time of the part's newest end: a run has to have written after it.
    since: Millis,
    /// Until when it is answered.
    until: Millis,
    is_answered: bool,
}

/// All parts of prompts under which endpoints ended, as far as this process knows.
#[derive(Debug, Default)]
pub struct PartQuarantine {
    /// Ends reported to this process, as a judge.
    histories: HashMap<PartId, PartHistory>,
    /// When a run with a part last wrote at a kind of endpoint, as far as known.
    harmless: HashMap<(PartId, EndpointKind), Millis>,
    verdicts: HashMap<PartId, Verdict>,
    /// Own ends that the judges are still to be told.
    unreported: Vec<(PartId, PartEnd)>,
    /// The endpoints of the newest own ends.
    newest_ends: NewestEnds,
    /// Endpoints that ended lately, under any part.
    ended: EndedEndpoints,
    questions: HashMap<PartId, Question>,
    recent: RecentPartNotices,
    losses: LossShare,
}

impl PartQuarantine {
    /// Records an end that this process saw.
    pub fn record_end(&mut self, part: PartId, end: PartEnd) {
        let is_known = |(p, e): &(PartId, PartEnd)| *p == part && e.endpoint == end.endpoint;
        if self.newest_ends.admit(&end) && !self.unreported.iter().any(is_known) {
            self.unreported.push((part, end));
        }
    }

    /// Counts a run of this process that reached the end of its prompt, or was lost with its
    /// endpoint.
    pub fn record_run(&mut self, is_lost: bool, now: Millis) {
        self.losses.record(is_lost, now);
    }

    /// The own ends that the judges are to be told now: those that no run with the part has cleared.
    pub fn due_reports(&mut self, now: Millis) -> Vec<PartNotice> {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unreported)
            .into_iter()
            .partition(|(_, end)| now >= end.ended + REPORT_DELAY);
        self.unreported = later;
        due.into_iter()
            .filter(|(part, end)| !self.is_cleared(*part, end))
            .map(|(part, end)| PartNotice::for_end(part, &end, now))
            .collect()
    }

    /// Records that an endpoint wrote for a request with a part at `at`.
    pub fn record_harmless(
        &mut self,
        part: PartId,
        kind: EndpointKind,
        at: Millis,
        now: Millis,
    ) -> PartChange {
        self.note_harmless(part, kind, at);
        let notice = PartNotice::for_harmless(part, kind, at, now);
        if let Some(verdict) = self.verdicts.get_mut(&part) {
            if verdict.record_harmless(kind, at) {
                if verdict.is_cleared() {
                    self.verdicts.remove(&part);
                }
                self.recent.add(notice, now);
                return PartChange::Cleared;
            }
            return PartChange::None;
        }
        let question = self.questions.get_mut(&part);
        let open = question.filter(|question| !question.is_answered && now < question.until);
        match open {
            Some(question) if at > question.since => {
                question.is_answered = true;
                PartChange::ForJudges(notice)
            }
            _ => PartChange::None,
        }
    }

    fn note_harmless(&mut self, part: PartId, kind: EndpointKind, at: Millis) {
        if self.harmless.len() >= MAX_HARMLESS {
            self.drop_older_half();
        }
        let known = self.harmless.entry((part, kind)).or_default();
        *known = at.max(*known);
        if let Some(history) = self.histories.get_mut(&part) {
            // Of a part that was harmless at a kind of endpoint before, a run anywhere clears the
            // ends there: it need not be one of the few endpoints of that kind.
            history.clear(at, |end| {
                end.kind == kind || self.harmless.contains_key(&(part, end.kind))
            });
            if history.is_empty() {
                self.histories.remove(&part);
            }
        }
    }

    /// Drops the older half of what is known to be harmless.
    fn drop_older_half(&mut self) {
        let mut times: Vec<Millis> = self.harmless.values().copied().collect();
        let middle = times.len() / 2;
        let (_, middle, _) = times.select_nth_unstable(middle);
        let middle = *middle;
        self.harmless.retain(|_, at| *at > middle);
    }

    /// Whether a run with a part has cleared an end since.
    fn is_cleared(&self, part: PartId, end: &PartEnd) -> bool {
        let known = self.harmless.get(&(part, end.kind));
        known.is_some_and(|at| *at > end.ended || self.is_harmless_since(part, end.ended))
    }

    /// Applies a peer's notice, or an own end where this process is a judge.
    pub fn apply(&mut self, notice: &PartNotice, now: Millis) -> PartChange {
        let at = |age: u32| now - Millis(u64::from(age));
        match notice {
            PartNotice::Ended { part, .. } => match notice.end(now) {
                Some(end) => self.apply_end(*part, end, now),
                None => PartChange::None,
            },
            PartNotice::Asked { part, since } => self.apply_question(*part, at(*since), now),
            PartNotice::Harmless {
                part,
                kind,
                at: age,
            } => {
                match self.record_harmless(*part, *kind, at(*age), now) {
                    // An answer to the question of a judge: it is not passed on.
                    PartChange::ForJudges(_) => PartChange::None,
                    change => change,
                }
            }
            PartNotice::Refused { part, .. } => self.apply_verdict(*part, notice, now),
            PartNotice::Tried { part, at: age } => self.apply_trial(*part, at(*age), now),
        }
    }

    fn apply_end(&mut self, part: PartId, end: PartEnd, now: Millis) -> PartChange {
        if self.is_cleared(part, &end) {
            return PartChange::None;
        }
        if let Some(verdict) = self.verdicts.get_mut(&part) {
            if verdict.record_end(&end) {
                self.recent.add(verdict.notice(part, now), now);
            }
        }
        self.make_room();
        self.ended.record(&end);
        let is_new = self.histories.entry(part).or_default().add(end);
        if !is_new || self.verdicts.contains_key(&part) {
            return PartChange::None;
        }
        let is_known_harmless = self.is_known_harmless(part);
        let Some(history) = self.histories.get_mut(&part) else {
            return PartChange::None;
        };
        let ends: Vec<&PartEnd> = history.ends().collect();
        if self.ended.independent(&ends, is_known_harmless) < ENDS_TO_REFUSE {
            return PartChange::None;
        }
        history.evaluate_at.get_or_insert(now + EVALUATION_DELAY);
        let newest = history.newest().unwrap_or(now);
        if history
            .asked_at
            .is_some_and(|at| now < at + QUESTION_INTERVAL)
        {
            return PartChange::None;
        }
        history.asked_at = Some(now);
        self.recent
            .add(PartNotice::question(part, newest, now), now);
        PartChange::Told
    }

    fn apply_question(&mut self, part: PartId, since: Millis, now: Millis) -> PartChange {
        let known = self.questions.get(&part);
        if known.is_some_and(|known| known.since + TIMESTAMP_TOLERANCE >= since) {
            return PartChange::None;
        }
        if self.questions.len() >= MAX_HISTORIES {
            return PartChange::None;
        }
        let question = Question {
            since,
            until: now + QUESTION_TIME,
            is_answered: self.is_harmless_since(part, since),
        };
        self.questions.insert(part, question);
        self.recent.add(PartNotice::question(part, since, now), now);
        PartChange::Told
    }

    /// Whether a run with a part wrote after a time.
    fn is_harmless_since(&self, part: PartId, since: Millis) -> bool {
        let mut known = self.harmless.iter();
        known.any(|((p, _), at)| *p == part && *at > since)
    }

    /// The answers to a question that this process can give now: when runs with the part last wrote.
    pub fn answers(&self, part: PartId, now: Millis) -> Vec<PartNotice> {
        let known = self.harmless.iter().filter(|((p, _), _)| *p == part);
        known
            .map(|((_, kind), at)| PartNotice::for_harmless(part, *kind, *at, now))
            .collect()
    }

    /// Evaluates the parts that are due, and returns those that are refused from now on.
    ///
    /// The part with the most unexplained ends comes first, one that no run has ever written for
    /// before one that is known from earlier. Its ends no longer count against other parts.
    pub fn evaluate(&mut self, now: Millis) -> Vec<PartId> {
        self.expire(now);
        self.settle_conditions(now);
        let mut refused = Vec::new();
        let is_due = |history: &PartHistory| history.evaluate_at.is_some_and(|at| now >= at);
        for _ in 0..MAX_VERDICTS {
            if !self.histories.values().any(is_due) {
                break;
            }
            let Some(first) = self.first_suspect(now) else {
                break;
            };
            let history = &self.histories[&first];
            if history.evaluate_at.is_some_and(|at| now < at) {
                break;
            }
            self.refuse(first, now);
            refused.push(first);
        }
        for history in self
            .histories
            .values_mut()
            .filter(|history| is_due(history))
        {
            history.evaluate_at = None;
        }
        refused
    }

    /// Where two parts that always came together have been at different ends since, refuses the one
    /// that was without the other by itself.
    fn settle_conditions(&mut self, now: Millis) {
        let conditional = self.verdicts.iter();
        let conditional = conditional.filter_map(|(part, verdict)| Some((*part, verdict.with()?)));
        let pairs: Vec<(PartId, PartId)> = conditional.collect();
        for (part, with) in pairs {
            let verdict = self.verdicts.get(&with);
            let is_settled = verdict.is_some_and(|verdict| verdict.with().is_none());
            if self.was_without(part, with, now) {
                self.refuse_alone(part, now);
            } else if !is_settled && self.was_without(with, part, now) {
                self.refuse_alone(with, now);
            }
        }
    }

    /// Whether a part was at an end at which another one was not; reports of the other have arrived.
    fn was_without(&self, part: PartId, other: PartId, now: Millis) -> bool {
        let other = self.histories.get(&other);
        let ends = self.histories.get(&part).into_iter();
        let mut ends = ends.flat_map(|history| history.ends());
        ends.any(|end| {
            let is_settled = end.ended + EVALUATION_DELAY <= now;
            is_settled && !other.is_some_and(|other| other.has(end.endpoint))
        })
    }

    fn refuse_alone(&mut self, part: PartId, now: Millis) {
        let ends = self.histories.get(&part).into_iter();
        let ends: Vec<&PartEnd> = ends.flat_map(|history| history.ends()).collect();
        self.insert_own_verdict(part, Verdict::new(&ends, None), now);
    }

    /// The part that its ends speak against most; `None` where they suffice against none.
    fn first_suspect(&self, now: Millis) -> Option<PartId> {
        let needed = self.ends_needed(now);
        let parts = self.histories.keys().copied();
        let open = parts.filter(|part| !self.verdicts.contains_key(part));
        let suspects = open.filter_map(|part| {
            let ends = self.unexplained(part);
            let is_known = self.is_known_harmless(part);
            let suffices = self.ended.suffices(&ends, is_known, needed);
            suffices.then_some((!is_known, ends.len(), part))
        });
        let first = suspects.max();
        first.map(|(_, _, part)| part)
    }

    /// The ends of a part that no refused part explains.
    fn unexplained(&self, part: PartId) -> Vec<&PartEnd> {
        let explains = |end: &PartEnd| {
            self.verdicts.keys().any(|refused| {
                let history = self.histories.get(refused);
                *refused != part && history.is_some_and(|history| history.has(end.endpoint))
            })
        };
        let ends = self.histories.get(&part).into_iter();
        let ends = ends.flat_map(|history| history.ends());
        ends.filter(|end| !explains(end)).collect()
    }

    /// Refuses a part, together with another one where the two were at the same ends: only requests
    /// that hold both are refused then.
    fn refuse(&mut self, part: PartId, now: Millis) {
        let ends = self.unexplained(part);
        let is_known = self.is_known_harmless(part);
        let rivals = self
            .histories
            .keys()
            .copied()
            .filter(|other| *other != part);
        let with = rivals
            .filter(|other| !self.verdicts.contains_key(other))
            .filter(|other| self.is_known_harmless(*other) == is_known)
            .find(|other| evidence::is_same(&self.unexplained(*other), &ends));
        let verdict = Verdict::new(&ends, with);
        self.insert_own_verdict(part, verdict, now);
    }

    /// Inserts a verdict of this process, in the place of the oldest one where the table is full.
    fn insert_own_verdict(&mut self, part: PartId, verdict: Verdict, now: Millis) {
        if self.verdicts.len() >= MAX_VERDICTS && !self.verdicts.contains_key(&part) {
            let by_age = self.verdicts.iter();
            let oldest = by_age.min_by_key(|(part, verdict)| (verdict.since(), **part));
            if let Some(oldest) = oldest.map(|(part, _)| *part) {
                self.verdicts.remove(&oldest);
            }
        }
        self.recent.add(verdict.notice(part, now), now);
        self.verdicts.insert(part, verdict);
    }

    fn apply_verdict(&mut self, part: PartId, notice: &PartNotice, now: Millis) -> PartChange {
        let Some(mut told) = Verdict::of_notice(notice, now) else {
            return PartChange::None;
        };
        let known = self.harmless.iter().filter(|((p, _), _)| *p == part);
        for ((_, kind), at) in known {
            told.record_harmless(*kind, *at);
        }
        if told.is_cleared() {
            // Whoever told it learns from the answer that the part is harmless.
            for answer in self.answers(part, now) {
                self.recent.add(answer, now);
            }
            tracing::debug!(%part, "a peer refuses a part that is harmless here");
            return PartChange::Told;
        }
        let is_full = self.verdicts.len() >= MAX_VERDICTS;
        let is_new = match self.verdicts.get_mut(&part) {
            Some(verdict) => verdict.merge(&told),
            None if is_full => false,
            None => self.verdicts.insert(part, told).is_none(),
        };
        if !is_new {
            return PartChange::None;
        }
        if let Some(verdict) = self.verdicts.get(&part) {
            self.recent.add(verdict.notice(part, now), now);
        }
        PartChange::Refused
    }

    fn apply_trial(&mut self, part: PartId, at: Millis, now: Millis) -> PartChange {
        let verdict = self.verdicts.get_mut(&part);
        if verdict.is_some_and(|verdict| verdict.record_trial(at)) {
            self.recent.add(PartNotice::trial(part, at, now), now);
            return PartChange::Told;
        }
        PartChange::None
    }

    /// Records that a request with a part whose refusal has expired is about to be sent.
    pub fn record_trial(&mut self, part: PartId, now: Millis) -> PartChange {
        self.apply_trial(part, now, now)
    }

    /// Why a request with these parts is refused; `None` if it may be sent to any endpoint.
    pub fn refusal(&self, parts: &[PartId], now: Millis) -> Option<PartRefusal> {
        if self.verdicts.is_empty() {
            return None;
        }
        parts.iter().find_map(|part| {
            let verdict = self.verdicts.get(part)?;
            verdict.refusal(*part, parts, now)
        })
    }

    /// The verdict on a part: the refusal of requests that hold it, and the part that they must hold
    /// as well.
    pub fn verdict(&self, part: PartId, now: Millis) -> Option<(PartRefusal, Option<PartId>)> {
        let verdict = self.verdicts.get(&part)?;
        let parts: Vec<PartId> = verdict.with().into_iter().chain([part]).collect();
        Some((verdict.refusal(part, &parts, now)?, verdict.with()))
    }

    /// Time of the newest end of a refused part.
    pub fn refused_since(&self, part: PartId) -> Option<Millis> {
        self.verdicts.get(&part).map(Verdict::since)
    }

    /// Notices to be sent to a peer: those learned since `from`, and with `repeats` also all
    /// verdicts in force. Verdicts come first.
    pub fn notices(&self, from: Millis, repeats: bool, now: Millis) -> Vec<PartNotice> {
        let verdicts = self.verdicts.iter().filter(|_| repeats);
        let verdicts = verdicts.map(|(part, verdict)| verdict.notice(*part, now));
        let recent = self.recent.since(from, now);
        verdicts.chain(recent).take(MAX_PART_NOTICES).collect()
    }

    /// Number of parts with ends, and of refused ones.
    pub fn counts(&self) -> (usize, usize) {
        (self.histories.len(), self.verdicts.len())
    }

    /// Independent ends that are needed now.
    fn ends_needed(&self, now: Millis) -> usize {
        self.losses.ends_needed(now)
    }

    /// Whether a run with a part is known to have written at the endpoints' kinds before, so that
    /// it was harmless once.
    fn is_known_harmless(&self, part: PartId) -> bool {
        let kinds = self.histories.get(&part).into_iter();
        let mut kinds = kinds.flat_map(|history| history.ends().map(|end| end.kind));
        kinds.any(|kind| self.harmless.contains_key(&(part, kind)))
    }

    /// Drops what is too old to matter.
    fn expire(&mut self, now: Millis) {
        let is_old = |history: &PartHistory| history.newest().is_none_or(|at| at + RETENTION < now);
        self.histories
            .retain(|part, history| self.verdicts.contains_key(part) || !is_old(history));
        self.questions.retain(|_, question| now < question.until);
        self.verdicts.retain(|_, verdict| !verdict.is_expired(now));
    }

    /// Drops the quarter of the histories with the fewest ends once the table is full.
    fn make_room(&mut self) {
        if self.histories.len() < MAX_HISTORIES {
            return;
        }
        let mut all: Vec<_> = self
            .histories
            .iter()
            .filter(|(part, _)| !self.verdicts.contains_key(part))
            .map(|(part, history)| (history.ends().count(), history.newest(), *part))
            .collect();
        all.sort_unstable();
        for (_, _, part) in all.into_iter().take(MAX_HISTORIES / 4) {
            self.histories.remove(&part);
        }
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl Serialize for PartId {
    /// Hex digits in text formats, as callers write them; eight bytes in binary formats.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        self.0.to_be_bytes().serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for PartId {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        if !deserializer.is_human_readable() {
            return <[u8; 8]>::deserialize(deserializer).map(|b| Self(u64::from_be_bytes(b)));
        }
        let text = String::deserialize(deserializer)?;
        let number = u64::from_str_radix(&text, 16);
        number.map(Self).map_err(serde::de::Error::custom)
    }
}
