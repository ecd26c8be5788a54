//! An engine turns slow while it reads a long prompt and writes a stream.

use std::sync::atomic::Ordering;
use std::sync::{mpsc, Arc};
use std::thread::sleep;
use std::time::Duration;

use crate::client::{send, Answer, Request, HOST};
use crate::engine::{note_runs, Behaviour, End, Engine, Listed};
use crate::site::{Site, Strictness};
use crate::{now_ms, Record};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const ENGINES: usize = 9;
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// How many times as long its work takes.
const SLOW: u64 = 5;
/// A long prompt of `runsum` on the sheet.
const LONG_PROMPT: u64 = 39_600;
/// Time for which a run may go on after it was continued elsewhere.
const TWICE_MS: u64 = 400;
const PAUSE: Duration = Duration::from_millis(65);
const TRAFFIC_MS: u64 = 8_000;

fn config() -> String {
    let route = |name: &str, rest: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"streaming\",\"service\":\"violet-pool\",\"public\":false,\
             \"sticky\":true,{rest}}}"
        )
    };
    let chancheck = "\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":1,\
                     \"max_attempts\":2,\"resumable\":true,\"gap_target_ms\":400";
    format!(
        "{{\"version\":7,\"routes\":[{}],\
         \"services\":[{{\"name\":\"violet-pool\",\"health_path\":\"/health\",\"max_conns\":360,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_capacity\":289584}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"]}}]}}",
        route("chancheck", chancheck)
    )
}

fn request(number: u64) -> Request {
    Request {
        method: "POST",
        path: "/chancheck/2f".into(),
        id: format!("chancheck-{number}"),
        key: KEY.to_owned(),
        deadline_ms: 3_000,
        headers: format!(
            "X-Model: m\r\nX-Token-Usage: 2368,24\r\nX-Prompt-Prefix: 5c1e07a2:341,{:x}:227,{:x}:1800\r\n",
            0x91bd_0000 + number % 109,
            0xe440_0000 + number
        ),
        body: vec![b'p'; 4_700],
    }
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let behaviour = Behaviour::new(4, End::Chunked, true);
        let zone = ZONES[number % ZONES.len()];
        engines.push(Engine::start(
            &format!("i-{number}"),
            "violet-pool",
            zone,
            64,
            behaviour,
        )?);
    }
    let listed: Vec<Listed> = engines.iter().map(|e| e.listed.clone()).collect();
    let site = Site::start(&config(), &listed, Strictness::Strict)?;
    let (tx, rx) = mpsc::channel::<(String, Answer)>();
    let start = now_ms();
    let mut number = 0;
    let mut is_slow = false;
    while now_ms() < start + TRAFFIC_MS {
        if !is_slow && now_ms() >= start + 2_000 {
            is_slow = true;
            // The one that has most requests is one of those that don't drop a request whose
            // connection closes.
            let runs = |engine: &&Arc<Engine>| engine.runs.lock().expect("runs").len();
            let engine = engines.iter().max_by_key(runs).ok_or("no engine")?;
            let id = &engine.listed.id;
            engine.behaviour.drops.store(false, Ordering::SeqCst);
            if trouble {
                engine.behaviour.slow.store(SLOW, Ordering::SeqCst);
                record.note(&format!(
                    "engine {id} turns slow: work takes {SLOW} times as long"
                ));
            }
            engine.read_prompt(LONG_PROMPT);
            record.note(&format!(
                "engine {id} gets a prompt of {LONG_PROMPT} tokens from another caller"
            ));
        }
        let entry = site.entries[number as usize % site.entries.len()];
        let (request, tx) = (request(number), tx.clone());
        record.note(&format!("request {} to {entry}", request.id));
        std::thread::spawn(move || {
            let answer = send(entry, &request);
            let _ = tx.send((request.id, answer));
        });
        number += 1;
        sleep(PAUSE);
    }
    drop(tx);
    for (id, answer) in rx {
        record.note(&format!(
            "request {id} got {} with {} events, marked as complete: {}",
            answer.status,
            answer.events(),
            answer.complete
        ));
    }
    // A run whose connection closed goes on at the slow engine.
    sleep(Duration::from_millis(3_000));
    drop(site);
    let runs = note_runs(record, &engines);
    let mut broken = Vec::new();
    for later in &runs {
        let earlier = runs
            .iter()
            .filter(|run| run.id == later.id && run.engine != later.engine);
        let overlapping = earlier.filter(|run| {
            let until = run.ended.unwrap_or(u64::MAX);
            run.began < later.began && until > later.began + TWICE_MS
        });
        for run in overlapping {
            let until = run.ended.map_or(0, |at| at - later.began);
            broken.push(format!(
                "TWICE: {} continues at {} while {} works on it for another {until} ms",
                run.id, later.engine, run.engine
            ));
        }
    }
    Ok(broken)
}
