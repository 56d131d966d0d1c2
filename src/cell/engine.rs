//! The owner's decisions: a state machine over jobs, workers and a clock, without input or output.
//!
//! Events come in as method calls with the local time in milliseconds; what is to be done comes out
//! of [`Engine::actions`]. Whoever carries an action out reports back by another call. Everything
//! that must outlive the owner is gathered into batches, see [`Engine::batch`].

use compact_str::CompactString;
use log::{
    info,
    warn, //
};
use slotmap::SlotMap;

use crate::resources::Resources;

use super::{
    books::{
        Books,
        Footing,
        Run, //
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
    journal,
    model::{
        self,
        State, //
    }, //
};

pub mod advisers;
pub mod ask;
pub mod ends;
pub mod orders;
pub mod place;
pub mod recovery;

/// Run numbers left free for the runs of each earlier owner, which are not all stored. An owner
/// rarely starts a task more than a few times.
const RUNS_A_TERM: u32 = 64;

/// Most tasks of a job, over all its steps: what one record and one pass can carry.
const MAX_TASKS: u32 = 20_000;

/// Occurrences of a job that may run at once; later ones wait for the oldest to finish.
const MAX_OCCURRENCES: usize = 256;

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
    pub books: Books,
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
    /// Whether the store has answered lately, so that no later owner can have begun long ago.
    pub confident: bool,
    /// Whether something changed since the last pass over the waiting steps.
    pub stale: bool,
    dirty: Vec<JobKey>,
    dropped: Vec<CompactString>,
    fresh: Vec<(u64, JobKey)>,
    changed: Vec<(u64, JobKey)>,
    finished: Vec<JobKey>,
    timed: Vec<JobKey>,
    learned: Vec<Learned>,
    /// Instances through which the policy is asked.
    pub advisers: advisers::Advisers,
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
            books: Books {
                settled: true,
                ..Books::default()
            },
            ready: Vec::new(),
            actions: Vec::new(),
            open: 1,
            durable: 0,
            deposed: false,
            confident: true,
            stale: false,
            dirty: Vec::new(),
            dropped: Vec::new(),
            fresh: Vec::new(),
            changed: Vec::new(),
            finished: Vec::new(),
            timed: Vec::new(),
            learned: Vec::new(),
            advisers: advisers::Advisers::default(),
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

    /// Takes a job in.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the job, with the place of the fault.
    pub fn submit(
        &mut self,
        id: &str,
        queue: model::Queue,
        work: model::Submission,
        now: u64,
    ) -> Result<Taken, String> {
        if let Some(key) = self.find(id) {
            let job = &self.jobs[key];
            return Ok(match job.stored {
                true => Taken::Known,
                false => Taken::In(job.batch),
            });
        }
        check(&work)?;
        let accepted = self.unix(now);
        let key = self.insert(job(id, queue, work, accepted, self.term));
        self.touch(key);
        self.fresh.push((self.open, key));
        Ok(Taken::In(self.open))
    }

    /// Takes a job back that was never sent to the store; returns whether that is so.
    pub fn withdraw(&mut self, id: &str) -> bool {
        let Some(key) = self.find(id) else {
            return true;
        };
        let job = &self.jobs[key];
        if job.stored || job.sent {
            return false;
        }
        self.jobs.remove(key);
        self.index.retain(|(_, other)| *other != key);
        self.dirty.retain(|other| *other != key);
        self.fresh.retain(|(_, other)| *other != key);
        self.finished.retain(|other| *other != key);
        true
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

    /// Cancels a job. Returns the batch that stores it, or none when no such job is known.
    pub fn cancel(&mut self, id: &str, now: u64) -> Option<u64> {
        let key = self.find(id)?;
        if !self.jobs[key].state.is_final() {
            info!(job = id; "cancelled by its caller");
            self.finish(key, State::Cancelled, now);
        }
        Some(self.jobs[key].batch)
    }

    /// The state of a job that may be shown, and whether it is stored.
    #[must_use]
    pub fn shown(&self, id: &str) -> Option<State> {
        let job = self.jobs.get(self.find(id)?)?;
        job.stored.then_some(job.shown)
    }

    /// Whether a job is known, stored or not.
    #[must_use]
    pub fn is_known(&self, id: &str) -> bool {
        self.find(id).is_some()
    }

    /// Whether a job is stored.
    #[must_use]
    pub fn is_stored(&self, id: &str) -> bool {
        self.find(id).is_some_and(|key| self.jobs[key].stored)
    }

    /// Number of a queue's accepted jobs without times of which nothing has started.
    #[must_use]
    pub fn waiting(&self, queue: &str) -> usize {
        let waits = |job: &&Job| {
            job.stored
                && !job.begun
                && !job.state.is_final()
                && job.work.times == 0
                && job.queue.name == queue
        };
        self.jobs.values().filter(waits).count()
    }

    /// Ends a job: its runs are stopped, its state is stored.
    fn finish(&mut self, key: JobKey, state: State, now: u64) {
        let unix = self.unix(now);
        let job = &mut self.jobs[key];
        job.state = state;
        job.ended = now;
        let mut live = Vec::new();
        for task in job
            .occurrences
            .iter_mut()
            .flat_map(|o| &mut o.steps)
            .flat_map(|s| &mut s.tasks)
        {
            if let Phase::Live(run) = task.phase {
                live.push(run);
                task.phase = Phase::Idle;
            }
        }
        info!(job = job.id.as_str(), queue = job.queue.name.as_str(), state:? = state, stopped = live.len(),
            took = unix.saturating_sub(job.accepted); "job ended");
        for run in live {
            self.abandon(run);
        }
        self.ready.retain(|step| step.job != key);
        self.finished.push(key);
        self.touch(key);
        self.stale = true;
    }

    /// Stops a run whose result nobody waits for.
    fn abandon(&mut self, key: RunKey) {
        let Some(run) = self.books.runs.get_mut(key) else {
            return;
        };
        run.task = None;
        run.unwanted = true;
        run.after = 0;
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
        if !state.queued && state.left > 0 {
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
        while (job.occurrences.len() as u32) < job.times() && room > 0 {
            let number = job.occurrences.len() as u32;
            if job.due(number) > unix {
                break;
            }
            job.occurrences
                .push(Occurrence::new(number, &job.work.steps));
            room -= 1;
        }
        let mut steps = Vec::new();
        for (o, occurrence) in job.occurrences.iter().enumerate() {
            for (s, (state, plan)) in occurrence.steps.iter().zip(&job.work.steps).enumerate() {
                if !state.queued && state.idle() > 0 && occurrence.is_ready(plan) {
                    steps.push(StepKey {
                        job: key,
                        occurrence: o as u32,
                        step: s as u32,
                    });
                }
            }
        }
        if (job.occurrences.len() as u32) < job.times() && !self.timed.contains(&key) {
            self.timed.push(key);
        }
        for step in steps {
            self.enqueue(step);
        }
    }

    /// Takes everything that is to be stored, with the number of the batch.
    pub fn batch(&mut self) -> Option<(u64, Vec<Entry>)> {
        if self.dirty.is_empty() && self.dropped.is_empty() {
            return None;
        }
        let mut entries = Vec::with_capacity(self.dirty.len() + self.dropped.len());
        for key in std::mem::take(&mut self.dirty) {
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            job.dirty = false;
            if !job.stored {
                let accepted = journal::Accepted {
                    queue: job.queue.clone(),
                    work: job.work.clone(),
                    at: job.accepted,
                    term: job.term,
                };
                job.sent = true;
                entries.push(entry(journal::Kind::Accepted, &job.id, &accepted));
                if job.state == State::Pending {
                    continue;
                }
            }
            entries.push(entry(
                journal::Kind::Progress,
                &job.id,
                &journal::progress(job),
            ));
        }
        for id in std::mem::take(&mut self.dropped) {
            entries.push((journal::key(journal::Kind::Accepted, &id), None));
            entries.push((journal::key(journal::Kind::Progress, &id), None));
        }
        let batch = self.open;
        self.open += 1;
        Some((batch, entries))
    }

    /// Takes note that a batch and all before it are stored.
    pub fn committed(&mut self, batch: u64, now: u64) {
        self.durable = batch;
        let changed = std::mem::take(&mut self.changed);
        for (number, key) in changed {
            if number > batch {
                self.changed.push((number, key));
                continue;
            }
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if job.batch <= batch {
                job.shown = job.state;
            }
        }
        let fresh = std::mem::take(&mut self.fresh);
        for (number, key) in fresh {
            if number > batch {
                self.fresh.push((number, key));
                continue;
            }
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            job.stored = true;
            self.advance(key, now);
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
    }

    /// Drops jobs whose state need not be kept any longer.
    fn forget(&mut self, now: u64) {
        let keep = self.times.keep;
        let old = |jobs: &SlotMap<JobKey, Job>, key: &JobKey| {
            jobs.get(*key).is_some_and(|job| now > job.ended + keep)
        };
        while self
            .finished
            .first()
            .is_some_and(|key| old(&self.jobs, key))
        {
            let key = self.finished.remove(0);
            if let Some(job) = self.jobs.remove(key) {
                self.index.retain(|(_, other)| *other != key);
                self.dropped.push(job.id);
            }
        }
    }

    /// Takes a worker's registration in.
    pub fn register(&mut self, entry: model::Registration) {
        let Some(key) = self.books.find(&entry.id) else {
            info!(worker = entry.id.as_str(), service = entry.service.as_str(), born = entry.born; "worker joined");
            self.books.add(entry);
            self.stale = true;
            return;
        };
        let worker = &self.books.workers[key];
        if entry.born < worker.born {
            return;
        }
        let worker = &mut self.books.workers[key];
        if entry.born > worker.born {
            // Orders that went out meanwhile may run in the new life: its own report tells.
            worker.fenced = false;
            worker.after = 0;
        }
        if worker.entry.standing != entry.standing {
            info!(worker = entry.id.as_str(), standing:? = entry.standing; "worker changed");
        }
        worker.listed = true;
        worker.entry = entry;
        self.stale = true;
    }

    /// Takes note that a worker's registration is gone.
    pub fn unregister(&mut self, id: &str) {
        let Some(key) = self.books.find(id) else {
            return;
        };
        let worker = &mut self.books.workers[key];
        info!(worker = id, runs = worker.runs.len(); "worker left the list");
        worker.listed = false;
        if worker.runs.is_empty() && !worker.busy {
            self.books.remove(key);
        }
    }

    /// A new life answers for a worker, to a request sent at local time `sent`: what was confirmed
    /// before has ended. Later orders may have reached the new life, which tells.
    fn reborn(&mut self, key: WorkerKey, born: u64, sent: u64, now: u64) {
        let worker = &mut self.books.workers[key];
        info!(worker = worker.entry.id.as_str(), born, before = worker.born, runs = worker.runs.len(); "worker started anew");
        worker.born = born;
        worker.fenced = false;
        worker.reading = None;
        worker.contact = 0;
        worker.lapses = 0;
        worker.batch = 0;
        (worker.taken, worker.acknowledged) = (0, 0);
        worker.after = 0;
        worker.silent = None;
        worker.suspended = 0;
        let runs = worker.runs.clone();
        for key in runs {
            let run = &self.books.runs[key];
            if matches!(run.footing, Footing::Confirmed(at) if at < sent) {
                self.ended(key, model::How::Lapsed, "", now);
            }
        }
        self.stale = true;
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
        let demand = demand(&job.work.steps[task.step.step as usize]);
        let name = job.task_name(task);
        let run = self.books.book(Run {
            task: Some(task),
            name,
            number,
            worker,
            demand,
            footing: Footing::Ordered,
            expires: 0,
            began: now,
            ticket,
            unwanted: false,
            after: 0,
            busy: false,
        });
        if let Some(state) = job.task_mut(task) {
            state.phase = Phase::Live(run);
            state.run = state.run.max(number);
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
                good: ask::GOOD_SHARE,
            };
            self.learned.insert(at, fresh);
            at
        });
        &mut self.learned[at]
    }

    /// Writes how things stand, in one line.
    pub fn report(&self, now: u64) {
        let mut waiting: Vec<(&str, usize)> = Vec::new();
        for step in &self.ready {
            let queue = self
                .jobs
                .get(step.job)
                .map_or("", |job| job.queue.name.as_str());
            match waiting.binary_search_by_key(&queue, |(name, _)| name) {
                Ok(at) => waiting[at].1 += 1,
                Err(at) => waiting.insert(at, (queue, 1)),
            }
        }
        let open = self.books.workers.values().filter(|w| w.is_open(now));
        let (count, room, used) = open.fold((0, 0_u64, 0_u64), |(count, room, used), w| {
            let free = u64::from(w.free().millicores);
            let all = u64::from(w.entry.capacity.millicores);
            (count + 1, room + all, used + all - free)
        });
        let claimed = self.claimed(now);
        info!(waiting:? = waiting, claimed:? = claimed, workers = self.books.workers.len(), open = count, runs = self.books.runs.len(),
            room, used, questions = self.advisers.out(), advisers = self.advisers.live(now).count(), batch = self.open,
            durable = self.durable; "cell");
    }

    /// Processors that waiting steps are about to use, in millicores: with the policy's answer still
    /// out, and after it.
    fn claimed(&self, now: u64) -> (u64, u64) {
        let mut claimed = (0.0, 0.0);
        for key in &self.ready {
            let job = self.jobs.get(key.job);
            let Some((plan, step)) = job.and_then(|job| Some((job.plan(*key)?, job.step(*key)?)))
            else {
                continue;
            };
            let each = f64::from(demand(plan).millicores);
            for claim in step.policy.claims.iter().filter(|c| c.until > now) {
                let part = if claim.pending {
                    &mut claimed.0
                } else {
                    &mut claimed.1
                };
                *part += claim.tasks * each;
            }
        }
        (claimed.0 as u64, claimed.1 as u64)
    }

    /// Number of steps that want to be placed.
    #[must_use]
    pub fn backlog(&self) -> usize {
        self.ready.len()
    }

    /// Whether [`Books::settled`] holds.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.books.settled
    }
}

/// What a task of a step takes on a worker.
fn demand(step: &model::Step) -> Resources {
    let millicores = if step.fills {
        0
    } else {
        step.demand.millicores
    };
    Resources {
        millicores,
        ..step.demand
    }
}

fn entry<T: serde::Serialize>(kind: journal::Kind, id: &str, value: &T) -> Entry {
    let key = journal::key(kind, id);
    match serde_json::to_vec(value) {
        Ok(value) => (key, Some(value)),
        Err(e) => {
            // Cannot happen for these types; an empty object is skipped by readers.
            warn!(job = id; "a record cannot be written: {e}");
            (key, Some(b"{}".to_vec()))
        }
    }
}

/// A job of which nothing has run.
fn job(id: &str, queue: model::Queue, work: model::Submission, accepted: u64, term: u64) -> Job {
    let mut job = Job {
        id: id.into(),
        queue,
        work,
        accepted,
        term,
        state: State::Pending,
        shown: State::Pending,
        stored: false,
        sent: false,
        batch: 0,
        dirty: false,
        begun: false,
        occurrences: Vec::new(),
        ended: 0,
        objective: 0,
        inherited: false,
    };
    let span = job.longest() as f64 * job.queue.stretch;
    job.objective = accepted + span as u64 + job.queue.target;
    job
}

/// Checks what the format of a job cannot express.
fn check(work: &model::Submission) -> Result<(), String> {
    if work.steps.is_empty() {
        return Err("/steps: a job has at least one step".to_owned());
    }
    let mut tasks = 0_u32;
    for (i, step) in work.steps.iter().enumerate() {
        if step.count == 0 {
            return Err(format!("/steps/{i}: a step has at least one task"));
        }
        if let Some(bad) = step.after.iter().find(|s| **s as usize >= i) {
            return Err(format!(
                "/steps/{i}: depends on step {bad}, which is not an earlier one"
            ));
        }
        tasks = tasks.saturating_add(step.count);
    }
    if tasks > MAX_TASKS {
        return Err(format!(
            "/steps: {tasks} tasks, at most {MAX_TASKS} are taken"
        ));
    }
    Ok(())
}
