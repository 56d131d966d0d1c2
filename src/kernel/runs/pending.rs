//! This instance's own claims, from the proposal until the worker is known to have them.

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

/// How far an own claim has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The claim is on its way to the log and back.
    Proposed {
        /// Since when.
        since: Millis,
    },
    /// It was won, and the start was handed out to be sent once.
    Sending {
        /// When.
        since: Millis,
    },
    /// The start was sent and got no answer: it counts as running.
    Unknown {
        /// When it was sent.
        since: Millis,
    },
}

/// One attempt that this instance has claimed or is about to.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    /// The attempt.
    pub(super) id: TaskId,
    /// Where.
    pub(super) worker: WorkerKey,
    /// The token under which alone it is started.
    pub(super) token: Token,
    /// How far it is.
    pub(super) stage: Stage,
}

/// The own claims that are under way, sorted by attempt.
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

    /// An attempt that is under way just as a placement of its job names it.
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

    /// Moves an attempt on.
    pub(super) fn set(&mut self, id: &TaskId, stage: Stage) {
        if let Ok(at) = self.position(id) {
            self.rows[at].stage = stage;
        }
    }

    /// Takes an attempt out.
    pub(super) fn remove(&mut self, id: &TaskId) -> Option<Entry> {
        let at = self.position(id).ok()?;
        Some(self.rows.remove(at))
    }

    /// Whether an attempt of that task is under way.
    pub(super) fn has(&self, run: &RunId, index: u32, attempt: u32) -> bool {
        let key = |e: &Entry| (e.id.index, e.id.attempt).cmp(&(index, attempt));
        let found = self
            .rows
            .binary_search_by(|e| e.id.run.cmp(run).then(key(e)));
        found.is_ok()
    }

    /// All attempts under way.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.rows.iter()
    }

    /// The attempt that a placement of a job names.
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
