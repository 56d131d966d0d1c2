//! The service-level report: one line, what burns the error budgets, and which profile moved the
//! line.
//!
//! Everything here is a pure function over the sums of [`crate::ledger::outcomes`]. Shares are in
//! parts per million, so that what is shown adds up exactly.

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

/// The span that the line covers unless the reader asks for another, in milliseconds.
pub const DEFAULT_SPAN_MS: u64 = HOUR;

/// The share that a profile version promises.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Target {
    /// The profile.
    pub profile: ProfileName,
    /// The version.
    pub version: u32,
    /// The objective's share, 0 to 1.
    pub share: f64,
}

/// What the report is made from. Answer to `GET /v1/outcomes`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Input {
    /// The latest time of the log, since 1970.
    pub now: Millis,
    /// The sums, by time, profile and version.
    pub rows: Vec<Row>,
    /// The promises, sorted by profile and version; a version that is no longer known may miss.
    pub targets: Vec<Target>,
}

impl Input {
    /// The promise of a version, or of the latest known version of its profile.
    #[must_use]
    pub fn target(&self, profile: &ProfileName, version: u32) -> Option<f64> {
        let from = self.targets.partition_point(|t| t.profile < *profile);
        let rest = self.targets.get(from..).unwrap_or_default();
        let own = &rest[..rest.partition_point(|t| t.profile == *profile)];
        let exact = own.binary_search_by_key(&version, |t| t.version);
        let found = exact.ok().and_then(|at| own.get(at));
        found.or(own.last()).map(|t| t.share)
    }

    /// The rows of buckets that start in a span.
    pub fn rows_between(&self, from: Millis, to: Millis) -> impl Iterator<Item = &Row> + Clone {
        let inside = move |row: &&Row| row.start >= from && row.start < to;
        self.rows.iter().filter(inside)
    }
}

/// Rows in order of their profile, and of time within it.
fn sort_by_profile<'a>(rows: impl Iterator<Item = &'a Row>) -> Vec<&'a Row> {
    let mut rows: Vec<_> = rows.collect();
    rows.sort_by(|a, b| a.tally.profile.cmp(&b.tally.profile));
    rows
}

/// The whole report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// When it was true, in milliseconds since 1970.
    pub at: Millis,
    /// The span that the line covers, in milliseconds.
    pub span: u64,
    /// All work together.
    #[serde(rename = "line")]
    pub counts: sli::Counts,
    /// Each profile and its versions, the worst first.
    pub profiles: Vec<sli::Profile>,
    /// Error-budget burn, the fastest first.
    pub burn: Vec<burn::Burn>,
    /// The line against the span before.
    #[serde(rename = "moved")]
    pub comparison: attribution::Comparison,
    /// The share over both spans: all work first, then the profiles that moved the line most.
    pub series: Vec<series::Series>,
}

/// Makes the report for the last `span` milliseconds.
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

/// The two spans that are compared.
struct Spans {
    start: Millis,
    middle: Millis,
    end: Millis,
}

impl Spans {
    /// The last `span` milliseconds and as much before. The bucket in progress belongs to the later.
    fn new(now: Millis, span: u64) -> Self {
        Self {
            start: Millis(now.0.saturating_sub(span.saturating_mul(2))),
            middle: Millis(now.0.saturating_sub(span)),
            end: now.plus(1),
        }
    }
}
