//! Workers that fail what they start, and for how long they get no tasks.

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

/// How long an ejected worker gets no tasks, in milliseconds.
const PAUSE: u64 = 10_000;

/// The share of the limit that a worker's error average has when it comes back: the next failure
/// ejects it again.
const PROBATION: f64 = 0.9;

/// What is known of one worker.
#[derive(Debug, Clone)]
struct Row {
    worker: WorkerKey,
    last: RunId,
    out: Option<Millis>,
}

/// The workers that failed tasks lately, sorted.
#[derive(Debug, Default)]
pub(super) struct Health {
    rows: Vec<Row>,
}

impl Health {
    /// Counts the end of a task. A job that fails again on the same worker counts once in a row,
    /// so that one bad job ejects none.
    pub(super) fn ended(
        &mut self,
        workers: &mut Workers,
        worker: WorkerKey,
        run: &RunId,
        failed: bool,
    ) {
        let found = self.rows.binary_search_by(|row| row.worker.cmp(&worker));
        if !failed {
            workers.outcome(worker, false);
            if let Ok(at) = found {
                self.rows.remove(at);
            }
            return;
        }
        match found {
            Ok(at) if self.rows[at].last == *run => return,
            Ok(at) => self.rows[at].last = run.clone(),
            Err(at) => {
                let last = run.clone();
                let out = None;
                self.rows.insert(at, Row { worker, last, out });
            }
        }
        workers.outcome(worker, true);
    }

    /// Ejects workers whose share of failures is at least `limit`, as long as no more than the
    /// share `floor` of all is out.
    pub(super) fn tick(&mut self, now: Millis, workers: &mut Workers, limit: f64, floor: f64) {
        self.rows.retain(|row| workers.get(row.worker).is_some());
        for row in &mut self.rows {
            if row.out.take_if(|until| now >= *until).is_some() {
                workers.forgive(row.worker, limit * PROBATION);
            }
        }
        let mut out = self.rows.iter().filter(|row| row.out.is_some()).count();
        let most = share(workers.held(), floor);
        for row in &mut self.rows {
            let errors = workers.get(row.worker).map_or(0.0, |w| w.errors);
            if row.out.is_some() || errors < limit || out >= most {
                continue;
            }
            row.out = Some(now.plus(PAUSE));
            out += 1;
        }
    }

    /// Whether a worker gets no tasks at `now`.
    pub(super) fn ejected(&self, now: Millis, worker: WorkerKey) -> bool {
        let found = self.rows.binary_search_by(|row| row.worker.cmp(&worker));
        let out = found.ok().and_then(|at| self.rows[at].out);
        out.is_some_and(|until| now < until)
    }
}

/// The whole part of a share of a count.
#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts of workers are small and shares lie between 0 and 1"
)]
fn share(count: usize, part: f64) -> usize {
    (count as f64 * part) as usize
}
