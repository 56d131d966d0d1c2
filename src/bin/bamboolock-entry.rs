//! Runs an entry instance.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use bamboolock::{
    entry,
    program,
    settings, //
};

fn main() -> ExitCode {
    let about = "Serves callers, holds placement leases and schedules work on one entry instance.";
    let matches = program::command("bamboolock-entry", about).get_matches();
    program::log_to_stderr();
    let path: &PathBuf = program::settings_path(&matches);
    let settings = match settings::load::<settings::Entry>(path) {
        Ok(settings) => settings,
        Err(findings) => return program::print_findings(&findings),
    };
    if matches.get_flag("check") {
        return ExitCode::SUCCESS;
    }
    program::run(entry::serve_until_stopped(settings))
}
