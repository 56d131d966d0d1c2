//! Kinds of documents that users write or read. Each has a schema, and `config check` checks those
//! that users write.

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

/// A kind of JSON document.
#[derive(Debug, Clone, Copy)]
pub struct Document {
    /// Name of the kind, and of its schema file without the extension.
    pub name: &'static str,
    /// One-line description.
    pub summary: &'static str,
    /// Generates the schema.
    pub schema: fn() -> Schema,
    /// Checks a text and returns all findings; `None` for documents that only the system writes.
    pub check: Option<Checker>,
    /// Whether the options are listed on the settings page.
    pub on_settings_page: bool,
}

/// Checks a text; `source` is the name of the input in the findings.
pub type Checker = fn(source: &str, text: &str) -> Findings;

/// All kinds of documents. A new kind is added here.
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
        summary: "Response to the submission of a job",
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

/// Returns the names of all kinds.
#[must_use]
pub fn names() -> Vec<&'static str> {
    ALL.iter().map(|d| d.name).collect()
}

/// Returns the names of the kinds that can be checked.
#[must_use]
pub fn checkable() -> Vec<&'static str> {
    let checkable = ALL.iter().filter(|d| d.check.is_some());
    checkable.map(|d| d.name).collect()
}

/// Returns the kind with a name.
#[must_use]
pub fn find(name: &str) -> Option<&'static Document> {
    ALL.iter().find(|d| d.name == name)
}

/// Returns the checkable kind with the highest score for a value; `None` if no score is positive.
#[must_use]
pub fn detect(value: &serde_json::Value) -> Option<&'static Document> {
    let checkable = ALL.iter().filter(|d| d.check.is_some());
    checkable
        .map(|d| (match_score(d, value), d))
        .filter(|(score, _)| *score > 0)
        .max_by_key(|(score, _)| *score)
        .map(|(_, document)| document)
}

/// Scores how well a value matches a kind: the number of known fields, less the number of unknown
/// fields and of missing required fields.
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
