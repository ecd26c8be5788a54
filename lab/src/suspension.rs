//! A machine that was suspended, as one process sees it: the time during which the process was stopped is taken from its
//! steady clock, which stands still meanwhile, and not from the one that goes on.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use violetline::clock::{Clock, Machine, TimeSource};

/// Time between two looks at how long the machine was suspended.
const LOOK: Duration = Duration::from_millis(2);

/// The clocks of a machine that is suspended at times.
#[derive(Debug)]
struct SuspendedMachine {
    /// Time for which it was suspended so far, in ms.
    suspended: Arc<AtomicU64>,
}

impl TimeSource for SuspendedMachine {
    fn steady(&self) -> Duration {
        let suspended = Duration::from_millis(self.suspended.load(Ordering::Relaxed));
        Machine.steady().saturating_sub(suspended)
    }

    fn boot(&self) -> Duration {
        Machine.boot()
    }
}

/// The clock of a product whose arguments name a settings file; its machine has been suspended for as many
/// ms as the file beside that says.
pub fn clock(args: &[String]) -> Clock {
    let settings = args.iter().skip_while(|arg| *arg != "--settings").nth(1);
    let Some(settings) = settings else {
        return Clock::system();
    };
    let suspended = Arc::new(AtomicU64::new(0));
    let seen = Arc::clone(&suspended);
    let path = file(Path::new(settings));
    std::thread::spawn(move || loop {
        let told = std::fs::read_to_string(&path).ok();
        if let Some(ms) = told.and_then(|text| text.trim().parse().ok()) {
            seen.store(ms, Ordering::Relaxed);
        }
        std::thread::sleep(LOOK);
    });
    Clock::on(Box::new(SuspendedMachine { suspended }))
}

/// Takes time from the steady clock of the process with these settings; it must stand still meanwhile.
pub fn add(settings: &Path, time: Duration) -> std::io::Result<()> {
    let path = file(settings);
    let before = std::fs::read_to_string(&path).ok();
    let before: u128 = before.and_then(|text| text.parse().ok()).unwrap_or(0);
    std::fs::write(path, (before + time.as_millis()).to_string())
}

/// A fresh process begins on a machine that was never suspended, as far as its clocks tell.
pub fn forget(settings: &Path) -> std::io::Result<()> {
    match std::fs::remove_file(file(settings)) {
        Err(err) if err.kind() != std::io::ErrorKind::NotFound => Err(err),
        _ => Ok(()),
    }
}

/// The file beside a settings file that tells how long its process's machine has been suspended, in ms.
fn file(settings: &Path) -> PathBuf {
    settings.with_extension("suspended")
}
