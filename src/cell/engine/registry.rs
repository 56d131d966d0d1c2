//! Workers that come, change, leave and start anew.

use log::info;

use super::Engine;
use crate::cell::{
    books::Footing,
    job::WorkerKey,
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
    }

    /// Takes note that a worker's registration is gone.
    pub fn unregister(&mut self, id: &str) {
        let Some(key) = self.books.find(id) else {
            return;
        };
        let worker = &mut self.books.workers[key];
        info!(worker = id, runs = worker.runs.len(); "worker left the list");
        worker.listed = false;
        if worker.runs.is_empty() && !worker.busy {
            self.books.remove(key);
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
