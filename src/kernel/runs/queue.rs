//! Queue of jobs with waiting tasks, in planning order, and the backoffs of failed tasks.

use crate::{
    context,
    ids::{
        Millis,
        RunId, //
    },
    kernel::runs::Profiles,
    ledger::jobs::job::Job,
    modules::{
        self,
        Point, //
    },
    profile, //
};

/// A job in the queue.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Waiting {
    /// Sort key computed by the `order` plug-in of the profile.
    pub(super) key: u64,
    /// Time at which the job was added to the queue.
    pub(super) since: Millis,
    /// Identifier of the job.
    pub(super) run: RunId,
}

/// Jobs with waiting tasks, sorted by their key.
#[derive(Debug, Default)]
pub(super) struct Queue {
    sorted: Vec<Waiting>,
    queued: Vec<RunId>,
}

impl Queue {
    /// Returns the number of jobs in the queue.
    pub(super) fn len(&self) -> usize {
        self.sorted.len()
    }

    /// Adds a job unless it is already in the queue.
    pub(super) fn add(&mut self, now: Millis, run: &RunId, job: &Job, profiles: &impl Profiles) {
        let Err(at) = self.queued.binary_search(run) else {
            return;
        };
        self.queued.insert(at, run.clone());
        let entry = Waiting {
            key: sort_key(now, job, profiles),
            since: now,
            run: run.clone(),
        };
        if let Err(at) = self.sorted.binary_search(&entry) {
            self.sorted.insert(at, entry);
        }
    }

    /// Returns the jobs in order, starting at position `from`.
    pub(super) fn starting_at(&self, from: usize) -> &[Waiting] {
        self.sorted.get(from..).unwrap_or_default()
    }

    /// Removes jobs from the queue.
    pub(super) fn remove(&mut self, entries: &[Waiting]) {
        for entry in entries {
            if let Ok(at) = self.sorted.binary_search(entry) {
                self.sorted.remove(at);
            }
            if let Ok(at) = self.queued.binary_search(&entry.run) {
                self.queued.remove(at);
            }
        }
    }
}

/// Returns the sort key of a job; the lowest key is planned first.
fn sort_key(now: Millis, job: &Job, profiles: &impl Profiles) -> u64 {
    let ctx = context::Order {
        arrived: now,
        deadline: now.plus(job.spec.deadline),
        priority: job.spec.terms.priority,
        estimate: job.spec.estimate,
        virtual_start: 0,
    };
    let chosen = profiles.profile(&job.spec.profile);
    let default = profile::Policies::default().order;
    let name = chosen.map_or(&default, |p| &p.policies.order);
    match modules::find("order", name).map(|p| p.point) {
        Some(Point::Order(decide)) => decide(&ctx),
        _ => now.0,
    }
}

/// Failed tasks that wait for the end of their backoff.
#[derive(Debug, Default)]
pub(super) struct Backoffs {
    rows: Vec<(RunId, u32, Millis)>,
}

impl Backoffs {
    /// Sets the time until which a task is not attempted again.
    pub(super) fn add(&mut self, run: &RunId, index: u32, until: Millis) {
        match self.position(run, index) {
            Ok(at) => self.rows[at].2 = until,
            Err(at) => self.rows.insert(at, (run.clone(), index, until)),
        }
    }

    /// Returns whether the backoff of a task is still running.
    pub(super) fn is_waiting(&self, now: Millis, run: &RunId, index: u32) -> bool {
        let found = self.position(run, index).ok();
        found.is_some_and(|at| now < self.rows[at].2)
    }

    /// Removes backoffs that have ended.
    pub(super) fn tick(&mut self, now: Millis) {
        self.rows.retain(|row| now < row.2);
    }

    fn position(&self, run: &RunId, index: u32) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| (&row.0, row.1).cmp(&(run, index)))
    }
}
