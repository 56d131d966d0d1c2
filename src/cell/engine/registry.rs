//! Workers that come, change, leave and start anew.

use log::info;

use super::Engine;
use crate::cell::{
    books::Footing,
    job::WorkerKey,
    journal,
    model, //
};

impl Engine {
    /// Takes a worker's registration in.
    pub fn register(&mut self, entry: model::Registration) {
        let Some(key) = self.books.find(&entry.id) else {
            info!(worker = entry.id.as_str(), service = entry.service.as_str(), born = entry.born; "worker joined");
            self.books.add(entry);
            self.stale = true;
            return;
        };
        let worker = &self.books.workers[key];
        if entry.born < worker.born {
            return;
        }
        let worker = &mut self.books.workers[key];
        if entry.born > worker.born {
            // Orders that went out meanwhile may run in the new life: its own report tells.
            worker.fenced = false;
            worker.after = 0;
        }
        if worker.entry.standing != entry.standing {
            info!(worker = entry.id.as_str(), standing:? = entry.standing; "worker changed");
        }
        worker.listed = true;
        worker.superseded = false;
        worker.entry = entry;
        self.stale = true;
        self.unrecord(key);
    }

    /// Takes note that a worker's registration is gone.
    pub fn unregister(&mut self, id: &str) {
        let Some(key) = self.books.find(id) else {
            return;
        };
        let worker = &mut self.books.workers[key];
        info!(worker = id, runs = worker.runs.len(); "worker left the list");
        worker.listed = false;
        let runs = !worker.runs.is_empty();
        if runs && !worker.recorded && worker.entry.standing == model::Standing::Ready {
            // It may have lost the store alone and run on: a successor has to ask it as well.
            worker.recorded = true;
            self.unlisted.push(worker.entry.clone());
        }
        self.drop_empty(key);
    }

    /// Forgets a worker of which nothing is left, unless an earlier owner's runs may be there: it may
    /// have lost the store alone.
    pub(super) fn drop_empty(&mut self, key: WorkerKey) {
        let Some(worker) = self.books.workers.get(key) else {
            return;
        };
        let known = self.books.settled || worker.fenced || worker.superseded;
        let left = worker.entry.standing == model::Standing::Draining;
        if worker.is_spent() && (known || left) {
            self.drop_worker(key);
        }
    }

    /// Forgets a worker.
    pub(super) fn drop_worker(&mut self, key: WorkerKey) {
        self.unrecord(key);
        self.books.remove(key);
    }

    /// Drops the record of a worker without registration.
    fn unrecord(&mut self, key: WorkerKey) {
        let Some(worker) = self.books.workers.get_mut(key) else {
            return;
        };
        if std::mem::take(&mut worker.recorded) {
            self.unlisted.retain(|w| w.id != worker.entry.id);
            let record = journal::key(journal::Kind::Unlisted, &worker.entry.id);
            self.dropped.push(record);
        }
    }

    /// A new life answers for a worker, to a request sent at local time `sent`: what was confirmed
    /// before has ended. Later orders may have reached the new life, which tells.
    pub(super) fn reborn(&mut self, key: WorkerKey, born: u64, sent: u64, now: u64) {
        let worker = &mut self.books.workers[key];
        info!(worker = worker.entry.id.as_str(), born, before = worker.born, runs = worker.runs.len(); "worker started anew");
        worker.born = born;
        worker.fenced = false;
        worker.reading = None;
        worker.contact = 0;
        worker.lapses = 0;
        worker.batch = 0;
        (worker.taken, worker.acknowledged) = (0, 0);
        worker.after = 0;
        worker.silent = None;
        worker.suspended = 0;
        let runs = worker.runs.clone();
        for key in runs {
            let run = &self.books.runs[key];
            if matches!(run.footing, Footing::Confirmed(at) if at < sent) {
                self.ended(key, model::How::Lapsed, "", now);
            }
        }
        self.stale = true;
    }
}
