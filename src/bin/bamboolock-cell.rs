//! One instance of a cell on the users' platform.

use std::process::ExitCode;

use bamboolock::{
    cell::shell,
    platform::boot,
    program, //
};
use clap::{
    Arg,
    ArgAction,
    Command,
    value_parser, //
};

fn main() -> ExitCode {
    let settings = Arg::new("settings")
        .long("settings")
        .short('s')
        .value_name("FILE")
        .value_parser(value_parser!(std::path::PathBuf))
        .help("Settings file; by default the one that the platform names");
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Check the settings, report every fault and exit");
    let matches = Command::new("bamboolock-cell")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Takes callers' jobs, and owns the cell's workers when elected")
        .arg(settings)
        .arg(check)
        .get_matches();
    let named = matches.get_one::<std::path::PathBuf>("settings").cloned();
    let path = named.unwrap_or_else(boot::path);
    let settings = match boot::load(&path) {
        Ok(settings) => settings,
        Err(findings) => return program::print_findings(&findings),
    };
    if matches.get_flag("check") {
        return ExitCode::SUCCESS;
    }
    program::log_to_stdout();
    program::run(shell::serve_until_stopped(settings))
}
