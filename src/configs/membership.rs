//! Settings of membership and failure detection among entry instances.

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

/// Membership and failure detection among entry instances. Times are in milliseconds.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Membership {
    /// Interval between heartbeats to each peer in the availability zone.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub heartbeat: Duration,
    /// Factor by which the interval is longer for peers outside the availability zone.
    #[schemars(range(min = 1))]
    pub remote: u32,
    /// Time without a heartbeat after which a peer is suspected and gets no forwarded requests.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub suspect: Duration,
    /// Time without a heartbeat after which a peer counts as dead and other instances request the
    /// leases of its workers.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub dead: Duration,
    /// How long a peer that came back must stay alive before it is preferred again as the holder of
    /// workers.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub settle: Duration,
    /// Interval between reads of the platform's instance list.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub list: Duration,
}

impl Default for Membership {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(300),
            remote: 5,
            suspect: Duration::from_millis(1_000),
            dead: Duration::from_millis(2_000),
            settle: Duration::from_millis(3_000),
            list: Duration::from_millis(500),
        }
    }
}
