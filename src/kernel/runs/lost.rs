//! Ends attempts on workers that the platform has terminated or restarted.

use compact_str::CompactString;

use crate::{
    ids::{
        Millis,
        WorkerId, //
        WorkerIncarnation,
    },
    kernel::{
        members::Members,
        runs::{
            Command,
            Runs, //
        },
        workers::Workers, //
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

/// Number of crashes of its workers that a task is not blamed for: workers also crash for causes of
/// their own.
const FREE_CRASHES: u32 = 2;

impl Runs {
    /// Handles the list of the platform: attempts that were claimed on an earlier incarnation of a
    /// worker, or on a worker that is gone, are lost.
    pub fn listed(
        &mut self,
        now: Millis,
        listing: &list::Listing,
        jobs: &Jobs,
        members: &Members,
        workers: &Workers,
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
            let ends_oldest =
                |oldest| oldest < instance.incarnation || (gone && oldest == instance.incarnation);
            let ended = jobs.oldest_incarnation(&id).is_some_and(ends_oldest);
            if !ended || !members.responsible(now, id.as_str()) {
                continue;
            }
            let ended = (instance.incarnation, gone);
            finishes.extend(self.lost_attempts(now, &id, ended, jobs, workers));
        }
        super::reports::append_outcomes(finishes)
    }

    fn lost_attempts(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        (boot, gone): (WorkerIncarnation, bool),
        jobs: &Jobs,
        workers: &Workers,
    ) -> Vec<record::FinishedAttempt> {
        let entry = workers.key(worker).and_then(|key| workers.get(key));
        let has_ended = |place: &job::Assignment| place.boot < boot || (gone && place.boot == boot);
        let mut finishes = Vec::new();
        for (run, index) in jobs.claimed_on(worker) {
            let Some((id, place)) = current_claim(jobs, run, *index) else {
                continue;
            };
            if has_ended(place) && self.proposals.propose(now, &id) {
                let crashed = entry.is_some_and(|e| e.crashed(place.boot));
                finishes.push(finish(id, crashed, jobs));
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

/// Returns the outcome of an attempt whose worker incarnation has ended. Beyond [`FREE_CRASHES`], a
/// crash counts as a failed attempt of the task, so that its job fails when the attempts are used up.
pub(super) fn finish(id: TaskId, crashed: bool, jobs: &Jobs) -> record::FinishedAttempt {
    let task = jobs
        .get(&id.run)
        .and_then(|j| j.tasks.get(id.index as usize));
    let crashes = task.map_or(0, |t| t.crashes);
    let (end, reason) = match crashed {
        true if crashes >= FREE_CRASHES => (record::Outcome::Failed, record::CRASHED),
        true => (record::Outcome::Lost, record::CRASHED),
        false => (record::Outcome::Lost, "the worker restarted or was ended"),
    };
    record::FinishedAttempt {
        id,
        end,
        checkpoint: 0,
        reason: CompactString::const_new(reason),
    }
}
