//! The state of one job: its occurrences, steps and tasks.

use compact_str::{
    CompactString, //
};
use slotmap::new_key_type;

use super::{
    cluster,
    model, //
};

new_key_type! {
    /// A job.
    pub struct JobKey;
    /// A run of a task on a worker.
    pub struct RunKey;
    /// A worker.
    pub struct WorkerKey;
}

/// Names a step of an occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepKey {
    /// The job.
    pub job: JobKey,
    /// Position among the job's live occurrences.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
}

/// Names a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskKey {
    /// Its step.
    pub step: StepKey,
    /// Index within the step.
    pub index: u32,
}

/// Where a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Phase {
    /// It waits.
    #[default]
    Waiting,
    /// It may be running.
    Active(RunKey),
    /// It has succeeded.
    Done,
}

/// One task.
#[derive(Debug, Clone, Default)]
pub struct Task {
    /// Where it stands.
    pub phase: Phase,
    /// Numbers of the runs that have failed, sorted. Their ends may be learned in any order, and
    /// more than once.
    pub failed_runs: Vec<u32>,
    /// Highest run number used.
    pub last_run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: CompactString,
    /// Workers on which it has failed.
    pub failed_on: Vec<WorkerKey>,
}

/// A permit as the engine keeps it.
#[derive(Debug, Clone)]
pub struct HeldPermit {
    /// The worker.
    pub worker: WorkerKey,
    /// The worker's life that it holds for.
    pub incarnation: u64,
    /// What the worker wants to see.
    pub token: CompactString,
    /// Local time until which it may be used, in milliseconds.
    pub valid_until: u64,
}

/// Room on a worker that a step is about to use: others find only the rest.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reservation {
    /// The worker.
    pub worker: WorkerKey,
    /// Number of tasks, on average over what the policy may answer.
    pub expected: f64,
    /// Number of tasks if the policy finds the worker good.
    pub maximum: f64,
    /// Whether the answer is still out.
    pub pending: bool,
    /// Local time until which it holds, in milliseconds.
    pub valid_until: u64,
}

/// What the placement policy said of a step.
#[derive(Debug, Clone, Default)]
pub struct PolicyState {
    /// Permits.
    pub permits: Vec<HeldPermit>,
    /// Workers that may run the step, sorted.
    pub allowed: Vec<WorkerKey>,
    /// Workers that may not, sorted.
    pub denied: Vec<WorkerKey>,
    /// Questions that are out.
    pub in_flight: u32,
    /// Room that the step is about to use.
    pub reservations: Vec<Reservation>,
    /// Questions that were asked only to learn which workers are good.
    pub probes: u32,
    /// Local time before which none such is asked again, in milliseconds.
    pub probe_after: u64,
    /// Local time before which no question is asked again, in milliseconds.
    pub retry_after: u64,
}

impl PolicyState {
    /// The valid permit for `worker`.
    #[must_use]
    pub fn permit(&self, worker: WorkerKey, born: u64, now: u64) -> Option<&HeldPermit> {
        self.permits
            .iter()
            .find(|t| t.worker == worker && t.incarnation == born && t.valid_until > now)
    }
}

/// One step of one occurrence.
#[derive(Debug, Clone, Default)]
pub struct StepState {
    /// The tasks.
    pub tasks: Vec<Task>,
    /// Tasks that have not succeeded.
    pub remaining: u32,
    /// Whether the step is in the list of steps that want to be placed.
    pub queued: bool,
    /// What the placement policy said.
    pub policy: PolicyState,
    /// Whether the gang's current run has ended and its members are being collected.
    pub broken: bool,
}

impl StepState {
    fn new(step: &model::Step) -> Self {
        Self {
            tasks: vec![Task::default(); step.count as usize],
            remaining: step.count,
            ..Self::default()
        }
    }

    /// Number of tasks that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let idle = |t: &&Task| t.phase == Phase::Waiting;
        self.tasks.iter().filter(idle).count()
    }

    /// Number of tasks that may be running.
    #[must_use]
    pub fn active(&self) -> usize {
        let live = |t: &&Task| matches!(t.phase, Phase::Active(_));
        self.tasks.iter().filter(live).count()
    }
}

/// One occurrence of a job.
#[derive(Debug, Clone)]
pub struct Occurrence {
    /// Its number, from 0.
    pub number: u32,
    /// Its steps.
    pub steps: Vec<StepState>,
}

impl Occurrence {
    /// An occurrence of which nothing has run.
    #[must_use]
    pub fn new(number: u32, steps: &[model::Step]) -> Self {
        Self {
            number,
            steps: steps.iter().map(StepState::new).collect(),
        }
    }

    /// Whether all its tasks have succeeded.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.remaining == 0)
    }

    /// Whether all steps that `step` waits for have succeeded.
    #[must_use]
    pub fn is_ready(&self, step: &model::Step) -> bool {
        let done = |i: &u32| {
            self.steps
                .get(*i as usize)
                .is_some_and(|s| s.remaining == 0)
        };
        step.depends_on.iter().all(done)
    }
}

/// A job.
#[derive(Debug, Clone)]
pub struct Job {
    /// Its id, chosen by the caller.
    pub id: CompactString,
    /// Its queue as it was when the job was accepted.
    pub queue: model::Queue,
    /// What it consists of.
    pub submission: model::Submission,
    /// When it was accepted, in Unix milliseconds.
    pub accepted_at: u64,
    /// The owner's term in which it was accepted.
    pub term: u64,
    /// Its state.
    pub state: model::State,
    /// The state that is stored and may be shown.
    pub visible_state: model::State,
    /// Whether it is stored.
    pub stored: bool,
    /// Whether it was sent to the store, so that it may be stored.
    pub sent: bool,
    /// The batch that stores its newest state.
    pub batch: u64,
    /// Whether it is in the batch being gathered.
    pub dirty: bool,
    /// Whether a task has started.
    pub started: bool,
    /// Its occurrences so far.
    pub occurrences: Vec<Occurrence>,
    /// Local time at which it reached its final state, in milliseconds.
    pub ended_at: u64,
    /// When its objective passes, in Unix milliseconds.
    pub deadline: u64,
    /// Whether unknown runs of an earlier owner may exist.
    pub inherited: bool,
}

impl Job {
    /// The step that `key` names.
    #[must_use]
    pub fn step(&self, key: StepKey) -> Option<&StepState> {
        let occurrence = self.occurrences.get(key.occurrence as usize)?;
        occurrence.steps.get(key.step as usize)
    }

    /// The step that `key` names.
    pub fn step_mut(&mut self, key: StepKey) -> Option<&mut StepState> {
        let occurrence = self.occurrences.get_mut(key.occurrence as usize)?;
        occurrence.steps.get_mut(key.step as usize)
    }

    /// The description of a step.
    #[must_use]
    pub fn definition(&self, key: StepKey) -> Option<&model::Step> {
        self.submission.steps.get(key.step as usize)
    }

    /// The task that `key` names.
    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.step_mut(key.step)?.tasks.get_mut(key.index as usize)
    }

    /// The task's name.
    #[must_use]
    pub fn task_name(&self, key: TaskKey) -> model::TaskName {
        let occurrence = self.occurrences.get(key.step.occurrence as usize);
        model::TaskName {
            job: self.id.clone(),
            occurrence: occurrence.map_or(0, |o| o.number),
            step: key.step.step,
            index: key.index,
        }
    }

    /// Number of occurrences that the job has in all.
    #[must_use]
    pub fn occurrence_count(&self) -> u32 {
        self.submission.occurrences.max(1)
    }

    /// When an occurrence is due, in Unix milliseconds.
    #[must_use]
    pub fn due_at(&self, number: u32) -> u64 {
        if self.submission.occurrences == 0 {
            return 0;
        }
        self.submission.first_due + u64::from(number) * self.submission.interval
    }

    /// Whether everything that the job consists of has succeeded.
    #[must_use]
    pub fn is_done(&self) -> bool {
        let lasting = self.submission.steps.iter().any(|step| step.long_running);
        let all = self.occurrences.len() as u32 == self.occurrence_count();
        !lasting && all && self.occurrences.iter().all(Occurrence::is_done)
    }

    /// Estimated run time of the longest chain of steps from `step` on, in milliseconds.
    #[must_use]
    pub fn critical_path_from(&self, step: usize) -> u64 {
        let steps = &self.submission.steps;
        let own = steps.get(step).map_or(0, |s| s.estimate);
        let next =
            (step + 1..steps.len()).filter(|i| steps[*i].depends_on.contains(&(step as u32)));
        own + next.map(|i| self.critical_path_from(i)).max().unwrap_or(0)
    }

    /// Estimated run time of the longest chain of all, in milliseconds.
    #[must_use]
    pub fn critical_path(&self) -> u64 {
        let chains = (0..self.submission.steps.len()).map(|i| self.critical_path_from(i));
        chains.max().unwrap_or(0)
    }
}

/// Whether `job` may start runs now, given the books of workers that may hold unknown ones.
#[must_use]
pub fn may_start(job: &Job, cluster: &cluster::Cluster) -> bool {
    !job.state.is_final() && job.stored && (!job.inherited || cluster.reconciled)
}
