//! The platform's store, of which the system reads keys, ranges and changes.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{parameter, read_head, read_sized};

#[derive(Debug, Clone)]
struct Item {
    value: String,
    revision: u64,
    create_rev: u64,
}

/// A copy of what a store holds.
pub struct Backup(State);

#[derive(Debug, Clone)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Key and revision of each change; the item is missing where it was deleted.
    changes: Vec<(u64, String, Option<Item>)>,
}

#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    address: Mutex<Option<SocketAddr>>,
    connections: Mutex<Vec<TcpStream>>,
    is_closed: AtomicBool,
    /// Whether it turns all calls away.
    is_away: AtomicBool,
    /// What `Store-Era` names in all answers; 0 where it is not named.
    era: AtomicU64,
}

impl Store {
    pub fn start() -> std::io::Result<(Arc<Self>, SocketAddr)> {
        Self::start_with(State {
            revision: 100,
            items: BTreeMap::new(),
            changes: Vec::new(),
        })
    }

    /// Starts a store that holds the same, with its history.
    pub fn copy(&self) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let state = self.state.lock().expect("store").clone();
        Self::start_with(state)
    }

    fn start_with(state: State) -> std::io::Result<(Arc<Self>, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            address: Mutex::new(Some(address)),
            connections: Mutex::default(),
            is_closed: AtomicBool::new(false),
            is_away: AtomicBool::new(false),
            era: AtomicU64::new(0),
        });
        let shared = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.is_closed.load(Ordering::SeqCst) {
                    return;
                }
                let held = stream.try_clone();
                shared.connections.lock().expect("store").extend(held);
                let store = Arc::clone(&shared);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok((store, address))
    }

    /// Names an era in all answers from now on.
    pub fn name_era(&self, era: u64) {
        self.era.store(era, Ordering::SeqCst);
    }

    /// What it holds now, to be restored later.
    pub fn backup(&self) -> Backup {
        Backup(self.state.lock().expect("store").clone())
    }

    /// Turns all calls away from now on.
    pub fn go_away(&self) {
        self.is_away.store(true, Ordering::SeqCst);
        let _state = self.state.lock().expect("store");
        self.changed.notify_all();
    }

    /// Comes back from a copy, in the next era.
    pub fn come_back(&self, backup: Backup) {
        *self.state.lock().expect("store") = backup.0;
        self.era.fetch_add(1, Ordering::SeqCst);
        self.is_away.store(false, Ordering::SeqCst);
    }

    /// Closes the address and all connections.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        if let Some(address) = self.address.lock().expect("store").take() {
            // Wakes the thread that accepts connections.
            let _ = TcpStream::connect(address);
        }
        for stream in self.connections.lock().expect("store").drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Writes an item; it is confirmed when this returns.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().expect("store");
        state.revision += 1;
        let revision = state.revision;
        let create_rev = state
            .items
            .get(key)
            .map_or(revision, |item| item.create_rev);
        let item = Item {
            value: base64(value.as_bytes()),
            revision,
            create_rev,
        };
        state.items.insert(key.to_owned(), item.clone());
        state.changes.push((revision, key.to_owned(), Some(item)));
        self.changed.notify_all();
    }

    /// Deletes an item.
    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().expect("store");
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.changes.push((revision, key.to_owned(), None));
            self.changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            if read_sized(&mut reader, &head).is_err() {
                return;
            }
            let (status, body) = self.answer(head.request().1);
            let era = match self.era.load(Ordering::SeqCst) {
                0 => String::new(),
                era => format!("Store-Era: {era}\r\n"),
            };
            let text = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\n{era}Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        const BUSY: (&str, String) = ("503 Service Unavailable", String::new());
        if self.is_away.load(Ordering::SeqCst) {
            return BUSY;
        }
        let path = target.split('?').next().unwrap_or("");
        let prefix = parameter(target, "path_prefix").unwrap_or("");
        let since = parameter(target, "since_rev").unwrap_or("");
        match path {
            "/violetline/kv-key" => self.key(parameter(target, "key").unwrap_or("")),
            "/violetline/kv-range" => self.range(prefix, since),
            "/violetline/kv-watch" => {
                let wait = parameter(target, "wait_ms").and_then(|w| w.parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or(0));
                self.watch(prefix, since.parse().unwrap_or(0), wait)
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (&'static str, String) {
        let state = self.state.lock().expect("store");
        let Some(item) = state.items.get(key) else {
            return ("404 Not Found", "{}".to_owned());
        };
        let fields = fields(key, item);
        let body = format!("{{{fields},\"current_rev\":{}}}", state.revision);
        ("200 OK", body)
    }

    fn range(&self, prefix: &str, after: &str) -> (&'static str, String) {
        let state = self.state.lock().expect("store");
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> = items
            .map(|(key, item)| format!("{{{}}}", fields(key, item)))
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"has_more\":false,\"current_rev\":{}}}",
            items.join(","),
            state.revision
        );
        ("200 OK", body)
    }

    fn watch(&self, prefix: &str, since: u64, wait: Duration) -> (&'static str, String) {
        let start = Instant::now();
        let mut state = self.state.lock().expect("store");
        loop {
            if self.is_away.load(Ordering::SeqCst) {
                return ("503 Service Unavailable", String::new());
            }
            if since > state.revision {
                return ("410 Gone", "{}".to_owned());
            }
            let found = state.changes.iter();
            let found = found.filter(|(at, key, _)| *at > since && key.starts_with(prefix));
            let events: Vec<String> = found.map(|(at, key, item)| event(*at, key, item)).collect();
            let left = wait.saturating_sub(start.elapsed());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"current_rev\":{}}}",
                    events.join(","),
                    state.revision
                );
                return ("200 OK", body);
            }
            state = self.changed.wait_timeout(state, left).expect("store").0;
        }
    }
}

fn event(at: u64, key: &str, item: &Option<Item>) -> String {
    match item {
        Some(item) => format!("{{{}}}", fields(key, item)),
        None => format!("{{\"key\":\"{key}\",\"revision\":{at},\"deleted\":true}}"),
    }
}

fn fields(key: &str, item: &Item) -> String {
    format!(
        "\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"create_rev\":{},\"lease\":0",
        item.value, item.revision, item.create_rev
    )
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let mut padded = [0; 3];
        padded[..group.len()].copy_from_slice(group);
        let number = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            if place > group.len() {
                out.push('=');
            } else {
                let digit = (number >> (18 - 6 * place)) & 63;
                out.push(char::from(DIGITS[digit as usize]));
            }
        }
    }
    out
}
