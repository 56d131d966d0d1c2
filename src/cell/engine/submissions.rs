//! Submission, cancellation and status of jobs.

use compact_str::CompactString;
use log::{
    info,
    warn, //
};

use super::{
    Engine,
    MAX_TASKS,
    SubmissionStatus,
    Submitted, //
};
use crate::cell::{
    job::{
        self,
        Job,
        RunKey, //
    },
    model::{
        self,
        State, //
    },
    shares,
};

impl Engine {
    /// Accepts a job.
    ///
    /// # Errors
    ///
    /// Returns a description of what is invalid in the job, with its JSON path.
    pub fn submit(
        &mut self,
        id: &str,
        queue: model::Queue,
        work: model::Submission,
        now: u64,
    ) -> Result<Submitted, String> {
        if self.archive.state(id).is_some() {
            return Ok(Submitted::Known);
        }
        if let Some(key) = self.find_job(id) {
            let job = &self.jobs[key];
            return Ok(match job.stored {
                true => Submitted::Known,
                false => Submitted::InBatch(job.batch),
            });
        }
        if self.is_unread(id) {
            return Ok(Submitted::Known);
        }
        if self.archive.has_tombstone(id) {
            info!(job = id; "submission of a cancelled job");
            return Ok(Submitted::Cancelled);
        }
        validate(&work)?;
        let accepted = self.unix(now);
        let key = self.insert_job(new_job(id, queue, work, accepted, self.term));
        self.mark_dirty(key);
        self.new_jobs.push((self.open_batch, key));
        Ok(Submitted::InBatch(self.open_batch))
    }

    /// Records the instance that received a job from its caller, unless one is recorded already.
    pub fn set_origin(&mut self, id: &str, instance: &str) {
        if let Some(key) = self.find_job(id)
            && self.jobs[key].origin.is_empty()
        {
            self.jobs[key].origin = instance.into();
        }
    }

    /// Records the organisation on whose behalf a job is submitted, unless the job is stored or has
    /// one already.
    pub fn set_organisation(&mut self, id: &str, organisation: &str) {
        if organisation.is_empty() {
            return;
        }
        if let Some(key) = self.find_job(id)
            && !self.jobs[key].sent
            && self.jobs[key].organisation.is_empty()
        {
            self.jobs[key].organisation = organisation.into();
            self.count_job(key);
        }
    }

    /// Instance that received the job of a run from its caller, if the start command of the run may
    /// be relayed by it: a command that may be under way already is repeated directly.
    #[must_use]
    pub fn relay_for(&self, key: RunKey) -> Option<CompactString> {
        let run = self.cluster.runs.get(key).filter(|run| !run.repeated)?;
        let origin = &self.jobs.get(run.task?.step.job)?.origin;
        (!origin.is_empty()).then(|| origin.clone())
    }

    /// Withdraws a job that was never sent to the store; returns whether the job is withdrawn.
    pub fn withdraw(&mut self, id: &str) -> bool {
        let Some(key) = self.find_job(id) else {
            return true;
        };
        let job = &self.jobs[key];
        // A cancellation must be stored.
        if job.stored || job.sent || job.state.is_final() {
            return false;
        }
        self.remove_job(key);
        self.dirty_jobs.retain(|other| *other != key);
        self.new_jobs.retain(|(_, other)| *other != key);
        // It does not wait any more.
        self.pass_needed |= self.shares.is_active();
        true
    }

    /// Records that a caller waits for the acceptance of a job until local time `until`, in
    /// milliseconds.
    pub fn extend_wait(&mut self, id: &str, until: u64) {
        if let Some(key) = self.find_job(id) {
            let job = &mut self.jobs[key];
            job.awaited_until = job.awaited_until.max(until);
        }
    }

    /// Withdraws a job for a request whose caller waits until local time `until`, in milliseconds,
    /// unless a later request for the job still waits. Returns whether the job is withdrawn.
    pub fn withdraw_expired(&mut self, id: &str, now: u64, until: u64) -> bool {
        let job = self.find_job(id).map(|key| &self.jobs[key]);
        if job.is_some_and(|job| job.awaited_until > until && job.awaited_until > now) {
            return false;
        }
        self.withdraw(id)
    }

    /// Status of a job whose batch is stored. The job may have been withdrawn before the batch was
    /// gathered, when another request for it was abandoned.
    #[must_use]
    pub fn submission_status(&self, id: &str) -> SubmissionStatus {
        if self.is_stored(id) {
            SubmissionStatus::Stored
        } else if self.is_known(id) {
            SubmissionStatus::Pending
        } else {
            SubmissionStatus::Withdrawn
        }
    }

    /// Cancels a job. Returns the number of the batch that stores it, or `None` for an unknown job.
    pub fn cancel(&mut self, id: &str, now: u64) -> Option<u64> {
        if self.archive.state(id).is_some() {
            return Some(self.durable_batch);
        }
        let key = self.find_job(id)?;
        if !self.jobs[key].state.is_final() {
            info!(job = id; "job cancelled by its caller");
            self.finish_job(key, State::Cancelled, now);
        }
        Some(self.jobs[key].batch)
    }

    /// Keeps a job that is not known from being accepted later: a request to submit it can be under
    /// way for any time. Returns the number of the batch that stores this, or `None` if too many
    /// such jobs are remembered.
    pub fn bury(&mut self, id: &str, now: u64) -> Option<u64> {
        if self.is_unread(id) {
            // A job whose record cannot be read never runs.
            return Some(self.durable_batch);
        }
        if !self.archive.bury(id, now, self.term) {
            warn!(job = id, tombstones = self.archive.tombstones(); "cancellation of an unknown job not remembered");
            return None;
        }
        info!(job = id, tombstones = self.archive.tombstones(); "unknown job cancelled by its caller");
        Some(match self.archive.has_changed() {
            true => self.open_batch,
            false => self.open_batch - 1,
        })
    }

    /// Number of jobs that were cancelled before any owner knew them.
    #[must_use]
    pub fn tombstones(&self) -> usize {
        self.archive.tombstones()
    }

    /// State of a stored job that callers may see; `None` until the job is stored.
    #[must_use]
    pub fn visible_state(&self, id: &str) -> Option<State> {
        if let Some(state) = self.archive.state(id) {
            return Some(state);
        }
        let job = self.jobs.get(self.find_job(id)?)?;
        job.stored.then_some(job.visible_state)
    }

    /// Whether a job is known, stored or not.
    #[must_use]
    pub fn is_known(&self, id: &str) -> bool {
        self.archive.state(id).is_some() || self.find_job(id).is_some()
    }

    /// Whether a job may be stored.
    #[must_use]
    pub fn is_sent(&self, id: &str) -> bool {
        self.archive.state(id).is_some() || self.find_job(id).is_some_and(|key| self.jobs[key].sent)
    }

    /// Whether a job is stored.
    #[must_use]
    pub fn is_stored(&self, id: &str) -> bool {
        self.archive.state(id).is_some()
            || self.find_job(id).is_some_and(|key| self.jobs[key].stored)
    }

    /// Number of a queue's accepted jobs without a schedule of which no task has started.
    #[must_use]
    pub fn waiting_jobs(&self, queue: &str) -> usize {
        let waits = |job: &&Job| {
            job.stored
                && !job.started
                && !job.state.is_final()
                && job.submission.occurrences == 0
                && job.queue.name == queue
        };
        self.jobs.values().filter(waits).count()
    }
}

/// A job of which no task has run.
pub(super) fn new_job(
    id: &str,
    queue: model::Queue,
    submission: model::Submission,
    accepted_at: u64,
    term: u64,
) -> Job {
    let mut job = Job {
        id: id.into(),
        queue,
        chains: job::chains(&submission.steps),
        submission,
        accepted_at,
        term,
        state: State::Pending,
        visible_state: State::Pending,
        stored: false,
        sent: false,
        batch: 0,
        dirty: false,
        started: false,
        occurrences: Vec::new(),
        ended_at: 0,
        deadline: 0,
        inherited: false,
        suspected: false,
        unread: false,
        origin: CompactString::default(),
        organisation: CompactString::default(),
        awaited_until: 0,
        organisation_key: shares::Key::NONE,
        excess: false,
    };
    let objective = job::objective(&job.queue, &job.submission.steps);
    job.deadline = accepted_at.saturating_add(objective);
    job
}

/// Validates what the job format cannot express.
pub(super) fn validate(work: &model::Submission) -> Result<(), String> {
    if work.steps.is_empty() {
        return Err("/steps: a job needs at least one step".to_owned());
    }
    let mut tasks = 0_u32;
    for (i, step) in work.steps.iter().enumerate() {
        if step.count == 0 {
            return Err(format!("/steps/{i}: a step needs at least one task"));
        }
        if step.image.len() > model::MAX_IMAGE_BYTES {
            return Err(format!(
                "/steps/{i}: an image has at most {} bytes",
                model::MAX_IMAGE_BYTES
            ));
        }
        if let Some(bad) = step.depends_on.iter().find(|s| **s as usize >= i) {
            return Err(format!(
                "/steps/{i}: depends on step {bad}, which is not an earlier step"
            ));
        }
        tasks = tasks.saturating_add(step.count);
    }
    if tasks > MAX_TASKS {
        return Err(format!(
            "/steps: {tasks} tasks exceed the limit of {MAX_TASKS}"
        ));
    }
    Ok(())
}
