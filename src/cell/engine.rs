//! The owner's decisions: a state machine over jobs, workers and a clock, without input or output.
//!
//! Events arrive as method calls with the local time in milliseconds; the engine emits
//! [`Engine::actions`]. The caller that carries out an action reports its result through another
//! call. Everything that must outlive the owner is gathered into batches, see
//! [`Engine::take_batch`].

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
    fencing,
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
    neighbours::Neighbours,
    shares,
    waves::Waves, //
};

mod admission;
pub mod batch;
mod caution;
pub mod commands;
mod cordons;
pub mod crashes;
mod ended_jobs;
pub mod incarnations;
pub mod losses;
pub mod memory;
mod organisations;
pub mod placement;
pub mod policy;
pub mod proxies;
pub mod recovery;
pub mod registry;
pub mod reports;
mod separation;
pub mod status;
pub mod submissions;
pub mod succession;
mod waves;

/// Run numbers reserved for each earlier owner, whose run numbers are not all stored. An owner
/// rarely starts a task more than a few times.
const RUNS_A_TERM: u32 = 64;

/// Maximum number of tasks of a job over all its steps, so that one record and one placement pass
/// can hold them.
const MAX_TASKS: u32 = 20_000;

/// Maximum number of occurrences of a job that run at once; later ones wait for the oldest to
/// finish.
const MAX_OCCURRENCES: usize = 256;

/// Time after which the backlog is examined again without an event, in milliseconds. Delays,
/// permits and suspensions end without an event; this is as long as the shortest of them.
const LOOK_AGAIN: u64 = 100;

/// Action that the caller of the engine carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a start command; see [`Engine::start_command`].
    Start(RunKey),
    /// Send a stop command; see [`Engine::stop_command`].
    Stop(RunKey),
    /// Poll a worker; see [`Engine::poll_command`].
    Poll(WorkerKey),
    /// Query the placement policy.
    Query(PolicyQuery),
}

/// Query to the placement policy.
#[derive(Debug, Clone, PartialEq)]
pub struct PolicyQuery {
    /// Step to be placed.
    pub step: StepKey,
    /// Name of the step as sent to the policy.
    pub name: CompactString,
    /// Ids of the workers that the query names.
    pub workers: Vec<CompactString>,
    /// Incarnation of each of them when the query was sent.
    pub incarnations: Vec<u64>,
    /// Time that the policy takes to answer, in milliseconds.
    pub cost_ms: f64,
    /// Validity of the permits, in milliseconds.
    pub validity_ms: u64,
    /// Instance that sends the query to the policy.
    pub proxy: CompactString,
}

/// Result of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Submitted {
    /// The job is accepted once this batch is stored.
    InBatch(u64),
    /// The job was accepted before.
    Known,
    /// The job was cancelled before it was submitted.
    Cancelled,
}

/// Status of a submission once its batch is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmissionStatus {
    /// The job is stored.
    Stored,
    /// The job was submitted again and waits for a later batch.
    Pending,
    /// The job was withdrawn and never runs.
    Withdrawn,
}

/// Time limits that the engine needs, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Times {
    /// Longest lease that a worker grants, in milliseconds.
    pub lease: u64,
    /// Time for which a member of a gang waits for the others, in milliseconds.
    pub gang: u64,
    /// Longest time that a task takes to stop, in milliseconds.
    pub stop: u64,
    /// Retention time for the state of a finished job, in milliseconds.
    pub keep: u64,
    /// Time after which a change of a worker's registration must be known.
    pub contact: u64,
}

/// Statistics of a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueueStats {
    /// Name of the queue.
    pub queue: CompactString,
    /// Moving average of the share of workers that the placement policy allows.
    pub share: f64,
}

/// Record to store: a key with its new value, or `None` to delete the key.
pub type Record = (CompactString, Option<Vec<u8>>);

/// State of the cell's owner.
pub struct Engine {
    /// Term of this owner.
    pub term: u64,
    /// Fencing tokens that were not used yet.
    tokens: fencing::Tokens,
    /// Time limits.
    pub times: Times,
    /// Jobs that have not been archived.
    pub jobs: SlotMap<JobKey, Job>,
    /// Ids and keys of the jobs, sorted by id.
    pub index: Vec<(CompactString, JobKey)>,
    /// Workers and runs.
    pub cluster: Cluster,
    /// Steps with tasks to be placed.
    pub backlog: Vec<StepKey>,
    /// Actions to be carried out.
    pub actions: Vec<Action>,
    /// Number of the batch being gathered.
    pub open_batch: u64,
    /// Number of the newest stored batch.
    pub durable_batch: u64,
    /// Whether a worker has seen a higher fencing token.
    pub deposed: bool,
    /// Local time at which the newest call was sent by which the store confirmed the term, in
    /// milliseconds.
    pub proven_at: u64,
    /// Local time at which the newest list of registrations that is applied was requested, in
    /// milliseconds; `None` while no list is followed.
    pub listed_at: Option<u64>,
    /// Local time from which a proof of ownership is needed for tasks to start again, in
    /// milliseconds.
    proof_from: u64,
    /// Bytes of start commands that the next placement pass may emit.
    pub start_budget: usize,
    /// Whether something has changed since the last placement pass.
    pub pass_needed: bool,
    /// Local time of the last placement pass, in milliseconds.
    last_pass: u64,
    /// Jobs with changes for the batch being gathered.
    dirty_jobs: Vec<JobKey>,
    /// Keys to delete with the batch being gathered.
    dropped_keys: Vec<CompactString>,
    /// Jobs whose acceptance is not stored yet, each with its batch.
    new_jobs: Vec<(u64, JobKey)>,
    /// Jobs whose changes are not stored yet, each with its batch.
    changed_jobs: Vec<(u64, JobKey)>,
    /// Finished jobs.
    archive: archive::Archive,
    /// Ids of the jobs of which a stored record could not be read, sorted.
    unread_jobs: Vec<CompactString>,
    /// Number of stored worker records that could not be read.
    unread_workers: usize,
    /// Workers whose registration is to be stored.
    unstored_workers: Vec<WorkerKey>,
    /// Jobs with occurrences that are not due yet.
    timed_jobs: Vec<JobKey>,
    /// Statistics of the queues, sorted by name.
    queue_stats: Vec<QueueStats>,
    /// Instances through which the policy is queried.
    pub proxies: proxies::Proxies,
    /// Runs that ended without an outcome, not yet counted.
    losses: Vec<losses::Loss>,
    /// Signs that workers have started again, not yet counted.
    signs: Vec<incarnations::Sign>,
    /// Evidence that tasks crash workers, not yet counted.
    evidence: Vec<crashes::Evidence>,
    /// Tasks whose workers may have crashed under earlier owners, with the ids of the workers.
    exposed: Vec<(CompactString, TaskKey)>,
    /// Recent silences and crashes of workers.
    caution: caution::Caution,
    /// Recent silences of workers that no task explains.
    waves: Waves,
    /// Number of tasks whose suspicion ended with a wave, not yet counted.
    released_suspects: u64,
    /// Tasks that slow each other down.
    pub neighbours: Neighbours,
    /// Runs whose start command waits for a batch.
    held_starts: Vec<RunKey>,
    /// Owners of the cell up to this one.
    succession: succession::Succession,
    /// Local time at which reconciliation ends at the latest, in milliseconds.
    reconcile_by: u64,
    /// Local time at which the stored records were loaded, in milliseconds.
    loaded_at: u64,
    /// Tasks that may run on cordoned workers.
    withheld: Vec<cordons::Withheld>,
    /// Unix time minus local time, in milliseconds.
    wall_offset: i64,
    /// Memory of the jobs.
    memory: memory::Memory,
    /// Organisations and their shares.
    shares: shares::Shares,
    /// Resources that the last placement pass left free on each worker.
    pass_room: Vec<(WorkerKey, Resources)>,
    /// Ended jobs of organisations, of which runs may go on.
    ended_jobs: Vec<ended_jobs::EndedJob>,
    /// Whether only cordoned workers were unaccounted for when unknown runs were last counted, and the
    /// local time of that, in milliseconds.
    unknown_counted: Option<(bool, u64)>,
}

impl Engine {
    /// Creates the engine of an owner that has just begun its term.
    #[must_use]
    pub fn new(term: u64, times: Times) -> Self {
        Self {
            term,
            tokens: fencing::Tokens::of(term),
            times,
            jobs: SlotMap::with_key(),
            index: Vec::new(),
            cluster: Cluster {
                reconciled: true,
                ..Cluster::default()
            },
            backlog: Vec::new(),
            actions: Vec::new(),
            open_batch: 1,
            durable_batch: 0,
            deposed: false,
            proven_at: 0,
            listed_at: None,
            proof_from: 0,
            start_budget: usize::MAX,
            pass_needed: false,
            last_pass: 0,
            dirty_jobs: Vec::new(),
            dropped_keys: Vec::new(),
            new_jobs: Vec::new(),
            changed_jobs: Vec::new(),
            archive: archive::Archive::default(),
            unread_jobs: Vec::new(),
            unread_workers: 0,
            unstored_workers: Vec::new(),
            timed_jobs: Vec::new(),
            queue_stats: Vec::new(),
            proxies: proxies::Proxies::default(),
            losses: Vec::new(),
            signs: Vec::new(),
            evidence: Vec::new(),
            exposed: Vec::new(),
            caution: caution::Caution::default(),
            waves: Waves::default(),
            released_suspects: 0,
            neighbours: Neighbours::default(),
            held_starts: Vec::new(),
            succession: succession::Succession::default(),
            reconcile_by: 0,
            loaded_at: 0,
            withheld: Vec::new(),
            wall_offset: 0,
            memory: memory::Memory::default(),
            shares: shares::Shares::default(),
            pass_room: Vec::new(),
            ended_jobs: Vec::new(),
            unknown_counted: None,
        }
    }

    /// Sets the wall clock, as an offset from the local clock in milliseconds.
    pub fn set_wall_clock(&mut self, unix: u64, now: u64) {
        self.wall_offset = unix as i64 - now as i64;
    }

    /// Converts local time to Unix time, in milliseconds.
    #[must_use]
    pub fn unix(&self, now: u64) -> u64 {
        (now as i64 + self.wall_offset).max(0) as u64
    }

    fn find_job(&self, id: &str) -> Option<JobKey> {
        let at = self
            .index
            .binary_search_by(|(name, _)| name.as_str().cmp(id));
        at.ok().map(|at| self.index[at].1)
    }

    fn insert_job(&mut self, job: Job) -> JobKey {
        let id = job.id.clone();
        self.count_memory(&job);
        let key = self.jobs.insert(job);
        match self.index.binary_search_by(|(name, _)| name.cmp(&id)) {
            Ok(at) => self.index[at].1 = key,
            Err(at) => self.index.insert(at, (id, key)),
        }
        key
    }

    /// Removes a job and its id.
    fn remove_job(&mut self, key: JobKey) {
        let Some(job) = self.jobs.remove(key) else {
            return;
        };
        self.discount_memory(&job);
        if let Ok(at) = self.index.binary_search_by(|(name, _)| name.cmp(&job.id)) {
            self.index.remove(at);
        }
    }

    /// Marks a job for the batch being gathered.
    fn mark_dirty(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        job.batch = self.open_batch;
        if !job.dirty {
            job.dirty = true;
            self.dirty_jobs.push(key);
            self.changed_jobs.push((self.open_batch, key));
        }
    }

    /// Moves a job to a final state: its runs are stopped and the state is stored.
    fn finish_job(&mut self, key: JobKey, state: State, now: u64) {
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
            self.discard_run(run);
        }
        self.keep_ended_job(key, now);
        self.backlog.retain(|step| step.job != key);
        self.mark_dirty(key);
        self.pass_needed = true;
    }

    /// Stops a run whose result no task needs.
    fn discard_run(&mut self, key: RunKey) {
        let Some(run) = self.cluster.runs.get_mut(key) else {
            return;
        };
        run.task = None;
        run.stopping = true;
        run.retry_after = 0;
        self.actions.push(Action::Stop(key));
    }

    /// Adds a step to the backlog.
    fn enqueue(&mut self, step: StepKey) {
        let Some(job) = self.jobs.get_mut(step.job) else {
            return;
        };
        // The other steps follow when their time comes.
        let occurrence = job.occurrences.get_mut(step.occurrence as usize);
        let Some(state) = occurrence
            .filter(|occurrence| occurrence.due)
            .and_then(|occurrence| occurrence.steps.get_mut(step.step as usize))
        else {
            return;
        };
        if !state.queued && state.left > 0 {
            state.queued = true;
            self.backlog.push(step);
        }
        self.pass_needed = true;
    }

    /// Creates due occurrences and adds the steps whose dependencies are met to the backlog.
    fn advance(&mut self, key: JobKey, now: u64) {
        let unix = self.unix(now);
        let job = &self.jobs[key];
        if job.state.is_final() || !job.stored {
            return;
        }
        let before = job.occurrences.len();
        let live = job.occurrences.iter().filter(|o| !o.is_done()).count();
        // While memory is scarce, later occurrences wait for the oldest to finish.
        let room = self.occurrence_room(job, live);
        let mut free = MAX_OCCURRENCES.saturating_sub(live).min(room);
        let job = &mut self.jobs[key];
        while (job.occurrences.len() as u32) < job.occurrence_count() && free > 0 {
            let number = job.occurrences.len() as u32;
            if job.due_at(number) > unix {
                break;
            }
            job.occurrences
                .push(Occurrence::new(number, &job.submission.steps));
            free -= 1;
        }
        let due = job.occurrences.iter();
        let due = due.take_while(|o| o.due || job.due_at(o.number) <= unix);
        let due = due.count();
        for occurrence in &mut job.occurrences[..due] {
            occurrence.due = true;
        }
        let mut steps = Vec::new();
        for (o, occurrence) in job.occurrences[..due].iter().enumerate() {
            for (s, (state, definition)) in occurrence
                .steps
                .iter()
                .zip(&job.submission.steps)
                .enumerate()
            {
                if !state.queued && state.waiting() > 0 && occurrence.is_ready(definition) {
                    steps.push(StepKey {
                        job: key,
                        occurrence: o as u32,
                        step: s as u32,
                    });
                }
            }
        }
        if (due as u32) < job.occurrence_count() && !self.timed_jobs.contains(&key) {
            self.timed_jobs.push(key);
        }
        self.count_occurrences(key, before);
        for step in steps {
            self.enqueue(step);
        }
    }

    /// Begins the occurrences of a job up to that of a run which a worker reports: an earlier owner
    /// has started the run, whatever this owner's clock says.
    fn begin_reported(&mut self, name: &model::TaskName) {
        let Some(key) = self.find_job(&name.job) else {
            return;
        };
        let job = &mut self.jobs[key];
        let begun = job.occurrences.len() as u32;
        if job.state.is_final() || !job.stored || name.occurrence < begun || !job.has_task(name) {
            return;
        }
        let live = job.occurrences.iter().filter(|o| !o.is_done()).count();
        let more = (name.occurrence - begun) as usize + 1;
        // As many again may be done, and their ends not reported yet.
        if live.saturating_add(more) > 2 * MAX_OCCURRENCES {
            return;
        }
        for number in begun..=name.occurrence {
            let occurrence = Occurrence::new(number, &job.submission.steps);
            job.occurrences.push(occurrence);
        }
        self.count_occurrences(key, begun as usize);
        if !self.timed_jobs.contains(&key) {
            self.timed_jobs.push(key);
        }
    }

    /// Handles what depends on time: due occurrences, retries, expired leases, old jobs.
    pub fn tick(&mut self, now: u64) {
        for key in std::mem::take(&mut self.timed_jobs) {
            if self.jobs.contains_key(key) {
                self.advance(key, now);
            }
        }
        self.expire_leases(now);
        self.retry_commands(now);
        self.stop_stuck_gangs(now);
        self.end_trials(now);
        self.release_suspects(now);
        self.reconcile(now);
        self.cordon_silent_workers(now);
        self.poll_due_workers(now);
        self.release_ended_jobs();
        self.expire_archive(now);
        self.note_caps(now);
        self.neighbours.tick(now);
        self.cluster.late_acks.retain(|(_, _, until)| *until > now);
        self.pass_needed |= !self.backlog.is_empty() && now >= self.last_pass + LOOK_AGAIN;
    }

    /// Tracks a new run of a task.
    fn add_run(
        &mut self,
        task: TaskKey,
        worker: WorkerKey,
        number: u32,
        permit: CompactString,
        now: u64,
    ) -> RunKey {
        let job = &mut self.jobs[task.step.job];
        let step = &job.submission.steps[task.step.step as usize];
        let demand = demand(step);
        let charge = shares::usage::Charge {
            organisation: job.organisation_key,
            demand: shares::amounts::Amounts::of(&step.demand),
        };
        self.shares.count_placed(charge.organisation);
        let name = job.task_name(task);
        let run = self.cluster.add_run(Run {
            task: Some(task),
            name,
            number,
            worker,
            demand,
            charge,
            state: RunState::Sent,
            start_expires: 0,
            ordered_at: now,
            permit,
            stopping: false,
            retry_after: 0,
            in_flight: false,
            repeated: false,
            sent_to: 0,
            sent_at: 0,
            token: fencing::Token::default(),
            trial: false,
            after_batch: 0,
        });
        if let Some(state) = job.task_mut(task) {
            state.phase = Phase::Active(run);
            state.last_run = state.last_run.max(number);
        }
        self.note_begin(run, now);
        run
    }

    /// Next run number of a task, above all numbers that earlier owners may have used.
    fn next_run_number(&self, job: &Job, run: u32) -> u32 {
        let terms = self.term.saturating_sub(job.term) as u32;
        run.max(terms.saturating_mul(RUNS_A_TERM)) + 1
    }

    /// Statistics of a queue, created on first use.
    fn queue_stats(&mut self, queue: &str) -> &mut QueueStats {
        let at = self
            .queue_stats
            .binary_search_by(|l| l.queue.as_str().cmp(queue));
        let at = at.unwrap_or_else(|at| {
            let stats = QueueStats {
                queue: queue.into(),
                share: policy::INITIAL_ALLOWED_SHARE,
            };
            self.queue_stats.insert(at, stats);
            at
        });
        &mut self.queue_stats[at]
    }
}

/// Resources that a task of a step takes on a worker; an opportunistic task takes no CPU.
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
