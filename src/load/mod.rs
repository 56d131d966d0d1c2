//! An open-loop load generator: sends work at its intended times, whatever the answers do.
//!
//! Latencies count from the intended time, so that a slow answer hides no later ones. Every answer
//! is checked to be the whole answer to its own request.

use std::{
    io,
    path::PathBuf, //
};

use quick_error::quick_error;

pub mod balancer;
pub mod direct;
pub mod jobs;
pub mod judge;
pub mod mix;
pub mod plot;
pub mod report;
pub mod response;
pub mod run;
pub mod sample;
pub mod schedule;
pub mod table;

quick_error! {
    /// Why the tool cannot do its work.
    #[derive(Debug)]
    pub enum Error {
        /// A file cannot be read or written.
        File(path: PathBuf, cause: io::Error) {
            display("{}: {}", path.display(), cause)
            source(cause)
        }
        /// A line of recorded arrivals is malformed.
        MalformedLine(path: PathBuf, line: usize, cause: serde_json::Error) {
            display("{}: line {}: {}", path.display(), line, cause)
            source(cause)
        }
        /// The platform did not answer as expected.
        Platform(message: String) {
            display("the platform does not answer: {}", message)
        }
        /// No worker granted its placement lease.
        NoWorker {
            display("no worker granted its placement lease")
        }
        /// The plot cannot be drawn.
        Plot(message: String) {
            display("the plot cannot be drawn: {}", message)
        }
        /// The report cannot be written as JSON.
        Json(cause: serde_json::Error) {
            display("the report cannot be written: {}", cause)
            source(cause)
        }
    }
}
