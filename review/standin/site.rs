//! A small deployment: the store, three entries in three zones, and what the store lists.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use crate::engine::Listed;
use crate::store::Store;
use crate::wait_until;

/// The command of the deploy file; the path of the settings follows.
const PROGRAM: &str = "target/release/violetline";
const ARGUMENTS: [&str; 2] = ["direct", "--settings"];

/// Bounds of the sheet that the settings carry.
pub const REVOKE_MS: u64 = 5_000;
const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];

/// Whether the settings hold a bound on the use of removed keys, `strict_revoke`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strictness {
    Strict,
    NoRevokeBound,
}

pub struct Site {
    pub store: Arc<Store>,
    former_store: Option<Arc<Store>>,
    /// Path and text of each settings file.
    settings: Vec<(PathBuf, String)>,
    address: SocketAddr,
    strictness: Strictness,
    /// Addresses at which the entries take requests.
    pub entries: Vec<SocketAddr>,
    readiness: Vec<SocketAddr>,
    processes: Vec<Child>,
    folder: PathBuf,
}

impl Site {
    /// Starts the store and, with the configuration and the engines in it, the entries; waits until
    /// these are ready.
    pub fn start(config: &str, engines: &[Listed], strictness: Strictness) -> Result<Self, String> {
        Self::start_with(config, engines, strictness, 0)
    }

    /// The same, with a store that names its era.
    pub fn start_in_era(
        config: &str,
        engines: &[Listed],
        strictness: Strictness,
    ) -> Result<Self, String> {
        Self::start_with(config, engines, strictness, 1)
    }

    fn start_with(
        config: &str,
        engines: &[Listed],
        strictness: Strictness,
        era: u64,
    ) -> Result<Self, String> {
        let (store, address) = Store::start().map_err(|err| format!("store: {err}"))?;
        store.name_era(era);
        store.put("op/config", config);
        for engine in engines {
            store.put(&engine.key(), &engine.entry("ready"));
        }
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|err| format!("temporary folder: {err}"))?;
        let mut site = Self {
            store,
            former_store: None,
            settings: Vec::new(),
            address,
            strictness,
            entries: Vec::new(),
            readiness: Vec::new(),
            processes: Vec::new(),
            folder,
        };
        site.start_entries()?;
        let is_up = wait_until(Duration::from_secs(10), || {
            site.readiness.iter().all(|at| is_ready(*at))
        });
        is_up
            .then_some(site)
            .ok_or("the entries are not ready".into())
    }

    fn start_entries(&mut self) -> Result<(), String> {
        let store = self.address;
        let key_removal = match self.strictness {
            Strictness::Strict => format!("\"key_removal_ms\":{REVOKE_MS},"),
            Strictness::NoRevokeBound => String::new(),
        };
        let ips = [11, 12, 13].map(|last| Ipv4Addr::new(127, 81, 7, last));
        let [callers, readiness, control, link, admin] = free_ports(&ips)?;
        let seeds = ips.map(|ip| format!("\"{ip}:{control}\"")).join(",");
        for (ip, zone) in ips.iter().zip(ZONES) {
            // What platform/entry.json yields for a `front` machine of the sheet.
            let settings = format!(
                "{{\"name\":\"front-{zone}-1\",\"zone\":\"{zone}\",\
                 \"callers\":\"{ip}:{callers}\",\"readiness\":\"{ip}:{readiness}\",\
                 \"admin\":\"{ip}:{admin}\",\"link\":\"{ip}:{link}\",\"seeds\":[{seeds}],\
                 \"store\":\"{store}\",\
                 \"regions\":{{\"hall-a\":\"akl\",\"hall-b\":\"akl\",\"hall-c\":\"akl\"}},\
                 \"link_mbps\":1000.0,\"bounds\":{{{key_removal}\
                 \"stop_grace_ms\":8000,\"retry_window_ms\":10000,\"retry_extra\":52,\
                 \"retry_ratio\":0.2}}}}"
            );
            let path = self.folder.join(format!("{zone}.json"));
            write(&path, &settings)?;
            self.settings.push((path.clone(), settings));
            let log = std::fs::File::create(self.folder.join(format!("{zone}.log")));
            let log = log.map_err(|err| format!("log: {err}"))?;
            let child = Command::new(PROGRAM)
                .args(ARGUMENTS)
                .arg(&path)
                .stdin(Stdio::null())
                .stdout(log)
                .stderr(Stdio::null())
                .spawn();
            self.processes
                .push(child.map_err(|err| format!("{PROGRAM}: {err}"))?);
            self.entries.push(SocketAddr::from((*ip, callers)));
            self.readiness.push(SocketAddr::from((*ip, readiness)));
        }
        Ok(())
    }
}

impl Site {
    /// Starts a store at another address that holds the same, and fills the settings files anew. One
    /// entry gets SIGHUP; the others' files change without a signal. Returns the address.
    pub fn move_store(&mut self) -> Result<SocketAddr, String> {
        let (store, address) = self.store.copy().map_err(|err| format!("store: {err}"))?;
        for (path, text) in &mut self.settings {
            *text = text.replace(&self.address.to_string(), &address.to_string());
            write(path, text)?;
        }
        self.former_store = Some(std::mem::replace(&mut self.store, store));
        self.address = address;
        let pid = self.processes.first().map(Child::id).unwrap_or_default();
        let sent = Command::new("kill")
            .args(["-HUP", &pid.to_string()])
            .status();
        sent.map_err(|err| format!("kill: {err}"))?;
        Ok(address)
    }

    /// Ends the store at its former address.
    pub fn close_former_store(&mut self) {
        if let Some(store) = self.former_store.take() {
            store.close();
        }
    }
}

/// Puts a file in place as a whole.
fn write(path: &std::path::Path, text: &str) -> Result<(), String> {
    let new = path.with_extension("new");
    let written = std::fs::write(&new, text).and_then(|()| std::fs::rename(&new, path));
    written.map_err(|err| format!("settings: {err}"))
}

impl Drop for Site {
    fn drop(&mut self) {
        if let Some(kept) = std::env::var_os("KEEP_LOGS") {
            for zone in ZONES {
                let name = format!("{zone}.log");
                let _ = std::fs::copy(self.folder.join(&name), PathBuf::from(&kept).join(&name));
            }
        }
        for child in &mut self.processes {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Ports that are free at all addresses, for TCP and UDP.
fn free_ports<const N: usize>(ips: &[Ipv4Addr; 3]) -> Result<[u16; N], String> {
    let mut found = Vec::new();
    let mut held = Vec::new();
    while found.len() < N {
        let first = TcpListener::bind((ips[0], 0)).map_err(|err| format!("port: {err}"))?;
        let port = first
            .local_addr()
            .map_err(|err| format!("port: {err}"))?
            .port();
        let others = ips[1..]
            .iter()
            .all(|ip| TcpListener::bind((*ip, port)).is_ok());
        let datagrams = ips.iter().all(|ip| UdpSocket::bind((*ip, port)).is_ok());
        // Held until all are found, so that none is found twice.
        held.push(first);
        if others && datagrams {
            found.push(port);
        }
    }
    found.try_into().map_err(|_| "ports".to_owned())
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(200)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let asked = stream.write_all(b"GET /violetline/readiness HTTP/1.1\r\nHost: entry\r\n\r\n");
    let mut answer = [0; 12];
    let read = asked.and_then(|()| std::io::Read::read_exact(&mut stream, &mut answer));
    read.is_ok() && &answer == b"HTTP/1.1 200"
}
