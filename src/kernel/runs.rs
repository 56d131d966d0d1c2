//! Plans runs, gangs and services: chooses the workers on which tasks are claimed, and reacts to
//! claims, outcomes and reports.
//!
//! Resources are allocated before a claim is appended to the log. A start is sent once, only after
//! the claim has been read back from the log as won, and only under the token that the claim names.
//! All times are on the local monotonic clock.

use crate::{
    configs,
    ids::{
        Millis,
        ProfileName,
        Token, //
    },
    kernel::{
        WorkerKey,
        members::Identity, //
    },
    ledger::{
        jobs::Jobs,
        record, //
    },
    profile::Profile,
    wire::worker::{
        Launch,
        Signal,
        TaskId, //
    }, //
};

mod consolidation;
mod effects;
pub mod feasibility;
mod health;
mod lost;
mod outcomes;
mod pack;
mod pending;
mod plan;
mod queue;
mod quota;
mod reports;
mod reservation;

/// Action that the planner asks its caller to carry out.
#[derive(Debug, Clone)]
pub enum Command {
    /// Send a start to a worker, at most once. If [`super::workers::Workers::may_start`] is false
    /// right before sending, call [`Runs::on_start_unsent`] instead. The answer, or its absence,
    /// is passed to [`Runs::on_start_answer`].
    Start {
        /// Worker that receives the message.
        worker: WorkerKey,
        /// Fencing token that the start must carry.
        token: Token,
        /// Tasks to start.
        launches: Vec<Launch>,
    },
    /// Send signals to tasks. A lost signal is sent again after a later report.
    Signal {
        /// Worker that receives the message.
        worker: WorkerKey,
        /// Tasks and the signal for each of them.
        tasks: Vec<(TaskId, Signal)>,
    },
    /// Allow a worker to delete ended tasks. A lost message is sent again after a later report.
    Forget {
        /// Worker that receives the message.
        worker: WorkerKey,
        /// Tasks that the worker may delete.
        tasks: Vec<TaskId>,
    },
    /// Append the proven outcomes of attempts to the log.
    AppendOutcomes(record::Ended),
}

/// Looks up the current version of a profile.
pub trait Profiles {
    /// Returns the profile of that name, if it is published.
    fn profile(&self, name: &ProfileName) -> Option<&Profile>;
}

/// State of the planner. All of it is derived: after a restart, an empty state is filled by
/// [`Runs::rebuild`].
#[derive(Debug)]
pub struct Runs {
    cfg: configs::runs::Runs,
    me: Identity,
    task_ttl: u64,
    queue: queue::Queue,
    pending: pending::Pending,
    proposals: outcomes::Proposals,
    backoffs: queue::Backoffs,
    quota: quota::Usage,
    health: health::Health,
    reservation: reservation::Reservation,
    sample_counter: u64,
}

impl Runs {
    /// Creates a planner without jobs. `lease` sets how long a task runs without a lease renewal.
    #[must_use]
    pub fn new(cfg: configs::runs::Runs, lease: &configs::lease::Lease, me: Identity) -> Self {
        let task_ttl = u64::try_from(lease.task.as_millis()).unwrap_or(u64::MAX);
        Self {
            cfg,
            me,
            task_ttl,
            queue: queue::Queue::default(),
            pending: pending::Pending::default(),
            proposals: outcomes::Proposals::default(),
            backoffs: queue::Backoffs::default(),
            quota: quota::Usage::default(),
            health: health::Health::default(),
            reservation: reservation::Reservation::default(),
            sample_counter: 0,
        }
    }

    /// Replaces the queue and the quota usage by those of `jobs`, which come from a snapshot or a
    /// peer.
    pub fn rebuild(&mut self, now: Millis, jobs: &Jobs, profiles: &impl Profiles) {
        self.queue = queue::Queue::default();
        self.quota = quota::Usage::default();
        for (run, job) in jobs.iter() {
            let held = u32::try_from(job.assignments().count()).unwrap_or(u32::MAX);
            self.quota.add(&job.spec.profile, &job.spec.demand, held);
            if !job.waiting().is_empty() {
                self.queue.add(now, run, job, profiles);
            }
        }
    }

    /// Returns the number of jobs in the queue.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn author(&self, by: &record::Author) -> bool {
        by.instance == self.me.id && by.incarnation == self.me.incarnation
    }
}
