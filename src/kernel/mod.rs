//! Scheduling logic without side effects: every function works on a state, and the time and random
//! numbers are passed in. Nothing here does I/O, reads a clock or draws randomness on its own.

pub mod members;
pub mod runs;
pub mod tally;
pub mod workers;

use crate::{
    ids::Millis,
    resources::Resources, //
};

pub mod requests;

slotmap::new_key_type! {
    /// Arena key of a worker at this instance.
    pub struct WorkerKey;
}

/// A worker whose free resources fit a demand.
#[derive(Debug, Clone, Copy)]
pub struct Offer {
    /// Key of the worker.
    pub worker: WorkerKey,
    /// Resources that are free on the worker.
    pub free: Resources,
    /// Total resources of the worker.
    pub capacity: Resources,
}

/// Free resources of the workers whose placement leases this instance holds.
///
/// The lease table implements it; tests and benchmarks use an in-memory pool.
pub trait WorkerPool {
    /// Appends to `offers` up to `most` workers that fit `demand` and may be used at `now`. The
    /// scan of the workers starts at a position that `random` selects.
    fn sample(
        &self,
        now: Millis,
        demand: &Resources,
        random: u64,
        most: usize,
        offers: &mut Vec<Offer>,
    );

    /// Reserves `demand` on a worker. Returns `false` if it does not fit.
    fn reserve(&mut self, worker: WorkerKey, demand: &Resources) -> bool;

    /// Releases `demand` that was reserved on a worker.
    fn release(&mut self, worker: WorkerKey, demand: &Resources);

    /// Number of reserved slots on all workers together, and the total number of slots.
    fn slots(&self) -> (u32, u32);
}
