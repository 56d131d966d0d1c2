//! Workers that come, change, leave and start anew.

use log::info;

use super::Engine;
use crate::cell::{
    cluster::RunState,
    job::WorkerKey,
    journal,
    model, //
};

impl Engine {
    /// Takes a worker's registration in.
    pub fn register(&mut self, entry: model::Registration) {
        let Some(key) = self.cluster.find_worker(&entry.id) else {
            info!(worker = entry.id.as_str(), service = entry.service.as_str(), born = entry.incarnation; "worker joined");
            let key = self.cluster.add_worker(entry);
            self.store_registration(key);
            self.pass_needed = true;
            return;
        };
        let worker = &self.cluster.workers[key];
        if entry.incarnation < worker.incarnation {
            return;
        }
        let worker = &mut self.cluster.workers[key];
        if entry.incarnation > worker.incarnation {
            // Orders that went out meanwhile may run in the new life: its own report tells.
            worker.fenced = false;
            worker.poll_after = 0;
        }
        if worker.registration.availability != entry.availability {
            info!(worker = entry.id.as_str(), standing:? = entry.availability; "worker changed");
        }
        worker.registered = true;
        worker.superseded = false;
        worker.registration = entry;
        self.pass_needed = true;
        self.store_registration(key);
    }

    /// Takes note that a worker's registration is gone.
    pub fn unregister(&mut self, id: &str) {
        let Some(key) = self.cluster.find_worker(id) else {
            return;
        };
        let worker = &mut self.cluster.workers[key];
        info!(worker = id, runs = worker.runs.len(); "worker left the list");
        worker.registered = false;
        self.remove_if_empty(key);
    }

    /// Has the registration of a worker stored, so that a later owner asks the worker about its runs
    /// even if it has lost its registration by then.
    fn store_registration(&mut self, key: WorkerKey) {
        let worker = &mut self.cluster.workers[key];
        let same = |record: &model::Registration| {
            (record.incarnation, &record.address)
                == (
                    worker.registration.incarnation,
                    &worker.registration.address,
                )
        };
        if worker.stored_registration.as_ref().is_some_and(same) {
            return;
        }
        worker.stored_registration = Some(worker.registration.clone());
        worker.record_batch = u64::MAX;
        if !self.unstored_workers.contains(&key) {
            self.unstored_workers.push(key);
        }
    }

    /// Forgets a worker of which nothing is left, unless ends that it listed are not stored yet, or
    /// an earlier owner's runs may be there.
    pub(super) fn remove_if_empty(&mut self, key: WorkerKey) {
        let Some(worker) = self.cluster.workers.get(key) else {
            return;
        };
        let known = self.cluster.reconciled || worker.fenced || worker.superseded;
        let left = worker.registration.availability == model::Availability::Draining;
        if !worker.is_removable() || worker.outcome_batch > self.durable_batch || !known && !left {
            return;
        }
        if worker.stored_registration.is_some() {
            let record = journal::key(journal::Kind::Worker, &worker.registration.id);
            self.dropped_keys.push(record);
        }
        self.cluster.remove_worker(key);
    }

    /// A new life answers for a worker, to a request sent at local time `sent`: what was confirmed
    /// before has ended. Later orders may have reached the new life, which tells.
    pub(super) fn change_incarnation(&mut self, key: WorkerKey, born: u64, sent: u64, now: u64) {
        let worker = &mut self.cluster.workers[key];
        info!(worker = worker.registration.id.as_str(), born, before = worker.incarnation, runs = worker.runs.len(); "worker started anew");
        worker.incarnation = born;
        worker.fenced = false;
        worker.clock_reading = None;
        worker.last_report = 0;
        worker.leases_end = 0;
        worker.outcome_batch = 0;
        (worker.last_outcome, worker.acknowledged) = (0, 0);
        worker.poll_after = 0;
        worker.silent_since = None;
        worker.suspended_until = 0;
        let runs = worker.runs.clone();
        for key in runs {
            let run = &self.cluster.runs[key];
            if matches!(run.state, RunState::Confirmed(at) if at < sent) {
                self.end_run(key, model::Outcome::Lapsed, "", now);
            }
        }
        self.pass_needed = true;
    }
}
