//! All keys are taken away, one tenant after the other, until the last tenant is gone.

use std::thread::sleep;
use std::time::Duration;

use crate::client::{send, Request, HOST};
use crate::engine::{note_runs, Behaviour, End, Engine, Listed};
use crate::site::{Site, Strictness, REVOKE_MS};
use crate::{now_ms, Record};

const TENANTS: [(&str, &str); 3] = [
    ("hule930", "n2ctnfzs989anu6wsjnb"),
    ("mawo114", "anfqasnmgkcuyj8pjbvk"),
    ("tipi552", "c81kz0w4m7yq2hd9rxsv"),
];
const UNKNOWN_KEY: &str = "never-in-any-configuration";
/// Pause between two versions, within the `gap_s` of the sheets.
const GAP: Duration = Duration::from_millis(1_500);

fn config(version: u64, tenants: &[(&str, &str)]) -> String {
    let tenants = tenants.iter();
    let tenants: Vec<String> = tenants
        .map(|(name, key)| format!("{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"]}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-booklook\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeout_ms\":600,\
         \"target_latency_ms\":100,\"priority\":2,\"service\":\"crate-api\",\"max_attempts\":1,\
         \"public\":false}}],\"services\":[{{\"name\":\"crate-api\",\"health_path\":\"/health\",\
         \"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{}]}}",
        tenants.join(",")
    )
}

fn request(id: String, key: &str) -> Request {
    Request {
        method: "POST",
        path: "/book/2f".into(),
        id,
        key: key.to_owned(),
        deadline_ms: 600,
        headers: String::new(),
        body: vec![b'b'; 600],
    }
}

pub fn play(record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    let zones = ["hall-a", "hall-b", "hall-c"];
    let mut engines = Vec::new();
    for (number, zone) in zones.iter().enumerate() {
        let behaviour = Behaviour::new(0, End::Chunked, true);
        let id = format!("i-{number}");
        engines.push(Engine::start(&id, "crate-api", zone, 6, behaviour)?);
    }
    let listed: Vec<Listed> = engines.iter().map(|e| e.listed.clone()).collect();
    let site = Site::start(&config(7, &TENANTS), &listed, Strictness::Strict)?;
    let ask = |what: &str, key: &str| {
        for (number, entry) in site.entries.iter().enumerate() {
            let request = request(format!("{what}-{number}"), key);
            record.note(&format!(
                "request {} with key {key} to entry {number}",
                request.id
            ));
            let answer = send(*entry, &request);
            record.note(&format!("request {} gets {}", request.id, answer.status));
        }
    };
    for (name, key) in TENANTS {
        ask(&format!("before-{name}"), key);
    }
    ask("before-unknown", UNKNOWN_KEY);
    let mut removed = Vec::new();
    for left in (0..TENANTS.len()).rev().filter(|_| trouble) {
        sleep(GAP);
        let (name, key) = TENANTS[left];
        let version = 8 + (TENANTS.len() - left) as u64;
        site.store
            .put("op/config", &config(version, &TENANTS[..left]));
        removed.push((key, now_ms()));
        record.note(&format!(
            "version {version} is confirmed; it has no key of {name} any more"
        ));
    }
    sleep(Duration::from_millis(REVOKE_MS + 1_000));
    for (name, key) in TENANTS {
        ask(&format!("after-{name}"), key);
    }
    ask("after-unknown", UNKNOWN_KEY);
    sleep(Duration::from_millis(500));
    drop(site);
    let mut broken = Vec::new();
    for run in note_runs(record, &engines) {
        let of = TENANTS
            .iter()
            .find(|(name, _)| run.id.starts_with(&format!("after-{name}")));
        let gone = of.and_then(|(_, key)| removed.iter().find(|(k, _)| k == key));
        if let Some((_, at)) = gone.filter(|(_, at)| run.began > at + REVOKE_MS) {
            let late = run.began - at;
            broken.push(format!(
                "CONFIG: {} runs {late} ms after its key was removed",
                run.id
            ));
        }
        if run.id.contains("unknown") {
            broken.push(format!(
                "ROUTE: {} runs with a key of no configuration",
                run.id
            ));
        }
    }
    Ok(broken)
}
