//! The platform's store gets another address, and the settings files are filled anew.

use std::thread::sleep;
use std::time::Duration;

use crate::client::{send, Request, HOST};
use crate::engine::{note_runs, Behaviour, End, Engine, Listed};
use crate::site::{Site, Strictness};
use crate::{now_ms, Record};

const KEPT_KEY: &str = "n2ctnfzs989anu6wsjnb";
const DROPPED_KEY: &str = "anfqasnmgkcuyj8pjbvk";
/// Bounds of the sheet, in ms.
const CONFIG_APPLY_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;

fn config(version: u64, routes: &[&str], keys: &[&str]) -> String {
    let routes = routes.iter();
    let routes: Vec<String> = routes
        .map(|name| {
            format!(
                "{{\"name\":\"r-{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
                 \"kind\":\"non_idempotent\",\"timeout_ms\":2500,\"target_latency_ms\":150,\
                 \"priority\":2,\"service\":\"merchant-api\",\"max_attempts\":1,\"public\":false}}"
            )
        })
        .collect();
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"merchant-api\",\
         \"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[{}]}}]}}",
        routes.join(","),
        keys.join(",")
    )
}

pub fn play(record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    let zones = ["hall-a", "hall-b", "hall-c"];
    let mut engines = Vec::new();
    for (number, zone) in zones.iter().enumerate() {
        let behaviour = Behaviour::new(0, End::Chunked, true);
        let id = format!("i-{number}");
        engines.push(Engine::start(&id, "merchant-api", zone, 6, behaviour)?);
    }
    let listed: Vec<Listed> = engines.iter().map(|e| e.listed.clone()).collect();
    let first = config(7, &["settle"], &[KEPT_KEY, DROPPED_KEY]);
    let mut site = Site::start(&first, &listed, Strictness::NoRevokeBound)?;
    let ask = |site: &Site, what: &str, route: &str, key: &str| -> Vec<(String, u16)> {
        let mut answers = Vec::new();
        for (number, entry) in site.entries.iter().enumerate() {
            let request = Request {
                method: "POST",
                path: format!("/{route}/2f"),
                id: format!("{what}-{number}"),
                key: key.to_owned(),
                deadline_ms: 2_500,
                headers: String::new(),
                body: vec![b'b'; 600],
            };
            record.note(&format!(
                "request {} with key {key} to entry {number}",
                request.id
            ));
            let answer = send(*entry, &request);
            record.note(&format!("request {} gets {}", request.id, answer.status));
            answers.push((request.id, answer.status));
        }
        answers
    };
    ask(&site, "before-kept", "settle", KEPT_KEY);
    ask(&site, "before-dropped", "settle", DROPPED_KEY);
    if trouble {
        let address = site.move_store()?;
        record.note(&format!(
            "the store is at {address} now; all settings files say so, and one entry gets SIGHUP"
        ));
        sleep(Duration::from_secs(3));
        site.close_former_store();
        record.note("nothing listens at the former address any more");
    }
    // The machines are in touch with the store at its present address.
    sleep(Duration::from_millis(CONTACT_MS));
    let second = config(9, &["settle", "added"], &[KEPT_KEY]);
    site.store.put("op/config", &second);
    let confirmed = now_ms();
    record.note("version 9 is confirmed; it adds the route /added/ and drops a key");
    sleep(Duration::from_millis(CONFIG_APPLY_MS + CONTACT_MS));
    ask(&site, "after-kept", "settle", KEPT_KEY);
    ask(&site, "after-dropped", "settle", DROPPED_KEY);
    let added = ask(&site, "after-added", "added", KEPT_KEY);
    sleep(Duration::from_millis(300));
    drop(site);
    let mut broken = Vec::new();
    for run in note_runs(record, &engines) {
        if run.id.starts_with("after-dropped") {
            let late = run.began - confirmed;
            broken.push(format!(
                "CONFIG: {} runs {late} ms after its key was dropped",
                run.id
            ));
        }
    }
    for (id, status) in added
        .iter()
        .filter(|(_, status)| matches!(status, 401 | 403 | 404))
    {
        broken.push(format!(
            "CONFIG: {id} gets {status} though the route exists"
        ));
    }
    Ok(broken)
}
