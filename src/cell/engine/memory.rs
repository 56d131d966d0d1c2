//! Estimated memory of the jobs that the owner has accepted, and what follows when it is scarce.
//!
//! The estimates cover what grows with a job: its text, its steps and the tasks of the occurrences
//! that have begun. What they leave out is covered by the share of the machine that jobs get.

use std::{
    io,
    mem, //
};

use super::Engine;
use crate::cell::{
    job::{
        Job,
        JobKey,
        StepState,
        Task, //
    },
    model, //
};

/// Size of a job without its steps, in bytes: its state, its queue, and its entries in lists.
const JOB_BYTES: usize = 1_024;

/// Size of what the allocator and lists of steps add to a step, in bytes.
const STEP_OVERHEAD: usize = 96;

/// Size up to which a job may use the reserve, in bytes: an ordinary job.
const SMALL_BYTES: usize = 64 << 10;

/// Part of the share that is reserved for small jobs: one quarter.
const RESERVE_PART: usize = 4;

/// Size of the parts of a record that do not grow with the job, in bytes: its queue and its times.
const RECORD_BYTES: usize = 4 << 10;

/// Largest size of a step in a record without its dependencies and names, in bytes.
const STEP_RECORD_BYTES: usize = 400;

/// Why a job is not accepted for its size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// The accepted jobs take all memory that is meant for them.
    Memory,
    /// The job's record has this size in bytes, which the store does not take.
    Record(usize),
}

/// What the accepted jobs take, and may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Memory {
    /// Estimated size of the jobs, in bytes.
    used: usize,
    /// Largest size of the jobs, in bytes.
    limit: usize,
    /// Largest size of a record, in bytes.
    record: usize,
}

impl Default for Memory {
    fn default() -> Self {
        Self {
            used: 0,
            limit: usize::MAX,
            record: usize::MAX,
        }
    }
}

/// Size of a decoded job, in bytes.
#[must_use]
pub fn submission_bytes(work: &model::Submission) -> usize {
    let texts = |step: &model::Step| step.label.len() + step.data_rack.len();
    let depends = |step: &model::Step| step.depends_on.capacity() * size_of::<u32>();
    let steps: usize = work.steps.iter().map(|s| depends(s) + texts(s)).sum();
    size_of::<model::Submission>()
        + work.spec.capacity()
        + work.steps.capacity() * size_of::<model::Step>()
        + steps
}

/// Size of one occurrence of a job, in bytes.
fn occurrence_bytes(work: &model::Submission) -> usize {
    let tasks: usize = work.steps.iter().map(|step| step.count as usize).sum();
    work.steps.len() * (size_of::<StepState>() + STEP_OVERHEAD) + tasks * size_of::<Task>()
}

/// Size of a job of which `begun` occurrences have begun, in bytes. The first one is always counted.
fn job_bytes(work: &model::Submission, begun: usize) -> usize {
    let occurrences = begun.max(1).saturating_mul(occurrence_bytes(work));
    JOB_BYTES + submission_bytes(work) + work.steps.len() * size_of::<u64>() + occurrences
}

/// Counts the bytes that are written.
struct Counter(usize);

impl io::Write for Counter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Size of a job's record, in bytes; an estimate from above if that is below `limit`.
fn record_bytes(work: &model::Submission, limit: usize) -> usize {
    let texts = |step: &model::Step| 6 * (step.label.len() + step.data_rack.len());
    let steps = work.steps.iter();
    let steps: usize = steps
        .map(|s| STEP_RECORD_BYTES + 11 * s.depends_on.len() + texts(s))
        .sum();
    // A character of the text takes up to six bytes.
    let bound = RECORD_BYTES + 6 * work.spec.len() + steps;
    if bound <= limit {
        return bound;
    }
    let mut counter = Counter(RECORD_BYTES);
    match serde_json::to_writer(&mut counter, work) {
        Ok(()) => counter.0,
        Err(_) => bound,
    }
}

impl Engine {
    /// Sets the memory that accepted jobs may take, and the largest record that the store takes, both
    /// in bytes.
    pub fn set_memory(&mut self, limit: usize, record: usize) {
        self.memory.limit = limit;
        self.memory.record = record;
    }

    /// Estimated size of the accepted jobs, in bytes.
    #[must_use]
    pub fn job_bytes(&self) -> usize {
        self.memory.used
    }

    /// Whether there is room for a job. A job that is already known is never refused.
    ///
    /// # Errors
    ///
    /// Returns what there is too little of.
    pub fn check_room(&self, id: &str, work: &model::Submission) -> Result<(), Shortage> {
        if self.is_known(id) || self.is_unread(id) || self.archive.has_tombstone(id) {
            return Ok(());
        }
        let record = record_bytes(work, self.memory.record);
        if record > self.memory.record {
            return Err(Shortage::Record(record));
        }
        let bytes = job_bytes(work, 1);
        let limit = match bytes <= SMALL_BYTES {
            true => self.memory.limit,
            false => self.memory.limit - self.memory.limit / RESERVE_PART,
        };
        match self.memory.used.saturating_add(bytes) <= limit {
            true => Ok(()),
            false => Err(Shortage::Memory),
        }
    }

    /// Number of further occurrences of a job that may begin; at least one if none is under way.
    pub(super) fn occurrence_room(&self, job: &Job, live: usize) -> usize {
        let free = self.memory.limit.saturating_sub(self.memory.used);
        let each = occurrence_bytes(&job.submission).max(1);
        (free / each).max(usize::from(live == 0))
    }

    /// Counts a job that is added.
    pub(super) fn count_memory(&mut self, job: &Job) {
        self.memory.used += job_bytes(&job.submission, job.occurrences.len());
    }

    /// Counts a job that is removed.
    pub(super) fn discount_memory(&mut self, job: &Job) {
        let bytes = job_bytes(&job.submission, job.occurrences.len());
        self.memory.used = self.memory.used.saturating_sub(bytes);
    }

    /// Counts the occurrences of a job that have begun since there were `before`.
    pub(super) fn count_occurrences(&mut self, key: JobKey, before: usize) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        let more = job.occurrences.len().max(1) - before.max(1);
        self.memory.used += more.saturating_mul(occurrence_bytes(&job.submission));
    }

    /// Counts all jobs again.
    pub(super) fn recount_jobs(&mut self) {
        let jobs = mem::take(&mut self.jobs);
        self.memory.used = 0;
        jobs.values().for_each(|job| self.count_memory(job));
        self.jobs = jobs;
    }
}
