//! The service-level report: the service-level indicator, error-budget burn, and the profiles that
//! changed the indicator.
//!
//! The report is a pure function of the sums in [`crate::ledger::outcomes`]. Shares are in parts
//! per million, so that the printed figures add up exactly.

pub mod attribution;
pub mod burn;
pub mod html;
pub mod plot;
pub mod series;
pub mod sli;
pub mod table;
pub mod text;

use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
        Millis,
        ProfileName, //
    },
    ledger::outcomes::{
        HOUR,
        Row, //
    }, //
};

/// Default length of the reported span, in milliseconds.
pub const DEFAULT_SPAN_MS: u64 = HOUR;

/// Objective of a profile version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Target {
    /// Name of the profile.
    pub profile: ProfileName,
    /// Version of the profile.
    pub version: u32,
    /// Share of good work that the objective requires, 0 to 1.
    pub share: f64,
}

/// Input of the report and response to `GET /v1/outcomes`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Input {
    /// Latest time in the log, in milliseconds since 1970.
    pub now: Millis,
    /// Outcome sums by time, profile and version.
    pub rows: Vec<Row>,
    /// Objectives sorted by profile and version; versions that are no longer known may be missing.
    pub targets: Vec<Target>,
}

impl Input {
    /// Returns the objective of a version, or that of the latest known version of the profile.
    #[must_use]
    pub fn target(&self, profile: &ProfileName, version: u32) -> Option<f64> {
        let from = self.targets.partition_point(|t| t.profile < *profile);
        let rest = self.targets.get(from..).unwrap_or_default();
        let own = &rest[..rest.partition_point(|t| t.profile == *profile)];
        let exact = own.binary_search_by_key(&version, |t| t.version);
        let found = exact.ok().and_then(|at| own.get(at));
        found.or(own.last()).map(|t| t.share)
    }

    /// Returns the rows of the buckets that start at `from` or later and before `to`.
    pub fn rows_between(&self, from: Millis, to: Millis) -> impl Iterator<Item = &Row> + Clone {
        let inside = move |row: &&Row| row.start >= from && row.start < to;
        self.rows.iter().filter(inside)
    }
}

/// Sorts rows by profile; the rows of a profile keep their order of time.
fn sort_by_profile<'a>(rows: impl Iterator<Item = &'a Row>) -> Vec<&'a Row> {
    let mut rows: Vec<_> = rows.collect();
    rows.sort_by(|a, b| a.tally.profile.cmp(&b.tally.profile));
    rows
}

/// Service-level report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Time of the report, in milliseconds since 1970.
    pub at: Millis,
    /// Length of the reported span, in milliseconds.
    pub span: u64,
    /// Counts of all work in the span.
    #[serde(rename = "line")]
    pub counts: sli::Counts,
    /// Counts of each profile and its versions, the profile with the most bad work first.
    pub profiles: Vec<sli::Profile>,
    /// Error-budget burn of each profile, the highest burn rate first.
    pub burn: Vec<burn::Burn>,
    /// Comparison with the preceding span of the same length.
    #[serde(rename = "moved")]
    pub comparison: attribution::Comparison,
    /// Share over both spans: all work first, then the profiles with the largest contributions.
    pub series: Vec<series::Series>,
}

/// Builds the report for the last `span` milliseconds.
#[must_use]
pub fn build(input: &Input, span: u64) -> Report {
    let spans = Spans::new(input.now, span);
    let after = input.rows_between(spans.middle, spans.end);
    let before = input.rows_between(spans.start, spans.middle);
    let both = input.rows_between(spans.start, spans.end);
    let comparison = attribution::compare(before, after.clone());
    Report {
        at: input.now,
        span,
        counts: sli::sum(after.clone()),
        profiles: sli::profiles(after),
        burn: burn::profiles(input),
        series: series::build(both, &comparison.contributions),
        comparison,
    }
}

/// Boundaries of the two adjacent spans that are compared.
struct Spans {
    start: Millis,
    middle: Millis,
    end: Millis,
}

impl Spans {
    /// Splits the last two spans of `span` milliseconds. The bucket in progress is part of the
    /// later.
    fn new(now: Millis, span: u64) -> Self {
        Self {
            start: Millis(now.0.saturating_sub(span.saturating_mul(2))),
            middle: Millis(now.0.saturating_sub(span)),
            end: now.plus(1),
        }
    }
}
