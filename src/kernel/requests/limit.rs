//! A concurrency limit that follows the share of failures.

use crate::ids::Millis;

/// Outcomes after which the limit is looked at.
const WINDOW_SAMPLES: u32 = 64;

/// Time after which the limit is looked at with fewer outcomes, in milliseconds.
const WINDOW_MS: u64 = 1_000;

/// Fewest outcomes that say anything.
const MIN_SAMPLES: u32 = 8;

/// The share of failures above which the limit falls.
const FAILURE_THRESHOLD: f64 = 0.5;

/// The factor by which it falls.
const DECREASE_FACTOR: f64 = 0.7;

/// The factor by which it rises.
const INCREASE_FACTOR: f64 = 1.2;

/// The min limit.
const MIN_LIMIT: f64 = 4.0;

/// Requests of one profile that may be in progress.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    max: f64,
    current: f64,
    successes: u32,
    failures: u32,
    window_start: Millis,
}

impl Limit {
    /// A limit that begins at its upper bound.
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

    /// The limit in force.
    #[must_use]
    pub fn get(&self) -> u32 {
        self.current as u32
    }

    /// Learns an outcome.
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
