//! A key is removed, and the store comes back from a copy that is older than the removal.

use std::thread::sleep;
use std::time::Duration;

use crate::client::{send, Request, HOST};
use crate::engine::{note_runs, Behaviour, End, Engine, Listed};
use crate::site::{Site, Strictness, REVOKE_MS};
use crate::{now_ms, Record};

const KEPT_KEY: &str = "n2ctnfzs989anu6wsjnb";
const REMOVED_KEY: &str = "anfqasnmgkcuyj8pjbvk";
/// Pause between two versions in quick succession.
const STORM_GAP_MS: u64 = 200;
/// Time from the removal until the store is away.
const LOST_AFTER_MS: u64 = 200;
/// Time for which it is away.
const AWAY_MS: u64 = 4_000;
/// Time from its return until the operator has written again what was lost.
const WRITTEN_AFTER_MS: u64 = 2_000;
const PAUSE: Duration = Duration::from_millis(40);

fn config(version: u64, timeout_ms: u64, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-booklook\",\"host\":\"{HOST}\",\
         \"path_prefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeout_ms\":{timeout_ms},\
         \"target_latency_ms\":100,\"priority\":2,\"service\":\"crate-api\",\"max_attempts\":1,\
         \"public\":false}}],\"services\":[{{\"name\":\"crate-api\",\"health_path\":\"/health\",\
         \"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[{}]}}]}}",
        keys.join(",")
    )
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
    let both = [KEPT_KEY, REMOVED_KEY];
    let site = Site::start_in_era(&config(7, 600, &both), &listed, Strictness::Strict)?;
    sleep(Duration::from_secs(3));
    let copy = site.store.backup();
    record.note("a copy of the store is made");
    sleep(Duration::from_millis(1_000));
    let changed = config(8, 650, &both);
    let without = config(9, 650, &[KEPT_KEY]);
    site.store.put("op/config", &changed);
    record.note("version 8 is confirmed; it changes a time-out");
    sleep(Duration::from_millis(STORM_GAP_MS));
    site.store.put("op/config", &without);
    let removed = now_ms();
    record.note("version 9 is confirmed; it removes a key");
    let mut copy = Some(copy);
    let mut is_written = false;
    let mut number = 0;
    while now_ms() < removed + REVOKE_MS + 4_000 {
        let since = now_ms() - removed;
        if trouble && since >= LOST_AFTER_MS && since < LOST_AFTER_MS + AWAY_MS && number == 0 {
            site.store.go_away();
            record.note("the store is away");
            number = 1;
        }
        if trouble && since >= LOST_AFTER_MS + AWAY_MS {
            if let Some(copy) = copy.take() {
                site.store.come_back(copy);
                record.note("the store is back from the copy, in the next era");
            }
        }
        if trouble && since >= LOST_AFTER_MS + AWAY_MS + WRITTEN_AFTER_MS && !is_written {
            is_written = true;
            site.store.put("op/config", &changed);
            site.store.put("op/config", &without);
            record.note("the operator has written versions 8 and 9 again");
        }
        if since > REVOKE_MS + 100 {
            number += 1;
            let request = Request {
                method: "POST",
                path: "/book/2f".into(),
                id: format!("removed-{number}"),
                key: REMOVED_KEY.to_owned(),
                deadline_ms: 600,
                headers: String::new(),
                body: vec![b'b'; 600],
            };
            let entry = site.entries[number % site.entries.len()];
            record.note(&format!(
                "request {} with the removed key to {entry}",
                request.id
            ));
            let answer = send(entry, &request);
            record.note(&format!("request {} gets {}", request.id, answer.status));
        }
        sleep(PAUSE);
    }
    drop(site);
    let mut broken = Vec::new();
    for run in note_runs(record, &engines) {
        let late = run.began - removed;
        broken.push(format!(
            "CONFIG: {} runs {late} ms after its key was removed",
            run.id
        ));
    }
    Ok(broken)
}
