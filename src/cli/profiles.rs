//! `profiles`: shows, checks and changes published profiles.

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
            Client, //
            Request,
        },
        config,
        documents,
        exit::Failure,
        output::{
            self,
            Format, //
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
/// Returns the findings of the input, the refusal, or a conflict with a concurrent change.
pub async fn profiles(matches: &ArgMatches, format: Format) -> Result<(), Failure> {
    let Some((name, args)) = matches.subcommand() else {
        return Err(Failure::Usage(
            "a subcommand of profiles is required".to_owned(),
        ));
    };
    match name {
        "list" => show::list(args, format).await,
        "show" => show::show(args, format).await,
        "history" => show::history(args, format).await,
        "check" => config::check_files(args, documents::find("profile"), format),
        "diff" => show::diff(args, format).await,
        "publish" => publish::publish(args, format).await,
        "rollback" => changes::rollback(args, format).await,
        "withdraw" => changes::withdraw(args, format).await,
        other => Err(Failure::Usage(format!(
            "unknown subcommand of profiles {other:?}"
        ))),
    }
}

/// Returns the profile name from the command line.
fn profile_name(args: &ArgMatches) -> Result<ProfileName, Failure> {
    let name = args::string(args, "name").unwrap_or_default();
    args::identifier("profile", name)
}

/// Fetches the latest version of a profile; `None` if the profile was never published.
async fn latest_version(client: &Client, name: &ProfileName) -> Result<Option<Version>, Failure> {
    let request = Request::empty(Method::GET, format!("/v1/profiles/{name}"));
    match client.call::<admin::Profile>(request).await {
        Ok(profile) => Ok(Some(profile.latest)),
        Err(Failure::Refused(r)) if r.code == Code::UnknownProfile => Ok(None),
        Err(failure) => Err(failure),
    }
}

/// Returns the change id from the command line, or generates a unique one.
fn change_id(args: &ArgMatches) -> Result<ChangeId, Failure> {
    if let Some(given) = args::string(args, "change") {
        return args::identifier("change", given);
    }
    let id = format!("cli-{:032x}", rand::random::<u128>());
    args::identifier("change", &id)
}

/// Reads a profile from a file and checks it.
fn read_profile(path: &Path) -> Result<Value, Failure> {
    let text = fs::read_to_string(path).map_err(|e| Failure::File(path.to_owned(), e))?;
    let source = path.display().to_string();
    let profile: Profile = findings::read(&source, &text).map_err(Failure::Findings)?;
    serde_json::to_value(profile).map_err(|e| Failure::Usage(e.to_string()))
}

/// Returns a profile with all defaults filled in. A profile that this release cannot read is
/// returned unchanged.
fn with_defaults(body: &Value) -> Value {
    let typed = serde_json::from_value::<Profile>(body.clone());
    let full = typed.ok().and_then(|p| serde_json::to_value(p).ok());
    full.unwrap_or_else(|| body.clone())
}

/// Compares two profiles with their defaults filled in.
fn differences(before: &Value, after: &Value) -> Vec<Difference> {
    diff::diff(&with_defaults(before), &with_defaults(after))
}

/// Formats differences as a table.
fn difference_table(list: &[Difference], before: &str, after: &str) -> String {
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

/// Prints the version that won a conflict and its differences from the proposed profile.
fn print_winner(conflict: &admin::Conflict, proposed: &Value) {
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
    let list = differences(&winner.body, proposed);
    output::progress(&difference_table(&list, "CURRENT", "YOURS"));
}
