//! Requests that wait at one entry for capacity of a mixed pool, and when each of them is sent.
//!
//! It handles bursts of several times the load that the engines can take, over many entries that
//! see each other's choices some hundred ms late. Work that is queued at an engine holds memory,
//! slows streams and is lost with the engine; work that waits here does none of that.
//!
//! The queue of the granted path ([`crate::queue`]) does not fit: it serves one endpoint, orders a
//! class by its teams' virtual times and arrivals, and hands out slots that it alone owns. Here the
//! order is by the latest useful start, fairness between teams is decided over all entries, and the
//! capacity is shared with entries that do not see each other's sends at once.
//!
//! An entry takes its part of the free capacity: in proportion to its waiting tokens among those
//! that entries reported. What it sent within the time for which peers can't see it counts as used
//! from that part, so that all entries together don't take the same capacity twice.

use std::collections::VecDeque;

use slotmap::{new_key_type, SlotMap};

use crate::clock::Millis;
use crate::direct::admission::waiting_peers::{BandSummary, PoolSummary, WaitingPeers};
use crate::direct::known::load::BANDS;
use crate::direct::peers::{NameDigest, PeerId};

new_key_type! {
    /// Identifies a waiting request in its queue.
    pub struct WaitingKey;
}

/// Window over which the pace of sending is measured.
const PACE_WINDOW: Millis = Millis(4_000);
/// Part of the engines' prefill capacity that is assumed to be available to this kind of requests
/// until the pace is known: more urgent kinds and repeated prefill take the rest.
const ASSUMED_PACE_FRACTION: f64 = 0.5;
/// Multiple of an equal share of the free capacity that an entry may take while it can't know how
/// much waits at others, since some entries have more callers than others.
const BURST_FACTOR: f64 = 2.0;
/// Multiple of the time left at which the expected wait of a request that already waits leads to a
/// refusal: the estimate varies, and a wait that ends in a refusal is the worst for a caller.
const WORSE_FACTOR: f64 = 2.0;
/// Weight of the newest run in the mean time of runs.
const RUN_TIME_WEIGHT: f64 = 0.1;

/// Capacity of engines, or its use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Capacity {
    /// Prompt tokens to be prefilled.
    pub unread: f64,
    /// Memory, in tokens.
    pub held: f64,
    /// Slots of batches.
    pub slots: f64,
}

impl Capacity {
    /// The sum of both.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            unread: self.unread + other.unread,
            held: self.held + other.held,
            slots: self.slots + other.slots,
        }
    }

    fn times(self, factor: f64) -> Self {
        Self {
            unread: self.unread * factor,
            held: self.held * factor,
            slots: self.slots * factor,
        }
    }

    fn minus(self, other: Self) -> Self {
        self.plus(other.times(-1.0))
    }

    fn is_positive(&self) -> bool {
        self.unread > 0.0 && self.held > 0.0 && self.slots > 0.0
    }

    fn covers(&self, need: Self) -> bool {
        self.unread >= need.unread && self.held >= need.held && self.slots >= need.slots
    }
}

/// A request that waits, or asks whether it has to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WaitingRequest {
    /// Urgency band; 0 is the most urgent.
    pub band: usize,
    /// The request's team.
    pub team: NameDigest,
    /// What its team asks for over the team's share of the pool, as of the last look at the queue; 1
    /// or less is within the share.
    pub excess: f64,
    /// When it arrived.
    pub arrived: Millis,
    /// Prompt tokens that an engine will have to prefill for it.
    pub unread: u32,
    /// Memory of an engine that it will use, in tokens.
    pub held: u32,
    /// Length of its body, in bytes.
    pub body_bytes: usize,
    /// Latest start at which the answer still serves its caller.
    pub latest_start: Millis,
}

impl WaitingRequest {
    fn need(&self) -> Capacity {
        Capacity {
            unread: f64::from(self.unread),
            held: f64::from(self.held),
            slots: 1.0,
        }
    }

    /// Order in which requests are sent, first to last: by band, then those within their team's
    /// share, then by latest start.
    fn rank(&self) -> (usize, bool, Millis) {
        (self.band, self.excess > 1.0, self.latest_start)
    }
}

/// What an entry knows of a pool's free capacity when it decides.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Room {
    /// Number of endpoints that accept requests.
    pub endpoints: usize,
    /// Capacity that the engines have left for requests that may wait.
    pub free: Capacity,
    /// Prompt tokens that all engines together prefill in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Number of entries that send to the pool and are known, including this one.
    pub entries: usize,
    /// The same, or more while not all may be known.
    pub assumed_entries: usize,
    /// Mean time until other entries see what this one sends.
    pub visibility_delay: Millis,
    /// Time in which every entry nearby is heard.
    pub hearing_time: Millis,
    /// Part of the other entries whose reports are heard within their lifetime, from 0 to 1.
    pub heard_fraction: f64,
    /// Random number from 0 to 1. It decides who takes capacity that is less than one request for
    /// each entry.
    pub draw: f64,
}

/// A request that was sent, or is about to be.
#[derive(Debug, Clone, Copy)]
struct Sent {
    at: Millis,
    need: Capacity,
}

/// The requests that wait at one entry for one pool.
#[derive(Debug)]
pub struct WaitingQueue {
    waiting: SlotMap<WaitingKey, WaitingRequest>,
    /// Since when something waits without a break; `None` while nothing does.
    since: Option<Millis>,
    /// Requests that may wait and were sent within [`PACE_WINDOW`], oldest first.
    sent: VecDeque<Sent>,
    /// What was allowed to start and is not counted as load of an endpoint yet.
    starting: Capacity,
    /// Number from 0 to 1 drawn for the current decision, and when it was drawn.
    draw: Option<(Millis, f64)>,
    /// What peers reported.
    peers: WaitingPeers,
    /// Mean time of runs by band, in ms; `None` before the first one.
    run_ms: [Option<f64>; BANDS],
    /// When the process stops at the latest.
    stop_at: Option<Millis>,
}

impl WaitingQueue {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            waiting: SlotMap::with_key(),
            since: None,
            sent: VecDeque::new(),
            starting: Capacity::default(),
            draw: None,
            peers: WaitingPeers::default(),
            run_ms: [None; BANDS],
            stop_at: None,
        }
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
        self.waiting.values().map(|req| req.body_bytes).sum()
    }

    /// Prompt tokens of the waiting requests.
    pub fn unread_tokens(&self) -> u64 {
        self.waiting.values().map(|req| u64::from(req.unread)).sum()
    }

    /// Adds a request; it keeps its place in the order if it waited before.
    pub fn push(&mut self, req: WaitingRequest, now: Millis) -> WaitingKey {
        self.since.get_or_insert(now);
        self.waiting.insert(req)
    }

    /// Removes a request whose caller left, or that is refused; does nothing if it waits no more.
    pub fn remove(&mut self, key: WaitingKey) -> Option<WaitingRequest> {
        let removed = self.waiting.remove(key);
        if self.waiting.is_empty() {
            self.since = None;
        }
        removed
    }

    /// The request that gives its place in a full queue to one within its team's share: the newest
    /// one beyond its share that is not more urgent. `None` if there is none.
    pub fn displaced_by(&self, req: &WaitingRequest) -> Option<WaitingKey> {
        let gives_way = |waiting: &WaitingRequest| {
            waiting.excess > 1.0 && waiting.band >= req.band && req.excess <= 1.0
        };
        let beyond = self.waiting.iter().filter(|(_, req)| gives_way(req));
        let newest = beyond.max_by_key(|(_, req)| req.arrived)?;
        Some(newest.0)
    }

    /// Sets the excess of all waiting requests anew, by their teams.
    pub fn refresh_excess(&mut self, mut excess: impl FnMut(NameDigest) -> f64) {
        for req in self.waiting.values_mut() {
            req.excess = excess(req.team);
        }
    }

    /// Takes the next request off the queue if the capacity that is free lets it start now. The
    /// caller ends the start with [`Self::started`].
    pub fn next(&mut self, now: Millis, room: &Room) -> Option<WaitingKey> {
        let (key, req) = self.first(now)?;
        if room.endpoints > 0 && !self.may_start(&req, now, room) {
            return None;
        }
        self.draw = None;
        self.remove(key);
        self.start(&req, now);
        Some(key)
    }

    /// Whether a request that just arrived may start without waiting: nothing that goes first waits
    /// here or at a peer, and the capacity that is free suffices.
    pub fn starts_at_once(&self, req: &WaitingRequest, now: Millis, room: &Room) -> bool {
        let goes_first = |waiting: &WaitingRequest| waiting.band <= req.band;
        let is_first = !self.waiting.values().any(goes_first)
            && self.peers.waiting_up_to(req.band, now).unread <= 0.0;
        is_first && self.is_within_part(req, equal_share(room), 1.0, now, room)
    }

    /// Counts a request as starting.
    pub fn start(&mut self, req: &WaitingRequest, now: Millis) {
        while self.sent.front().is_some_and(|s| s.at + PACE_WINDOW < now) {
            self.sent.pop_front();
        }
        let need = req.need();
        self.sent.push_back(Sent { at: now, need });
        self.starting = self.starting.plus(need);
    }

    /// Ends a start: the request counts as load of an endpoint from now on, or was given up.
    pub fn started(&mut self, req: &WaitingRequest) {
        self.starting = self.starting.minus(req.need());
    }

    /// Takes back a start that found no endpoint with room.
    pub fn undo_start(&mut self, req: &WaitingRequest) {
        let need = req.need();
        if let Some(at) = self.sent.iter().rposition(|sent| sent.need == need) {
            self.sent.remove(at);
        }
    }

    /// The requests that are to be refused now, since no answer could come in a time that serves
    /// their callers: their latest start is over, or the work ahead of them takes much longer than
    /// when they arrived.
    pub fn hopeless(&self, now: Millis, room: &Room) -> Vec<WaitingKey> {
        let mut all: Vec<_> = self.waiting.iter().collect();
        all.sort_by_key(|(_, req)| req.rank());
        let own = self.own_tokens(BANDS - 1);
        let ms_per_token = self.wait_ms(1.0, own, BANDS - 1, now, room);
        let mut ahead = 0.0;
        let mut hopeless = Vec::new();
        for (key, req) in all {
            let left_ms = (self.latest_start(req) - now).0 as f64;
            let factor = if self.stop_at.is_some() {
                1.0
            } else {
                WORSE_FACTOR
            };
            if left_ms <= 0.0 || ahead * ms_per_token > left_ms * factor {
                hopeless.push(key);
            } else {
                ahead += f64::from(req.unread);
            }
        }
        hopeless
    }

    /// Whether a request that arrives now could start in time, behind everything that goes first.
    pub fn can_serve(&self, req: &WaitingRequest, now: Millis, room: &Room) -> bool {
        now + self.expected_wait(req, now, room) <= self.latest_start(req)
    }

    /// Expected time until a request that arrives now could start: the work ahead of it, here and
    /// at peers, at the pace of the last seconds.
    pub fn expected_wait(&self, req: &WaitingRequest, now: Millis, room: &Room) -> Millis {
        let ahead: f64 = self
            .waiting
            .values()
            .filter(|waiting| waiting.rank() <= req.rank())
            .map(|waiting| f64::from(waiting.unread))
            .sum();
        let new = f64::from(req.unread);
        let own = self.own_tokens(req.band) + new;
        Millis(self.wait_ms(ahead + new, own, req.band, now, room) as u64)
    }

    /// What is told to peers; `None` while nothing waits.
    pub fn summary(&self, now: Millis, room: &Room) -> Option<PoolSummary> {
        if self.waiting.is_empty() {
            return None;
        }
        let mut bands = [BandSummary::default(); BANDS];
        for req in self.waiting.values() {
            bands[req.band].add(req.unread);
        }
        Some(PoolSummary::new(bands, self.pace(now, room)))
    }

    /// Takes a peer's summary. It replaces the one before.
    pub fn record_peer(&mut self, from: PeerId, summary: PoolSummary, now: Millis) {
        self.peers.record(from, summary, now);
    }

    /// Notes how long a run took, from its start to the end of its answer.
    pub fn record_run(&mut self, band: usize, time: Millis) {
        let new = time.0 as f64;
        let mean = self.run_ms[band].map_or(new, |old| old + (new - old) * RUN_TIME_WEIGHT);
        self.run_ms[band] = Some(mean);
    }

    /// Mean time of the runs of a band, from start to end; `None` before the first one.
    pub fn run_time(&self, band: usize) -> Option<Millis> {
        self.run_ms[band].map(|ms| Millis(ms as u64))
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
        self.peers.clear();
    }

    /// The request that goes first, of those that can still be served.
    fn first(&self, now: Millis) -> Option<(WaitingKey, WaitingRequest)> {
        let useful = self
            .waiting
            .iter()
            .filter(|(_, req)| now <= self.latest_start(req));
        let first = useful.min_by_key(|(_, req)| req.rank())?;
        Some((first.0, *first.1))
    }

    /// The latest useful start of a request; earlier if the process stops before it would end.
    fn latest_start(&self, req: &WaitingRequest) -> Millis {
        let run = self.run_time(req.band).unwrap_or_default();
        match self.stop_at {
            Some(stop) => req.latest_start.min(stop - run),
            None => req.latest_start,
        }
    }

    /// Whether the capacity that is free lets a request start that goes first here.
    fn may_start(&mut self, req: &WaitingRequest, now: Millis, room: &Room) -> bool {
        let draw = match self.draw {
            Some((at, draw)) if now < at + room.visibility_delay => draw,
            _ => {
                self.draw = Some((now, room.draw));
                room.draw
            }
        };
        let share = self.share(req.band, now, room);
        self.is_within_part(req, share, draw, now, room)
    }

    /// Whether a request fits this entry's part of the free capacity. A request may take up to
    /// `1 - draw` of its need beyond that part, so that on average the part is used up where it is
    /// less than one request.
    fn is_within_part(
        &self,
        req: &WaitingRequest,
        share: f64,
        draw: f64,
        now: Millis,
        room: &Room,
    ) -> bool {
        let more_urgent = match req.band.checked_sub(1) {
            Some(band) => self.peers.waiting_up_to(band, now),
            None => Capacity::default(),
        };
        let more_urgent = more_urgent.times(1.0 / room.heard_fraction.max(f64::EPSILON));
        let free = room.free.minus(self.starting).minus(more_urgent);
        if !free.is_positive() {
            return false;
        }
        let recent = self.sent_since(now - room.visibility_delay);
        // One request is never less than the part of an entry that hears nothing of others' needs.
        let is_alone = self.peers.waiting_up_to(req.band, now).unread <= 0.0;
        if is_alone && recent.slots < 1.0 {
            return true;
        }
        let part = free.plus(recent).times(share).minus(recent);
        part.covers(req.need().times(draw))
    }

    /// This entry's share of the free capacity for requests of a band, from 0 to 1.
    fn share(&self, band: usize, now: Millis, room: &Room) -> f64 {
        let of_band = |req: &&WaitingRequest| req.band == band;
        let waiting = self.waiting.values().filter(of_band);
        let waiting: f64 = waiting.map(|req| f64::from(req.unread)).sum();
        // Peers' reports are of the time before these were sent.
        let own = waiting + self.sent_since(now - room.visibility_delay).unread;
        let peers = self.peers.waiting_in(band, now).unread / room.heard_fraction.max(f64::EPSILON);
        let share = own / (own + peers).max(1.0);
        let is_new = self.since.is_some_and(|at| now < at + room.hearing_time);
        if is_new {
            share.min(equal_share(room))
        } else {
            share
        }
    }

    /// Expected time until the work ahead of a request is sent, here and at peers, if `ahead` of
    /// the `own` tokens that wait here go first. Entries take their parts of the capacity in
    /// proportion to their waiting tokens, so all queues end at about the same time.
    fn wait_ms(&self, ahead: f64, own: f64, band: usize, now: Millis, room: &Room) -> f64 {
        let peers = self.peers.waiting_up_to(band, now).unread;
        let pace = self.pace(now, room) + self.peers.pace(now);
        (own + peers) / pace.max(f64::EPSILON) * (ahead / own.max(1.0))
    }

    /// Prompt tokens that wait here, of bands up to `band`.
    fn own_tokens(&self, band: usize) -> f64 {
        let of_band = |req: &&WaitingRequest| req.band <= band;
        let waiting = self.waiting.values().filter(of_band);
        waiting.map(|req| f64::from(req.unread)).sum()
    }

    /// Prompt tokens per millisecond that this entry sent in the last seconds. For the time in
    /// which nothing waited, it is at least this entry's equal part of what the engines can take.
    fn pace(&self, now: Millis, room: &Room) -> f64 {
        let since = self.since.unwrap_or(now);
        let calm_ms = (PACE_WINDOW - (now - since)).0 as f64;
        let sent = self.sent_since(now - PACE_WINDOW).unread;
        let while_waiting = self.sent_since(since.max(now - PACE_WINDOW)).unread;
        let while_calm = sent - while_waiting;
        let assumed =
            room.prefill_tokens_per_ms * ASSUMED_PACE_FRACTION / room.entries.max(1) as f64;
        (while_waiting + while_calm.max(assumed * calm_ms)) / PACE_WINDOW.0 as f64
    }

    /// What was sent since a point in time.
    fn sent_since(&self, since: Millis) -> Capacity {
        let recent = self.sent.iter().rev().take_while(|sent| sent.at > since);
        recent.fold(Capacity::default(), |sum, sent| sum.plus(sent.need))
    }
}

impl Default for WaitingQueue {
    fn default() -> Self {
        Self::new()
    }
}

/// The share of an entry that can't know how much waits at others.
fn equal_share(room: &Room) -> f64 {
    (BURST_FACTOR / room.assumed_entries.max(1) as f64).min(1.0)
}
