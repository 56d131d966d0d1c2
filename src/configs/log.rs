//! Settings of the client of the platform's log.

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

/// Times are in milliseconds.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// How long records are gathered into one append.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub gather: Duration,
    /// The most records in one append.
    #[schemars(range(min = 1))]
    pub batch: u32,
    /// How long an append's answer is waited for before it is read back.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
    /// How long a read waits at the log for a new entry.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub poll: Duration,
    /// The first backoff after an error; doubles up to 32 times, with jitter.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub backoff: Duration,
    /// How many entries may follow a snapshot before the next is appended.
    #[schemars(range(min = 1))]
    pub snapshot: u64,
    /// How old the last snapshot may grow, also when nothing changes; well below the time for which
    /// the platform keeps records.
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
