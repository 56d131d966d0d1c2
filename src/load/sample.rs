//! What became of each piece of work.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::wire::caller::Code;

/// The outcome of one piece of work, as its caller knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// The whole answer to its own request, in time. For a job: ended well and in time.
    Good,
    /// The same, but after the deadline.
    Late,
    /// Refused as not run.
    Refused,
    /// It ran and failed.
    Failed,
    /// It may have run: no whole answer came, or the answer says so.
    Unknown,
    /// An answer that is not its own, or is not whole though it is passed off as whole.
    Wrong,
    /// A second answer to the same key came from a second execution.
    Doubled,
    /// A job that had not ended when the tool stopped looking.
    Open,
}

/// Every class, in order.
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

/// The outcome of one arrival.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The arrival's index in the schedule.
    pub index: usize,
    /// The intended time, in microseconds from the start.
    pub at: u64,
    /// How much later it was sent, in microseconds.
    pub lag: u64,
    /// From the intended time to the end, in microseconds.
    pub latency: u64,
    /// From the intended time until it was seen to run, for a job, in microseconds.
    pub wait: Option<u64>,
    /// What became of it.
    pub class: Class,
    /// Why it was refused or failed, if the answer says so.
    pub code: Option<Code>,
    /// The id of the execution that answered; empty when unknown.
    pub execution: CompactString,
    /// What is wrong, for people; empty otherwise.
    pub detail: String,
}
