//! The `violetline` binary: parses the command line and calls the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    violetline::cli::main()
}
