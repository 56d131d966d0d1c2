//! Suspicion against tasks that comes from a wave of crashes, and its end.

use log::info;

use super::Engine;
use crate::cell::{
    cluster::Suspect,
    job::WorkerKey,
    suspicion,
    waves::SPAN_MS, //
};

impl Engine {
    fn registered_workers(&self) -> usize {
        let workers = self.cluster.workers.values();
        workers.filter(|worker| worker.registered).count()
    }

    /// Notes that a worker fell silent or crashed under `suspects`, unless one of them explains it.
    pub(super) fn note_in_wave(&mut self, worker: WorkerKey, suspects: &[Suspect], now: u64) {
        let explains = |suspect: &Suspect| suspect.crash.is_early() || suspect.crash.alone;
        if !suspects.iter().any(explains) {
            self.waves.note(worker, now);
        }
    }

    /// Whether other workers than `worker` crash in a wave at local time `now`, in milliseconds.
    pub(super) fn is_in_wave(&self, worker: Option<WorkerKey>, now: u64) -> bool {
        self.waves.is_on(worker, self.registered_workers(), now)
    }

    /// Releases the tasks that only a wave of crashes makes suspect, once it is over: they share workers
    /// again. A later crash counts as before.
    ///
    /// Handles waves that leave more suspects than can be tried one by one, with most of the capacity free.
    pub(super) fn release_suspects(&mut self, now: u64) {
        if self.is_in_wave(None, now) {
            self.calm_since = None;
            return;
        }
        let since = *self.calm_since.get_or_insert(now);
        if now < since + SPAN_MS || self.suspects_released {
            return;
        }
        self.suspects_released = true;
        let mut released = 0;
        let suspected = self.jobs.values_mut().filter(|job| job.suspected);
        let steps = suspected.flat_map(|job| &mut job.occurrences);
        let steps = steps.flat_map(|occurrence| &mut occurrence.steps);
        for task in steps.flat_map(|step| &mut step.tasks) {
            if !task.released && suspicion::is_explained(&task.crashes) {
                task.released = true;
                released += 1;
            }
        }
        if released > 0 {
            info!(tasks = released, calm = now - since; "suspicion from a wave of crashes ends");
            self.released_suspects += released;
            self.pass_needed = true;
        }
    }

    /// Takes the number of tasks released since the last call, for metrics.
    pub fn take_released(&mut self) -> u64 {
        std::mem::take(&mut self.released_suspects)
    }
}
