//! Attempts on workers that the platform ended or restarted.

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
    /// Takes in the platform's list: what was claimed on a life of a worker that is over has ended.
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
            let old = |oldest| oldest < instance.boot || (gone && oldest == instance.boot);
            let ended = jobs.oldest_incarnation(&id).is_some_and(old);
            if !ended || !members.responsible(now, id.as_str()) {
                continue;
            }
            finishes.extend(self.ended_lives(now, &id, (instance.boot, gone), jobs));
        }
        super::reports::end(finishes)
    }

    fn ended_lives(
        &mut self,
        now: Millis,
        worker: &WorkerId,
        (boot, gone): (Boot, bool),
        jobs: &Jobs,
    ) -> Vec<record::FinishedAttempt> {
        let over = |place: &job::Assignment| place.boot < boot || (gone && place.boot == boot);
        let mut finishes = Vec::new();
        for (run, index) in jobs.claimed_on(worker) {
            let Some((id, place)) = claimed(jobs, run, *index) else {
                continue;
            };
            if over(place) && self.ends.propose(now, &id) {
                finishes.push(lost(id));
            }
        }
        finishes
    }
}

/// The attempt of a task that is claimed now, and where.
pub(super) fn claimed<'a>(
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

/// The end of an attempt whose worker's life is over.
pub(super) fn lost(id: TaskId) -> record::FinishedAttempt {
    record::FinishedAttempt {
        id,
        end: record::Outcome::Lost,
        checkpoint: 0,
        reason: CompactString::const_new("the worker restarted or was ended"),
    }
}
