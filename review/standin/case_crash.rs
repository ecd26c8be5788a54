//! An engine crashes while it writes streams whose end only the connection marks.

use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::sync::{mpsc, Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use crate::client::{send, Answer, Request, HOST};
use crate::engine::Listed;
use crate::site::{Site, Strictness};
use crate::{now_ms, Record};

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const ENGINES: usize = 6;
/// Events of each stream: those of `annot` on the sheet.
const EVENTS: usize = 47;
const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Pause between two requests: those of `annot` on the sheet.
const PAUSE: Duration = Duration::from_millis(85);
const TRAFFIC_MS: u64 = 8_000;
const CRASH_AT_MS: u64 = 3_000;
/// Three check-ins of an engine, after which its entry disappears.
const LAPSE_MS: u64 = 3_600;

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-annot\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/annot/\",\"kind\":\"streaming\",\"timeout_ms\":12000,\
         \"target_latency_ms\":300,\"priority\":0,\"service\":\"violet-pool\",\"max_attempts\":1,\
         \"public\":false,\"sticky\":true,\"resumable\":false,\"gap_target_ms\":250}}],\
         \"services\":[{{\"name\":\"violet-pool\",\"health_path\":\"/health\",\"max_conns\":360,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_capacity\":289584}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"]}}]}}"
    )
}

/// An engine process; killed when dropped.
struct EngineProcess {
    listed: Listed,
    child: Child,
    /// Runs by id: whether the engine has ended them.
    runs: Arc<Mutex<HashMap<String, bool>>>,
}

impl EngineProcess {
    fn start(number: usize, record: &Arc<Record>) -> Result<Self, String> {
        let (id, zone) = (format!("i-{number}"), ZONES[number % ZONES.len()]);
        let program = std::env::current_exe().map_err(|err| err.to_string())?;
        let child = Command::new(program)
            .args(["engine", &id, "violet-pool", zone, &EVENTS.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn();
        let mut child = child.map_err(|err| format!("engine: {err}"))?;
        let stdout = child.stdout.take().ok_or("engine without output")?;
        let mut lines = BufReader::new(stdout).lines().map_while(Result::ok);
        let first = lines.next().unwrap_or_default();
        let address = first.strip_prefix("listens ").and_then(|a| a.parse().ok());
        let runs: Arc<Mutex<HashMap<String, bool>>> = Arc::default();
        let (shared, record, name) = (Arc::clone(&runs), Arc::clone(record), id.clone());
        std::thread::spawn(move || {
            for line in lines {
                let words: Vec<&str> = line.split(' ').collect();
                let [what, at, request] = words[..] else {
                    continue;
                };
                let at = at.parse().unwrap_or_else(|_| now_ms());
                record.note_at(at, &format!("engine {name}: run of {request} {what}"));
                let mut runs = shared.lock().expect("runs");
                runs.insert(request.to_owned(), what == "ended");
            }
        });
        let listed = Listed {
            id,
            service: "violet-pool",
            address: address.ok_or("engine without address")?,
            zone,
            slots: 64,
        };
        Ok(Self {
            listed,
            child,
            runs,
        })
    }

    fn running(&self) -> usize {
        self.runs
            .lock()
            .expect("runs")
            .values()
            .filter(|ended| !**ended)
            .count()
    }

    fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn request(number: u64) -> Request {
    Request {
        method: "POST",
        path: "/annot/2f".into(),
        id: format!("annot-{number}"),
        key: KEY.to_owned(),
        deadline_ms: 12_000,
        headers: format!(
            "X-Model: m\r\nX-Token-Usage: 715,{}\r\nX-Prompt-Prefix: 5c1e07a2:103,91bd3f06:69,{:x}:543\r\n",
            EVENTS * 6,
            0xe440_0000 + number
        ),
        body: vec![b'p'; 1_400],
    }
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Result<Vec<String>, String> {
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        engines.push(EngineProcess::start(number, record)?);
    }
    let listed: Vec<Listed> = engines.iter().map(|e| e.listed.clone()).collect();
    let site = Site::start(&config(), &listed, Strictness::Strict)?;
    let (tx, rx) = mpsc::channel::<(String, Answer)>();
    let start = now_ms();
    let mut number = 0;
    let mut killed: Option<(usize, u64)> = None;
    while now_ms() < start + TRAFFIC_MS {
        let entry = site.entries[number as usize % site.entries.len()];
        let (request, tx) = (request(number), tx.clone());
        record.note(&format!("request {} to {entry}", request.id));
        std::thread::spawn(move || {
            let answer = send(entry, &request);
            let _ = tx.send((request.id, answer));
        });
        number += 1;
        if trouble && killed.is_none() && now_ms() >= start + CRASH_AT_MS {
            let busiest = (0..ENGINES).max_by_key(|i| engines[*i].running());
            let busiest = busiest.unwrap_or(0);
            engines[busiest].kill();
            killed = Some((busiest, now_ms()));
            let id = &engines[busiest].listed.id;
            record.note(&format!("engine {id} crashes: its process is killed"));
        }
        if let Some((gone, at)) = killed {
            if now_ms() >= at + LAPSE_MS {
                site.store.delete(&engines[gone].listed.key());
            }
        }
        sleep(PAUSE);
    }
    drop(tx);
    let mut broken = Vec::new();
    for (id, answer) in rx {
        let events = answer.events();
        record.note(&format!(
            "request {id} got {} with {events} events, marked as complete: {}",
            answer.status, answer.complete
        ));
        if answer.status == 200 && answer.complete && events < EVENTS {
            broken.push(format!(
                "ORDER: {id} ends as complete after {events} of {EVENTS} events"
            ));
        }
    }
    drop(site);
    Ok(broken)
}
