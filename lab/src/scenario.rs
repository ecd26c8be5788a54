//! Scenarios: seeded loads with a fault, each against the baselines in the same run.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use serde_json::json;
use tokio::time::sleep;
use violetline::route::Routing;
use violetline::schedule::Order;

use crate::engine::EngineSettings;
use crate::fleet::{Fleet, FleetSpec, KERERU, PAMPA};
use crate::load::{self, Flow, Work};
use crate::report::{self, Report};

/// Time for a token alone in a batch, in µs; with a full batch it is 11.5 ms.
const TOKEN_US: u64 = 8_000;
/// Added time for a token per further sequence, in µs.
const BATCH_US: u64 = 500;
/// Load of the calm scenario, about half of what the engines can do.
const CALM: f64 = 0.5;
/// Batch load of the overload, so that all classes together ask for about twice the capacity.
const OVERLOAD: f64 = 8.0;
/// Summaries of the one team that bursts, as a factor of the usual.
const BURST: f64 = 12.0;

/// What to run.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(scenario_options))]
pub struct ScenarioOptions {
    /// Seconds of load in each run
    #[bpaf(argument("S"), fallback(12))]
    pub seconds: u64,
    /// Seed of the load
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Deployment: kereru or pampa
    #[bpaf(argument("NAME"), fallback("kereru".into()))]
    pub deployment: String,
    /// Only the scenario of this name
    #[bpaf(argument("NAME"), optional)]
    pub only: Option<String>,
    /// Binary of an earlier version of this crate, as a further column
    #[bpaf(argument("FILE"), optional)]
    pub previous: Option<PathBuf>,
    /// Compare choices of endpoints instead of orders of service
    #[bpaf(switch)]
    pub routing: bool,
}

/// The names of a deployment's classes, teams and pools.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    /// Bundle as JSON.
    pub bundle: &'static str,
    /// Classes from the most urgent down.
    pub classes: [&'static str; 4],
    /// A large team, two middle ones, four small ones.
    pub teams: [&'static str; 7],
    /// Model.
    pub model: &'static str,
    /// Pool of plain services.
    pub plain: &'static str,
}

impl Deployment {
    /// Kereru Ledger.
    pub const fn kereru() -> Self {
        Self {
            bundle: KERERU,
            classes: ["lookup", "annotation", "summary", "batch"],
            teams: [
                "beam-ops",
                "tracker",
                "muon",
                "shift-desk",
                "trigger",
                "vacuum",
                "magnets",
            ],
            model: "violet-1",
            plain: "crate-api",
        }
    }

    /// Etiquetaria Pampa.
    pub const fn pampa() -> Self {
        Self {
            bundle: PAMPA,
            classes: ["layout-check", "regulatory", "proof", "translation"],
            teams: [
                "cooperative",
                "bodegas-sul",
                "vinicola-a",
                "vinicola-b",
                "embalagens",
                "gravura",
                "arquivo",
            ],
            model: "modelos-1",
            plain: "app-grafica",
        }
    }

    fn named(name: &str) -> anyhow::Result<Self> {
        match name {
            "kereru" => Ok(Self::kereru()),
            "pampa" => Ok(Self::pampa()),
            _ => anyhow::bail!("no deployment {name:?}"),
        }
    }
}

/// A deployment's mixed load; at factor 1 it asks for what nine engines can just do.
pub fn flows(deployment: &Deployment, factor: f64) -> Vec<Flow> {
    let [urgent, stream, summary, batch] = deployment.classes;
    let [large, a, b, c, d, e, f] = deployment.teams;
    let chat = |prompt, answer| Work::Chat {
        model: deployment.model.into(),
        prompt,
        answer,
    };
    let flow = |class: &str, target_ms, per_s: f64, teams: &[(&str, f64)], work| Flow {
        class: class.into(),
        target_ms,
        per_s: per_s * factor,
        teams: teams
            .iter()
            .map(|(name, part)| ((*name).to_owned(), *part))
            .collect(),
        work,
        during: (0.0, 1.0),
    };
    let plain = Work::Plain {
        pool: deployment.plain.into(),
    };
    vec![
        flow(
            urgent,
            300,
            40.0,
            &[(large, 3.0), (a, 1.0), (b, 1.0)],
            plain,
        ),
        flow(urgent, 300, 10.0, &[(large, 2.0), (c, 1.0)], chat(50, 20)),
        flow(
            stream,
            800,
            20.0,
            &[(large, 3.0), (a, 1.0), (d, 1.0)],
            chat(100, 80),
        ),
        flow(
            summary,
            1_700,
            8.0,
            &[(large, 2.0), (b, 1.0), (e, 1.0)],
            chat(1_000, 250),
        ),
        flow(
            batch,
            30_000,
            6.0,
            &[(large, 3.0), (f, 1.0)],
            chat(500, 400),
        ),
    ]
}

/// A load and what goes wrong meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scenario {
    Calm,
    Overload,
    Burst,
    SlowEngine,
    KilledEngine,
    FrozenSidecar,
    PlatformDown,
}

const SCENARIOS: [(&str, Scenario); 7] = [
    ("calm", Scenario::Calm),
    ("lowest tier at 2x", Scenario::Overload),
    ("one team bursts", Scenario::Burst),
    ("one engine at a tenth", Scenario::SlowEngine),
    ("one engine killed", Scenario::KilledEngine),
    ("one sidecar frozen", Scenario::FrozenSidecar),
    ("configuration service down", Scenario::PlatformDown),
];

/// What is compared.
#[derive(Debug, Clone)]
struct Variant {
    name: &'static str,
    order: Order,
    routing: Routing,
    product: Option<PathBuf>,
}

fn variants(options: &ScenarioOptions) -> Vec<Variant> {
    let variant = |name, order, routing| Variant {
        name,
        order,
        routing,
        product: None,
    };
    if options.routing {
        return vec![
            variant("two choices", Order::Floors, Routing::TwoChoices),
            variant(
                "least outstanding",
                Order::Floors,
                Routing::LeastOutstanding,
            ),
            variant("round robin", Order::Floors, Routing::RoundRobin),
        ];
    }
    let mut all = vec![
        variant("violetline", Order::Floors, Routing::TwoChoices),
        variant("FIFO, round robin", Order::Fifo, Routing::RoundRobin),
        variant("strict priority", Order::Strict, Routing::TwoChoices),
    ];
    if let Some(program) = &options.previous {
        let product = Some(program.clone());
        all.push(Variant {
            product,
            ..variant("first version", Order::Floors, Routing::TwoChoices)
        });
    }
    all
}

/// Runs the scenarios and prints a table for each; fails when a promise broke.
pub async fn run(options: ScenarioOptions) -> anyhow::Result<ExitCode> {
    let deployment = Deployment::named(&options.deployment)?;
    let mut broken = false;
    for (name, scenario) in SCENARIOS {
        if options.only.as_deref().is_some_and(|only| only != name) {
            continue;
        }
        println!(
            "\n### {name}\n\n{}",
            report::markdown_head(&deployment.classes)
        );
        for variant in variants(&options) {
            let report = run_one(&deployment, scenario, &variant, &options).await?;
            println!(
                "{}",
                report::markdown_row(variant.name, &deployment.classes, &report)
            );
            broken |= !report.broken.is_none();
        }
    }
    Ok(if broken {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

async fn run_one(
    deployment: &Deployment,
    scenario: Scenario,
    variant: &Variant,
    options: &ScenarioOptions,
) -> anyhow::Result<Report> {
    let mut spec = FleetSpec::new(deployment.bundle)?;
    spec.engine = EngineSettings {
        token_us: TOKEN_US,
        batch_us: BATCH_US,
        ..spec.engine
    };
    spec.order = variant.order;
    spec.routing = variant.routing;
    if variant.product.is_some() {
        spec.forget_new_fields();
    }
    spec.product = variant.product.clone();
    let mut fleet = Fleet::start(spec).await?;
    let entries: Vec<_> = (0..fleet.entries.len())
        .map(|at| fleet.callers(at))
        .collect();
    let time = Duration::from_secs(options.seconds);
    let flows = scenario_flows(deployment, scenario);
    let loading = load::run(&entries, &flows, options.seed, time);
    let (records, faults) = tokio::join!(loading, bring_about(scenario, &mut fleet, time));
    faults?;
    let report = report::judge(&fleet, &records, time).await;
    fleet.close();
    Ok(report)
}

fn scenario_flows(deployment: &Deployment, scenario: Scenario) -> Vec<Flow> {
    let mut flows = flows(deployment, CALM);
    match scenario {
        Scenario::Overload => flows[4].per_s *= OVERLOAD,
        Scenario::Burst => {
            let mut burst = flows[3].clone();
            burst.teams.truncate(1);
            burst.per_s *= BURST;
            burst.during = (0.3, 0.6);
            flows.push(burst);
        }
        _ => {}
    }
    flows
}

/// Brings the fault about after a quarter of the time; a freeze lasts until three quarters.
async fn bring_about(scenario: Scenario, fleet: &mut Fleet, time: Duration) -> anyhow::Result<()> {
    sleep(time / 4).await;
    match scenario {
        Scenario::Calm | Scenario::Overload | Scenario::Burst => {}
        Scenario::SlowEngine => {
            fleet
                .fault(&fleet.slots[0].endpoint, json!({ "slow": 10 }))
                .await?;
        }
        Scenario::KilledEngine => fleet.slots[0].endpoint.kill(),
        Scenario::FrozenSidecar => {
            fleet.slots[0].sidecar.freeze();
            sleep(time / 2).await;
            fleet.slots[0].sidecar.thaw();
        }
        Scenario::PlatformDown => {
            fleet
                .fault(&fleet.platform, json!({ "down": true }))
                .await?;
            fleet.slots[1].sidecar.kill();
            fleet.restart_sidecar(1)?;
        }
    }
    Ok(())
}
