//! Settings of the placement leases that an instance holds on workers.

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

/// Placement leases on workers. Times are in milliseconds.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Lease {
    /// Duration of a placement lease without renewal.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub ttl: Duration,
    /// Interval between renewals of a placement lease.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub renew: Duration,
    /// How long before its expiry the holder stops using a placement lease. Allows for clock
    /// drift.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub margin: Duration,
    /// Duration of a running task's lease without renewal.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub task: Duration,
    /// Timeout of a worker's response to a lease request.
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
