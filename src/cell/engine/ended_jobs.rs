//! Runs that may exist and that the owner does not know, as far as caps need an upper bound.
//!
//! Starts are not stored, so a new owner learns the runs of earlier owners from the workers. Until all
//! have reported, each task that may have a run counts as running. A job that ends while runs of it
//! may go on leaves the owner's jobs; its stored records are kept until these runs have ended, so that
//! a later owner counts them too.

use compact_str::CompactString;

use super::Engine;
use crate::cell::{
    cluster::Run,
    job::{
        Job,
        JobKey,
        Phase,
        RunKey,
        Task,
        TaskKey, //
    },
    journal,
    model::{
        self,
        State, //
    },
    shares::{
        self,
        amounts::Amounts,
        usage::Charge, //
    },
};

/// Interval at which unknown runs are counted, in milliseconds: a pass may follow another one within a
/// few. An older count is never too low, since runs only become known.
const COUNT_INTERVAL_MS: u64 = 100;

/// Ended job of an organisation, of which runs may go on.
#[derive(Debug)]
pub(super) struct EndedJob {
    /// Id of the job.
    pub(super) id: CompactString,
    organisation: shares::Key,
    /// Declared demand of a task of each step.
    demands: Vec<Amounts>,
    /// Declared demand of all tasks that may have a run.
    total: Amounts,
    /// Whether earlier owners may have started some of them.
    inherited: bool,
    /// Whether the job's records are kept in the store.
    pub(super) kept: bool,
    /// Local time at which the job ended or was loaded, in milliseconds.
    pub(super) since: u64,
}

impl EndedJob {
    fn new(job: &Job, kept: bool, since: u64) -> Self {
        let steps = job.submission.steps.iter();
        let demands: Vec<Amounts> = steps.map(|step| Amounts::of(&step.demand)).collect();
        let mut total = Amounts::default();
        if job.occurrences.is_empty() {
            for (step, demand) in job.submission.steps.iter().zip(&demands) {
                total = total.plus(demand.times(u64::from(step.count)));
            }
        }
        for step in job.occurrences.iter().map(|o| o.steps.iter().zip(&demands)) {
            for (state, demand) in step {
                let open = |t: &&Task| t.phase != Phase::Done || t.overtaken;
                let tasks = state.tasks.iter().filter(open).count();
                total = total.plus(demand.times(tasks as u64));
            }
        }
        Self {
            id: job.id.clone(),
            organisation: job.organisation_key,
            demands,
            total,
            inherited: job.inherited,
            kept,
            since,
        }
    }
}

impl Engine {
    /// Keeps a job that is ending, if runs of it may go on beyond the end.
    pub(super) fn keep_ended_job(&mut self, key: JobKey, now: u64) {
        let job = &self.jobs[key];
        if job.organisation_key == shares::Key::NONE || !job.sent {
            return;
        }
        let completed = job.state == State::Completed;
        let steps = job.occurrences.iter().flat_map(|o| &o.steps);
        let tasks = steps.flat_map(|step| &step.tasks);
        let unknown = job.inherited && !self.cluster.reconciled;
        let unknown = unknown && (!completed || tasks.clone().any(|task| task.overtaken));
        // Only a job of which tasks were started more than once completes while runs go on, so that few
        // completed jobs need the search.
        let copies = job.submission.steps.iter().any(|step| step.copies);
        let repeated = copies || tasks.clone().any(|task| task.last_run > 1);
        let mut runs = self.cluster.runs.values();
        if unknown || (!completed || repeated) && runs.any(|run| is_of(run, &job.id)) {
            let ended = EndedJob::new(job, false, now);
            self.ended_jobs.push(ended);
        }
    }

    /// Takes jobs whose records an earlier owner kept beyond their end.
    pub(super) fn load_ended_jobs(&mut self, now: u64) {
        let past = &self.archive;
        let ended = self.jobs.values().filter(|job| {
            job.organisation_key != shares::Key::NONE && past.state(&job.id).is_some()
        });
        self.ended_jobs
            .extend(ended.map(|job| EndedJob::new(job, true, now)));
    }

    /// Forgets the ended jobs whose runs have all ended, and deletes their records.
    pub(super) fn release_ended_jobs(&mut self) {
        if self.ended_jobs.is_empty() {
            return;
        }
        let reconciled = self.cluster.reconciled;
        let runs = &self.cluster.runs;
        let over = |ended: &mut EndedJob| {
            let unknown = ended.inherited && !reconciled;
            !unknown && !runs.values().any(|run| is_of(run, &ended.id))
        };
        for ended in self.ended_jobs.extract_if(.., over) {
            if ended.kept {
                let kinds = [journal::Kind::Accepted, journal::Kind::Progress];
                let keys = kinds.map(|kind| journal::key(kind, &ended.id));
                self.dropped_keys.extend(keys);
            }
        }
    }

    /// What a run of a task counts for.
    pub(super) fn charge(&self, name: &model::TaskName) -> Charge {
        let step = name.step as usize;
        if let Some(key) = self.find_job(&name.job) {
            let job = &self.jobs[key];
            let demand = job.submission.steps.get(step).map(|step| &step.demand);
            return Charge {
                organisation: job.organisation_key,
                demand: demand.map(Amounts::of).unwrap_or_default(),
            };
        }
        let ended = self.ended_jobs.iter().find(|r| r.id == name.job);
        let charge = ended.map(|ended| Charge {
            organisation: ended.organisation,
            demand: ended.demands.get(step).copied().unwrap_or_default(),
        });
        charge.unwrap_or_default()
    }

    /// Counts the runs of earlier owners that may exist and are not known.
    pub(super) fn count_unknown(&mut self, now: u64) {
        if self.cluster.reconciled || !self.shares.is_used() {
            if self.shares.has_unknown() {
                self.shares.set_unknown(Vec::new());
            }
            return;
        }
        let surveyed = self.cluster.surveyed;
        let recent = |(stage, at): (bool, u64)| stage == surveyed && now < at + COUNT_INTERVAL_MS;
        if self.unknown_counted.is_some_and(recent) {
            return;
        }
        self.unknown_counted = Some((surveyed, now));
        let mut sums = Vec::new();
        match surveyed {
            true => self.count_cordoned(&mut sums),
            false => self.count_inherited(&mut sums),
        }
        self.shares.set_unknown(sums);
    }

    /// Adds the tasks of inherited jobs that are not done and have no known run.
    ///
    /// The steps whose dependencies are not met by what is stored count too: the earlier owner may have
    /// known of ends that it could not store.
    ///
    /// Workers that have not reported hold no more than their capacity, in which the CPU of opportunistic
    /// tasks does not count.
    fn count_inherited(&self, sums: &mut Vec<Amounts>) {
        let mut beside: Vec<Amounts> = Vec::new();
        let open = |job: &&Job| {
            job.inherited && !job.state.is_final() && job.organisation_key != shares::Key::NONE
        };
        for job in self.jobs.values().filter(open) {
            for occurrence in &job.occurrences {
                for (state, step) in occurrence.steps.iter().zip(&job.submission.steps) {
                    let tasks = state.tasks.iter();
                    let tasks = tasks.filter(|task| self.may_run_elsewhere(task, step.copies));
                    let demand = Amounts::of(&step.demand).times(tasks.count() as u64);
                    add(sums, job.organisation_key, demand);
                    if step.opportunistic {
                        add(&mut beside, job.organisation_key, demand);
                    }
                }
            }
        }
        if let Some(most) = self.unreported_capacity() {
            beside.resize(sums.len(), Amounts::default());
            for (sum, beside) in sums.iter_mut().zip(beside) {
                *sum = sum.at_most(most.plus(beside));
            }
        }
        for ended in self.ended_jobs.iter().filter(|ended| ended.inherited) {
            let runs = self.cluster.runs.values();
            // The copies that this owner started are not the runs of the earlier one.
            let tracked = runs.filter(|run| is_of(run, &ended.id) && is_adopted(run));
            let tracked = tracked.map(|run| run.charge.demand);
            let tracked = tracked.fold(Amounts::default(), Amounts::plus);
            add(sums, ended.organisation, ended.total.minus(tracked));
        }
    }

    /// Capacity of the workers that may hold runs of earlier owners and have not reported; `None` if not
    /// all of them are known.
    fn unreported_capacity(&self) -> Option<Amounts> {
        if self.unread_workers > 0 {
            return None;
        }
        let workers = self.cluster.workers.values();
        let unreported = workers.filter(|worker| worker.is_unaccounted());
        let capacities = unreported.map(|worker| {
            let stored = worker.stored_registration.as_ref();
            let stored = stored.map(|entry| Amounts::of(&entry.capacity));
            // The capacity may have shrunk since the runs were placed.
            let now = Amounts::of(&worker.registration.capacity);
            now.at_least(stored.unwrap_or_default())
        });
        Some(capacities.fold(Amounts::default(), Amounts::plus))
    }

    /// Notes that a run has completed a task, if a run of an earlier owner may go on beside it.
    pub(super) fn note_overtaken(&mut self, task: TaskKey, run: &Run) {
        if self.cluster.reconciled || is_adopted(run) {
            return;
        }
        let job = self.jobs.get_mut(task.step.job);
        let Some(job) = job.filter(|job| job.inherited) else {
            return;
        };
        let Some(definition) = job.definition(task.step).filter(|step| step.copies) else {
            return;
        };
        // The tasks of a gang succeed together.
        let gang = definition.gang;
        let Some(step) = job.step_mut(task.step) else {
            return;
        };
        for (index, state) in step.tasks.iter_mut().enumerate() {
            state.overtaken |= gang || index == task.index as usize;
        }
    }

    /// Whether a task of an inherited job may have a run that is not tracked. One of which copies may
    /// run starts again before that is known.
    fn may_run_elsewhere(&self, task: &Task, copies: bool) -> bool {
        let adopted = |run: RunKey| self.cluster.runs.get(run).is_some_and(is_adopted);
        match task.phase {
            Phase::Done => task.overtaken,
            Phase::Waiting => true,
            Phase::Active(run) => copies && !adopted(run),
        }
    }

    /// Adds the tasks that may run on cordoned workers which have not reported.
    fn count_cordoned(&self, sums: &mut Vec<Amounts>) {
        for worker in self.cluster.workers.values() {
            let cordon = worker.cordon.as_ref().filter(|_| worker.is_unaccounted());
            for name in cordon.iter().flat_map(|cordon| &cordon.tasks) {
                let charge = self.charge(name);
                add(sums, charge.organisation, charge.demand);
            }
        }
    }
}

/// Whether a run was started by an earlier owner: this one never sent a command to start it.
fn is_adopted(run: &Run) -> bool {
    run.start_expires == 0 && run.is_confirmed()
}

/// Whether a run is one of an ended job; no task needs its result.
fn is_of(run: &Run, ended: &str) -> bool {
    run.task.is_none() && run.name.job == ended
}

fn add(sums: &mut Vec<Amounts>, organisation: shares::Key, demand: Amounts) {
    let at = organisation.index();
    if sums.len() <= at {
        sums.resize(at + 1, Amounts::default());
    }
    sums[at] = sums[at].plus(demand);
}
