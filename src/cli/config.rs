//! `config check`: checks settings, profiles and jobs without a server.

use std::{
    fs,
    path::PathBuf, //
};

use clap::ArgMatches;

use crate::{
    cli::{
        args,
        documents::{
            self,
            Document, //
        },
        exit::Failure,
        output::Format, //
    },
    findings::Findings, //
};

/// Runs a subcommand of `config`.
///
/// # Errors
///
/// Returns the findings of all files together.
pub fn config(matches: &ArgMatches, format: Format) -> Result<(), Failure> {
    let Some(("check", args)) = matches.subcommand() else {
        return Err(Failure::Usage(
            "the subcommand check is required".to_owned(),
        ));
    };
    let kind = args::string(args, "kind").and_then(documents::find);
    check_files(args, kind, format)
}

/// Checks the files of the command line as documents of one kind, or detects the kind of each from
/// its fields.
///
/// # Errors
///
/// Returns the findings of all files together.
pub fn check_files(
    args: &ArgMatches,
    kind: Option<&'static Document>,
    format: Format,
) -> Result<(), Failure> {
    let mut checked = Vec::new();
    let mut findings = Findings::default();
    let files = args.get_many::<PathBuf>("file").unwrap_or_default();
    for path in files {
        let source = path.display().to_string();
        let text = fs::read_to_string(path).map_err(|e| Failure::File(path.clone(), e))?;
        match check_text(&source, &text, kind) {
            Ok(kind) => checked.push((source, kind.name)),
            Err(found) => findings.list.extend(found.list),
        }
    }
    if !findings.is_empty() {
        return Err(Failure::Findings(findings));
    }
    format.print(&checked, |list| {
        let lines = list
            .iter()
            .map(|(file, kind)| format!("{file}: valid {kind}\n"));
        lines.collect()
    });
    Ok(())
}

/// Checks a text and returns its kind.
///
/// # Errors
///
/// Returns all findings of the text.
pub fn check_text(
    source: &str,
    text: &str,
    kind: Option<&'static Document>,
) -> Result<&'static Document, Findings> {
    let kind = match kind {
        Some(kind) => kind,
        None => detect(source, text)?,
    };
    let findings = kind
        .check
        .map_or_else(Findings::default, |c| c(source, text));
    if findings.is_empty() {
        return Ok(kind);
    }
    Err(findings)
}

fn detect(source: &str, text: &str) -> Result<&'static Document, Findings> {
    let finding = |place: String, problem: String, hint: &str| {
        let mut findings = Findings::default();
        findings.add(source, &place, problem, hint);
        findings
    };
    let value = serde_json::from_str(text).map_err(|e| {
        let place = format!("line {} column {}", e.line(), e.column());
        finding(place, e.to_string(), "the file must contain JSON")
    })?;
    documents::detect(&value).ok_or_else(|| {
        let known = documents::checkable().join(", ");
        finding(
            "/".to_owned(),
            "the fields match no known kind of document".to_owned(),
            &format!("set the kind with --kind: {known}"),
        )
    })
}
