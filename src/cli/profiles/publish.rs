//! `profiles publish`: one or several files, all checked before the first is published.

use std::path::{
    Path,
    PathBuf, //
};

use actix_web::http::Method;
use clap::ArgMatches;
use serde::Serialize;
use serde_json::Value;

use crate::{
    cli::{
        args,
        client::{
            Call,
            Client, //
        },
        exit::Failure,
        output::Output,
        profiles::{
            self,
            changes,
            waiting, //
        }, //
    },
    findings::Findings,
    ids::{
        Offset,
        ProfileName, //
    },
    report::text,
    wire::admin::{
        Publish,
        Published, //
    }, //
};

/// A profile to publish.
struct Wanted {
    name: ProfileName,
    body: Value,
}

/// What became of a profile.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// The profile.
    pub name: ProfileName,
    /// The version that is current now.
    pub version: u32,
    /// Its place in the log.
    pub offset: Offset,
    /// Whether a new version was made.
    pub changed: bool,
}

/// Publishes files.
///
/// # Errors
///
/// Returns the findings of all files, the refusal, or that a race was lost.
pub async fn publish(args: &ArgMatches, output: Output) -> Result<(), Failure> {
    let wanted = read_all(args)?;
    let base = args.get_one::<u32>("base").copied();
    if base.is_some() && wanted.len() > 1 {
        return Err(Failure::Usage("--base goes with a single file".to_owned()));
    }
    let client = Client::admin(args)?;
    let mut outcomes = Vec::new();
    for one in &wanted {
        outcomes.push(publish_one(&client, one, base).await?);
    }
    output.show(&outcomes, |o| table(o));
    if args.get_flag("wait") {
        let last = outcomes.iter().map(|o| o.offset).max().unwrap_or_default();
        waiting::in_force(&client, last, args::span(args, "within")?).await?;
    }
    Ok(())
}

/// Reads and checks every file; the findings of all are reported together.
fn read_all(args: &ArgMatches) -> Result<Vec<Wanted>, Failure> {
    let files: Vec<_> = args
        .get_many::<PathBuf>("file")
        .unwrap_or_default()
        .collect();
    let name = args::text(args, "name");
    if name.is_some() && files.len() > 1 {
        return Err(Failure::Usage("--name goes with a single file".to_owned()));
    }
    let mut wanted = Vec::new();
    let mut findings = Findings::default();
    for path in files {
        match profiles::read(path) {
            Ok(body) => wanted.push(Wanted {
                name: file_name(path, name)?,
                body,
            }),
            Err(Failure::Findings(found)) => findings.list.extend(found.list),
            Err(failure) => return Err(failure),
        }
    }
    if findings.is_empty() {
        return Ok(wanted);
    }
    Err(Failure::Findings(findings))
}

/// The name that was given, or the file's without its ending.
fn file_name(path: &Path, given: Option<&str>) -> Result<ProfileName, Failure> {
    let stem = path.file_stem().and_then(|s| s.to_str());
    let name = given.or(stem).unwrap_or_default();
    args::identifier("profile", name)
}

/// Publishes one profile, unless the current version says the same.
async fn publish_one(
    client: &Client,
    wanted: &Wanted,
    base: Option<u32>,
) -> Result<Outcome, Failure> {
    let Wanted { name, body } = wanted;
    let current = profiles::current(client, name).await?;
    if let Some(current) = &current
        && base.is_none_or(|base| base == current.version)
        && profiles::differences(&current.body, body).is_empty()
    {
        return Ok(unchanged(current));
    }
    let change = Publish {
        base: base.unwrap_or_else(|| current.map_or(0, |c| c.version)),
        body: body.clone(),
        change: profiles::fresh_change()?,
    };
    let call = Call::json(Method::PUT, format!("/v1/profiles/{name}"), &change)?;
    let changed = changes::send(client, name, call, &change.change).await;
    if matches!(&changed, Err(failure) if failure.code() == crate::cli::exit::LOST_RACE) {
        profiles::tell_winner(client, name, body).await;
    }
    let changed = changed?;
    Ok(Outcome {
        name: name.clone(),
        version: changed.version,
        offset: changed.offset,
        changed: true,
    })
}

fn unchanged(current: &Published) -> Outcome {
    Outcome {
        name: current.name.clone(),
        version: current.version,
        offset: current.offset,
        changed: false,
    }
}

/// What became of profiles, as a table.
#[must_use]
pub fn table(outcomes: &[Outcome]) -> String {
    let rows = outcomes.iter().map(|o| {
        let result = if o.changed { "published" } else { "unchanged" };
        vec![
            o.name.to_string(),
            o.version.to_string(),
            o.offset.to_string(),
            result.to_owned(),
        ]
    });
    let header = ["PROFILE", "VERSION", "OFFSET", "RESULT"];
    text::columns(&header, &rows.collect::<Vec<_>>(), 3)
}
