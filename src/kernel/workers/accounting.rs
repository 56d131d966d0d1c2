//! Keeps the index of free room and its sums in step with the workers.

use crate::kernel::{
    WorkerKey,
    workers::{
        Workers,
        worker, //
    }, //
};

impl Workers {
    /// Brings a worker's free room, its place in the index and the sums up to date.
    pub(super) fn settle(&mut self, key: WorkerKey) {
        let Some(entry) = self.arena.get_mut(key) else {
            return;
        };
        entry.settle_account(&self.unit);
        let total = entry.capacity.slots;
        let taken = total - entry.free.slots.min(total);
        let wanted = entry.usable().then_some(entry.free.slots);
        if let Some(old) = entry.spot {
            self.taken -= old.taken;
            self.total -= old.total;
        }
        let stays = match (entry.spot, wanted) {
            (Some(old), Some(slots)) => self.index.fits(old.spot, slots),
            (None, None) => true,
            _ => false,
        };
        if !stays {
            self.move_spot(key, wanted);
        }
        if let Some(entry) = self.arena.get_mut(key)
            && let Some(new) = &mut entry.spot
        {
            new.taken = taken;
            new.total = total;
            self.taken += taken;
            self.total += total;
        }
    }

    /// Takes a worker out of the index, and puts it in again when it is usable.
    pub(super) fn move_spot(&mut self, key: WorkerKey, wanted: Option<u32>) {
        let old = self.arena.get_mut(key).and_then(|entry| entry.spot.take());
        if let Some(old) = old
            && let Some(moved) = self.index.remove(old.spot)
            && let Some(other) = self.arena.get_mut(moved)
            && let Some(spot) = &mut other.spot
        {
            spot.spot = old.spot;
        }
        let Some(slots) = wanted else {
            return;
        };
        let spot = self.index.add(key, slots);
        if let Some(entry) = self.arena.get_mut(key) {
            entry.spot = Some(worker::Counted {
                spot,
                taken: 0,
                total: 0,
            });
        }
    }
}
