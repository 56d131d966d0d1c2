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
pub const SPREAD: u64 = 2_000;

/// One instance's share in the snapshots.
#[derive(Debug)]
pub struct Schedule {
    instance: u64,
    cfg: configs::log::Log,
    /// The oldest entry that the log keeps.
    first: Offset,
    /// The last snapshot that was seen, and when.
    seen: (Offset, Instant),
    /// Whether a timer runs.
    waiting: bool,
    /// Until when the own last snapshot may still be on its way.
    quiet: Instant,
}

impl Schedule {
    /// The schedule of one writer.
    #[must_use]
    pub fn new(by: &record::Author, cfg: configs::log::Log) -> Self {
        Self {
            instance: xxh3::xxh3_64(by.instance.as_str().as_bytes()),
            cfg,
            first: Offset(0),
            seen: (Offset(0), Instant::now()),
            waiting: false,
            quiet: Instant::now(),
        }
    }

    /// Notes the oldest entry that the log keeps.
    pub fn kept_from(&mut self, first: Offset) {
        self.first = self.first.max(first);
    }

    /// How long to wait before [`Schedule::fire`], when a snapshot has become due.
    pub fn due(&mut self, state: &State) -> Option<Duration> {
        if self.waiting || Instant::now() < self.quiet || !self.needed(state) {
            return None;
        }
        self.waiting = true;
        let covered = covered(state).0;
        let hash = xxh3::xxh3_64_with_seed(&covered.to_le_bytes(), self.instance);
        Some(Duration::from_millis(hash % SPREAD))
    }

    /// Whether a snapshot is to be appended now, at the end of the wait.
    pub fn fire(&mut self, state: &State) -> bool {
        self.waiting = false;
        self.quiet = Instant::now() + 2 * self.cfg.timeout;
        self.needed(state)
    }

    fn needed(&mut self, state: &State) -> bool {
        let covered = covered(state);
        if covered != self.seen.0 {
            self.seen = (covered, Instant::now());
        }
        // A state that skipped entries of a newer format must not become anyone's start.
        if !state.complete() || state.next() == Offset(0) {
            return false;
        }
        self.grown(state) || self.nearly_dropped(state) || self.seen.1.elapsed() >= self.cfg.refresh
    }

    /// Whether many entries have followed the last snapshot.
    fn grown(&self, state: &State) -> bool {
        state.next().0 - covered(state).0 > self.cfg.snapshot
    }

    /// Whether what the last snapshot needs lies in the older half of what the log keeps.
    fn nearly_dropped(&self, state: &State) -> bool {
        let kept = state.next().0.saturating_sub(self.first.0);
        let room = covered(state).0.saturating_sub(self.first.0);
        self.first > Offset(0) && room * 2 < kept
    }
}

/// The first entry that is not in the last snapshot.
fn covered(state: &State) -> Offset {
    state.mark().map_or(Offset(0), |m| m.next)
}
