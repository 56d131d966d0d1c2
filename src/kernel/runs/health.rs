//! Ejects workers with a high share of failed tasks for a limited time (outlier ejection).

use crate::{
    ids::{
        Millis,
        RunId, //
    },
    kernel::{
        WorkerKey,
        workers::Workers, //
    }, //
};

/// Milliseconds for which an ejected worker receives no tasks.
const EJECTION_MS: u64 = 10_000;

/// Share of the limit to which the error average of a returning worker is lowered, so that the
/// next failure ejects the worker again.
const PROBATION_SHARE: f64 = 0.9;

/// A worker with recent failures.
#[derive(Debug, Clone)]
struct FailingWorker {
    worker: WorkerKey,
    last_run: RunId,
    ejected_until: Option<Millis>,
}

/// Workers with recent failures, sorted by key.
#[derive(Debug, Default)]
pub(super) struct Health {
    rows: Vec<FailingWorker>,
}

impl Health {
    /// Records the outcome of a task. Consecutive failures of the same job on a worker count once,
    /// so that a single faulty job does not eject a worker.
    pub(super) fn record_outcome(
        &mut self,
        workers: &mut Workers,
        worker: WorkerKey,
        run: &RunId,
        failed: bool,
    ) {
        let found = self.rows.binary_search_by(|row| row.worker.cmp(&worker));
        if !failed {
            workers.record_outcome(worker, false);
            if let Ok(at) = found {
                self.rows.remove(at);
            }
            return;
        }
        match found {
            Ok(at) if self.rows[at].last_run == *run => return,
            Ok(at) => self.rows[at].last_run = run.clone(),
            Err(at) => {
                let last_run = run.clone();
                let ejected_until = None;
                self.rows.insert(
                    at,
                    FailingWorker {
                        worker,
                        last_run,
                        ejected_until,
                    },
                );
            }
        }
        workers.record_outcome(worker, true);
    }

    /// Ejects workers whose share of failures is at least `limit`, while at most the share
    /// `max_ejected` of all usable workers is ejected.
    pub(super) fn tick(
        &mut self,
        now: Millis,
        workers: &mut Workers,
        limit: f64,
        max_ejected: f64,
    ) {
        self.rows.retain(|row| workers.get(row.worker).is_some());
        for row in &mut self.rows {
            if row.ejected_until.take_if(|until| now >= *until).is_some() {
                workers.cap_errors(row.worker, limit * PROBATION_SHARE);
            }
        }
        let mut ejected = self
            .rows
            .iter()
            .filter(|row| row.ejected_until.is_some())
            .count();
        let most = share_of(workers.usable_count(), max_ejected);
        for row in &mut self.rows {
            let errors = workers.get(row.worker).map_or(0.0, |w| w.errors);
            if row.ejected_until.is_some() || errors < limit || ejected >= most {
                continue;
            }
            row.ejected_until = Some(now.plus(EJECTION_MS));
            ejected += 1;
        }
    }

    /// Returns whether a worker is ejected at `now`.
    pub(super) fn is_ejected(&self, now: Millis, worker: WorkerKey) -> bool {
        let found = self.rows.binary_search_by(|row| row.worker.cmp(&worker));
        let until = found.ok().and_then(|at| self.rows[at].ejected_until);
        until.is_some_and(|until| now < until)
    }
}

/// Returns the share `part` of `count`, rounded down.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts of workers are small and shares lie between 0 and 1"
)]
fn share_of(count: usize, part: f64) -> usize {
    (count as f64 * part) as usize
}
