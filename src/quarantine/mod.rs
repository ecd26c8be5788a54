//! Detects requests that make endpoints crash, and refuses them.
//!
//! A request that crashes every endpoint that starts to run it comes again under another id, at any
//! entry. One end of an endpoint proves nothing: dozens of requests are lost with an endpoint, and
//! endpoints also end for reasons of their own. So an end counts against a request only if that run
//! had started after the last counted end. Several copies that are lost at once, or a rack that
//! fails, count as one end. A run that an endpoint completes clears the request. From the third
//! consecutive end on the request is refused, or from the fourth or fifth where so many endpoints
//! end under other requests that it could be chance.
//!
//! A suspected request also runs only one copy at a time, over all entries as far as they hear each
//! other.
//!
//! What entries tell each other ([`Notice`]) is a set: receiving the same notice twice, or in
//! another order, changes nothing.

mod case;
mod lives;
mod notice;
mod notices;
pub mod parts;

use std::collections::HashMap;

use self::case::RequestHistory;
use self::lives::EndedIncarnations;
pub use self::notice::Notice;
pub use self::notices::RecentNotices;
use crate::clock::Millis;
use crate::fingerprint::Fingerprint;

/// Consecutive ends from which on a request may be refused. With two, innocent requests would be
/// refused where engines end one after the other.
pub const ENDS_TO_REFUSE: usize = 3;
/// Consecutive ends from which on a request is refused however many other endpoints end meanwhile.
const ENDS_TO_REFUSE_ALWAYS: usize = 5;
/// Consecutive ends that two requests share from which on the two don't run at the same time, since
/// only ends under one of them alone tell which is the cause. Dozens of requests share a single
/// end.
pub const ENDS_TO_SEPARATE: usize = 2;
/// Probability of an innocent request having been at all its ends, up to which it is still refused:
/// three of three endpoints that end are enough in a pool of nine.
const MAX_INNOCENT_CHANCE: f64 = 0.002;
/// Time within which several entries see the same end under several requests.
const SAME_END_TOLERANCE: Millis = Millis(200);
/// Time between the newest end of a request and its evaluation, in which other ends are reported:
/// some gossip rounds of a fleet of thirty entries.
const EVALUATION_DELAY: Millis = Millis(500);
/// Time after which another copy may run although the last one has not ended: an end that comes
/// later is no longer put down to that copy.
const TRIAL_TIME: Millis = Millis(1_500);
/// Maximum number of requests in the table; a full table takes 1.1 MB.
const MAX_HISTORIES: usize = 4_096;
/// Maximum number of notices in one message: with 17 bytes each they fit one packet on any path.
pub const MAX_NOTICES_PER_MESSAGE: usize = 72;

/// Digest of one incarnation of an endpoint; all entries compute the same one.
pub type IncarnationDigest = u32;

/// The end of an endpoint's incarnation while it ran a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointEnd {
    /// The endpoint's incarnation.
    pub endpoint: IncarnationDigest,
    /// When the run was sent to the endpoint.
    pub began: Millis,
    /// When the run was lost.
    pub ended: Millis,
}

/// The size of a pool when one of its endpoints ended. A request that is sent to the pool was at
/// one of its endpoints that accepted work then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolSnapshot {
    /// Digest of the pool's name.
    pub pool: u32,
    /// Number of its endpoints that accepted work, including the one that ended.
    pub endpoints: usize,
}

/// Whether a request may be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// It may: it is not suspected.
    Clear,
    /// Endpoints ended while they ran it. It may run, one copy at a time, and its start is reported
    /// to peers.
    Suspect {
        /// Number of consecutive ends.
        ends: usize,
    },
    /// It is suspected and has to wait: a copy of it runs somewhere, or another request that shares
    /// its ends does, or it is not evaluated yet.
    MustWait {
        /// Number of consecutive ends.
        ends: usize,
        /// When the running copy was sent; `None` where none runs.
        began: Option<Millis>,
        /// When another copy may run at the latest.
        until: Millis,
    },
    /// It is not sent, since it is taken for the cause of ends.
    Refused {
        /// Number of consecutive ends.
        ends: usize,
        /// When the refusal expires.
        until: Millis,
    },
}

/// What an observation or a notice changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing: it was known, or the request is not suspected.
    None,
    /// A further end under a request was recorded.
    Suspected {
        /// Number of consecutive ends.
        ends: usize,
    },
    /// The request is taken for the cause of ends and refused from now on.
    Refused {
        /// Number of consecutive ends.
        ends: usize,
        /// When the refusal expires.
        until: Millis,
    },
    /// A suspected request started to run.
    Began,
    /// A request is no longer suspected.
    Cleared,
}

/// All requests under which endpoints ended, as far as this process knows.
#[derive(Debug, Default)]
pub struct Quarantine {
    histories: HashMap<Fingerprint, RequestHistory>,
    /// Notices to be sent to peers.
    recent: RecentNotices,
    /// Endpoints that ended lately, under any request.
    ended: EndedIncarnations,
    /// When this process started; set where peers may report ends from before, of which it knows
    /// only a part.
    process_started: Option<Millis>,
    /// Requests with enough ends to be refused that are not evaluated yet, and when each is due.
    unevaluated: HashMap<Fingerprint, Millis>,
}

impl Quarantine {
    /// A quarantine for a process that starts now: of earlier ends it knows only what peers report.
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
        // A run that started before the last end is the one that ended, or was lost with it.
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

    /// Until when another request that shares the newest ends is taken to run; `None` where none
    /// runs.
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

    /// Records an end under a request, of an endpoint whose pool is unknown.
    pub fn record_end(&mut self, request: Fingerprint, end: EndpointEnd, now: Millis) -> Change {
        self.record_end_in_pool(request, end, None, now)
    }

    /// Records an end under a request; `pool_snapshot` is the size of the endpoint's pool then, if
    /// known.
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
        // All ends are reported again, since a peer that missed an earlier one would count too few.
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

    /// Evaluates the requests that are due, and returns those that are refused from now on.
    ///
    /// The delay lets reports of simultaneous ends arrive, which take some gossip rounds. Without
    /// it, one of 1,274 innocent requests was taken for the cause when a third of 56 endpoints
    /// ended together.
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

    /// Takes a request for the cause of its ends: these no longer count against other requests.
    fn mark_as_cause(&mut self, request: Fingerprint, now: Millis) {
        let Some(history) = self.histories.get_mut(&request) else {
            return;
        };
        let since = history.cause_since.or(history.last_end()).unwrap_or(now);
        history.cause_since = Some(since);
        let notice = Notice::for_cause(request, since, now);
        self.recent.add(notice, history.consecutive_count(), now);
    }

    /// Applies a peer's report that it takes a request for the cause of ends since `since`.
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

    /// Whether another request that was lost in the same end explains it: one that had been taken
    /// for the cause before, or that went on to end endpoints without this request.
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

    /// Sets the number of endpoints that is used for ends of endpoints whose pool is unknown.
    pub fn set_endpoint_count(&mut self, count: usize) {
        self.ended.endpoint_count = count;
    }

    /// Until when a request is refused; `None` where it is not taken for the cause.
    fn refused_until(history: &RequestHistory) -> Option<Millis> {
        let until = history.refused_until()?;
        history.cause_since.map(|_| until)
    }

    /// Whether a request is taken for the cause of its consecutive ends: an innocent one would
    /// hardly have been at each of them.
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

    /// Records that a suspected request was sent to an endpoint at `at`.
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

    /// Records that an endpoint completed a request at `at`, which clears it of earlier ends.
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

    /// Applies a peer's notice; the pool of the endpoint that ended, if any, is unknown.
    pub fn apply_notice(&mut self, notice: &Notice, now: Millis) -> Change {
        self.apply_notice_in_pool(notice, None, now)
    }

    /// Applies a peer's notice; `pool_snapshot` is the size of the pool of the endpoint that ended,
    /// if known.
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

    /// Notices to be sent to peers.
    pub fn recent(&self) -> &RecentNotices {
        &self.recent
    }

    /// Notices for a peer that was not heard for a while, at most `max`: those of the requests
    /// refused now, the newest requests first.
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

    /// Number of consecutive ends under a request; 0 for one that is not suspected.
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

    /// Number of requests in the table.
    pub fn len(&self) -> usize {
        self.histories.len()
    }

    /// Whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty()
    }

    /// Removes the requests whose ends and refusals are too old to matter.
    pub fn expire(&mut self, now: Millis) {
        self.histories.retain(|_, history| !history.is_expired(now));
    }

    /// Makes room for `request` in a full table. Requests with the fewest ends are removed first,
    /// so that no caller can displace a request that does crash endpoints.
    fn make_room_for(&mut self, request: Fingerprint, now: Millis) {
        if self.histories.len() < MAX_HISTORIES || self.histories.contains_key(&request) {
            return;
        }
        self.expire(now);
        let mut all: Vec<_> = self.histories.iter().collect();
        all.sort_unstable_by_key(|(key, history)| {
            (history.consecutive_count(), history.last_event_at(), **key)
        });
        // Frees an eighth of the table at a time, so that a flood does not sort it for each
        // request.
        let excess = (all.len() + MAX_HISTORIES / 8).saturating_sub(MAX_HISTORIES);
        let evicted: Vec<Fingerprint> = all.iter().take(excess).map(|(key, _)| **key).collect();
        for key in evicted {
            self.histories.remove(&key);
            self.unevaluated.remove(&key);
        }
    }
}
