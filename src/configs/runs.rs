//! Settings of job placement at an entry instance.

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

/// Job placement at an entry instance. Times are in milliseconds.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Runs {
    /// Interval between placement rounds for waiting tasks; every event starts a round as well.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub tick: Duration,
    /// How long an instance outside a job's home zone waits before it places the job's tasks.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub away: Duration,
    /// First backoff between attempts of a task. It doubles with each attempt, with jitter.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub backoff: Duration,
    /// Share of failed tasks at which a worker is ejected and gets no more tasks, 0 to 1.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub eject: f64,
    /// Maximum share of workers that may be ejected at the same time, 0 to 1.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub floor: f64,
    /// Maximum number of placements in one round.
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
