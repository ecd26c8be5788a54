//! The request scheduler of one endpoint: a state machine that assigns run slots to tickets.
//!
//! Entries hold the requests themselves and queue a ticket here. A request is sent only once its
//! ticket has been granted a slot (late binding). By default ([`Order::Floors`]) classes are served
//! by strict priority, except that a class below its floor (its guaranteed share of slot time) goes
//! first. The teams of one class share its slots by start-time fair queueing on tokens.

use std::collections::BTreeSet;

use slotmap::{new_key_type, SlotMap};

use crate::clock::Millis;
use crate::ids::{ClassKey, RequestId};
use crate::outcome::NotRunReason;
use crate::queue::{ClassQueue, PickedTicket, WaitingTicket};
use crate::wire::Load;

pub use crate::order::{
    Action, ClassOccupancy, ClassSpec, Order, SchedulerCounters, SchedulerParams, SlotRequest,
};

new_key_type! {
    /// Identifies a ticket in the scheduler.
    pub struct TicketKey;
}

/// Weight of the newest run in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
/// Shortest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Millis = Millis(200);
/// Longest time after which a refused caller is told to retry, before it is spread.
const MAX_RETRY_AFTER: Millis = Millis(60_000);

/// State of a ticket; in `Granted`, `Running` and `Pausing` it holds a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Queued; refused if no slot is granted before `expires`.
    Waiting { expires: Millis },
    /// Granted a slot; the entry has until `until` to start the run.
    Granted { until: Millis },
    /// Running since its start or its last resume.
    Running { since: Millis },
    /// Told to pause, but not yet stopped at the endpoint; running since `since`.
    Pausing { since: Millis },
    /// Stopped; waits for a slot in order to resume.
    Paused,
}

/// A request that is queued or holds a slot.
#[derive(Debug)]
struct Ticket {
    slot_request: SlotRequest,
    phase: Phase,
    /// Times that it was told to pause.
    preemptions: u32,
    /// Time run before the last pause, including the time until the run had stopped.
    run_time: Millis,
    /// Virtual time charged to its team at the grant: expected tokens over the team's weight.
    charged: f64,
}

/// Assigns the run slots of one endpoint to requests; its decisions come out as [`Action`]s.
#[derive(Debug)]
pub struct Scheduler {
    order: Order,
    params: SchedulerParams,
    tickets: SlotMap<TicketKey, Ticket>,
    /// Times at which waits and grants expire, soonest first.
    expiries: BTreeSet<(Millis, TicketKey)>,
    /// Tickets that hold a slot; at most as many as there are slots.
    active: Vec<TicketKey>,
    classes: Vec<ClassQueue>,
    /// Actions not yet taken by [`Self::take_actions`].
    actions: Vec<Action>,
    slots_in_use: u32,
    /// Runs told to pause that still hold their slots.
    pausing: u32,
    /// Slots that the endpoint's health allows to be used.
    open_slots: u32,
    draining: bool,
    arrival_count: u64,
    /// Moving average of the run time of finished runs, in ms; 0 before the first one.
    mean_service_ms: f64,
    /// Time up to which slot time is accrued.
    accounted_until: Millis,
    counters: SchedulerCounters,
}

impl Scheduler {
    /// Creates a scheduler without requests.
    pub fn new(order: Order, params: SchedulerParams) -> Self {
        let classes = params
            .classes
            .iter()
            .cloned()
            .map(ClassQueue::new)
            .collect();
        let open_slots = params.slots;
        Self {
            order,
            params,
            tickets: SlotMap::with_key(),
            expiries: BTreeSet::new(),
            active: Vec::new(),
            classes,
            actions: Vec::new(),
            slots_in_use: 0,
            pausing: 0,
            open_slots,
            draining: false,
            arrival_count: 0,
            mean_service_ms: 0.0,
            accounted_until: Millis(0),
            counters: SchedulerCounters::default(),
        }
    }

    /// Applies the parameters of a new bundle. Waiting requests keep their places, and a class that
    /// the bundle no longer lists is kept while it has requests.
    pub fn update_params(&mut self, now: Millis, params: SchedulerParams) {
        self.accrue_slot_time(now);
        let mut old = std::mem::take(&mut self.classes);
        let names: Vec<String> = old.iter().map(|class| class.spec.name.clone()).collect();
        for spec in &params.classes {
            let found = old.iter().position(|class| class.spec.name == spec.name);
            let mut class = found.map_or_else(|| ClassQueue::new(spec.clone()), |i| old.remove(i));
            class.spec = spec.clone();
            self.classes.push(class);
        }
        let busy = |class: &ClassQueue| class.has_work() || class.running > 0;
        self.classes.extend(old.into_iter().filter(busy));
        self.remap_classes(&names);
        self.open_slots = params.slots;
        self.params = params;
        self.dispatch(now);
    }

    /// Queues a ticket for a request; the decision comes as an [`Action`]. A request that cannot be
    /// served is refused at once, also by an action.
    pub fn offer(&mut self, now: Millis, slot_request: SlotRequest) -> TicketKey {
        self.accrue_slot_time(now);
        let class = slot_request.class;
        let expires = now + slot_request.max_wait;
        let refusal = self.admission_refusal(&slot_request);
        self.arrival_count += 1;
        let ticket = self.tickets.insert(Ticket {
            slot_request,
            phase: Phase::Waiting { expires },
            preemptions: 0,
            run_time: Millis(0),
            charged: 0.0,
        });
        if let Some((reason, after)) = refusal {
            self.refuse(ticket, reason, after);
            return ticket;
        }
        self.expiries.insert((expires, ticket));
        let slot_request = &self.tickets[ticket].slot_request;
        let waiter = WaitingTicket {
            ticket,
            arrival: self.arrival_count,
            cost: f64::from(slot_request.est_tokens.max(1)) / f64::from(slot_request.weight.max(1)),
        };
        self.classes[class.0].push(slot_request.team.clone(), waiter);
        self.dispatch(now);
        ticket
    }

    /// Records that the entry sent the request under its grant. Returns false when the ticket holds
    /// no valid grant, for example because it has expired; then the request must not run.
    #[must_use]
    pub fn start(&mut self, now: Millis, ticket: TicketKey) -> bool {
        self.accrue_slot_time(now);
        let Some(record) = self.tickets.get_mut(ticket) else {
            return false;
        };
        match record.phase {
            Phase::Granted { until } if now < until => {
                record.phase = Phase::Running { since: now };
                self.expiries.remove(&(until, ticket));
                true
            }
            _ => false,
        }
    }

    /// Records that a run that was told to pause has stopped at the endpoint, and frees its slot.
    pub fn paused(&mut self, now: Millis, ticket: TicketKey) {
        self.accrue_slot_time(now);
        let Some(record) = self.tickets.get_mut(ticket) else {
            return;
        };
        let Phase::Pausing { since } = record.phase else {
            return;
        };
        record.phase = Phase::Paused;
        record.run_time = record.run_time + (now - since);
        let class = record.slot_request.class;
        self.pausing -= 1;
        self.release_slot(ticket, class);
        self.classes[class.0].paused.push_back(ticket);
        self.dispatch(now);
    }

    /// Removes a ticket in any state: answered, withdrawn or failed. `tokens` is the number of
    /// tokens that the request used; 0 leaves its team's charge as it is.
    pub fn finish(&mut self, now: Millis, ticket: TicketKey, tokens: u64) {
        self.accrue_slot_time(now);
        let Some(record) = self.tickets.remove(ticket) else {
            return;
        };
        let class = record.slot_request.class;
        match record.phase {
            Phase::Waiting { expires } => {
                self.expiries.remove(&(expires, ticket));
                self.classes[class.0].remove(&record.slot_request.team, ticket);
            }
            Phase::Granted { until } => {
                self.expiries.remove(&(until, ticket));
                self.release_slot(ticket, class);
            }
            Phase::Running { since } => {
                self.release_slot(ticket, class);
                self.record_service_time(record.run_time + (now - since));
            }
            Phase::Pausing { .. } => {
                self.pausing -= 1;
                self.release_slot(ticket, class);
            }
            Phase::Paused => self.classes[class.0].paused.retain(|t| *t != ticket),
        }
        self.correct_virtual_time(&record, tokens);
        self.dispatch(now);
    }

    /// Refuses tickets whose wait or grant has expired. Must be called every few milliseconds.
    pub fn tick(&mut self, now: Millis) {
        self.accrue_slot_time(now);
        self.dispatch(now);
    }

    /// Sets how many slots the endpoint's health allows. With 0, all waiting requests are refused
    /// and told to retry after `retry_after`.
    pub fn set_open_slots(&mut self, now: Millis, slots: u32, retry_after: Millis) {
        self.open_slots = slots.min(self.params.slots);
        if slots == 0 {
            self.refuse_waiting(NotRunReason::EndpointFailing, retry_after);
        }
        self.dispatch(now);
    }

    /// While set, new requests are refused. Setting it refuses all waiting requests; paused and
    /// running ones continue.
    pub fn set_draining(&mut self, now: Millis, draining: bool) {
        self.draining = draining;
        if draining {
            self.refuse_waiting(NotRunReason::Draining, MIN_RETRY_AFTER);
        }
        self.dispatch(now);
    }

    /// Whether the scheduler holds no ticket in any state.
    pub fn is_idle(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Returns the actions decided since the last call, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The load to report to entries; paused runs count as waiting.
    pub fn load(&self) -> Load {
        let waiting: usize = self
            .classes
            .iter()
            .map(|c| c.waiting + c.paused.len())
            .sum();
        Load {
            slots: self.params.slots,
            running: self.slots_in_use,
            waiting: waiting as u32,
            service_ms: self.mean_service_ms as u32,
        }
    }

    /// Event counts since the scheduler was created.
    pub fn counters(&self) -> SchedulerCounters {
        self.counters
    }

    /// Run slots of the endpoint, regardless of its health.
    pub fn slots(&self) -> u32 {
        self.params.slots
    }

    /// Number of waiting, running and paused requests of each class.
    pub fn by_class(&self) -> Vec<ClassOccupancy> {
        let row = |c: &ClassQueue| ClassOccupancy {
            class: c.spec.name.clone(),
            waiting: c.waiting,
            running: c.running,
            paused: c.paused.len(),
        };
        self.classes.iter().map(row).collect()
    }

    /// Why a new request is refused at once and when to retry; `None` when it may wait.
    fn admission_refusal(&self, slot_request: &SlotRequest) -> Option<(NotRunReason, Millis)> {
        let estimate = self.estimate_wait(slot_request.class);
        if self.draining {
            return Some((NotRunReason::Draining, MIN_RETRY_AFTER));
        }
        if self.open_slots == 0 {
            return Some((NotRunReason::EndpointFailing, MIN_RETRY_AFTER));
        }
        if self.classes[slot_request.class.0].waiting >= self.params.queue_per_class as usize {
            return Some((NotRunReason::QueueFull, estimate));
        }
        (estimate > slot_request.max_wait).then_some((NotRunReason::TooLate, estimate))
    }

    /// Expected wait of a new request, from the number of requests ahead of it and the mean service
    /// time. Zero when a slot is free or a run can be paused for it.
    fn estimate_wait(&self, class: ClassKey) -> Millis {
        let spec = &self.classes[class.0].spec;
        let ignores_priority = self.order == Order::Fifo;
        let is_ahead = |c: &&ClassQueue| ignores_priority || c.spec.priority <= spec.priority;
        let ahead: usize = self
            .classes
            .iter()
            .filter(is_ahead)
            .map(|c| c.waiting)
            .sum();
        let slots = self.max_slots_for(spec.priority).max(1);
        let free = self.free_slots_for(spec.priority) as usize;
        if ahead < free || self.find_victim(spec.priority).is_some() {
            return Millis(0);
        }
        let rounds = (ahead - free + 1) as f64 / f64::from(slots);
        Millis((rounds * self.mean_service_ms) as u64)
    }

    /// Refuses expired tickets, fills the free slots and pauses runs for more urgent requests.
    fn dispatch(&mut self, now: Millis) {
        self.expire_overdue(now);
        while let Some(ticket) = self.pick_next() {
            self.assign_slot(now, ticket);
        }
        self.preempt(now);
    }

    /// Refuses every ticket whose wait or grant has expired, and frees the slots of such grants.
    fn expire_overdue(&mut self, now: Millis) {
        while let Some(&(at, ticket)) = self.expiries.first() {
            if at > now {
                return;
            }
            self.expiries.pop_first();
            let Ticket {
                slot_request,
                phase,
                ..
            } = &self.tickets[ticket];
            let class = slot_request.class;
            let reason = if matches!(phase, Phase::Granted { .. }) {
                self.counters.lapsed += 1;
                self.release_slot(ticket, class);
                NotRunReason::GrantLapsed
            } else {
                self.classes[class.0].remove(&slot_request.team, ticket);
                NotRunReason::DeadlinePassed
            };
            let after = self.estimate_wait(class);
            self.refuse(ticket, reason, after);
        }
    }

    /// Removes from its queue the ticket that gets the next free slot; `None` when there is none.
    fn pick_next(&mut self) -> Option<TicketKey> {
        let ready: Vec<usize> = (0..self.classes.len())
            .filter(|i| self.may_run(*i))
            .collect();
        let class = match self.order {
            Order::Fifo => ready
                .into_iter()
                .min_by_key(|i| self.classes[*i].earliest_arrival()),
            Order::Strict => ready
                .into_iter()
                .min_by_key(|i| self.classes[*i].spec.priority),
            Order::Floors => self.furthest_below_floor(&ready).or_else(|| {
                ready
                    .into_iter()
                    .min_by_key(|i| self.classes[*i].spec.priority)
            }),
        }?;
        let by_arrival = self.order == Order::Fifo;
        let PickedTicket { ticket, charged } = self.classes[class].pop(by_arrival)?;
        if charged > 0.0 {
            self.tickets[ticket].charged = charged;
        }
        Some(ticket)
    }

    /// Whether the class at this index has a waiting or paused ticket and a slot free for it.
    fn may_run(&self, class: usize) -> bool {
        let queue = &self.classes[class];
        queue.has_work() && self.free_slots_for(queue.spec.priority) > 0
    }

    /// Slots that requests of a priority may hold in total: the open slots, but no more than the
    /// endpoint has without those reserved for priority 0.
    fn max_slots_for(&self, priority: u8) -> u32 {
        let reserved = if self.cannot_use_reserved(priority) {
            self.params.reserved
        } else {
            0
        };
        self.open_slots.min(self.params.slots - reserved)
    }

    /// Free slots that requests of a priority may take now. The reservation limits the slots held
    /// by all classes less urgent than priority 0, not the slots in use: otherwise priority 0 work
    /// beyond the reserved slots could keep a class from being served its floor.
    fn free_slots_for(&self, priority: u8) -> u32 {
        let free = self.open_slots.saturating_sub(self.slots_in_use);
        if !self.cannot_use_reserved(priority) {
            return free;
        }
        let lower = self
            .classes
            .iter()
            .filter(|c| c.spec.priority > 0)
            .map(|c| c.running);
        free.min(self.max_slots_for(priority).saturating_sub(lower.sum()))
    }

    /// Whether the reserved slots are closed to a priority.
    fn cannot_use_reserved(&self, priority: u8) -> bool {
        priority > 0 && self.order != Order::Fifo
    }

    /// Of the classes ready to run, the one furthest below its floor. Considers only classes that
    /// priority order would pass over; `None` when none of them is below its floor.
    fn furthest_below_floor(&mut self, ready: &[usize]) -> Option<usize> {
        let total = self.total_ms();
        let floor_deficit = |i: &usize| self.classes[*i].floor_deficit(total);
        let has_more_urgent = |i: &&usize| {
            let mine = self.classes[**i].spec.priority;
            ready.iter().any(|j| self.classes[*j].spec.priority < mine)
        };
        let below = ready
            .iter()
            .filter(has_more_urgent)
            .map(|i| (*i, floor_deficit(i)))
            .filter(|(_, l)| *l > 0.0);
        let found = below.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(i, _)| i);
        self.counters.by_floor += u64::from(found.is_some());
        found
    }

    /// Gives a slot to a waiting ticket (a grant) or to a paused one (a resume).
    fn assign_slot(&mut self, now: Millis, ticket: TicketKey) {
        let record = &mut self.tickets[ticket];
        let class = record.slot_request.class;
        match record.phase {
            Phase::Waiting { expires } => {
                let until = now + self.params.grant;
                record.phase = Phase::Granted { until };
                self.expiries.remove(&(expires, ticket));
                self.expiries.insert((until, ticket));
                self.counters.granted += 1;
                self.actions.push(Action::Grant { ticket, until });
            }
            _ => {
                record.phase = Phase::Running { since: now };
                self.actions.push(Action::Resume { ticket });
            }
        }
        self.slots_in_use += 1;
        self.active.push(ticket);
        self.classes[class.0].running += 1;
    }

    /// Pauses less urgent runs until as many slots are being freed as there are waiting requests of
    /// the most urgent priority, or no run may be paused.
    fn preempt(&mut self, _now: Millis) {
        loop {
            let urgent = self.classes.iter().filter(|c| c.waiting > 0);
            let Some(priority) = urgent.map(|c| c.spec.priority).min() else {
                return;
            };
            let same = self.classes.iter().filter(|c| c.spec.priority == priority);
            let waiting: usize = same.map(|c| c.waiting).sum();
            if waiting <= self.pausing as usize {
                return;
            }
            let Some(ticket) = self.find_victim(priority) else {
                return;
            };
            let record = &mut self.tickets[ticket];
            let Phase::Running { since } = record.phase else {
                return;
            };
            record.phase = Phase::Pausing { since };
            record.preemptions += 1;
            self.pausing += 1;
            self.counters.paused += 1;
            self.actions.push(Action::Pause { ticket });
        }
    }

    /// The run to pause for a request of `priority`: of the least urgent runs that may be paused,
    /// the one that started last. A run of a class below its floor is not paused.
    fn find_victim(&self, priority: u8) -> Option<TicketKey> {
        if self.order != Order::Floors {
            return None;
        }
        let total = self.total_ms();
        let runs = self.active.iter().filter_map(|key| {
            let ticket = &self.tickets[*key];
            let class = &self.classes[ticket.slot_request.class.0];
            let Phase::Running { since } = ticket.phase else {
                return None;
            };
            let allowed = class.spec.priority > priority
                && class.spec.preemptible
                && ticket.slot_request.preemptible
                && ticket.preemptions < self.params.max_preemptions
                && class.floor_deficit(total) <= 0.0;
            allowed.then_some((class.spec.priority, since, *key))
        });
        runs.max().map(|(_, _, key)| key)
    }

    /// Removes the ticket and refuses its request; `after` is the retry delay before spreading.
    fn refuse(&mut self, ticket: TicketKey, reason: NotRunReason, after: Millis) {
        let Some(record) = self.tickets.remove(ticket) else {
            return;
        };
        self.counters.refused += 1;
        let retry_after = spread_retry_after(after, record.slot_request.request);
        self.actions.push(Action::Refuse {
            ticket,
            reason,
            retry_after,
        });
    }

    /// Refuses all tickets that wait for their first grant.
    fn refuse_waiting(&mut self, reason: NotRunReason, after: Millis) {
        let is_waiting = |t: &Ticket| matches!(t.phase, Phase::Waiting { .. });
        let waiting: Vec<TicketKey> = self
            .tickets
            .iter()
            .filter(|(_, t)| is_waiting(t))
            .map(|(key, _)| key)
            .collect();
        for ticket in waiting {
            let Ticket {
                slot_request,
                phase,
                ..
            } = &self.tickets[ticket];
            if let Phase::Waiting { expires } = phase {
                self.expiries.remove(&(*expires, ticket));
            }
            self.classes[slot_request.class.0].remove(&slot_request.team, ticket);
            self.refuse(ticket, reason, after);
        }
    }

    /// Frees the slot that a ticket holds.
    fn release_slot(&mut self, ticket: TicketKey, class: ClassKey) {
        self.slots_in_use -= 1;
        self.active.retain(|key| *key != ticket);
        self.classes[class.0].running -= 1;
    }

    /// Adds a finished run to the mean service time.
    fn record_service_time(&mut self, run_time: Millis) {
        let run_time = run_time.0 as f64;
        let first = self.mean_service_ms == 0.0;
        let weight = if first { 1.0 } else { SERVICE_TIME_WEIGHT };
        self.mean_service_ms += weight * (run_time - self.mean_service_ms);
    }

    /// Corrects the team's virtual time by the difference between the tokens that the request used
    /// and those charged at the grant.
    fn correct_virtual_time(&mut self, record: &Ticket, tokens: u64) {
        let class = &mut self.classes[record.slot_request.class.0];
        if record.charged > 0.0 && tokens > 0 {
            let real = tokens as f64 / f64::from(record.slot_request.weight.max(1));
            class.correct_virtual_time(&record.slot_request.team, real - record.charged);
        }
    }

    /// Accrues the slot time of every class up to `now`, decaying the earlier slot time.
    fn accrue_slot_time(&mut self, now: Millis) {
        let passed = now - self.accounted_until;
        self.accounted_until = self.accounted_until.max(now);
        if passed > Millis(0) {
            self.classes
                .iter_mut()
                .for_each(|class| class.accrue_slot_time(passed));
        }
    }

    /// Decayed slot time of all classes together, in ms.
    fn total_ms(&self) -> f64 {
        self.classes.iter().map(ClassQueue::decayed_slot_ms).sum()
    }

    /// Updates the class indices of all tickets after the classes have changed; `old` holds the
    /// former class names by index. Classes with requests are kept, so every ticket's class is
    /// found.
    fn remap_classes(&mut self, old: &[String]) {
        for ticket in self.tickets.values_mut() {
            let name = &old[ticket.slot_request.class.0];
            let found = self.classes.iter().position(|c| c.spec.name == *name);
            if let Some(at) = found {
                ticket.slot_request.class = ClassKey(at);
            }
        }
    }
}

/// Spreads retry delays over one to two times `after`, by the request id, so that refused callers
/// don't all return at the same time. `after` is first limited to 0.2 to 60 seconds.
pub fn spread_retry_after(after: Millis, request: RequestId) -> Millis {
    let bounded = after.max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER);
    let jitter_per_mille = (request.0 % 1_000) as u64;
    Millis(bounded.0 + bounded.0 * jitter_per_mille / 1_000)
}
