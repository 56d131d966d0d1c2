//! Command-line interface for operators and callers.

use std::process::ExitCode;

use bamboolock::cli;

fn main() -> ExitCode {
    cli::run()
}
