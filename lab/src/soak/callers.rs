//! The callers of the soak.

use std::rc::Rc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout, Instant};

use super::{Issue, Soak, KEYS, PATIENCE};
use crate::site::{self, Answer};

/// Paths of the requests; the first part names the route, the last one the engine's behaviour.
pub(super) const PATHS: [&str; 11] = [
    "/once/ok",
    "/once/ok",
    "/once/slow",
    "/once/reset",
    "/once/unframed",
    "/once/twice",
    "/safe/ok",
    "/safe/reset",
    "/stream/events",
    "/resume/events",
    "/resume/cut",
];
/// Streams that end by their connection, or inside an event.
pub(super) const UNMARKED: [&str; 7] = [
    "/stream/close-whole",
    "/stream/close-data",
    "/stream/chunks-line",
    "/stream/close-head",
    "/resume/close-id",
    "/resume/close-line",
    "/resume/length-data",
];
/// Requests that are answered with heads that are none.
pub(super) const ODD: [&str; 6] = [
    "/once/odd-status-600",
    "/once/odd-late-length",
    "/safe/odd-blank-colon",
    "/safe/odd-encoded",
    "/stream/odd-status-101",
    "/stream/odd-late-coding",
];
/// Pause between two of them, in ms, so that their failures don't eject all engines.
const ODD_PAUSE_MS: std::ops::Range<u64> = 200..900;
/// Path of the work that ends engines; streams may run once.
pub(super) const CRASH: &str = "/stream/crash";
/// Wait of a caller that leaves early, which one of [`LEAVES`] does: before most answers are whole.
const SHORT_PATIENCE: Duration = Duration::from_millis(40);
/// One of so many requests is left early.
const LEAVES: u32 = 12;

/// One caller: requests of some paths one after the other, on a connection that is kept until it ends.
pub(super) async fn call_on(
    soak: Rc<Soak>,
    caller: String,
    paths: &'static [&'static str],
    mut rng: SmallRng,
) {
    let mut kept: Option<(usize, TcpStream)> = None;
    let mut number = 0;
    while !soak.ended.get() {
        number += 1;
        let id = format!("{caller}-{number}");
        let path = paths[rng.gen_range(0..paths.len())];
        let key = KEYS[rng.gen_range(0..KEYS.len())];
        let drawn = rng.gen_range(0..soak.entries.len());
        let stream = match kept.take() {
            Some(kept) => Some(kept),
            None => connect(&soak, drawn).await,
        };
        let Some((at, mut stream)) = stream else {
            sleep(Duration::from_millis(30)).await;
            continue;
        };
        soak.note_sent(&id, path, key, at);
        let request = site::request(path, &id, key);
        let Some(answer) = exchange(&mut stream, &request, &mut rng).await else {
            continue;
        };
        let closes = answer.header("connection") == Some("close");
        if !answer.is_cut && !closes && rng.gen_ratio(3, 4) {
            kept = Some((at, stream));
        }
        soak.note_answer(&id, answer);
        sleep(Duration::from_millis(rng.gen_range(0..40))).await;
    }
}

/// A new connection to an entry.
pub(super) async fn connect(soak: &Soak, entry: usize) -> Option<(usize, TcpStream)> {
    let address = soak.entries[entry].callers.get();
    let stream = TcpStream::connect(address).await.ok()?;
    Some((entry, stream))
}

/// Sends a request and reads its answer; `None` when the caller left or couldn't send.
pub(super) async fn exchange(
    stream: &mut TcpStream,
    request: &[u8],
    rng: &mut SmallRng,
) -> Option<Answer> {
    stream.write_all(request).await.ok()?;
    let leaves = rng.gen_ratio(1, LEAVES);
    let patience = if leaves { SHORT_PATIENCE } else { PATIENCE };
    timeout(patience, site::read_answer(stream)).await.ok()
}

/// A caller of requests that are answered with heads that are none.
pub(super) async fn call_oddly(soak: Rc<Soak>, mut rng: SmallRng) {
    let mut number = 0;
    while !soak.ended.get() {
        sleep(Duration::from_millis(rng.gen_range(ODD_PAUSE_MS))).await;
        number += 1;
        let id = format!("odd-{number}");
        let path = ODD[rng.gen_range(0..ODD.len())];
        let drawn = rng.gen_range(0..soak.entries.len());
        let Some((at, mut stream)) = connect(&soak, drawn).await else {
            continue;
        };
        soak.note_sent(&id, path, KEYS[0], at);
        let request = site::request(path, &id, KEYS[0]);
        if let Some(answer) = exchange(&mut stream, &request, &mut rng).await {
            soak.note_answer(&id, answer);
        }
    }
}

/// A caller whose one piece of work ends each engine that begins to run it; it comes again and again, at any entry.
pub(super) async fn crash_on(soak: Rc<Soak>, mut rng: SmallRng) {
    let mut number = 0;
    while !soak.ended.get() {
        sleep(Duration::from_millis(rng.gen_range(100..500))).await;
        number += 1;
        let id = format!("crash-{number}");
        let drawn = rng.gen_range(0..soak.entries.len());
        let Some((at, mut stream)) = connect(&soak, drawn).await else {
            continue;
        };
        soak.note_sent(&id, CRASH, KEYS[0], at);
        let request = site::request_with(CRASH, &id, KEYS[0], "the same work");
        if let Some(answer) = exchange(&mut stream, &request, &mut rng).await {
            soak.note_answer(&id, answer);
        }
    }
}

impl Soak {
    pub(super) fn note_sent(&self, id: &str, path: &'static str, key: &'static str, entry: usize) {
        let issue = Issue {
            path,
            key,
            sent: Instant::now(),
            entry,
            answered: None,
            answer: None,
        };
        self.issues.borrow_mut().insert(id.to_owned(), issue);
    }

    pub(super) fn note_answer(&self, id: &str, answer: Answer) {
        if let Some(issue) = self.issues.borrow_mut().get_mut(id) {
            issue.answer = Some(answer);
            issue.answered = Some(Instant::now());
        }
    }
}
