//! What a command prints: results to the standard output, progress to the standard error.

use std::io::{
    self,
    Write, //
};

use clap::ArgMatches;
use serde::Serialize;

use crate::{
    cli::exit::Failure,
    findings::{
        Finding,
        Findings, //
    },
    wire::{
        admin::Version,
        caller::Refusal, //
    }, //
};

/// The form of a command's result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    Table,
    /// JSON for programs.
    Json,
    /// A page; for reports alone.
    Html,
}

/// A failure as JSON.
#[derive(Debug, Serialize)]
struct FailureJson<'a> {
    /// The exit code.
    exit: u8,
    /// One sentence for people.
    message: String,
    /// The version that won, when another change was faster.
    #[serde(skip_serializing_if = "Option::is_none")]
    winner: Option<&'a Version>,
    /// The server's refusal.
    #[serde(skip_serializing_if = "Option::is_none")]
    refusal: Option<&'a Refusal>,
    /// The faults of the input.
    #[serde(skip_serializing_if = "Option::is_none")]
    findings: Option<&'a Findings>,
}

impl Format {
    /// The form that the command line asks for.
    #[must_use]
    pub fn from_args(matches: &ArgMatches) -> Self {
        let name = matches.get_one::<String>("output").map(String::as_str);
        match name {
            Some("json") => Self::Json,
            Some("html") => Self::Html,
            _ => Self::Table,
        }
    }

    /// Prints a result: its JSON, or the text that `table` makes of it.
    pub fn print<T: Serialize>(self, value: &T, table: impl FnOnce(&T) -> String) {
        match self {
            Self::Json => print(&json(value)),
            Self::Table | Self::Html => print(&table(value)),
        }
    }
}

/// A value as indented JSON with a line feed.
#[must_use]
pub fn json<T: Serialize>(value: &T) -> String {
    match serde_json::to_string_pretty(value) {
        Ok(text) => text + "\n",
        Err(e) => format!("{{\"message\": \"no JSON: {e}\"}}\n"),
    }
}

/// Prints a result. A reader that has gone away is no fault.
pub fn print(text: &str) {
    let _ = io::stdout().write_all(text.as_bytes());
}

/// Prints a line of progress.
pub fn progress(text: &str) {
    let _ = writeln!(io::stderr(), "{text}");
}

/// Prints a failure.
pub fn failure(failure: &Failure, format: Format) {
    match format {
        Format::Json => print(&json(&failure_json(failure))),
        Format::Table | Format::Html => progress(&failure_text(failure)),
    }
}

fn failure_json(failure: &Failure) -> FailureJson<'_> {
    FailureJson {
        exit: failure.code(),
        message: failure.to_string(),
        refusal: match failure {
            Failure::Refused(refusal) => Some(refusal),
            Failure::Conflict(conflict) => Some(&conflict.refusal),
            _ => None,
        },
        winner: match failure {
            Failure::Conflict(conflict) => conflict.winner.as_ref(),
            _ => None,
        },
        findings: match failure {
            Failure::Findings(list) => Some(list),
            _ => None,
        },
    }
}

fn failure_text(failure: &Failure) -> String {
    match failure {
        Failure::Findings(list) => findings_text(&list.list),
        Failure::Refused(refusal) => refusal_text(refusal),
        Failure::Conflict(conflict) => refusal_text(&conflict.refusal),
        other => format!("error: {other}"),
    }
}

/// Faults, one below the other, each with its place, what was found and a hint.
#[must_use]
pub fn findings_text(list: &[Finding]) -> String {
    let mut text = String::new();
    for finding in list {
        let Finding {
            source,
            place,
            problem,
            hint,
        } = finding;
        text.push_str(&format!("{source}: {place}: {problem}\n"));
        if !hint.is_empty() {
            text.push_str(&format!("    hint: {hint}\n"));
        }
    }
    text.push_str(&match list.len() {
        1 => "1 finding".to_owned(),
        many => format!("{many} findings"),
    });
    text
}

fn refusal_text(refusal: &Refusal) -> String {
    let code = json_name(&refusal.code);
    let ran = json_name(&refusal.ran);
    let mut text = format!("refused ({code}, ran: {ran}): {}", refusal.message);
    if let Some(retry) = refusal.retry {
        text.push_str(&format!("\n    try again in {retry} ms"));
    }
    if !refusal.findings.is_empty() {
        text.push('\n');
        text.push_str(&findings_text(&refusal.findings));
    }
    text
}

/// The JSON name of an enumeration's value.
#[must_use]
pub fn json_name<T: Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        Ok(other) => other.to_string(),
        Err(_) => String::new(),
    }
}
