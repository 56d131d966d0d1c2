//! Outcome and timing of each arrival.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::wire::caller::Code;

/// Class of the outcome of a request or job, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// The complete response to the caller's own request arrived before the deadline. For a job: it
    /// succeeded before the deadline.
    Good,
    /// The same as [`Class::Good`], but after the deadline.
    Late,
    /// The request or job was refused and did not run.
    Refused,
    /// The request or job ran and failed, or the job was cancelled.
    Failed,
    /// The request may have run: no complete response arrived, or the response says so.
    Unknown,
    /// The response belongs to another request, or is malformed though its length is right.
    Wrong,
    /// A later response to the same idempotency key came from another execution.
    Doubled,
    /// The job had not ended when the load generator stopped polling.
    Open,
}

/// All classes, in declaration order.
pub const CLASSES: [Class; 8] = [
    Class::Good,
    Class::Late,
    Class::Refused,
    Class::Failed,
    Class::Unknown,
    Class::Wrong,
    Class::Doubled,
    Class::Open,
];

/// Outcome and timing of one arrival.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Index of the arrival in the schedule.
    pub index: usize,
    /// Intended send time, in microseconds from the start.
    pub at: u64,
    /// Delay between the intended and the actual send time, in microseconds.
    pub lag: u64,
    /// Time from the intended send time to the response or the end of the job, in microseconds.
    pub latency: u64,
    /// For a job, the time from the intended send time until a status showed that it had left the
    /// queue, in microseconds.
    pub wait: Option<u64>,
    /// Class of the outcome.
    pub class: Class,
    /// Error code of a refusal or failure, if the response holds one.
    pub code: Option<Code>,
    /// Id of the execution that answered, or of the job; empty when unknown.
    pub execution: CompactString,
    /// Human-readable reason for an outcome other than [`Class::Good`]; empty otherwise.
    pub detail: String,
}
