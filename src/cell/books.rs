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
const SLOW_CLOCK: f64 = 1.021;

/// Added to every end of a lease, in milliseconds: granularity of both clocks and of timers.
const LEASE_MARGIN: u64 = 60;

/// Longest local time in which `lease` milliseconds of a worker's clock pass.
#[must_use]
pub fn span(lease: u64) -> u64 {
    (lease as f64 * SLOW_CLOCK) as u64 + LEASE_MARGIN
}

/// Failed runs of different jobs in a row after which a worker gets no new tasks for a while: two
/// could be the jobs' own fault.
const STRIKES: u32 = 3;

/// How long a suspected worker gets no new tasks, in milliseconds: the length of a typical fault
/// divided by a few probes.
const SUSPENSION: u64 = 3_000;

/// Where a run stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Footing {
    /// The order is out.
    Ordered,
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
    pub footing: Footing,
    /// When the order expires, on the worker's clock in milliseconds.
    pub expires: u64,
    /// When it was first ordered, in local milliseconds.
    pub began: u64,
    /// Permit to show; empty for none.
    pub ticket: CompactString,
    /// Whether it is to be stopped.
    pub unwanted: bool,
    /// Local time before which no order about it is sent again, in milliseconds.
    pub after: u64,
    /// Whether an order about it is out.
    pub busy: bool,
}

/// A worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Its newest registration.
    pub entry: model::Registration,
    /// Whether it is registered now.
    pub listed: bool,
    /// Its registration as it is stored, or on its way there, for later owners.
    pub record: Option<model::Registration>,
    /// Batch that stores the record; `u64::MAX` until it is in one.
    pub recorded: u64,
    /// Its life; 0 until known.
    pub born: u64,
    /// Whether it has seen this owner's token in this life.
    pub fenced: bool,
    /// Whether another worker answers at its address since it registered last.
    pub superseded: bool,
    /// Local time and the worker's clock of the newest reading, in milliseconds.
    pub reading: Option<(u64, u64)>,
    /// Local time of the newest report of this life, in milliseconds.
    pub contact: u64,
    /// Local time by which everything there has lapsed if no order is sent, in milliseconds.
    pub lapses: u64,
    /// Runs that take room there.
    pub runs: Vec<RunKey>,
    /// Room that they take.
    pub used: Resources,
    /// Highest end that was taken in.
    pub taken: u64,
    /// Batch that stores what followed from it.
    pub batch: u64,
    /// Highest end that the worker was told to forget.
    pub acknowledged: u64,
    /// Whether a report was asked for and is out.
    pub busy: bool,
    /// Local time before which no report is asked for, in milliseconds.
    pub after: u64,
    /// Local time since which no order was answered, in milliseconds.
    pub silent: Option<u64>,
    /// Failed runs in a row.
    pub strikes: u32,
    /// Job of the newest failed run.
    pub culprit: CompactString,
    /// Local time until which it gets no new tasks, in milliseconds.
    pub suspended: u64,
}

impl Worker {
    /// A worker as its registration describes it.
    #[must_use]
    pub fn new(entry: model::Registration) -> Self {
        Self {
            born: entry.incarnation,
            entry,
            listed: true,
            record: None,
            recorded: u64::MAX,
            fenced: false,
            superseded: false,
            reading: None,
            contact: 0,
            lapses: 0,
            runs: Vec::new(),
            used: Resources::default(),
            taken: 0,
            batch: 0,
            acknowledged: 0,
            busy: false,
            after: 0,
            silent: None,
            strikes: 0,
            culprit: CompactString::default(),
            suspended: 0,
        }
    }

    /// Estimated time on the worker's clock, in milliseconds.
    #[must_use]
    pub fn clock(&self, now: u64) -> Option<u64> {
        let (at, clock) = self.reading?;
        Some(clock + now.saturating_sub(at))
    }

    /// Takes note of an order that lets runs live until `expires` on the worker's clock.
    pub fn extend(&mut self, expires: u64, now: u64) {
        let Some((at, clock)) = self.reading else {
            return;
        };
        let end = at + span(expires.saturating_sub(clock));
        self.lapses = self.lapses.max(end).max(now);
    }

    /// What is free for new tasks.
    #[must_use]
    pub fn free(&self) -> Resources {
        let parts = self.entry.capacity.parts();
        let used = self.used.parts();
        Resources::from_parts(std::array::from_fn(|i| parts[i].saturating_sub(used[i])))
    }

    /// Whether nothing is left of it: no registration, no runs, no order that is out.
    #[must_use]
    pub fn is_spent(&self) -> bool {
        !self.listed && self.runs.is_empty() && !self.busy
    }

    /// Whether new tasks may be placed there.
    #[must_use]
    pub fn is_open(&self, durable: u64, now: u64) -> bool {
        self.listed
            && self.fenced
            // A later owner has to know every worker that may run tasks.
            && self.recorded <= durable
            && self.silent.is_none()
            && self.reading.is_some()
            && self.suspended <= now
            // Another life may have other room: it counts once it has registered.
            && self.entry.incarnation == self.born
            && self.entry.availability == model::Availability::Ready
    }

    /// Whether a report should be asked for.
    #[must_use]
    pub fn is_due(&self, durable: u64, now: u64) -> bool {
        if self.busy || self.superseded || now < self.after {
            return false;
        }
        if !self.fenced {
            return true;
        }
        let pending = self.taken > self.acknowledged;
        if pending && self.batch > durable {
            // What ended is not stored yet; only the lease needs care meanwhile.
            return self.reading.is_some_and(|(at, _)| now >= at + RENEWAL);
        }
        pending || !self.runs.is_empty()
    }

    /// Takes note of a run that failed there.
    pub fn strike(&mut self, job: &str, now: u64) -> bool {
        if self.culprit == job {
            return false;
        }
        self.culprit = job.into();
        self.strikes += 1;
        if self.strikes < STRIKES {
            return false;
        }
        // One more failure after the suspension is enough for the next one.
        self.strikes = STRIKES - 1;
        self.suspended = now + SUSPENSION;
        true
    }

    /// Takes note of a run that succeeded there.
    pub fn praise(&mut self) {
        self.strikes = 0;
        self.culprit.clear();
    }

    /// Keeps new tasks away for a while.
    pub fn suspend(&mut self, now: u64) {
        self.suspended = now + SUSPENSION;
    }
}

/// Time between two reports when ends wait to be stored, in milliseconds: a tenth of the lease.
const RENEWAL: u64 = 500;

/// All workers and what may run on them.
#[derive(Debug, Default)]
pub struct Books {
    /// The workers.
    pub workers: SlotMap<WorkerKey, Worker>,
    /// Their ids, sorted.
    pub names: Vec<(CompactString, WorkerKey)>,
    /// The runs.
    pub runs: SlotMap<RunKey, Run>,
    /// Whether no run of an earlier owner can be unknown.
    pub settled: bool,
}

impl Books {
    /// The worker of that id.
    #[must_use]
    pub fn find(&self, id: &str) -> Option<WorkerKey> {
        let at = self
            .names
            .binary_search_by(|(name, _)| name.as_str().cmp(id));
        at.ok().map(|at| self.names[at].1)
    }

    /// Adds a worker.
    pub fn add(&mut self, entry: model::Registration) -> WorkerKey {
        let id = entry.id.clone();
        let key = self.workers.insert(Worker::new(entry));
        match self.names.binary_search_by(|(name, _)| name.cmp(&id)) {
            Ok(at) => self.names[at].1 = key,
            Err(at) => self.names.insert(at, (id, key)),
        }
        key
    }

    /// The workers of which nothing is left.
    pub fn spent(&self) -> impl Iterator<Item = WorkerKey> {
        let spent = self.workers.iter().filter(|(_, w)| w.is_spent());
        spent.map(|(key, _)| key)
    }

    /// Removes a worker without runs.
    pub fn remove(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.names.retain(|(name, _)| *name != worker.entry.id);
        }
    }

    /// Books a run.
    pub fn book(&mut self, run: Run) -> RunKey {
        let (worker, demand) = (run.worker, run.demand);
        let key = self.runs.insert(run);
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.runs.push(key);
            worker.used = worker.used.plus(&demand);
        }
        key
    }

    /// Frees what a run took.
    pub fn release(&mut self, key: RunKey) -> Option<Run> {
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
    pub fn run_of(&self, worker: WorkerKey, task: &model::TaskName, number: u32) -> Option<RunKey> {
        let worker = self.workers.get(worker)?;
        let same = |key: &&RunKey| {
            let run = self.runs.get(**key);
            run.is_some_and(|run| run.number == number && run.name == *task)
        };
        worker.runs.iter().find(same).copied()
    }
}
