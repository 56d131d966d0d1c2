//! Settings of the placement leases that an instance holds at workers.

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
pub struct Lease {
    /// How long a placement lease lasts without renewal.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ttl: Duration,
    /// How often it is renewed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub renew: Duration,
    /// How long before its end the holder stops using it; covers the drift of clocks.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub margin: Duration,
    /// How long a running task goes on without renewal.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub task: Duration,
    /// How long a worker's answer to a lease message may take.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
}

impl Default for Lease {
    fn default() -> Self {
        Self {
            ttl: Duration::from_millis(3_000),
            renew: Duration::from_millis(700),
            margin: Duration::from_millis(300),
            task: Duration::from_millis(20_000),
            timeout: Duration::from_millis(600),
        }
    }
}
