//! Decisions on what clients may take of the machine, over numbers and a clock, without input or
//! output.
//!
//! Times are in milliseconds of a clock that stands still while the process does not run: a client
//! is not charged for a pause of the process.

use slotmap::new_key_type;

pub mod budget;
pub mod connections;
pub mod framing;
pub mod notes;

new_key_type! {
    /// Key of a client's connection.
    pub struct ConnectionKey;
}

/// Limit that a client, a job or an instance has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Limit {
    /// Number of connections.
    Connections,
    /// Size of a request's head.
    HeadBytes,
    /// Time for a request's head.
    HeadTime,
    /// Time without a byte of a body, or for the whole of it.
    BodyTime,
    /// Bytes that all requests may hold.
    Bytes,
    /// Time without a byte of an answer that is taken.
    AnswerTime,
    /// Time to close a connection whose client still sends.
    CloseTime,
    /// Bytes of accepted jobs.
    Jobs,
    /// Size of a job's stored record.
    Record,
}

impl Limit {
    /// All limits, in their order.
    pub const ALL: [Self; 9] = [
        Self::Connections,
        Self::HeadBytes,
        Self::HeadTime,
        Self::BodyTime,
        Self::Bytes,
        Self::AnswerTime,
        Self::CloseTime,
        Self::Jobs,
        Self::Record,
    ];

    /// Name of the limit in metrics and log lines.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::HeadBytes => "head_bytes",
            Self::HeadTime => "head_time",
            Self::BodyTime => "body_time",
            Self::Bytes => "bytes",
            Self::AnswerTime => "answer_time",
            Self::CloseTime => "close_time",
            Self::Jobs => "job_bytes",
            Self::Record => "record_bytes",
        }
    }
}
