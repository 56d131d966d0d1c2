//! Ends that were proposed to the log and have not come back.

use compact_str::CompactString;

use crate::{
    ids::Millis,
    ledger::record,
    wire::worker::TaskId, //
};

/// How long an end is awaited from the log before it is proposed again, in milliseconds.
const REPEAT: u64 = 3_000;

/// The proposed ends, sorted by attempt.
#[derive(Debug, Default)]
pub(super) struct Ends {
    rows: Vec<(TaskId, Millis)>,
}

impl Ends {
    /// Whether an end is to be proposed now. Counts it as proposed.
    pub(super) fn propose(&mut self, now: Millis, id: &TaskId) -> bool {
        match self.rows.binary_search_by(|row| row.0.cmp(id)) {
            Ok(at) if now.since(self.rows[at].1) < REPEAT => false,
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

    /// Notes that an end stands in the log.
    pub(super) fn settle(&mut self, id: &TaskId) {
        if let Ok(at) = self.rows.binary_search_by(|row| row.0.cmp(id)) {
            self.rows.remove(at);
        }
    }

    /// Forgets proposals that nobody repeats.
    pub(super) fn tick(&mut self, now: Millis) {
        self.rows.retain(|row| now.since(row.1) < REPEAT * 10);
    }
}

/// The end of an attempt that never started and now never can.
pub(super) fn unstarted(id: TaskId, reason: &str) -> record::FinishedAttempt {
    record::FinishedAttempt {
        id,
        end: record::Outcome::Unstarted,
        checkpoint: 0,
        reason: CompactString::from(reason),
    }
}
