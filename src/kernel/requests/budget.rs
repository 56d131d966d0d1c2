//! Retry and hedging budgets: extra attempts are limited to a share of first attempts.

/// Number of first attempts whose share a budget can hold at most.
const MAX_SAVED_SENDS: f64 = 100.0;

/// Minimum capacity of a non-zero budget, in extra attempts.
const MIN_CAPACITY: f64 = 1.0;

/// Token bucket that first attempts fill and extra attempts drain.
#[derive(Debug, Clone, Copy, Default)]
pub struct Budget {
    share: f64,
    tokens: f64,
}

impl Budget {
    /// Sets the number of extra attempts allowed per first attempt, 0 to 1.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Adds the share of one first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.capacity());
    }

    /// Takes the token of one extra attempt. Returns `false` if the budget is exhausted.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the token of an extra attempt that was not sent after all.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.capacity());
    }

    fn capacity(&self) -> f64 {
        if self.share <= 0.0 {
            return 0.0;
        }
        (self.share * MAX_SAVED_SENDS).max(MIN_CAPACITY)
    }
}
