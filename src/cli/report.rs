//! `report burn`.

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
            Call,
            Client, //
        },
        exit::Failure,
        output::{
            self,
            Output, //
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
/// Returns the refusal, or why a file cannot be read or written.
pub async fn report(matches: &ArgMatches, output: Output) -> Result<(), Failure> {
    let Some(("burn", args)) = matches.subcommand() else {
        return Err(Failure::Usage("report burn is needed".to_owned()));
    };
    let span = args::span(args, "window")?;
    let input = match args.get_one::<PathBuf>("input") {
        Some(path) => saved(path)?,
        None => fetch(args).await?,
    };
    let report = report::build(&input, span);
    let text = match output {
        Output::Table => table::render(&report),
        Output::Json => output::json(&report),
        Output::Html => html::render(&report).map_err(|e| Failure::Failed(e.to_string()))?,
    };
    let Some(path) = args.get_one::<PathBuf>("file") else {
        output::result(&text);
        return Ok(());
    };
    fs::write(path, text).map_err(|e| Failure::File(path.clone(), e))
}

async fn fetch(args: &ArgMatches) -> Result<Input, Failure> {
    let client = Client::admin(args)?;
    let call = Call::plain(Method::GET, "/v1/outcomes".to_owned());
    client.call(call).await
}

fn saved(path: &PathBuf) -> Result<Input, Failure> {
    let text = fs::read_to_string(path).map_err(|e| Failure::File(path.clone(), e))?;
    serde_json::from_str(&text).map_err(|e| {
        let mut found = Findings::default();
        let place = format!("line {} column {}", e.line(), e.column());
        let hint = "save the answer to GET /v1/outcomes";
        found.add(&path.display().to_string(), &place, e.to_string(), hint);
        Failure::Findings(found)
    })
}
