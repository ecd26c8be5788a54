//! A mixed pool in the soak: urgent streams beside requests whose callers have time, a team that
//! floods while an entry is killed, and callers that leave.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use super::faults::{restart, End};
use super::{Soak, KEYS};
use crate::site::{self, ModelKind, Site, MODEL_SLOTS, TEAM_KEYS};
use crate::standin::{Engine, Room, WhenFull};

/// The urgent streams.
const REPLY: ModelKind = ModelKind {
    name: "reply",
    service: "s3",
    priority: 0,
    attempts: 1,
    prompt_tokens: 400,
    answer_tokens: 100,
    target_ms: 600,
    patience_ms: 12_000,
};
/// Those whose callers have time, which make the pool mixed. One takes 250 ms of a slot.
const REVIEW: ModelKind = ModelKind {
    name: "review",
    priority: 2,
    prompt_tokens: 6_000,
    answer_tokens: 50,
    target_ms: 2_000,
    patience_ms: 15_000,
    ..REPLY
};
/// All kinds.
pub(super) const KINDS: [ModelKind; 2] = [REPLY, REVIEW];
/// Path of a request whose engine works until its caller leaves.
const HANG_PATH: &str = "/review/hang";
/// Engines of the pool.
const ENGINES: usize = 3;
/// Mean pause between two requests: a third of them are replies, and the pool is half full.
const PAUSE_MS: f64 = 30.0;
/// The same while a team floods: twice what the pool can take.
const FLOOD_PAUSE_MS: f64 = 10.0;
/// Time for which a team floods, and time between two floods.
const FLOOD: Duration = Duration::from_millis(1_500);
const FLOOD_GAP_MS: Range<u64> = 500..1_500;
/// Time after which a caller leaves that does, in ms; one of [`LEAVES`] does.
const LEAVES_AFTER_MS: Range<u64> = 20..1_500;
const LEAVES: u32 = 4;
/// Time in which an entry learns that a caller has left.
const LEFT_SLACK: Duration = Duration::from_millis(1_000);
/// Time before a request in which its entry was well, for a missing answer to count.
const WELL: Duration = Duration::from_secs(3);
/// Time for the engines to be idle once all callers have left.
const IDLE_TIME: Duration = Duration::from_secs(5);

/// The pool's engines, and the callers that left.
#[derive(Debug, Default)]
pub(super) struct MixedPool {
    pub(super) engines: Vec<Rc<Engine>>,
    /// Whether a team floods.
    floods: Cell<bool>,
    /// When callers left, with their entries, by the id of the request.
    left: RefCell<HashMap<String, (usize, Instant)>>,
}

impl MixedPool {
    /// Starts the engines.
    pub(super) async fn start(site: &Site) -> anyhow::Result<Self> {
        let mut pool = Self::default();
        for i in 0..ENGINES {
            let engine = Engine::start(&format!("x-{i}")).await?;
            engine.set_room(Some(Room {
                slots: MODEL_SLOTS,
                queue: 2,
                memory_tokens: 300_000,
                when_full: WhenFull::TurnsAway,
            }));
            site.store.list(&engine, "s3", "ready");
            pool.engines.push(engine);
        }
        Ok(pool)
    }
}

/// A team floods now and then until a time, and an entry is killed meanwhile.
pub(super) async fn flood_on(soak: Rc<Soak>, mut rng: SmallRng, until: Instant) {
    loop {
        sleep(Duration::from_millis(rng.gen_range(FLOOD_GAP_MS))).await;
        if Instant::now() + FLOOD > until {
            return;
        }
        soak.mixed.floods.set(true);
        sleep(FLOOD / 2).await;
        let entry = Rc::clone(&soak.entries[rng.gen_range(0..soak.entries.len())]);
        restart(entry, End::Kill, FLOOD);
        sleep(FLOOD / 2).await;
        soak.mixed.floods.set(false);
    }
}

/// Sends requests of all kinds until the soak ends.
pub(super) async fn call_on(soak: Rc<Soak>, mut rng: SmallRng) {
    let open = Rc::new(Cell::new(0));
    let mut number = 0;
    while !soak.ended.get() {
        let floods = soak.mixed.floods.get();
        let mean = if floods { FLOOD_PAUSE_MS } else { PAUSE_MS };
        let pause = -mean * rng.gen::<f64>().max(1e-9).ln();
        sleep(Duration::from_secs_f64(pause / 1_000.0)).await;
        number += 1;
        let call = Call::draw(&soak, floods, number, &mut rng);
        open.set(open.get() + 1);
        let (soak, open) = (Rc::clone(&soak), Rc::clone(&open));
        actix_rt::spawn(async move {
            call.play(&soak).await;
            open.set(open.get() - 1);
        });
    }
    while open.get() > 0 {
        sleep(Duration::from_millis(20)).await;
    }
}

/// One request.
#[derive(Debug)]
struct Call {
    id: String,
    kind: ModelKind,
    path: &'static str,
    key: &'static str,
    entry: usize,
    /// Time after which its caller leaves; `None` where it stays.
    leaves_after: Option<Duration>,
}

impl Call {
    fn draw(soak: &Soak, floods: bool, number: usize, rng: &mut SmallRng) -> Self {
        let is_flood = floods && rng.gen_ratio(2, 3);
        let is_reply = !is_flood && rng.gen_ratio(1, 3);
        let kind = if is_reply { REPLY } else { REVIEW };
        let leaves = !is_reply && rng.gen_ratio(1, LEAVES);
        let after = Duration::from_millis(rng.gen_range(LEAVES_AFTER_MS));
        let path = match (is_reply, leaves && rng.gen()) {
            (true, _) => "/reply/work",
            (false, true) => HANG_PATH,
            (false, false) => "/review/work",
        };
        Self {
            id: format!("{}-{number}", kind.name),
            kind,
            path,
            key: if is_flood { TEAM_KEYS[1] } else { KEYS[0] },
            entry: rng.gen_range(0..soak.entries.len()),
            leaves_after: leaves.then_some(after),
        }
    }

    async fn play(self, soak: &Soak) {
        let entry = &soak.entries[self.entry];
        let is_excused = entry.restarting.get();
        let sent = Instant::now();
        soak.note_sent(&self.id, self.path, self.key, self.entry);
        let patience = Duration::from_millis(self.kind.patience_ms) + LEFT_SLACK;
        let asking = self.ask(soak);
        let answer = timeout(self.leaves_after.unwrap_or(patience), asking).await;
        let answer = answer.ok().flatten().filter(|answer| answer.status > 0);
        if let Some(answer) = answer {
            soak.note_answer(&self.id, answer);
        } else if self.leaves_after.is_some() {
            let left = (self.entry, Instant::now());
            soak.mixed.left.borrow_mut().insert(self.id, left);
        } else {
            let is_well = !entry.disturbed.touch(sent - WELL, Instant::now());
            if is_well && !is_excused && !entry.restarting.get() {
                let finding = format!("{} got no answer", self.id);
                soak.findings.borrow_mut().push(finding);
            }
        }
    }

    async fn ask(&self, soak: &Soak) -> Option<site::Answer> {
        let address = soak.entries[self.entry].callers.get();
        let mut stream = TcpStream::connect(address).await.ok()?;
        let request = String::from_utf8(site::model_request(&self.kind, &self.id, self.key));
        let path = format!("POST {} ", self.path);
        let request = request
            .ok()?
            .replace(&format!("POST /{}/work ", self.kind.name), &path);
        stream.write_all(request.as_bytes()).await.ok()?;
        Some(site::read_answer(&mut stream).await)
    }
}

impl Soak {
    /// Engines work for nobody once all callers have left.
    pub(super) async fn check_idle(&self) {
        let until = Instant::now() + IDLE_TIME;
        for engine in &self.mixed.engines {
            while engine.load() != (0, 0) {
                if Instant::now() > until {
                    let (load, id) = (engine.load(), engine.id());
                    let finding = format!("{load:?} left at {id} by callers that are gone");
                    self.findings.borrow_mut().push(finding);
                    break;
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Requests that reached an engine after their callers had left.
    pub(super) fn check_left(&self) -> Vec<String> {
        let left = self.mixed.left.borrow();
        let mut findings = Vec::new();
        for arrival in self.mixed.engines.iter().flat_map(|e| e.arrivals()) {
            let Some((entry, at)) = left.get(arrival.id()) else {
                continue;
            };
            let is_excused = self.entries[*entry].disturbed.touch(*at - WELL, arrival.at);
            if arrival.at > *at + LEFT_SLACK && !is_excused {
                let late = (arrival.at - *at).as_millis();
                findings.push(format!(
                    "{} sent {late} ms after its caller left",
                    arrival.id()
                ));
            }
        }
        findings
    }
}
