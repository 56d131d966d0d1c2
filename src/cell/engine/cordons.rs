//! Cordons of workers that do not answer.
//!
//! A new owner that does not hear from a worker cannot tell which tasks run there, since starts are
//! not stored. A cordon says it: the owner stores which tasks may be on a silent worker, and sends
//! it no command that starts a task or renews a lease until the record is replaced. A later owner
//! withholds these tasks alone, and only until their leases have expired.

use log::info;

use super::{
    Engine,
    commands,
    reports, //
};
use crate::cell::{
    cluster::{
        self,
        Worker, //
    },
    job::{
        Phase,
        TaskKey,
        WorkerKey, //
    },
    journal,
};

/// Silence after which a worker is cordoned, in milliseconds: a single lost response ends earlier.
const CORDON_DELAY_MS: u64 = 500;

/// Maximum number of runs on a worker that is cordoned, so that the store takes its record.
const MAX_RUNS: usize = 1_000;

/// Inherited task that may run on a cordoned worker.
#[derive(Debug, Clone, Copy)]
pub(super) struct Withheld {
    worker: WorkerKey,
    task: TaskKey,
}

impl Engine {
    /// Cordons the workers that have not answered for some time.
    pub(super) fn cordon_silent_workers(&mut self, now: u64) {
        let reconciled = self.cluster.reconciled;
        let due = |w: &Worker| {
            // A cordon without tasks costs nothing but the record.
            let delay = if w.runs.is_empty() {
                0
            } else {
                CORDON_DELAY_MS
            };
            let silent = w.silent_since.is_some_and(|at| now >= at + delay);
            // A worker that this owner has never heard or started a task on has no runs once those
            // of earlier owners have ended.
            let unheard = w.clock_reading.is_none() && w.last_report == 0 && w.runs.is_empty();
            silent
                && w.stored_registration.is_some()
                && !w.superseded
                && w.runs.len() <= MAX_RUNS
                && (w.fenced || reconciled && unheard)
        };
        let outdated = |w: &Worker| match &w.cordon {
            None => true,
            Some(cordon) => w.runs.is_empty() && !cordon.tasks.is_empty(),
        };
        let workers = self.cluster.workers.iter();
        let keys = workers.filter(|(_, w)| due(w) && outdated(w));
        let keys: Vec<WorkerKey> = keys.map(|(key, _)| key).collect();
        for key in keys {
            self.cordon(key, now);
        }
    }

    fn cordon(&mut self, key: WorkerKey, now: u64) {
        let runs = &self.cluster.workers[key].runs;
        let ends = runs.iter().map(|run| self.run_ends_by(*run));
        let leases = ends.max().map_or(0, |end| end.saturating_sub(now));
        let on_worker = runs.iter().filter_map(|run| self.cluster.runs.get(*run));
        let mut tasks: Vec<_> = on_worker.map(|run| run.name.clone()).collect();
        tasks.sort();
        tasks.dedup();
        let worker = &mut self.cluster.workers[key];
        info!(worker = worker.registration.id.as_str(), tasks = tasks.len(), leases; "worker cordoned");
        worker.cordon = Some(journal::Cordon { leases, tasks });
        self.store_worker(key);
    }

    /// Lifts the cordon of a worker that answers and has seen this owner's token. Commands that start
    /// tasks or renew leases wait until this is stored.
    pub(super) fn lift_cordon(&mut self, key: WorkerKey) {
        let Some(worker) = self.cluster.workers.get_mut(key) else {
            return;
        };
        if !worker.fenced || worker.cordon.take().is_none() {
            return;
        }
        info!(worker = worker.registration.id.as_str(); "cordon lifted");
        worker.lifted_batch = u64::MAX;
        self.store_worker(key);
    }

    /// Takes the cordon from the record of a worker. The record is read later than it was written, so
    /// the leases end no later than it says.
    pub(super) fn load_cordon(&mut self, key: WorkerKey, cordon: Option<journal::Cordon>) {
        let longest = commands::LATE_COMMAND_MS + cluster::local_duration(self.times.lease);
        let cordon = cordon.map(|cordon| journal::Cordon {
            leases: cordon.leases.min(longest),
            ..cordon
        });
        self.cluster.workers[key].cordon = cordon;
    }

    /// Withholds the tasks that may run on cordoned workers which have not reported yet.
    pub(super) fn withhold_tasks(&mut self) {
        let mut names = Vec::new();
        for (key, worker) in &self.cluster.workers {
            if let Some(cordon) = worker.cordon.as_ref().filter(|_| worker.is_unaccounted()) {
                names.extend(cordon.tasks.iter().map(|name| (key, name.clone())));
            }
        }
        for (worker, name) in names {
            self.begin_reported(&name);
            let Some(task) = self.find_task(&name) else {
                continue;
            };
            let job = &mut self.jobs[task.step.job];
            let copies = job.definition(task.step).is_some_and(|step| step.copies);
            let Some(state) = job.task_mut(task).filter(|_| !copies) else {
                continue;
            };
            if state.phase == Phase::Waiting {
                state.withheld = true;
                self.withheld.push(Withheld { worker, task });
            }
        }
    }

    /// Releases the tasks withheld for workers that have reported or ended; all of them if `all`, once
    /// ownership is proven after the end of their leases.
    pub(super) fn release_tasks(&mut self, all: bool, now: u64) {
        if self.withheld.is_empty() {
            return;
        }
        let workers = &self.cluster.workers;
        let free = |held: &mut Withheld| {
            all || workers.get(held.worker).is_none_or(|w| !w.is_unaccounted())
        };
        let released: Vec<Withheld> = self.withheld.extract_if(.., free).collect();
        for Withheld { worker, task } in released {
            let reported = self.cluster.workers.get(worker).is_some_and(|w| w.fenced);
            let job = self.jobs.get_mut(task.step.job);
            let Some(state) = job.and_then(|job| job.task_mut(task)) else {
                continue;
            };
            state.withheld = false;
            if !reported && !all {
                // A later owner may know the outcome.
                state.proof_from = now;
                self.proof_from = self.proof_from.max(now);
            }
            reports::stop_incomplete_gang(self, task.step, now);
            self.advance(task.step.job, now);
        }
    }
}
