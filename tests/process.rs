//! Fault-injection tests with real processes. Each test ends with the verdict of the stand-in's
//! judge, which keeps its own records, independent of the scheduler.
#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "process/cell.rs"]
mod cell;
#[path = "process/jobs.rs"]
mod jobs;
#[path = "process/load.rs"]
mod load;
#[path = "process/outages.rs"]
mod outages;
#[path = "process/requests.rs"]
mod requests;
#[path = "process/takeover.rs"]
mod takeover;
#[path = "process/truncation.rs"]
mod truncation;
