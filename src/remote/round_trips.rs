//! Estimate of the time that a response takes on one path.
//!
//! Handles a path that is busy rather than dead: as the responses get slower, so does the timeout,
//! and queueing is not mistaken for silence.

use std::time::Duration;

/// Weight of the newest round trip in the average, as in TCP's estimator.
const AVERAGE_WEIGHT: f64 = 0.125;

/// Weight of the newest round trip in the deviation, as in TCP's estimator.
const DEVIATION_WEIGHT: f64 = 0.25;

/// Number of deviations above the average that the timeout covers, as in TCP's estimator.
const DEVIATIONS: f64 = 4.0;

/// Round trips on one path, in a moving average.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoundTrips {
    floor: Duration,
    ceiling: Duration,
    /// Average and deviation in seconds; `None` before the first round trip.
    estimate: Option<(f64, f64)>,
}

impl RoundTrips {
    /// Creates an estimate whose timeout is at least `floor` and at most `ceiling`.
    #[must_use]
    pub fn new(floor: Duration, ceiling: Duration) -> Self {
        Self {
            floor,
            ceiling,
            estimate: None,
        }
    }

    /// Records the round trip of a response, also of one that came after the timeout.
    pub fn observe(&mut self, took: Duration) {
        let took = took.as_secs_f64();
        let Some((average, deviation)) = &mut self.estimate else {
            self.estimate = Some((took, took / 2.0));
            return;
        };
        *deviation += DEVIATION_WEIGHT * ((took - *average).abs() - *deviation);
        *average += AVERAGE_WEIGHT * (took - *average);
    }

    /// Time after which a response is late.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        let Some((average, deviation)) = self.estimate else {
            return self.floor;
        };
        Duration::from_secs_f64(average + DEVIATIONS * deviation).clamp(self.floor, self.ceiling)
    }
}
