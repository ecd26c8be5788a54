//! Callers whose prompts share parts: under one of the parts engines end, the others are sound. And
//! engines that end for reasons of their own.

use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use tokio::time::{sleep, Instant};

use super::callers::{connect, exchange};
use super::{Soak, KEYS};
use crate::site;

/// The part under which engines end.
pub(super) const CRASHING: u64 = 0xbad;
/// Beginning of the ids of requests that hold it.
const CRASHING_ID: &str = "bad-part-";
/// The first part of all prompts.
const FIRST: u64 = 0xf1;
/// Number of parts that sound requests and others share besides.
const SUBJECTS: u64 = 12;
/// Paths of these requests.
const PATHS: [&str; 4] = ["/stream/events", "/once/ok", "/safe/ok", "/resume/events"];
/// Engines that may end under the part: up to nine for each time that all entries that know of it are ended.
const MOST_ENDED: usize = 24;

/// Whether a request holds the part under which engines end.
pub(super) fn is_crashing(id: &str) -> bool {
    id.starts_with(CRASHING_ID)
}

/// Callers of sound requests.
pub(super) const SOUND_CALLERS: u64 = 2;

/// A caller of requests with shared parts, no two alike: sound ones of the caller with that number,
/// or with the crashing part for `None`.
pub(super) async fn call_on(soak: Rc<Soak>, sound: Option<u64>, mut rng: SmallRng) {
    let crashes = sound.is_none();
    let name = sound.map_or(CRASHING_ID.into(), |caller| format!("part-{caller}-"));
    let mut number = 0;
    while !soak.ended.get() {
        let pause = if crashes { 500..1_500 } else { 20..120 };
        sleep(Duration::from_millis(rng.gen_range(pause))).await;
        number += 1;
        let id = format!("{name}{number}");
        let subject = 0xc0 + rng.gen_range(0..SUBJECTS);
        let mut parts = vec![FIRST, subject, 0x10_000 + number];
        if crashes {
            parts.insert(rng.gen_range(0..3), CRASHING);
        }
        let path = PATHS[rng.gen_range(0..PATHS.len())];
        let drawn = rng.gen_range(0..soak.entries.len());
        let Some((at, mut stream)) = connect(&soak, drawn).await else {
            continue;
        };
        soak.note_sent(&id, path, KEYS[0], at);
        let request = site::request_of_parts(path, &id, KEYS[0], &parts);
        if let Some(answer) = exchange(&mut stream, &request, &mut rng).await {
            soak.note_answer(&id, answer);
        }
    }
}

/// Ends engines for no reason that a request gives.
pub(super) async fn end_engines(
    soak: Rc<Soak>,
    mean_pause: u64,
    mut rng: SmallRng,
    until: Instant,
) {
    while Instant::now() < until {
        let pause = rng.gen_range(mean_pause / 2..=mean_pause * 3 / 2);
        sleep(Duration::from_millis(pause)).await;
        let engine = {
            let engines = soak.engines.borrow();
            let drawn = &engines[rng.gen_range(0..engines.len())];
            drawn.harmed.now();
            Rc::clone(&drawn.engine)
        };
        if !engine.is_down() {
            engine.crash().await;
        }
    }
}

impl Soak {
    /// Whether too many engines ended under the part.
    pub(super) fn check_parts(&self) -> Option<String> {
        let gone = self.gone.borrow();
        let engines = self.engines.borrow();
        let all = engines.iter().chain(gone.iter());
        let crashes = all.flat_map(|relayed| relayed.engine.crashes());
        let ended = crashes.filter(|arrival| arrival.holds(CRASHING)).count();
        (ended > MOST_ENDED).then(|| format!("{ended} engines ended under one part"))
    }
}
