//! Tracks outcomes that were proposed to the log and have not been read back yet.

use compact_str::CompactString;

use crate::{
    ids::Millis,
    ledger::record,
    wire::worker::TaskId, //
};

/// Milliseconds after which an outcome that was not read back is proposed again.
const REPEAT_MS: u64 = 3_000;

/// Attempts with a proposed outcome and the time of the proposal, sorted by attempt.
#[derive(Debug, Default)]
pub(super) struct Proposals {
    rows: Vec<(TaskId, Millis)>,
}

impl Proposals {
    /// Returns whether an outcome should be proposed now, and records the proposal if so.
    pub(super) fn propose(&mut self, now: Millis, id: &TaskId) -> bool {
        match self.rows.binary_search_by(|row| row.0.cmp(id)) {
            Ok(at) if now.since(self.rows[at].1) < REPEAT_MS => false,
            Ok(at) => {
                self.rows[at].1 = now;
                true
            }
            Err(at) => {
                self.rows.insert(at, (id.clone(), now));
                true
            }
        }
    }

    /// Removes the proposal of an outcome that is in the log.
    pub(super) fn confirm(&mut self, id: &TaskId) {
        if let Ok(at) = self.rows.binary_search_by(|row| row.0.cmp(id)) {
            self.rows.remove(at);
        }
    }

    /// Removes old proposals that are no longer repeated.
    pub(super) fn tick(&mut self, now: Millis) {
        self.rows.retain(|row| now.since(row.1) < REPEAT_MS * 10);
    }
}

/// Returns the outcome of an attempt that has not started and can no longer start.
pub(super) fn unstarted(id: TaskId, reason: &str) -> record::FinishedAttempt {
    record::FinishedAttempt {
        id,
        end: record::Outcome::Unstarted,
        checkpoint: 0,
        reason: CompactString::from(reason),
    }
}
