//! Order of service at one endpoint: a state machine over tickets and run slots.
//!
//! Entries keep the work and leave a ticket here; a slot is granted to one ticket at a time
//! (late binding). Between classes the order is strict urgency, except that a class below its
//! floor goes first; between teams of one class it is start-time fair queueing on tokens.

use std::collections::BTreeSet;

use slotmap::{new_key_type, SlotMap};

use crate::clock::Millis;
use crate::ids::{ClassKey, RequestId};
use crate::outcome::NotRunReason;
use crate::queue::{ClassQueue, Picked, Waiter};
use crate::wire::Load;

pub use crate::order::{
    Action, ClassOccupancy, ClassSpec, Order, SchedulerCounters, SchedulerParams, SlotRequest,
};

new_key_type! {
    /// A ticket in the scheduler's arena.
    pub struct TicketKey;
}

/// Weight of the newest run in the mean service time.
const SERVICE_WEIGHT: f64 = 0.1;
/// Shortest wait that a refusal advises.
const RETRY_LEAST: Millis = Millis(200);
/// Longest wait that a refusal advises.
const RETRY_MOST: Millis = Millis(60_000);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Waiting { expires: Millis },
    Granted { until: Millis },
    Running { since: Millis },
    Pausing { since: Millis },
    Paused,
}

#[derive(Debug)]
struct Ticket {
    ask: SlotRequest,
    phase: Phase,
    preemptions: u32,
    ran: Millis,
    charged: f64,
}

/// The scheduler of one endpoint.
#[derive(Debug)]
pub struct Scheduler {
    order: Order,
    shape: SchedulerParams,
    tickets: SlotMap<TicketKey, Ticket>,
    /// Ends of waits and of grants, soonest first.
    expiries: BTreeSet<(Millis, TicketKey)>,
    /// Tickets that hold a slot; at most as many as there are slots.
    active: Vec<TicketKey>,
    classes: Vec<ClassQueue>,
    actions: Vec<Action>,
    used: u32,
    pausing: u32,
    slots_open: u32,
    draining: bool,
    arrivals: u64,
    service_ms: f64,
    counted_at: Millis,
    counters: SchedulerCounters,
}

impl Scheduler {
    /// An idle scheduler.
    pub fn new(order: Order, shape: SchedulerParams) -> Self {
        let classes = shape.classes.iter().cloned().map(ClassQueue::new).collect();
        let slots_open = shape.slots;
        Self {
            order,
            shape,
            tickets: SlotMap::with_key(),
            expiries: BTreeSet::new(),
            active: Vec::new(),
            classes,
            actions: Vec::new(),
            used: 0,
            pausing: 0,
            slots_open,
            draining: false,
            arrivals: 0,
            service_ms: 0.0,
            counted_at: Millis(0),
            counters: SchedulerCounters::default(),
        }
    }

    /// Takes over the parameters of a new bundle; waiting requests keep their places.
    pub fn update_params(&mut self, now: Millis, shape: SchedulerParams) {
        self.count_time(now);
        let mut old = std::mem::take(&mut self.classes);
        let names: Vec<String> = old.iter().map(|class| class.spec.name.clone()).collect();
        for spec in &shape.classes {
            let found = old.iter().position(|class| class.spec.name == spec.name);
            let mut class = found.map_or_else(|| ClassQueue::new(spec.clone()), |i| old.remove(i));
            class.spec = spec.clone();
            self.classes.push(class);
        }
        let busy = |class: &ClassQueue| class.has_work() || class.running > 0;
        self.classes.extend(old.into_iter().filter(busy));
        self.rekey(&names);
        self.slots_open = shape.slots;
        self.shape = shape;
        self.pump(now);
    }

    /// Leaves a ticket; the answer comes as an action.
    pub fn offer(&mut self, now: Millis, ask: SlotRequest) -> TicketKey {
        self.count_time(now);
        let class = ask.class;
        let expires = now + ask.max_wait;
        let refusal = self.refusal(&ask);
        self.arrivals += 1;
        let ticket = self.tickets.insert(Ticket {
            ask,
            phase: Phase::Waiting { expires },
            preemptions: 0,
            ran: Millis(0),
            charged: 0.0,
        });
        if let Some((reason, after)) = refusal {
            self.refuse(ticket, reason, after);
            return ticket;
        }
        self.expiries.insert((expires, ticket));
        let ask = &self.tickets[ticket].ask;
        let waiter = Waiter {
            ticket,
            arrival: self.arrivals,
            cost: f64::from(ask.est_tokens.max(1)) / f64::from(ask.weight.max(1)),
        };
        self.classes[class.0].push(ask.team.clone(), waiter);
        self.pump(now);
        ticket
    }

    /// The entry sent the work; false when the grant has lapsed and nothing may run.
    #[must_use]
    pub fn start(&mut self, now: Millis, ticket: TicketKey) -> bool {
        self.count_time(now);
        let Some(held) = self.tickets.get_mut(ticket) else {
            return false;
        };
        match held.phase {
            Phase::Granted { until } if now < until => {
                held.phase = Phase::Running { since: now };
                self.expiries.remove(&(until, ticket));
                true
            }
            _ => false,
        }
    }

    /// A run that was told to pause has stopped at the endpoint.
    pub fn paused(&mut self, now: Millis, ticket: TicketKey) {
        self.count_time(now);
        let Some(held) = self.tickets.get_mut(ticket) else {
            return;
        };
        let Phase::Pausing { since } = held.phase else {
            return;
        };
        held.phase = Phase::Paused;
        held.ran = held.ran + (now - since);
        let class = held.ask.class;
        self.pausing -= 1;
        self.release_slot(ticket, class);
        self.classes[class.0].paused.push_back(ticket);
        self.pump(now);
    }

    /// A ticket is over, in whatever state it is: answered, withdrawn or failed.
    pub fn finish(&mut self, now: Millis, ticket: TicketKey, tokens: u64) {
        self.count_time(now);
        let Some(held) = self.tickets.remove(ticket) else {
            return;
        };
        let class = held.ask.class;
        match held.phase {
            Phase::Waiting { expires } => {
                self.expiries.remove(&(expires, ticket));
                self.classes[class.0].remove(&held.ask.team, ticket);
            }
            Phase::Granted { until } => {
                self.expiries.remove(&(until, ticket));
                self.release_slot(ticket, class);
            }
            Phase::Running { since } => {
                self.release_slot(ticket, class);
                self.note_service(held.ran + (now - since));
            }
            Phase::Pausing { .. } => {
                self.pausing -= 1;
                self.release_slot(ticket, class);
            }
            Phase::Paused => self.classes[class.0].paused.retain(|t| *t != ticket),
        }
        self.settle(&held, tokens);
        self.pump(now);
    }

    /// Drops what has lapsed; called at least every few milliseconds.
    pub fn tick(&mut self, now: Millis) {
        self.count_time(now);
        self.pump(now);
    }

    /// Sets how many slots the endpoint's health allows; 0 refuses all that waits.
    pub fn set_open_slots(&mut self, now: Millis, slots: u32, retry_after: Millis) {
        self.slots_open = slots.min(self.shape.slots);
        if slots == 0 {
            self.refuse_waiting(NotRunReason::EndpointFailing, retry_after);
        }
        self.pump(now);
    }

    /// Takes no new work while set; what waits is handed back as not run.
    pub fn set_draining(&mut self, now: Millis, draining: bool) {
        self.draining = draining;
        if draining {
            self.refuse_waiting(NotRunReason::Draining, RETRY_LEAST);
        }
        self.pump(now);
    }

    /// Whether no ticket is left.
    pub fn is_idle(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Takes the actions that came up since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The load as entries should see it.
    pub fn load(&self) -> Load {
        let waiting: usize = self
            .classes
            .iter()
            .map(|c| c.waiting + c.paused.len())
            .sum();
        Load {
            slots: self.shape.slots,
            running: self.used,
            waiting: waiting as u32,
            service_ms: self.service_ms as u32,
        }
    }

    /// Counts since the start.
    pub fn counters(&self) -> SchedulerCounters {
        self.counters
    }

    /// Run slots, whatever the endpoint's health.
    pub fn slots(&self) -> u32 {
        self.shape.slots
    }

    /// Waiting, running and paused requests of each class.
    pub fn by_class(&self) -> Vec<ClassOccupancy> {
        let row = |c: &ClassQueue| ClassOccupancy {
            class: c.spec.name.clone(),
            waiting: c.waiting,
            running: c.running,
            paused: c.paused.len(),
        };
        self.classes.iter().map(row).collect()
    }

    fn refusal(&self, ask: &SlotRequest) -> Option<(NotRunReason, Millis)> {
        let estimate = self.estimate_wait(ask.class);
        if self.draining {
            return Some((NotRunReason::Draining, RETRY_LEAST));
        }
        if self.slots_open == 0 {
            return Some((NotRunReason::EndpointFailing, RETRY_LEAST));
        }
        if self.classes[ask.class.0].waiting >= self.shape.queue_per_class as usize {
            return Some((NotRunReason::QueueFull, estimate));
        }
        (estimate > ask.max_wait).then_some((NotRunReason::TooLate, estimate))
    }

    /// Expected wait of a new request, from what is ahead of it and the mean service time.
    fn estimate_wait(&self, class: ClassKey) -> Millis {
        let spec = &self.classes[class.0].spec;
        let all = self.order == Order::Fifo;
        let counts = |c: &&ClassQueue| all || c.spec.priority <= spec.priority;
        let ahead: usize = self.classes.iter().filter(counts).map(|c| c.waiting).sum();
        let slots = self.slots_for(spec.priority).max(1);
        let free = self.free_for(spec.priority) as usize;
        if ahead < free || self.find_victim(spec.priority).is_some() {
            return Millis(0);
        }
        let rounds = (ahead - free + 1) as f64 / f64::from(slots);
        Millis((rounds * self.service_ms) as u64)
    }

    fn pump(&mut self, now: Millis) {
        self.expire(now);
        while let Some(ticket) = self.choose() {
            self.occupy(now, ticket);
        }
        self.preempt(now);
    }

    fn expire(&mut self, now: Millis) {
        while let Some(&(at, ticket)) = self.expiries.first() {
            if at > now {
                return;
            }
            self.expiries.pop_first();
            let Ticket { ask, phase, .. } = &self.tickets[ticket];
            let class = ask.class;
            let reason = if matches!(phase, Phase::Granted { .. }) {
                self.counters.lapsed += 1;
                self.release_slot(ticket, class);
                NotRunReason::GrantLapsed
            } else {
                self.classes[class.0].remove(&ask.team, ticket);
                NotRunReason::DeadlinePassed
            };
            let after = self.estimate_wait(class);
            self.refuse(ticket, reason, after);
        }
    }

    /// The ticket that takes the next free slot, taken off its queue.
    fn choose(&mut self) -> Option<TicketKey> {
        let ready: Vec<usize> = (0..self.classes.len())
            .filter(|i| self.may_run(*i))
            .collect();
        let class = match self.order {
            Order::Fifo => ready
                .into_iter()
                .min_by_key(|i| self.classes[*i].first_arrival()),
            Order::Strict => ready
                .into_iter()
                .min_by_key(|i| self.classes[*i].spec.priority),
            Order::Floors => self.below_floor(&ready).or_else(|| {
                ready
                    .into_iter()
                    .min_by_key(|i| self.classes[*i].spec.priority)
            }),
        }?;
        let by_arrival = self.order == Order::Fifo;
        let Picked { ticket, charged } = self.classes[class].pop(by_arrival)?;
        if charged > 0.0 {
            self.tickets[ticket].charged = charged;
        }
        Some(ticket)
    }

    fn may_run(&self, class: usize) -> bool {
        let queue = &self.classes[class];
        queue.has_work() && self.free_for(queue.spec.priority) > 0
    }

    /// Slots that work of a priority may hold in all.
    fn slots_for(&self, priority: u8) -> u32 {
        let reserved = if self.is_reserved_from(priority) {
            self.shape.reserved
        } else {
            0
        };
        self.slots_open.min(self.shape.slots - reserved)
    }

    /// Slots that work of a priority may take now. Reserved slots bound what lower work holds,
    /// not what is in use: urgent work beyond them must not keep a floor from being served.
    fn free_for(&self, priority: u8) -> u32 {
        let free = self.slots_open.saturating_sub(self.used);
        if !self.is_reserved_from(priority) {
            return free;
        }
        let lower = self
            .classes
            .iter()
            .filter(|c| c.spec.priority > 0)
            .map(|c| c.running);
        free.min(self.slots_for(priority).saturating_sub(lower.sum()))
    }

    fn is_reserved_from(&self, priority: u8) -> bool {
        priority > 0 && self.order != Order::Fifo
    }

    /// The class with work that is furthest below its floor.
    fn below_floor(&mut self, ready: &[usize]) -> Option<usize> {
        let total = self.total_ms();
        let lacking = |i: &usize| self.classes[*i].lacking(total);
        let busier = |i: &&usize| {
            let mine = self.classes[**i].spec.priority;
            ready.iter().any(|j| self.classes[*j].spec.priority < mine)
        };
        let below = ready
            .iter()
            .filter(busier)
            .map(|i| (*i, lacking(i)))
            .filter(|(_, l)| *l > 0.0);
        let found = below.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(i, _)| i);
        self.counters.by_floor += u64::from(found.is_some());
        found
    }

    fn occupy(&mut self, now: Millis, ticket: TicketKey) {
        let held = &mut self.tickets[ticket];
        let class = held.ask.class;
        match held.phase {
            Phase::Waiting { expires } => {
                let until = now + self.shape.grant;
                held.phase = Phase::Granted { until };
                self.expiries.remove(&(expires, ticket));
                self.expiries.insert((until, ticket));
                self.counters.granted += 1;
                self.actions.push(Action::Grant { ticket, until });
            }
            _ => {
                held.phase = Phase::Running { since: now };
                self.actions.push(Action::Resume { ticket });
            }
        }
        self.used += 1;
        self.active.push(ticket);
        self.classes[class.0].running += 1;
    }

    /// Pauses lower work while more urgent requests wait than slots are being freed for.
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
            let held = &mut self.tickets[ticket];
            let Phase::Running { since } = held.phase else {
                return;
            };
            held.phase = Phase::Pausing { since };
            held.preemptions += 1;
            self.pausing += 1;
            self.counters.paused += 1;
            self.actions.push(Action::Pause { ticket });
        }
    }

    /// The run to pause for work of `priority`: the least urgent class's newest start.
    fn find_victim(&self, priority: u8) -> Option<TicketKey> {
        if self.order != Order::Floors {
            return None;
        }
        let total = self.total_ms();
        let runs = self.active.iter().filter_map(|key| {
            let ticket = &self.tickets[*key];
            let class = &self.classes[ticket.ask.class.0];
            let Phase::Running { since } = ticket.phase else {
                return None;
            };
            let allowed = class.spec.priority > priority
                && class.spec.preemptible
                && ticket.ask.preemptible
                && ticket.preemptions < self.shape.max_preemptions
                && class.lacking(total) <= 0.0;
            allowed.then_some((class.spec.priority, since, *key))
        });
        runs.max().map(|(_, _, key)| key)
    }

    fn refuse(&mut self, ticket: TicketKey, reason: NotRunReason, after: Millis) {
        let Some(held) = self.tickets.remove(ticket) else {
            return;
        };
        self.counters.refused += 1;
        let retry_after = spread_retry_after(after, held.ask.request);
        self.actions.push(Action::Refuse {
            ticket,
            reason,
            retry_after,
        });
    }

    fn refuse_waiting(&mut self, reason: NotRunReason, after: Millis) {
        let is_waiting = |t: &Ticket| matches!(t.phase, Phase::Waiting { .. });
        let waiting: Vec<TicketKey> = self
            .tickets
            .iter()
            .filter(|(_, t)| is_waiting(t))
            .map(|(key, _)| key)
            .collect();
        for ticket in waiting {
            let Ticket { ask, phase, .. } = &self.tickets[ticket];
            if let Phase::Waiting { expires } = phase {
                self.expiries.remove(&(*expires, ticket));
            }
            self.classes[ask.class.0].remove(&ask.team, ticket);
            self.refuse(ticket, reason, after);
        }
    }

    fn release_slot(&mut self, ticket: TicketKey, class: ClassKey) {
        self.used -= 1;
        self.active.retain(|held| *held != ticket);
        self.classes[class.0].running -= 1;
    }

    fn note_service(&mut self, ran: Millis) {
        let ran = ran.0 as f64;
        let first = self.service_ms == 0.0;
        let weight = if first { 1.0 } else { SERVICE_WEIGHT };
        self.service_ms += weight * (ran - self.service_ms);
    }

    /// Corrects a team's virtual time by what the request really took.
    fn settle(&mut self, held: &Ticket, tokens: u64) {
        let class = &mut self.classes[held.ask.class.0];
        if held.charged > 0.0 && tokens > 0 {
            let real = tokens as f64 / f64::from(held.ask.weight.max(1));
            class.settle(&held.ask.team, real - held.charged);
        }
    }

    /// Adds the slot time since the last event, decaying what was there.
    fn count_time(&mut self, now: Millis) {
        let passed = now - self.counted_at;
        self.counted_at = self.counted_at.max(now);
        if passed > Millis(0) {
            self.classes
                .iter_mut()
                .for_each(|class| class.count_time(passed));
        }
    }

    /// Decayed slot time of all classes, in ms.
    fn total_ms(&self) -> f64 {
        self.classes.iter().map(ClassQueue::used_ms).sum()
    }

    /// Points tickets from the old positions of their classes to the new ones. Classes with work
    /// are kept, so each is found.
    fn rekey(&mut self, old: &[String]) {
        for ticket in self.tickets.values_mut() {
            let name = &old[ticket.ask.class.0];
            let found = self.classes.iter().position(|c| c.spec.name == *name);
            if let Some(at) = found {
                ticket.ask.class = ClassKey(at);
            }
        }
    }
}

/// Spreads retry hints over one to two times the estimate, so that callers don't come together.
pub fn spread_retry_after(after: Millis, request: RequestId) -> Millis {
    let base = after.max(RETRY_LEAST).min(RETRY_MOST);
    let part = (request.0 % 1_000) as u64;
    Millis(base.0 + base.0 * part / 1_000)
}
