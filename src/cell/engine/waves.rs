//! Suspicion against tasks that comes from a wave of crashes, and its end.

use log::info;

use super::Engine;
use crate::cell::{
    cluster::{
        Cluster,
        Suspect, //
    },
    job::WorkerKey,
    suspicion, //
};

fn registered_workers(cluster: &Cluster) -> usize {
    let workers = cluster.workers.values();
    workers.filter(|worker| worker.registered).count()
}

impl Engine {
    /// Notes that a worker fell silent or crashed under `suspects`, unless one of them explains it.
    pub(super) fn note_in_wave(&mut self, worker: WorkerKey, suspects: &[Suspect], now: u64) {
        let explains = |suspect: &Suspect| suspect.crash.is_early() || suspect.crash.alone;
        if !suspects.iter().any(explains) {
            self.waves.note(worker, now);
        }
    }

    /// Whether other workers than `worker` crash in a wave at local time `now`, in milliseconds.
    pub(super) fn is_in_wave(&self, worker: Option<WorkerKey>, now: u64) -> bool {
        let workers = || registered_workers(&self.cluster);
        self.waves.is_on(worker, workers, now)
    }

    /// Releases the tasks that only a wave of crashes makes suspect, once it is over: they share workers
    /// again. A later crash counts as before.
    ///
    /// Handles waves that leave more suspects than can be tried one by one, with most of the capacity free.
    pub(super) fn release_suspects(&mut self, now: u64) {
        let workers = || registered_workers(&self.cluster);
        if !self.waves.take_end(workers, now) {
            return;
        }
        let mut released = 0;
        let suspected = self.jobs.values_mut().filter(|job| job.suspected);
        let steps = suspected.flat_map(|job| &mut job.occurrences);
        let steps = steps.flat_map(|occurrence| &mut occurrence.steps);
        for task in steps.flat_map(|step| &mut step.tasks) {
            let suspect = !task.released && suspicion::needs_trial(&task.crashes);
            if suspect && suspicion::is_explained(&task.crashes) {
                task.released = true;
                released += 1;
            }
        }
        if released > 0 {
            info!(tasks = released; "suspicion from a wave of crashes ends");
            self.released_suspects += released;
            self.pass_needed = true;
        }
    }

    /// Takes the number of tasks released since the last call, for metrics.
    pub fn take_released(&mut self) -> u64 {
        std::mem::take(&mut self.released_suspects)
    }
}
