//! Settings of the client for the platform's log.

use std::time::Duration;

use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    DurationMilliSeconds,
    serde_as, //
};

/// Client for the platform's log. Times are in milliseconds.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// How long records are collected into one append.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub gather: Duration,
    /// Maximum number of records in one append.
    #[schemars(range(min = 1))]
    pub batch: u32,
    /// Timeout of the response to an append; the log is then read back to find the outcome.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
    /// How long a long-polling read waits for a new entry.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub poll: Duration,
    /// First backoff after an error. It doubles up to 32 times its value, with jitter.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub backoff: Duration,
    /// Number of entries after a snapshot before the next snapshot is appended.
    #[schemars(range(min = 1))]
    pub snapshot: u64,
    /// Maximum age of the last snapshot, also when nothing changes. Must be well below the
    /// platform's retention time for records.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub refresh: Duration,
}

impl Default for Log {
    fn default() -> Self {
        Self {
            gather: Duration::from_millis(10),
            batch: 512,
            timeout: Duration::from_millis(1_000),
            poll: Duration::from_millis(2_000),
            backoff: Duration::from_millis(50),
            snapshot: 2_000,
            refresh: Duration::from_millis(600_000),
        }
    }
}
