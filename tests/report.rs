//! The counts behind the line and the burn report: nothing lost, nothing doubled, all adding up.

#![expect(clippy::unwrap_used, reason = "a test fails by a panic")]

#[path = "report/outcomes.rs"]
mod outcomes;
#[path = "report/tally.rs"]
mod tally;
