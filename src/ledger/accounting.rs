//! Derives the outcome of an ended job for the service-level report.
//!
//! Only the log is consulted, so every job counts exactly once, whichever instances were running
//! when it ended.

use crate::{
    ids::Millis,
    kernel::tally,
    ledger::jobs::job::Job,
    profile::{
        Kind,
        Objective, //
    },
    wire::caller::{
        JobState,
        Ran, //
    }, //
};

/// Returns the outcome of a job that was done, failed or cancelled at `at`; `None` while the job is
/// active.
///
/// A service does not complete by itself: it counts by its time to placement, and cancellation by
/// its caller counts as success.
#[must_use]
pub fn completed_work(job: &Job, state: JobState, at: Millis) -> Option<tally::Work> {
    let outcome = outcome(job, state)?;
    let spec = &job.spec;
    let service = spec.terms.kind == Kind::Service;
    let placed = job.started.unwrap_or(at);
    let waited = placed.since(job.accepted);
    Some(tally::Work {
        profile: spec.profile.clone(),
        version: spec.version,
        waited,
        took: if service {
            waited
        } else {
            at.since(job.accepted)
        },
        objective: Objective {
            deadline: spec.deadline,
            wait: spec.terms.wait,
            ..Objective::default()
        },
        ran: if job.started.is_some() {
            Ran::Yes
        } else {
            Ran::No
        },
        attempts: 1,
        outcome,
    })
}

fn outcome(job: &Job, state: JobState) -> Option<tally::Outcome> {
    let service = job.spec.terms.kind == Kind::Service;
    match state {
        JobState::Done => Some(tally::Outcome::Done),
        JobState::Failed => Some(tally::Outcome::Failed),
        JobState::Cancelled if service && job.started.is_some() => Some(tally::Outcome::Done),
        JobState::Cancelled => Some(tally::Outcome::Cancelled),
        JobState::Waiting | JobState::Running => None,
    }
}
