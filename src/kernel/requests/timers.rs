//! Points of time at which something is to be looked at.

use std::collections::VecDeque;

use crate::ids::Millis;

/// Entries sorted by time. An entry is not removed when its cause is gone; who takes it out checks.
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
    /// Adds an entry. Entries of the same time stay in the order of insertion.
    pub fn add(&mut self, at: Millis, value: T) {
        let index = self.entries.partition_point(|(t, _)| *t <= at);
        self.entries.insert(index, (at, value));
    }

    /// Takes out the first entry that is due.
    pub fn pop_due(&mut self, now: Millis) -> Option<T> {
        let (at, _) = self.entries.front()?;
        if *at > now {
            return None;
        }
        self.entries.pop_front().map(|(_, value)| value)
    }

    /// When the first entry is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Millis> {
        self.entries.front().map(|(at, _)| *at)
    }
}
