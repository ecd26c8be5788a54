//! Case 6: many callers send large requests at once, and entries hold more than their machines have.

#[path = "../stand-ins-2/engine.rs"]
mod engine;
#[path = "../stand-ins-2/standin.rs"]
mod standin;

use std::collections::HashSet;
use std::io::{self, BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use standin::{ask_on, listed, Answer, Deployment, Record, HOST, KEY, SERVICE};

const ENGINES: usize = 9;
const ENTRIES: usize = 3;
/// Requests in all: 0.9 s of `runsum` in a burst of 2.4 times its 25 a second.
const CALLERS: usize = 54;
/// Time over which a burst brings them, and over which they come without one.
const BURST: Duration = Duration::from_millis(900);
const CALM: Duration = Duration::from_millis(9_000);
/// `max_body_bytes` of the configuration.
const BODY_BYTES: usize = 4 << 20;
/// `memory_mb` of a machine: a process that goes over it is killed.
const MEMORY_MB: u64 = 110;
const EVENTS: u64 = 9;
const PAUSE_MS: u64 = 60;
const TOKENS_PER_MS: f64 = 56.9;
const TIME_LIMIT: Duration = Duration::from_millis(4_000);
/// Connections that may be closed without an answer.
const ALLOWED: usize = 3;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    if args.get(1).is_some_and(|a| a == "engine") {
        return match engine::run(&args) {
            Ok(()) => ExitCode::SUCCESS,
            Err(_) => ExitCode::from(2),
        };
    }
    match play(&args[1], Path::new(&args[2])) {
        Ok(lost) if lost > ALLOWED => ExitCode::from(1),
        Ok(_) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"sum\",\"host\":\"{HOST}\",\"path_prefix\":\"/sum/\",\
         \"kind\":\"streaming\",\"timeout_ms\":4000,\"target_latency_ms\":1200,\"priority\":2,\
         \"service\":\"{SERVICE}\",\"max_attempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,\
         \"gap_target_ms\":1000}}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\
         \"max_conns\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\
         \"kv_capacity\":289584,\"kv_token_bytes\":18432,\"link_mbps\":550000.0,\"moves\":true,\
         \"backups\":true,\"stride\":6,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\
         \"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":{BODY_BYTES},\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"team-1\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// Memory of a process in KB, as the platform sees it; `None` once it has ended.
fn resident_kb(pid: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|l| l.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// The platform's watch over the memory of the entries: one that goes over its limit is killed.
/// Returns the most that each one held.
fn watch_memory(pids: Vec<u32>, record: Record, is_over: Arc<AtomicBool>) -> Vec<Arc<AtomicU64>> {
    let peaks: Vec<Arc<AtomicU64>> = pids.iter().map(|_| Arc::default()).collect();
    let seen = peaks.clone();
    thread::spawn(move || {
        let mut killed = HashSet::new();
        while !is_over.load(Ordering::SeqCst) {
            for (pid, peak) in pids.iter().zip(&seen) {
                let kb = resident_kb(*pid).unwrap_or(0);
                peak.fetch_max(kb, Ordering::SeqCst);
                if kb > MEMORY_MB * 1_024 && killed.insert(*pid) {
                    record.note(&format!(
                        "platform: an entry holds {kb} KB, over {MEMORY_MB} MB: killed"
                    ));
                    // It may have ended by itself meanwhile.
                    let _ = Command::new("sh")
                        .args(["-c", &format!("kill -KILL {pid}")])
                        .status();
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
    });
    peaks
}

/// One caller: a small request, and on the kept connection a large one.
fn call(entry: SocketAddr, i: usize, wait: Duration, record: &Record) -> Option<(String, Answer)> {
    let prompt = format!(
        "X-Model: m\r\nX-Token-Usage: 9190,54\r\nX-Prompt-Prefix: a1:2520,b2:3780,c{i:x}:2890\r\n"
    );
    let stream = TcpStream::connect(entry).ok()?;
    stream.set_read_timeout(Some(TIME_LIMIT * 2)).ok()?;
    let mut reader = BufReader::new(stream);
    let mut answer = Answer::default();
    let small = format!("small-{i}");
    let tiny = "X-Model: m\r\nX-Token-Usage: 9,54\r\n";
    ask_on(
        &mut answer,
        &mut reader,
        "/sum/1",
        &small,
        tiny,
        "{}",
        TIME_LIMIT,
    )
    .ok()?;
    if !answer.whole {
        return None;
    }
    thread::sleep(wait);
    let id = format!("large-{i}");
    record.note(&format!(
        "caller: sends {id}, {BODY_BYTES} bytes, to {entry}"
    ));
    let body = "x".repeat(BODY_BYTES);
    let mut answer = Answer::default();
    // A connection that ends is seen by the answer that is missing.
    let _ = ask_on(
        &mut answer,
        &mut reader,
        "/sum/1",
        &id,
        &prompt,
        &body,
        TIME_LIMIT,
    );
    record.note(&format!(
        "caller: {id} gets {} with {} events, {}",
        answer.status,
        answer.events().len(),
        if answer.whole {
            "whole"
        } else {
            "the connection was closed"
        }
    ));
    Some((id, answer))
}

/// Plays the case; returns how many requests were passed on to a sound engine and got no answer.
fn play(program: &str, folder: &Path) -> io::Result<usize> {
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = Record::create(folder)?;
    let mut deployment = Deployment::start(program, ENTRIES, &config())?;
    let runs: Arc<Mutex<HashSet<String>>> = Arc::default();
    for i in 0..ENGINES {
        let id = format!("i-{i}");
        let mut child = Command::new(std::env::current_exe()?)
            .args(["engine", "--id", &id])
            .args(["--events", &EVENTS.to_string()])
            .args(["--pause", &PAUSE_MS.to_string()])
            .args(["--reads", &TOKENS_PER_MS.to_string()])
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()?;
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        deployment.adopt(child);
        let first = lines.next().transpose()?.unwrap_or_default();
        let address = first
            .trim_start_matches("LISTEN ")
            .parse()
            .map_err(io::Error::other)?;
        let entry = listed(address, "ready", 64, 1);
        deployment.store.put(&format!("servers/{id}"), &entry);
        let (record, runs) = (record.clone(), Arc::clone(&runs));
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.note(&format!("engine: {line}"));
                let words: Vec<&str> = line.split(' ').collect();
                if words[0] == "RUN" {
                    runs.lock().unwrap().insert(words[3].to_owned());
                }
            }
        });
    }
    // Every entry hears of the engines by its watch.
    thread::sleep(Duration::from_millis(1_500));
    let is_over = Arc::new(AtomicBool::new(false));
    let peaks = watch_memory(
        deployment.pids.clone(),
        record.clone(),
        Arc::clone(&is_over),
    );
    let time = if trouble { BURST } else { CALM };
    let callers: Vec<_> = (0..CALLERS)
        .map(|i| {
            let entry = deployment.entries[i % ENTRIES];
            let wait = Duration::from_millis(1_500) + time * i as u32 / CALLERS as u32;
            let record = record.clone();
            thread::spawn(move || call(entry, i, wait, &record))
        })
        .collect();
    let mut lost = 0;
    let mut whole = 0;
    let mut kept = 0;
    for caller in callers {
        let answered = caller
            .join()
            .map_err(|_| io::Error::other("a caller failed"))?;
        let Some((id, answer)) = answered else {
            continue;
        };
        kept += 1;
        whole += usize::from(answer.status == 200 && answer.whole);
        if answer.status == 0 && runs.lock().unwrap().contains(&id) {
            lost += 1;
            record.note(&format!(
                "LOST: {id} ran, and its kept connection was closed without an answer"
            ));
        }
    }
    is_over.store(true, Ordering::SeqCst);
    let peaks: Vec<u64> = peaks
        .iter()
        .map(|p| p.load(Ordering::SeqCst) >> 10)
        .collect();
    let result = format!(
        "{whole} of {kept} large requests served, {lost} passed on and closed without an answer; entries held up to {peaks:?} MB"
    );
    record.note(&result);
    println!("{result}");
    if kept == 0 {
        return Err(io::Error::other("no connection was kept"));
    }
    Ok(lost)
}
