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

mod case;
mod lives;
mod notice;
mod notices;

use std::collections::HashMap;

use self::case::Case;
use self::lives::Lives;
pub use self::notice::Notice;
pub use self::notices::RecentNotices;
use crate::clock::Millis;
use crate::fingerprint::Fingerprint;

/// Ends in a row from which on a request may be refused. With two, innocent requests would be where engines end one after
/// the other.
pub const ENDS_TO_REFUSE: usize = 3;
/// Ends in a row from which on it is refused however many other endpoints end meanwhile.
const ENDS_AT_MOST: usize = 5;
/// Ends in a row that two requests share from which on they do not run at the same time, since only ends under one alone
/// tell which of them is the cause. Dozens share one end.
pub const ENDS_TO_SEPARATE: usize = 2;
/// Chance that an innocent request would have been at as many ends, up to which it is refused: three of three that
/// end are enough among nine endpoints.
const CHANCE: f64 = 0.002;
/// Time within which the same end is seen under several requests, by several entries.
const SEEN_TOGETHER: Millis = Millis(200);
/// Time after its newest end in which what else ended is heard, before a request is judged: some rounds of a fleet of
/// thirty.
const JUDGED_AFTER: Millis = Millis(500);
/// Time after which one more copy may run although the last one has not ended: it is no longer taken for the
/// cause of an end that comes.
const TRIAL_TIME: Millis = Millis(1_500);
/// Requests that are remembered; a full table takes 1.1 MB.
const MOST_CASES: usize = 4_096;
/// Notices in one message at most: with 17 bytes each they fit one packet on any path.
pub const MAX_NOTICES_PER_MESSAGE: usize = 72;

/// One life of an endpoint, as a digest that all entries compute alike.
pub type IncarnationDigest = u32;

/// An endpoint's life that ended under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointEnd {
    /// The endpoint's life.
    pub endpoint: IncarnationDigest,
    /// When the run was sent there.
    pub began: Millis,
    /// When it was lost.
    pub ended: Millis,
}

/// The endpoints of a pool that took work when one of them ended: a request that is sent to that pool was at one of these.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolSnapshot {
    /// Digest of the pool's name.
    pub pool: u32,
    /// How many they were.
    pub endpoints: usize,
}

/// Whether a request may be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Nothing speaks against it.
    Clear,
    /// Endpoints ended under it; it may run once at a time, and that is told to others.
    Suspect {
        /// Ends in a row.
        ends: usize,
    },
    /// The same, and a copy runs somewhere, or another request does that shares its ends, or it is not judged yet.
    MustWait {
        /// Ends in a row.
        ends: usize,
        /// When that copy was sent; `None` where there is none.
        began: Option<Millis>,
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

/// All requests under which endpoints ended, as one entry knows them.
#[derive(Debug, Default)]
pub struct Quarantine {
    cases: HashMap<Fingerprint, Case>,
    /// What peers are told.
    recent: RecentNotices,
    /// Endpoints that ended under any request.
    lives: Lives,
    /// When this process started, where ends from before may be told to it.
    started: Option<Millis>,
    /// Requests that may be the cause of ends, and when that is judged.
    unjudged: HashMap<Fingerprint, Millis>,
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
    pub fn request_status(&self, request: Fingerprint, now: Millis) -> QuarantineStatus {
        let Some(case) = self.cases.get(&request) else {
            return QuarantineStatus::Clear;
        };
        let ends = case.in_a_row();
        if ends == 0 && case.cause_since.is_none() {
            return QuarantineStatus::Clear;
        }
        if let Some(until) = Self::refused_until(case).filter(|until| now < *until) {
            return QuarantineStatus::Refused { ends, until };
        }
        if let Some(until) = self.unjudged.get(&request).copied() {
            return QuarantineStatus::MustWait {
                ends,
                began: None,
                until,
            };
        }
        // A run that began before the last end is that one, or was lost with it.
        let begun = case.began.filter(|at| Some(*at) > case.last_end());
        match begun {
            Some(began) if now < began + TRIAL_TIME => QuarantineStatus::MustWait {
                ends,
                began: Some(began),
                until: began + TRIAL_TIME,
            },
            _ => match self.rival_until(request, case, now) {
                Some(until) => QuarantineStatus::MustWait {
                    ends,
                    began: None,
                    until,
                },
                None => QuarantineStatus::Suspect { ends },
            },
        }
    }

    /// Until when a request that was at the same ends is taken to run; `None` where none runs.
    fn rival_until(&self, request: Fingerprint, case: &Case, now: Millis) -> Option<Millis> {
        if case.in_a_row() < ENDS_TO_SEPARATE {
            return None;
        }
        let others = self.cases.iter().filter(|(other, _)| **other != request);
        let rivals = others.filter(|(_, other)| {
            let is_open = other.cause_since.is_none();
            is_open && other.in_a_row() >= ENDS_TO_SEPARATE && case.shares_ends(other)
        });
        let began =
            rivals.filter_map(|(_, other)| other.began.filter(|at| Some(*at) > other.last_end()));
        let until = began.map(|at| at + TRIAL_TIME).max();
        until.filter(|until| now < *until)
    }

    /// An endpoint of an unknown pool ended under a request.
    pub fn record_end(&mut self, request: Fingerprint, end: EndpointEnd, now: Millis) -> Change {
        self.record_end_in_pool(request, end, None, now)
    }

    /// An endpoint ended under a request.
    pub fn record_end_in_pool(
        &mut self,
        request: Fingerprint,
        end: EndpointEnd,
        among: Option<PoolSnapshot>,
        now: Millis,
    ) -> Change {
        self.make_room(request, now);
        self.lives.note(&end, among);
        let case = self.cases.entry(request).or_default();
        if !case.add(end) {
            return Change::None;
        }
        let ends = case.in_a_row();
        // A peer that missed an earlier end can't count them.
        for end in &case.ends {
            self.recent
                .add(Notice::of_end(request, end, now), ends, now);
        }
        if case.cause_since.is_some() {
            let until = case.refused_until().unwrap_or(now);
            return Change::Refused { ends, until };
        }
        if ends >= ENDS_TO_REFUSE {
            self.unjudged.insert(request, now + JUDGED_AFTER);
        }
        Change::Suspected { ends }
    }

    /// Judges the requests whose time has come; those that are refused from now on.
    ///
    /// What ended at the same moment is heard some rounds later. Judged at once, one of 1,274 innocent requests was taken
    /// for the cause when a third of 56 endpoints ended together.
    pub fn evaluate_suspects(&mut self, now: Millis) -> Vec<Fingerprint> {
        let due = self.unjudged.iter().filter(|(_, at)| now >= **at);
        let due: Vec<Fingerprint> = due.map(|(request, _)| *request).collect();
        let mut refused = Vec::new();
        for request in due {
            self.unjudged.remove(&request);
            let case = self.cases.get(&request);
            if case.is_some_and(|case| self.is_cause(request, case)) {
                self.note_cause(request, now);
                refused.push(request);
            }
        }
        refused
    }

    /// A request is taken for the cause: its ends speak against no other one from now on.
    fn note_cause(&mut self, request: Fingerprint, now: Millis) {
        let Some(case) = self.cases.get_mut(&request) else {
            return;
        };
        let since = case.cause_since.or(case.last_end()).unwrap_or(now);
        case.cause_since = Some(since);
        let notice = Notice::of_cause(request, since, now);
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
        self.unjudged.remove(&request);
        let ends = case.in_a_row();
        let until = case.refused_until().unwrap_or(now);
        self.recent
            .add(Notice::of_cause(request, since, now), ENDS_TO_REFUSE, now);
        Change::Refused { ends, until }
    }

    /// Whether an end under a request is explained by another one that was there: by one that had been taken for the
    /// cause before, or that has gone on to end endpoints without this one.
    fn is_explained(&self, request: Fingerprint, case: &Case, end: &EndpointEnd) -> bool {
        let newest = case.last_end().unwrap_or_default();
        let others = self.cases.iter().filter(|(other, _)| **other != request);
        let mut there = others
            .map(|(_, other)| other)
            .filter(|other| other.ends.iter().any(|e| e.endpoint == end.endpoint));
        there.any(|other| {
            let was_known = other
                .cause_since
                .is_some_and(|at| at + SEEN_TOGETHER < newest);
            let went_on = other.last_end() > Some(newest + SEEN_TOGETHER);
            was_known || (went_on && other.in_a_row() >= case.in_a_row())
        })
    }

    /// Tells how many endpoints there are, for ends of endpoints whose pool is not known.
    pub fn set_endpoint_count(&mut self, count: usize) {
        self.lives.endpoints = count;
    }

    /// Until when a request is refused; `None` where it is not taken for the cause.
    fn refused_until(case: &Case) -> Option<Millis> {
        let until = case.refused_until()?;
        case.cause_since.map(|_| until)
    }

    /// Whether ends in a row are taken for the work of the request: an innocent one would hardly have been at each of
    /// them.
    fn is_cause(&self, request: Fingerprint, case: &Case) -> bool {
        let row = case.row_of(|end| !self.is_explained(request, case, end));
        if row.len() >= ENDS_AT_MOST {
            return true;
        }
        let began = row.first().map(|end| end.began);
        let is_from_before = self.started.is_some_and(|at| began <= Some(at));
        if self.lives.endpoints == 0 || is_from_before {
            return false;
        }
        row.len() >= ENDS_TO_REFUSE && self.lives.chance(&row, &case.ends) <= CHANCE
    }

    /// A request under suspicion was sent to an endpoint.
    pub fn record_start(&mut self, request: Fingerprint, at: Millis, now: Millis) -> Change {
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
    pub fn record_completion(&mut self, request: Fingerprint, at: Millis, now: Millis) -> Change {
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
        self.unjudged.remove(&request);
        self.recent.clear(request);
        self.recent.add(notice, 0, now);
        Change::Cleared
    }

    /// Takes what a peer tells, of endpoints of unknown pools.
    pub fn apply_notice(&mut self, notice: &Notice, now: Millis) -> Change {
        self.apply_notice_in_pool(notice, None, now)
    }

    /// Takes what a peer tells; `among` is of the endpoint that ended.
    pub fn apply_notice_in_pool(
        &mut self,
        notice: &Notice,
        among: Option<PoolSnapshot>,
        now: Millis,
    ) -> Change {
        let at = |age: u32| now - Millis(u64::from(age));
        match *notice {
            Notice::Ended {
                request,
                endpoint,
                began,
                ended,
            } => {
                let end = EndpointEnd {
                    endpoint,
                    began: at(began),
                    ended: at(ended),
                };
                self.record_end_in_pool(request, end, among, now)
            }
            Notice::Began { request, began } => self.record_start(request, at(began), now),
            Notice::Refused { request, since } => self.told_refused(request, at(since), now),
            Notice::Finished { request, finished } => {
                self.record_completion(request, at(finished), now)
            }
        }
    }

    /// What is to be told to peers.
    pub fn recent(&self) -> &RecentNotices {
        &self.recent
    }

    /// What a peer must know that was not heard for a while: the newest of what is refused.
    pub fn refused_notices(&self, most: usize, now: Millis) -> Vec<Notice> {
        let requests = self.refused_requests(now).into_iter();
        let all = requests.flat_map(|request| {
            let case = self.cases.get(&request);
            let ends = case.map_or(&[][..], |case| &case.ends);
            let since = case.and_then(|case| case.cause_since.or(case.last_end()));
            let verdict = since.map(|since| Notice::of_cause(request, since, now));
            let ends = ends
                .iter()
                .map(move |end| Notice::of_end(request, end, now));
            verdict.into_iter().chain(ends)
        });
        all.take(most).collect()
    }

    /// Ends in a row under a request.
    pub fn consecutive_ends(&self, request: Fingerprint) -> usize {
        self.cases.get(&request).map_or(0, Case::in_a_row)
    }

    /// The requests that are refused now, the newest first.
    pub fn refused_requests(&self, now: Millis) -> Vec<Fingerprint> {
        let refused = self.cases.iter().filter(|(_, case)| {
            let until = Self::refused_until(case);
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
            self.unjudged.remove(&key);
        }
    }
}
