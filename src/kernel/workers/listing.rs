//! Updates the table from the platform's list of workers and from the capacities in reports.

use crate::{
    ids::{
        Millis,
        RackId,
        WorkerId, //
    },
    kernel::{
        WorkerKey,
        workers::{
            Workers,
            worker::Worker, //
        }, //
    },
    resources::Resources,
    wire::list, //
};

impl Workers {
    /// Applies the list of the platform: adds, updates and removes workers.
    pub fn listed(&mut self, now: Millis, listing: &list::Listing) {
        let mut count = 0;
        for instance in &listing.instances {
            if instance.role != list::Role::Worker {
                continue;
            }
            let found = self
                .ids
                .binary_search_by(|e| e.0.as_str().cmp(&instance.id));
            match found {
                Ok(at) => self.update(now, self.ids[at].1, instance),
                Err(at) => self.insert(now, at, instance),
            }
            count += 1;
        }
        if count != self.ids.len() {
            self.remove_unlisted(listing);
        }
    }

    /// Returns the workers of a rack.
    #[must_use]
    pub fn rack(&self, rack: &RackId) -> &[WorkerKey] {
        match self.racks.binary_search_by(|r| r.0.cmp(rack)) {
            Ok(at) => &self.racks[at].1,
            Err(_) => &[],
        }
    }

    /// Returns the distinct reported capacities, each with the number of workers that have it.
    #[must_use]
    pub fn shapes(&self) -> &[(Resources, u32)] {
        &self.shapes
    }

    fn insert(&mut self, now: Millis, at: usize, instance: &list::Instance) {
        let Ok(id) = WorkerId::try_from(instance.id.clone()) else {
            return;
        };
        let key = self.arena.insert(Worker::new(now, id.clone(), instance));
        self.ids.insert(at, (id, key));
        match self.racks.binary_search_by(|r| r.0.cmp(&instance.rack)) {
            Ok(at) => self.racks[at].1.push(key),
            Err(at) => self.racks.insert(at, (instance.rack.clone(), vec![key])),
        }
    }

    fn update(&mut self, now: Millis, key: WorkerKey, instance: &list::Instance) {
        let Some(entry) = self.arena.get_mut(key) else {
            return;
        };
        let same =
            instance.incarnation == entry.incarnation && instance.state == entry.listed_state;
        if instance.incarnation < entry.incarnation || (same && instance.address == entry.address) {
            return;
        }
        let ended = instance.state == list::State::Gone || instance.incarnation > entry.incarnation;
        entry.listed_state = instance.state;
        if instance.state != list::State::Live {
            entry.left = entry.left.max(Some(instance.incarnation));
        }
        entry.incarnation = instance.incarnation;
        entry.address = instance.address.clone();
        if ended {
            entry.end_incarnation(now);
        }
        self.update_free(key);
    }

    /// Removes workers that are no longer listed and on which nothing depends.
    fn remove_unlisted(&mut self, listing: &list::Listing) {
        let listed = |id: &WorkerId| {
            let found = listing
                .instances
                .binary_search_by(|i| i.id.as_str().cmp(id.as_str()));
            found.is_ok()
        };
        let arena = &self.arena;
        let idle = |key: WorkerKey| arena.get(key).is_none_or(Worker::idle);
        let gone = self.ids.iter().filter(|e| !listed(&e.0) && idle(e.1));
        let gone: Vec<_> = gone.map(|e| e.1).collect();
        for key in gone {
            self.reindex(key, None);
            self.arena.remove(key);
        }
        self.ids.retain(|e| self.arena.contains_key(e.1));
        for rack in &mut self.racks {
            rack.1.retain(|key| self.arena.contains_key(*key));
        }
        self.racks.retain(|rack| !rack.1.is_empty());
    }

    /// Counts a worker under the capacity that it reported, and no longer under its previous one.
    pub(super) fn count_shape(&mut self, key: WorkerKey, capacity: Resources) {
        let Some(entry) = self.arena.get_mut(key) else {
            return;
        };
        let old = entry.shape.replace(capacity);
        if old == Some(capacity) {
            return;
        }
        if let Some(row) = self.shapes.iter_mut().find(|s| Some(s.0) == old) {
            row.1 -= 1;
        }
        match self.shapes.iter_mut().find(|s| s.0 == capacity) {
            Some(row) => row.1 += 1,
            None => self.shapes.push((capacity, 1)),
        }
        self.shapes.retain(|s| s.1 > 0);
    }
}
