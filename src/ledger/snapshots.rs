//! When an instance appends a snapshot of the state, so that a fresh one finds its start.
//!
//! Any instance may, and a second copy does no harm. Each waits for a time that a hash of its id and
//! of the last snapshot gives, so that normally one appends and the others see it.

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

/// The longest wait before a snapshot that is due, in milliseconds.
pub const MAX_JITTER_MS: u64 = 2_000;

/// One instance's share in the snapshots.
#[derive(Debug)]
pub struct Schedule {
    instance: u64,
    cfg: configs::log::Log,
    /// The oldest entry that the log keeps.
    log_start: Offset,
    /// The last snapshot that was seen, and when.
    last_seen: (Offset, Instant),
    /// Whether a timer runs.
    timer_pending: bool,
    /// Until when the own last snapshot may still be on its way.
    quiet_until: Instant,
}

impl Schedule {
    /// The schedule of one writer.
    #[must_use]
    pub fn new(by: &record::Author, cfg: configs::log::Log) -> Self {
        Self {
            instance: xxh3::xxh3_64(by.instance.as_str().as_bytes()),
            cfg,
            log_start: Offset(0),
            last_seen: (Offset(0), Instant::now()),
            timer_pending: false,
            quiet_until: Instant::now(),
        }
    }

    /// Notes the oldest entry that the log keeps.
    pub fn set_log_start(&mut self, first: Offset) {
        self.log_start = self.log_start.max(first);
    }

    /// How long to wait before [`Schedule::confirm`], when a snapshot has become due.
    pub fn schedule(&mut self, state: &State) -> Option<Duration> {
        if self.timer_pending || Instant::now() < self.quiet_until || !self.needed(state) {
            return None;
        }
        self.timer_pending = true;
        let covered = covered_offset(state).0;
        let hash = xxh3::xxh3_64_with_seed(&covered.to_le_bytes(), self.instance);
        Some(Duration::from_millis(hash % MAX_JITTER_MS))
    }

    /// Whether a snapshot is to be appended now, at the end of the wait.
    pub fn confirm(&mut self, state: &State) -> bool {
        self.timer_pending = false;
        self.quiet_until = Instant::now() + 2 * self.cfg.timeout;
        self.needed(state)
    }

    fn needed(&mut self, state: &State) -> bool {
        let covered = covered_offset(state);
        if covered != self.last_seen.0 {
            self.last_seen = (covered, Instant::now());
        }
        // A state that skipped entries of a newer format must not become anyone's start.
        if !state.complete() || state.next() == Offset(0) {
            return false;
        }
        self.many_entries_since(state)
            || self.retention_close(state)
            || self.last_seen.1.elapsed() >= self.cfg.refresh
    }

    /// Whether many entries have followed the last snapshot.
    fn many_entries_since(&self, state: &State) -> bool {
        state.next().0 - covered_offset(state).0 > self.cfg.snapshot
    }

    /// Whether what the last snapshot needs lies in the older half of what the log keeps.
    fn retention_close(&self, state: &State) -> bool {
        let kept = state.next().0.saturating_sub(self.log_start.0);
        let margin = covered_offset(state).0.saturating_sub(self.log_start.0);
        self.log_start > Offset(0) && margin * 2 < kept
    }
}

/// The first entry that is not in the last snapshot.
fn covered_offset(state: &State) -> Offset {
    state.last_snapshot().map_or(Offset(0), |m| m.next)
}
