//! The `lab` binary: stand-ins, the demo and experiments, and the product itself as a child.

use std::process::ExitCode;

use bpaf::Bpaf;
use violetline_lab::demo::DemoOptions;
use violetline_lab::engine::EngineSettings;
use violetline_lab::plain::PlainSettings;
use violetline_lab::platform::PlatformSettings;
use violetline_lab::{demo, engine, plain, platform};

/// Stand-ins, load tool and experiments for violetline
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Starts everything, sends a mixed load, reports and ends
    #[bpaf(command)]
    Demo(#[bpaf(external(demo_options))] DemoOptions),
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

fn demo_options() -> impl bpaf::Parser<DemoOptions> {
    violetline_lab::demo::demo_options()
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
        Command::Product { args } => Ok(violetline::cli::main_with(&args)),
    }
}
