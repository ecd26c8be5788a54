//! Stand-ins for the cases of the review: the platform's store, engines and requesters, and the
//! three entries of a small deployment, started as separate processes by the command of the deploy
//! file. Standard library only.
//!
//! `standin keys|crash|move|slow FOLDER` plays a case and writes FOLDER/record.txt. Exit codes: 1 if the rule was
//! broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod case_crash;
mod case_keys;
mod case_move;
mod case_restored;
mod case_resumed;
mod case_slow;
mod client;
mod engine;
mod http;
mod proxy;
mod site;
mod store;

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What was sent, answered and run, in the order in which it was noted.
pub struct Record {
    file: Mutex<File>,
    start: u64,
}

/// Milliseconds of the time of day; all processes of a case share it.
pub fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

impl Record {
    fn create(folder: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(folder.join("record.txt"))?);
        let start = now_ms();
        Ok(Self { file, start })
    }

    /// Notes a line at the present time.
    pub fn note(&self, text: &str) {
        self.note_at(now_ms(), text);
    }

    /// Notes a line at a time, in ms of the time of day.
    pub fn note_at(&self, at: u64, text: &str) {
        let seconds = at.saturating_sub(self.start) as f64 / 1_000.0;
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{seconds:8.3} s  {text}");
    }
}

/// Waits until `done` holds; false if it does not within `limit`.
pub fn wait_until(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < limit {
        if done() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    if args.get(1).map(String::as_str) == Some("engine") {
        engine::run_process(&args[2..]);
    }
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standin keys|crash|move|slow FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(Path::new(folder)) {
        Ok(record) => std::sync::Arc::new(record),
        Err(err) => {
            eprintln!("record.txt can't be written: {err}");
            std::process::exit(2);
        }
    };
    let result = match case.as_str() {
        "keys" => case_keys::play(&record, trouble),
        "crash" => case_crash::play(&record, trouble),
        "restored" => case_restored::play(&record, trouble),
        "resumed" => case_resumed::play(&record, trouble),
        "move" => case_move::play(&record, trouble),
        "slow" => case_slow::play(&record, trouble),
        other => Err(format!("no case {other}")),
    };
    let (code, text) = match result {
        Ok(broken) if broken.is_empty() => (0, "the rule held".to_owned()),
        Ok(broken) => (1, format!("the rule was broken: {}", broken.join("; "))),
        Err(why) => (2, format!("the case could not run: {why}")),
    };
    record.note(&text);
    println!("{text}");
    std::process::exit(code);
}
