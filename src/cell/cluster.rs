//! What the owner knows of each worker: room, runs, clock, lease, and how far it is trusted.

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::resources::Resources;

use super::{
    job::{
        RunKey,
        TaskKey,
        WorkerKey, //
    },
    model, //
};

/// Upper bound on how slow a worker's clock may run, from the platform's description: 2 %, with a
/// little more for rounding.
const MAX_CLOCK_SLOWDOWN: f64 = 1.021;

/// Added to every end of a lease, in milliseconds: granularity of both clocks and of timers.
const LEASE_MARGIN_MS: u64 = 60;

/// Longest local time in which `lease` milliseconds of a worker's clock pass.
#[must_use]
pub fn local_duration(lease: u64) -> u64 {
    (lease as f64 * MAX_CLOCK_SLOWDOWN) as u64 + LEASE_MARGIN_MS
}

/// Failed runs of different jobs in a row after which a worker gets no new tasks for a while: two
/// could be the jobs' own fault.
const SUSPECT_FAILURES: u32 = 3;

/// How long a suspected worker gets no new tasks, in milliseconds: the length of a typical fault
/// divided by a few probes.
const SUSPENSION_MS: u64 = 3_000;

/// Where a run stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// The order is out.
    Sent,
    /// The order was not answered: the run may begin until the order expires.
    Unanswered,
    /// The worker has confirmed it, at this local time in milliseconds.
    Confirmed(u64),
}

/// A run of a task on a worker.
#[derive(Debug, Clone)]
pub struct Run {
    /// Its task; none when nobody waits for the result any more.
    pub task: Option<TaskKey>,
    /// The task's name.
    pub name: model::TaskName,
    /// Its number.
    pub number: u32,
    /// The worker.
    pub worker: WorkerKey,
    /// What it takes there.
    pub demand: Resources,
    /// Where it stands.
    pub state: RunState,
    /// When the order expires, on the worker's clock in milliseconds.
    pub start_expires: u64,
    /// When it was first ordered, in local milliseconds.
    pub ordered_at: u64,
    /// Permit to show; empty for none.
    pub permit: CompactString,
    /// Whether it is to be stopped.
    pub stopping: bool,
    /// Local time before which no order about it is sent again, in milliseconds.
    pub retry_after: u64,
    /// Whether an order about it is out.
    pub in_flight: bool,
}

/// A worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Its newest registration.
    pub registration: model::Registration,
    /// Whether it is registered now.
    pub registered: bool,
    /// Its registration as it is stored, or on its way there, for later owners.
    pub stored_registration: Option<model::Registration>,
    /// Batch that stores the record; `u64::MAX` until it is in one.
    pub record_batch: u64,
    /// Its life; 0 until known.
    pub incarnation: u64,
    /// Whether it has seen this owner's token in this life.
    pub fenced: bool,
    /// Whether another worker answers at its address since it registered last.
    pub superseded: bool,
    /// Local time and the worker's clock of the newest reading, in milliseconds.
    pub clock_reading: Option<(u64, u64)>,
    /// Local time of the newest report of this life, in milliseconds.
    pub last_report: u64,
    /// Local time by which everything there has lapsed if no order is sent, in milliseconds.
    pub leases_end: u64,
    /// Runs that take room there.
    pub runs: Vec<RunKey>,
    /// Room that they take.
    pub used: Resources,
    /// Highest end that was taken in.
    pub last_outcome: u64,
    /// Batch that stores what followed from it.
    pub outcome_batch: u64,
    /// Highest end that the worker was told to forget.
    pub acknowledged: u64,
    /// Whether a report was asked for and is out.
    pub polling: bool,
    /// Local time before which no report is asked for, in milliseconds.
    pub poll_after: u64,
    /// Local time since which no order was answered, in milliseconds.
    pub silent_since: Option<u64>,
    /// Failed runs in a row.
    pub failures: u32,
    /// Job of the newest failed run.
    pub last_failed_job: CompactString,
    /// Local time until which it gets no new tasks, in milliseconds.
    pub suspended_until: u64,
}

impl Worker {
    /// A worker as its registration describes it.
    #[must_use]
    pub fn new(entry: model::Registration) -> Self {
        Self {
            incarnation: entry.incarnation,
            registration: entry,
            registered: true,
            stored_registration: None,
            record_batch: u64::MAX,
            fenced: false,
            superseded: false,
            clock_reading: None,
            last_report: 0,
            leases_end: 0,
            runs: Vec::new(),
            used: Resources::default(),
            last_outcome: 0,
            outcome_batch: 0,
            acknowledged: 0,
            polling: false,
            poll_after: 0,
            silent_since: None,
            failures: 0,
            last_failed_job: CompactString::default(),
            suspended_until: 0,
        }
    }

    /// Estimated time on the worker's clock, in milliseconds.
    #[must_use]
    pub fn clock_at(&self, now: u64) -> Option<u64> {
        let (at, clock) = self.clock_reading?;
        Some(clock + now.saturating_sub(at))
    }

    /// Takes note of an order that lets runs live until `expires` on the worker's clock.
    pub fn extend_leases(&mut self, expires: u64, now: u64) {
        let Some((at, clock)) = self.clock_reading else {
            return;
        };
        let end = at + local_duration(expires.saturating_sub(clock));
        self.leases_end = self.leases_end.max(end).max(now);
    }

    /// What is free for new tasks.
    #[must_use]
    pub fn free(&self) -> Resources {
        let parts = self.registration.capacity.parts();
        let used = self.used.parts();
        Resources::from_parts(std::array::from_fn(|i| parts[i].saturating_sub(used[i])))
    }

    /// Whether nothing is left of it: no registration, no runs, no order that is out.
    #[must_use]
    pub fn is_removable(&self) -> bool {
        !self.registered && self.runs.is_empty() && !self.polling
    }

    /// Whether new tasks may be placed there.
    #[must_use]
    pub fn is_schedulable(&self, durable: u64, now: u64) -> bool {
        self.registered
            && self.fenced
            // A later owner has to know every worker that may run tasks.
            && self.record_batch <= durable
            && self.silent_since.is_none()
            && self.clock_reading.is_some()
            && self.suspended_until <= now
            // Another life may have other room: it counts once it has registered.
            && self.registration.incarnation == self.incarnation
            && self.registration.availability == model::Availability::Ready
    }

    /// Whether a report should be asked for.
    #[must_use]
    pub fn is_poll_due(&self, durable: u64, now: u64) -> bool {
        if self.polling || self.superseded || now < self.poll_after {
            return false;
        }
        if !self.fenced {
            return true;
        }
        let pending = self.last_outcome > self.acknowledged;
        if pending && self.outcome_batch > durable {
            // What ended is not stored yet; only the lease needs care meanwhile.
            return self
                .clock_reading
                .is_some_and(|(at, _)| now >= at + RENEWAL_INTERVAL_MS);
        }
        pending || !self.runs.is_empty()
    }

    /// Takes note of a run that failed there.
    pub fn record_failure(&mut self, job: &str, now: u64) -> bool {
        if self.last_failed_job == job {
            return false;
        }
        self.last_failed_job = job.into();
        self.failures += 1;
        if self.failures < SUSPECT_FAILURES {
            return false;
        }
        // One more failure after the suspension is enough for the next one.
        self.failures = SUSPECT_FAILURES - 1;
        self.suspended_until = now + SUSPENSION_MS;
        true
    }

    /// Takes note of a run that succeeded there.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.last_failed_job.clear();
    }

    /// Keeps new tasks away for a while.
    pub fn suspend(&mut self, now: u64) {
        self.suspended_until = now + SUSPENSION_MS;
    }
}

/// Time between two reports when ends wait to be stored, in milliseconds: a tenth of the lease.
const RENEWAL_INTERVAL_MS: u64 = 500;

/// All workers and what may run on them.
#[derive(Debug, Default)]
pub struct Cluster {
    /// The workers.
    pub workers: SlotMap<WorkerKey, Worker>,
    /// Their ids, sorted.
    pub index: Vec<(CompactString, WorkerKey)>,
    /// The runs.
    pub runs: SlotMap<RunKey, Run>,
    /// Whether no run of an earlier owner can be unknown.
    pub reconciled: bool,
}

impl Cluster {
    /// The worker of that id.
    #[must_use]
    pub fn find_worker(&self, id: &str) -> Option<WorkerKey> {
        let at = self
            .index
            .binary_search_by(|(name, _)| name.as_str().cmp(id));
        at.ok().map(|at| self.index[at].1)
    }

    /// Adds a worker.
    pub fn add_worker(&mut self, entry: model::Registration) -> WorkerKey {
        let id = entry.id.clone();
        let key = self.workers.insert(Worker::new(entry));
        match self.index.binary_search_by(|(name, _)| name.cmp(&id)) {
            Ok(at) => self.index[at].1 = key,
            Err(at) => self.index.insert(at, (id, key)),
        }
        key
    }

    /// The workers of which nothing is left.
    pub fn removable(&self) -> impl Iterator<Item = WorkerKey> {
        let spent = self.workers.iter().filter(|(_, w)| w.is_removable());
        spent.map(|(key, _)| key)
    }

    /// Removes a worker without runs.
    pub fn remove_worker(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.index
                .retain(|(name, _)| *name != worker.registration.id);
        }
    }

    /// Books a run.
    pub fn add_run(&mut self, run: Run) -> RunKey {
        let (worker, demand) = (run.worker, run.demand);
        let key = self.runs.insert(run);
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.runs.push(key);
            worker.used = worker.used.plus(&demand);
        }
        key
    }

    /// Frees what a run took.
    pub fn remove_run(&mut self, key: RunKey) -> Option<Run> {
        let run = self.runs.remove(key)?;
        if let Some(worker) = self.workers.get_mut(run.worker) {
            worker.runs.retain(|other| *other != key);
            let left = worker.used.minus(&run.demand);
            worker.used = left.unwrap_or_default();
        }
        Some(run)
    }

    /// The run of a task with that number on a worker.
    #[must_use]
    pub fn find_run(
        &self,
        worker: WorkerKey,
        task: &model::TaskName,
        number: u32,
    ) -> Option<RunKey> {
        let worker = self.workers.get(worker)?;
        let same = |key: &&RunKey| {
            let run = self.runs.get(**key);
            run.is_some_and(|run| run.number == number && run.name == *task)
        };
        worker.runs.iter().find(same).copied()
    }
}
