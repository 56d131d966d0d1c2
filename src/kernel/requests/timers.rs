//! Timers, as a queue of entries sorted by time.

use std::collections::VecDeque;

use crate::ids::Millis;

/// Timer entries sorted by time. Entries are not cancelled; the code that pops an entry checks
/// whether it still applies.
#[derive(Debug)]
pub struct Timers<T> {
    entries: VecDeque<(Millis, T)>,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Self {
            entries: VecDeque::new(),
        }
    }
}

impl<T> Timers<T> {
    /// Adds an entry. Entries with the same time keep their order of insertion.
    pub fn add(&mut self, at: Millis, value: T) {
        let index = self.entries.partition_point(|(t, _)| *t <= at);
        self.entries.insert(index, (at, value));
    }

    /// Removes and returns the first entry that is due.
    pub fn pop_due(&mut self, now: Millis) -> Option<T> {
        let (at, _) = self.entries.front()?;
        if *at > now {
            return None;
        }
        self.entries.pop_front().map(|(_, value)| value)
    }

    /// Time of the first entry.
    #[must_use]
    pub fn next_due(&self) -> Option<Millis> {
        self.entries.front().map(|(at, _)| *at)
    }
}
