//! Keeps one worker free of other tasks for a large task that waits for long.
//!
//! Small tasks take room as soon as it is there, so that a worker on which a large one fits would
//! never come about by itself.

use crate::{
    ids::{
        Millis,
        RunId, //
    },
    kernel::{
        WorkerKey,
        workers::Workers, //
    },
    resources::Resources, //
};

/// How long a task waits before a worker is kept for it, in milliseconds.
const RESERVE_AFTER_MS: u64 = 2_000;

/// How long a worker is kept at most, in milliseconds.
const MAX_RESERVED_MS: u64 = 30_000;

/// Workers looked at for the one that is kept.
const MAX_PROBES: usize = 256;

/// The worker that is kept, if any.
#[derive(Debug, Default)]
pub(super) struct Reservation {
    current: Option<Reserved>,
}

#[derive(Debug)]
struct Reserved {
    run: RunId,
    worker: WorkerKey,
    since: Millis,
}

impl Reservation {
    /// Whether a worker is kept for another job.
    pub(super) fn blocks(&self, run: &RunId, worker: WorkerKey) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|r| r.worker == worker && r.run != *run)
    }

    /// Notes that a job's task found no room after it has waited.
    pub(super) fn note_unplaced(
        &mut self,
        now: Millis,
        run: &RunId,
        demand: &Resources,
        waited: u64,
        workers: &Workers,
    ) {
        if waited < RESERVE_AFTER_MS || self.current.is_some() {
            return;
        }
        let usable = workers.iter().filter(|(_, w)| w.usable());
        let fitting = usable.filter(|(_, w)| demand.fits(&w.capacity));
        let freest = fitting
            .take(MAX_PROBES)
            .max_by_key(|(_, w)| free_share(w.free, w.capacity));
        self.current = freest.map(|(worker, _)| Reserved {
            run: run.clone(),
            worker,
            since: now,
        });
    }

    /// Notes that a task of a job was placed.
    pub(super) fn note_placed(&mut self, run: &RunId) {
        self.current.take_if(|r| r.run == *run);
    }

    /// Lets the worker go after a while.
    pub(super) fn tick(&mut self, now: Millis) {
        self.current
            .take_if(|r| now.since(r.since) >= MAX_RESERVED_MS);
    }
}

/// The room of a worker: the sum over dimensions, in thousandths of the capacity.
fn free_share(free: Resources, capacity: Resources) -> u64 {
    let shares = free.parts().into_iter().zip(capacity.parts());
    shares
        .filter(|(_, all)| *all > 0)
        .map(|(free, all)| u64::from(free) * 1_000 / u64::from(all))
        .sum()
}
