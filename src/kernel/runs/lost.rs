//! Ends attempts on workers that the platform has terminated or restarted.

use compact_str::CompactString;

use crate::{
    ids::{
        Boot,
        Millis,
        WorkerId, //
    },
    kernel::{
        members::Members,
        runs::{
            Command,
            Runs, //
        }, //
    },
    ledger::{
        jobs::{
            Jobs,
            job, //
        },
        record, //
    },
    wire::{
        list,
        worker::TaskId, //
    }, //
};

impl Runs {
    /// Handles the list of the platform: attempts that were claimed on an earlier incarnation of a
    /// worker, or on a worker that is gone, are lost.
    pub fn listed(
        &mut self,
        now: Millis,
        listing: &list::Listing,
        jobs: &Jobs,
        members: &Members,
    ) -> Vec<Command> {
        let mut finishes = Vec::new();
        for instance in &listing.instances {
            if instance.role != list::Role::Worker {
                continue;
            }
            let Ok(id) = WorkerId::try_from(instance.id.clone()) else {
                continue;
            };
            let gone = instance.state == list::State::Gone;
            let ends_oldest = |oldest| oldest < instance.boot || (gone && oldest == instance.boot);
            let ended = jobs.oldest_incarnation(&id).is_some_and(ends_oldest);
            if !ended || !members.responsible(now, id.as_str()) {
                continue;
            }
            finishes.extend(self.lost_attempts(now, &id, (instance.boot, gone), jobs));
        }
        super::reports::append_outcomes(finishes)
    }

    fn lost_attempts(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        (boot, gone): (Boot, bool),
        jobs: &Jobs,
    ) -> Vec<record::FinishedAttempt> {
        let has_ended = |place: &job::Assignment| place.boot < boot || (gone && place.boot == boot);
        let mut finishes = Vec::new();
        for (run, index) in jobs.claimed_on(worker) {
            let Some((id, place)) = current_claim(jobs, run, *index) else {
                continue;
            };
            if has_ended(place) && self.proposals.propose(now, &id) {
                finishes.push(finish(id));
            }
        }
        finishes
    }
}

/// Returns the currently claimed attempt of a task and its placement.
pub(super) fn current_claim<'a>(
    jobs: &'a Jobs,
    run: &crate::ids::RunId,
    index: u32,
) -> Option<(TaskId, &'a job::Assignment)> {
    let job = jobs.get(run)?;
    let attempt = job.tasks.get(index as usize)?.attempt;
    let place = job.assignment(index, attempt)?;
    let run = run.clone();
    let id = TaskId {
        run,
        index,
        attempt,
    };
    Some((id, place))
}

/// Returns the outcome of an attempt whose worker incarnation has ended.
pub(super) fn finish(id: TaskId) -> record::FinishedAttempt {
    record::FinishedAttempt {
        id,
        end: record::Outcome::Lost,
        checkpoint: 0,
        reason: CompactString::const_new("the worker restarted or was ended"),
    }
}
