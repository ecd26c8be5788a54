//! The command line: one place where arguments turn into settings.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

use bpaf::Bpaf;
use tracing_appender::non_blocking::NonBlockingBuilder;

use crate::bundle::Bundle;
use crate::clock::Clock;
use crate::direct;
use crate::direct::decision::DecisionLog;
use crate::direct::settings::DirectSettings;
use crate::entry;
use crate::finding::Findings;
use crate::platform::Platform;
use crate::seal;
use crate::settings::{self, EntrySettings, SidecarSettings};
use crate::sidecar;

/// Log lines that wait for a slow reader of standard output; a line has some hundred bytes.
const BUFFERED_LINES: usize = 2_000;

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LogFormat {
    Text,
    Json,
}

impl std::str::FromStr for LogFormat {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("must be text or json".into()),
        }
    }
}

/// A router for language-model traffic with service levels and priorities
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Format of log lines on standard error: text or json
    #[bpaf(argument("FORMAT"), fallback(LogFormat::Json))]
    log: LogFormat,
    /// Least severity that is logged: error, warn, info, debug or trace
    #[bpaf(argument("LEVEL"), fallback(tracing::Level::INFO))]
    level: tracing::Level,
    #[bpaf(external)]
    command: Command,
}

#[derive(Debug, Clone, Bpaf)]
enum Command {
    /// Takes callers' requests and places them
    #[bpaf(command)]
    Entry {
        /// Settings file, JSON
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Takes callers' requests and orders endpoints itself, on the users' platform
    #[bpaf(command)]
    Direct {
        /// Settings file, JSON
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Stands beside one endpoint and orders its work
    #[bpaf(command)]
    Sidecar {
        /// Settings file, JSON
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// Validates files and reports all findings with their place
    #[bpaf(command)]
    Check {
        /// Bundle to validate
        #[bpaf(argument("FILE"), many)]
        bundle: Vec<PathBuf>,
        /// Settings of an entry to validate
        #[bpaf(argument("FILE"), many)]
        entry: Vec<PathBuf>,
        /// Settings of a sidecar to validate
        #[bpaf(argument("FILE"), many)]
        sidecar: Vec<PathBuf>,
        /// Settings of a direct entry to validate
        #[bpaf(argument("FILE"), many)]
        direct: Vec<PathBuf>,
    },
    /// Tells from log files what happened to a request, and what the process knew meanwhile
    #[bpaf(command)]
    Explain {
        /// The caller's id of the request
        #[bpaf(positional("ID"))]
        id: String,
        /// Logs of direct entries, one a process
        #[bpaf(positional("LOG"), some("name a log file"))]
        logs: Vec<PathBuf>,
    },
    /// Prints a fresh pair of keys for signing bundles, as JSON
    #[bpaf(command)]
    Keygen,
    /// Validates and signs a bundle; prints what the configuration service is to hold
    #[bpaf(command)]
    Sign {
        /// File with the secret key in hex
        #[bpaf(argument("FILE"))]
        secret: PathBuf,
        /// Bundle to sign
        #[bpaf(argument("FILE"))]
        bundle: PathBuf,
    },
    /// Prints the hash under which a bearer key stands in the bundle
    #[bpaf(command("hash-key"))]
    HashKey {
        /// The bearer key
        #[bpaf(positional("KEY"))]
        key: String,
    },
}

/// Runs the binary with the process's own arguments.
pub fn main() -> ExitCode {
    report(dispatch(options().run(), Clock::system()))
}

/// Runs the binary with the given arguments on a clock, for programs that contain it.
pub fn main_with(args: &[String], clock: Clock) -> ExitCode {
    match options().run_inner(args) {
        Ok(options) => report(dispatch(options, clock)),
        Err(failure) => {
            failure.print_message(100);
            ExitCode::from(failure.exit_code().unsigned_abs().min(255) as u8)
        }
    }
}

fn report(result: anyhow::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err:#}");
            ExitCode::FAILURE
        }
    }
}

fn dispatch(options: Options, clock: Clock) -> anyhow::Result<()> {
    // A direct entry writes its log to standard output.
    if !matches!(options.command, Command::Direct { .. }) {
        start_log(options.log, options.level);
    }
    match options.command {
        Command::Entry { settings } => {
            let settings = load::<EntrySettings>(&settings)?;
            actix_rt::System::new().block_on(entry::run(settings, clock))
        }
        Command::Direct { settings } => run_direct(&settings, options.level, clock),
        Command::Sidecar { settings } => {
            let settings = load::<SidecarSettings>(&settings)?;
            actix_rt::System::new().block_on(sidecar::process::run(settings, clock))
        }
        Command::Check {
            bundle,
            entry,
            sidecar,
            direct,
        } => check(&bundle, &entry, &sidecar, &direct),
        Command::Explain { id, logs } => explain(&id, &logs),
        Command::Keygen => {
            let (secret, public) = seal::key_pair();
            println!(
                "{}",
                serde_json::json!({ "secret": secret, "public": public })
            );
            Ok(())
        }
        Command::Sign { secret, bundle } => sign(&secret, &bundle),
        Command::HashKey { key } => {
            println!("{}", crate::bundle::hash_key(&key));
            Ok(())
        }
    }
}

fn start_log(format: LogFormat, level: tracing::Level) {
    let builder = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(std::io::stderr);
    let _ = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
}

/// Runs a direct entry; all its lines go to standard output through a writer that drops lines
/// rather than block.
fn run_direct(path: &Path, level: tracing::Level, clock: Clock) -> anyhow::Result<()> {
    let settings = load::<DirectSettings>(path)?;
    let (lines, _guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(BUFFERED_LINES)
        .finish(std::io::stdout());
    let dropped = lines.error_counter();
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(lines.clone())
        .json()
        .flatten_event(true);
    if let Err(err) = subscriber.try_init() {
        eprintln!("log lines are not written: {err}");
    }
    let count = Box::new(move || dropped.dropped_lines() as u64);
    let log = DecisionLog::new(clock.clone(), Box::new(lines), count);
    let path = Some(path.into());
    let run = direct::process::run(settings, path, Rc::new(Platform), clock, log);
    actix_rt::System::new().block_on(run)
}

fn load<T: settings::Checked>(path: &Path) -> anyhow::Result<T> {
    settings::load(path).map_err(|findings| with_file(path, &findings))
}

fn with_file(path: &Path, findings: &Findings) -> anyhow::Error {
    let lines = findings.to_string();
    let lines: Vec<String> = lines
        .lines()
        .map(|line| format!("{}: {line}", path.display()))
        .collect();
    anyhow::anyhow!(lines.join("\n"))
}

/// Prints what the logs tell of a request; fails when none holds it.
fn explain(id: &str, logs: &[PathBuf]) -> anyhow::Result<()> {
    let mut found = false;
    for path in logs {
        let log = std::fs::read_to_string(path)
            .map_err(|err| anyhow::anyhow!("{}: {err}", path.display()))?;
        let Some(explanation) = direct::explain::explain(&log, id) else {
            continue;
        };
        found = true;
        println!("{}", path.display());
        print!("{}", explanation.text);
        if explanation.unparsed_lines > 0 {
            println!("{} lines are no decisions", explanation.unparsed_lines);
        }
    }
    anyhow::ensure!(found, "no log holds the request {id}");
    Ok(())
}

fn check(
    bundles: &[PathBuf],
    entries: &[PathBuf],
    sidecars: &[PathBuf],
    directs: &[PathBuf],
) -> anyhow::Result<()> {
    let mut faults = Vec::new();
    for path in bundles {
        faults.extend(read_bundle(path).err());
    }
    for path in entries {
        faults.extend(load::<EntrySettings>(path).err());
    }
    for path in sidecars {
        faults.extend(load::<SidecarSettings>(path).err());
    }
    for path in directs {
        faults.extend(load::<DirectSettings>(path).err());
    }
    let files = bundles.len() + entries.len() + sidecars.len() + directs.len();
    anyhow::ensure!(
        files > 0,
        "nothing to check: name a file with --bundle, --entry, --sidecar or --direct"
    );
    if faults.is_empty() {
        println!("{files} checked, nothing found");
        return Ok(());
    }
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    Err(anyhow::anyhow!(lines.join("\n")))
}

fn read_bundle(path: &Path) -> anyhow::Result<String> {
    let text = std::fs::read_to_string(path)
        .map_err(|err| anyhow::anyhow!("{}: {err}", path.display()))?;
    match Bundle::parse(text.as_bytes()) {
        Ok(_) => Ok(text),
        Err(findings) => Err(with_file(path, &findings)),
    }
}

fn sign(secret: &Path, bundle: &Path) -> anyhow::Result<()> {
    let text = read_bundle(bundle)?;
    let secret_hex = std::fs::read_to_string(secret)?;
    let sealed = seal::sign(&text, &secret_hex)
        .ok_or_else(|| anyhow::anyhow!("{}: not a secret key in hex", secret.display()))?;
    println!("{}", serde_json::to_string(&sealed)?);
    Ok(())
}
