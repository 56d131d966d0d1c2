//! Decides when an instance appends a snapshot of the state, from which new instances can start.
//!
//! Any instance may append a snapshot, and a duplicate has no effect. Each instance first waits for
//! a jitter hashed from its id and the last snapshot, so that normally one of them appends and the
//! others read the snapshot before their wait ends.

use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3;

use crate::{
    configs,
    ids::Offset,
    ledger::{
        record,
        state::State, //
    }, //
};

/// Upper bound of the jitter before a snapshot that is due, in milliseconds.
pub const MAX_JITTER_MS: u64 = 2_000;

/// Snapshot schedule of one instance.
#[derive(Debug)]
pub struct Schedule {
    instance: u64,
    cfg: configs::log::Log,
    /// Offset of the oldest entry that the log retains.
    log_start: Offset,
    /// The first offset after the last snapshot, and the time at which it was first seen.
    last_snapshot: (Offset, Instant),
    /// Whether the timer for a snapshot is running.
    timer_pending: bool,
    /// Time until which the last snapshot of this instance may still be in flight.
    quiet_until: Instant,
}

impl Schedule {
    /// Creates the schedule of one author.
    #[must_use]
    pub fn new(by: &record::Author, cfg: configs::log::Log) -> Self {
        Self {
            instance: xxh3::xxh3_64(by.instance.as_str().as_bytes()),
            cfg,
            log_start: Offset(0),
            last_snapshot: (Offset(0), Instant::now()),
            timer_pending: false,
            quiet_until: Instant::now(),
        }
    }

    /// Sets the offset of the oldest entry that the log retains.
    pub fn set_log_start(&mut self, first: Offset) {
        self.log_start = self.log_start.max(first);
    }

    /// The wait before [`Schedule::confirm`], if a snapshot has become due.
    pub fn schedule(&mut self, state: &State) -> Option<Duration> {
        if self.timer_pending || Instant::now() < self.quiet_until || !self.needed(state) {
            return None;
        }
        self.timer_pending = true;
        let covered = covered_offset(state).0;
        let hash = xxh3::xxh3_64_with_seed(&covered.to_le_bytes(), self.instance);
        Some(Duration::from_millis(hash % MAX_JITTER_MS))
    }

    /// Whether the snapshot is still needed at the end of the wait.
    pub fn confirm(&mut self, state: &State) -> bool {
        self.timer_pending = false;
        self.quiet_until = Instant::now() + 2 * self.cfg.timeout;
        self.needed(state)
    }

    fn needed(&mut self, state: &State) -> bool {
        let covered = covered_offset(state);
        if covered != self.last_snapshot.0 {
            self.last_snapshot = (covered, Instant::now());
        }
        // No instance may start from a state that skipped entries of a newer format.
        if !state.complete() || state.next() == Offset(0) {
            return false;
        }
        self.many_entries_since(state)
            || self.retention_close(state)
            || self.last_snapshot.1.elapsed() >= self.cfg.refresh
    }

    /// Whether more entries than configured have followed the last snapshot.
    fn many_entries_since(&self, state: &State) -> bool {
        state.next().0 - covered_offset(state).0 > self.cfg.snapshot
    }

    /// Whether the entries to replay after the last snapshot start in the older half of the
    /// retained log.
    fn retention_close(&self, state: &State) -> bool {
        let kept = state.next().0.saturating_sub(self.log_start.0);
        let margin = covered_offset(state).0.saturating_sub(self.log_start.0);
        self.log_start > Offset(0) && margin * 2 < kept
    }
}

/// The first offset that is not included in the last snapshot.
fn covered_offset(state: &State) -> Offset {
    state.last_snapshot().map_or(Offset(0), |m| m.next)
}
