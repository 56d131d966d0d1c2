//! Validation of input: errors are collected with their position and reported together.

use std::fmt;

use compact_str::CompactString;
use jsonschema::error::ValidationErrorKind;
use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize,
    de::DeserializeOwned, //
};

use crate::hints;

/// Maximum length of a finding's problem text, in characters. The text may quote the input, which
/// can be large.
const MAX_PROBLEM_CHARS: usize = 300;

/// One error in an input.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Finding {
    /// File name or other name of the input.
    #[schemars(with = "String")]
    pub source: CompactString,
    /// JSON pointer of the value, or `line N column M` when the text is not valid JSON.
    pub place: String,
    /// What is wrong, and what is allowed.
    pub problem: String,
    /// How to fix the error; may be empty.
    pub hint: String,
}

/// All errors in an input, in the order in which they were found.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Findings {
    /// The errors.
    pub list: Vec<Finding>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.source, self.place, self.problem)?;
        if !self.hint.is_empty() {
            write!(f, " (hint: {})", self.hint)?;
        }
        Ok(())
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.list.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            finding.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

impl Findings {
    /// Adds an error.
    pub fn add(&mut self, source: &str, place: &str, problem: String, hint: &str) {
        self.list.push(Finding {
            source: source.into(),
            place: place.to_owned(),
            problem,
            hint: hint.to_owned(),
        });
    }

    /// Returns whether the input has no errors.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}

/// Validation rules of a type that its JSON schema cannot express.
pub trait Check {
    /// Adds every violated rule to `findings`, with JSON pointers relative to the value's root.
    fn check(&self, source: &str, findings: &mut Findings);
}

/// Parses and validates a value in three stages: JSON syntax, the schema of `T`, and the rules of
/// its [`Check`].
///
/// # Errors
///
/// Returns all errors of the first stage that fails.
pub fn read<T>(source: &str, text: &str) -> Result<T, Findings>
where
    T: Check + DeserializeOwned + JsonSchema,
{
    let value = parse(source, text)?;
    from_value(source, value)
}

/// Validates a JSON value against the schema of `T` and the rules of its [`Check`].
///
/// # Errors
///
/// Returns all errors of the first stage that fails.
pub fn from_value<T>(source: &str, value: serde_json::Value) -> Result<T, Findings>
where
    T: Check + DeserializeOwned + JsonSchema,
{
    let mut findings = schema_findings::<T>(source, &value);
    if !findings.is_empty() {
        return Err(findings);
    }
    let typed: T = match serde_json::from_value(value) {
        Ok(typed) => typed,
        Err(e) => {
            findings.add(source, "/", e.to_string(), "");
            return Err(findings);
        }
    };
    typed.check(source, &mut findings);
    if findings.is_empty() {
        return Ok(typed);
    }
    Err(findings)
}

fn parse(source: &str, text: &str) -> Result<serde_json::Value, Findings> {
    serde_json::from_str(text).map_err(|e| {
        let mut findings = Findings::default();
        let place = format!("line {} column {}", e.line(), e.column());
        findings.add(source, &place, e.to_string(), "the file must be JSON");
        findings
    })
}

fn schema_findings<T: JsonSchema>(source: &str, value: &serde_json::Value) -> Findings {
    let mut findings = Findings::default();
    let schema = schemars::schema_for!(T);
    let validator = match jsonschema::validator_for(schema.as_value()) {
        Ok(validator) => validator,
        Err(e) => {
            findings.add(source, "/", format!("the schema is invalid: {e}"), "");
            return findings;
        }
    };
    for e in validator.iter_errors(value) {
        let path = e.instance_path.as_str();
        let place = if path.is_empty() { "/" } else { path };
        let hint = hints::hint(schema.as_value(), path);
        findings.add(source, place, problem(&e), &hint);
    }
    findings
}

/// Describes a schema violation, shortened to [`MAX_PROBLEM_CHARS`] characters.
fn problem(e: &jsonschema::ValidationError<'_>) -> String {
    let mut text = match e.kind {
        ValidationErrorKind::OneOfNotValid { .. } | ValidationErrorKind::Enum { .. } => {
            format!("{} is none of the allowed values", e.instance)
        }
        _ => e.to_string(),
    };
    if let Some((end, _)) = text.char_indices().nth(MAX_PROBLEM_CHARS) {
        text.truncate(end);
        text.push('…');
    }
    text
}
