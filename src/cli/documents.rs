//! The documents that people write or read: what the schemas describe and `config check` checks.

use schemars::Schema;

use crate::{
    findings::{
        self,
        Check,
        Findings, //
    },
    load,
    profile::Profile,
    settings,
    standin,
    wire::caller, //
};

/// A kind of document.
#[derive(Debug, Clone, Copy)]
pub struct Document {
    /// Its name, also of its schema's file.
    pub name: &'static str,
    /// One line for people.
    pub summary: &'static str,
    /// Makes its schema.
    pub schema: fn() -> Schema,
    /// Checks a text whole; absent for what only the system writes.
    pub check: Option<Checker>,
    /// Whether the settings page shows its options.
    pub on_settings_page: bool,
}

/// Checks a text and names its source in the findings.
pub type Checker = fn(source: &str, text: &str) -> Findings;

/// All documents. A new kind needs one more entry here.
pub const ALL: [Document; 8] = [
    Document {
        name: "entry",
        summary: "Settings of `bamboolock-entry` and `bamboolock-admin`",
        schema: || schemars::schema_for!(settings::Entry),
        check: Some(check::<settings::Entry>),
        on_settings_page: true,
    },
    Document {
        name: "profile",
        summary: "A profile: how one kind of work is treated",
        schema: || schemars::schema_for!(Profile),
        check: Some(check::<Profile>),
        on_settings_page: true,
    },
    Document {
        name: "standin",
        summary: "Settings of `bamboolock-standin`",
        schema: || schemars::schema_for!(standin::settings::Settings),
        check: Some(check::<standin::settings::Settings>),
        on_settings_page: true,
    },
    Document {
        name: "mix",
        summary: "Recorded work for `bamboolock-load`",
        schema: || schemars::schema_for!(load::mix::Mix),
        check: Some(check::<load::mix::Mix>),
        on_settings_page: true,
    },
    Document {
        name: "job",
        summary: "A job as a caller submits it",
        schema: || schemars::schema_for!(caller::Job),
        check: Some(check::<caller::Job>),
        on_settings_page: false,
    },
    Document {
        name: "job-accepted",
        summary: "Response to an accepted job",
        schema: || schemars::schema_for!(caller::Accepted),
        check: None,
        on_settings_page: false,
    },
    Document {
        name: "job-status",
        summary: "A job's status",
        schema: || schemars::schema_for!(caller::Status),
        check: None,
        on_settings_page: false,
    },
    Document {
        name: "refusal",
        summary: "A refusal",
        schema: || schemars::schema_for!(caller::Refusal),
        check: None,
        on_settings_page: false,
    },
];

fn check<T>(source: &str, text: &str) -> Findings
where
    T: Check + serde::de::DeserializeOwned + schemars::JsonSchema,
{
    findings::read::<T>(source, text).err().unwrap_or_default()
}

/// The names of all documents.
#[must_use]
pub fn names() -> Vec<&'static str> {
    ALL.iter().map(|d| d.name).collect()
}

/// The names of the documents that can be checked.
#[must_use]
pub fn checkable() -> Vec<&'static str> {
    let checkable = ALL.iter().filter(|d| d.check.is_some());
    checkable.map(|d| d.name).collect()
}

/// The document of a name.
#[must_use]
pub fn find(name: &str) -> Option<&'static Document> {
    ALL.iter().find(|d| d.name == name)
}

/// The checkable document with the most fields of a value, the fewest of its own missing.
#[must_use]
pub fn detect(value: &serde_json::Value) -> Option<&'static Document> {
    let checkable = ALL.iter().filter(|d| d.check.is_some());
    checkable
        .map(|d| (match_score(d, value), d))
        .filter(|(score, _)| *score > 0)
        .max_by_key(|(score, _)| *score)
        .map(|(_, document)| document)
}

/// Fields of the value that the document knows, less those that it does not know and those that the
/// document needs and the value lacks.
fn match_score(document: &Document, value: &serde_json::Value) -> i64 {
    let schema = (document.schema)();
    let list = |name: &str| schema.get(name).cloned().unwrap_or_default();
    let (known, required) = (list("properties"), list("required"));
    let fields = value.as_object().into_iter().flatten();
    let score = fields.map(|(name, _)| match known.get(name) {
        Some(_) => 1,
        None => -1,
    });
    let required = required.as_array().cloned().unwrap_or_default();
    let missing = required.iter().filter(|name| {
        let name = name.as_str().unwrap_or_default();
        value.get(name).is_none()
    });
    score.sum::<i64>() - i64::try_from(missing.count()).unwrap_or(i64::MAX)
}
