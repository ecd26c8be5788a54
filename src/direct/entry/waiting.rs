//! The requests of this entry that wait for capacity of a mixed pool: what they wait for, and the
//! task that lets them start.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slotmap::SecondaryMap;
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep, timeout};

use super::Entry;
use crate::clock::Millis;
use crate::direct::admission::waiting::{Capacity, Room, WaitingKey, WaitingQueue, WaitingRequest};
use crate::direct::admission::waiting_peers::{PoolSummary, MAX_WAITING, REPORT_TTL};
use crate::direct::catalog::Catalog;
use crate::direct::directory::EndpointKey;
use crate::direct::known::load::Footprint;
use crate::direct::peers::{self, NameDigest, PeerId, SharedKind};
use crate::direct::placement::price::PREFILL_TOKENS_PER_MS;

/// Largest total length of the bodies of waiting requests, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Interval between two looks at the capacity while something waits.
const TICK: Duration = Duration::from_millis(25);
/// Shortest time between two looks, however much changes.
const MIN_LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between two looks for requests that can't be served any more.
const HOPELESS_INTERVAL: Millis = Millis(100);
/// Time after the start of the process in which entries may not have been heard yet.
const DISCOVERY_TIME: Millis = Millis(3_000);
/// Fraction of an engine's slots that waiting requests leave to more urgent ones.
const RESERVED_SLOT_FRACTION: f64 = 0.25;
/// Fraction of an engine's memory up to which waiting requests are sent; beyond about this an
/// engine may have to preempt.
const USABLE_MEMORY_FRACTION: f64 = 0.85;
/// Most pools in a datagram.
const MAX_POOLS: usize = 16;

/// The requests that wait at this entry, by pool.
#[derive(Debug, Default)]
pub struct WaitingRoom {
    pools: RefCell<HashMap<String, PoolWaiting>>,
    /// Wakes the task that lets requests start.
    changed: Notify,
    /// When this process stops at the latest, once it stops.
    stop_at: Cell<Option<Millis>>,
    /// Mixed pools by the digests of their names, for a version of the configuration.
    mixed_pools: RefCell<(u64, HashMap<u32, String>)>,
}

/// The requests that wait for one pool.
#[derive(Debug, Default)]
struct PoolWaiting {
    queue: WaitingQueue,
    /// Whom to wake, by request.
    wakers: SecondaryMap<WaitingKey, (WaitingRequest, oneshot::Sender<Verdict>)>,
    /// When requests that can't be served any more were looked for.
    checked_at: Millis,
}

/// How a wait ends.
#[derive(Debug)]
pub enum Verdict {
    /// The request may be sent now.
    Start(StartGuard),
    /// Its place in a full queue goes to a request within its team's share.
    Displaced,
    /// No answer can come in time; `expected` is how long it would still have to wait.
    Refuse {
        /// Expected time until capacity is available.
        expected: Millis,
    },
}

/// What became of a request that asked to start.
#[derive(Debug)]
pub enum Entered {
    /// It may be sent now.
    Start(StartGuard),
    /// It waits.
    Wait(WaitGuard),
    /// It would wait too long.
    TooLong {
        /// Expected time until capacity is available.
        expected: Millis,
    },
    /// As many requests wait as may.
    Full {
        /// Number of waiting requests.
        waiting: usize,
    },
}

/// Whether a request has to wait although capacity may be available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entering {
    /// It starts at once if the pool has room for it.
    Arrived,
    /// The admission at its arrival would refuse it.
    NotAdmitted,
    /// It was let start, and found no endpoint with room.
    NoRoomFound,
}

/// A request that may start, until it counts as load of an endpoint or is given up.
#[derive(Debug)]
pub struct StartGuard {
    entry: Rc<Entry>,
    pool: String,
    req: WaitingRequest,
}

impl StartGuard {
    /// Gives the start up, since no endpoint has room.
    pub fn undo(self) {
        self.entry
            .with_queue(&self.pool, |queue| queue.undo_start(&self.req));
    }
}

impl Drop for StartGuard {
    fn drop(&mut self) {
        self.entry
            .with_queue(&self.pool, |queue| queue.started(&self.req));
    }
}

/// Counts a request as load of the endpoint that was chosen for it, until it is sent there.
///
/// Requests that are let start together choose their endpoints within a millisecond, before the
/// first of them has a connection. Without this they all choose the same endpoint.
#[derive(Debug)]
pub struct Reservation {
    entry: Rc<Entry>,
    key: EndpointKey,
    footprint: Footprint,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let footprint = self.footprint;
        self.entry
            .update_endpoint_state(self.key, |state| state.load.end_reservation(footprint));
    }
}

/// A request that waits; it leaves the queue when this is dropped.
#[derive(Debug)]
pub struct WaitGuard {
    entry: Rc<Entry>,
    pool: String,
    key: WaitingKey,
    verdict: oneshot::Receiver<Verdict>,
}

impl WaitGuard {
    /// The verdict, if there is one already.
    pub fn try_verdict(&mut self) -> Option<Verdict> {
        self.verdict.try_recv().ok()
    }

    /// Waits for the verdict; `None` if the process ends.
    pub async fn verdict(&mut self) -> Option<Verdict> {
        (&mut self.verdict).await.ok()
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut pools = self.entry.waiting.pools.borrow_mut();
        if let Some(waiting) = pools.get_mut(&self.pool) {
            waiting.queue.remove(self.key);
            waiting.wakers.remove(self.key);
        }
    }
}

impl WaitingRoom {
    /// Number of requests that wait.
    pub fn len(&self) -> usize {
        let pools = self.pools.borrow();
        pools.values().map(|waiting| waiting.queue.len()).sum()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Prompt tokens of the requests that wait.
    pub fn unread_tokens(&self) -> u64 {
        let pools = self.pools.borrow();
        pools
            .values()
            .map(|waiting| waiting.queue.unread_tokens())
            .sum()
    }

    /// Names of the pools for which something waits.
    fn busy_pools(&self) -> Vec<String> {
        let pools = self.pools.borrow();
        let busy = pools.iter().filter(|(_, w)| !w.queue.is_empty());
        busy.map(|(pool, _)| pool.clone()).collect()
    }

    /// Bytes of the bodies of the requests that wait.
    fn body_bytes(&self) -> usize {
        let pools = self.pools.borrow();
        pools
            .values()
            .map(|waiting| waiting.queue.body_bytes())
            .sum()
    }

    /// Refuses a waiting request in favor of one within its team's share; false if none gives way
    /// or its body is too short.
    fn displace(&self, pool: &str, req: &WaitingRequest) -> bool {
        let all_bytes = self.body_bytes();
        let mut pools = self.pools.borrow_mut();
        let Some(waiting) = pools.get_mut(pool) else {
            return false;
        };
        let displaced = waiting.queue.displaced_by(req);
        let freed = displaced.and_then(|key| Some((key, waiting.wakers.get(key)?.0.body_bytes)));
        let fits = |bytes: usize| all_bytes - bytes + req.body_bytes <= MAX_BODY_BYTES;
        let Some((key, _)) = freed.filter(|(_, bytes)| fits(*bytes)) else {
            return false;
        };
        waiting.queue.remove(key);
        let removed = waiting.wakers.remove(key);
        drop(pools);
        if let Some((_, waker)) = removed {
            let _ = waker.send(Verdict::Displaced);
        }
        true
    }

    /// Looks again whether requests may start: capacity may have become free.
    pub fn capacity_changed(&self) {
        if !self.is_empty() {
            self.changed.notify_one();
        }
    }

    /// Refuses from now on what can't be answered before the process stops.
    pub fn begin_stop(&self, stop_at: Millis) {
        self.stop_at.set(Some(stop_at));
        self.changed.notify_one();
    }

    /// Handles the end of a suspension of the machine.
    pub fn resume(&self, now: Millis) {
        for waiting in self.pools.borrow_mut().values_mut() {
            waiting.queue.resume(now);
        }
        self.changed.notify_one();
    }

    /// Drops the queues of pools that are not mixed any more and have nothing waiting.
    fn forget_unused(&self, catalog: &Catalog) {
        self.pools
            .borrow_mut()
            .retain(|pool, waiting| !waiting.queue.is_empty() || catalog.is_mixed(pool));
    }

    /// Name of the mixed pool with this digest.
    fn mixed_pool(&self, catalog: &Catalog, digest: u32) -> Option<String> {
        let mut known = self.mixed_pools.borrow_mut();
        if known.0 != catalog.version {
            let mixed = catalog.pools.iter().filter(|p| catalog.is_mixed(&p.name));
            let by_digest = mixed.map(|pool| (NameDigest::of(&pool.name).0, pool.name.clone()));
            *known = (catalog.version, by_digest.collect());
            self.forget_unused(catalog);
        }
        known.1.get(&digest).cloned()
    }
}

impl Entry {
    /// Lets a request start in a pool, puts it into the pool's queue, or says that it can't wait.
    pub fn enter_queue(
        self: &Rc<Self>,
        pool: &str,
        req: WaitingRequest,
        entering: Entering,
    ) -> Entered {
        let now = self.clock.now();
        let room = self.waiting_room(pool, now);
        if entering == Entering::Arrived
            && self.with_queue(pool, |queue| queue.starts_at_once(&req, now, &room))
        {
            return Entered::Start(self.start(pool, req, now));
        }
        let expected = self.with_queue(pool, |queue| queue.expected_wait(&req, now, &room));
        if entering != Entering::NoRoomFound {
            if !self.with_queue(pool, |queue| queue.can_serve(&req, now, &room)) {
                return Entered::TooLong { expected };
            }
            let waiting = self.waiting.len();
            let is_full = waiting >= MAX_WAITING
                || self.waiting.body_bytes() + req.body_bytes > MAX_BODY_BYTES;
            if is_full && !self.waiting.displace(pool, &req) {
                return Entered::Full { waiting };
            }
        }
        let guard = self.push_waiting(pool, req, now);
        if entering != Entering::NoRoomFound {
            self.release_pool(pool, &room, now);
        }
        self.waiting.changed.notify_one();
        Entered::Wait(guard)
    }

    /// Counts a request as load of the endpoint that was chosen for it.
    pub fn reserve(self: &Rc<Self>, key: EndpointKey, footprint: Footprint) -> Reservation {
        self.update_endpoint_state(key, |state| state.load.reserve(footprint));
        Reservation {
            entry: Rc::clone(self),
            key,
            footprint,
        }
    }

    /// Expected time until a request that waits in a pool could start.
    pub fn expected_wait(&self, pool: &str, req: &WaitingRequest) -> Millis {
        let now = self.clock.now();
        let room = self.waiting_room(pool, now);
        self.with_queue(pool, |queue| queue.expected_wait(req, now, &room))
    }

    /// Mean time of the runs of a band in a pool; `None` where none is known.
    pub fn run_time(&self, pool: &str, band: usize) -> Option<Millis> {
        let pools = self.waiting.pools.borrow();
        pools.get(pool)?.queue.run_time(band)
    }

    /// Notes the time of a run that was answered, where the pool has a queue.
    pub(super) fn record_run_time(&self, pool: &str, band: usize, time: Millis) {
        if let Some(waiting) = self.waiting.pools.borrow_mut().get_mut(pool) {
            waiting.queue.record_run(band, time);
        }
    }

    /// Tells a peer what waits here; nothing if nothing does.
    pub(super) fn send_waiting(&self, to: SocketAddr) {
        let now = self.clock.now();
        let names = self.waiting.busy_pools();
        let summaries: Vec<(u32, PoolSummary)> = names
            .iter()
            .take(MAX_POOLS)
            .filter_map(|pool| {
                let room = self.waiting_room(pool, now);
                let summary = self.with_queue(pool, |queue| queue.summary(now, &room))?;
                Some((NameDigest::of(pool).0, summary))
            })
            .collect();
        if !summaries.is_empty() {
            self.send_shared(to, SharedKind::Waiting, &summaries);
        }
    }

    /// Takes what waits at a peer.
    pub(super) fn handle_waiting(&self, from: PeerId, payload: &[u8]) {
        let Some(summaries) = peers::decode_shared::<Vec<(u32, PoolSummary)>>(payload) else {
            tracing::debug!("datagram about waiting requests could not be read");
            return;
        };
        let (Some(catalog), now) = (self.catalog(), self.clock.now()) else {
            return;
        };
        if from == self.id {
            return;
        }
        for (digest, summary) in summaries.into_iter().take(MAX_POOLS) {
            if let Some(pool) = self.waiting.mixed_pool(&catalog, digest) {
                self.with_queue(&pool, |queue| queue.record_peer(from, summary, now));
            }
        }
        self.waiting.capacity_changed();
    }

    /// Lets waiting requests of all pools start as far as there is room, and refuses those that
    /// can't be served any more.
    fn release_waiting(self: &Rc<Self>) {
        let now = self.clock.now();
        for pool in self.waiting.busy_pools() {
            let room = self.waiting_room(&pool, now);
            self.release_pool(&pool, &room, now);
        }
    }

    fn release_pool(self: &Rc<Self>, pool: &str, room: &Room, now: Millis) {
        let mut verdicts = Vec::new();
        let mut pools = self.waiting.pools.borrow_mut();
        let Some(waiting) = pools.get_mut(pool) else {
            return;
        };
        if let Some(stop_at) = self.waiting.stop_at.get() {
            waiting.queue.stop_at(stop_at);
        }
        self.refresh_team_excess(pool, &mut waiting.queue, now);
        while let Some(key) = waiting.queue.next(now, room) {
            if let Some((req, waker)) = waiting.wakers.remove(key) {
                let start = StartGuard {
                    entry: Rc::clone(self),
                    pool: pool.to_owned(),
                    req,
                };
                verdicts.push((waker, Verdict::Start(start)));
            }
        }
        if now >= waiting.checked_at + HOPELESS_INTERVAL {
            waiting.checked_at = now;
            for key in waiting.queue.hopeless(now, room) {
                waiting.queue.remove(key);
                if let Some((req, waker)) = waiting.wakers.remove(key) {
                    let expected = waiting.queue.expected_wait(&req, now, room);
                    verdicts.push((waker, Verdict::Refuse { expected }));
                }
            }
        }
        let bands = waiting.wakers.values().map(|(req, _)| req.band);
        let most_urgent = bands.min();
        // A verdict that no one takes is dropped, which needs the queue.
        drop(pools);
        if let Some(band) = most_urgent {
            self.record_team_wait(pool, band, now);
        }
        for (waker, verdict) in verdicts {
            let _ = waker.send(verdict);
        }
    }

    fn start(self: &Rc<Self>, pool: &str, req: WaitingRequest, now: Millis) -> StartGuard {
        self.with_queue(pool, |queue| queue.start(&req, now));
        StartGuard {
            entry: Rc::clone(self),
            pool: pool.to_owned(),
            req,
        }
    }

    fn push_waiting(self: &Rc<Self>, pool: &str, req: WaitingRequest, now: Millis) -> WaitGuard {
        let (waker, verdict) = oneshot::channel();
        let mut pools = self.waiting.pools.borrow_mut();
        let waiting = pools.entry(pool.to_owned()).or_default();
        let key = waiting.queue.push(req, now);
        waiting.wakers.insert(key, (req, waker));
        WaitGuard {
            entry: Rc::clone(self),
            pool: pool.to_owned(),
            key,
            verdict,
        }
    }

    fn with_queue<T>(&self, pool: &str, look: impl FnOnce(&mut WaitingQueue) -> T) -> T {
        let mut pools = self.waiting.pools.borrow_mut();
        if let Some(waiting) = pools.get_mut(pool) {
            return look(&mut waiting.queue);
        }
        look(&mut pools.entry(pool.to_owned()).or_default().queue)
    }

    /// What is known of a pool's free capacity.
    fn waiting_room(&self, pool: &str, now: Millis) -> Room {
        let peers = self.peers.borrow();
        let entries = peers.entries(now);
        let assumed_entries = match self.age() < DISCOVERY_TIME {
            true => entries.max(self.assumed_entries()),
            false => entries,
        };
        let mut room = Room {
            endpoints: 0,
            free: Capacity::default(),
            prefill_tokens_per_ms: 0.0,
            entries,
            assumed_entries,
            visibility_delay: peers.visibility_delay(now),
            hearing_time: peers.hearing_time(),
            heard_fraction: peers.heard_fraction(REPORT_TTL),
            draw: rand::random(),
        };
        if let Some(catalog) = self.catalog() {
            self.add_free_capacity(&catalog, pool, &mut room, now);
        }
        room
    }

    /// Adds up what the pool's engines have left. Their backlog may reach the shortest target of
    /// the pool's routes: behind more, the first events of the most urgent streams are late.
    fn add_free_capacity(&self, catalog: &Catalog, pool: &str, room: &mut Room, now: Millis) {
        let target_ms = catalog.shortest_target(pool).0 as f64;
        let engine = catalog.pool(pool).and_then(|pool| pool.engine);
        let memory = engine.map_or(f64::INFINITY, |engine| engine.memory_tokens as f64);
        let directory = self.directory();
        let endpoint_states = self.endpoint_states();
        for (key, endpoint) in directory.available_in_pool(pool, now) {
            let Some(state) = endpoint_states.get(key) else {
                continue;
            };
            room.endpoints += 1;
            if state.record.is_ejected() || state.load.is_full(now) {
                continue;
            }
            let total = state.load.total(now);
            let speed = PREFILL_TOKENS_PER_MS / state.load.slowdown(now).max(1.0);
            let slots = f64::from(endpoint.listed.slots) * (1.0 - RESERVED_SLOT_FRACTION);
            let running = f64::from(state.load.occupancy(now));
            room.prefill_tokens_per_ms += speed;
            room.free = room.free.plus(Capacity {
                unread: target_ms * speed - f64::from(total.total_unread()),
                held: (memory * USABLE_MEMORY_FRACTION - f64::from(total.held)).max(0.0),
                slots: (slots - running).max(0.0),
            });
        }
    }
}

/// Lets waiting requests start while capacity becomes free; idle while nothing waits.
pub async fn release_waiting(entry: Rc<Entry>) -> anyhow::Result<()> {
    loop {
        let changed = entry.waiting.changed.notified();
        if entry.waiting.is_empty() {
            changed.await;
        } else {
            // It looks again whether something changed or the time is over.
            let _ = timeout(TICK, changed).await;
        }
        entry.release_waiting();
        sleep(MIN_LOOK_INTERVAL).await;
    }
}
