//! What a job that ended counts as. Worked out from the log alone, so that every job counts once,
//! whichever instances were alive when it ended.

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

/// The work that a job was, once it is done, failed or cancelled at `at`; `None` while it goes on.
///
/// A service has no end of its own: it counts by when it was placed, and its caller's cancellation
/// is its good end.
#[must_use]
pub fn completed_work(job: &Job, state: JobState, at: Millis) -> Option<tally::Work> {
    let end = outcome(job, state)?;
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
        end,
    })
}

fn outcome(job: &Job, state: JobState) -> Option<tally::End> {
    let service = job.spec.terms.kind == Kind::Service;
    match state {
        JobState::Done => Some(tally::End::Done),
        JobState::Failed => Some(tally::End::Failed),
        JobState::Cancelled if service && job.started.is_some() => Some(tally::End::Done),
        JobState::Cancelled => Some(tally::End::Cancelled),
        JobState::Waiting | JobState::Running => None,
    }
}
