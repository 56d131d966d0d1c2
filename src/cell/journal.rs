//! Stored records of jobs, finished jobs and workers, and the conversion of a job's progress from
//! and to its record.

use compact_str::{
    CompactString,
    format_compact, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    job,
    model,
    suspicion, //
};

/// Prefix of the keys of accepted jobs.
const ACCEPTED_PREFIX: char = 'a';

/// Prefix of the keys of jobs' progress.
const PROGRESS_PREFIX: char = 'p';

/// Prefix of the keys of segments of finished jobs.
const SEGMENT_PREFIX: char = 'f';

/// Prefix of the keys of workers that may run tasks.
const WORKER_PREFIX: char = 'w';

/// Prefix of the keys of owners.
const OWNER_PREFIX: char = 'o';

/// Stored record of an owner whose commands may still be in effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Term of the owner.
    pub term: u64,
    /// Instance of the owner.
    pub instance: CompactString,
    /// Whether all earlier owners had certainly stopped sending commands in this term.
    pub settled: bool,
}

/// Stored record of an accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Queue as it was when the job was accepted.
    pub queue: model::Queue,
    /// Job as submitted.
    #[serde(rename = "work")]
    pub submission: model::Submission,
    /// Instance that received the job from its caller; empty if not known.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub origin: CompactString,
    /// Organisation on whose behalf the job was submitted; empty for none.
    #[serde(default, skip_serializing_if = "CompactString::is_empty")]
    pub organisation: CompactString,
    /// Time of acceptance, in Unix milliseconds.
    #[serde(rename = "at")]
    pub accepted_at: u64,
    /// Owner's term in which the job was accepted.
    pub term: u64,
}

/// Stored record of a worker that may run tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Registration of the worker.
    #[serde(flatten)]
    pub registration: model::Registration,
    /// What may run on the worker, if it is cordoned.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cordon: Option<Cordon>,
}

/// What may run on a cordoned worker. While the record stands, no owner sends the worker a command
/// that starts a task or renews a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cordon {
    /// Time after the writing of the record by which all leases on the worker have expired, in
    /// milliseconds.
    pub leases: u64,
    /// Tasks with a run that may be on the worker.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<model::TaskName>,
}

/// Progress of a task that has not succeeded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Occurrence, step and index of the task.
    #[serde(rename = "at")]
    pub position: (u32, u32, u32),
    /// Numbers of the failed runs.
    #[serde(rename = "failed", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<u32>,
    /// Highest run number known.
    #[serde(rename = "run")]
    pub last_run: u32,
    /// Newest checkpoint; empty for none.
    #[serde(
        rename = "saved",
        default,
        skip_serializing_if = "CompactString::is_empty"
    )]
    pub checkpoint: CompactString,
    /// Crashes of workers under runs of the task.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<suspicion::Crash>,
    /// Run whose worker may have crashed under it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub exposure: Option<suspicion::Exposure>,
}

/// Occurrence, step, and ranges of indices of succeeded tasks; both bounds are included.
type CompletedRanges = (u32, u32, Vec<(u32, u32)>);

/// Stored progress of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// State of the job.
    pub state: model::State,
    /// Number of occurrences that have begun.
    #[serde(default)]
    pub begun: u32,
    /// Succeeded tasks of each step.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<CompletedRanges>,
    /// Tasks with failed runs or a checkpoint.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskProgress>,
}

/// Kind of a stored record, told by the prefix of its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// An [`Accepted`] job.
    Accepted,
    /// The [`Progress`] of a job.
    Progress,
    /// A [`archive::Segment`](super::archive::Segment) of finished jobs.
    Segment,
    /// A [`Worker`] that may run tasks.
    Worker,
    /// An [`Owner`].
    Owner,
}

/// Key of the record of a job, a segment, a worker or an owner.
#[must_use]
pub fn key(kind: Kind, name: &str) -> CompactString {
    let first = match kind {
        Kind::Accepted => ACCEPTED_PREFIX,
        Kind::Progress => PROGRESS_PREFIX,
        Kind::Segment => SEGMENT_PREFIX,
        Kind::Worker => WORKER_PREFIX,
        Kind::Owner => OWNER_PREFIX,
    };
    format_compact!("{first}{name}")
}

/// Key of a segment, from the term in which it was begun and its number in that term.
#[must_use]
pub fn segment_key(term: u64, number: u32) -> CompactString {
    key(Kind::Segment, &format_compact!("{term}-{number}"))
}

/// Splits a key into the kind of its record and the name of the job, segment, worker or term.
#[must_use]
pub fn parse_key(key: &str) -> Option<(Kind, &str)> {
    let kind = match key.chars().next()? {
        ACCEPTED_PREFIX => Kind::Accepted,
        PROGRESS_PREFIX => Kind::Progress,
        SEGMENT_PREFIX => Kind::Segment,
        WORKER_PREFIX => Kind::Worker,
        OWNER_PREFIX => Kind::Owner,
        _ => return None,
    };
    Some((kind, &key[1..]))
}

/// Ranges of indices of the succeeded tasks of a step.
fn completed_ranges(step: &job::StepState) -> Vec<(u32, u32)> {
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    for (i, task) in step.tasks.iter().enumerate() {
        if task.phase != job::Phase::Done {
            continue;
        }
        let i = i as u32;
        match ranges.last_mut() {
            Some((_, last)) if *last + 1 == i => *last = i,
            _ => ranges.push((i, i)),
        }
    }
    ranges
}

/// Progress of `job` as it is stored.
#[must_use]
pub fn progress(job: &job::Job) -> Progress {
    let mut progress = Progress {
        state: job.state,
        begun: job.occurrences.len() as u32,
        done: Vec::new(),
        tasks: Vec::new(),
    };
    if job.state.is_final() {
        return progress;
    }
    for (o, occurrence) in job.occurrences.iter().enumerate() {
        for (s, step) in occurrence.steps.iter().enumerate() {
            let ranges = completed_ranges(step);
            if !ranges.is_empty() {
                progress.done.push((o as u32, s as u32, ranges));
            }
            let noted = |t: &job::Task| {
                !t.failed_runs.is_empty()
                    || !t.checkpoint.is_empty()
                    || !t.crashes.is_empty()
                    || t.exposure.is_some()
            };
            let unfinished = step.tasks.iter().enumerate();
            let unfinished = unfinished.filter(|(_, t)| t.phase != job::Phase::Done && noted(t));
            progress.tasks.extend(unfinished.map(|(i, t)| TaskProgress {
                position: (o as u32, s as u32, i as u32),
                failed_runs: t.failed_runs.clone(),
                last_run: t.last_run,
                checkpoint: t.checkpoint.clone(),
                crashes: t.crashes.clone(),
                exposure: t.exposure.clone(),
            }));
        }
    }
    progress
}

/// Restores the progress of `job` from its record.
pub fn restore(job: &mut job::Job, progress: &Progress) {
    job.state = progress.state;
    job.visible_state = progress.state;
    if progress.state.is_final() {
        return;
    }
    for number in job.occurrences.len() as u32..progress.begun.min(job.occurrence_count()) {
        let occurrence = job::Occurrence::new(number, &job.submission.steps);
        job.occurrences.push(occurrence);
    }
    for (o, s, ranges) in &progress.done {
        let occurrence = job.occurrences.get_mut(*o as usize);
        let Some(step) = occurrence.and_then(|o| o.steps.get_mut(*s as usize)) else {
            continue;
        };
        for (first, last) in ranges {
            for task in step
                .tasks
                .iter_mut()
                .take(*last as usize + 1)
                .skip(*first as usize)
            {
                task.phase = job::Phase::Done;
            }
        }
        let unfinished = |t: &&job::Task| t.phase != job::Phase::Done;
        step.left = step.tasks.iter().filter(unfinished).count() as u32;
    }
    for note in &progress.tasks {
        let (o, s, i) = note.position;
        let occurrence = job.occurrences.get_mut(o as usize);
        let Some(step) = occurrence.and_then(|o| o.steps.get_mut(s as usize)) else {
            continue;
        };
        let crashed = !note.crashes.is_empty();
        step.suspected |= crashed;
        job.suspected |= crashed;
        if let Some(task) = step.tasks.get_mut(i as usize) {
            task.crashes = note.crashes.clone();
            task.exposure = note.exposure.clone();
            task.failed_runs = note.failed_runs.clone();
            task.last_run = note.last_run;
            task.checkpoint = note.checkpoint.clone();
        }
    }
}
