//! Requests under which endpoints ended, and which of them are not sent any more.
//!
//! A request that ends every endpoint that begins to run it comes again under another id, at any entry. One end
//! proves nothing, since dozens of requests are lost with an endpoint, and endpoints end for reasons of their own. So an end
//! counts against a request only if that run had begun after the last counted end: several copies that are lost at once, or
//! a rack that goes, count as one. A run that an endpoint finishes clears the request. From the third end in a
//! row on it is refused, or from the fourth or fifth where so many endpoints end under others that chance would do.
//!
//! Whether a request is under suspicion also decides how many of its copies run: one at a time, over all entries as far
//! as they hear each other.
//!
//! What entries tell each other ([`Notice`]) is a set: the same notice twice, or in another order, changes nothing.

mod notices;

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use self::notices::RecentNotices;
use crate::clock::Millis;
use crate::fingerprint::Fingerprint;

/// Ends in a row from which on a request may be refused. With two, innocent requests would be where engines end one after
/// the other: one that runs for 0.7 s on nine engines of which one ends each second is lost with each of two
/// runs in 6 of 1,000 cases, with each of three in 5 of 10,000 (computed).
pub const ENDS_TO_REFUSE: usize = 3;
/// Ends in a row from which on it is refused however many other endpoints end meanwhile.
const ENDS_AT_MOST: usize = 5;
/// Chance that an innocent request would have been at as many ends, up to which it is refused: three of three that
/// end are enough among eight endpoints. On a simulated day on which two of nine engines ended each second and racks
/// besides, two of 226 innocent requests that were lost would have been refused at the third end.
const CHANCE: f64 = 0.002;
/// Time within which the same end is seen under several requests, by several entries.
const SEEN_TOGETHER: Millis = Millis(200);
/// Time for which an endpoint that ended is taken to be down.
const DOWN_TIME: Millis = Millis(3_000);
/// Ends of endpoints that are remembered, the newest ones.
const MOST_LIVES: usize = 512;
/// First time for which it is refused; it doubles with each further end.
const REFUSED_LEAST: Millis = Millis::from_secs(600);
/// Longest time for which it is refused, so that engines of a newer version get it to try.
const REFUSED_MOST: Millis = Millis::from_secs(3_600);
/// Time for which ends below [`ENDS_TO_REFUSE`] are remembered.
const KEPT: Millis = Millis::from_secs(600);
/// Time after which one more copy may run although the last one has not ended: it is no longer taken for the
/// cause of an end that comes.
const TRIAL_TIME: Millis = Millis(1_500);
/// Requests that are remembered; some 100 bytes each.
const MOST_CASES: usize = 4_096;
/// Ends that are remembered of one request, the newest ones.
const MOST_ENDS: usize = 8;
/// Notices in one message at most: with 17 bytes each they fit one packet on any path.
pub const MOST_NOTICES: usize = 72;
/// How much the times that two processes tell of one moment may differ: the way of a datagram.
const DATING: Millis = Millis(20);

/// One life of an endpoint, as a digest that all entries compute alike.
pub type LifeDigest = u32;

/// An endpoint's life that ended under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct End {
    /// The endpoint's life.
    pub endpoint: LifeDigest,
    /// When the run was sent there.
    pub began: Millis,
    /// When it was lost.
    pub ended: Millis,
}

/// What entries tell each other of one request; times are ages in ms, so that no two clocks are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// An endpoint ended under it.
    Ended {
        /// The request.
        request: Fingerprint,
        /// The endpoint's life.
        endpoint: LifeDigest,
        /// Age of the run's beginning.
        began: u32,
        /// Age of its end.
        ended: u32,
    },
    /// It is under suspicion and was sent to an endpoint.
    Began {
        /// The request.
        request: Fingerprint,
        /// Age of the run's beginning.
        began: u32,
    },
    /// It is taken for the cause of ends: who has just started can't judge that, not knowing what else ended.
    Refused {
        /// The request.
        request: Fingerprint,
        /// Age of the end that told.
        since: u32,
    },
    /// It was under suspicion, and an endpoint has finished it.
    Finished {
        /// The request.
        request: Fingerprint,
        /// Age of that.
        finished: u32,
    },
}

impl Notice {
    /// The request that it is about.
    pub const fn request(&self) -> Fingerprint {
        match self {
            Self::Ended { request, .. }
            | Self::Began { request, .. }
            | Self::Refused { request, .. }
            | Self::Finished { request, .. } => *request,
        }
    }

    /// The same some time later.
    pub fn older_by(mut self, time: Millis) -> Self {
        let grow = |age: &mut u32| *age = age.saturating_add(time.as_u32());
        match &mut self {
            Self::Ended { began, ended, .. } => {
                grow(began);
                grow(ended);
            }
            Self::Began { began, .. } => grow(began),
            Self::Refused { since, .. } => grow(since),
            Self::Finished { finished, .. } => grow(finished),
        }
        self
    }
}

/// Whether a request may be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// Nothing speaks against it.
    Clear,
    /// Endpoints ended under it; it may run once at a time, and that is told to others.
    Suspect {
        /// Ends in a row.
        ends: usize,
    },
    /// The same, and a copy runs somewhere.
    UnderWay {
        /// Ends in a row.
        ends: usize,
        /// When that copy was sent.
        began: Millis,
        /// When another copy may run in any case.
        until: Millis,
    },
    /// It is not sent.
    Refused {
        /// Ends in a row.
        ends: usize,
        /// Until when.
        until: Millis,
    },
}

/// What changed with something that was seen or told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing; it was known, or concerns no request under suspicion.
    None,
    /// An endpoint ended under a request.
    Suspected {
        /// Ends in a row.
        ends: usize,
    },
    /// The same, and the request is refused from now on.
    Refused {
        /// Ends in a row.
        ends: usize,
        /// Until when.
        until: Millis,
    },
    /// A request under suspicion runs.
    Began,
    /// A request is no longer under suspicion.
    Cleared,
}

/// What is known of one request.
#[derive(Debug, Clone, Default)]
struct Case {
    /// Ends under it since it was finished last, the oldest first.
    ends: Vec<End>,
    /// When an endpoint finished it last.
    finished: Option<Millis>,
    /// When the newest run of it under suspicion began.
    began: Option<Millis>,
    /// The end at which it was taken for the cause.
    cause_since: Option<Millis>,
}

impl Case {
    /// Ends in a row: runs that began after the end of the one before.
    fn row(&self) -> Vec<End> {
        self.row_of(|_| true)
    }

    /// The same of those that count.
    fn row_of(&self, counts: impl Fn(&End) -> bool) -> Vec<End> {
        let mut row: Vec<End> = Vec::with_capacity(self.ends.len());
        for end in self.ends.iter().filter(|end| counts(end)) {
            if row
                .last()
                .is_none_or(|last| end.began + DATING >= last.ended)
            {
                row.push(*end);
            }
        }
        row
    }

    /// Their number.
    fn in_a_row(&self) -> usize {
        self.row().len()
    }

    fn last_end(&self) -> Option<Millis> {
        self.ends.last().map(|end| end.ended)
    }

    /// Adds an end; false where it changes nothing.
    fn add(&mut self, end: End) -> bool {
        let is_known = self.ends.iter().any(|e| e.endpoint == end.endpoint);
        let is_settled = self.finished.is_some_and(|at| end.ended <= at);
        if is_known || is_settled {
            return false;
        }
        let at = self.ends.partition_point(|e| e.ended <= end.ended);
        self.ends.insert(at, end);
        if self.ends.len() > MOST_ENDS {
            self.ends.remove(0);
        }
        true
    }

    /// Until when it is refused where it is the cause; `None` below [`ENDS_TO_REFUSE`].
    fn refused_until(&self) -> Option<Millis> {
        let beyond = match self.cause_since {
            Some(_) => self.in_a_row().saturating_sub(ENDS_TO_REFUSE),
            None => self.in_a_row().checked_sub(ENDS_TO_REFUSE)?,
        };
        let time = Millis(REFUSED_LEAST.0 << beyond.min(MOST_ENDS)).min(REFUSED_MOST);
        let from = self.last_end().max(self.cause_since);
        from.map(|at| at + time)
    }

    /// When the newest thing known of it happened.
    fn touched(&self) -> Millis {
        let newest = self.last_end().max(self.finished).max(self.began);
        let newest = newest.max(self.cause_since);
        newest.unwrap_or_default()
    }

    fn is_over(&self, now: Millis) -> bool {
        let kept = self.refused_until().unwrap_or_default();
        now >= (self.touched() + KEPT).max(kept + KEPT)
    }
}

/// All requests under which endpoints ended, as one entry knows them.
#[derive(Debug, Default)]
pub struct Quarantine {
    cases: HashMap<Fingerprint, Case>,
    /// What peers are told.
    recent: RecentNotices,
    /// Endpoints' lives that ended under any request, the newest last.
    lives: VecDeque<(Millis, LifeDigest)>,
    /// Endpoints that there are.
    endpoints: usize,
    /// When this process started, where ends from before may be told to it.
    started: Option<Millis>,
}

impl Quarantine {
    /// That of a process that starts now: of ends from before it knows only what peers tell.
    pub fn started_at(now: Millis) -> Self {
        Self {
            started: Some(now),
            ..Self::default()
        }
    }

    /// Whether a request may be sent at `now`.
    pub fn standing(&self, request: Fingerprint, now: Millis) -> Standing {
        let Some(case) = self.cases.get(&request) else {
            return Standing::Clear;
        };
        let ends = case.in_a_row();
        if ends == 0 && case.cause_since.is_none() {
            return Standing::Clear;
        }
        if let Some(until) = self
            .refused_until(request, case)
            .filter(|until| now < *until)
        {
            return Standing::Refused { ends, until };
        }
        // A run that began before the last end is that one, or was lost with it.
        let begun = case.began.filter(|at| Some(*at) > case.last_end());
        match begun {
            Some(began) if now < began + TRIAL_TIME => Standing::UnderWay {
                ends,
                began,
                until: began + TRIAL_TIME,
            },
            _ => Standing::Suspect { ends },
        }
    }

    /// An endpoint ended under a request.
    pub fn ended(&mut self, request: Fingerprint, end: End, now: Millis) -> Change {
        self.make_room(request, now);
        self.note_life(&end);
        let case = self.cases.entry(request).or_default();
        if !case.add(end) {
            return Change::None;
        }
        let ends = case.in_a_row();
        // A peer that missed an earlier end can't count them.
        for end in &case.ends {
            self.recent.add(told(request, end, now), ends, now);
        }
        match self.standing(request, now) {
            Standing::Refused { ends, until } => {
                self.note_cause(request, now);
                Change::Refused { ends, until }
            }
            _ => Change::Suspected { ends },
        }
    }

    /// A request is taken for the cause: its ends speak against no other one from now on.
    fn note_cause(&mut self, request: Fingerprint, now: Millis) {
        let Some(case) = self.cases.get_mut(&request) else {
            return;
        };
        let since = case.cause_since.or(case.last_end()).unwrap_or(now);
        case.cause_since = Some(since);
        let notice = refused(request, since, now);
        self.recent.add(notice, case.in_a_row(), now);
    }

    /// A peer takes a request for the cause.
    fn told_refused(&mut self, request: Fingerprint, since: Millis, now: Millis) -> Change {
        self.make_room(request, now);
        let case = self.cases.entry(request).or_default();
        let is_settled = case.finished.is_some_and(|at| since <= at);
        if case.cause_since.is_some() || is_settled {
            return Change::None;
        }
        case.cause_since = Some(since);
        let ends = case.in_a_row();
        let until = case.refused_until().unwrap_or(now);
        self.recent
            .add(refused(request, since, now), ENDS_TO_REFUSE, now);
        Change::Refused { ends, until }
    }

    /// Whether an end was the work of a request other than this one, which was found out some time before `at`.
    fn is_explained(&self, request: Fingerprint, end: &End, at: Millis) -> bool {
        self.cases.iter().any(|(other, case)| {
            let was_known = case
                .cause_since
                .is_some_and(|since| since + SEEN_TOGETHER < at);
            let was_there = || case.ends.iter().any(|e| e.endpoint == end.endpoint);
            *other != request && was_known && was_there()
        })
    }

    /// Tells how many endpoints there are.
    pub fn set_endpoints(&mut self, count: usize) {
        self.endpoints = count;
    }

    /// Until when a request is refused; `None` where it is not taken for the cause.
    fn refused_until(&self, request: Fingerprint, case: &Case) -> Option<Millis> {
        let until = case.refused_until()?;
        let is_cause = case.cause_since.is_some() || self.is_cause(request, case);
        is_cause.then_some(until)
    }

    /// Whether ends in a row are taken for the work of the request: an innocent one would hardly have been at each of
    /// them, of all endpoints that ended from its first run to its last one.
    fn is_cause(&self, request: Fingerprint, case: &Case) -> bool {
        let newest = case.last_end().unwrap_or_default();
        let row = case.row_of(|end| !self.is_explained(request, end, newest));
        let (Some(first), Some(last)) = (row.first(), row.last()) else {
            return false;
        };
        if row.len() >= ENDS_AT_MOST {
            return true;
        }
        let is_from_before = self.started.is_some_and(|at| first.began <= at);
        if self.endpoints == 0 || is_from_before {
            return false;
        }
        let others = self.lives.iter().filter(|(at, life)| {
            let meanwhile = *at >= first.began && *at <= last.ended + DATING;
            meanwhile && case.ends.iter().all(|end| end.endpoint != *life)
        });
        let all = row.len() + others.count();
        let ways = (0..row.len()).map(|i| (all - i) as f64 / (i + 1) as f64);
        let at_each = row.iter().map(|end| 1.0 / self.up_before(end) as f64);
        let chance = ways.product::<f64>() * at_each.product::<f64>();
        row.len() >= ENDS_TO_REFUSE && chance <= CHANCE
    }

    /// Endpoints that were up before an end, as far as is known: one of them has ended.
    fn up_before(&self, end: &End) -> usize {
        let from = end.ended - DOWN_TIME;
        let down = self
            .lives
            .iter()
            .filter(|(at, life)| *at >= from && *at <= end.ended && *life != end.endpoint);
        self.endpoints.saturating_sub(down.count()).max(1)
    }

    /// Remembers that an endpoint ended.
    fn note_life(&mut self, end: &End) {
        if self.lives.iter().any(|(_, life)| *life == end.endpoint) {
            return;
        }
        if self.lives.len() == MOST_LIVES {
            self.lives.pop_front();
        }
        self.lives.push_back((end.ended, end.endpoint));
    }

    /// A request under suspicion was sent to an endpoint.
    pub fn began(&mut self, request: Fingerprint, at: Millis, now: Millis) -> Change {
        let Some(case) = self.cases.get_mut(&request) else {
            return Change::None;
        };
        if case.ends.is_empty() || Some(at) <= case.began {
            return Change::None;
        }
        case.began = Some(at);
        let notice = Notice::Began {
            request,
            began: (now - at).as_u32(),
        };
        self.recent.add(notice, case.in_a_row(), now);
        Change::Began
    }

    /// An endpoint finished a request.
    pub fn finished(&mut self, request: Fingerprint, at: Millis, now: Millis) -> Change {
        let Some(case) = self.cases.get_mut(&request) else {
            return Change::None;
        };
        let before = case.ends.len();
        case.ends.retain(|end| end.ended > at);
        case.finished = case.finished.max(Some(at));
        let was_refused = case.cause_since.take_if(|since| *since <= at).is_some();
        if case.ends.len() == before && !was_refused {
            return Change::None;
        }
        let notice = Notice::Finished {
            request,
            finished: (now - at).as_u32(),
        };
        self.recent.clear(request);
        self.recent.add(notice, 0, now);
        Change::Cleared
    }

    /// Takes what a peer tells.
    pub fn take(&mut self, notice: &Notice, now: Millis) -> Change {
        let at = |age: u32| now - Millis(u64::from(age));
        match *notice {
            Notice::Ended {
                request,
                endpoint,
                began,
                ended,
            } => {
                let end = End {
                    endpoint,
                    began: at(began),
                    ended: at(ended),
                };
                self.ended(request, end, now)
            }
            Notice::Began { request, began } => self.began(request, at(began), now),
            Notice::Refused { request, since } => self.told_refused(request, at(since), now),
            Notice::Finished { request, finished } => self.finished(request, at(finished), now),
        }
    }

    /// What is to be told to peers: what was learned since `from`, and with `repeats` what is alarming and somewhat
    /// older; at most `most`.
    pub fn notices_since(
        &self,
        from: Millis,
        repeats: bool,
        most: usize,
        now: Millis,
    ) -> Vec<Notice> {
        self.recent.since(from, repeats, most, now)
    }

    /// What a peer must know that was not heard for a while: the newest of what is refused.
    pub fn refused_notices(&self, most: usize, now: Millis) -> Vec<Notice> {
        let requests = self.refused(now).into_iter();
        let all = requests.flat_map(|request| {
            let case = self.cases.get(&request);
            let ends = case.map_or(&[][..], |case| &case.ends);
            let since = case.and_then(|case| case.cause_since.or(case.last_end()));
            let verdict = since.map(|since| refused(request, since, now));
            let ends = ends.iter().map(move |end| told(request, end, now));
            verdict.into_iter().chain(ends)
        });
        all.take(most).collect()
    }

    /// Ends in a row under a request.
    pub fn ends(&self, request: Fingerprint) -> usize {
        self.cases.get(&request).map_or(0, Case::in_a_row)
    }

    /// The requests that are refused now, the newest first.
    pub fn refused(&self, now: Millis) -> Vec<Fingerprint> {
        let refused = self.cases.iter().filter(|(request, case)| {
            let until = self.refused_until(**request, case);
            until.is_some_and(|until| now < until)
        });
        let mut refused: Vec<_> = refused.map(|(key, case)| (case.touched(), *key)).collect();
        refused.sort_unstable_by(|a, b| b.cmp(a));
        refused.into_iter().map(|(_, key)| key).collect()
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.cases.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.cases.is_empty()
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Millis) {
        self.cases.retain(|_, case| !case.is_over(now));
    }

    /// Makes room for one more. What has the fewest ends goes first, so that no caller can make others
    /// forget a request that does end endpoints.
    fn make_room(&mut self, request: Fingerprint, now: Millis) {
        if self.cases.len() < MOST_CASES || self.cases.contains_key(&request) {
            return;
        }
        self.expire(now);
        let mut all: Vec<_> = self.cases.iter().collect();
        all.sort_unstable_by_key(|(key, case)| (case.in_a_row(), case.touched(), **key));
        // An eighth at a time, so that a flood does not sort the table for each of its requests.
        let excess = (all.len() + MOST_CASES / 8).saturating_sub(MOST_CASES);
        let gone: Vec<Fingerprint> = all.iter().take(excess).map(|(key, _)| **key).collect();
        for key in gone {
            self.cases.remove(&key);
        }
    }
}

/// What is told of a request that is taken for the cause.
fn refused(request: Fingerprint, since: Millis, now: Millis) -> Notice {
    let since = (now - since).as_u32();
    Notice::Refused { request, since }
}

/// An end as it is told now.
fn told(request: Fingerprint, end: &End, now: Millis) -> Notice {
    Notice::Ended {
        request,
        endpoint: end.endpoint,
        began: (now - end.began).as_u32(),
        ended: (now - end.ended).as_u32(),
    }
}
