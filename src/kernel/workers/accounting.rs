//! Keeps the free resources, the index of workers and the sums of slots consistent.

use crate::kernel::{
    WorkerKey,
    workers::{
        Workers,
        worker, //
    }, //
};

impl Workers {
    /// Updates the free resources of a worker, its position in the index and the sums of slots.
    pub(super) fn update_free(&mut self, key: WorkerKey) {
        let Some(entry) = self.arena.get_mut(key) else {
            return;
        };
        entry.update_free(&self.request_demand);
        let total = entry.capacity.slots;
        let used = total - entry.free.slots.min(total);
        let wanted = entry.usable().then_some(entry.free.slots);
        if let Some(old) = entry.indexed {
            self.used_slots -= old.used;
            self.total_slots -= old.total;
        }
        let stays = match (entry.indexed, wanted) {
            (Some(old), Some(slots)) => self.index.fits(old.position, slots),
            (None, None) => true,
            _ => false,
        };
        if !stays {
            self.reindex(key, wanted);
        }
        if let Some(entry) = self.arena.get_mut(key)
            && let Some(new) = &mut entry.indexed
        {
            new.used = used;
            new.total = total;
            self.used_slots += used;
            self.total_slots += total;
        }
    }

    /// Removes a worker from the index and, if it is usable, adds it again with `wanted` free
    /// slots.
    pub(super) fn reindex(&mut self, key: WorkerKey, wanted: Option<u32>) {
        let old = self
            .arena
            .get_mut(key)
            .and_then(|entry| entry.indexed.take());
        if let Some(old) = old
            && let Some(moved) = self.index.remove(old.position)
            && let Some(other) = self.arena.get_mut(moved)
            && let Some(moved_entry) = &mut other.indexed
        {
            moved_entry.position = old.position;
        }
        let Some(slots) = wanted else {
            return;
        };
        let position = self.index.add(key, slots);
        if let Some(entry) = self.arena.get_mut(key) {
            entry.indexed = Some(worker::IndexEntry {
                position,
                used: 0,
                total: 0,
            });
        }
    }
}
