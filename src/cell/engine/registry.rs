//! Registration, change, departure and restart of workers.

use log::info;

use super::{
    Action,
    Engine,
    incarnations::Sign,
    losses::Loss, //
};
use crate::{
    cell::{
        cluster::RunState,
        job::{
            RunKey,
            WorkerKey, //
        },
        journal,
        model, //
    },
    resources::Resources, //
};

/// Part of the contact time that is left for the way of a start command and the difference between
/// clocks, in milliseconds.
const LIST_MARGIN_MS: u64 = 500;

/// Shortest age of the list of registrations that counts as too old, in milliseconds: a few reads may
/// fail.
const MIN_LIST_MS: u64 = 2_000;

/// Longest time between two reads of the list after which the heartbeats between them can be told
/// from missing ones, in milliseconds.
const MAX_READ_GAP_MS: u64 = 1_000;

/// Shortest validity of a start command, in milliseconds: a round trip to another region and a busy
/// worker.
const MIN_START_MS: u64 = 500;

/// CPU in millicores, memory in MiB and accelerators, for the log.
fn amounts(resources: &Resources) -> (u32, u32, u32) {
    (
        resources.millicores,
        resources.memory,
        resources.accelerators,
    )
}

impl Engine {
    /// Records that all registrations that the store had at local time `sent`, in milliseconds, are
    /// applied.
    pub fn registrations_read(&mut self, sent: u64) {
        // Workers may not have reached the store either.
        let gap = self.listed_at.is_none_or(|at| sent > at + MAX_READ_GAP_MS);
        for worker in self.cluster.workers.values_mut() {
            if std::mem::take(&mut worker.beat_seen) || gap {
                worker.last_beat = sent;
            }
        }
        self.listed_at = self.listed_at.max(Some(sent));
        self.pass_needed |= !self.backlog.is_empty();
    }

    /// Time for which tasks may still start by the list of registrations, in milliseconds: a worker
    /// may have shrunk since.
    pub(super) fn list_validity(&self, now: u64) -> u64 {
        let longest = self.times.contact.saturating_sub(LIST_MARGIN_MS);
        let longest = longest.max(MIN_LIST_MS);
        self.listed_at
            .map_or(longest, |at| (at + longest).saturating_sub(now))
    }

    /// Whether the list of registrations is new enough to place tasks by it.
    #[must_use]
    pub fn is_list_current(&self, now: u64) -> bool {
        self.list_validity(now) >= MIN_START_MS
    }

    /// Applies a worker's registration.
    pub fn register(&mut self, registration: model::Registration) {
        let Some(key) = self.cluster.find_worker(&registration.id) else {
            info!(worker = registration.id.as_str(), service = registration.service.as_str(), born = registration.incarnation; "worker registered");
            let key = self.add_worker(registration);
            self.cluster.workers[key].note_draining();
            self.store_registration(key);
            self.pass_needed = true;
            return;
        };
        let worker = &mut self.cluster.workers[key];
        if registration.incarnation < worker.incarnation {
            return;
        }
        worker.beat_seen = true;
        let restarted = registration.incarnation > worker.incarnation;
        if restarted && worker.token_for != Some(registration.incarnation) {
            // Commands sent in the meantime may have reached the new incarnation: its own report
            // tells.
            self.renew_token(key, Some(registration.incarnation), Sign::Registration);
        }
        let worker = &mut self.cluster.workers[key];
        if worker.registration.availability != registration.availability {
            info!(worker = registration.id.as_str(), standing:? = registration.availability; "worker availability changed");
        }
        if worker.registration.capacity != registration.capacity {
            let [before, after, used] = [
                &worker.registration.capacity,
                &registration.capacity,
                &worker.used,
            ]
            .map(amounts);
            info!(worker = registration.id.as_str(), before:?, after:?, used:?, runs = worker.runs.len(); "worker capacity changed");
        }
        if worker.registration.address != registration.address {
            worker.address_number += 1;
        }
        worker.registered = true;
        worker.superseded = false;
        worker.registration = registration;
        worker.note_draining();
        self.pass_needed = true;
        self.store_registration(key);
    }

    /// Records that a worker's registration was removed.
    pub fn unregister(&mut self, id: &str) {
        let Some(key) = self.cluster.find_worker(id) else {
            return;
        };
        let worker = &mut self.cluster.workers[key];
        info!(worker = id, runs = worker.runs.len(); "worker registration removed");
        worker.registered = false;
        self.remove_if_empty(key);
    }

    /// Marks a worker's registration to be stored, so that a later owner polls the worker for its
    /// runs even if the registration has been removed by then.
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
        self.store_worker(key);
    }

    /// Marks the record of a worker to be stored.
    pub(super) fn store_worker(&mut self, key: WorkerKey) {
        let worker = &mut self.cluster.workers[key];
        worker.record_batch = u64::MAX;
        // A batch deletes after it stores.
        let record = journal::key(journal::Kind::Worker, &worker.registration.id);
        self.dropped_keys.retain(|key| *key != record);
        if !self.unstored_workers.contains(&key) {
            self.unstored_workers.push(key);
        }
    }

    /// Removes a worker without registration and runs, unless ended runs that it reported are not
    /// stored yet, or runs of an earlier owner may be on it.
    pub(super) fn remove_if_empty(&mut self, key: WorkerKey) {
        let Some(worker) = self.cluster.workers.get(key) else {
            return;
        };
        let known = self.cluster.reconciled || worker.fenced || worker.superseded;
        if !worker.is_removable() || worker.outcome_batch > self.durable_batch || !known {
            return;
        }
        if worker.stored_registration.is_some() {
            let record = journal::key(journal::Kind::Worker, &worker.registration.id);
            self.dropped_keys.push(record);
        }
        info!(worker = worker.registration.id.as_str(), standing:? = worker.registration.availability, reported = worker.fenced,
            superseded = worker.superseded, reconciled = self.cluster.reconciled; "worker forgotten");
        self.cluster.remove_worker(key);
    }

    /// Stops a run whose start command was meant for a former incarnation of its worker. The command
    /// may have reached either, and another owner may know the outcome of the run in the former one.
    fn recall_run(&mut self, key: RunKey, now: u64) {
        self.require_proof(key, now);
        let run = &mut self.cluster.runs[key];
        run.state = RunState::Unanswered;
        run.stopping = true;
        run.retry_after = now;
        self.actions.push(Action::Stop(key));
    }

    /// Handles a reply of a new worker incarnation to a command sent at local time `sent`, in
    /// milliseconds. Runs confirmed before that time have ended. Later commands may have reached
    /// the new incarnation; its report tells.
    pub(super) fn change_incarnation(
        &mut self,
        key: WorkerKey,
        incarnation: u64,
        sent: u64,
        now: u64,
    ) {
        self.note_crash(key, sent, now);
        let worker = &mut self.cluster.workers[key];
        info!(worker = worker.registration.id.as_str(), born = incarnation, before = worker.incarnation, runs = worker.runs.len(),
            late = worker.late_until.saturating_sub(now); "worker incarnation changed; its confirmed runs are lost");
        worker.incarnation = incarnation;
        worker.clock_reading = None;
        worker.last_report = 0;
        worker.last_answer = 0;
        worker.leases_end = 0;
        worker.outcome_batch = 0;
        (worker.last_outcome, worker.acknowledged) = (0, 0);
        worker.unapplied = None;
        worker.quarantined_until = worker.quarantined_until.max(worker.acked_until);
        worker.applied_above.clear();
        worker.poll_after = 0;
        worker.silent_since = None;
        worker.suspended_until = 0;
        worker.fenced = false;
        let runs = worker.runs.clone();
        // After a clock that went back, the token was renewed for whichever incarnation answers.
        if worker.token_for.is_some_and(|chosen| chosen != incarnation) {
            self.renew_token(key, Some(incarnation), Sign::Report);
        }
        self.cluster.workers[key].token_for = Some(incarnation);
        for key in runs {
            let run = &self.cluster.runs[key];
            match run.state {
                RunState::Confirmed(at) if at < sent && !run.repeated => {
                    self.lose_run(key, Loss::Restarted, now);
                }
                RunState::Confirmed(at) if at >= sent => {}
                _ => self.recall_run(key, now),
            }
        }
        self.pass_needed = true;
    }
}
