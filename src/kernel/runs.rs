//! The planner of runs, gangs and services: what is claimed where, and what follows from claims,
//! ends and reports.
//!
//! Room is held before a claim is appended, and a start is sent only after the claim was read back
//! as won, under the very token that the claim names, and once. All times are on the local
//! monotonic clock.

use crate::{
    configs,
    ids::{
        Millis,
        ProfileName,
        Token, //
    },
    kernel::{
        WorkerKey,
        members::Me, //
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

mod effects;
mod ends;
mod gather;
mod health;
mod hold;
mod lost;
mod pack;
mod pending;
mod plan;
pub mod possible;
mod queue;
mod quota;
mod reports;

/// What the shell is to do.
#[derive(Debug, Clone)]
pub enum Command {
    /// Send a start to a worker, once: if [`super::workers::Workers::may_start`] still holds right
    /// before, else call [`Runs::unsent`]. The answer, or its absence, goes to [`Runs::started`].
    Start {
        /// The worker.
        worker: WorkerKey,
        /// The token that the start must carry.
        token: Token,
        /// The tasks.
        launches: Vec<Launch>,
    },
    /// Signal tasks. A lost signal is repeated at a later report.
    Signal {
        /// The worker.
        worker: WorkerKey,
        /// Which tasks, and what they are told.
        tasks: Vec<(TaskId, Signal)>,
    },
    /// Let a worker drop ended tasks. A lost message is repeated at a later report.
    Forget {
        /// The worker.
        worker: WorkerKey,
        /// Which tasks.
        tasks: Vec<TaskId>,
    },
    /// Append proof that attempts have ended.
    End(record::Ended),
}

/// Looks up the current version of a profile.
pub trait Profiles {
    /// The profile of that name, if it is published.
    fn profile(&self, name: &ProfileName) -> Option<&Profile>;
}

/// The planner's state. It is derived: a restart begins with an empty one and [`Runs::rebuild`].
#[derive(Debug)]
pub struct Runs {
    cfg: configs::runs::Runs,
    me: Me,
    task_ttl: u64,
    queue: queue::Queue,
    pending: pending::Pending,
    ends: ends::Ends,
    rests: queue::Rests,
    quota: quota::Held,
    health: health::Health,
    hold: hold::Hold,
    turn: u64,
}

impl Runs {
    /// A planner that knows of no job. `lease` gives the time a task goes on without a renewal.
    #[must_use]
    pub fn new(cfg: configs::runs::Runs, lease: &configs::lease::Lease, me: Me) -> Self {
        let task_ttl = u64::try_from(lease.task.as_millis()).unwrap_or(u64::MAX);
        Self {
            cfg,
            me,
            task_ttl,
            queue: queue::Queue::default(),
            pending: pending::Pending::default(),
            ends: ends::Ends::default(),
            rests: queue::Rests::default(),
            quota: quota::Held::default(),
            health: health::Health::default(),
            hold: hold::Hold::default(),
            turn: 0,
        }
    }

    /// Takes in jobs as a snapshot or a peer gave them, in place of what was known.
    pub fn rebuild(&mut self, now: Millis, jobs: &Jobs, profiles: &impl Profiles) {
        self.queue = queue::Queue::default();
        self.quota = quota::Held::default();
        for (run, job) in jobs.iter() {
            let held = u32::try_from(job.assignments().count()).unwrap_or(u32::MAX);
            self.quota.take(&job.spec.profile, &job.spec.demand, held);
            if !job.waiting().is_empty() {
                self.queue.add(now, run, job, profiles);
            }
        }
    }

    /// Jobs that wait to be looked at.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    fn author(&self, by: &record::Author) -> bool {
        by.instance == self.me.id && by.incarnation == self.me.incarnation
    }
}
