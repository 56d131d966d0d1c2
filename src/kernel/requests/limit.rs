//! Adaptive concurrency limit, controlled by the failure rate.

use crate::ids::Millis;

/// Number of outcomes after which the limit is adjusted.
const WINDOW_SAMPLES: u32 = 64;

/// Time after which the limit is adjusted with fewer outcomes, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Minimum number of outcomes for an adjustment.
const MIN_SAMPLES: u32 = 8;

/// Failure rate above which the limit is lowered.
const FAILURE_THRESHOLD: f64 = 0.5;

/// Factor by which the limit is lowered.
const DECREASE_FACTOR: f64 = 0.7;

/// Factor by which the limit is raised.
const INCREASE_FACTOR: f64 = 1.2;

/// Lower bound of the limit.
const MIN_LIMIT: f64 = 4.0;

/// Limit on the attempts of one profile that are in progress at the same time.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    max: f64,
    current: f64,
    successes: u32,
    failures: u32,
    window_start: Millis,
}

impl Limit {
    /// Creates a limit that starts at its upper bound.
    #[must_use]
    pub fn new(max: u32) -> Self {
        Self {
            max: f64::from(max),
            current: f64::from(max),
            successes: 0,
            failures: 0,
            window_start: Millis(0),
        }
    }

    /// Changes the upper bound.
    pub fn set_max(&mut self, max: u32) {
        let max = f64::from(max);
        if max > self.max && self.current >= self.max {
            self.current = max;
        }
        self.max = max;
        self.current = self.current.min(max);
    }

    /// Current limit.
    #[must_use]
    pub fn get(&self) -> u32 {
        self.current as u32
    }

    /// Records the outcome of an attempt.
    pub fn record(&mut self, now: Millis, success: bool) {
        if success {
            self.successes += 1;
        } else {
            self.failures += 1;
        }
        let seen = self.successes + self.failures;
        let window_over = now.since(self.window_start) >= WINDOW_MS && seen >= MIN_SAMPLES;
        if seen >= WINDOW_SAMPLES || window_over {
            self.adapt(now);
        }
    }

    fn adapt(&mut self, now: Millis) {
        let seen = f64::from(self.successes + self.failures);
        let failing = f64::from(self.failures) / seen > FAILURE_THRESHOLD;
        let factor = if failing {
            DECREASE_FACTOR
        } else {
            INCREASE_FACTOR
        };
        let min = MIN_LIMIT.min(self.max);
        self.current = (self.current * factor).clamp(min, self.max);
        self.successes = 0;
        self.failures = 0;
        self.window_start = now;
    }
}
