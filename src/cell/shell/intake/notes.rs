//! Bounds the log lines about limits that are reached.

use super::Limit;

/// Shortest interval between two lines about the same limit, in milliseconds.
pub const INTERVAL_MS: u64 = 10_000;

/// When the last line about a limit was written, and how often the limit was reached since.
#[derive(Debug, Clone, Copy, Default)]
struct Note {
    logged_at: Option<u64>,
    unlogged: u64,
}

/// Lines about all limits.
#[derive(Debug, Clone, Default)]
pub struct Notes {
    list: [Note; Limit::ALL.len()],
}

impl Notes {
    /// Notes at time `now` that a limit was reached. Returns how often it was reached since its last
    /// line, with this time, if it gets a line.
    pub fn note(&mut self, limit: Limit, now: u64) -> Option<u64> {
        let note = &mut self.list[limit as usize];
        note.unlogged += 1;
        let recent = |at: u64| now < at + INTERVAL_MS;
        if note.logged_at.is_some_and(recent) {
            return None;
        }
        note.logged_at = Some(now);
        Some(std::mem::take(&mut note.unlogged))
    }
}
