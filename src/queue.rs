//! The waiting and paused requests of one class: fair between teams, and its share of slot time.

use std::collections::{BTreeMap, VecDeque};

use crate::clock::Millis;
use crate::order::ClassSpec;
use crate::schedule::TicketKey;

/// Half-life of the slot time that floors are judged by, in ms.
const SHARE_HALF_LIFE_MS: f64 = 10_000.0;

/// A ticket that waits for its first grant.
#[derive(Debug, Clone, Copy)]
pub struct Waiter {
    /// The ticket.
    pub ticket: TicketKey,
    /// Its place in the order of arrival.
    pub arrival: u64,
    /// What its team is charged for it: tokens expected over the team's weight.
    pub cost: f64,
}

/// A ticket that takes a slot, and what its team was charged; 0 for one that was paused.
#[derive(Debug, Clone, Copy)]
pub struct Picked {
    /// The ticket.
    pub ticket: TicketKey,
    /// Tokens over weight.
    pub charged: f64,
}

#[derive(Debug, Default)]
struct TeamQueue {
    virtual_time: f64,
    waiting: VecDeque<Waiter>,
}

/// The requests of one class at one endpoint.
#[derive(Debug)]
pub struct ClassQueue {
    /// The class.
    pub spec: ClassSpec,
    /// Paused runs, first paused first.
    pub paused: VecDeque<TicketKey>,
    /// Count of waiting tickets.
    pub waiting: usize,
    /// Count of slots held.
    pub running: u32,
    teams: BTreeMap<String, TeamQueue>,
    /// Virtual time of the last start; a team that comes back begins here.
    virtual_time: f64,
    used_ms: f64,
}

impl ClassQueue {
    /// An empty queue.
    pub fn new(spec: ClassSpec) -> Self {
        Self {
            spec,
            paused: VecDeque::new(),
            waiting: 0,
            running: 0,
            teams: BTreeMap::new(),
            virtual_time: 0.0,
            used_ms: 0.0,
        }
    }

    /// Whether something could take a slot.
    pub fn has_work(&self) -> bool {
        self.waiting > 0 || !self.paused.is_empty()
    }

    /// Adds a waiting ticket.
    pub fn push(&mut self, team: String, waiter: Waiter) {
        let floor = self.virtual_time;
        let queue = self.teams.entry(team).or_default();
        if queue.waiting.is_empty() {
            queue.virtual_time = queue.virtual_time.max(floor);
        }
        queue.waiting.push_back(waiter);
        self.waiting += 1;
    }

    /// Takes a paused run, else the ticket of the team with the least virtual time; or the
    /// first to arrive.
    pub fn pop(&mut self, by_arrival: bool) -> Option<Picked> {
        if let Some(ticket) = self.paused.pop_front() {
            return Some(Picked {
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
        let Waiter { ticket, cost, .. } = queue.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(queue.virtual_time);
        queue.virtual_time += cost;
        self.waiting -= 1;
        Some(Picked {
            ticket,
            charged: cost,
        })
    }

    /// Arrival of the ticket that has waited longest.
    pub fn first_arrival(&self) -> u64 {
        let heads = self.teams.values().filter_map(|team| team.waiting.front());
        heads.map(|waiter| waiter.arrival).min().unwrap_or_default()
    }

    /// Takes a waiting ticket out.
    pub fn remove(&mut self, team: &str, ticket: TicketKey) {
        let Some(queue) = self.teams.get_mut(team) else {
            return;
        };
        let before = queue.waiting.len();
        queue.waiting.retain(|waiter| waiter.ticket != ticket);
        self.waiting -= before - queue.waiting.len();
        self.forget_idle_teams();
    }

    /// Corrects a team's virtual time by what a request took beyond its charge.
    pub fn settle(&mut self, team: &str, correction: f64) {
        if let Some(queue) = self.teams.get_mut(team) {
            queue.virtual_time += correction;
        }
        self.forget_idle_teams();
    }

    /// Adds the slot time of the last `passed`, decaying what was there.
    pub fn count_time(&mut self, passed: Millis) {
        let passed = passed.0 as f64;
        let keep = (-passed * std::f64::consts::LN_2 / SHARE_HALF_LIFE_MS).exp();
        self.used_ms = self.used_ms * keep + passed * f64::from(self.running);
    }

    /// Decayed slot time, in ms.
    pub fn used_ms(&self) -> f64 {
        self.used_ms
    }

    /// How far the class is below its floor, given the slot time of all classes; above 0 when
    /// it lacks something.
    pub fn lacking(&self, total_ms: f64) -> f64 {
        let share = if total_ms > 0.0 {
            self.used_ms / total_ms
        } else {
            0.0
        };
        f64::from(self.spec.floor_percent) / 100.0 - share
    }

    /// Drops teams that wait for nothing and are not ahead of their share.
    fn forget_idle_teams(&mut self) {
        let floor = self.virtual_time;
        self.teams
            .retain(|_, queue| !queue.waiting.is_empty() || queue.virtual_time > floor);
    }
}
