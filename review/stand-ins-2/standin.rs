//! Small stand-ins of the platform for the review's scripts: the metadata store, model engines and
//! callers, with nothing but the standard library. Engines are processes of their own, so that
//! they can be killed. Addresses are loopback addresses only.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Host of all routes.
pub const HOST: &str = "desk.example";
/// Key of the only tenant.
pub const KEY: &str = "k-review";
/// Service of the engines.
pub const SERVICE: &str = "pool";

// ---------------------------------------------------------------- record

/// The file `record.txt`: what was sent, answered and run.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self(Arc::new(Mutex::new(file)), Instant::now()))
    }

    pub fn note(&self, text: &str) {
        let at = self.1.elapsed().as_secs_f64();
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {text}");
    }
}

pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

// ---------------------------------------------------------------- HTTP

/// Head and body of a message that was read whole.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("/")
    }
}

/// Reads a head; `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let first_line = first_line.trim_end().to_owned();
    Ok(Some(Message {
        first_line,
        headers,
        body: Vec::new(),
    }))
}

/// Reads a request whole; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length = message
        .header("content-length")
        .and_then(|t| t.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    message.body = body;
    Ok(Some(message))
}

/// An answer as its caller got it.
#[derive(Debug, Default)]
pub struct Answer {
    /// 0 where there was none.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: String,
    /// Whether it ended as its framing says.
    pub whole: bool,
}

impl Answer {
    /// Numbers of the events in the body.
    pub fn events(&self) -> Vec<u64> {
        let lines = self.body.lines();
        lines
            .filter_map(|l| l.strip_prefix("id: ")?.trim().parse().ok())
            .collect()
    }
}

/// Sends a request to an entry and reads the answer to its end.
pub fn ask(
    entry: SocketAddr,
    path: &str,
    id: &str,
    extra: &str,
    body: &str,
    limit: Duration,
) -> Answer {
    let mut answer = Answer::default();
    // An answer that breaks off is kept as far as it came.
    let _ = ask_into(&mut answer, entry, path, id, extra, body, limit);
    answer
}

fn ask_into(
    answer: &mut Answer,
    entry: SocketAddr,
    path: &str,
    id: &str,
    extra: &str,
    body: &str,
    limit: Duration,
) -> io::Result<()> {
    let stream = TcpStream::connect_timeout(&entry, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    let mut reader = BufReader::new(stream);
    ask_on(answer, &mut reader, path, id, extra, body, limit)
}

/// Sends a request on a connection that may be kept, and reads the answer to its end.
pub fn ask_on(
    answer: &mut Answer,
    reader: &mut BufReader<TcpStream>,
    path: &str,
    id: &str,
    extra: &str,
    body: &str,
    limit: Duration,
) -> io::Result<()> {
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\nAuthorization: Bearer {KEY}\r\n\
         X-Request-Deadline: {}\r\n{extra}Content-Length: {}\r\n\r\n",
        limit.as_millis(),
        body.len()
    );
    reader.get_mut().write_all(head.as_bytes())?;
    reader.get_mut().write_all(body.as_bytes())?;
    let Some(head) = read_head(reader)? else {
        return Ok(());
    };
    answer.status = head
        .first_line
        .split(' ')
        .nth(1)
        .and_then(|t| t.parse().ok())
        .unwrap_or(0);
    let chunked = head
        .header("transfer-encoding")
        .is_some_and(|t| t.eq_ignore_ascii_case("chunked"));
    let length: Option<usize> = head.header("content-length").and_then(|t| t.parse().ok());
    answer.headers = head.headers;
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let size = line.trim().split(';').next().unwrap_or_default();
            let Ok(size) = usize::from_str_radix(size, 16) else {
                return Ok(());
            };
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                answer.whole = true;
                return Ok(());
            }
            answer
                .body
                .push_str(&String::from_utf8_lossy(&chunk[..size]));
        }
    }
    let mut bytes = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut bytes)?;
    answer.body = String::from_utf8_lossy(&bytes).into_owned();
    answer.whole = true;
    Ok(())
}

// ---------------------------------------------------------------- store

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Value and revision by key.
    items: BTreeMap<String, (String, u64)>,
    /// All changes: revision, key, value or `None` for a deletion.
    changes: Vec<(u64, String, Option<String>)>,
}

/// The platform's metadata store. It is sound all the time.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<StoreState>, Condvar)>);

impl Store {
    /// Starts it at a free port.
    pub fn start() -> io::Result<(Self, SocketAddr)> {
        let store = Self::default();
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                // A connection that fails is the caller's to open again.
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok((store, address))
    }

    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state
            .items
            .insert(key.to_owned(), (value.to_owned(), revision));
        state
            .changes
            .push((revision, key.to_owned(), Some(value.to_owned())));
        changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.changes.push((revision, key.to_owned(), None));
            changed.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            let (status, body) = self.answer(request.path());
            write!(
                writer,
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )?;
        }
        Ok(())
    }

    fn answer(&self, target: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let get = |name: &str| query.get(name).copied().unwrap_or("");
        match path {
            "/violetline/kv-key" => self.one(get("key")),
            "/violetline/kv-range" => self.range(get("path_prefix"), get("since_rev")),
            "/violetline/kv-watch" => {
                let wait = Duration::from_millis(get("wait_ms").parse().unwrap_or(0));
                self.watch(
                    get("path_prefix"),
                    get("since_rev").parse().unwrap_or(0),
                    wait,
                )
            }
            _ => (404, String::from("{}")),
        }
    }

    fn one(&self, key: &str) -> (u16, String) {
        let state = self.0 .0.lock().unwrap();
        match state.items.get(key) {
            Some((value, revision)) => {
                let item = item(key, value, *revision);
                let item = &item[..item.len() - 1];
                (200, format!("{item},\"current_rev\":{}}}", state.revision))
            }
            None => (404, format!("{{\"current_rev\":{}}}", state.revision)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.0 .0.lock().unwrap();
        let found = state
            .items
            .iter()
            .filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
        let items: Vec<String> = found.map(|(k, (v, r))| item(k, v, *r)).collect();
        let items = items.join(",");
        (
            200,
            format!(
                "{{\"items\":[{items}],\"has_more\":false,\"current_rev\":{}}}",
                state.revision
            ),
        )
    }

    fn watch(&self, prefix: &str, since: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        loop {
            let newer = state
                .changes
                .iter()
                .filter(|(r, k, _)| *r > since && k.starts_with(prefix));
            let events: Vec<String> = newer
                .map(|(r, k, v)| match v {
                    Some(v) => item(k, v, *r),
                    None => format!("{{\"key\":\"{k}\",\"revision\":{r},\"deleted\":true}}"),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (
                    200,
                    format!(
                        "{{\"events\":[{events}],\"current_rev\":{}}}",
                        state.revision
                    ),
                );
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn item(key: &str, value: &str, revision: u64) -> String {
    let value = base64(value.as_bytes());
    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"create_rev\":{revision},\"lease\":0}}")
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..group.len()].copy_from_slice(group);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for i in 0..4 {
            let sign = SIGNS[(word >> (18 - 6 * i)) as usize & 63];
            text.push(if i <= group.len() { sign as char } else { '=' });
        }
    }
    text
}

// ---------------------------------------------------------------- entries

/// Processes that the script started; all are ended with it.
pub struct Processes(Vec<Child>);

impl Drop for Processes {
    fn drop(&mut self) {
        for child in &mut self.0 {
            // One that has ended already is only waited for.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// A small deployment: the store, and entries of one zone.
pub struct Deployment {
    pub store: Store,
    pub store_address: SocketAddr,
    pub entries: Vec<SocketAddr>,
    pub pids: Vec<u32>,
    pub folder: PathBuf,
    pub processes: Processes,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.processes.0.iter_mut().for_each(|c| {
            let _ = c.kill();
            let _ = c.wait();
        });
        // Nothing else uses the folder.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A port that is free at an address now.
pub fn free_port(ip: &str) -> u16 {
    TcpListener::bind((ip, 0))
        .unwrap()
        .local_addr()
        .unwrap()
        .port()
}

impl Deployment {
    /// Writes the configuration and starts so many entries of the program at `program`.
    pub fn start(program: &str, entries: usize, config: &str) -> io::Result<Self> {
        let (store, store_address) = Store::start()?;
        store.put("op/config", config);
        let name = format!("review-2-{}-{}", std::process::id(), unix_ms());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let mut deployment = Self {
            store,
            store_address,
            entries: Vec::new(),
            pids: Vec::new(),
            folder,
            processes: Processes(Vec::new()),
        };
        let ips: Vec<String> = (0..entries).map(|i| format!("127.0.0.{}", i + 2)).collect();
        let (link, admin) = (free_port(&ips[0]), free_port(&ips[0]));
        let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("\"{ip}:1\"")).collect();
        for ip in &ips {
            let (callers, ready) = (free_port(ip), free_port(ip));
            let settings = format!(
                "{{\"name\":\"entry-{ip}\",\"zone\":\"hall-a\",\"callers\":\"{ip}:{callers}\",\
                 \"readiness\":\"{ip}:{ready}\",\"admin\":\"{ip}:{admin}\",\"link\":\"{ip}:{link}\",\
                 \"seeds\":[{}],\"store\":\"{store_address}\",\"regions\":{{\"hall-a\":\"akl\"}},\
                 \"link_mbps\":1000.0,\"bounds\":{{\"key_removal_ms\":5000,\"stop_grace_ms\":8000,\
                 \"retry_window_ms\":10000,\"retry_extra\":52,\"retry_ratio\":0.2}}}}",
                seeds.join(",")
            );
            let path = deployment.folder.join(format!("{ip}.json"));
            std::fs::write(&path, settings)?;
            let log = File::create(deployment.folder.join(format!("{ip}.log")))?;
            let child = Command::new(program)
                .args(["direct", "--settings"])
                .arg(&path)
                .stdin(Stdio::null())
                .stdout(log.try_clone()?)
                .stderr(log)
                .spawn()?;
            deployment.pids.push(child.id());
            deployment.processes.0.push(child);
            deployment
                .entries
                .push(format!("{ip}:{callers}").parse().unwrap());
            wait_ready(format!("{ip}:{ready}").parse().unwrap())?;
        }
        Ok(deployment)
    }

    /// Adds a process to be ended with the deployment.
    pub fn adopt(&mut self, child: Child) -> usize {
        self.processes.0.push(child);
        self.processes.0.len() - 1
    }

    pub fn kill(&mut self, process: usize) {
        let child = &mut self.processes.0[process];
        let _ = child.kill();
        let _ = child.wait();
    }

    /// What the entries wrote.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        for entry in &self.entries {
            let log = self.folder.join(format!("{}.log", entry.ip()));
            let _ = write!(text, "{}", std::fs::read_to_string(log).unwrap_or_default());
        }
        text
    }
}

/// Waits until an entry says that it is ready.
fn wait_ready(address: SocketAddr) -> io::Result<()> {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        if is_ready(address).unwrap_or(false) {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err(io::Error::other("an entry does not become ready"))
}

fn is_ready(address: SocketAddr) -> io::Result<bool> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    stream.write_all(
        b"GET /violetline/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
    )?;
    let head = read_head(&mut BufReader::new(stream))?;
    Ok(head.is_some_and(|head| head.first_line.contains(" 200")))
}

/// The entry of an engine in the store.
pub fn listed(address: SocketAddr, state: &str, slots: usize, sequence: u64) -> String {
    format!(
        "{{\"service\":\"{SERVICE}\",\"address\":\"{address}\",\"zone\":\"hall-a\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"cold_left_ms\":0,\"stage\":\"hybrid\",\
         \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence}}}"
    )
}
