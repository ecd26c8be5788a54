//! The demo: Kereru's deployment as separate processes under a mixed load.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;

use crate::fleet::{Fleet, FleetSpec};
use crate::load;
use crate::report;
use crate::scenario::{flows, Deployment};

/// What the demo runs.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(demo_options))]
pub struct DemoOptions {
    /// Seconds of load
    #[bpaf(argument("S"), fallback(8))]
    pub seconds: u64,
    /// Seed of the load
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Load as a factor of the usual one
    #[bpaf(argument("X"), fallback(1.0))]
    pub load: f64,
}

/// Starts everything, sends the load, reports, and fails when a promise broke.
pub async fn run(options: DemoOptions) -> anyhow::Result<ExitCode> {
    let spec = FleetSpec::new(Deployment::kereru().bundle)?;
    println!("starting the platform, 12 endpoints with sidecars and 3 entries");
    let fleet = Fleet::start(spec).await?;
    let entries: Vec<_> = (0..fleet.entries.len())
        .map(|at| fleet.callers(at))
        .collect();
    let time = Duration::from_secs(options.seconds);
    println!("sending all classes for {} s", options.seconds);
    let records = load::run(
        &entries,
        &flows(&Deployment::kereru(), options.load),
        options.seed,
        time,
    )
    .await;
    let report = report::judge(&fleet, &records, time).await;
    println!("{}", report::table(&report));
    fleet.close();
    let complete = report.classes.values().any(|row| row.complete > 0);
    Ok(if complete && report.broken.is_none() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
