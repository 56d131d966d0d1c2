//! Runs the stand-in, which simulates the platform and the backend servers.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use bamboolock::{
    findings::Findings,
    program,
    settings,
    standin::{
        self,
        settings::Settings, //
    }, //
};
use clap::{
    Arg,
    ArgAction,
    ArgMatches,
    Command, //
};
fn main() -> ExitCode {
    let matches = command().get_matches();
    program::log_to_stderr();
    let settings = match load_settings(&matches) {
        Ok(settings) => settings,
        Err(findings) => return program::print_findings(&findings),
    };
    if matches.get_flag("check") {
        return ExitCode::SUCCESS;
    }
    program::run(serve(settings))
}

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .short('s')
        .value_name("FILE")
        .value_parser(clap::value_parser!(PathBuf))
        .help("JSON settings; without it, 48 workers in six availability zones");
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Check the settings, report all findings and exit");
    Command::new("bamboolock-standin")
        .about("Simulates the platform and the backend servers, and detects violations")
        .arg(settings)
        .arg(check)
        .after_help(
            "Examples:\n  \
             bamboolock-standin\n  \
             bamboolock-standin --settings standin.json\n  \
             bamboolock-standin --settings standin.json --check\n\n\
             Exit status: 0 stopped gracefully, 1 bad settings, 2 usage, 3 failed",
        )
}

fn load_settings(matches: &ArgMatches) -> Result<Settings, Findings> {
    match matches.get_one::<PathBuf>("settings") {
        Some(path) => settings::load(path),
        None => Ok(Settings::default()),
    }
}

/// Runs the stand-in until the process receives a stop signal.
async fn serve(settings: Settings) -> Result<(), standin::Error> {
    let running = standin::start(&settings).await?;
    let (platform, workers) = (running.platform, running.workers.len());
    log::info!(platform:% = platform, workers = workers; "stand-in is ready");
    let signal = program::shutdown_signal().await;
    signal.map_err(standin::Error::Serve)?;
    log::info!("stand-in is stopping");
    running.stop().await;
    Ok(())
}
