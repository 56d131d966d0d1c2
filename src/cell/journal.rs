//! What the cell stores of each job, as values under keys: what was accepted, and how far it is.

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
    model, //
};

/// Beginning of the keys of accepted jobs.
const ACCEPTED_PREFIX: char = 'a';

/// Beginning of the keys of jobs' progress.
const PROGRESS_PREFIX: char = 'p';

/// Beginning of the keys of segments of finished jobs.
const SEGMENT_PREFIX: char = 'f';

/// Beginning of the keys of workers that may run tasks.
const WORKER_PREFIX: char = 'w';

/// A job as it was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Accepted {
    /// Its queue.
    pub queue: model::Queue,
    /// What it consists of.
    #[serde(rename = "work")]
    pub submission: model::Submission,
    /// When, in Unix milliseconds.
    #[serde(rename = "at")]
    pub accepted_at: u64,
    /// The owner's term.
    pub term: u64,
}

/// What is worth keeping of a task that has not succeeded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Occurrence, step and index.
    #[serde(rename = "at")]
    pub position: (u32, u32, u32),
    /// Numbers of the runs that have failed.
    #[serde(rename = "failed", default, skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<u32>,
    /// Highest run number known.
    #[serde(rename = "run")]
    pub last_run: u32,
    /// Newest checkpoint.
    #[serde(
        rename = "saved",
        default,
        skip_serializing_if = "CompactString::is_empty"
    )]
    pub checkpoint: CompactString,
}

/// Occurrence, step, and ranges of indices of tasks that have succeeded.
type CompletedRanges = (u32, u32, Vec<(u32, u32)>);

/// How far a job is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Its state.
    pub state: model::State,
    /// Number of occurrences that have begun.
    #[serde(default)]
    pub begun: u32,
    /// Steps with tasks that have succeeded; the ends of ranges are included.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<CompletedRanges>,
    /// Tasks that have failed or saved something.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub tasks: Vec<TaskProgress>,
}

/// What a key stands for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// An [`Accepted`] job.
    Accepted,
    /// The [`Progress`] of a job.
    Progress,
    /// A [`archive::Segment`](super::archive::Segment) of finished jobs.
    Segment,
    /// The [`model::Registration`] of a worker that may run tasks.
    Worker,
}

/// The key under which the record of a job, a segment or a worker lies.
#[must_use]
pub fn key(kind: Kind, name: &str) -> CompactString {
    let first = match kind {
        Kind::Accepted => ACCEPTED_PREFIX,
        Kind::Progress => PROGRESS_PREFIX,
        Kind::Segment => SEGMENT_PREFIX,
        Kind::Worker => WORKER_PREFIX,
    };
    format_compact!("{first}{name}")
}

/// The key of a segment, by the term in which it was begun and its number there.
#[must_use]
pub fn segment_key(term: u64, number: u32) -> CompactString {
    key(Kind::Segment, &format_compact!("{term}-{number}"))
}

/// What a key stands for, and of which job, segment or worker.
#[must_use]
pub fn parse_key(key: &str) -> Option<(Kind, &str)> {
    let kind = match key.chars().next()? {
        ACCEPTED_PREFIX => Kind::Accepted,
        PROGRESS_PREFIX => Kind::Progress,
        SEGMENT_PREFIX => Kind::Segment,
        WORKER_PREFIX => Kind::Worker,
        _ => return None,
    };
    Some((kind, &key[1..]))
}

/// Ranges of indices of tasks that have succeeded.
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

/// How far `job` is.
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
            let noted = |t: &job::Task| !t.failed_runs.is_empty() || !t.checkpoint.is_empty();
            let open = step.tasks.iter().enumerate();
            let open = open.filter(|(_, t)| t.phase != job::Phase::Done && noted(t));
            progress.tasks.extend(open.map(|(i, t)| TaskProgress {
                position: (o as u32, s as u32, i as u32),
                failed_runs: t.failed_runs.clone(),
                last_run: t.last_run,
                checkpoint: t.checkpoint.clone(),
            }));
        }
    }
    progress
}

/// Brings `job` to where `progress` says it was.
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
        let open = |t: &&job::Task| t.phase != job::Phase::Done;
        step.remaining = step.tasks.iter().filter(open).count() as u32;
    }
    for note in &progress.tasks {
        let (o, s, i) = note.position;
        let occurrence = job.occurrences.get_mut(o as usize);
        let step = occurrence.and_then(|o| o.steps.get_mut(s as usize));
        if let Some(task) = step.and_then(|s| s.tasks.get_mut(i as usize)) {
            task.failed_runs = note.failed_runs.clone();
            task.last_run = note.last_run;
            task.checkpoint = note.checkpoint.clone();
        }
    }
}
