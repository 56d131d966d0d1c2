//! The stand-in of the platform and the backend servers.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use bamboolock::{
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
use tokio::signal::unix::{
    SignalKind,
    signal, //
};

/// Exit code for settings that are not valid.
const INVALID: u8 = 2;

fn main() -> ExitCode {
    let matches = command().get_matches();
    env_logger::Builder::from_env(
        env_logger::Env::default().default_filter_or("info,actix_server=warn"),
    )
    .init();
    let settings = match read(&matches) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(INVALID);
        }
    };
    if matches.get_flag("check") {
        println!("the settings are valid");
        return ExitCode::SUCCESS;
    }
    match actix_web::rt::System::new().block_on(run(&settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!(error:% = e; "stand-in failed");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(clap::value_parser!(PathBuf))
        .help("JSON settings; without it, 48 workers in six availability zones");
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Check the settings and exit");
    Command::new("bamboolock-standin")
        .about("Plays the platform and the backend servers, and judges what the scheduler does")
        .arg(settings)
        .arg(check)
        .after_help(
            "Examples:\n  \
             bamboolock-standin\n  \
             bamboolock-standin --settings standin.json\n  \
             bamboolock-standin --settings standin.json --check\n\n\
             Exit codes: 0 stopped by a signal, 1 failed, 2 the settings are not valid.",
        )
}

fn read(matches: &ArgMatches) -> Result<Settings, bamboolock::findings::Findings> {
    match matches.get_one::<PathBuf>("settings") {
        Some(path) => settings::load(path),
        None => Ok(Settings::default()),
    }
}

async fn run(settings: &Settings) -> Result<(), standin::Error> {
    let running = standin::start(settings).await?;
    let (platform, workers) = (running.platform, running.workers.len());
    log::info!(platform:% = platform, workers = workers; "stand-in is ready");
    wait_for_signal().await.map_err(standin::Error::Serve)?;
    log::info!("stand-in is stopping");
    running.stop().await;
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal() -> Result<(), std::io::Error> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    Ok(())
}
