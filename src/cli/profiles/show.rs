//! `profiles list`, `show`, `history` and `diff`: read published profiles.

use std::path::PathBuf;

use actix_web::http::Method;
use clap::ArgMatches;

use crate::{
    cli::{
        client::{
            Client, //
            Request,
        },
        exit::Failure,
        output::{
            self,
            Format, //
        },
        profiles, //
    },
    ids::ProfileName,
    report::text,
    wire::admin::{
        Profile,
        Summary,
        Version, //
    }, //
};

/// Lists the current version of every profile.
///
/// # Errors
///
/// Returns the refusal, or an error if there is no usable response.
pub async fn list(args: &ArgMatches, format: Format) -> Result<(), Failure> {
    let client = Client::admin(args)?;
    let request = Request::empty(Method::GET, "/v1/profiles".to_owned());
    let list: Vec<Summary> = client.call(request).await?;
    format.print(&list, |l| summary_table(l));
    Ok(())
}

/// Shows one version of a profile.
///
/// # Errors
///
/// Returns the refusal, or an error if there is no usable response.
pub async fn show(args: &ArgMatches, format: Format) -> Result<(), Failure> {
    let client = Client::admin(args)?;
    let name = profiles::profile_name(args)?;
    let version = match args.get_one::<u32>("version") {
        Some(version) => find_version(&client, &name, *version).await?,
        None => {
            let request = Request::empty(Method::GET, format!("/v1/profiles/{name}"));
            client.call::<Profile>(request).await?.latest
        }
    };
    format.print(&version, |v| output::json(&v.body));
    Ok(())
}

/// Shows the retained versions of a profile.
///
/// # Errors
///
/// Returns the refusal, or an error if there is no usable response.
pub async fn history(args: &ArgMatches, format: Format) -> Result<(), Failure> {
    let client = Client::admin(args)?;
    let list = versions(&client, &profiles::profile_name(args)?).await?;
    format.print(&list, |l| version_table(l));
    Ok(())
}

/// Shows the differences between the published version and a file.
///
/// # Errors
///
/// Returns the findings of the file, or the refusal.
pub async fn diff(args: &ArgMatches, format: Format) -> Result<(), Failure> {
    let Some(path) = args.get_one::<PathBuf>("path") else {
        return Err(Failure::Usage("a file is required".to_owned()));
    };
    let proposed = profiles::read_profile(path)?;
    let client = Client::admin(args)?;
    let latest = profiles::latest_version(&client, &profiles::profile_name(args)?).await?;
    let body = latest.map(|v| v.body).unwrap_or_default();
    let list = profiles::differences(&body, &proposed);
    format.print(&list, |l| profiles::difference_table(l, "CURRENT", "FILE"));
    Ok(())
}

/// Fetches the retained versions of a profile.
///
/// # Errors
///
/// Returns the refusal, or an error if there is no usable response.
pub async fn versions(client: &Client, name: &ProfileName) -> Result<Vec<Version>, Failure> {
    let request = Request::empty(Method::GET, format!("/v1/profiles/{name}/history"));
    client.call(request).await
}

async fn find_version(
    client: &Client,
    name: &ProfileName,
    version: u32,
) -> Result<Version, Failure> {
    let list = versions(client, name).await?;
    let found = list.into_iter().find(|v| v.version == version);
    found.ok_or_else(|| Failure::Failed(format!("version {version} of {name} is not retained")))
}

fn version_table(list: &[Version]) -> String {
    let header = [
        "PROFILE", "VERSION", "BASE", "KIND", "OPERATOR", "AT", "OFFSET", "CHANGE",
    ];
    let rows = list.iter().map(|p| {
        vec![
            p.name.to_string(),
            p.version.to_string(),
            p.base.to_string(),
            kind(p).to_owned(),
            p.operator.to_string(),
            text::time(p.at),
            p.offset.to_string(),
            p.change.to_string(),
        ]
    });
    text::columns(&header, &rows.collect::<Vec<_>>(), 3)
}

fn summary_table(list: &[Summary]) -> String {
    let header = ["PROFILE", "VERSION", "IN FORCE", "OPERATOR", "AT"];
    let rows = list.iter().map(|s| {
        let effective = s.effective.map(|v| v.to_string());
        vec![
            s.name.to_string(),
            s.version.to_string(),
            effective.unwrap_or_else(|| text::NONE.to_owned()),
            s.operator.to_string(),
            text::time(s.at),
        ]
    });
    text::columns(&header, &rows.collect::<Vec<_>>(), 3)
}

fn kind(version: &Version) -> &str {
    match (version.body.is_null(), version.readable) {
        (true, _) => return "withdrawn",
        (false, false) => return "not readable",
        (false, true) => {}
    }
    let kind = version.body.get("kind").and_then(|k| k.as_str());
    kind.unwrap_or(text::NONE)
}
