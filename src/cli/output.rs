//! Output of commands: results go to the standard output, progress to the standard error.

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

/// Output format of a result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Plain text.
    Table,
    /// JSON.
    Json,
    /// An HTML page; only for reports.
    Html,
}

/// JSON form of a failure.
#[derive(Debug, Serialize)]
struct FailureJson<'a> {
    /// Exit code of the command.
    exit: u8,
    /// Description of the failure.
    message: String,
    /// Current version of the profile, if a concurrent change was applied first.
    #[serde(skip_serializing_if = "Option::is_none")]
    winner: Option<&'a Version>,
    /// Refusal of the server.
    #[serde(skip_serializing_if = "Option::is_none")]
    refusal: Option<&'a Refusal>,
    /// Findings of the input.
    #[serde(skip_serializing_if = "Option::is_none")]
    findings: Option<&'a Findings>,
}

impl Format {
    /// Returns the format from the command line.
    #[must_use]
    pub fn from_args(matches: &ArgMatches) -> Self {
        let name = matches.get_one::<String>("output").map(String::as_str);
        match name {
            Some("json") => Self::Json,
            Some("html") => Self::Html,
            _ => Self::Table,
        }
    }

    /// Prints a result as JSON, or as the text that `table` returns for it.
    pub fn print<T: Serialize>(self, value: &T, table: impl FnOnce(&T) -> String) {
        match self {
            Self::Json => print(&json(value)),
            Self::Table | Self::Html => print(&table(value)),
        }
    }
}

/// Serialises a value as indented JSON with a final line feed.
#[must_use]
pub fn json<T: Serialize>(value: &T) -> String {
    match serde_json::to_string_pretty(value) {
        Ok(text) => text + "\n",
        Err(e) => format!("{{\"message\": \"cannot serialise the result: {e}\"}}\n"),
    }
}

/// Prints a result. Errors such as a closed pipe are ignored.
pub fn print(text: &str) {
    let _ = io::stdout().write_all(text.as_bytes());
}

/// Prints a line to the standard error.
pub fn progress(text: &str) {
    let _ = writeln!(io::stderr(), "{text}");
}

/// Prints a failure: JSON to the standard output, text to the standard error.
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

/// Formats findings, one per line, each with its source, place, problem and hint.
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
        text.push_str(&format!("\n    retry in {retry} ms"));
    }
    if !refusal.findings.is_empty() {
        text.push('\n');
        text.push_str(&findings_text(&refusal.findings));
    }
    text
}

/// Returns the JSON name of an enum variant.
#[must_use]
pub fn json_name<T: Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(name)) => name,
        Ok(other) => other.to_string(),
        Err(_) => String::new(),
    }
}
