//! The counts behind the line and the burn report: nothing lost, nothing doubled, all adding up.

#![expect(clippy::unwrap_used, reason = "a test fails by a panic")]

#[path = "report/burn.rs"]
mod burn;
#[path = "report/line.rs"]
mod line;
#[path = "report/moved.rs"]
mod moved;
#[path = "report/outcomes.rs"]
mod outcomes;
#[path = "report/render.rs"]
mod render;
#[path = "report/rows.rs"]
mod rows;
#[path = "report/tally.rs"]
mod tally;
