//! Settings of the requests that an entry instance serves.

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
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Requests {
    /// How long one exchange with a backend server may take beyond the request's deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub grace: Duration,
    /// Idle time after which a connection is not used again.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle: Duration,
    /// How long a connection may take to open.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub connect: Duration,
    /// The share of failed answers at which a worker is ejected, 0 to 1.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub eject: f64,
    /// The largest share of workers that may be ejected at once, 0 to 1.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub floor: f64,
    /// How long an ejected worker stays out.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub pause: Duration,
    /// Requests that may wait, of all profiles together.
    #[schemars(range(min = 1))]
    pub waiting: u32,
    /// A profile is long work when its mean run time is this many times the shortest profile's; a
    /// request is a straggler when it runs this many times its profile's 90th percentile.
    #[schemars(range(min = 1.0))]
    pub straggler: f64,
    /// Slots of each worker that long work leaves free when its profile reserves fewer.
    pub spare: u32,
    /// How long a graceful shutdown waits for requests in progress.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub drain: Duration,
    /// How long a graceful shutdown goes on answering, so that the balancer sees that the instance
    /// is not ready before its port closes.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub linger: Duration,
}

impl Default for Requests {
    fn default() -> Self {
        Self {
            grace: Duration::from_millis(200),
            idle: Duration::from_millis(5_000),
            connect: Duration::from_millis(300),
            eject: 0.5,
            floor: 0.5,
            pause: Duration::from_millis(5_000),
            waiting: 4_096,
            straggler: 4.0,
            spare: 1,
            drain: Duration::from_millis(30_000),
            linger: Duration::from_millis(1_000),
        }
    }
}
