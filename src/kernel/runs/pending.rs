//! Tracks the claims of this instance from the proposal until the worker is known to have the
//! tasks.

use crate::{
    ids::{
        Millis,
        RunId,
        Token, //
    },
    kernel::{
        WorkerKey,
        workers::Workers, //
    },
    ledger::record,
    wire::worker::TaskId, //
};

/// Stage of a claim of this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The claim was proposed to the log and has not been read back.
    Proposed {
        /// Time of the proposal.
        since: Millis,
    },
    /// The claim was won, and the start was handed out to be sent once.
    Sending {
        /// Time at which the start was handed out.
        since: Millis,
    },
    /// The start was sent and not answered in time; the attempt counts as running.
    Unknown {
        /// Time at which the missing answer was noticed.
        since: Millis,
    },
}

/// An attempt that this instance has claimed or is about to claim.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    /// Identifier of the attempt.
    pub(super) id: TaskId,
    /// Worker on which the attempt is placed.
    pub(super) worker: WorkerKey,
    /// The only token under which the attempt may be started.
    pub(super) token: Token,
    /// Stage of the claim.
    pub(super) stage: Stage,
}

/// Pending claims of this instance, sorted by attempt.
#[derive(Debug, Default)]
pub(super) struct Pending {
    rows: Vec<Entry>,
}

impl Pending {
    /// Adds a proposed attempt.
    pub(super) fn add(&mut self, since: Millis, id: TaskId, worker: WorkerKey, token: Token) {
        if let Err(at) = self.position(&id) {
            let stage = Stage::Proposed { since };
            let entry = Entry {
                id,
                worker,
                token,
                stage,
            };
            self.rows.insert(at, entry);
        }
    }

    /// Returns the pending attempt that a placement names, if its worker and token match.
    pub(super) fn get(
        &self,
        workers: &Workers,
        run: &RunId,
        placement: &record::Placement,
    ) -> Option<&Entry> {
        let at = self.position(&Self::id(run, placement)).ok()?;
        let entry = self.rows.get(at)?;
        let same = workers.key(&placement.worker) == Some(entry.worker);
        (same && entry.token == placement.token).then_some(entry)
    }

    /// Sets the stage of an attempt.
    pub(super) fn set(&mut self, id: &TaskId, stage: Stage) {
        if let Ok(at) = self.position(id) {
            self.rows[at].stage = stage;
        }
    }

    /// Removes an attempt and returns it.
    pub(super) fn remove(&mut self, id: &TaskId) -> Option<Entry> {
        let at = self.position(id).ok()?;
        Some(self.rows.remove(at))
    }

    /// Returns whether that attempt of a task is pending.
    pub(super) fn has(&self, run: &RunId, index: u32, attempt: u32) -> bool {
        let key = |e: &Entry| (e.id.index, e.id.attempt).cmp(&(index, attempt));
        let found = self
            .rows
            .binary_search_by(|e| e.id.run.cmp(run).then(key(e)));
        found.is_ok()
    }

    /// Returns all pending attempts.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.rows.iter()
    }

    /// Returns the identifier of the attempt that a placement of a job names.
    pub(super) fn id(run: &RunId, placement: &record::Placement) -> TaskId {
        TaskId {
            run: run.clone(),
            index: placement.index,
            attempt: placement.attempt,
        }
    }

    fn position(&self, id: &TaskId) -> Result<usize, usize> {
        self.rows.binary_search_by(|e| e.id.cmp(id))
    }
}
