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
pub enum Output {
    /// Text for people.
    Table,
    /// JSON for programs.
    Json,
    /// A page; for reports alone.
    Html,
}

/// A failure as JSON.
#[derive(Debug, Serialize)]
struct Told<'a> {
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

impl Output {
    /// The form that the command line asks for.
    #[must_use]
    pub fn chosen(matches: &ArgMatches) -> Self {
        let name = matches.get_one::<String>("output").map(String::as_str);
        match name {
            Some("json") => Self::Json,
            Some("html") => Self::Html,
            _ => Self::Table,
        }
    }

    /// Prints a result: its JSON, or the text that `table` makes of it.
    pub fn show<T: Serialize>(self, value: &T, table: impl FnOnce(&T) -> String) {
        match self {
            Self::Json => result(&json(value)),
            Self::Table | Self::Html => result(&table(value)),
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
pub fn result(text: &str) {
    let _ = io::stdout().write_all(text.as_bytes());
}

/// Prints a line of progress.
pub fn progress(text: &str) {
    let _ = writeln!(io::stderr(), "{text}");
}

/// Prints a failure.
pub fn failure(failure: &Failure, output: Output) {
    match output {
        Output::Json => result(&json(&told(failure))),
        Output::Table | Output::Html => progress(&words(failure)),
    }
}

fn told(failure: &Failure) -> Told<'_> {
    Told {
        exit: failure.code(),
        message: failure.to_string(),
        refusal: match failure {
            Failure::Refused(refusal) => Some(refusal),
            Failure::Lost(conflict) => Some(&conflict.refusal),
            _ => None,
        },
        winner: match failure {
            Failure::Lost(conflict) => conflict.winner.as_ref(),
            _ => None,
        },
        findings: match failure {
            Failure::Findings(list) => Some(list),
            _ => None,
        },
    }
}

fn words(failure: &Failure) -> String {
    match failure {
        Failure::Findings(list) => findings(&list.list),
        Failure::Refused(refusal) => refused(refusal),
        Failure::Lost(conflict) => refused(&conflict.refusal),
        other => format!("error: {other}"),
    }
}

/// Faults, one below the other, each with its place, what was found and a hint.
#[must_use]
pub fn findings(list: &[Finding]) -> String {
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

fn refused(refusal: &Refusal) -> String {
    let code = word(&refusal.code);
    let ran = word(&refusal.ran);
    let mut text = format!("refused ({code}, ran: {ran}): {}", refusal.message);
    if let Some(retry) = refusal.retry {
        text.push_str(&format!("\n    try again in {retry} ms"));
    }
    if !refusal.findings.is_empty() {
        text.push('\n');
        text.push_str(&findings(&refusal.findings));
    }
    text
}

/// The JSON name of an enumeration's value.
#[must_use]
pub fn word<T: Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(word)) => word,
        Ok(other) => other.to_string(),
        Err(_) => String::new(),
    }
}
