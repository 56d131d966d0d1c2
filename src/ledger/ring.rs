//! Bounded buffer of the last committed entries, for peers that cannot reach the log.

use std::collections::VecDeque;

use crate::{
    ids::Offset,
    wire::log, //
};

/// Maximum number of buffered entries.
pub const MAX_ENTRIES: usize = 4_096;

/// Maximum size of the buffered payloads, in bytes.
pub const MAX_BYTES: usize = 8 * 1_024 * 1_024;

/// Buffer of consecutive entries, oldest first.
#[derive(Debug, Default)]
pub struct Ring {
    entries: VecDeque<log::Entry>,
    bytes: usize,
}

impl Ring {
    /// Adds the next entry and drops the oldest entries beyond the bounds. An entry after a gap
    /// replaces all others.
    pub fn push(&mut self, entry: log::Entry) {
        let last = self.entries.back().map(|e| e.offset.0 + 1);
        if last.is_some_and(|next| next != entry.offset.0) {
            self.clear();
        }
        self.bytes += entry.payload.len();
        self.entries.push_back(entry);
        while self.entries.len() > MAX_ENTRIES || self.bytes > MAX_BYTES {
            let Some(oldest) = self.entries.pop_front() else {
                return;
            };
            self.bytes -= oldest.payload.len();
        }
    }

    /// Drops all entries.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    /// Up to `max` entries from an offset on; `None` when the first of them is no longer buffered.
    #[must_use]
    pub fn entries_from(&self, offset: Offset, max: usize) -> Option<Vec<log::Entry>> {
        let first = self.entries.front()?.offset;
        let skip = usize::try_from(offset.0.checked_sub(first.0)?).ok()?;
        Some(self.entries.iter().skip(skip).take(max).cloned().collect())
    }
}
