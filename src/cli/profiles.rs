//! `profiles`: what is published, and changes to it.

pub mod changes;
pub mod publish;
pub mod show;
pub mod waiting;

use std::{
    fs,
    path::Path, //
};

use clap::ArgMatches;
use serde_json::Value;

use crate::{
    cli::{
        args,
        client::{
            Call,
            Client, //
        },
        config,
        documents,
        exit::Failure,
        output::{
            self,
            Output, //
        }, //
    },
    diff::{
        self,
        Difference, //
    },
    findings,
    ids::{
        ChangeId,
        ProfileName, //
    },
    profile::Profile,
    report::text,
    wire::{
        admin::Published,
        caller::Code, //
    }, //
};

/// Runs a subcommand of `profiles`.
///
/// # Errors
///
/// Returns the findings of the input, the refusal, or that a race was lost.
pub async fn profiles(matches: &ArgMatches, output: Output) -> Result<(), Failure> {
    let Some((name, args)) = matches.subcommand() else {
        return Err(Failure::Usage("a profiles command is needed".to_owned()));
    };
    match name {
        "list" => show::list(args, output).await,
        "show" => show::show(args, output).await,
        "history" => show::history(args, output).await,
        "check" => config::check_files(args, documents::find("profile"), output),
        "diff" => show::diff(args, output).await,
        "publish" => publish::publish(args, output).await,
        "rollback" => changes::rollback(args, output).await,
        "withdraw" => changes::withdraw(args, output).await,
        other => Err(Failure::Usage(format!("no profiles command {other:?}"))),
    }
}

/// The profile that the command line names.
fn named(args: &ArgMatches) -> Result<ProfileName, Failure> {
    let name = args::text(args, "name").unwrap_or_default();
    args::identifier("profile", name)
}

/// The current version, or `None` when the profile was never published.
async fn current(client: &Client, name: &ProfileName) -> Result<Option<Published>, Failure> {
    let call = Call::plain(actix_web::http::Method::GET, format!("/v1/profiles/{name}"));
    match client.call(call).await {
        Ok(published) => Ok(Some(published)),
        Err(Failure::Refused(r)) if r.code == Code::UnknownProfile => Ok(None),
        Err(failure) => Err(failure),
    }
}

/// An id that no other change has.
fn fresh_change() -> Result<ChangeId, Failure> {
    let id = format!("cli-{:032x}", rand::random::<u128>());
    args::identifier("change", &id)
}

/// Reads a profile's file and checks it whole.
fn read(path: &Path) -> Result<Value, Failure> {
    let text = fs::read_to_string(path).map_err(|e| Failure::File(path.to_owned(), e))?;
    let source = path.display().to_string();
    let profile: Profile = findings::read(&source, &text).map_err(Failure::Findings)?;
    serde_json::to_value(profile).map_err(|e| Failure::Usage(e.to_string()))
}

/// A profile with all its defaults written out; what this release cannot read stays as it is.
fn whole(body: &Value) -> Value {
    let typed = serde_json::from_value::<Profile>(body.clone());
    let whole = typed.ok().and_then(|p| serde_json::to_value(p).ok());
    whole.unwrap_or_else(|| body.clone())
}

/// What differs between two profiles, defaults written out.
fn differences(before: &Value, after: &Value) -> Vec<Difference> {
    diff::diff(&whole(before), &whole(after))
}

/// Differences as a table.
fn table(list: &[Difference], before: &str, after: &str) -> String {
    if list.is_empty() {
        return "no difference\n".to_owned();
    }
    let rows = list.iter().map(|d| {
        let (old, new) = (d.before.to_string(), d.after.to_string());
        vec![d.place.clone(), old, new]
    });
    text::columns(&["PLACE", before, after], &rows.collect::<Vec<_>>(), 1)
}

/// Tells who won a race and what differs from what this operator wanted.
async fn tell_winner(client: &Client, name: &ProfileName, wanted: &Value) {
    let Ok(Some(winner)) = current(client, name).await else {
        return;
    };
    let at = text::time(winner.at);
    output::progress(&format!(
        "{name}: version {} by {} at {at} is current (change {})",
        winner.version, winner.operator, winner.change
    ));
    let list = differences(&winner.body, wanted);
    output::progress(&table(&list, "CURRENT", "YOURS"));
}
