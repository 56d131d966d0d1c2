//! Settings of request serving at an entry instance.

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

/// Request serving at an entry instance. Times are in milliseconds.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Requests {
    /// How long an exchange with a backend server may continue after the request's deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub grace: Duration,
    /// Idle time after which a connection is not reused.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle: Duration,
    /// Timeout for opening a connection.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub connect: Duration,
    /// Share of failed responses at which a worker is ejected, 0 to 1.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub eject: f64,
    /// Maximum share of workers that may be ejected at the same time, 0 to 1.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub floor: f64,
    /// How long an ejected worker gets no requests.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub pause: Duration,
    /// Maximum number of waiting requests of all profiles together.
    #[schemars(range(min = 1))]
    pub waiting: u32,
    /// Threshold factor for long-running work. A profile is long-running when its mean run time is
    /// at least this many times that of the shortest profile; a request is a straggler when it runs
    /// this many times the 90th percentile of its profile.
    #[schemars(range(min = 1.0))]
    pub straggler: f64,
    /// Slots of each worker that long-running work leaves free, unless its profile reserves more.
    pub spare: u32,
    /// How long a graceful shutdown waits for requests in progress.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub drain: Duration,
    /// How long a graceful shutdown keeps answering, so that the load balancer sees that the
    /// instance is not ready before its port closes.
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
