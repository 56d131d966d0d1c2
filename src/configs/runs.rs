//! Settings of the jobs that an entry instance places.

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
pub struct Runs {
    /// How often waiting tasks are looked at, besides at every event.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub tick: Duration,
    /// How long an instance outside a job's home waits before it places the job's tasks.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub away: Duration,
    /// First backoff between attempts of a task; doubles, with jitter.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub backoff: Duration,
    /// The share of failed tasks at which a worker gets no more tasks, 0 to 1.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub eject: f64,
    /// The largest share of workers that may be ejected at once, 0 to 1.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub floor: f64,
    /// Most placements in one decision round.
    #[schemars(range(min = 1))]
    pub round: u32,
}

impl Default for Runs {
    fn default() -> Self {
        Self {
            tick: Duration::from_millis(50),
            away: Duration::from_millis(500),
            backoff: Duration::from_millis(100),
            eject: 0.6,
            floor: 0.5,
            round: 256,
        }
    }
}
