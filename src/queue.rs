//! The waiting and paused requests of one class at one endpoint.
//!
//! Teams share the class by start-time fair queueing: each has a virtual time that grows with the
//! tokens charged to it, divided by its weight, and the team with the least one is served next. The
//! queue also accounts for the slot time that the class used, against which its floor is checked.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Millis;
use crate::order::ClassSpec;
use crate::schedule::TicketKey;

/// Half-life of the slot time against which floors are checked, in ms.
const SHARE_HALF_LIFE_MS: f64 = 10_000.0;

/// A ticket that waits for its first grant.
#[derive(Debug, Clone, Copy)]
pub struct WaitingTicket {
    /// The ticket.
    pub ticket: TicketKey,
    /// Its number in the scheduler's order of arrival.
    pub arrival: u64,
    /// Virtual time charged to its team at the grant: expected tokens over the team's weight.
    pub cost: f64,
}

/// A ticket taken off the queue in order to get a slot.
#[derive(Debug, Clone, Copy)]
pub struct PickedTicket {
    /// The ticket.
    pub ticket: TicketKey,
    /// Virtual time charged to its team; 0 for a paused run, which was charged at its grant.
    pub charged: f64,
}

/// The waiting tickets of one team, in order of arrival, and its virtual time.
#[derive(Debug, Default)]
struct TeamQueue {
    virtual_time: f64,
    waiting: VecDeque<WaitingTicket>,
}

/// The requests of one class at one endpoint.
#[derive(Debug)]
pub struct ClassQueue {
    /// Parameters of the class.
    pub spec: ClassSpec,
    /// Paused runs, the one paused first at the front.
    pub paused: VecDeque<TicketKey>,
    /// Number of tickets that wait for a first grant.
    pub waiting: usize,
    /// Number of slots held.
    pub running: u32,
    teams: BTreeMap<String, TeamQueue>,
    /// Highest virtual time at which a team was served; a team without waiting tickets that
    /// queues again starts at least here, so that it gains nothing from having been idle.
    virtual_time: f64,
    /// Slot time used, decayed with [`SHARE_HALF_LIFE_MS`], in ms.
    decayed_slot_ms: f64,
}

impl ClassQueue {
    /// Creates an empty queue.
    pub fn new(spec: ClassSpec) -> Self {
        Self {
            spec,
            paused: VecDeque::new(),
            waiting: 0,
            running: 0,
            teams: BTreeMap::new(),
            virtual_time: 0.0,
            decayed_slot_ms: 0.0,
        }
    }

    /// Whether a ticket waits for a slot, for its first grant or to resume.
    pub fn has_work(&self) -> bool {
        self.waiting > 0 || !self.paused.is_empty()
    }

    /// Adds a waiting ticket to its team's queue.
    pub fn push(&mut self, team: String, waiter: WaitingTicket) {
        let class_time = self.virtual_time;
        let queue = self.teams.entry(team).or_default();
        if queue.waiting.is_empty() {
            queue.virtual_time = queue.virtual_time.max(class_time);
        }
        queue.waiting.push_back(waiter);
        self.waiting += 1;
    }

    /// Takes the run paused first, or else the next ticket of the team with the least virtual time
    /// (ties by arrival), charging the team. With `by_arrival` virtual times are ignored. Returns
    /// `None` when nothing waits.
    pub fn pop(&mut self, by_arrival: bool) -> Option<PickedTicket> {
        if let Some(ticket) = self.paused.pop_front() {
            return Some(PickedTicket {
                ticket,
                charged: 0.0,
            });
        }
        let rank = |queue: &TeamQueue| {
            let arrival = queue.waiting.front().map_or(0, |waiter| waiter.arrival);
            let time = if by_arrival { 0.0 } else { queue.virtual_time };
            (time, arrival)
        };
        let waiting = self
            .teams
            .values_mut()
            .filter(|queue| !queue.waiting.is_empty());
        let queue = waiting.min_by(|a, b| {
            let (a, b) = (rank(a), rank(b));
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))
        })?;
        let WaitingTicket { ticket, cost, .. } = queue.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(queue.virtual_time);
        queue.virtual_time += cost;
        self.waiting -= 1;
        Some(PickedTicket {
            ticket,
            charged: cost,
        })
    }

    /// Arrival number of the ticket that has waited longest; 0 when none waits.
    pub fn earliest_arrival(&self) -> u64 {
        let heads = self.teams.values().filter_map(|team| team.waiting.front());
        heads.map(|waiter| waiter.arrival).min().unwrap_or_default()
    }

    /// Removes a waiting ticket, if it is there.
    pub fn remove(&mut self, team: &str, ticket: TicketKey) {
        let Some(queue) = self.teams.get_mut(team) else {
            return;
        };
        let before = queue.waiting.len();
        queue.waiting.retain(|waiter| waiter.ticket != ticket);
        self.waiting -= before - queue.waiting.len();
        self.drop_idle_teams();
    }

    /// Adds to a team's virtual time what a request cost beyond its charge; negative if it cost
    /// less.
    pub fn correct_virtual_time(&mut self, team: &str, correction: f64) {
        if let Some(queue) = self.teams.get_mut(team) {
            queue.virtual_time += correction;
        }
        self.drop_idle_teams();
    }

    /// Adds the slot time of the last `passed`, decaying the earlier slot time.
    pub fn accrue_slot_time(&mut self, passed: Millis) {
        let passed = passed.0 as f64;
        let decay = (-passed * std::f64::consts::LN_2 / SHARE_HALF_LIFE_MS).exp();
        self.decayed_slot_ms = self.decayed_slot_ms * decay + passed * f64::from(self.running);
    }

    /// Slot time used by the class, decayed, in ms.
    pub fn decayed_slot_ms(&self) -> f64 {
        self.decayed_slot_ms
    }

    /// How far the class is below its floor, as a fraction of `total_ms`, the decayed slot time of
    /// all classes; above 0 when the class has had less than its floor.
    pub fn floor_deficit(&self, total_ms: f64) -> f64 {
        let share = if total_ms > 0.0 {
            self.decayed_slot_ms / total_ms
        } else {
            0.0
        };
        f64::from(self.spec.floor_percent) / 100.0 - share
    }

    /// Removes teams without waiting tickets whose virtual time is not ahead of the class's.
    fn drop_idle_teams(&mut self) {
        let class_time = self.virtual_time;
        self.teams
            .retain(|_, queue| !queue.waiting.is_empty() || queue.virtual_time > class_time);
    }
}
