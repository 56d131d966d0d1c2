//! Room on workers, kept in memory alone.

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

/// Workers and what is free on them.
#[derive(Debug, Default)]
pub struct Pool {
    workers: SlotMap<WorkerKey, Node>,
    open: Vec<WorkerKey>,
    held: u32,
    total: u32,
    faults: u32,
}

#[derive(Debug)]
struct Node {
    capacity: Resources,
    free: Resources,
    /// The place among the workers with a free slot.
    place: Option<usize>,
}

impl Pool {
    /// So many workers of the same capacity.
    #[must_use]
    pub fn new(count: usize, capacity: Resources) -> Self {
        let mut pool = Self::default();
        for _ in 0..count {
            pool.add(capacity);
        }
        pool
    }

    /// Adds a worker.
    pub fn add(&mut self, capacity: Resources) -> WorkerKey {
        let key = self.workers.insert(Node {
            capacity,
            free: capacity,
            place: Some(self.open.len()),
        });
        self.open.push(key);
        self.total += capacity.slots;
        key
    }

    /// All workers.
    #[must_use]
    pub fn keys(&self) -> Vec<WorkerKey> {
        self.workers.keys().collect()
    }

    /// What is free on a worker.
    #[must_use]
    pub fn free(&self, key: WorkerKey) -> Resources {
        self.workers.get(key).map(|n| n.free).unwrap_or_default()
    }

    /// How often more was taken or given back than there was.
    #[must_use]
    pub fn faults(&self) -> u32 {
        self.faults
    }

    fn close(&mut self, key: WorkerKey) {
        let Some(place) = self.workers.get_mut(key).and_then(|n| n.place.take()) else {
            return;
        };
        self.open.swap_remove(place);
        let Some(moved) = self.open.get(place) else {
            return;
        };
        if let Some(node) = self.workers.get_mut(*moved) {
            node.place = Some(place);
        }
    }

    fn reopen(&mut self, key: WorkerKey) {
        let Some(node) = self.workers.get_mut(key) else {
            return;
        };
        if node.place.is_none() {
            node.place = Some(self.open.len());
            self.open.push(key);
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
        let count = self.open.len();
        if count == 0 {
            return;
        }
        let start = (random % count as u64) as usize;
        let wanted = offers.len() + most;
        let order = self.open[start..].iter().chain(&self.open[..start]);
        for key in order {
            let Some(node) = self.workers.get(*key) else {
                continue;
            };
            if !demand.fits(&node.free) {
                continue;
            }
            offers.push(Offer {
                worker: *key,
                free: node.free,
                capacity: node.capacity,
            });
            if offers.len() >= wanted {
                return;
            }
        }
    }

    fn reserve(&mut self, worker: WorkerKey, demand: &Resources) -> bool {
        let Some(node) = self.workers.get_mut(worker) else {
            return false;
        };
        let Some(left) = node.free.minus(demand) else {
            self.faults += 1;
            return false;
        };
        node.free = left;
        self.held += demand.slots;
        if left.slots == 0 {
            self.close(worker);
        }
        true
    }

    fn release(&mut self, worker: WorkerKey, demand: &Resources) {
        let Some(node) = self.workers.get_mut(worker) else {
            return;
        };
        let free = node.free.plus(demand);
        if !free.fits(&node.capacity) {
            self.faults += 1;
            return;
        }
        node.free = free;
        self.held -= demand.slots;
        self.reopen(worker);
    }

    fn slots(&self) -> (u32, u32) {
        (self.held, self.total)
    }
}
