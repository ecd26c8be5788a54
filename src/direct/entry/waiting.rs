//! The requests of this entry that wait for capacity of a mixed pool, and the task that lets them
//! try again.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slotmap::SecondaryMap;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use super::Entry;
use crate::clock::Millis;
use crate::direct::admission::waiting::{Supply, WaitingKey, WaitingQueue, WaitingRequest};
use crate::direct::admission::waiting_peers::{PoolSummary, MAX_WAITING, REPORT_TTL};
use crate::direct::catalog::Catalog;
use crate::direct::directory::EndpointKey;
use crate::direct::known::capacity::LearnedCapacity;
use crate::direct::known::load::Footprint;
use crate::direct::peers::{self, pool_digest, PeerId, SharedKind};

/// Largest total length of the bodies of waiting requests, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Interval between two looks at the capacity while something waits.
const TICK: Duration = Duration::from_millis(25);
/// Shortest time between two looks, however much changes.
const MIN_LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// Time after the start of the process in which entries may not have been heard yet.
const DISCOVERY_TIME: Millis = Millis(3_000);
/// Most pools in a datagram.
const MAX_POOLS: usize = 16;

/// The requests that wait at this entry, by pool.
#[derive(Debug, Default)]
pub struct WaitingRoom {
    pools: RefCell<HashMap<String, PoolWaiting>>,
    /// Wakes the task that lets requests be tried.
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
    wakers: SecondaryMap<WaitingKey, Rc<Notify>>,
}

/// What became of a request that can't be sent at once.
#[derive(Debug)]
pub enum Entered {
    /// It waits.
    Waits(WaitGuard),
    /// No answer could come in time.
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

/// Counts a request as load of the endpoint that was chosen for it, until it is sent there.
///
/// Requests that waited and are sent together choose their endpoints within a millisecond, before the
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
    waker: Rc<Notify>,
}

impl WaitGuard {
    /// Waits until the request is to be tried, or something else changed for it.
    pub async fn changed(&self) {
        self.waker.notified().await;
    }

    /// Whether the request is to be tried now.
    pub fn is_trying(&self) -> bool {
        self.entry
            .with_queue(&self.pool, |queue| queue.is_trying(self.key))
    }

    /// Ends a trial in which admission refused the request.
    pub fn fail(&self) {
        self.entry
            .with_queue(&self.pool, |queue| queue.fail(self.key));
        self.entry.try_next(&self.pool);
    }

    /// Ends a trial in which admission let the request pass: it is sent, or, if false, tried again.
    pub fn send(&self) -> bool {
        let now = self.entry.clock.now();
        let is_sent = self
            .entry
            .with_queue(&self.pool, |queue| queue.send(self.key, now));
        if !is_sent {
            self.entry.try_next(&self.pool);
        }
        is_sent
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut pools = self.entry.waiting.pools.borrow_mut();
        if let Some(waiting) = pools.get_mut(&self.pool) {
            waiting.queue.remove(self.key);
            waiting.wakers.remove(self.key);
        }
        drop(pools);
        self.entry.try_next(&self.pool);
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

    /// Whether one more request may wait.
    fn has_place(&self, req: &WaitingRequest) -> bool {
        self.len() < MAX_WAITING && self.body_bytes() + req.body_bytes <= MAX_BODY_BYTES
    }

    /// Lets waiting requests be tried again: capacity may have become free.
    pub fn capacity_changed(&self) {
        if !self.is_empty() {
            self.changed.notify_one();
        }
    }

    /// Refuses from now on what can't be answered before the process stops.
    pub fn begin_stop(&self, stop_at: Millis) {
        self.stop_at.set(Some(stop_at));
        for waiting in self.pools.borrow_mut().values_mut() {
            waiting.queue.stop_at(stop_at);
            // Each waits until its latest start, which is earlier now.
            waiting.wakers.values().for_each(|waker| waker.notify_one());
        }
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
            let by_digest = mixed.map(|pool| (pool_digest(&pool.name), pool.name.clone()));
            *known = (catalog.version, by_digest.collect());
            self.forget_unused(catalog);
        }
        known.1.get(&digest).cloned()
    }
}

impl Entry {
    /// Whether a request that admission would send has to wait behind others.
    pub fn goes_behind(&self, pool: &str, req: &WaitingRequest) -> bool {
        let pools = self.waiting.pools.borrow();
        let waiting = pools.get(pool);
        waiting.is_some_and(|waiting| waiting.queue.goes_behind(req, self.clock.now()))
    }

    /// Puts a request that admission refused into a pool's queue, unless it can't wait.
    pub fn wait_refused(self: &Rc<Self>, pool: &str, req: WaitingRequest) -> Entered {
        let now = self.clock.now();
        if !self.with_queue(pool, |queue| queue.can_serve(&req, now)) {
            let expected = self.expected_wait(pool, &req).unwrap_or_default();
            return Entered::TooLong { expected };
        }
        if !self.waiting.has_place(&req) {
            let waiting = self.waiting.len();
            return Entered::Full { waiting };
        }
        let key = self.with_queue(pool, |queue| queue.push(req, now));
        Entered::Waits(self.wait_guard(pool, key))
    }

    /// Puts a request that admission would send into a pool's queue, behind those that go first;
    /// `None` if it has no place there.
    pub fn wait_behind(self: &Rc<Self>, pool: &str, req: WaitingRequest) -> Option<WaitGuard> {
        if !self.waiting.has_place(&req) {
            return None;
        }
        let now = self.clock.now();
        let key = self.with_queue(pool, |queue| queue.push_admitted(req, now));
        let guard = self.wait_guard(pool, key);
        self.look_for_capacity(pool, now);
        Some(guard)
    }

    fn wait_guard(self: &Rc<Self>, pool: &str, key: WaitingKey) -> WaitGuard {
        let waker = Rc::new(Notify::new());
        if let Some(waiting) = self.waiting.pools.borrow_mut().get_mut(pool) {
            waiting.wakers.insert(key, Rc::clone(&waker));
        }
        self.waiting.changed.notify_one();
        WaitGuard {
            entry: Rc::clone(self),
            pool: pool.to_owned(),
            key,
            waker,
        }
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

    /// Expected time until a request that arrives now would be sent; `None` if that is not known.
    pub fn expected_wait(&self, pool: &str, req: &WaitingRequest) -> Option<Millis> {
        let now = self.clock.now();
        self.with_queue(pool, |queue| queue.expected_wait(req, now))
    }

    /// Latest start of a request at which its answer can still end in time.
    pub fn latest_start(&self, pool: &str, req: &WaitingRequest) -> Millis {
        self.with_queue(pool, |queue| queue.latest_start(req))
    }

    /// Records that a request that may wait is sent without having waited.
    pub fn record_sent_at_once(&self, pool: &str, req: &WaitingRequest) {
        let now = self.clock.now();
        self.with_queue(pool, |queue| queue.record_sent(req, now));
    }

    /// Records what a trial shows of the pool: how many requests admission would let this entry
    /// send within the visibility delay, `None` if it sets no limit, and whether the pool is calm.
    pub fn record_trial(&self, pool: &str, admitted: Option<f64>, is_calm: bool) {
        self.with_queue(pool, |queue| queue.record_trial(admitted, is_calm));
    }

    /// Records the time of a run until its first event, where the pool has a queue.
    pub(super) fn record_first_event(&self, pool: &str, band: usize, time: Millis) {
        if let Some(waiting) = self.waiting.pools.borrow_mut().get_mut(pool) {
            waiting.queue.record_first_event(band, time);
        }
    }

    /// Records the time of a run that was answered, where the pool has a queue.
    pub(super) fn record_run_time(&self, pool: &str, band: usize, time: Millis) {
        if let Some(waiting) = self.waiting.pools.borrow_mut().get_mut(pool) {
            waiting.queue.record_run(band, time);
        }
    }

    /// Tells a peer what waits here; nothing if nothing does.
    pub(super) fn send_waiting(&self, to: SocketAddr) {
        let now = self.clock.now();
        let summaries: Vec<(u32, PoolSummary)> = self
            .waiting
            .busy_pools()
            .iter()
            .take(MAX_POOLS)
            .filter_map(|pool| {
                let summary = self.with_queue(pool, |queue| queue.summary(now))?;
                Some((pool_digest(pool), summary))
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
    }

    /// Lets waiting requests of a pool be tried again, one after the other.
    fn look_for_capacity(&self, pool: &str, now: Millis) {
        let supply = self.supply(pool, now);
        if let Some(waiting) = self.waiting.pools.borrow_mut().get_mut(pool) {
            waiting.queue.begin_look(now, &supply);
        }
        self.try_next(pool);
    }

    /// Wakes the request that is to be tried next in the current look, if there is one.
    fn try_next(&self, pool: &str) {
        let now = self.clock.now();
        if let Some(waiting) = self.waiting.pools.borrow_mut().get_mut(pool) {
            let key = waiting.queue.next(now);
            if let Some(waker) = key.and_then(|key| waiting.wakers.get(key)) {
                waker.notify_one();
            }
        }
    }

    fn with_queue<T>(&self, pool: &str, look: impl FnOnce(&mut WaitingQueue) -> T) -> T {
        let mut pools = self.waiting.pools.borrow_mut();
        if let Some(waiting) = pools.get_mut(pool) {
            return look(&mut waiting.queue);
        }
        let waiting = pools.entry(pool.to_owned()).or_default();
        if let Some(stop_at) = self.waiting.stop_at.get() {
            waiting.queue.stop_at(stop_at);
        }
        look(&mut waiting.queue)
    }

    /// What is known of a pool and of the other entries.
    fn supply(&self, pool: &str, now: Millis) -> Supply {
        let peers = self.peers.borrow();
        let known = peers.entries(now);
        let entries = match self.age() < DISCOVERY_TIME {
            true => known.max(self.assumed_entries()),
            false => known,
        };
        let (endpoints, prefill_tokens_per_ms) = self.prefill_rate(pool, now);
        Supply {
            endpoints,
            prefill_tokens_per_ms,
            entries,
            visibility_delay: peers.visibility_delay(now),
            hearing_time: peers.hearing_time(),
            heard_fraction: peers.heard_fraction(REPORT_TTL),
        }
    }

    /// Number of a pool's endpoints that accept requests, and the prompt tokens that they prefill
    /// together in a millisecond.
    fn prefill_rate(&self, pool: &str, now: Millis) -> (usize, f64) {
        let capacities = self.capacities.borrow();
        let capacity = capacities.get(pool).map(LearnedCapacity::capacity);
        let nominal = capacity.unwrap_or_default().prefill_tokens_per_ms;
        let directory = self.directory();
        let endpoint_states = self.endpoint_states();
        let rates = directory
            .available_in_pool(pool, now)
            .filter_map(|(key, _)| endpoint_states.get(key))
            .map(|state| match state.record.is_ejected() {
                true => 0.0,
                false => nominal / state.load.slowdown(now).max(1.0),
            });
        rates.fold((0, 0.0), |(count, sum), rate| (count + 1, sum + rate))
    }
}

/// Lets waiting requests be tried again as capacity becomes free; idle while nothing waits.
pub async fn release_waiting(entry: Rc<Entry>) -> anyhow::Result<()> {
    loop {
        let changed = entry.waiting.changed.notified();
        if entry.waiting.is_empty() {
            changed.await;
        } else {
            // It looks again whether something changed or the time is over.
            let _ = timeout(TICK, changed).await;
        }
        let now = entry.clock.now();
        for pool in entry.waiting.busy_pools() {
            entry.look_for_capacity(&pool, now);
        }
        sleep(MIN_LOOK_INTERVAL).await;
    }
}
