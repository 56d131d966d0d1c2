//! Decisions as pure functions over a state and a clock. No I/O, no clock reads, no randomness that
//! is not passed in.

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
    /// A worker in this instance's arena.
    pub struct WorkerKey;
}

/// A worker with room for some demand.
#[derive(Debug, Clone, Copy)]
pub struct Offer {
    /// Which.
    pub worker: WorkerKey,
    /// What is free on it.
    pub free: Resources,
    /// What it has in all.
    pub capacity: Resources,
}

/// The room on the workers whose placement leases this instance holds.
///
/// Implemented by the lease table; tests use a small fake.
pub trait WorkerPool {
    /// Adds to `offers` up to `most` workers that have room for `demand` and may be used at `now`,
    /// in an order that starts at a place chosen by `random`.
    fn sample(
        &self,
        now: Millis,
        demand: &Resources,
        random: u64,
        most: usize,
        offers: &mut Vec<Offer>,
    );

    /// Takes `demand` from a worker's room. Returns whether it fitted.
    fn reserve(&mut self, worker: WorkerKey, demand: &Resources) -> bool;

    /// Gives `demand` back to a worker's room.
    fn release(&mut self, worker: WorkerKey, demand: &Resources);

    /// Slots that are held on all workers together, and slots in all.
    fn slots(&self) -> (u32, u32);
}
