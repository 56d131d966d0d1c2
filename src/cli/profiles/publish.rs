//! `profiles publish`: publishes one or more files after all of them have been checked.

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
            Client, //
            Request,
        },
        exit::Failure,
        output::Format,
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
struct Candidate {
    name: ProfileName,
    body: Value,
}

/// Outcome of publishing or changing a profile.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// Name of the profile.
    pub name: ProfileName,
    /// Current version.
    pub version: u32,
    /// Offset of the version in the log.
    pub offset: Offset,
    /// Whether a new version was created.
    pub changed: bool,
}

/// Publishes the files of the command line.
///
/// # Errors
///
/// Returns the findings of all files, the refusal, or a conflict with a concurrent change.
pub async fn publish(args: &ArgMatches, format: Format) -> Result<(), Failure> {
    let candidates = read_all(args)?;
    for option in ["base", "change"] {
        if candidates.len() > 1 && args.contains_id(option) {
            let reason = format!("--{option} requires a single file");
            return Err(Failure::Usage(reason));
        }
    }
    let client = Client::admin(args)?;
    let mut outcomes = Vec::new();
    for candidate in &candidates {
        outcomes.push(publish_one(args, &client, candidate).await?);
    }
    format.print(&outcomes, |o| table(o));
    if args.get_flag("wait") {
        let last = outcomes.iter().map(|o| o.offset).max().unwrap_or_default();
        in_force::wait(&client, last, args::duration(args, "within")?).await?;
    }
    Ok(())
}

/// Reads and checks all files; their findings are reported together.
fn read_all(args: &ArgMatches) -> Result<Vec<Candidate>, Failure> {
    let files: Vec<_> = args
        .get_many::<PathBuf>("file")
        .unwrap_or_default()
        .collect();
    let name = args::string(args, "name");
    if name.is_some() && files.len() > 1 {
        return Err(Failure::Usage("--name requires a single file".to_owned()));
    }
    let mut candidates = Vec::new();
    let mut findings = Findings::default();
    for path in files {
        match profiles::read_profile(path) {
            Ok(body) => candidates.push(Candidate {
                name: name_for(path, name)?,
                body,
            }),
            Err(Failure::Findings(found)) => findings.list.extend(found.list),
            Err(failure) => return Err(failure),
        }
    }
    if findings.is_empty() {
        return Ok(candidates);
    }
    Err(Failure::Findings(findings))
}

/// Returns the name from the command line, or the file name without its extension.
fn name_for(path: &Path, given: Option<&str>) -> Result<ProfileName, Failure> {
    let stem = path.file_stem().and_then(|s| s.to_str());
    let name = given.or(stem).unwrap_or_default();
    args::identifier("profile", name)
}

/// Publishes one profile unless the current version is equal with defaults filled in.
async fn publish_one(
    args: &ArgMatches,
    client: &Client,
    candidate: &Candidate,
) -> Result<Outcome, Failure> {
    let Candidate { name, body } = candidate;
    let base = args.get_one::<u32>("base").copied();
    let latest = profiles::latest_version(client, name).await?;
    if let Some(latest) = &latest
        && base.is_none_or(|base| base == latest.version)
        && profiles::differences(&latest.body, body).is_empty()
    {
        return Ok(unchanged(latest));
    }
    let change = Publish {
        base: base.unwrap_or_else(|| latest.map_or(0, |v| v.version)),
        body: body.clone(),
        change: profiles::change_id(args)?,
    };
    let request = Request::json(Method::PUT, format!("/v1/profiles/{name}"), &change)?;
    let published = changes::send(client, request, &change.change).await;
    if let Err(Failure::Conflict(conflict)) = &published {
        profiles::print_winner(conflict, body);
    }
    published.map(Outcome::from)
}

fn unchanged(latest: &Version) -> Outcome {
    Outcome {
        name: latest.name.clone(),
        version: latest.version,
        offset: latest.offset,
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

/// Formats outcomes as a table.
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
