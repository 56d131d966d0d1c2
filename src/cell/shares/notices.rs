//! Limits on the log lines about one organisation.

/// Shortest time between two log lines of one kind about one organisation, in milliseconds.
const INTERVAL_MS: u64 = 1_000;

/// What was logged about an organisation.
#[derive(Debug, Clone, Default)]
pub struct Notices {
    /// Local time of the last line about a refusal, in milliseconds.
    refused_at: Option<u64>,
    /// Number of refusals since that were not logged.
    muted: u32,
    /// Local time at which its cap last kept a task from starting, in milliseconds.
    held_at: Option<u64>,
    /// Whether the organisation was last logged as being at its cap.
    capped: bool,
}

/// Whether the interval has passed since `last`.
fn is_due(last: Option<u64>, now: u64) -> bool {
    last.is_none_or(|last| now >= last + INTERVAL_MS)
}

impl Notices {
    /// Counts a refusal at local time `now`, in milliseconds. Returns the number of refusals before it
    /// that were not logged if it is to be logged.
    pub fn refuse(&mut self, now: u64) -> Option<u32> {
        if !is_due(self.refused_at, now) {
            self.muted += 1;
            return None;
        }
        self.refused_at = Some(now);
        Some(std::mem::take(&mut self.muted))
    }

    /// Notes whether the cap keeps tasks from starting at local time `now`, in milliseconds. Returns
    /// whether the organisation is at its cap if that has changed. It has left its cap once nothing
    /// was held for the interval, so that there are two lines an interval at most.
    pub fn note_cap(&mut self, held: bool, now: u64) -> Option<bool> {
        let due = is_due(self.held_at, now);
        if held {
            self.held_at = Some(now);
        }
        if held == self.capped || !held && !due {
            return None;
        }
        self.capped = held;
        Some(held)
    }
}
