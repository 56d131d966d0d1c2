//! Finds held workers with enough free resources for a request or task, and reserves resources.

use crate::{
    ids::{
        Millis,
        RackId, //
    },
    kernel::{
        Offer,
        WorkerKey,
        WorkerPool,
        workers::{
            Workers,
            worker::Worker, //
        }, //
    },
    resources::Resources, //
};

/// Maximum number of workers examined for each offered worker, which bounds the cost of a decision.
const MAX_PROBES_PER_OFFER: usize = 16;

/// Lower limit for the number of workers that may be examined in a decision.
const MIN_PROBES: usize = 64;

impl WorkerPool for Workers {
    fn sample(
        &self,
        now: Millis,
        demand: &Resources,
        random: u64,
        most: usize,
        offers: &mut Vec<Offer>,
    ) {
        let found = self.index.from_random(demand.slots, random);
        offers.extend(self.offers(now, demand, most, found));
    }

    fn reserve(&mut self, worker: WorkerKey, demand: &Resources) -> bool {
        let Some(entry) = self.arena.get_mut(worker) else {
            return false;
        };
        if !entry.usable() || !demand.fits(&entry.free) {
            return false;
        }
        entry.take_request(demand);
        self.update_free(worker);
        true
    }

    fn release(&mut self, worker: WorkerKey, demand: &Resources) {
        if let Some(entry) = self.arena.get_mut(worker) {
            entry.release_request(demand);
            self.update_free(worker);
        }
    }

    fn slots(&self) -> (u32, u32) {
        (self.used_slots, self.total_slots)
    }
}

impl Workers {
    /// Like [`WorkerPool::sample`], but the workers with the fewest free slots come first.
    pub fn sample_tight(
        &self,
        now: Millis,
        demand: &Resources,
        random: u64,
        most: usize,
        offers: &mut Vec<Offer>,
    ) {
        let found = self.index.tightest(demand.slots, random);
        offers.extend(self.offers(now, demand, most, found));
    }

    /// Like [`WorkerPool::sample`], but only among the workers of one rack.
    pub fn sample_rack(
        &self,
        now: Millis,
        demand: &Resources,
        rack: &RackId,
        most: usize,
        offers: &mut Vec<Offer>,
    ) {
        let found = self.rack(rack).iter().copied();
        let usable = found.filter(|key| self.arena.get(*key).is_some_and(Worker::usable));
        offers.extend(self.offers(now, demand, most, usable));
    }

    fn offers<'a>(
        &'a self,
        now: Millis,
        demand: &'a Resources,
        most: usize,
        found: impl Iterator<Item = WorkerKey> + 'a,
    ) -> impl Iterator<Item = Offer> + 'a {
        let probes = MIN_PROBES.max(most.saturating_mul(MAX_PROBES_PER_OFFER));
        let found = found.take(probes);
        let offers = found.filter_map(move |worker| {
            let entry = self.arena.get(worker)?;
            entry.valid(now)?;
            demand.fits(&entry.free).then_some(Offer {
                worker,
                free: entry.free,
                capacity: entry.capacity,
            })
        });
        offers.take(most)
    }
}
