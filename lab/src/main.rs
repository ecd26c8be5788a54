//! The `lab` binary: stand-ins, the demo and experiments, and the product itself as a child.

use std::process::ExitCode;

use bpaf::Bpaf;
use violetline_lab::capacity::{capacity_options, CapacityOptions};
use violetline_lab::chaos::{chaos_options, ChaosOptions};
use violetline_lab::demo::{demo_options, DemoOptions};
use violetline_lab::engine::EngineSettings;
use violetline_lab::plain::PlainSettings;
use violetline_lab::platform::PlatformSettings;
use violetline_lab::proofs::{proof_options, ProofOptions};
use violetline_lab::rollout::{rollout_options, RolloutOptions};
use violetline_lab::scenario::{scenario_options, ScenarioOptions};
use violetline_lab::soak::{soak_options, SoakOptions};
use violetline_lab::urgency::{urgency_options, UrgencyOptions};
use violetline_lab::{
    capacity, chaos, demo, engine, plain, platform, proofs, rollout, scenario, soak, suspension,
    urgency,
};

/// Stand-ins, load tool and experiments for violetline
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Starts everything, sends a mixed load, reports and ends
    #[bpaf(command)]
    Demo(#[bpaf(external(demo_options))] DemoOptions),
    /// Runs the scenarios against the baselines and prints tables
    #[bpaf(command)]
    Scenarios(#[bpaf(external(scenario_options))] ScenarioOptions),
    /// Runs seeded failures under load and counts broken promises
    #[bpaf(command)]
    Chaos(#[bpaf(external(chaos_options))] ChaosOptions),
    /// Runs direct entries under random faults and checks what callers and engines see
    #[bpaf(command)]
    Soak(#[bpaf(external(soak_options))] SoakOptions),
    /// Lets a less urgent kind burst beyond what engines take, and counts the urgent that get nothing
    #[bpaf(command)]
    Urgency(#[bpaf(external(urgency_options))] UrgencyOptions),
    /// Measures slopes of processes and the path against a direct call
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity_options))] CapacityOptions),
    /// Measures how documents spread over many nodes
    #[bpaf(command)]
    Rollout(#[bpaf(external(rollout_options))] RolloutOptions),
    /// Takes each mechanism out of a copy and shows that its test then fails
    #[bpaf(command)]
    Proofs(#[bpaf(external(proof_options))] ProofOptions),
    /// A model engine
    #[bpaf(command)]
    Engine {
        /// Settings as JSON
        #[bpaf(argument("JSON"), fallback("{}".into()))]
        settings: String,
    },
    /// A plain service
    #[bpaf(command)]
    Plain {
        /// Settings as JSON
        #[bpaf(argument("JSON"), fallback("{}".into()))]
        settings: String,
    },
    /// The platform: configuration service and instance list
    #[bpaf(command)]
    Platform {
        /// Settings as JSON
        #[bpaf(argument("JSON"), fallback("{}".into()))]
        settings: String,
    },
    /// The product, with its own arguments
    #[bpaf(command)]
    Product {
        /// Arguments of the product
        #[bpaf(positional("ARGS"), strict, many)]
        args: Vec<String>,
    },
}

fn main() -> ExitCode {
    match dispatch(command().run()) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("{err:#}");
            ExitCode::FAILURE
        }
    }
}

fn dispatch(command: Command) -> anyhow::Result<ExitCode> {
    let system = || actix_rt::System::new();
    match command {
        Command::Demo(options) => system().block_on(demo::run(options)),
        Command::Scenarios(options) => system().block_on(scenario::run(options)),
        Command::Chaos(options) => system().block_on(chaos::run(options)),
        Command::Soak(options) => system().block_on(soak::run(options)),
        Command::Urgency(options) => system().block_on(urgency::run(options)),
        Command::Capacity(options) => system().block_on(capacity::run(options)),
        Command::Rollout(options) => system().block_on(rollout::run(options)),
        Command::Proofs(options) => proofs::run(&options),
        Command::Engine { settings } => {
            let settings: EngineSettings = serde_json::from_str(&settings)?;
            system()
                .block_on(engine::run(settings))
                .map(|()| ExitCode::SUCCESS)
        }
        Command::Plain { settings } => {
            let settings: PlainSettings = serde_json::from_str(&settings)?;
            system()
                .block_on(plain::run(settings))
                .map(|()| ExitCode::SUCCESS)
        }
        Command::Platform { settings } => {
            let settings: PlatformSettings = serde_json::from_str(&settings)?;
            system()
                .block_on(platform::run(settings))
                .map(|()| ExitCode::SUCCESS)
        }
        Command::Product { args } => {
            Ok(violetline::cli::main_with(&args, suspension::clock(&args)))
        }
    }
}
