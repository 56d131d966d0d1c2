//! A job and its tasks: claiming attempts, recording their outcomes, retrying and closing.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
        Millis,
        RunId,
        Token,
        WorkerId, //
        WorkerIncarnation,
    },
    ledger::record,
    profile::Kind,
    wire::caller::{
        self,
        JobState, //
    }, //
};

/// Limit on attempts that are lost or stopped through no failure of the task, as a multiple of the
/// limit on failed attempts.
const LOSS_LIMIT_FACTOR: u32 = 4;

/// The worker to which an attempt is assigned.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The worker.
    pub worker: WorkerId,
    /// The fencing token that the start of the attempt must carry.
    pub token: Token,
    /// The only incarnation of the worker in which the attempt may start.
    pub boot: WorkerIncarnation,
}

/// Stage of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The task's next attempt may be claimed.
    Waiting,
    /// The task's attempt is claimed and may execute.
    Claimed(Assignment),
    /// The task completed.
    Done,
    /// The task's attempt ended and is not retried, or not before the rest of its gang has ended.
    Over,
}

/// One task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Number of the last claimed attempt, from 1; 0 when none was claimed.
    pub attempt: u32,
    /// Current stage.
    pub stage: Stage,
    /// Furthest checkpoint, in milliseconds of run time.
    pub checkpoint: u64,
    /// Number of failed attempts; consecutive ones for a service.
    pub failures: u32,
    /// Number of attempts that were lost or stopped without a request to stop.
    pub losses: u32,
    /// Number of attempts whose worker crashed. It decides nothing here, so that builds that do not
    /// count it agree on every state.
    #[serde(default)]
    pub crashes: u32,
}

/// One job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// The accepted job. Its payload is dropped when the job has ended.
    pub spec: record::Accepted,
    /// Time of acceptance, on the platform's clock.
    pub accepted: Millis,
    /// Time at which the first attempt was claimed, on the platform's clock.
    #[serde(default)]
    pub started: Option<Millis>,
    /// State of the job.
    pub state: JobState,
    /// Why the job failed; empty otherwise.
    pub reason: CompactString,
    /// The tasks; dropped when the job has ended.
    pub tasks: Vec<Task>,
    /// Whether a gang member ended without completing, so that the other members must stop.
    pub broken: bool,
    /// Whether the job has ended and none of its attempts can still execute.
    pub closed: bool,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of claimed tasks.
    pub claimed: u32,
    #[serde(skip)]
    waiting: Vec<u32>,
}

/// Effect of ending an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptEnd {
    /// The worker to which the attempt was assigned.
    pub worker: WorkerId,
    /// State of the job, if its other attempts must be stopped or none are left.
    pub stopped: Option<JobState>,
}

impl Job {
    /// Creates a job whose tasks all wait for their first attempt.
    #[must_use]
    pub fn new(accepted: Millis, spec: record::Accepted) -> Self {
        let task = Task {
            attempt: 0,
            stage: Stage::Waiting,
            checkpoint: 0,
            failures: 0,
            losses: 0,
            crashes: 0,
        };
        let tasks = vec![task; spec.tasks as usize];
        let mut job = Self {
            spec,
            accepted,
            started: None,
            state: JobState::Waiting,
            reason: CompactString::default(),
            tasks,
            broken: false,
            closed: false,
            done: 0,
            claimed: 0,
            waiting: Vec::new(),
        };
        job.rebuild_waiting();
        job
    }

    /// Whether the job is neither done nor failed nor cancelled.
    #[must_use]
    pub fn active(&self) -> bool {
        matches!(self.state, JobState::Waiting | JobState::Running)
    }

    /// Whether executing attempts of the job must be stopped.
    #[must_use]
    pub fn stopping(&self) -> bool {
        self.broken || !self.active()
    }

    /// The indexes of the tasks whose next attempt may be claimed, sorted.
    #[must_use]
    pub fn waiting(&self) -> &[u32] {
        if self.stopping() {
            return &[];
        }
        &self.waiting
    }

    /// The assignment of an attempt, if the attempt is claimed.
    #[must_use]
    pub fn assignment(&self, index: u32, attempt: u32) -> Option<&Assignment> {
        let task = self.tasks.get(index as usize)?;
        match &task.stage {
            Stage::Claimed(assignment) if task.attempt == attempt => Some(assignment),
            _ => None,
        }
    }

    /// Every claimed task with its assignment.
    pub fn assignments(&self) -> impl Iterator<Item = (u32, &Assignment)> {
        let tasks = (0..).zip(&self.tasks);
        tasks.filter_map(|(index, task)| match &task.stage {
            Stage::Claimed(assignment) => Some((index, assignment)),
            _ => None,
        })
    }

    /// The status for the caller.
    #[must_use]
    pub fn status(&self, run: &RunId) -> caller::Status {
        let waiting = self.waiting().len();
        caller::Status {
            id: run.clone(),
            profile: self.spec.profile.clone(),
            version: self.spec.version,
            zone: self.spec.zone.clone(),
            state: self.state,
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            running: self.claimed,
            done: self.done,
            accepted: self.accepted,
            reason: self.reason.to_string(),
        }
    }

    /// Rebuilds the index of waiting tasks, which snapshots leave out.
    pub(super) fn rebuild_waiting(&mut self) {
        if !self.active() {
            return;
        }
        let tasks = (0..).zip(&self.tasks);
        let waiting = tasks.filter(|(_, task)| task.stage == Stage::Waiting);
        self.waiting = waiting.map(|(index, _)| index).collect();
    }

    /// Claims all given attempts or none. Returns whether they were claimed.
    pub(super) fn claim(&mut self, at: Millis, tasks: &[record::Placement]) -> bool {
        if !self.claimable(tasks) {
            return false;
        }
        self.started.get_or_insert(at);
        for placement in tasks {
            let task = &mut self.tasks[placement.index as usize];
            task.attempt = placement.attempt;
            task.stage = Stage::Claimed(Assignment {
                worker: placement.worker.clone(),
                token: placement.token,
                boot: placement.boot,
            });
            if let Ok(at) = self.waiting.binary_search(&placement.index) {
                self.waiting.remove(at);
            }
            self.claimed += 1;
        }
        self.state = JobState::Running;
        true
    }

    fn claimable(&self, tasks: &[record::Placement]) -> bool {
        if tasks.is_empty() || self.stopping() {
            return false;
        }
        if self.spec.terms.kind == Kind::Gang && tasks.len() != self.tasks.len() {
            return false;
        }
        let mut indexes: Vec<_> = tasks.iter().map(|p| p.index).collect();
        indexes.sort_unstable();
        let distinct = indexes.windows(2).all(|pair| pair[0] != pair[1]);
        distinct
            && tasks
                .iter()
                .all(|placement| self.is_next_attempt(placement))
    }

    /// Whether a placement names the next attempt of a waiting task.
    fn is_next_attempt(&self, placement: &record::Placement) -> bool {
        let task = self.tasks.get(placement.index as usize);
        task.is_some_and(|t| t.stage == Stage::Waiting && t.attempt + 1 == placement.attempt)
    }

    /// Ends an attempt. Returns `None` when the attempt is not claimed.
    pub(super) fn end(&mut self, finish: &record::FinishedAttempt) -> Option<AttemptEnd> {
        let assignment = self.assignment(finish.id.index, finish.id.attempt)?;
        let worker = assignment.worker.clone();
        let task = &mut self.tasks[finish.id.index as usize];
        task.checkpoint = task.checkpoint.max(finish.checkpoint);
        task.stage = Stage::Over;
        task.crashes += u32::from(finish.crashed());
        self.claimed -= 1;
        let stopped = match self.spec.terms.kind {
            _ if !self.active() => self.end_while_stopping(finish),
            Kind::Gang => self.end_gang_member(finish),
            Kind::Service => self.end_service_task(finish),
            Kind::Run | Kind::Request => self.end_task(finish),
        };
        Some(AttemptEnd { worker, stopped })
    }

    /// Closes the job once it has ended and no attempt is claimed. Returns whether this call closed
    /// it.
    pub(super) fn close(&mut self) -> bool {
        if self.closed || self.active() || self.claimed > 0 {
            return false;
        }
        self.closed = true;
        self.tasks = Vec::new();
        self.waiting = Vec::new();
        self.spec.payload = serde_json::Value::Null;
        true
    }

    /// Cancels the job. Returns whether the job was active.
    pub(super) fn cancel(&mut self) -> bool {
        if !self.active() {
            return false;
        }
        self.stop(JobState::Cancelled);
        true
    }

    fn end_while_stopping(&mut self, finish: &record::FinishedAttempt) -> Option<JobState> {
        if finish.end == record::Outcome::Done {
            self.done += 1;
        }
        None
    }

    fn end_task(&mut self, finish: &record::FinishedAttempt) -> Option<JobState> {
        if finish.end == record::Outcome::Done {
            return self.complete_task(finish.id.index);
        }
        if self.attempts_exhausted(finish) {
            return self.fail(finish);
        }
        self.requeue(finish.id.index);
        None
    }

    fn end_service_task(&mut self, finish: &record::FinishedAttempt) -> Option<JobState> {
        let task = &mut self.tasks[finish.id.index as usize];
        match finish.end {
            record::Outcome::Failed => task.failures += 1,
            record::Outcome::Done => {
                task.failures = 0;
                task.crashes = 0;
                task.checkpoint = 0;
            }
            _ => {}
        }
        self.requeue(finish.id.index);
        None
    }

    fn end_gang_member(&mut self, finish: &record::FinishedAttempt) -> Option<JobState> {
        if finish.end == record::Outcome::Done && !self.broken {
            return self.complete_task(finish.id.index);
        }
        if !self.broken && self.attempts_exhausted(finish) {
            return self.fail(finish);
        }
        let first = !self.broken;
        self.broken = true;
        if self.claimed == 0 {
            self.restart_gang();
            return None;
        }
        first.then_some(JobState::Waiting)
    }

    /// Returns all tasks of a gang to waiting, after every member has ended.
    fn restart_gang(&mut self) {
        self.broken = false;
        self.done = 0;
        self.state = JobState::Waiting;
        for task in &mut self.tasks {
            task.stage = Stage::Waiting;
        }
        self.rebuild_waiting();
    }

    fn complete_task(&mut self, index: u32) -> Option<JobState> {
        self.tasks[index as usize].stage = Stage::Done;
        self.done += 1;
        if self.done < self.spec.tasks {
            return None;
        }
        self.stop(JobState::Done);
        Some(JobState::Done)
    }

    /// Counts an unsuccessful attempt. Returns whether the task has used up its attempts.
    fn attempts_exhausted(&mut self, finish: &record::FinishedAttempt) -> bool {
        let task = &mut self.tasks[finish.id.index as usize];
        match finish.end {
            record::Outcome::Done | record::Outcome::Unstarted => return false,
            record::Outcome::Failed => task.failures += 1,
            record::Outcome::Stopped | record::Outcome::Lost => task.losses += 1,
        }
        let limit = self.spec.terms.attempts;
        task.failures >= limit || task.losses >= limit.saturating_mul(LOSS_LIMIT_FACTOR)
    }

    fn fail(&mut self, finish: &record::FinishedAttempt) -> Option<JobState> {
        self.reason = match finish.reason.as_str() {
            "" => "the last attempt ended without a reason".into(),
            _ => finish.reason.clone(),
        };
        self.stop(JobState::Failed);
        Some(JobState::Failed)
    }

    fn stop(&mut self, state: JobState) {
        self.state = state;
        self.waiting = Vec::new();
    }

    fn requeue(&mut self, index: u32) {
        self.tasks[index as usize].stage = Stage::Waiting;
        if let Err(at) = self.waiting.binary_search(&index) {
            self.waiting.insert(at, index);
        }
        if self.claimed == 0 && self.done == 0 {
            self.state = JobState::Waiting;
        }
    }
}
