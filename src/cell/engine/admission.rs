//! Which jobs of organisations are accepted.

use log::info;

use super::{
    Engine,
    placement,
    submissions, //
};
use crate::cell::{
    job::{
        self,
        JobKey, //
    },
    model,
    shares::{
        self,
        amounts::Amounts,
        waiting::Item, //
    }, //
};

/// Shortest and longest delay after which a refused caller is told to come back, in seconds.
const RETRY_S: (u64, u64) = (1, 5);

impl Engine {
    /// Decides whether a new job of an organisation is accepted. A job that is known, or that could
    /// start at once by the last placement pass, always is.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should come back, in seconds, if the job cannot start
    /// before its completion has no value any more.
    pub fn admit(
        &mut self,
        id: &str,
        organisation: &str,
        queue: &model::Queue,
        work: &model::Submission,
        now: u64,
    ) -> Result<(), u64> {
        let known = self.shares.find(organisation);
        let Some(key) = known.filter(|_| self.shares.is_active()) else {
            return Ok(());
        };
        // What lasts or is due later is not waited for; what is invalid is answered as such.
        let lasts = work.steps.iter().any(|step| step.long_running);
        let answered = self.is_known(id) || self.is_unread(id) || self.archive.has_tombstone(id);
        if answered || lasts || work.occurrences > 0 || submissions::validate(work).is_err() {
            return Ok(());
        }
        let excess = self.shares.is_excess(key, self.unix(now));
        let usage = &self.cluster.usage;
        let ready = work.steps.iter().filter(|step| step.depends_on.is_empty());
        let demands = ready.map(super::demand);
        let demand = demands.reduce(|one, other| one.max(&other));
        let demand = Amounts::of(&demand.unwrap_or_default());
        let rank = (queue.priority, excess);
        let wait = self.shares.expected_wait(key, rank, demand, usage);
        let objective = job::objective(queue, &work.steps);
        let worth = objective.saturating_mul(placement::LATE_FACTOR);
        if wait <= worth || self.has_room(key, queue, work) {
            return Ok(());
        }
        let seconds = wait.div_ceil(1_000).clamp(RETRY_S.0, RETRY_S.1);
        if let Some(muted) = self.shares.count_refused(key, now) {
            info!(job = id, organisation, wait, objective, excess, retry = seconds, muted; "submission not accepted: the organisation's backlog is too long");
        }
        Err(seconds)
    }

    /// Whether each step that a job begins with could start a task, or its whole gang, by the last
    /// placement pass.
    fn has_room(
        &self,
        organisation: shares::Key,
        queue: &model::Queue,
        work: &model::Submission,
    ) -> bool {
        let mut ready = work.steps.iter().filter(|step| step.depends_on.is_empty());
        ready.all(|step| {
            let least = if step.gang { step.count } else { 1 };
            let (demand, declared) = (super::demand(step), Amounts::of(&step.demand));
            let room = self
                .shares
                .room(organisation, &self.cluster.usage, declared);
            let mut missing = least;
            for (worker, free) in &self.pass_room {
                if missing == 0 {
                    break;
                }
                let Some(worker) = self.cluster.workers.get(*worker) else {
                    continue;
                };
                let entry = &worker.registration;
                let labelled = step.label.is_empty() || entry.labels.contains(&step.label);
                if labelled && entry.service == queue.service {
                    missing -= placement::fit_count(free, &demand, missing);
                }
            }
            missing == 0 && room >= least
        })
    }

    /// Records that a job is accepted: whether it is beyond its organisation's rate, and how much work
    /// waits with it.
    pub(super) fn count_job(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        job.organisation_key = self.shares.intern(&job.organisation);
        if !self.shares.is_active() {
            return;
        }
        job.excess = self.shares.count_job(job.organisation_key, job.accepted_at);
        self.count_new_job(key);
    }

    /// Counts the steps that a job which is not stored yet begins with as waiting.
    pub(super) fn count_new_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if job.submission.occurrences > 0 || job.state.is_final() {
            return;
        }
        let steps = job.submission.steps.iter();
        for step in steps.filter(|step| step.depends_on.is_empty()) {
            self.shares.add_waiting(&item(job, step, step.count));
        }
    }
}

/// Waiting tasks of a step, as the shares count them.
pub(super) fn item(job: &job::Job, step: &model::Step, tasks: u32) -> Item {
    Item {
        organisation: job.organisation_key,
        priority: job.queue.priority,
        excess: job.excess,
        demand: Amounts::of(&super::demand(step)),
        tasks,
        estimate: step.estimate,
    }
}
