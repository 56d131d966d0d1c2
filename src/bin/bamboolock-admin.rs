//! Serves the administration API.

use std::{
    path::PathBuf,
    process::ExitCode, //
};

use bamboolock::{
    admin,
    program,
    settings, //
};
use clap::{
    Arg,
    ArgAction, //
};

fn main() -> ExitCode {
    let about = "Serves the administration API: operators publish and inspect profiles.";
    let openapi = Arg::new("openapi")
        .long("openapi")
        .action(ArgAction::SetTrue)
        .help("Print the OpenAPI description and exit");
    let matches = program::command("bamboolock-admin", about)
        .mut_arg("settings", |arg| {
            arg.required(false).required_unless_present("openapi")
        })
        .arg(openapi)
        .get_matches();
    if matches.get_flag("openapi") {
        println!("{:#}", admin::openapi::document());
        return ExitCode::SUCCESS;
    }
    program::log_to_stderr();
    let path: &PathBuf = program::settings_path(&matches);
    let settings = match settings::load::<settings::Entry>(path) {
        Ok(settings) => settings,
        Err(findings) => return program::print_findings(&findings),
    };
    if matches.get_flag("check") {
        return ExitCode::SUCCESS;
    }
    program::run(admin::serve_until_stopped(settings))
}
