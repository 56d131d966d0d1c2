//! Tests of the service-level report: outcomes are counted exactly once and all sums add up.

#![expect(clippy::unwrap_used, reason = "a test fails by a panic")]

#[path = "report/attribution.rs"]
mod attribution;
#[path = "report/burn.rs"]
mod burn;
#[path = "report/outcomes.rs"]
mod outcomes;
#[path = "report/render.rs"]
mod render;
#[path = "report/rows.rs"]
mod rows;
#[path = "report/sli.rs"]
mod sli;
#[path = "report/tally.rs"]
mod tally;
