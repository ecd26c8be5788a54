//! Requests that wait at one entry for capacity of a mixed pool, and which of them is tried next.
//!
//! It handles bursts of several times the load that the engines can take, over many entries that
//! see each other's choices some hundred ms late. Only requests that admission refuses wait; each
//! is tried again, by the same admission, while capacity becomes free.
//!
//! The queue of the granted path ([`crate::queue`]) does not fit: it serves one endpoint, orders a
//! class by its teams' virtual times and arrivals, and hands out slots that it alone owns. Here the
//! order is by the time at which answers are due, fairness between teams is decided over all
//! entries, and the capacity is shared with entries that do not see each other's sends at once.
//!
//! After a full stop all entries see the same free capacity. Each sends from its queue at a bounded
//! rate: its part, by waiting tokens, of somewhat more than the engines can prefill, and no more
//! than admission lets in of its arrivals. Requests that admission would send on arrival don't
//! count.
//!
//! Late requests, whose answers can no longer begin within the target, would make others late by
//! their prompts. They are sent only into capacity that requests in time don't need: while the pool
//! is calm, at most at its recent pace, and none while a request that can be in time waits here or
//! at a peer.

use std::collections::VecDeque;

use slotmap::{new_key_type, SlotMap};

use crate::clock::Millis;
use crate::direct::admission::waiting_peers::{BandSummary, PoolSummary, WaitingPeers};
use crate::direct::known::load::BANDS;
use crate::direct::peers::PeerId;

new_key_type! {
    /// Identifies a waiting request in its queue.
    pub struct WaitingKey;
}

/// Window over which the pace of sending is measured.
const PACE_WINDOW: Millis = Millis(4_000);
/// Number of requests of the usual length that must have been sent within [`PACE_WINDOW`] for the
/// pace to count as measured.
const MIN_PACE_SAMPLE: f64 = 8.0;
/// Ratio of the rate at which queues may be emptied to the rate at which the typical engines
/// prefill: the queue must not be slower than the engines, some of which are faster.
const RELEASE_FACTOR: f64 = 2.0;
/// Multiple of an equal share of the capacity that an entry may take while it can't know how much
/// waits at others, since some entries have more callers than others.
const BURST_FACTOR: f64 = 2.0;
/// Requests that admission may refuse in one look before the look ends: each costs the choice of
/// an endpoint.
const MAX_FAILED_TRIALS: u32 = 2;
/// Multiple of the expected time to the first event that a request must have left to count as in
/// time. The expected time is a mean, and many answers take longer.
const LATE_MARGIN: f64 = 1.6;
/// Weight of the newest run in the mean times of runs.
const RUN_WEIGHT: f64 = 0.1;

/// A request that waits.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitingRequest {
    /// Urgency band; 0 is the most urgent.
    pub band: usize,
    /// Usage of its team over the team's share of the pool; 1 or less is within the share.
    pub excess: f64,
    /// Prompt tokens that an engine will have to prefill for it.
    pub unread: u32,
    /// Length of its body, in bytes.
    pub body_bytes: usize,
    /// When its answer is due to begin.
    pub due: Millis,
    /// When the time for its whole answer is over.
    pub deadline: Millis,
}

/// Order in which requests are tried, first to last: in time or late, by band, within or beyond the
/// team's share, and the time at which the answer is due or, if late, at which its time is over.
type Rank = (bool, usize, bool, Millis);

/// What an entry knows of a pool and of the other entries when it looks for capacity.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Supply {
    /// Number of endpoints that accept requests.
    pub endpoints: usize,
    /// Prompt tokens that all engines together prefill in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Number of entries that send to the pool, as assumed while not all may be known.
    pub entries: usize,
    /// Mean time until other entries see what this one sends.
    pub visibility_delay: Millis,
    /// Time in which every entry nearby is heard.
    pub hearing_time: Millis,
    /// Part of the other entries whose reports are heard within their lifetime, from 0 to 1.
    pub heard_fraction: f64,
}

/// A waiting request and when it was tried.
#[derive(Debug)]
struct Waiting {
    req: WaitingRequest,
    /// Number of the look in which it was last tried; 0 if it was not.
    tried_in: u64,
}

/// Mean times of the runs of a band, in ms; `None` before the first one.
#[derive(Debug, Clone, Copy, Default)]
struct RunTimes {
    first_event: Option<f64>,
    end: Option<f64>,
}

/// The requests that wait at one entry for one pool.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    waiting: SlotMap<WaitingKey, Waiting>,
    /// Since when something waits without a break; `None` while nothing does.
    since: Option<Millis>,
    /// The request that is being tried.
    trying: Option<WaitingKey>,
    /// Number of the current look, from 1.
    look: u64,
    /// Requests that were tried in the current look, and those of them that were not sent.
    trials: u32,
    failed: u32,
    /// Number of requests that may be sent from the queue now.
    allowance: f64,
    /// When the allowance was last increased.
    allowance_at: Millis,
    /// Requests that admission lets this entry send within the visibility delay, by the last trial;
    /// `None` if it sets no limit.
    admitted: Option<f64>,
    /// Whether the pool was calm at the last trial.
    is_calm: bool,
    /// Requests that may wait and were sent within [`PACE_WINDOW`], oldest first: when, and their
    /// unread tokens.
    sent: VecDeque<(Millis, u32)>,
    peers: WaitingPeers,
    runs: [RunTimes; BANDS],
    /// When the process stops at the latest.
    stop_at: Option<Millis>,
}

impl WaitingQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Bytes of the bodies of waiting requests.
    pub fn body_bytes(&self) -> usize {
        self.waiting.values().map(|w| w.req.body_bytes).sum()
    }

    /// Prompt tokens of the waiting requests.
    pub fn unread_tokens(&self) -> u64 {
        self.waiting.values().map(|w| u64::from(w.req.unread)).sum()
    }

    /// Adds a request that admission refused just now.
    pub fn push(&mut self, req: WaitingRequest, now: Millis) -> WaitingKey {
        self.since.get_or_insert(now);
        let tried_in = self.look;
        self.waiting.insert(Waiting { req, tried_in })
    }

    /// Adds a request that admission would send, behind those that go first. As many requests may
    /// be sent as without those.
    pub fn push_admitted(&mut self, req: WaitingRequest, now: Millis) -> WaitingKey {
        self.allowance += 1.0;
        self.since.get_or_insert(now);
        self.waiting.insert(Waiting { req, tried_in: 0 })
    }

    /// Whether a request that waits here goes before one that arrives now and that admission would
    /// send. Late ones don't: they have a stricter bound.
    pub fn goes_behind(&self, req: &WaitingRequest, now: Millis) -> bool {
        let rank = self.rank(req, now);
        let mut in_time = self.in_time(now);
        in_time.any(|waiting| self.rank(waiting, now) < rank)
    }

    /// Removes a request: it is sent, or its caller left, or it is refused.
    pub fn remove(&mut self, key: WaitingKey) -> Option<WaitingRequest> {
        let removed = self.waiting.remove(key);
        if self.trying == Some(key) {
            self.trying = None;
        }
        if self.waiting.is_empty() {
            self.since = None;
        }
        removed.map(|w| w.req)
    }

    /// Begins a look at the pool's capacity: requests may be tried again.
    pub fn begin_look(&mut self, now: Millis, supply: &Supply) {
        self.look += 1;
        (self.trials, self.failed) = (0, 0);
        self.refill(now, supply);
    }

    /// The request that is to be tried now. The caller ends the trial with [`Self::fail`],
    /// [`Self::send`] or [`Self::remove`]; until then there is no other. `None` if the look is over.
    ///
    /// The first in order is tried first. After one that failed come those that have not been tried
    /// for longest, so that a request which no endpoint can take does not keep others waiting. One
    /// is tried even if none may be sent, since the trial tells how many admission lets in.
    pub fn next(&mut self, now: Millis) -> Option<WaitingKey> {
        let is_used_up = self.trials > 0 && self.allowance < 1.0;
        if self.trying.is_some() || self.failed >= MAX_FAILED_TRIALS || is_used_up {
            return None;
        }
        let tries_late = self.allowance.is_infinite() || !self.yields_to_in_time(now);
        let untried = self
            .waiting
            .iter()
            .filter(|(_, w)| w.tried_in < self.look && (tries_late || !self.is_late(&w.req, now)));
        let turn = |w: &Waiting| if self.failed > 0 { w.tried_in } else { 0 };
        let first = untried.min_by_key(|(_, w)| (turn(w), self.rank(&w.req, now)));
        let key = first?.0;
        self.waiting[key].tried_in = self.look;
        self.trials += 1;
        self.trying = Some(key);
        Some(key)
    }

    /// Whether this request is the one that is to be tried now.
    pub fn is_trying(&self, key: WaitingKey) -> bool {
        self.trying == Some(key)
    }

    /// Ends a trial: the request is not sent now.
    pub fn fail(&mut self, key: WaitingKey) {
        if self.trying == Some(key) {
            self.trying = None;
            self.failed += 1;
        }
    }

    /// Ends a trial in which admission let the request pass: sends it, if one more may be sent from
    /// the queue, and the pool is calm if it is late. False if it has to be tried again.
    pub fn send(&mut self, key: WaitingKey, now: Millis) -> bool {
        let waiting = self.waiting.get(key);
        if !self.is_calm && waiting.is_some_and(|w| self.is_late(&w.req, now)) {
            self.fail(key);
            // Nor may any other late one be sent.
            self.failed = MAX_FAILED_TRIALS;
            return false;
        }
        if self.allowance < 1.0 {
            self.fail(key);
            return false;
        }
        if let Some(req) = self.remove(key) {
            self.allowance -= 1.0;
            self.record_sent(&req, now);
        }
        true
    }

    /// Records that a request that may wait is sent.
    pub fn record_sent(&mut self, req: &WaitingRequest, now: Millis) {
        while self.sent.front().is_some_and(|s| s.0 + PACE_WINDOW < now) {
            self.sent.pop_front();
        }
        self.sent.push_back((now, req.unread));
    }

    /// Records what a trial shows of the pool: how many requests admission would let this entry
    /// send within the visibility delay, `None` if it sets no limit, and whether the pool is calm.
    pub fn record_trial(&mut self, admitted: Option<f64>, is_calm: bool) {
        (self.admitted, self.is_calm) = (admitted, is_calm);
    }

    /// Whether an answer to a request that arrives now could come before its time is over: it can
    /// be sent while its answer would be in time, or what waits here and at peers is sent early
    /// enough. Also if the pace is not known.
    pub fn can_serve(&self, req: &WaitingRequest, now: Millis) -> bool {
        if now > self.latest_start(req) {
            return false;
        }
        let Some(expected) = self.expected_wait(req, now) else {
            return true;
        };
        now + expected <= self.latest_start(req) || self.comes_in_time(req, now)
    }

    /// Expected time until all is sent that waits here and at peers, and a request that arrives
    /// now, at the pace of the last seconds; `None` if that is not known.
    pub fn expected_wait(&self, req: &WaitingRequest, now: Millis) -> Option<Millis> {
        let pace = self.pool_pace(f64::from(req.unread), now)?;
        let tokens = self.own_tokens(|w| w.band <= req.band)
            + self.peers.tokens_up_to(req.band, now)
            + f64::from(req.unread);
        Some(Millis((tokens / pace) as u64))
    }

    /// Prompt tokens per millisecond that this entry and the peers at which requests wait sent in
    /// the last seconds; `None` if these were too few requests of this many tokens.
    fn pool_pace(&self, request_tokens: f64, now: Millis) -> Option<f64> {
        let pace = self.pace(now) + self.peers.pace(now);
        let sample = pace * PACE_WINDOW.0 as f64 / request_tokens.max(1.0);
        (sample >= MIN_PACE_SAMPLE).then_some(pace)
    }

    /// What is told to peers; `None` while nothing waits.
    pub fn summary(&self, now: Millis) -> Option<PoolSummary> {
        if self.waiting.is_empty() {
            return None;
        }
        let mut bands = [BandSummary::default(); BANDS];
        for Waiting { req, .. } in self.waiting.values() {
            bands[req.band].add(req.unread);
        }
        let has_in_time = self.in_time(now).next().is_some();
        Some(PoolSummary::new(bands, self.pace(now), has_in_time))
    }

    /// Takes a peer's summary. It replaces the one before.
    pub fn record_peer(&mut self, from: PeerId, summary: PoolSummary, now: Millis) {
        self.peers.record(from, summary, now);
    }

    /// Records how long a run took until its first event.
    pub fn record_first_event(&mut self, band: usize, time: Millis) {
        update_mean(&mut self.runs[band].first_event, time);
    }

    /// Records how long a run took until the end of its answer.
    pub fn record_run(&mut self, band: usize, time: Millis) {
        update_mean(&mut self.runs[band].end, time);
    }

    /// Latest start at which the answer can still end in time, also before the process stops.
    pub fn latest_start(&self, req: &WaitingRequest) -> Millis {
        let end = self
            .stop_at
            .map_or(req.deadline, |stop| req.deadline.min(stop));
        end - self.runs[req.band].end.map(millis).unwrap_or_default()
    }

    /// Sets when the process stops at the latest: requests that would not be answered by then are
    /// refused, so that their callers go elsewhere in time.
    pub fn stop_at(&mut self, at: Millis) {
        self.stop_at = Some(at);
    }

    /// Handles the end of a suspension: what peers reported is outdated, and nobody knows of this
    /// entry's requests any more, so it takes no more than an equal share until peers were heard.
    pub fn resume(&mut self, now: Millis) {
        self.since = (!self.waiting.is_empty()).then_some(now);
        self.allowance_at = now;
        self.peers.clear();
    }

    fn rank(&self, req: &WaitingRequest, now: Millis) -> Rank {
        let is_late = self.is_late(req, now);
        let at = if is_late { req.deadline } else { req.due };
        (is_late, req.band, req.excess > 1.0, at)
    }

    /// Whether the answer to a request that is sent now can't be counted on to begin in time.
    fn is_late(&self, req: &WaitingRequest, now: Millis) -> bool {
        let expected = self.runs[req.band].first_event.unwrap_or_default();
        now + millis(expected * LATE_MARGIN) > req.due
    }

    /// Requests that wait here and can be in time.
    fn in_time(&self, now: Millis) -> impl Iterator<Item = &WaitingRequest> {
        let waiting = self.waiting.values().map(|w| &w.req);
        waiting.filter(move |req| !self.is_late(req, now))
    }

    /// Whether late requests are held for one here or at a peer that can be in time.
    fn yields_to_in_time(&self, now: Millis) -> bool {
        self.in_time(now).next().is_some() || self.peers.have_in_time(now)
    }

    fn first_event_time(&self, band: usize) -> Millis {
        self.runs[band].first_event.map(millis).unwrap_or_default()
    }

    /// Whether the answer to a request that arrives now would begin in time, behind those that go
    /// first here at this entry's own pace.
    fn comes_in_time(&self, req: &WaitingRequest, now: Millis) -> bool {
        let rank = self.rank(req, now);
        let tokens = self.own_tokens(|w| self.rank(w, now) <= rank) + f64::from(req.unread);
        let wait = Millis((tokens / self.pace(now).max(f64::EPSILON)) as u64);
        now + wait + self.first_event_time(req.band) <= req.due
    }

    /// Increases the allowance for the time since the last look.
    fn refill(&mut self, now: Millis, supply: &Supply) {
        let rate = self.release_rate(now, supply);
        let added = rate * (now - self.allowance_at).0 as f64;
        let most = (rate * supply.visibility_delay.0 as f64).max(1.0);
        self.allowance = match supply.endpoints {
            // Each trial ends a wait.
            0 => f64::INFINITY,
            _ => (self.allowance + added).min(most),
        };
        self.allowance_at = now;
    }

    /// Requests per millisecond that may be sent from the queue; 0 while more urgent ones wait at
    /// a peer.
    fn release_rate(&self, now: Millis, supply: &Supply) -> f64 {
        let Some(band) = self.waiting.values().map(|w| w.req.band).min() else {
            return 0.0;
        };
        if band > 0 && self.peers.tokens_up_to(band - 1, now) > 0.0 {
            return 0.0;
        }
        let mean_tokens = (self.unread_tokens() as f64 / self.len() as f64).max(1.0);
        let prefilled = supply.prefill_tokens_per_ms * RELEASE_FACTOR / mean_tokens;
        let admitted = self.admitted.unwrap_or(f64::INFINITY);
        let admitted = admitted / supply.visibility_delay.0.max(1) as f64;
        let pace = match self.in_time(now).next() {
            Some(_) => f64::INFINITY,
            // Only late ones wait.
            None => {
                self.pool_pace(mean_tokens, now)
                    .unwrap_or(supply.prefill_tokens_per_ms)
                    / mean_tokens
            }
        };
        (prefilled.min(pace) * self.share(band, now, supply)).min(admitted)
    }

    /// This entry's share of the capacity for requests of a band, from 0 to 1.
    fn share(&self, band: usize, now: Millis, supply: &Supply) -> f64 {
        // Peers' reports are of the time before these were sent.
        let since = now - supply.visibility_delay;
        let own = self.own_tokens(|w| w.band == band) + self.sent_since(since);
        let peers = self.peers.tokens_in(band, now) / supply.heard_fraction.max(f64::EPSILON);
        let share = own / (own + peers).max(1.0);
        let equal_share = BURST_FACTOR / supply.entries.max(1) as f64;
        match self.since {
            Some(at) if now < at + supply.hearing_time => share.min(equal_share),
            _ => share,
        }
    }

    /// Prompt tokens that wait here in requests for which `counts` is true.
    fn own_tokens(&self, counts: impl Fn(&WaitingRequest) -> bool) -> f64 {
        let counted = self.waiting.values().filter(|w| counts(&w.req));
        counted.map(|w| f64::from(w.req.unread)).sum()
    }

    /// Prompt tokens per millisecond that this entry sent in the last seconds.
    fn pace(&self, now: Millis) -> f64 {
        self.sent_since(now - PACE_WINDOW) / PACE_WINDOW.0 as f64
    }

    /// Prompt tokens that were sent since a point in time.
    fn sent_since(&self, since: Millis) -> f64 {
        let recent = self.sent.iter().rev().take_while(|(at, _)| *at > since);
        recent.map(|(_, tokens)| f64::from(*tokens)).sum()
    }
}

fn update_mean(mean: &mut Option<f64>, time: Millis) {
    let new = time.0 as f64;
    *mean = Some(mean.map_or(new, |old| old + (new - old) * RUN_WEIGHT));
}

fn millis(ms: f64) -> Millis {
    Millis(ms as u64)
}
