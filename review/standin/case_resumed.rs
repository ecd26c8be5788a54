//! The connection between an entry and an engine is reset in the middle of a stream, while engines
//! fail a part of their requests: the one at which the stream is taken up may, too.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::client::{exchange_raw, Request, HOST};
use crate::engine::{note_runs, Behaviour, End, Engine, Listed};
use crate::proxy::Proxy;
use crate::site::{Site, Strictness};
use crate::Record;

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const ENGINES: usize = 3;
/// Events of a stream.
const EVENTS: usize = 12;
const STREAMS: u64 = 40;
/// Requests in a hundred that engines fail: `srv_grey` with `errors all` of the sheet's days.
const FAILED_PERCENT: u64 = 45;
const KEY: &str = "n2ctnfzs989anu6wsjnb";

fn config() -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-chancheck\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/chancheck/\",\"kind\":\"streaming\",\"timeout_ms\":3000,\
         \"target_latency_ms\":500,\"priority\":1,\"service\":\"violet-pool\",\"max_attempts\":2,\
         \"public\":false,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":400}}],\
         \"services\":[{{\"name\":\"violet-pool\",\"health_path\":\"/health\",\"max_conns\":360,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_capacity\":289584}}}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"]}}]}}"
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
            "X-Model: m\r\nX-Token-Usage: 2368,72\r\nX-Prompt-Prefix: 5c1e07a2:341,{:x}:227,{:x}:1800\r\n",
            0x91bd_0000 + number,
            0xe440_0000 + number
        ),
        body: vec![b'p'; 4_700],
    }
}

/// What is wrong with the bytes of an answer; `None` if they are an answer in the protocol, whole or
/// broken off.
fn fault_of(bytes: &[u8]) -> Option<String> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    if !head.contains("transfer-encoding: chunked") {
        return None;
    }
    let mut rest = &bytes[end + 4..];
    loop {
        let line_end = rest.windows(2).position(|w| w == b"\r\n")?;
        let line = String::from_utf8_lossy(&rest[..line_end]).into_owned();
        let Ok(size) = usize::from_str_radix(&line, 16) else {
            return Some(format!("{line:?} where the size of a chunk is due"));
        };
        if size == 0 {
            return None;
        }
        rest = rest.get(line_end + 2 + size + 2..)?;
    }
}

pub fn play(record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    let mut engines: Vec<Arc<Engine>> = Vec::new();
    let mut proxies = Vec::new();
    let mut listed: Vec<Listed> = Vec::new();
    for number in 0..ENGINES {
        let behaviour = Behaviour::new(EVENTS, End::Chunked, true);
        let zone = ZONES[number % ZONES.len()];
        let engine = Engine::start(&format!("i-{number}"), "violet-pool", zone, 64, behaviour)?;
        let proxy = Proxy::start(engine.listed.address)?;
        listed.push(Listed {
            address: proxy.address,
            ..engine.listed.clone()
        });
        engines.push(engine);
        proxies.push(proxy);
    }
    let site = Site::start(&config(), &listed, Strictness::Strict)?;
    if trouble {
        let share = |engine: &Arc<Engine>| {
            engine
                .behaviour
                .fails
                .store(FAILED_PERCENT, Ordering::SeqCst);
        };
        engines.iter().for_each(share);
        record.note(&format!(
            "engines fail {FAILED_PERCENT} in 100 of their requests"
        ));
    }
    let mut broken = Vec::new();
    for number in 0..STREAMS {
        let entry = site.entries[number as usize % site.entries.len()];
        let request = request(number);
        let id = request.id.clone();
        record.note(&format!("request {id} to {entry}"));
        let asking = std::thread::spawn(move || exchange_raw(entry, &request));
        // In the middle of the stream.
        sleep(Duration::from_millis(200));
        let at = engines.iter().position(|engine| engine.is_running(&id));
        if let Some(at) = at.filter(|_| trouble) {
            let reset = proxies[at].reset_used();
            record.note(&format!("{reset} connection to engine i-{at} is reset"));
        }
        let bytes = asking.join().map_err(|_| "the requester failed")?;
        let fault = fault_of(&bytes);
        record.note(&format!(
            "request {id} gets {} bytes: {}",
            bytes.len(),
            text(&bytes)
        ));
        if let Some(fault) = fault {
            broken.push(format!("MIXED: {id} gets {fault}"));
        }
    }
    drop(site);
    note_runs(record, &engines);
    Ok(broken)
}

fn text(bytes: &[u8]) -> String {
    format!("{:?}", String::from_utf8_lossy(bytes))
}
