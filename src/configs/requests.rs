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
    /// How long a graceful shutdown waits for requests in progress.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub drain: Duration,
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
            drain: Duration::from_millis(30_000),
        }
    }
}
