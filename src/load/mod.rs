//! An open-loop load generator: sends work at its intended times, whether or not earlier work has
//! been answered.
//!
//! Latency is measured from the intended time, which avoids coordinated omission: a slow response
//! does not hide the delay of the requests behind it. Every response is checked to be complete and
//! to belong to its own request.

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
    /// Errors of the load generator.
    #[derive(Debug)]
    pub enum Error {
        /// A file cannot be read or written.
        File(path: PathBuf, cause: io::Error) {
            display("{}: {}", path.display(), cause)
            source(cause)
        }
        /// A line of a file of recorded arrivals is not valid JSON of an arrival.
        MalformedLine(path: PathBuf, line: usize, cause: serde_json::Error) {
            display("{}: line {}: {}", path.display(), line, cause)
            source(cause)
        }
        /// A request to the platform or to a worker failed, or the response body is malformed.
        Platform(message: String) {
            display("request to the platform or a worker failed: {}", message)
        }
        /// No live worker granted its placement lease.
        NoWorker {
            display("no live worker granted its placement lease")
        }
        /// The plotting library cannot draw the plot.
        Plot(message: String) {
            display("drawing the plot failed: {}", message)
        }
        /// The report or an arrival cannot be serialised to JSON.
        Json(cause: serde_json::Error) {
            display("JSON serialisation failed: {}", cause)
            source(cause)
        }
    }
}
