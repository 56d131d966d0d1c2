//! What a worker's report proves, and what it asks for.

use crate::{
    ids::Millis,
    kernel::{
        WorkerKey,
        runs::{
            Command,
            Runs,
            ends,
            lost,
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

/// How long the answer to a start is awaited before the lease is refreshed, in milliseconds.
const PATIENCE: u64 = 2_000;

impl Runs {
    /// Takes in a report under the token held, as [`Workers::answered`] returned it.
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
        let finishes = self.proven(now, worker, report, &tasks, jobs, workers);
        let mut commands = end(finishes);
        commands.extend(stops(worker, &tasks, jobs));
        commands.extend(forgets(worker, &tasks, jobs));
        self.settle_starts(now, worker, report, &tasks, workers);
        commands
    }

    /// The ends of claimed attempts that the report proves.
    fn proven(
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
            let Some((id, place)) = lost::claimed(jobs, run, *index) else {
                continue;
            };
            let found = tasks.binary_search_by(|t| t.id.cmp(&id)).ok();
            let finish = match found {
                Some(at) => finished(tasks[at]),
                None if self.abandoned(&id, place, report, entry) => {
                    Some(ends::unstarted(id, "this instance did not start it"))
                }
                None => absent(id, place, report),
            };
            finishes.extend(finish.filter(|f| self.ends.propose(now, &f.id)));
        }
        finishes
    }

    /// Whether an attempt is an own one that this instance did not start and will not: its claim won
    /// after it was withdrawn, or stood in a part of the log that a snapshot took the place of. What
    /// was started is held or under way until its end.
    fn abandoned(
        &self,
        id: &TaskId,
        place: &job::Assignment,
        report: &Report,
        worker: &Worker,
    ) -> bool {
        let own = place.token == report.token && place.boot == report.boot;
        let held = worker.holds().binary_search_by(|h| h.id.cmp(id)).is_ok();
        own && !held && !self.pending.has(&id.run, id.index, id.attempt)
    }

    /// Settles own starts of unknown outcome, by the report or by a new token.
    fn settle_starts(
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
            let told = tasks.binary_search_by(|t| t.id.cmp(&entry.id)).is_ok();
            if told || entry.token < report.token {
                known.push(entry.id.clone());
            } else {
                overdue |= now.since(since) >= PATIENCE;
            }
        }
        for id in known {
            self.pending.remove(&id);
        }
        if overdue {
            workers.refresh(now, worker);
        }
    }
}

/// The end that the worker's word on an attempt gives.
fn finished(task: &Task) -> Option<record::FinishedAttempt> {
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

/// The end that an attempt's absence proves, if any. Under the token of its claim it proves
/// nothing: the start may be on the way.
fn absent(id: TaskId, place: &job::Assignment, report: &Report) -> Option<record::FinishedAttempt> {
    if place.boot < report.boot {
        return Some(lost::lost(id));
    }
    if place.boot == report.boot && place.token < report.token {
        return Some(ends::unstarted(id, "the start never reached the worker"));
    }
    None
}

/// Stops for attempts that execute although their job is over.
fn stops(worker: WorkerKey, tasks: &[&Task], jobs: &Jobs) -> Option<Command> {
    let unwanted = |task: &&&Task| task.state == State::Running && known(jobs, &task.id, true);
    let tasks: Vec<_> = tasks
        .iter()
        .filter(unwanted)
        .map(|t| (t.id.clone(), Signal::Stop))
        .collect();
    (!tasks.is_empty()).then_some(Command::Signal { worker, tasks })
}

/// Leave to drop attempts whose end stands in the log.
fn forgets(worker: WorkerKey, tasks: &[&Task], jobs: &Jobs) -> Option<Command> {
    let ended = |task: &&&Task| !task.state.active() && known(jobs, &task.id, false);
    let tasks: Vec<_> = tasks.iter().filter(ended).map(|t| t.id.clone()).collect();
    (!tasks.is_empty()).then_some(Command::Forget { worker, tasks })
}

/// Whether the log says that an attempt is over, or, with `stopping`, that it must end. An attempt
/// that the log does not know yet is neither.
fn known(jobs: &Jobs, id: &TaskId, stopping: bool) -> bool {
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

/// The command that appends ends, if there are any.
pub(super) fn end(tasks: Vec<record::FinishedAttempt>) -> Vec<Command> {
    if tasks.is_empty() {
        return Vec::new();
    }
    vec![Command::End(record::Ended { tasks })]
}
