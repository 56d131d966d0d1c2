//! Settings of the membership of entry instances.

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
pub struct Membership {
    /// How often a heartbeat goes to each peer of the availability zone.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub heartbeat: Duration,
    /// How much rarer heartbeats to peers outside the availability zone are.
    #[schemars(range(min = 1))]
    pub remote: u32,
    /// Silence after which a peer is suspected and gets no forwarded requests.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub suspect: Duration,
    /// Silence after which a peer is taken for dead and its workers are asked for.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub dead: Duration,
    /// How long a peer that came back must stay before it is preferred for workers again.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub settle: Duration,
    /// How often the platform's list is read.
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
