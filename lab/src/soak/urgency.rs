//! Model requests of two urgencies in the soak, before engines that are full at times, and the platform's rules on them.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use tokio::time::{sleep, timeout, Instant};

use super::{Soak, KEYS};
use crate::site::{self, ModelKind, Site, MODEL_SLOTS, TEAM_KEYS};
use crate::standin::{Engine, Room, WhenFull};
use crate::tiers::{self, Asked, Begun};

/// Time after the faults in which model requests go on, so that a whole span of the rule is calm.
pub(super) const CALM: Duration = Duration::from_millis(5_500);
/// The kinds, the urgent one first.
pub(super) const KINDS: [ModelKind; 2] = [
    ModelKind {
        name: "urgent",
        service: "s2",
        priority: 0,
        attempts: 1,
        prompt_tokens: 800,
        answer_tokens: 150,
        target_ms: 600,
        patience_ms: 4_000,
    },
    ModelKind {
        name: "later",
        service: "s2",
        priority: 1,
        attempts: 2,
        prompt_tokens: 6_000,
        answer_tokens: 50,
        target_ms: 600,
        patience_ms: 3_000,
    },
];
/// Engines of these kinds.
const ENGINES: usize = 4;
/// Mean pause between two requests of each kind, in ms: the urgent one needs a third of the slots, the other one half as much again
/// as all of them.
const PAUSES_MS: [f64; 2] = [62.0, 10.4];
/// Time before a request in which its entry and its way to the platform were well, for the request to count.
const IN_TOUCH: Duration = Duration::from_secs(3);
/// Time for which an engine that leaves serves on after its list entry says so.
const SERVES_ON: Duration = Duration::from_millis(1_500);

/// An attempt at a model request.
#[derive(Debug, Clone, Copy)]
pub(super) struct ModelCall {
    asked: Asked,
    entry: usize,
}

/// Starts the engines.
pub(super) async fn start_engines(site: &Site) -> anyhow::Result<Vec<Rc<Engine>>> {
    let mut engines = Vec::new();
    for i in 0..ENGINES {
        let engine = Engine::start(&format!("m-{i}")).await?;
        engine.set_room(Some(room(i)));
        site.store.list(&engine, "s2", "ready");
        engines.push(engine);
    }
    Ok(engines)
}

/// Half of the engines turn all away when they are full, the others put out the least urgent.
fn room(engine: usize) -> Room {
    Room {
        slots: MODEL_SLOTS,
        queue: 2,
        memory_tokens: 300_000,
        when_full: match engine % 2 {
            0 => WhenFull::TurnsAway,
            _ => WhenFull::PutsOut,
        },
    }
}

/// Sends requests of both kinds until the soak ends.
pub(super) async fn call_on(soak: Rc<Soak>, mut rng: SmallRng) {
    let begun = Instant::now();
    let mut due = [0.0; 2];
    let open = Rc::new(Cell::new(0));
    let mut number = 0;
    while !soak.ended.get() {
        let next = usize::from(due[1] < due[0]);
        let at = begun + Duration::from_secs_f64(due[next] / 1_000.0);
        due[next] -= PAUSES_MS[next] * rng.gen::<f64>().max(1e-9).ln();
        tokio::time::sleep_until(at).await;
        let entry = rng.gen_range(0..soak.entries.len());
        open.set(open.get() + 1);
        let (soak, open) = (Rc::clone(&soak), Rc::clone(&open));
        actix_rt::spawn(async move {
            // Half of the requests are of a team whose own urgency is the opposite of that of their kind.
            let key = match number % 2 {
                0 => TEAM_KEYS[1 - next],
                _ => KEYS[0],
            };
            call(&soak, KINDS[next], number, key, entry).await;
            open.set(open.get() - 1);
        });
        number += 1;
    }
    while open.get() > 0 {
        sleep(Duration::from_millis(20)).await;
    }
}

async fn call(soak: &Soak, kind: ModelKind, number: usize, key: &str, entry: usize) {
    let id = format!("{}-{number}", kind.name);
    let request = site::model_request(&kind, &id, key);
    let at = Instant::now();
    let patience = Duration::from_millis(kind.patience_ms + 200);
    let address = soak.entries[entry].callers.get();
    let answer = timeout(patience, site::exchange(address, &request)).await;
    let is_served = answer.is_ok_and(|answer| answer.status == 200 && !answer.is_cut);
    let asked = Asked {
        at,
        urgency: kind.priority,
        tokens: kind.tokens(),
        is_served,
    };
    let call = ModelCall { asked, entry };
    soak.model_calls.borrow_mut().insert(id, call);
}

impl Soak {
    /// A model engine leaves as planned, and comes back later.
    pub(super) fn replace_model(&self, rng: &mut SmallRng) {
        let engine = Rc::clone(&self.models[rng.gen_range(0..ENGINES)]);
        let store = Rc::clone(&self.site.borrow().store);
        if self.model_leaves.replace(true) {
            return;
        }
        let leaves = Rc::clone(&self.model_leaves);
        store.list(&engine, "s2", "draining");
        actix_rt::spawn(async move {
            sleep(SERVES_ON).await;
            engine.set_shedding(true);
            store.unlist(&engine);
            sleep(SERVES_ON).await;
            engine.set_shedding(false);
            store.list(&engine, "s2", "ready");
            leaves.set(false);
        });
    }

    /// Both rules on urgency, of requests at entries in touch with the platform.
    pub(super) fn check_urgency(&self) -> Vec<String> {
        let calls = self.model_calls.borrow();
        let is_in_touch = |call: &&ModelCall| {
            let from = call.asked.at - IN_TOUCH;
            let until = call.asked.at + Duration::from_millis(KINDS[0].patience_ms);
            let entry = &self.entries[call.entry];
            !entry.disturbed.touch(from, until) && !self.platform.touch(from, until)
        };
        let asked = calls.values().filter(is_in_touch).map(|call| call.asked);
        let asked: Vec<Asked> = asked.collect();
        let urgency = |id: &str| calls.get(id).map(|call| call.asked.urgency);
        let worst = tiers::worst(&asked, &self.models_begun(), 0, |_| false);
        let mut findings = Vec::new();
        if let Some(span) = worst.filter(tiers::Span::is_broken) {
            findings.push(format!("urgent requests got nothing: {span:?}"));
        }
        for engine in &self.models {
            if let Some(count) = tiers::preempted(engine, urgency) {
                let id = engine.id();
                findings.push(format!("{count} preempted at {id} before less urgent ones"));
            }
        }
        findings
    }

    /// Model requests that engines began to work on.
    fn models_begun(&self) -> Vec<Begun> {
        let arrivals = self.models.iter().flat_map(|engine| engine.arrivals());
        let begun = arrivals.filter_map(|arrival| {
            let kind = KINDS.iter().find(|kind| kind.name == arrival.route())?;
            Some(Begun {
                at: arrival.began?,
                urgency: kind.priority,
                tokens: kind.tokens(),
            })
        });
        begun.collect()
    }
}
