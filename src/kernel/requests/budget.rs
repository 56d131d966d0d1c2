//! A budget for extra sends, as a share of first sends.

/// The most that is saved up, in first sends.
const MAX_SAVED_SENDS: f64 = 100.0;

/// The least that a budget above zero can save up, in extra sends.
const MIN_CAPACITY: f64 = 1.0;

/// A token bucket that first sends fill and extra sends empty.
#[derive(Debug, Clone, Copy, Default)]
pub struct Budget {
    share: f64,
    tokens: f64,
}

impl Budget {
    /// Sets the extra sends allowed for each first send, 0 to 1.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Counts a first send.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.capacity());
    }

    /// Takes one extra send. Returns whether the budget allowed it.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Takes a spent extra send back that was not sent after all.
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
