//! A stand-in for a model engine.
//!
//! Batches up to `slots` sequences, slows down with the batch, keeps prompt prefixes in limited
//! memory, honours priorities in its own queue, cancels and resumes, and refuses orders of older
//! incarnations. The answer is a function of the prompt, so that a caller can check it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody};
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use futures_util::stream;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use tokio::sync::{mpsc, Notify};
use tokio::time::sleep;
use violetline::endpoint::{
    INCARNATION_HEADER, LEAVING_HEADER, LIMIT_HEADER, PRIORITY_HEADER, RESUME_HEADER, RUN_HEADER,
};
use violetline::listener;

use crate::endless::Endless;
use crate::web;

/// Tokens of an answer whose request does not say.
const DEFAULT_TOKENS: u64 = 24;
/// Shortest sleep; shorter steps emit several tokens at once.
const LEAST_STEP: Duration = Duration::from_millis(4);
/// Resumable sequences kept in memory.
const KEPT_SEQUENCES: usize = 16;
/// Sleep of a frozen or full engine between two looks.
const LOOK: Duration = Duration::from_millis(5);
/// What a prompt holds that ends each engine that begins to run it.
pub const CRASHES: &str = "ends the engine";
/// Time after which it does so.
const CRASH_AFTER: Duration = Duration::from_millis(30);
const WORDS: [&str; 16] = [
    "ledger", "crate", "beam", "label", "layout", "proof", "shift", "press", "plate", "channel",
    "trace", "ink", "batch", "summary", "query", "note",
];

/// Speed and size of an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineSettings {
    /// Port; 0 takes any.
    pub port: u16,
    /// Sequences in a batch.
    pub slots: usize,
    /// Time for a token in a batch of one, in µs.
    pub token_us: u64,
    /// Added time for a token per further sequence in the batch, in µs.
    pub batch_us: u64,
    /// Time to read 1,000 tokens of a prompt, in ms.
    pub prefill_ms: u64,
    /// Prompt prefixes kept.
    pub cached_prefixes: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            port: 0,
            slots: 8,
            token_us: 2_000,
            batch_us: 200,
            prefill_ms: 40,
            cached_prefixes: 64,
        }
    }
}

/// Faults that a test brings about.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// Times slower than normal; 0 for normal.
    pub slow: u64,
    /// Answers 500 at once.
    pub failing: bool,
    /// Cuts the connection after that many tokens; 0 for never.
    pub cut_after: u64,
    /// Resumes that many tokens late; a faulty seam.
    pub skip_at_resume: u64,
    /// Stands still.
    pub frozen: bool,
    /// Goes on with a run whose connection has ended, as some engines do.
    pub keeps_orphans: bool,
    /// Says in all its answers that it leaves.
    pub leaving: bool,
    /// Names a limit in all its answers, in thousandths of a call a second; 0 for none.
    pub limit: u32,
    /// Turns every call away and asks for so much rest, in ms; 0 where it takes calls.
    pub rest_ms: u64,
    /// Answers every call that takes up a stream with an error of the caller.
    pub refuses_resumes: bool,
    /// Sends bytes without end in place of each answer.
    pub endless: Option<Endless>,
}

/// What an engine has done.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct EngineStats {
    /// Tokens generated.
    pub generated: u64,
    /// Tokens computed again after a resume whose memory was gone.
    pub recomputed: u64,
    /// Starts by the caller's `lab_id`.
    pub starts: BTreeMap<String, u64>,
    /// Orders refused as older than the fence.
    pub fenced: u64,
    /// Runs cancelled.
    pub cancelled: u64,
    /// Sequences in the batch now.
    pub running: usize,
    /// Prompts whose prefix was in memory.
    pub prefix_hits: u64,
    /// Calls turned away for rest.
    pub rested: u64,
}

#[derive(Debug)]
struct Engine {
    settings: EngineSettings,
    faults: Cell<EngineFaults>,
    stats: RefCell<EngineStats>,
    waiting: RefCell<BTreeMap<(u8, u64), ()>>,
    arrivals: Cell<u64>,
    running: RefCell<HashMap<String, Rc<Notify>>>,
    kept: RefCell<VecDeque<(String, u64)>>,
    prefixes: RefCell<VecDeque<u64>>,
    fence: Cell<u64>,
}

/// A sequence to generate.
struct Sequence {
    run: String,
    priority: u8,
    prompt: String,
    tokens: u64,
    from: u64,
    recompute: u64,
}

/// The token at a position of the answer to a prompt.
pub fn token(prompt: &str, at: u64) -> String {
    let mut hasher = DefaultHasher::new();
    (prompt, at).hash(&mut hasher);
    let hash = hasher.finish();
    format!("{}{} ", WORDS[(hash % 16) as usize], (hash >> 8) % 1_000)
}

/// The whole answer to a prompt.
pub fn answer(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|at| token(prompt, at)).collect()
}

/// Serves an engine until the process ends.
pub async fn run(settings: EngineSettings) -> anyhow::Result<()> {
    let listener = web::bind("engine", settings.port).await?;
    let engine = Rc::new(Engine {
        settings,
        faults: Cell::default(),
        stats: RefCell::default(),
        waiting: RefCell::default(),
        arrivals: Cell::new(0),
        running: RefCell::default(),
        kept: RefCell::default(),
        prefixes: RefCell::default(),
        fence: Cell::new(0),
    });
    listener::serve(listener, move |req| route(Rc::clone(&engine), req)).await
}

async fn route(engine: Rc<Engine>, mut req: Request) -> Response<BoxBody> {
    let path = req.path().to_owned();
    match path.as_str() {
        "/lab/stats" => {
            let mut stats = engine.stats.borrow().clone();
            stats.running = engine.running.borrow().len();
            web::json(&stats)
        }
        "/lab/faults" => match web::json_body(&mut req).await {
            Some(faults) => {
                engine.faults.set(faults);
                web::status(StatusCode::OK)
            }
            None => web::status(StatusCode::BAD_REQUEST),
        },
        "/v1/fence" => fence(&engine, &req),
        "/v1/chat/completions" => complete(engine, req).await,
        _ => match path
            .strip_prefix("/v1/runs/")
            .and_then(|p| p.strip_suffix("/cancel"))
        {
            Some(run) => cancel(&engine, run),
            None => web::status(StatusCode::NOT_FOUND),
        },
    }
}

fn number(req: &Request, name: &str) -> u64 {
    web::header(req, name)
        .and_then(|text| text.parse().ok())
        .unwrap_or_default()
}

/// Refuses orders of incarnations before `incarnation` and ends all they started.
fn fence(engine: &Engine, req: &Request) -> Response<BoxBody> {
    let incarnation = number(req, INCARNATION_HEADER);
    if incarnation < engine.fence.get() {
        engine.stats.borrow_mut().fenced += 1;
        return web::status(StatusCode::CONFLICT);
    }
    engine.fence.set(incarnation);
    for stop in engine.running.borrow().values() {
        stop.notify_one();
    }
    web::status(StatusCode::OK)
}

fn cancel(engine: &Engine, run: &str) -> Response<BoxBody> {
    if let Some(stop) = engine.running.borrow().get(run) {
        stop.notify_one();
    }
    web::status(StatusCode::OK)
}

async fn complete(engine: Rc<Engine>, mut req: Request) -> Response<BoxBody> {
    let faults = engine.faults.get();
    if faults.failing {
        return web::status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    if faults.rest_ms > 0 {
        engine.stats.borrow_mut().rested += 1;
        return rest(faults.rest_ms);
    }
    let incarnation = number(&req, INCARNATION_HEADER);
    if incarnation < engine.fence.get() {
        engine.stats.borrow_mut().fenced += 1;
        return web::status(StatusCode::CONFLICT);
    }
    let run = web::header(&req, RUN_HEADER).unwrap_or_default().to_owned();
    let priority = number(&req, PRIORITY_HEADER) as u8;
    let resumed = web::header(&req, RESUME_HEADER).is_some();
    if resumed && faults.refuses_resumes {
        return web::status(StatusCode::BAD_REQUEST);
    }
    if let Some(endless) = faults.endless {
        return endless.answer();
    }
    let from = number(&req, RESUME_HEADER);
    let Some(body) = web::json_body::<Value>(&mut req).await else {
        return web::status(StatusCode::BAD_REQUEST);
    };
    let prompt = prompt_of(&body);
    if prompt.contains(CRASHES) {
        sleep(CRASH_AFTER).await;
        std::process::exit(1);
    }
    let tokens = body["lab"]["tokens"].as_u64().unwrap_or(DEFAULT_TOKENS);
    if !resumed {
        let id = body["lab"]["id"].as_str().unwrap_or_default().to_owned();
        *engine.stats.borrow_mut().starts.entry(id).or_default() += 1;
    }
    let recompute = if from > 0 && !engine.take_kept(&run, from) {
        from
    } else {
        0
    };
    let from_shown = from + if from > 0 { faults.skip_at_resume } else { 0 };
    let sequence = Sequence {
        run,
        priority,
        prompt,
        tokens,
        from: from_shown,
        recompute,
    };
    let (tx, rx) = mpsc::channel(16);
    actix_rt::spawn(generate(engine, sequence, tx));
    let body = stream::unfold(rx, |mut rx| async move { Some((rx.recv().await?, rx)) });
    let mut builder = Response::build(StatusCode::OK);
    builder.insert_header(("content-type", "text/event-stream"));
    if faults.leaving {
        builder.insert_header((LEAVING_HEADER, "1"));
    }
    if faults.limit > 0 {
        let per_s = f64::from(faults.limit) / 1_000.0;
        builder.insert_header((LIMIT_HEADER, per_s.to_string()));
    }
    if resumed {
        builder.insert_header((RESUME_HEADER, from_shown.to_string()));
    }
    builder.body(BodyStream::new(body)).map_into_boxed_body()
}

/// Turns a call away and asks for rest.
fn rest(ms: u64) -> Response<BoxBody> {
    let seconds = ms as f64 / 1_000.0;
    let mut builder = Response::build(StatusCode::SERVICE_UNAVAILABLE);
    builder.insert_header(("retry-after", seconds.to_string()));
    builder.body("").map_into_boxed_body()
}

fn prompt_of(body: &Value) -> String {
    let messages = body["messages"].as_array().cloned().unwrap_or_default();
    messages
        .iter()
        .filter_map(|m| m["content"].as_str())
        .collect::<Vec<_>>()
        .join("\n")
}

type Sender = mpsc::Sender<Result<Bytes, std::io::Error>>;

/// Waits for a place in the batch, reads the prompt, and emits tokens.
async fn generate(engine: Rc<Engine>, sequence: Sequence, tx: Sender) {
    engine.enter(&sequence).await;
    let stop = Rc::new(Notify::new());
    engine
        .running
        .borrow_mut()
        .insert(sequence.run.clone(), Rc::clone(&stop));
    let emitted = Cell::new(sequence.from);
    let finished = tokio::select! {
        finished = emit(&engine, &sequence, &tx, &emitted) => finished,
        () = stop.notified() => false,
        () = tx.closed(), if !engine.faults.get().keeps_orphans => false,
    };
    engine.running.borrow_mut().remove(&sequence.run);
    if !finished {
        engine.stats.borrow_mut().cancelled += 1;
        engine.keep(&sequence.run, emitted.get());
    }
}

async fn emit(engine: &Engine, sequence: &Sequence, tx: &Sender, emitted: &Cell<u64>) -> bool {
    engine.read_prompt(sequence).await;
    let mut owed = Duration::ZERO;
    while emitted.get() < sequence.tokens {
        owed += engine.token_time();
        if owed >= LEAST_STEP {
            sleep(owed).await;
            owed = Duration::ZERO;
        }
        engine.thaw().await;
        let at = emitted.get();
        let cut_after = engine.faults.get().cut_after;
        if cut_after > 0 && at >= cut_after {
            let _ = tx
                .send(Err(std::io::ErrorKind::ConnectionReset.into()))
                .await;
            return false;
        }
        engine.stats.borrow_mut().generated += 1;
        let text = token(&sequence.prompt, at);
        let chunk = json!({ "id": sequence.run, "object": "chat.completion.chunk",
            "choices": [{ "index": 0, "delta": { "content": text }, "finish_reason": null }] });
        emitted.set(at + 1);
        let sent = tx.send(Ok(Bytes::from(format!("data: {chunk}\n\n")))).await;
        if sent.is_err() && !engine.faults.get().keeps_orphans {
            return false;
        }
    }
    let usage = json!({ "id": sequence.run, "choices": [], "usage": {
        "prompt_tokens": sequence.prompt.len() / 4, "completion_tokens": sequence.tokens,
        "recomputed_tokens": sequence.recompute } });
    let _ = tx.send(Ok(Bytes::from(format!("data: {usage}\n\n")))).await;
    let _ = tx.send(Ok(Bytes::from_static(violetline::sse::DONE))).await;
    true
}

impl Engine {
    /// Waits until the batch has room and nobody more urgent waits.
    async fn enter(&self, sequence: &Sequence) {
        self.arrivals.set(self.arrivals.get() + 1);
        let rank = (sequence.priority, self.arrivals.get());
        self.waiting.borrow_mut().insert(rank, ());
        loop {
            let first = self
                .waiting
                .borrow()
                .first_key_value()
                .is_some_and(|(k, ())| *k == rank);
            if first && self.running.borrow().len() < self.settings.slots {
                break;
            }
            sleep(LOOK).await;
        }
        self.waiting.borrow_mut().remove(&rank);
    }

    async fn read_prompt(&self, sequence: &Sequence) {
        let mut tokens = sequence.prompt.len() as u64 / 4;
        if sequence.from > 0 {
            tokens = sequence.recompute;
            self.stats.borrow_mut().recomputed += sequence.recompute;
        } else if self.has_prefix(&sequence.prompt) {
            self.stats.borrow_mut().prefix_hits += 1;
            tokens /= 10;
        }
        let slow = self.faults.get().slow.max(1);
        sleep(Duration::from_micros(
            tokens * self.settings.prefill_ms * slow,
        ))
        .await;
    }

    /// Whether the prompt's first line is in memory; it is from now on.
    fn has_prefix(&self, prompt: &str) -> bool {
        let mut hasher = DefaultHasher::new();
        prompt.lines().next().unwrap_or_default().hash(&mut hasher);
        let hash = hasher.finish();
        let mut prefixes = self.prefixes.borrow_mut();
        let held = prefixes.iter().position(|p| *p == hash);
        if let Some(at) = held {
            prefixes.remove(at);
        }
        prefixes.push_front(hash);
        prefixes.truncate(self.settings.cached_prefixes);
        held.is_some()
    }

    fn token_time(&self) -> Duration {
        let others = self.running.borrow().len().saturating_sub(1) as u64;
        let slow = self.faults.get().slow.max(1);
        Duration::from_micros((self.settings.token_us + self.settings.batch_us * others) * slow)
    }

    async fn thaw(&self) {
        while self.faults.get().frozen {
            sleep(LOOK).await;
        }
    }

    fn keep(&self, run: &str, at: u64) {
        let mut kept = self.kept.borrow_mut();
        kept.push_front((run.to_owned(), at));
        kept.truncate(KEPT_SEQUENCES);
    }

    /// Whether the state of a cancelled run is still there; it is used up.
    fn take_kept(&self, run: &str, from: u64) -> bool {
        let mut kept = self.kept.borrow_mut();
        let found = kept.iter().position(|(id, at)| id == run && *at >= from);
        found.map(|at| kept.remove(at)).is_some()
    }
}
