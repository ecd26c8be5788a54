//! The scheduler under any order of events: slots, ends and pauses stay within their bounds.

use std::collections::HashMap;

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use violetline::clock::Millis;
use violetline::ids::{ClassKey, RequestId};
use violetline::schedule::{
    Action, ClassSpec, Order, Scheduler, SchedulerParams, SlotRequest, TicketKey,
};

const SLOTS: u32 = 3;
const MAX_PREEMPTIONS: u32 = 2;
const STEPS: usize = 80;

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Waiting,
    Granted(Millis),
    Running,
    Pausing,
    Paused,
}

struct Model {
    scheduler: Scheduler,
    now: Millis,
    states: HashMap<TicketKey, (State, usize, u32)>,
    draining: bool,
}

fn class(name: &str, priority: u8, floor_percent: u8) -> ClassSpec {
    ClassSpec {
        name: name.into(),
        priority,
        floor_percent,
        preemptible: priority > 1,
    }
}

fn shape() -> SchedulerParams {
    SchedulerParams {
        slots: SLOTS,
        reserved: 1,
        grant: Millis(100),
        max_preemptions: MAX_PREEMPTIONS,
        queue_per_class: 8,
        classes: vec![
            class("lookup", 0, 0),
            class("summary", 2, 5),
            class("batch", 3, 10),
        ],
    }
}

impl Model {
    fn new(order: Order) -> Self {
        let scheduler = Scheduler::new(order, shape());
        Self {
            scheduler,
            now: Millis(0),
            states: HashMap::new(),
            draining: false,
        }
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.now = self.now + Millis(u.int_in_range(0..=60)?);
        match u.int_in_range(0..=9)? {
            0..=3 => self.offer(u)?,
            4 | 5 => self.start(u)?,
            6 => self.pause(u)?,
            7 | 8 => self.finish(u)?,
            _ => self.scheduler.tick(self.now),
        }
        self.apply();
        self.check();
        Ok(())
    }

    fn offer(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let class = u.int_in_range(0..=2)?;
        let team = ["a", "b"][u.int_in_range(0..=1)?].to_owned();
        let max_wait = Millis(u.int_in_range(0..=500)?);
        let request = RequestId(u.arbitrary()?);
        let class_key = ClassKey(class);
        let ask = SlotRequest {
            request,
            class: class_key,
            team,
            weight: 1,
            est_tokens: 10,
            max_wait,
            preemptible: true,
        };
        let ticket = self.scheduler.offer(self.now, ask);
        self.states.insert(ticket, (State::Waiting, class, 0));
        Ok(())
    }

    fn pick(&self, u: &mut Unstructured<'_>, test: fn(State) -> bool) -> Result<Option<TicketKey>> {
        let mut found: Vec<_> = self
            .states
            .iter()
            .filter(|(_, s)| test(s.0))
            .map(|(k, _)| *k)
            .collect();
        found.sort();
        if found.is_empty() {
            return Ok(None);
        }
        Ok(Some(found[u.int_in_range(0..=found.len() - 1)?]))
    }

    fn start(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let Some(ticket) = self.pick(u, |s| matches!(s, State::Granted(_)))? else {
            return Ok(());
        };
        let State::Granted(until) = self.states[&ticket].0 else {
            unreachable!()
        };
        let started = self.scheduler.start(self.now, ticket);
        assert_eq!(
            started,
            self.now < until,
            "a grant is good until its end and not after it"
        );
        if started {
            self.states.get_mut(&ticket).unwrap().0 = State::Running;
        }
        Ok(())
    }

    fn pause(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if let Some(ticket) = self.pick(u, |s| s == State::Pausing)? {
            self.states.get_mut(&ticket).unwrap().0 = State::Paused;
            self.scheduler.paused(self.now, ticket);
        }
        Ok(())
    }

    fn finish(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if let Some(ticket) = self.pick(u, |_| true)? {
            self.states.remove(&ticket);
            self.scheduler.finish(self.now, ticket, 5);
        }
        Ok(())
    }

    fn apply(&mut self) {
        for action in self.scheduler.take_actions() {
            match action {
                Action::Grant { ticket, until } => {
                    let state = self
                        .states
                        .get_mut(&ticket)
                        .expect("a grant for a known ticket");
                    assert_eq!(state.0, State::Waiting, "granted once");
                    assert!(!self.draining, "no new work while draining");
                    state.0 = State::Granted(until);
                }
                Action::Refuse { ticket, .. } => {
                    let (state, ..) = self.states.remove(&ticket).expect("refused once");
                    let started = matches!(state, State::Running | State::Pausing | State::Paused);
                    assert!(!started, "what has started is not refused");
                }
                Action::Pause { ticket } => {
                    let state = self
                        .states
                        .get_mut(&ticket)
                        .expect("a pause for a known ticket");
                    assert_eq!(state.0, State::Running);
                    assert!(state.1 > 0, "priority 0 is never paused");
                    state.2 += 1;
                    assert!(
                        state.2 <= MAX_PREEMPTIONS,
                        "one victim is paused at most twice"
                    );
                    state.0 = State::Pausing;
                }
                Action::Resume { ticket } => {
                    let state = self
                        .states
                        .get_mut(&ticket)
                        .expect("a resume for a known ticket");
                    assert_eq!(state.0, State::Paused);
                    state.0 = State::Running;
                }
            }
        }
    }

    fn check(&self) {
        let holding = self
            .states
            .values()
            .filter(|(s, ..)| !matches!(s, State::Waiting | State::Paused))
            .count();
        assert!(holding as u32 <= SLOTS, "{holding} hold slots");
        assert_eq!(self.scheduler.load().running as usize, holding);
        let lower = |(s, class, _): &&(State, usize, u32)| {
            *class > 0 && !matches!(s, State::Waiting | State::Paused)
        };
        let below = self.states.values().filter(lower).count() as u32;
        assert!(below < SLOTS, "the reserved slot is left to priority 0");
    }

    fn end(&mut self) {
        self.draining = true;
        self.scheduler.set_draining(self.now, true);
        self.apply();
        while let Some(ticket) = self.states.keys().next().copied() {
            assert_ne!(
                self.states[&ticket].0,
                State::Waiting,
                "nothing waits once draining"
            );
            self.states.remove(&ticket);
            self.scheduler.finish(self.now, ticket, 5);
            self.apply();
        }
        assert!(self.scheduler.is_idle());
    }
}

#[test]
fn any_order() {
    arbtest(|u| {
        let mut model = Model::new(Order::Floors);
        for _ in 0..STEPS {
            model.step(u)?;
        }
        model.end();
        Ok(())
    });
}

/// Runs urgent work without end beside batch work; the batch runs that got a slot.
fn batch_starts(order: Order) -> usize {
    let mut scheduler = Scheduler::new(order, shape());
    let mut running: Vec<(Millis, TicketKey)> = Vec::new();
    let mut classes = HashMap::new();
    let mut starts = 0;
    for ms in 0..20_000 {
        let now = Millis(ms);
        for (class, every) in [(0, 5), (2, 50)] {
            if ms % every == 0 {
                let ask = SlotRequest {
                    request: RequestId(u128::from(ms)),
                    class: ClassKey(class),
                    team: "a".into(),
                    weight: 1,
                    est_tokens: 10,
                    max_wait: Millis(2_000),
                    preemptible: true,
                };
                classes.insert(scheduler.offer(now, ask), class);
            }
        }
        running.retain(|(end, ticket)| {
            let over = *end <= now;
            if over {
                scheduler.finish(now, *ticket, 10);
            }
            !over
        });
        for action in scheduler.take_actions() {
            match action {
                Action::Grant { ticket, .. } => {
                    assert!(scheduler.start(now, ticket));
                    starts += usize::from(classes[&ticket] == 2);
                    running.push((now + Millis(40), ticket));
                }
                Action::Pause { ticket } => {
                    running.retain(|(_, t)| *t != ticket);
                    scheduler.paused(now, ticket);
                }
                Action::Resume { ticket } => running.push((now + Millis(40), ticket)),
                Action::Refuse { .. } => {}
            }
        }
    }
    starts
}

#[test]
fn floors_progress() {
    let with_floors = batch_starts(Order::Floors);
    let strict = batch_starts(Order::Strict);
    assert!(
        strict <= 2,
        "without floors the batch starves: {strict} starts"
    );
    assert!(
        with_floors >= 50,
        "a tenth of the slot time is kept: {with_floors} starts"
    );
}

#[test]
fn changed_classes() {
    let mut scheduler = Scheduler::new(Order::Floors, shape());
    let ask = |class| SlotRequest {
        request: RequestId(1),
        class: ClassKey(class),
        team: "a".into(),
        weight: 1,
        est_tokens: 10,
        max_wait: Millis(60_000),
        preemptible: true,
    };
    let running = scheduler.offer(Millis(0), ask(2));
    assert!(scheduler.start(Millis(1), running));
    let without_batch = SchedulerParams {
        classes: vec![class("lookup", 0, 0)],
        ..shape()
    };
    let renamed = SchedulerParams {
        classes: vec![
            class("new", 0, 0),
            class("lookup", 1, 0),
            class("other", 2, 0),
        ],
        ..shape()
    };
    scheduler.update_params(Millis(2), without_batch);
    scheduler.update_params(Millis(3), renamed);
    let later = scheduler.offer(Millis(4), ask(2));
    assert!(scheduler.start(Millis(5), later));
    assert_eq!(scheduler.load().running, 2);
    for ticket in [running, later] {
        scheduler.finish(Millis(6), ticket, 5);
    }
    assert!(scheduler.is_idle());
    assert!(
        scheduler.by_class().iter().all(|row| row.running == 0),
        "{:?}",
        scheduler.by_class()
    );
}
