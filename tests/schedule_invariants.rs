//! Invariants of the scheduler under random orders of events: limits of slots and pauses hold, and
//! every request is granted or refused at most once.

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

/// State in which a request should be, from the actions and calls so far.
#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Waiting,
    Granted(Millis),
    Running,
    Pausing,
    Paused,
}

/// The scheduler under test and the states expected of its requests.
struct Model {
    scheduler: Scheduler,
    now: Millis,
    /// State, class index and number of pauses of each request.
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

fn params() -> SchedulerParams {
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
        let scheduler = Scheduler::new(order, params());
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
        self.apply_actions();
        self.check_invariants();
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
            "a grant is valid until it expires and not after"
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

    fn apply_actions(&mut self) {
        for action in self.scheduler.take_actions() {
            match action {
                Action::Grant { ticket, until } => {
                    let state = self
                        .states
                        .get_mut(&ticket)
                        .expect("a grant for a known ticket");
                    assert_eq!(
                        state.0,
                        State::Waiting,
                        "a request is granted only while it waits"
                    );
                    assert!(!self.draining, "no grants while draining");
                    state.0 = State::Granted(until);
                }
                Action::Refuse { ticket, .. } => {
                    let (state, ..) = self
                        .states
                        .remove(&ticket)
                        .expect("a request is refused at most once");
                    let started = matches!(state, State::Running | State::Pausing | State::Paused);
                    assert!(!started, "a started request is not refused");
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
                        "one run is paused at most twice"
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

    fn check_invariants(&self) {
        let holding = self
            .states
            .values()
            .filter(|(s, ..)| !matches!(s, State::Waiting | State::Paused))
            .count();
        assert!(holding as u32 <= SLOTS, "{holding} requests hold slots");
        assert_eq!(self.scheduler.load().running as usize, holding);
        let holds_slot_below_urgent = |(s, class, _): &&(State, usize, u32)| {
            *class > 0 && !matches!(s, State::Waiting | State::Paused)
        };
        let held_below_urgent = self.states.values().filter(holds_slot_below_urgent).count() as u32;
        assert!(
            held_below_urgent < SLOTS,
            "the reserved slot is used by priority 0 only"
        );
    }

    fn drain_and_finish(&mut self) {
        self.draining = true;
        self.scheduler.set_draining(self.now, true);
        self.apply_actions();
        while let Some(ticket) = self.states.keys().next().copied() {
            assert_ne!(
                self.states[&ticket].0,
                State::Waiting,
                "no request waits while draining"
            );
            self.states.remove(&ticket);
            self.scheduler.finish(self.now, ticket, 5);
            self.apply_actions();
        }
        assert!(self.scheduler.is_idle());
    }
}

#[test]
fn any_event_order() {
    arbtest(|u| {
        let mut model = Model::new(Order::Floors);
        for _ in 0..STEPS {
            model.step(u)?;
        }
        model.drain_and_finish();
        Ok(())
    });
}

/// Offers an endless load of urgent requests along with batch requests, and returns the number of
/// batch runs that started.
fn batch_starts(order: Order) -> usize {
    let mut scheduler = Scheduler::new(order, params());
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
        running.retain(|(ends_at, ticket)| {
            let is_done = *ends_at <= now;
            if is_done {
                scheduler.finish(now, *ticket, 10);
            }
            !is_done
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
fn floors_prevent_starvation() {
    let with_floors = batch_starts(Order::Floors);
    let strict = batch_starts(Order::Strict);
    assert!(
        strict <= 2,
        "without floors batch requests starve: {strict} starts"
    );
    assert!(
        with_floors >= 50,
        "batch requests get their tenth of the slot time: {with_floors} starts"
    );
}

#[test]
fn changed_classes_continue() {
    let mut scheduler = Scheduler::new(Order::Floors, params());
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
        ..params()
    };
    let renamed = SchedulerParams {
        classes: vec![
            class("new", 0, 0),
            class("lookup", 1, 0),
            class("other", 2, 0),
        ],
        ..params()
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
