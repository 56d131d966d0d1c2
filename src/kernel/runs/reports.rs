//! Derives outcomes, stop signals and deletions from the report of a worker.

use crate::{
    ids::Millis,
    kernel::{
        WorkerKey,
        runs::{
            Command,
            Runs,
            lost,
            outcomes,
            pending, //
        },
        workers::{
            Workers,
            worker::Worker, //
        }, //
    },
    ledger::{
        jobs::{
            Jobs,
            job, //
        },
        record, //
    },
    wire::worker::{
        Report,
        Signal,
        State,
        Task,
        TaskId, //
    }, //
};

/// Milliseconds after which an unanswered start causes the lease to be reacquired.
const START_ANSWER_TIMEOUT_MS: u64 = 2_000;

impl Runs {
    /// Handles a report under the current token, as returned by [`Workers::on_answer`].
    pub fn report(
        &mut self,
        now: Millis,
        worker: WorkerKey,
        report: &Report,
        jobs: &Jobs,
        workers: &mut Workers,
    ) -> Vec<Command> {
        let mut tasks: Vec<_> = report.tasks.iter().collect();
        tasks.sort_unstable_by(|a, b| a.id.cmp(&b.id));
        let finishes = self.proven_outcomes(now, worker, report, &tasks, jobs, workers);
        let mut commands = append_outcomes(finishes);
        commands.extend(stops(worker, &tasks, jobs));
        commands.extend(forgets(worker, &tasks, jobs));
        self.resolve_starts(now, worker, report, &tasks, workers);
        commands
    }

    /// Returns the outcomes of claimed attempts that the report proves.
    fn proven_outcomes(
        &mut self,
        now: Millis,
        worker: WorkerKey,
        report: &Report,
        tasks: &[&Task],
        jobs: &Jobs,
        workers: &Workers,
    ) -> Vec<record::FinishedAttempt> {
        let Some(entry) = workers.get(worker) else {
            return Vec::new();
        };
        let mut finishes = Vec::new();
        for (run, index) in jobs.claimed_on(&entry.id) {
            let Some((id, place)) = lost::current_claim(jobs, run, *index) else {
                continue;
            };
            let found = tasks.binary_search_by(|t| t.id.cmp(&id)).ok();
            let finish = match found {
                Some(at) => reported_outcome(tasks[at]),
                None if self.abandoned(&id, place, report, entry) => {
                    Some(outcomes::unstarted(id, "this instance did not start it"))
                }
                None => absence_outcome(id, place, report, entry, jobs),
            };
            finishes.extend(finish.filter(|f| self.proposals.propose(now, &f.id)));
        }
        finishes
    }

    /// Returns whether an attempt was claimed under the current token and will never be started by
    /// this instance: its claim won after the proposal had expired, or was in a part of the log
    /// that a snapshot replaced. A started attempt remains allocated or pending until its outcome.
    fn abandoned(
        &self,
        id: &TaskId,
        place: &job::Assignment,
        report: &Report,
        worker: &Worker,
    ) -> bool {
        let own = place.token == report.token && place.boot == report.incarnation;
        let allocated = worker
            .allocations()
            .binary_search_by(|a| a.id.cmp(id))
            .is_ok();
        own && !allocated && !self.pending.has(&id.run, id.index, id.attempt)
    }

    /// Resolves starts of unknown result, through the report or through a new token.
    fn resolve_starts(
        &mut self,
        now: Millis,
        worker: WorkerKey,
        report: &Report,
        tasks: &[&Task],
        workers: &mut Workers,
    ) {
        let mut known = Vec::new();
        let mut overdue = false;
        for entry in self.pending.iter().filter(|e| e.worker == worker) {
            let since = match entry.stage {
                pending::Stage::Proposed { .. } => continue,
                pending::Stage::Sending { since } | pending::Stage::Unknown { since } => since,
            };
            let reported = tasks.binary_search_by(|t| t.id.cmp(&entry.id)).is_ok();
            if reported || entry.token < report.token {
                known.push(entry.id.clone());
            } else {
                overdue |= now.since(since) >= START_ANSWER_TIMEOUT_MS;
            }
        }
        for id in known {
            self.pending.remove(&id);
        }
        if overdue {
            workers.reacquire(now, worker);
        }
    }
}

/// Returns the outcome of an attempt that the worker reports as ended.
fn reported_outcome(task: &Task) -> Option<record::FinishedAttempt> {
    let end = match task.state {
        State::Running | State::Stopping => return None,
        State::Done => record::Outcome::Done,
        State::Failed => record::Outcome::Failed,
        State::Stopped | State::Lapsed => record::Outcome::Stopped,
    };
    Some(record::FinishedAttempt {
        id: task.id.clone(),
        end,
        checkpoint: task.checkpoint,
        reason: task.reason.clone(),
    })
}

/// Returns the outcome that the absence of an attempt from the report proves, if any. Under the
/// token of its claim, absence proves nothing, because the start may be in flight.
fn absence_outcome(
    id: TaskId,
    place: &job::Assignment,
    report: &Report,
    worker: &Worker,
    jobs: &Jobs,
) -> Option<record::FinishedAttempt> {
    if place.boot < report.incarnation {
        return Some(lost::finish(id, worker.crashed(place.boot), jobs));
    }
    if place.boot == report.incarnation && place.token < report.token {
        return Some(outcomes::unstarted(
            id,
            "the start never reached the worker",
        ));
    }
    None
}

/// Returns stop signals for attempts that are running although they must end.
fn stops(worker: WorkerKey, tasks: &[&Task], jobs: &Jobs) -> Option<Command> {
    let must_stop = |task: &&&Task| task.state == State::Running && is_over(jobs, &task.id, true);
    let tasks: Vec<_> = tasks
        .iter()
        .filter(must_stop)
        .map(|t| (t.id.clone(), Signal::Stop))
        .collect();
    (!tasks.is_empty()).then_some(Command::Signal { worker, tasks })
}

/// Returns the command to delete attempts whose outcome is in the log.
fn forgets(worker: WorkerKey, tasks: &[&Task], jobs: &Jobs) -> Option<Command> {
    let ended = |task: &&&Task| !task.state.active() && is_over(jobs, &task.id, false);
    let tasks: Vec<_> = tasks.iter().filter(ended).map(|t| t.id.clone()).collect();
    (!tasks.is_empty()).then_some(Command::Forget { worker, tasks })
}

/// Returns whether, according to the log, an attempt has ended or, with `stopping`, must end.
/// Neither applies to an attempt that is not in the log yet.
fn is_over(jobs: &Jobs, id: &TaskId, stopping: bool) -> bool {
    let Some(job) = jobs.get(&id.run) else {
        return false;
    };
    if job.closed || (stopping && job.stopping()) {
        return true;
    }
    let Some(task) = job.tasks.get(id.index as usize) else {
        return false;
    };
    id.attempt < task.attempt
        || (id.attempt == task.attempt && job.assignment(id.index, id.attempt).is_none())
}

/// Returns the command that appends outcomes, if there are any.
pub(super) fn append_outcomes(tasks: Vec<record::FinishedAttempt>) -> Vec<Command> {
    if tasks.is_empty() {
        return Vec::new();
    }
    vec![Command::AppendOutcomes(record::Ended { tasks })]
}
