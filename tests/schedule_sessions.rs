//! Snapshot tests of whole scheduler sessions: the files in tests/sessions list events with their
//! times, and the transcript shows the actions that each event causes.

use std::collections::HashMap;
use std::fmt::Write;

use violetline::clock::Millis;
use violetline::ids::{ClassKey, RequestId};
use violetline::schedule::{
    Action, ClassSpec, Order, Scheduler, SchedulerParams, SlotRequest, TicketKey,
};

const DEFAULT_WAIT: u64 = 60_000;

/// A scheduler driven by a session file, and the transcript so far.
struct Session {
    scheduler: Scheduler,
    names: HashMap<String, TicketKey>,
    tickets: HashMap<TicketKey, String>,
    classes: Vec<ClassSpec>,
    transcript: String,
}

#[test]
fn sessions() {
    insta::glob!("sessions/*.txt", |path| {
        let text = std::fs::read_to_string(path).unwrap();
        insta::assert_snapshot!(replay(&text));
    });
}

fn replay(text: &str) -> String {
    let lines: Vec<Vec<&str>> = text
        .lines()
        .filter(|line| !line.starts_with('#') && !line.is_empty())
        .map(|line| line.split_whitespace().collect())
        .collect();
    let (settings, events): (Vec<_>, Vec<_>) = lines
        .into_iter()
        .partition(|line| line[0].parse::<u64>().is_err());
    let mut session = open_session(&settings);
    for event in events {
        session.step(&event);
    }
    session.transcript
}

fn open_session(settings: &[Vec<&str>]) -> Session {
    let mut params = SchedulerParams {
        slots: 1,
        reserved: 0,
        grant: Millis(1_000),
        max_preemptions: 2,
        queue_per_class: 100,
        classes: Vec::new(),
    };
    for line in settings {
        match line[0] {
            "slots" => params.slots = line[1].parse().unwrap(),
            "reserved" => params.reserved = line[1].parse().unwrap(),
            "class" => params.classes.push(ClassSpec {
                name: line[1].into(),
                priority: line[2].parse().unwrap(),
                floor_percent: line[3].parse().unwrap(),
                preemptible: line[4] == "yes",
            }),
            other => panic!("unknown setting {other}"),
        }
    }
    Session {
        classes: params.classes.clone(),
        scheduler: Scheduler::new(Order::Floors, params),
        names: HashMap::new(),
        tickets: HashMap::new(),
        transcript: String::new(),
    }
}

impl Session {
    fn step(&mut self, event: &[&str]) {
        let now = Millis(event[0].parse().unwrap());
        writeln!(self.transcript, "{}", event.join(" ")).unwrap();
        match event[1] {
            "offer" => self.offer(now, event),
            "start" => {
                let started = self.scheduler.start(now, self.names[event[2]]);
                writeln!(self.transcript, "    started: {started}").unwrap();
            }
            "paused" => self.scheduler.paused(now, self.names[event[2]]),
            "finish" => {
                let tokens = event[3].parse().unwrap();
                self.scheduler.finish(now, self.names[event[2]], tokens);
            }
            "tick" => self.scheduler.tick(now),
            "drain" => self.scheduler.set_draining(now, true),
            other => panic!("unknown event {other}"),
        }
        self.write_actions();
    }

    fn offer(&mut self, now: Millis, event: &[&str]) {
        let class = self
            .classes
            .iter()
            .position(|c| c.name == event[3])
            .unwrap();
        let wait = event
            .get(5)
            .map_or(DEFAULT_WAIT, |wait| wait.parse().unwrap());
        let ask = SlotRequest {
            request: RequestId(500),
            class: ClassKey(class),
            team: event[4].into(),
            weight: 1,
            est_tokens: 100,
            max_wait: Millis(wait),
            preemptible: true,
        };
        let ticket = self.scheduler.offer(now, ask);
        self.names.insert(event[2].into(), ticket);
        self.tickets.insert(ticket, event[2].into());
    }

    fn write_actions(&mut self) {
        for action in self.scheduler.take_actions() {
            let line = match action {
                Action::Grant { ticket, until } => {
                    format!("grant {} until {}", self.tickets[&ticket], until.0)
                }
                Action::Refuse {
                    ticket,
                    reason,
                    retry_after,
                } => {
                    let name = &self.tickets[&ticket];
                    format!(
                        "refuse {name}: {reason:?}, come back in {} ms",
                        retry_after.0
                    )
                }
                Action::Pause { ticket } => format!("pause {}", self.tickets[&ticket]),
                Action::Resume { ticket } => format!("resume {}", self.tickets[&ticket]),
            };
            writeln!(self.transcript, "    {line}").unwrap();
        }
    }
}
