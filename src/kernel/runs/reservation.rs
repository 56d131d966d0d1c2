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
const WAIT: u64 = 2_000;

/// How long a worker is kept at most, in milliseconds.
const MOST: u64 = 30_000;

/// Workers looked at for the one that is kept.
const PROBES: usize = 256;

/// The worker that is kept, if any.
#[derive(Debug, Default)]
pub(super) struct Hold {
    kept: Option<Kept>,
}

#[derive(Debug)]
struct Kept {
    run: RunId,
    worker: WorkerKey,
    since: Millis,
}

impl Hold {
    /// Whether a worker is kept for another job.
    pub(super) fn blocks(&self, run: &RunId, worker: WorkerKey) -> bool {
        let kept = self.kept.as_ref();
        kept.is_some_and(|k| k.worker == worker && k.run != *run)
    }

    /// Notes that a job's task found no room after it has waited.
    pub(super) fn missed(
        &mut self,
        now: Millis,
        run: &RunId,
        demand: &Resources,
        waited: u64,
        workers: &Workers,
    ) {
        if waited < WAIT || self.kept.is_some() {
            return;
        }
        let usable = workers.iter().filter(|(_, w)| w.usable());
        let fitting = usable.filter(|(_, w)| demand.fits(&w.capacity));
        let freest = fitting
            .take(PROBES)
            .max_by_key(|(_, w)| free(w.free, w.capacity));
        self.kept = freest.map(|(worker, _)| Kept {
            run: run.clone(),
            worker,
            since: now,
        });
    }

    /// Notes that a task of a job was placed.
    pub(super) fn placed(&mut self, run: &RunId) {
        self.kept.take_if(|kept| kept.run == *run);
    }

    /// Lets the worker go after a while.
    pub(super) fn tick(&mut self, now: Millis) {
        self.kept.take_if(|kept| now.since(kept.since) >= MOST);
    }
}

/// The room of a worker: the sum over dimensions, in thousandths of the capacity.
fn free(free: Resources, capacity: Resources) -> u64 {
    let shares = free.parts().into_iter().zip(capacity.parts());
    shares
        .filter(|(_, all)| *all > 0)
        .map(|(free, all)| u64::from(free) * 1_000 / u64::from(all))
        .sum()
}
