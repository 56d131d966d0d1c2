//! Contract of the load tool: its arrivals, its checks of answers and its figures.

#![expect(
    clippy::unwrap_used,
    reason = "a helper that cannot go on fails its test"
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
