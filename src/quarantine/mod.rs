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

mod ended;
mod history;
mod notice;
mod notices;

use std::collections::HashMap;

use self::ended::EndedIncarnations;
use self::history::RequestHistory;
pub use self::notice::Notice;
pub use self::notices::RecentNotices;
use crate::clock::Millis;
use crate::fingerprint::Fingerprint;

/// Ends in a row from which on a request may be refused. With two, innocent requests would be where engines end one after
/// the other.
pub const ENDS_TO_REFUSE: usize = 3;
/// Ends in a row from which on it is refused however many other endpoints end meanwhile.
const ENDS_TO_REFUSE_ALWAYS: usize = 5;
/// Ends in a row that two requests share from which on they do not run at the same time, since only ends under one alone
/// tell which of them is the cause. Dozens share one end.
pub const ENDS_TO_SEPARATE: usize = 2;
/// Chance that an innocent request would have been at as many ends, up to which it is refused: three of three that
/// end are enough among nine endpoints.
const MAX_INNOCENT_CHANCE: f64 = 0.002;
/// Time within which the same end is seen under several requests, by several entries.
const SAME_END_TOLERANCE: Millis = Millis(200);
/// Time after its newest end in which what else ended is heard, before a request is judged: some rounds of a fleet of
/// thirty.
const EVALUATION_DELAY: Millis = Millis(500);
/// Time after which one more copy may run although the last one has not ended: it is no longer taken for the
/// cause of an end that comes.
const TRIAL_TIME: Millis = Millis(1_500);
/// Requests that are remembered; a full table takes 1.1 MB.
const MAX_HISTORIES: usize = 4_096;
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
    histories: HashMap<Fingerprint, RequestHistory>,
    /// What peers are told.
    recent: RecentNotices,
    /// Endpoints that ended under any request.
    ended: EndedIncarnations,
    /// When this process started, where ends from before may be told to it.
    process_started: Option<Millis>,
    /// Requests that may be the cause of ends, and when that is judged.
    unevaluated: HashMap<Fingerprint, Millis>,
}

impl Quarantine {
    /// That of a process that starts now: of ends from before it knows only what peers tell.
    pub fn started_at(now: Millis) -> Self {
        Self {
            process_started: Some(now),
            ..Self::default()
        }
    }

    /// Whether a request may be sent at `now`.
    pub fn request_status(&self, request: Fingerprint, now: Millis) -> QuarantineStatus {
        let Some(history) = self.histories.get(&request) else {
            return QuarantineStatus::Clear;
        };
        let ends = history.consecutive_count();
        if ends == 0 && history.cause_since.is_none() {
            return QuarantineStatus::Clear;
        }
        if let Some(until) = Self::refused_until(history).filter(|until| now < *until) {
            return QuarantineStatus::Refused { ends, until };
        }
        if let Some(until) = self.unevaluated.get(&request).copied() {
            return QuarantineStatus::MustWait {
                ends,
                began: None,
                until,
            };
        }
        // A run that began before the last end is that one, or was lost with it.
        let begun = history.began.filter(|at| Some(*at) > history.last_end());
        match begun {
            Some(began) if now < began + TRIAL_TIME => QuarantineStatus::MustWait {
                ends,
                began: Some(began),
                until: began + TRIAL_TIME,
            },
            _ => match self.rival_runs_until(request, history, now) {
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
    fn rival_runs_until(
        &self,
        request: Fingerprint,
        history: &RequestHistory,
        now: Millis,
    ) -> Option<Millis> {
        if history.consecutive_count() < ENDS_TO_SEPARATE {
            return None;
        }
        let others = self
            .histories
            .iter()
            .filter(|(other, _)| **other != request);
        let rivals = others.filter(|(_, other)| {
            let is_open = other.cause_since.is_none();
            is_open && other.consecutive_count() >= ENDS_TO_SEPARATE && history.shares_ends(other)
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
        pool_snapshot: Option<PoolSnapshot>,
        now: Millis,
    ) -> Change {
        self.make_room_for(request, now);
        self.ended.record(&end, pool_snapshot);
        let history = self.histories.entry(request).or_default();
        if !history.add(end) {
            return Change::None;
        }
        let ends = history.consecutive_count();
        // A peer that missed an earlier end can't count them.
        for end in &history.ends {
            self.recent
                .add(Notice::for_end(request, end, now), ends, now);
        }
        if history.cause_since.is_some() {
            let until = history.refused_until().unwrap_or(now);
            return Change::Refused { ends, until };
        }
        if ends >= ENDS_TO_REFUSE {
            self.unevaluated.insert(request, now + EVALUATION_DELAY);
        }
        Change::Suspected { ends }
    }

    /// Judges the requests whose time has come; those that are refused from now on.
    ///
    /// What ended at the same moment is heard some rounds later. Judged at once, one of 1,274 innocent requests was taken
    /// for the cause when a third of 56 endpoints ended together.
    pub fn evaluate_suspects(&mut self, now: Millis) -> Vec<Fingerprint> {
        let due = self.unevaluated.iter().filter(|(_, at)| now >= **at);
        let due: Vec<Fingerprint> = due.map(|(request, _)| *request).collect();
        let mut refused = Vec::new();
        for request in due {
            self.unevaluated.remove(&request);
            let history = self.histories.get(&request);
            if history.is_some_and(|history| self.is_cause(request, history)) {
                self.mark_as_cause(request, now);
                refused.push(request);
            }
        }
        refused
    }

    /// A request is taken for the cause: its ends speak against no other one from now on.
    fn mark_as_cause(&mut self, request: Fingerprint, now: Millis) {
        let Some(history) = self.histories.get_mut(&request) else {
            return;
        };
        let since = history.cause_since.or(history.last_end()).unwrap_or(now);
        history.cause_since = Some(since);
        let notice = Notice::for_cause(request, since, now);
        self.recent.add(notice, history.consecutive_count(), now);
    }

    /// A peer takes a request for the cause.
    fn apply_refusal(&mut self, request: Fingerprint, since: Millis, now: Millis) -> Change {
        self.make_room_for(request, now);
        let history = self.histories.entry(request).or_default();
        let is_cleared = history.finished.is_some_and(|at| since <= at);
        if history.cause_since.is_some() || is_cleared {
            return Change::None;
        }
        history.cause_since = Some(since);
        self.unevaluated.remove(&request);
        let ends = history.consecutive_count();
        let until = history.refused_until().unwrap_or(now);
        self.recent
            .add(Notice::for_cause(request, since, now), ENDS_TO_REFUSE, now);
        Change::Refused { ends, until }
    }

    /// Whether an end under a request is explained by another one that was there: by one that had been taken for the
    /// cause before, or that has gone on to end endpoints without this one.
    fn is_explained(
        &self,
        request: Fingerprint,
        history: &RequestHistory,
        end: &EndpointEnd,
    ) -> bool {
        let newest = history.last_end().unwrap_or_default();
        let others = self
            .histories
            .iter()
            .filter(|(other, _)| **other != request);
        let mut also_lost = others
            .map(|(_, other)| other)
            .filter(|other| other.ends.iter().any(|e| e.endpoint == end.endpoint));
        also_lost.any(|other| {
            let was_known = other
                .cause_since
                .is_some_and(|at| at + SAME_END_TOLERANCE < newest);
            let went_on = other.last_end() > Some(newest + SAME_END_TOLERANCE);
            was_known || (went_on && other.consecutive_count() >= history.consecutive_count())
        })
    }

    /// Tells how many endpoints there are, for ends of endpoints whose pool is not known.
    pub fn set_endpoint_count(&mut self, count: usize) {
        self.ended.endpoint_count = count;
    }

    /// Until when a request is refused; `None` where it is not taken for the cause.
    fn refused_until(history: &RequestHistory) -> Option<Millis> {
        let until = history.refused_until()?;
        history.cause_since.map(|_| until)
    }

    /// Whether ends in a row are taken for the work of the request: an innocent one would hardly have been at each of
    /// them.
    fn is_cause(&self, request: Fingerprint, history: &RequestHistory) -> bool {
        let consecutive =
            history.consecutive_ends_where(|end| !self.is_explained(request, history, end));
        if consecutive.len() >= ENDS_TO_REFUSE_ALWAYS {
            return true;
        }
        let began = consecutive.first().map(|end| end.began);
        let is_from_before = self.process_started.is_some_and(|at| began <= Some(at));
        if self.ended.endpoint_count == 0 || is_from_before {
            return false;
        }
        consecutive.len() >= ENDS_TO_REFUSE
            && self.ended.innocent_chance(&consecutive, &history.ends) <= MAX_INNOCENT_CHANCE
    }

    /// A request under suspicion was sent to an endpoint.
    pub fn record_start(&mut self, request: Fingerprint, at: Millis, now: Millis) -> Change {
        let Some(history) = self.histories.get_mut(&request) else {
            return Change::None;
        };
        if history.ends.is_empty() || Some(at) <= history.began {
            return Change::None;
        }
        history.began = Some(at);
        let notice = Notice::Began {
            request,
            began: (now - at).as_u32(),
        };
        self.recent.add(notice, history.consecutive_count(), now);
        Change::Began
    }

    /// An endpoint finished a request.
    pub fn record_completion(&mut self, request: Fingerprint, at: Millis, now: Millis) -> Change {
        let Some(history) = self.histories.get_mut(&request) else {
            return Change::None;
        };
        let before = history.ends.len();
        history.ends.retain(|end| end.ended > at);
        history.finished = history.finished.max(Some(at));
        let was_refused = history.cause_since.take_if(|since| *since <= at).is_some();
        if history.ends.len() == before && !was_refused {
            return Change::None;
        }
        let notice = Notice::Finished {
            request,
            finished: (now - at).as_u32(),
        };
        self.unevaluated.remove(&request);
        self.recent.clear(request);
        self.recent.add(notice, 0, now);
        Change::Cleared
    }

    /// Takes what a peer tells, of endpoints of unknown pools.
    pub fn apply_notice(&mut self, notice: &Notice, now: Millis) -> Change {
        self.apply_notice_in_pool(notice, None, now)
    }

    /// Takes what a peer tells; `pool_snapshot` is of the endpoint that ended.
    pub fn apply_notice_in_pool(
        &mut self,
        notice: &Notice,
        pool_snapshot: Option<PoolSnapshot>,
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
                self.record_end_in_pool(request, end, pool_snapshot, now)
            }
            Notice::Began { request, began } => self.record_start(request, at(began), now),
            Notice::Refused { request, since } => self.apply_refusal(request, at(since), now),
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
    pub fn refused_notices(&self, max: usize, now: Millis) -> Vec<Notice> {
        let requests = self.refused_requests(now).into_iter();
        let all = requests.flat_map(|request| {
            let history = self.histories.get(&request);
            let ends = history.map_or(&[][..], |history| &history.ends);
            let since = history.and_then(|history| history.cause_since.or(history.last_end()));
            let cause = since.map(|since| Notice::for_cause(request, since, now));
            let ends = ends
                .iter()
                .map(move |end| Notice::for_end(request, end, now));
            cause.into_iter().chain(ends)
        });
        all.take(max).collect()
    }

    /// Ends in a row under a request.
    pub fn consecutive_ends(&self, request: Fingerprint) -> usize {
        self.histories
            .get(&request)
            .map_or(0, RequestHistory::consecutive_count)
    }

    /// The requests that are refused now, the newest first.
    pub fn refused_requests(&self, now: Millis) -> Vec<Fingerprint> {
        let refused = self.histories.iter().filter(|(_, history)| {
            let until = Self::refused_until(history);
            until.is_some_and(|until| now < until)
        });
        let mut refused: Vec<_> = refused
            .map(|(key, history)| (history.last_event_at(), *key))
            .collect();
        refused.sort_unstable_by(|a, b| b.cmp(a));
        refused.into_iter().map(|(_, key)| key).collect()
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.histories.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    /// Forgets what is too old to matter.
    pub fn expire(&mut self, now: Millis) {
        self.histories.retain(|_, history| !history.is_expired(now));
    }

    /// Makes room for one more. What has the fewest ends goes first, so that no caller can make others
    /// forget a request that does end endpoints.
    fn make_room_for(&mut self, request: Fingerprint, now: Millis) {
        if self.histories.len() < MAX_HISTORIES || self.histories.contains_key(&request) {
            return;
        }
        self.expire(now);
        let mut all: Vec<_> = self.histories.iter().collect();
        all.sort_unstable_by_key(|(key, history)| {
            (history.consecutive_count(), history.last_event_at(), **key)
        });
        // An eighth at a time, so that a flood does not sort the table for each of its requests.
        let excess = (all.len() + MAX_HISTORIES / 8).saturating_sub(MAX_HISTORIES);
        let evicted: Vec<Fingerprint> = all.iter().take(excess).map(|(key, _)| **key).collect();
        for key in evicted {
            self.histories.remove(&key);
            self.unevaluated.remove(&key);
        }
    }
}
