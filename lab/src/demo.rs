//! The demo: Kereru's deployment as separate processes under a mixed load.

use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;

use crate::fleet::{Fleet, FleetSpec, KERERU};
use crate::load::{self, Flow, Work};
use crate::report;

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

/// Kereru's mixed load, about half of what nine engines can do.
pub fn kereru_flows(factor: f64) -> Vec<Flow> {
    let teams = |names: &[(&str, f64)]| -> Vec<(String, f64)> {
        names
            .iter()
            .map(|(name, part)| ((*name).to_owned(), *part))
            .collect()
    };
    let chat = |prompt, answer| Work::Chat {
        model: "violet-1".into(),
        prompt,
        answer,
    };
    let all = (0.0, 1.0);
    vec![
        Flow {
            class: "lookup".into(),
            target_ms: 300,
            per_s: 40.0 * factor,
            teams: teams(&[
                ("beam-ops", 3.0),
                ("accelerator", 3.0),
                ("muon", 1.0),
                ("cryo", 1.0),
            ]),
            work: Work::Plain {
                pool: "crate-api".into(),
            },
            during: all,
        },
        Flow {
            class: "lookup".into(),
            target_ms: 300,
            per_s: 10.0 * factor,
            teams: teams(&[("beam-ops", 2.0), ("shift-desk", 1.0)]),
            work: chat(50, 20),
            during: all,
        },
        Flow {
            class: "annotation".into(),
            target_ms: 800,
            per_s: 20.0 * factor,
            teams: teams(&[("beam-ops", 3.0), ("tracker", 1.0), ("trigger", 1.0)]),
            work: chat(100, 80),
            during: all,
        },
        Flow {
            class: "summary".into(),
            target_ms: 1_700,
            per_s: 8.0 * factor,
            teams: teams(&[("calibration", 2.0), ("accelerator", 1.0), ("vacuum", 1.0)]),
            work: chat(1_000, 250),
            during: all,
        },
        Flow {
            class: "batch".into(),
            target_ms: 30_000,
            per_s: 6.0 * factor,
            teams: teams(&[("calibration", 3.0), ("magnets", 1.0)]),
            work: chat(500, 400),
            during: all,
        },
    ]
}

/// Starts everything, sends the load, reports, and fails when a promise broke.
pub async fn run(options: DemoOptions) -> anyhow::Result<ExitCode> {
    let spec = FleetSpec::new(KERERU)?;
    println!("starting the platform, 12 endpoints with sidecars and 3 entries");
    let fleet = Fleet::start(spec).await?;
    let entries: Vec<_> = (0..fleet.entries.len())
        .map(|at| fleet.callers(at))
        .collect();
    let time = Duration::from_secs(options.seconds);
    println!("sending all classes for {} s", options.seconds);
    let records = load::run(&entries, &kereru_flows(options.load), options.seed, time).await;
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
