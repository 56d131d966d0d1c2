//! Rate of the jobs that an organisation is owed service for.

/// Part of a job by which sums of fractions may fall short of one, through rounding.
const ROUNDING: f64 = 1e-6;

/// Token bucket: each job within the rate takes a token.
#[derive(Debug, Clone, Default)]
pub struct Bucket {
    /// Tokens at the last change.
    tokens: f64,
    /// Time of the last change, in milliseconds; `None` while the bucket is full from the start.
    changed: Option<u64>,
}

impl Bucket {
    /// Tokens at `now`, in milliseconds, at a rate of `rate` jobs a second. The bucket holds those of
    /// one second, and at least one. A clock that was set back adds none.
    fn level(&self, rate: f64, now: u64) -> f64 {
        let burst = rate.max(1.0);
        let Some(changed) = self.changed else {
            return burst;
        };
        let added = now.saturating_sub(changed) as f64 * rate / 1_000.0;
        (self.tokens + added).min(burst)
    }

    /// Whether one more job at `now`, in milliseconds, would be within the rate.
    #[must_use]
    pub fn admits(&self, rate: f64, now: u64) -> bool {
        self.level(rate, now) >= 1.0 - ROUNDING
    }

    /// Counts a job at `now`, in milliseconds; returns whether it is within the rate.
    pub fn take(&mut self, rate: f64, now: u64) -> bool {
        let level = self.level(rate, now);
        let admitted = self.admits(rate, now);
        self.tokens = if admitted { level - 1.0 } else { level };
        self.changed = Some(now);
        admitted
    }
}
