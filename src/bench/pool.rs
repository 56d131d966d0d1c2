//! An in-memory worker pool for benchmarks and tests.

use slotmap::SlotMap;

use crate::{
    ids::Millis,
    kernel::{
        Offer,
        WorkerKey,
        WorkerPool, //
    },
    resources::Resources, //
};

/// Workers and their free resources.
#[derive(Debug, Default)]
pub struct Pool {
    workers: SlotMap<WorkerKey, Worker>,
    available: Vec<WorkerKey>,
    reserved: u32,
    total: u32,
    accounting_errors: u32,
}

#[derive(Debug)]
struct Worker {
    capacity: Resources,
    free: Resources,
    /// Index in the list of workers with a free slot; none when no slot is free.
    position: Option<usize>,
}

impl Pool {
    /// Creates a pool of `count` workers of equal capacity.
    #[must_use]
    pub fn new(count: usize, capacity: Resources) -> Self {
        let mut pool = Self::default();
        for _ in 0..count {
            pool.add(capacity);
        }
        pool
    }

    /// Adds a worker and returns its key.
    pub fn add(&mut self, capacity: Resources) -> WorkerKey {
        let key = self.workers.insert(Worker {
            capacity,
            free: capacity,
            position: Some(self.available.len()),
        });
        self.available.push(key);
        self.total += capacity.slots;
        key
    }

    /// Removes a worker without reservations.
    pub fn remove(&mut self, key: WorkerKey) {
        self.mark_full(key);
        if let Some(worker) = self.workers.remove(key) {
            self.total -= worker.capacity.slots;
        }
    }

    /// Returns the keys of all workers.
    #[must_use]
    pub fn keys(&self) -> Vec<WorkerKey> {
        self.workers.keys().collect()
    }

    /// Returns the free resources of a worker; zero for an unknown key.
    #[must_use]
    pub fn free(&self, key: WorkerKey) -> Resources {
        self.workers.get(key).map(|w| w.free).unwrap_or_default()
    }

    /// Returns how often more was reserved or released than was available or reserved.
    #[must_use]
    pub fn accounting_errors(&self) -> u32 {
        self.accounting_errors
    }

    fn mark_full(&mut self, key: WorkerKey) {
        let Some(position) = self.workers.get_mut(key).and_then(|w| w.position.take()) else {
            return;
        };
        self.available.swap_remove(position);
        let Some(moved) = self.available.get(position) else {
            return;
        };
        if let Some(entry) = self.workers.get_mut(*moved) {
            entry.position = Some(position);
        }
    }

    fn mark_available(&mut self, key: WorkerKey) {
        let Some(entry) = self.workers.get_mut(key) else {
            return;
        };
        if entry.position.is_none() {
            entry.position = Some(self.available.len());
            self.available.push(key);
        }
    }
}

impl WorkerPool for Pool {
    fn sample(
        &self,
        _now: Millis,
        demand: &Resources,
        random: u64,
        most: usize,
        offers: &mut Vec<Offer>,
    ) {
        let count = self.available.len();
        if count == 0 {
            return;
        }
        let start = (random % count as u64) as usize;
        let wanted = offers.len() + most;
        let order = self.available[start..]
            .iter()
            .chain(&self.available[..start]);
        for key in order {
            let Some(entry) = self.workers.get(*key) else {
                continue;
            };
            if !demand.fits(&entry.free) {
                continue;
            }
            offers.push(Offer {
                worker: *key,
                free: entry.free,
                capacity: entry.capacity,
            });
            if offers.len() >= wanted {
                return;
            }
        }
    }

    fn reserve(&mut self, worker: WorkerKey, demand: &Resources) -> bool {
        let Some(entry) = self.workers.get_mut(worker) else {
            return false;
        };
        let Some(left) = entry.free.minus(demand) else {
            self.accounting_errors += 1;
            return false;
        };
        entry.free = left;
        self.reserved += demand.slots;
        if left.slots == 0 {
            self.mark_full(worker);
        }
        true
    }

    fn release(&mut self, worker: WorkerKey, demand: &Resources) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let free = entry.free.plus(demand);
        if !free.fits(&entry.capacity) {
            self.accounting_errors += 1;
            return;
        }
        entry.free = free;
        self.reserved -= demand.slots;
        self.mark_available(worker);
    }

    fn slots(&self) -> (u32, u32) {
        (self.reserved, self.total)
    }
}
