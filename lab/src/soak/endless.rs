//! Engines of the soak whose bytes never end, and callers whose answers they are.

use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use tokio::io::AsyncWriteExt;
use tokio::time::{sleep, timeout, Instant};

use super::callers::connect;
use super::{Soak, KEYS};
use crate::site;
use crate::standin::ENDLESS_PLACES;
use crate::usage;

/// Routes of such requests.
const ROUTES: [&str; 4] = ["once", "safe", "stream", "resume"];
/// Time within which a caller has its answer: the time limit of these routes, and a little.
const TIME_LIMIT: Duration = Duration::from_millis(4_800);
/// Time before a request in which its entry must have been well for its answer to count.
const WELL: Duration = Duration::from_millis(1_000);
/// Places that an engine does not answer from for all its callers, since a part of an answer or a
/// whole one stands before them.
const WITH_ANSWER: [&str; 2] = ["after", "trailers"];
/// Longest pause between two times in which an engine answers so, and longest such time, in ms.
const PAUSE_MS: u64 = 2_500;
const TIME_MS: u64 = 1_200;
/// Time for all such connections to be closed after the faults are lifted.
const CLOSE_TIME: Duration = Duration::from_secs(15);
/// Memory that an entry may hold, in bytes: what it has on machines of 128 MB.
const MOST_MEMORY: u64 = 110 << 20;

/// Whether a path asks for an answer without end.
pub(super) fn is_endless(path: &str) -> bool {
    path.contains("/endless-")
}

/// Whether it asks for a whole answer whose end only the connection marks: one whose connection is
/// closed by a fault is complete then, as the platform has it.
pub(super) fn is_unmarked(path: &str) -> bool {
    path.ends_with("/endless-unmarked")
}

/// A path that asks for an answer without end, and the one under which its request is checked.
fn draw_path(rng: &mut SmallRng) -> (String, &'static str) {
    let route = ROUTES[rng.gen_range(0..ROUTES.len())];
    let place = ENDLESS_PLACES[rng.gen_range(0..ENDLESS_PLACES.len())];
    let pace = if rng.gen() { "fast" } else { "slow" };
    let checked = match (route, place) {
        ("once", "body") => "/once/endless-unmarked",
        ("safe", "body") => "/safe/endless-unmarked",
        ("once", _) => "/once/endless-",
        ("safe", _) => "/safe/endless-",
        ("stream", _) => "/stream/endless-",
        _ => "/resume/endless-",
    };
    (format!("/{route}/endless-{pace}-{place}"), checked)
}

/// A caller whose answers never end; each request has a connection of its own.
pub(super) async fn call_on(soak: Rc<Soak>, caller: usize, mut rng: SmallRng) {
    let mut number = 0;
    while !soak.ended.get() {
        sleep(Duration::from_millis(rng.gen_range(0..200))).await;
        number += 1;
        let id = format!("endless-{caller}-{number}");
        let (path, checked) = draw_path(&mut rng);
        let drawn = rng.gen_range(0..soak.entries.len());
        let Some((at, mut stream)) = connect(&soak, drawn).await else {
            continue;
        };
        soak.note_sent(&id, checked, KEYS[0], at);
        let sent = Instant::now();
        let request = site::request(&path, &id, KEYS[0]);
        if stream.write_all(&request).await.is_err() {
            continue;
        }
        let answer = timeout(TIME_LIMIT, site::read_answer(&mut stream)).await;
        let is_well = !soak.entries[at]
            .disturbed
            .touch(sent - WELL, Instant::now());
        match answer {
            Ok(answer) => soak.note_answer(&id, answer),
            Err(_) if is_well => {
                let finding = format!("{id} {path}: no answer within its time limit");
                soak.findings.borrow_mut().push(finding);
            }
            Err(_) => {}
        }
    }
}

/// Makes one engine at a time answer everything without end, until a time.
pub(super) async fn answer_on(soak: Rc<Soak>, mut rng: SmallRng, until: Instant) {
    while Instant::now() < until {
        sleep(Duration::from_millis(rng.gen_range(0..PAUSE_MS))).await;
        let place = ENDLESS_PLACES[rng.gen_range(0..ENDLESS_PLACES.len())];
        let pace = if rng.gen() { "fast" } else { "slow" };
        let engine = {
            let engines = soak.engines.borrow();
            Rc::clone(&engines[rng.gen_range(0..engines.len())].engine)
        };
        let time = Duration::from_millis(rng.gen_range(0..TIME_MS));
        if !WITH_ANSWER.contains(&place) {
            engine.set_wish(Some(&format!("endless-{pace}-{place}")));
        }
        sleep(time).await;
        engine.set_wish(None);
    }
}

impl Soak {
    /// Checks that answers without end are closed after their callers have left, and that entries
    /// are within their memory.
    pub(super) async fn check_endless(&self) {
        let until = Instant::now() + CLOSE_TIME;
        while self.endless() > 0 && Instant::now() < until {
            sleep(Duration::from_millis(20)).await;
        }
        let open = self.endless();
        if open > 0 {
            let finding = format!("{open} answers without end are still open");
            self.findings.borrow_mut().push(finding);
        }
        for (i, entry) in self.entries.iter().enumerate() {
            let held = usage::resident(entry.process.borrow().id());
            if held > MOST_MEMORY {
                let finding = format!("entry {i} holds {held} bytes");
                self.findings.borrow_mut().push(finding);
            }
        }
    }

    /// Answers without end that engines are sending.
    fn endless(&self) -> usize {
        let gone = self.gone.borrow();
        let engines = self.engines.borrow();
        let all = engines.iter().chain(gone.iter());
        all.map(|relayed| relayed.engine.endless()).sum()
    }
}
