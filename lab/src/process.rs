//! Child processes: started, signalled by id, frozen, and ended with their owner.

use std::collections::HashMap;
use std::ffi::OsStr;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use anyhow::Context;
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::time::{sleep, Instant};

const LOOK: Duration = Duration::from_millis(10);
/// Environment variable that names the folder in which the children's lines are kept.
pub const KEEP_VARIABLE: &str = "LAB_KEEP";

/// A running child.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The addresses that it printed.
    pub addresses: HashMap<String, SocketAddr>,
}

impl Process {
    /// Starts this crate's own binary with some arguments and waits for its addresses.
    pub fn start<S: AsRef<OsStr>>(args: &[S]) -> anyhow::Result<Self> {
        let mut process = Self::start_silent(args)?;
        process.read_addresses()?;
        Ok(process)
    }

    /// Starts a child without waiting for its addresses.
    pub fn start_silent<S: AsRef<OsStr>>(args: &[S]) -> anyhow::Result<Self> {
        Self::start_program(&program()?, args)
    }

    /// Starts a child of another build of this binary, and waits for its addresses.
    pub fn start_other<S: AsRef<OsStr>>(program: &Path, args: &[S]) -> anyhow::Result<Self> {
        let mut process = Self::start_program(program, args)?;
        process.read_addresses()?;
        Ok(process)
    }

    fn start_program<S: AsRef<OsStr>>(program: &Path, args: &[S]) -> anyhow::Result<Self> {
        let mut command = Command::new(program);
        command
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        if std::env::var_os("LAB_LOG").is_none() {
            command.stderr(Stdio::null());
        }
        let child = command.spawn().context("starting a child")?;
        Ok(Self {
            child,
            addresses: HashMap::new(),
        })
    }

    /// Reads the line of addresses; blocks until it comes.
    pub fn read_addresses(&mut self) -> anyhow::Result<()> {
        let stdout = self.child.stdout.take().context("no standard output")?;
        let mut reader = BufReader::new(stdout);
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let fields: HashMap<String, String> =
            serde_json::from_str(&line).with_context(|| format!("bad first line {line:?}"))?;
        self.addresses = fields
            .into_iter()
            .filter_map(|(k, v)| Some((k, v.parse().ok()?)))
            .collect();
        let mut kept = kept_output(self.child.id());
        // A child must not block on a full pipe, whatever becomes of its lines.
        std::thread::spawn(move || std::io::copy(&mut reader, &mut kept));
        Ok(())
    }

    /// An address that the child printed.
    pub fn addr(&self, name: &str) -> SocketAddr {
        self.addresses[name]
    }

    /// The child's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Freezes it (SIGSTOP).
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets it go on (SIGCONT).
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks it to stop (SIGTERM).
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Kills it at once (SIGKILL) and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for its end; false when it still runs after `bound`.
    pub async fn ended(&mut self, bound: Duration) -> bool {
        let until = Instant::now() + bound;
        while self.is_running() {
            if Instant::now() >= until {
                return false;
            }
            sleep(LOOK).await;
        }
        true
    }

    fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.child.id() as i32), signal);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Where a child's lines go: a file named by its id in the folder that [`KEEP_VARIABLE`] names, or nowhere.
fn kept_output(id: u32) -> Box<dyn Write + Send> {
    let folder = std::env::var_os(KEEP_VARIABLE).map(PathBuf::from);
    let file = folder.and_then(|folder| File::create(folder.join(format!("{id}.log"))).ok());
    match file {
        Some(file) => Box::new(file),
        None => Box::new(std::io::sink()),
    }
}

/// This crate's binary: the running program, or the one beside a test program.
fn program() -> anyhow::Result<PathBuf> {
    let current = std::env::current_exe()?;
    if current.file_name().is_some_and(|name| name == "lab") {
        return Ok(current);
    }
    let folder = current
        .ancestors()
        .nth(2)
        .context("no folder above the test program")?;
    Ok(folder.join("lab"))
}
