//! The command line of operators and callers.

use std::process::ExitCode;

use bamboolock::cli;

fn main() -> ExitCode {
    cli::run()
}
