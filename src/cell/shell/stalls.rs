//! Notices when the process has stood still, and bounds the age of the requests that it reads then.
//!
//! A process that was paused, or whose machine was suspended, finds requests in its sockets that may
//! have waited for the whole time. Their callers may have given up, and cancelled the job elsewhere.

use std::cell::Cell;

/// Interval at which the process notes that it runs, in milliseconds.
pub const TICK_MS: u64 = 100;

/// Shortest stall that counts, in milliseconds: a busy process misses a few ticks.
const MIN_STALL_MS: u64 = 300;

/// Time after a stall in which requests may still be read that arrived during it, in milliseconds.
const SETTLE_MS: u64 = 250;

/// When the process last ran, and the last stall.
#[derive(Debug, Default)]
pub struct Stalls {
    /// Local time of the last tick, in milliseconds; 0 before the first.
    ticked_at: Cell<u64>,
    /// Local time at which the last stall ended, in milliseconds; 0 for none.
    resumed_at: Cell<u64>,
    /// Length of the last stall, in milliseconds.
    length: Cell<u64>,
}

impl Stalls {
    /// Notes at local time `now`, in milliseconds, that the process runs. Returns the length of the
    /// stall that has ended, if there was one.
    pub fn tick(&self, now: u64) -> Option<u64> {
        let before = self.ticked_at.replace(now);
        if before == 0 || now < before + TICK_MS + MIN_STALL_MS {
            return None;
        }
        self.resumed_at.set(now);
        self.length.set(now - before);
        Some(now - before)
    }

    /// Longest time for which a request that is read at local time `now` may have waited to be read,
    /// in milliseconds; 0 if the process has not stood still.
    #[must_use]
    pub fn age(&self, now: u64) -> u64 {
        let before = self.ticked_at.get();
        if before > 0 && now >= before + TICK_MS + MIN_STALL_MS {
            return now - before;
        }
        let resumed = self.resumed_at.get();
        if resumed > 0 && now < resumed + SETTLE_MS {
            return self.length.get() + now.saturating_sub(resumed);
        }
        0
    }
}
