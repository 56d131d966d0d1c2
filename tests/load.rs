//! Tests of the load generator: its arrivals, its checks of responses and its report.

#![expect(
    clippy::unwrap_used,
    reason = "a helper function outside a test may panic to fail the test"
)]

#[path = "load/programs.rs"]
mod programs;
#[path = "load/report.rs"]
mod report;
#[path = "load/responses.rs"]
mod responses;
#[path = "load/run.rs"]
mod run;
#[path = "load/schedule.rs"]
mod schedule;
