//! The command line `bamboolock`: callers' and operators' commands over HTTP, and checks that need no
//! server.
//!
//! docs/cli.md describes every command and exit code.

pub mod args;
pub mod client;
pub mod commands;
pub mod config;
pub mod documents;
pub mod exit;
pub mod jobs;
pub mod output;
pub mod profiles;
pub mod report;
pub mod request;
pub mod schema;
pub mod tables;

use std::process::ExitCode;

use clap::ArgMatches;

use crate::cli::{
    exit::Failure,
    output::Output, //
};

/// Runs the command line of this process.
#[must_use]
pub fn run() -> ExitCode {
    let matches = commands::command().get_matches();
    let output = Output::chosen(&matches);
    match actix_rt::System::new().block_on(dispatch(&matches, output)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            output::failure(&failure, output);
            ExitCode::from(failure.code())
        }
    }
}

async fn dispatch(matches: &ArgMatches, output: Output) -> Result<(), Failure> {
    let Some((name, args)) = matches.subcommand() else {
        return Err(Failure::Usage("a command is needed".to_owned()));
    };
    match name {
        "submit" => jobs::submit(args, output).await,
        "status" => jobs::status(args, output).await,
        "cancel" => jobs::cancel(args, output).await,
        "request" => request::request(args, output).await,
        "profiles" => profiles::profiles(args, output).await,
        "report" => report::report(args, output).await,
        "config" => config::config(args, output),
        "schema" => schema::schema(args),
        other => Err(Failure::Usage(format!("no command {other:?}"))),
    }
}
