//! `report burn`: the service-level report.

use std::{
    fs,
    path::PathBuf, //
};

use actix_web::http::Method;
use clap::ArgMatches;

use crate::{
    cli::{
        args,
        client::{
            Client, //
            Request,
        },
        exit::Failure,
        output::{
            self,
            Format, //
        }, //
    },
    findings::Findings,
    report::{
        self,
        Input,
        html,
        table, //
    }, //
};

/// Runs a subcommand of `report`.
///
/// # Errors
///
/// Returns the refusal, or an error if a file cannot be read or written.
pub async fn report(matches: &ArgMatches, format: Format) -> Result<(), Failure> {
    let Some(("burn", args)) = matches.subcommand() else {
        return Err(Failure::Usage("the subcommand burn is required".to_owned()));
    };
    let span = args::duration(args, "window")?;
    let input = match args.get_one::<PathBuf>("input") {
        Some(path) => read_saved(path)?,
        None => fetch(args).await?,
    };
    let report = report::build(&input, span);
    let text = match format {
        Format::Table => table::render(&report),
        Format::Json => output::json(&report),
        Format::Html => html::render(&report).map_err(|e| Failure::Failed(e.to_string()))?,
    };
    let Some(path) = args.get_one::<PathBuf>("file") else {
        output::print(&text);
        return Ok(());
    };
    fs::write(path, text).map_err(|e| Failure::File(path.clone(), e))
}

async fn fetch(args: &ArgMatches) -> Result<Input, Failure> {
    let client = Client::admin(args)?;
    let request = Request::empty(Method::GET, "/v1/outcomes".to_owned());
    client.call(request).await
}

fn read_saved(path: &PathBuf) -> Result<Input, Failure> {
    let text = fs::read_to_string(path).map_err(|e| Failure::File(path.clone(), e))?;
    serde_json::from_str(&text).map_err(|e| {
        let mut findings = Findings::default();
        let place = format!("line {} column {}", e.line(), e.column());
        let hint = "the file must contain the response to GET /v1/outcomes";
        findings.add(&path.display().to_string(), &place, e.to_string(), hint);
        Failure::Findings(findings)
    })
}
