//! Runs one instance of a cell on the users' platform.

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
        .help("Settings file; the default is the file that the platform names");
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Check the settings, report all findings and exit");
    let matches = Command::new("bamboolock-cell")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Accepts jobs of callers; schedules the workers of the cell while elected")
        .arg(settings)
        .arg(check)
        .get_matches();
    let given = matches.get_one::<std::path::PathBuf>("settings").cloned();
    let path = given.unwrap_or_else(boot::path);
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
