//! Faults of input, collected with their place and reported together.

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

/// Longest description of what was found, in characters: it may quote the input.
const MAX_PROBLEM: usize = 300;

/// One fault of an input.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Finding {
    /// The file or the name of the input.
    #[schemars(with = "String")]
    pub source: CompactString,
    /// The JSON pointer of the value, or `line N column M` where the text is not JSON.
    pub place: String,
    /// What was found, and what is allowed.
    pub problem: String,
    /// What to do about it; may be empty.
    pub hint: String,
}

/// All faults of an input, in the order in which they were found.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Findings {
    /// The faults.
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
    /// Adds a fault.
    pub fn add(&mut self, source: &str, place: &str, problem: String, hint: &str) {
        self.list.push(Finding {
            source: source.into(),
            place: place.to_owned(),
            problem,
            hint: hint.to_owned(),
        });
    }

    /// Whether nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }
}

/// A type whose values have rules that its schema cannot express.
pub trait Check {
    /// Adds every broken rule to `findings`, with places relative to the value's root.
    fn check(&self, source: &str, findings: &mut Findings);
}

/// Reads a checked value: syntax, then the whole schema, then the type's own rules.
///
/// # Errors
///
/// Returns every fault of the stage that failed first.
pub fn read<T>(source: &str, text: &str) -> Result<T, Findings>
where
    T: Check + DeserializeOwned + JsonSchema,
{
    let value = parse(source, text)?;
    from_value(source, value)
}

/// Checks a JSON value against the schema of `T` and the type's own rules.
///
/// # Errors
///
/// Returns every fault of the stage that failed first.
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
            findings.add(source, "/", format!("the schema is broken: {e}"), "");
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

/// What was found, in words.
fn problem(e: &jsonschema::ValidationError<'_>) -> String {
    let mut text = match e.kind {
        ValidationErrorKind::OneOfNotValid { .. } | ValidationErrorKind::Enum { .. } => {
            format!("{} is none of the allowed values", e.instance)
        }
        _ => e.to_string(),
    };
    if let Some((end, _)) = text.char_indices().nth(MAX_PROBLEM) {
        text.truncate(end);
        text.push('…');
    }
    text
}
