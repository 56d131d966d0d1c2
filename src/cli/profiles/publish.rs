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
            in_force, //
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
        Published,
        Version, //
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
    for option in ["base", "change"] {
        if wanted.len() > 1 && args.contains_id(option) {
            let reason = format!("--{option} goes with a single file");
            return Err(Failure::Usage(reason));
        }
    }
    let client = Client::admin(args)?;
    let mut outcomes = Vec::new();
    for one in &wanted {
        outcomes.push(publish_one(args, &client, one).await?);
    }
    output.show(&outcomes, |o| table(o));
    if args.get_flag("wait") {
        let last = outcomes.iter().map(|o| o.offset).max().unwrap_or_default();
        in_force::in_force(&client, last, args::span(args, "within")?).await?;
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
    args: &ArgMatches,
    client: &Client,
    wanted: &Wanted,
) -> Result<Outcome, Failure> {
    let Wanted { name, body } = wanted;
    let base = args.get_one::<u32>("base").copied();
    let newest = profiles::newest(client, name).await?;
    if let Some(newest) = &newest
        && base.is_none_or(|base| base == newest.version)
        && profiles::differences(&newest.body, body).is_empty()
    {
        return Ok(unchanged(newest));
    }
    let change = Publish {
        base: base.unwrap_or_else(|| newest.map_or(0, |v| v.version)),
        body: body.clone(),
        change: profiles::change_id(args)?,
    };
    let call = Call::json(Method::PUT, format!("/v1/profiles/{name}"), &change)?;
    let published = changes::send(client, call, &change.change).await;
    if let Err(Failure::Lost(conflict)) = &published {
        profiles::tell_winner(conflict, body);
    }
    published.map(Outcome::from)
}

fn unchanged(newest: &Version) -> Outcome {
    Outcome {
        name: newest.name.clone(),
        version: newest.version,
        offset: newest.offset,
        changed: false,
    }
}

impl From<Published> for Outcome {
    fn from(published: Published) -> Self {
        Self {
            name: published.name,
            version: published.version,
            offset: published.offset,
            changed: true,
        }
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
