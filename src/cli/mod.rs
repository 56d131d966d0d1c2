//! The command-line program `bamboolock`: commands for callers and operators over HTTP, and checks
//! that need no server.
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
    output::Format, //
};

/// Parses the command line of this process and runs the command.
#[must_use]
pub fn run() -> ExitCode {
    let matches = commands::command().get_matches();
    let format = Format::from_args(&matches);
    match actix_rt::System::new().block_on(dispatch(&matches, format)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            output::failure(&failure, format);
            ExitCode::from(failure.code())
        }
    }
}

async fn dispatch(matches: &ArgMatches, format: Format) -> Result<(), Failure> {
    let Some((name, args)) = matches.subcommand() else {
        return Err(Failure::Usage("a command is required".to_owned()));
    };
    match name {
        "submit" => jobs::submit(args, format).await,
        "status" => jobs::status(args, format).await,
        "cancel" => jobs::cancel(args, format).await,
        "request" => request::request(args, format).await,
        "profiles" => profiles::profiles(args, format).await,
        "report" => report::report(args, format).await,
        "config" => config::config(args, format),
        "schema" => schema::schema(args),
        other => Err(Failure::Usage(format!("unknown command {other:?}"))),
    }
}
