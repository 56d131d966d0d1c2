//! Failure tests with real processes. The stand-in's judge, which shares no books with the
//! scheduler, has the last word in each.
#![expect(clippy::unwrap_used, reason = "a test ends at the first surprise")]

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
