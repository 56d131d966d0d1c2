//! Reserves one worker for a large task that has waited for long.
//!
//! Small tasks use free resources as soon as they appear, so that without a reservation no worker
//! would ever have enough free resources for a large task.

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

/// Milliseconds that a task waits before a worker is reserved for it.
const RESERVE_AFTER_MS: u64 = 2_000;

/// Maximum duration of a reservation in milliseconds.
const MAX_RESERVED_MS: u64 = 30_000;

/// Maximum number of workers examined for a reservation.
const MAX_PROBES: usize = 256;

/// The current reservation, if any.
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
    /// Returns whether a worker is reserved for another job.
    pub(super) fn blocks(&self, run: &RunId, worker: WorkerKey) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|r| r.worker == worker && r.run != *run)
    }

    /// Records that a task of a job could not be placed after `waited` milliseconds, and reserves a
    /// worker if none is reserved.
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

    /// Ends the reservation of a job, one of whose tasks was placed.
    pub(super) fn note_placed(&mut self, run: &RunId) {
        self.current.take_if(|r| r.run == *run);
    }

    /// Ends an expired reservation.
    pub(super) fn tick(&mut self, now: Millis) {
        self.current
            .take_if(|r| now.since(r.since) >= MAX_RESERVED_MS);
    }
}

/// Returns the free resources of a worker, summed over dimensions, in thousandths of the capacity.
fn free_share(free: Resources, capacity: Resources) -> u64 {
    let shares = free.parts().into_iter().zip(capacity.parts());
    shares
        .filter(|(_, all)| *all > 0)
        .map(|(free, all)| u64::from(free) * 1_000 / u64::from(all))
        .sum()
}
