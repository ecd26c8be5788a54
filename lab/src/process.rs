//! Child processes: started, signalled by id, frozen, and ended with their owner.

use std::collections::HashMap;
use std::ffi::OsStr;
use std::fs::{remove_file, File, OpenOptions};
use std::io::{BufRead, BufReader, Read, Seek, Write};
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
    /// Its standard error; `None` where that is this program's.
    errors: Option<File>,
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
        let is_shown = std::env::var_os("LAB_LOG").is_some();
        let errors = match is_shown {
            true => None,
            false => Some(unnamed_file()?),
        };
        if let Some(errors) = &errors {
            command.stderr(Stdio::from(errors.try_clone()?));
        }
        let child = command.spawn().context("starting a child")?;
        Ok(Self {
            child,
            addresses: HashMap::new(),
            errors,
        })
    }

    /// What the child has written to its standard error; empty where that is not kept.
    fn error_text(&self) -> String {
        let mut text = String::new();
        if let Some(mut errors) = self.errors.as_ref() {
            // Without it the failure is reported all the same.
            let _ = errors
                .rewind()
                .and_then(|()| errors.read_to_string(&mut text));
        }
        text
    }

    /// Reads the line of addresses; blocks until it comes.
    pub fn read_addresses(&mut self) -> anyhow::Result<()> {
        let stdout = self.child.stdout.take().context("no standard output")?;
        let mut reader = BufReader::new(stdout);
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let fields: HashMap<String, String> = serde_json::from_str(&line).with_context(|| {
            // It ends after its error has been written.
            let _ = self.child.wait();
            format!("bad first line {line:?}, errors {:?}", self.error_text())
        })?;
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

/// A file that has no name and is gone once it is closed.
fn unnamed_file() -> anyhow::Result<File> {
    let name = format!("violetline-errors-{}", uuid::Uuid::new_v4());
    let path = std::env::temp_dir().join(name);
    let mut options = OpenOptions::new();
    let file = options
        .read(true)
        .write(true)
        .create_new(true)
        .open(&path)?;
    remove_file(&path)?;
    Ok(file)
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
