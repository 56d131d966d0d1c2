//! The owner's decisions: a state machine over jobs, workers and a clock, without input or output.
//!
//! Events come in as method calls with the local time in milliseconds; what is to be done comes out
//! of [`Engine::actions`]. Whoever carries an action out reports back by another call. Everything
//! that must outlive the owner is gathered into batches, see [`Engine::batch`].

use compact_str::CompactString;
use log::info;
use slotmap::SlotMap;

use crate::resources::Resources;

use super::{
    archive, //
    cluster::{
        Cluster,
        Run, //
        RunState,
    },
    job::{
        Job,
        JobKey,
        Occurrence,
        Phase,
        RunKey,
        StepKey,
        TaskKey,
        WorkerKey, //
    },
    model::{
        self,
        State, //
    },
};

pub mod batch;
pub mod commands;
pub mod placement;
pub mod policy;
pub mod proxies;
pub mod recovery;
pub mod registry;
pub mod reports;
pub mod status;
pub mod submissions;

/// Run numbers left free for the runs of each earlier owner, which are not all stored. An owner
/// rarely starts a task more than a few times.
const RUNS_A_TERM: u32 = 64;

/// Most tasks of a job, over all its steps: what one record and one pass can carry.
const MAX_TASKS: u32 = 20_000;

/// Occurrences of a job that may run at once; later ones wait for the oldest to finish.
const MAX_OCCURRENCES: usize = 256;

/// Time after which waiting steps are looked at again though nothing has happened, in milliseconds:
/// pauses, permits and suspensions end without an event; the shortest of them is as long.
const LOOK_AGAIN: u64 = 100;

/// Something to be carried out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Order a run to start; see [`Engine::start_order`].
    Start(RunKey),
    /// Order a run to stop; see [`Engine::stop_order`].
    Stop(RunKey),
    /// Ask a worker for its report; see [`Engine::hold_order`].
    Hold(WorkerKey),
    /// Ask the placement policy.
    Ask(Question),
}

/// A question to the placement policy.
#[derive(Debug, Clone, PartialEq)]
pub struct Question {
    /// The step.
    pub step: StepKey,
    /// Its name on the policy's side.
    pub name: CompactString,
    /// The workers to name.
    pub workers: Vec<CompactString>,
    /// Milliseconds that the answer takes.
    pub cost: f64,
    /// How long permits are valid, in milliseconds.
    pub valid: u64,
    /// The instance to ask through.
    pub through: CompactString,
}

/// What becomes of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It is accepted once this batch is stored.
    In(u64),
    /// It was accepted before.
    Known,
}

/// What became of a submission once its batch is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It is stored.
    Stored,
    /// It was handed in again and waits for a later batch.
    Pending,
    /// It was taken back and never runs.
    Withdrawn,
}

/// Times that the engine needs, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Times {
    /// Longest lease that a worker grants.
    pub lease: u64,
    /// How long a member of a gang waits for the others.
    pub gang: u64,
    /// Longest time that a task takes to stop.
    pub stop: u64,
    /// How long the state of a finished job is kept.
    pub keep: u64,
}

/// What the engine learned of a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct Learned {
    /// The queue.
    pub queue: CompactString,
    /// Share of workers that the placement policy finds good.
    pub good: f64,
}

/// A record to store: a key, and its value or nothing to drop the key.
pub type Entry = (CompactString, Option<Vec<u8>>);

/// The owner's state.
pub struct Engine {
    /// Fencing token of this owner.
    pub token: u64,
    /// Ordinal of this owner.
    pub term: u64,
    /// Times.
    pub times: Times,
    /// The jobs.
    pub jobs: SlotMap<JobKey, Job>,
    /// Their ids, sorted.
    pub index: Vec<(CompactString, JobKey)>,
    /// Workers and runs.
    pub books: Cluster,
    /// Steps that want to be placed.
    pub ready: Vec<StepKey>,
    /// What is to be carried out.
    pub actions: Vec<Action>,
    /// Number of the batch being gathered.
    pub open: u64,
    /// Number of the newest stored batch.
    pub durable: u64,
    /// Whether a worker has seen a higher token.
    pub deposed: bool,
    /// Local time of the store's last answer, in milliseconds.
    pub store: u64,
    /// Whether something changed since the last pass over the waiting steps.
    pub stale: bool,
    /// Local time of that pass, in milliseconds.
    looked: u64,
    dirty: Vec<JobKey>,
    dropped: Vec<CompactString>,
    fresh: Vec<(u64, JobKey)>,
    changed: Vec<(u64, JobKey)>,
    past: archive::Past,
    /// Workers whose record is to be stored.
    unrecorded: Vec<WorkerKey>,
    timed: Vec<JobKey>,
    learned: Vec<Learned>,
    /// Instances through which the policy is asked.
    pub advisers: proxies::Advisers,
    settle_by: u64,
    wall: i64,
}

impl Engine {
    /// The engine of an owner that has just begun its term.
    #[must_use]
    pub fn new(token: u64, term: u64, times: Times) -> Self {
        Self {
            token,
            term,
            times,
            jobs: SlotMap::with_key(),
            index: Vec::new(),
            books: Cluster {
                reconciled: true,
                ..Cluster::default()
            },
            ready: Vec::new(),
            actions: Vec::new(),
            open: 1,
            durable: 0,
            deposed: false,
            store: 0,
            stale: false,
            looked: 0,
            dirty: Vec::new(),
            dropped: Vec::new(),
            fresh: Vec::new(),
            changed: Vec::new(),
            past: archive::Past::default(),
            unrecorded: Vec::new(),
            timed: Vec::new(),
            learned: Vec::new(),
            advisers: proxies::Advisers::default(),
            settle_by: 0,
            wall: 0,
        }
    }

    /// Tells the engine the time of day, as the difference to the local clock in milliseconds.
    pub fn set_wall(&mut self, unix: u64, now: u64) {
        self.wall = unix as i64 - now as i64;
    }

    /// The time of day in Unix milliseconds.
    #[must_use]
    pub fn unix(&self, now: u64) -> u64 {
        (now as i64 + self.wall).max(0) as u64
    }

    fn find(&self, id: &str) -> Option<JobKey> {
        let at = self
            .index
            .binary_search_by(|(name, _)| name.as_str().cmp(id));
        at.ok().map(|at| self.index[at].1)
    }

    fn insert(&mut self, job: Job) -> JobKey {
        let id = job.id.clone();
        let key = self.jobs.insert(job);
        match self.index.binary_search_by(|(name, _)| name.cmp(&id)) {
            Ok(at) => self.index[at].1 = key,
            Err(at) => self.index.insert(at, (id, key)),
        }
        key
    }

    /// Takes a job out, with its id.
    fn remove(&mut self, key: JobKey) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        if let Ok(at) = self.index.binary_search_by(|(name, _)| name.cmp(&job.id)) {
            self.index.remove(at);
        }
    }

    /// Marks a job for the batch being gathered.
    fn touch(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        job.batch = self.open;
        if !job.dirty {
            job.dirty = true;
            self.dirty.push(key);
            self.changed.push((self.open, key));
        }
    }

    /// Ends a job: its runs are stopped, its state is stored.
    fn finish(&mut self, key: JobKey, state: State, now: u64) {
        let unix = self.unix(now);
        let job = &mut self.jobs[key];
        job.state = state;
        job.ended_at = now;
        let mut live = Vec::new();
        for task in job
            .occurrences
            .iter_mut()
            .flat_map(|o| &mut o.steps)
            .flat_map(|s| &mut s.tasks)
        {
            if let Phase::Active(run) = task.phase {
                live.push(run);
                task.phase = Phase::Waiting;
            }
        }
        info!(job = job.id.as_str(), queue = job.queue.name.as_str(), state:? = state, stopped = live.len(),
            took = unix.saturating_sub(job.accepted_at); "job ended");
        for run in live {
            self.abandon(run);
        }
        self.ready.retain(|step| step.job != key);
        self.touch(key);
        self.stale = true;
    }

    /// Stops a run whose result nobody waits for.
    fn abandon(&mut self, key: RunKey) {
        let Some(run) = self.books.runs.get_mut(key) else {
            return;
        };
        run.task = None;
        run.stopping = true;
        run.retry_after = 0;
        self.actions.push(Action::Stop(key));
    }

    /// Puts a step among those that want to be placed.
    fn enqueue(&mut self, step: StepKey) {
        let Some(state) = self
            .jobs
            .get_mut(step.job)
            .and_then(|job| job.step_mut(step))
        else {
            return;
        };
        if !state.queued && state.remaining > 0 {
            state.queued = true;
            self.ready.push(step);
        }
        self.stale = true;
    }

    /// Lets the steps of a job begin whose conditions hold.
    fn advance(&mut self, key: JobKey, now: u64) {
        let unix = self.unix(now);
        let job = &mut self.jobs[key];
        if job.state.is_final() || !job.stored {
            return;
        }
        let live = job.occurrences.iter().filter(|o| !o.is_done()).count();
        let mut room = MAX_OCCURRENCES.saturating_sub(live);
        while (job.occurrences.len() as u32) < job.occurrence_count() && room > 0 {
            let number = job.occurrences.len() as u32;
            if job.due_at(number) > unix {
                break;
            }
            job.occurrences
                .push(Occurrence::new(number, &job.submission.steps));
            room -= 1;
        }
        let mut steps = Vec::new();
        for (o, occurrence) in job.occurrences.iter().enumerate() {
            for (s, (state, plan)) in occurrence
                .steps
                .iter()
                .zip(&job.submission.steps)
                .enumerate()
            {
                if !state.queued && state.waiting() > 0 && occurrence.is_ready(plan) {
                    steps.push(StepKey {
                        job: key,
                        occurrence: o as u32,
                        step: s as u32,
                    });
                }
            }
        }
        if (job.occurrences.len() as u32) < job.occurrence_count() && !self.timed.contains(&key) {
            self.timed.push(key);
        }
        for step in steps {
            self.enqueue(step);
        }
    }

    /// Lets time pass: due occurrences, orders to repeat, leases that ran out, old jobs.
    pub fn tick(&mut self, now: u64) {
        for key in std::mem::take(&mut self.timed) {
            if self.jobs.contains_key(key) {
                self.advance(key, now);
            }
        }
        self.lapse(now);
        self.repeat(now);
        self.collect_gangs(now);
        self.settle(now);
        self.hold_due(now);
        self.forget(now);
        self.stale |= !self.ready.is_empty() && now >= self.looked + LOOK_AGAIN;
    }

    /// Books a run of a task.
    fn book(
        &mut self,
        task: TaskKey,
        worker: WorkerKey,
        number: u32,
        ticket: CompactString,
        now: u64,
    ) -> RunKey {
        let job = &mut self.jobs[task.step.job];
        let demand = demand(&job.submission.steps[task.step.step as usize]);
        let name = job.task_name(task);
        let run = self.books.add_run(Run {
            task: Some(task),
            name,
            number,
            worker,
            demand,
            state: RunState::Sent,
            start_expires: 0,
            ordered_at: now,
            permit: ticket,
            stopping: false,
            retry_after: 0,
            in_flight: false,
        });
        if let Some(state) = job.task_mut(task) {
            state.phase = Phase::Active(run);
            state.last_run = state.last_run.max(number);
        }
        run
    }

    /// The next run number of a task.
    fn next_run(&self, job: &Job, run: u32) -> u32 {
        let terms = self.term.saturating_sub(job.term) as u32;
        run.max(terms.saturating_mul(RUNS_A_TERM)) + 1
    }

    /// What the engine learned of a queue.
    fn learned(&mut self, queue: &str) -> &mut Learned {
        let at = self
            .learned
            .binary_search_by(|l| l.queue.as_str().cmp(queue));
        let at = at.unwrap_or_else(|at| {
            let fresh = Learned {
                queue: queue.into(),
                good: policy::GOOD_SHARE,
            };
            self.learned.insert(at, fresh);
            at
        });
        &mut self.learned[at]
    }
}

/// What a task of a step takes on a worker.
fn demand(step: &model::Step) -> Resources {
    let millicores = if step.opportunistic {
        0
    } else {
        step.demand.millicores
    };
    Resources {
        millicores,
        ..step.demand
    }
}
