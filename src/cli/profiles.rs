//! `profiles`: what is published, and changes to it.

pub mod changes;
pub mod in_force;
pub mod publish;
pub mod show;

use std::{
    fs,
    path::Path, //
};

use actix_web::http::Method;
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
    diff,
    findings,
    ids::{
        ChangeId,
        ProfileName, //
    },
    profile::Profile,
    report::text,
    wire::{
        admin::{
            self,
            Difference,
            Version, //
        },
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

/// The newest version, or `None` when the profile was never published.
async fn newest(client: &Client, name: &ProfileName) -> Result<Option<Version>, Failure> {
    let call = Call::plain(Method::GET, format!("/v1/profiles/{name}"));
    match client.call::<admin::Profile>(call).await {
        Ok(profile) => Ok(Some(profile.latest)),
        Err(Failure::Refused(r)) if r.code == Code::UnknownProfile => Ok(None),
        Err(failure) => Err(failure),
    }
}

/// The change id of the command line, or one that no other change has.
fn change_id(args: &ArgMatches) -> Result<ChangeId, Failure> {
    if let Some(given) = args::text(args, "change") {
        return args::identifier("change", given);
    }
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
        let text = |value: &Option<Value>| value.as_ref().map(Value::to_string);
        let text = |value| text(value).unwrap_or_else(|| text::NONE.to_owned());
        vec![d.place.clone(), text(&d.before), text(&d.after)]
    });
    text::columns(&["PLACE", before, after], &rows.collect::<Vec<_>>(), 1)
}

/// Tells who won a race and what differs from what this operator wanted.
fn tell_winner(conflict: &admin::Conflict, wanted: &Value) {
    let Some(winner) = &conflict.winner else {
        return;
    };
    let Version {
        name,
        version,
        operator,
        change,
        ..
    } = winner;
    let at = text::time(winner.at);
    output::progress(&format!(
        "{name}: version {version} by {operator} at {at} is current (change {change})"
    ));
    let list = differences(&winner.body, wanted);
    output::progress(&table(&list, "CURRENT", "YOURS"));
}
