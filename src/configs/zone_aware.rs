//! Settings of the `zone_aware` route plug-in.

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

/// Settings of the `zone_aware` route plug-in. Times are in milliseconds.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct ZoneAware {
    /// Added to the latency of a worker in another availability zone of the region.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub region: Duration,
    /// Added to the latency of a worker in another region.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remote: Duration,
    /// Added to the latency of a worker whose responses all fail; for other workers, scaled by
    /// their share of failed responses.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub failure: Duration,
}

impl Default for ZoneAware {
    fn default() -> Self {
        Self {
            region: Duration::from_millis(2),
            remote: Duration::from_millis(24),
            failure: Duration::from_millis(500),
        }
    }
}
