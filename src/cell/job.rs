//! State of one job: its occurrences, steps and tasks.

use compact_str::{
    CompactString, //
};
use slotmap::new_key_type;

use super::{
    cluster,
    model,
    shares,
    suspicion, //
};

new_key_type! {
    /// Key of a job.
    pub struct JobKey;
    /// Key of a run of a task on a worker.
    pub struct RunKey;
    /// Key of a worker.
    pub struct WorkerKey;
}

/// Key of a step in an occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StepKey {
    /// Key of the job.
    pub job: JobKey,
    /// Position among the job's occurrences.
    pub occurrence: u32,
    /// Position of the step in the job.
    pub step: u32,
}

/// Key of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskKey {
    /// Key of the step.
    pub step: StepKey,
    /// Index within the step.
    pub index: u32,
}

impl TaskKey {
    /// Key of a task from the positions of its occurrence, step and itself.
    #[must_use]
    pub fn new(job: JobKey, occurrence: usize, step: usize, index: usize) -> Self {
        Self {
            step: StepKey {
                job,
                occurrence: occurrence as u32,
                step: step as u32,
            },
            index: index as u32,
        }
    }
}

/// Phase of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Phase {
    /// The task waits to be placed.
    #[default]
    Waiting,
    /// A run of the task may be active.
    Active(RunKey),
    /// The task has succeeded.
    Done,
}

/// State of one task.
#[derive(Debug, Clone, Default)]
pub struct Task {
    /// Phase of the task.
    pub phase: Phase,
    /// Numbers of the failed runs, sorted. The ends of runs may be reported in any order and more
    /// than once.
    pub failed_runs: Vec<u32>,
    /// Highest run number used.
    pub last_run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: CompactString,
    /// Workers on which a run of the task has failed.
    pub failed_on: Vec<WorkerKey>,
    /// Local time from which ownership must be proven before the task starts again, in
    /// milliseconds: another owner may know the outcome of the last run.
    pub proof_from: u64,
    /// Crashes of workers under runs of the task, sorted by run.
    pub crashes: Vec<suspicion::Crash>,
    /// Whether the suspicion from these crashes has ended, since a wave explains them.
    pub released: bool,
    /// Run whose worker may have crashed under it.
    pub exposure: Option<suspicion::Exposure>,
    /// Whether a run of an earlier owner may be on a cordoned worker.
    pub withheld: bool,
    /// Whether a copy completed the task while a run of an earlier owner could be unknown.
    pub overtaken: bool,
}

impl Task {
    /// Whether the task waits to be placed.
    #[must_use]
    pub fn waits(&self) -> bool {
        self.phase == Phase::Waiting && !self.withheld
    }

    /// Whether the task waits and may only start on a worker without other jobs.
    #[must_use]
    pub fn awaits_trial(&self) -> bool {
        self.waits() && !self.released && suspicion::needs_trial(&self.crashes)
    }
}

/// Permit of the placement policy, as held by the engine.
#[derive(Debug, Clone)]
pub struct HeldPermit {
    /// Worker that the permit is for.
    pub worker: WorkerKey,
    /// Incarnation of the worker that the permit is for.
    pub incarnation: u64,
    /// Opaque token that the worker expects with the start command.
    pub token: CompactString,
    /// Local time until which the permit may be used, in milliseconds.
    pub valid_until: u64,
}

/// Reservation of a worker's capacity for a step; other steps find only the rest.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reservation {
    /// Worker whose capacity is reserved.
    pub worker: WorkerKey,
    /// Expected number of tasks, averaged over the possible answers of the policy.
    pub expected: f64,
    /// Number of tasks if the policy allows the worker.
    pub maximum: f64,
    /// Whether the policy's answer is outstanding.
    pub pending: bool,
    /// Local time until which the reservation is valid, in milliseconds.
    pub valid_until: u64,
}

/// State of a step's queries to the placement policy.
#[derive(Debug, Clone, Default)]
pub struct PolicyState {
    /// Permits that the step holds.
    pub permits: Vec<HeldPermit>,
    /// Workers that may run the step, sorted.
    pub allowed: Vec<WorkerKey>,
    /// Workers that may not run the step, sorted.
    pub denied: Vec<WorkerKey>,
    /// Number of queries in flight.
    pub in_flight: u32,
    /// Capacity reserved for the step.
    pub reservations: Vec<Reservation>,
    /// Number of probes: queries sent only to learn which workers are allowed.
    pub probes: u32,
    /// Local time before which no other probe is sent, in milliseconds.
    pub probe_after: u64,
    /// Local time before which no query is sent, in milliseconds.
    pub retry_after: u64,
}

impl PolicyState {
    /// Valid permit for an incarnation of `worker` at local time `now`, in milliseconds.
    #[must_use]
    pub fn permit(&self, worker: WorkerKey, incarnation: u64, now: u64) -> Option<&HeldPermit> {
        self.permits
            .iter()
            .find(|t| t.worker == worker && t.incarnation == incarnation && t.valid_until > now)
    }
}

/// State of one step in one occurrence.
#[derive(Debug, Clone, Default)]
pub struct StepState {
    /// Tasks of the step.
    pub tasks: Vec<Task>,
    /// Number of tasks that have not succeeded.
    pub left: u32,
    /// Whether the step is in the engine's backlog.
    pub queued: bool,
    /// State of the queries to the placement policy.
    pub policy: PolicyState,
    /// Whether the gang's current run has ended and its remaining members are being stopped.
    pub broken: bool,
    /// Whether a worker has crashed under a task of the step.
    pub suspected: bool,
}

impl StepState {
    fn new(step: &model::Step) -> Self {
        Self {
            tasks: vec![Task::default(); step.count as usize],
            left: step.count,
            ..Self::default()
        }
    }

    /// Number of tasks that wait to be placed.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.tasks.iter().filter(|t| t.waits()).count()
    }

    /// Number of tasks that wait to run alone, because workers have crashed under them.
    #[must_use]
    pub fn trials(&self) -> usize {
        match self.suspected {
            true => self.tasks.iter().filter(|t| t.awaits_trial()).count(),
            false => 0,
        }
    }

    /// Number of tasks with a run that may be active.
    #[must_use]
    pub fn active(&self) -> usize {
        let live = |t: &&Task| matches!(t.phase, Phase::Active(_));
        self.tasks.iter().filter(live).count()
    }
}

/// One occurrence of a job.
#[derive(Debug, Clone)]
pub struct Occurrence {
    /// Number of the occurrence, from 0.
    pub number: u32,
    /// Steps of the occurrence.
    pub steps: Vec<StepState>,
    /// Whether its due time has come by this owner's clock. An earlier owner whose clock was ahead may
    /// have begun it before.
    pub due: bool,
}

impl Occurrence {
    /// Creates an occurrence of which no task has run.
    #[must_use]
    pub fn new(number: u32, steps: &[model::Step]) -> Self {
        Self {
            number,
            steps: steps.iter().map(StepState::new).collect(),
            due: false,
        }
    }

    /// Whether all tasks have succeeded.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.left == 0)
    }

    /// Whether all steps that `step` depends on have succeeded.
    #[must_use]
    pub fn is_ready(&self, step: &model::Step) -> bool {
        let done = |i: &u32| self.steps.get(*i as usize).is_some_and(|s| s.left == 0);
        step.depends_on.iter().all(done)
    }
}

/// State of a job.
#[derive(Debug, Clone)]
pub struct Job {
    /// Id, chosen by the caller.
    pub id: CompactString,
    /// Queue as it was when the job was accepted.
    pub queue: model::Queue,
    /// Job as submitted.
    pub submission: model::Submission,
    /// Estimated run time of the longest chain from each step on, in milliseconds. A placement pass
    /// needs it for each step, and it takes the time of all steps to find.
    pub chains: Vec<u64>,
    /// Instance that received the job from its caller; empty if not known in this term.
    pub origin: CompactString,
    /// Organisation on whose behalf the job was submitted; empty for none.
    pub organisation: CompactString,
    /// Key of the organisation.
    pub organisation_key: shares::Key,
    /// Whether the job is beyond the rate at which its organisation is owed service.
    pub excess: bool,
    /// Time of acceptance, in Unix milliseconds.
    pub accepted_at: u64,
    /// Owner's term in which the job was accepted.
    pub term: u64,
    /// Current state.
    pub state: model::State,
    /// Stored state, which callers may see.
    pub visible_state: model::State,
    /// Whether the job is stored.
    pub stored: bool,
    /// Whether the job was sent to the store, and so may be stored.
    pub sent: bool,
    /// Local time until which a caller waits for the job to be stored, in milliseconds.
    pub awaited_until: u64,
    /// Batch that stores the newest state.
    pub batch: u64,
    /// Whether the job is part of the batch being gathered.
    pub dirty: bool,
    /// Whether a task has started.
    pub started: bool,
    /// Occurrences so far.
    pub occurrences: Vec<Occurrence>,
    /// Local time at which the job reached its final state, in milliseconds.
    pub ended_at: u64,
    /// Time until which the job meets its latency objective, in Unix milliseconds.
    pub deadline: u64,
    /// Whether unknown runs of an earlier owner may exist.
    pub inherited: bool,
    /// Whether a worker has crashed under a task of the job.
    pub suspected: bool,
    /// Whether the stored progress could not be read, so that any task may be done.
    pub unread: bool,
}

impl Job {
    /// Finds a step by its key.
    #[must_use]
    pub fn step(&self, key: StepKey) -> Option<&StepState> {
        let occurrence = self.occurrences.get(key.occurrence as usize)?;
        occurrence.steps.get(key.step as usize)
    }

    /// Finds a step by its key.
    pub fn step_mut(&mut self, key: StepKey) -> Option<&mut StepState> {
        let occurrence = self.occurrences.get_mut(key.occurrence as usize)?;
        occurrence.steps.get_mut(key.step as usize)
    }

    /// Definition of a step in the submission.
    #[must_use]
    pub fn definition(&self, key: StepKey) -> Option<&model::Step> {
        self.submission.steps.get(key.step as usize)
    }

    /// Finds a task by its key.
    pub fn task_mut(&mut self, key: TaskKey) -> Option<&mut Task> {
        self.step_mut(key.step)?.tasks.get_mut(key.index as usize)
    }

    /// Name of a task.
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

    /// Whether the job has a task of this name, in an occurrence that has begun or a later one.
    #[must_use]
    pub fn has_task(&self, name: &model::TaskName) -> bool {
        let step = self.submission.steps.get(name.step as usize);
        name.occurrence < self.occurrence_count() && step.is_some_and(|s| name.index < s.count)
    }

    /// Total number of occurrences of the job.
    #[must_use]
    pub fn occurrence_count(&self) -> u32 {
        self.submission.occurrences.max(1)
    }

    /// Due time of an occurrence, in Unix milliseconds; 0 without a schedule.
    #[must_use]
    pub fn due_at(&self, number: u32) -> u64 {
        if self.submission.occurrences == 0 {
            return 0;
        }
        let elapsed = u64::from(number).saturating_mul(self.submission.interval);
        self.submission.first_due.saturating_add(elapsed)
    }

    /// Whether all tasks of all occurrences have succeeded.
    #[must_use]
    pub fn is_done(&self) -> bool {
        let long_running = self.submission.steps.iter().any(|step| step.long_running);
        let all = self.occurrences.len() as u32 == self.occurrence_count();
        !long_running && all && self.occurrences.iter().all(Occurrence::is_done)
    }

    /// Estimated run time of the longest chain of steps that begins with `step`, in milliseconds.
    #[must_use]
    pub fn critical_path_from(&self, step: usize) -> u64 {
        self.chains.get(step).copied().unwrap_or(0)
    }

    /// Estimated run time of the longest chain of steps in the job, in milliseconds.
    #[must_use]
    pub fn critical_path(&self) -> u64 {
        self.chains.iter().copied().max().unwrap_or(0)
    }
}

/// Estimated run time of the longest chain from each of `steps` on, in milliseconds.
#[must_use]
pub fn chains(steps: &[model::Step]) -> Vec<u64> {
    let mut chains = vec![0_u64; steps.len()];
    // Steps depend on earlier steps only.
    for (i, step) in steps.iter().enumerate().rev() {
        chains[i] = chains[i].saturating_add(step.estimate);
        for before in step.depends_on.iter().map(|before| *before as usize) {
            if before < i {
                chains[before] = chains[before].max(chains[i]);
            }
        }
    }
    chains
}

/// Time in which a job of these steps is to complete, in milliseconds.
#[must_use]
pub fn objective(queue: &model::Queue, steps: &[model::Step]) -> u64 {
    let longest = chains(steps).into_iter().max().unwrap_or(0);
    let span = longest as f64 * queue.stretch;
    (span as u64).saturating_add(queue.target)
}

/// Whether `job` may start runs now, given the workers that may hold unknown runs. Of
/// its tasks, those that may be on a cordoned worker are withheld.
#[must_use]
pub fn may_start(job: &Job, cluster: &cluster::Cluster) -> bool {
    !job.state.is_final()
        && job.stored
        && !job.unread
        && (!job.inherited || cluster.reconciled || cluster.surveyed)
}
