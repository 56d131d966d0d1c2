//! Queues whose starts crash workers, and how much of the cell they and suspected tasks may use.
//!
//! Handles a queue of which each tenth job crashes the worker that starts it: until such a task is
//! convicted it takes down a worker with all that runs there, so that the work of all queues suffers.
//! New tasks of such a queue share their workers with no other queue, and those workers are few.

use compact_str::CompactString;
use slotmap::SlotMap;

use super::Engine;
use crate::cell::{
    cluster::Suspect,
    job::{
        Job,
        JobKey,
        RunKey,
        StepKey,
        WorkerKey, //
    },
};

/// Time for which a crash counts against a queue, in milliseconds: several times that in which a
/// crashed worker is back.
const WINDOW_MS: u64 = 10_000;

/// Number of jobs whose starts must have crashed workers before their queue is placed with caution: a
/// few crashes may have other causes.
const CAREFUL_JOBS: usize = 3;

/// Time within which workers that fall silent have a common cause, in milliseconds: the notices of
/// one rack arrive nearly together.
const JOINT_MS: u64 = 100;

/// Number of other workers of its rack that fall silent with a worker, without a start just before,
/// from which the cause lies outside the tasks.
const JOINT_OF_RACK: usize = 2;

/// The same for workers of any rack.
const JOINT_WORKERS: usize = 4;

/// Divisor of the number of workers that limits those on which suspected tasks are tried.
const TRIAL_DIVISOR: usize = 8;

/// Divisor of the number of workers that limits those used by queues that are placed with caution.
const CAREFUL_DIVISOR: usize = 3;

/// Divisor of the number of workers that limits those kept free of other work, so that suspected
/// tasks and careful queues find empty ones.
const VACANT_DIVISOR: usize = 12;

/// A worker that fell silent or crashed.
#[derive(Debug, Clone)]
struct Silence {
    worker: WorkerKey,
    /// Local time, in milliseconds.
    at: u64,
    /// Rack of the worker.
    rack: CompactString,
    /// Whether the worker had just started a task.
    started: bool,
    /// Job and queue of the task that it had started last, if that was just before.
    blamed: Option<(JobKey, CompactString)>,
    /// Whether the worker is known to have crashed.
    crashed: bool,
}

/// Recent silences and crashes of workers.
#[derive(Debug, Default)]
pub(super) struct Caution {
    /// Silences of the last [`WINDOW_MS`], sorted by worker.
    silences: Vec<Silence>,
    /// Queues that are placed with caution, sorted.
    careful: Vec<CompactString>,
    /// Whether the silences have changed since.
    stale: bool,
    /// Trials of the last placement pass.
    pub(super) trials: TrialStatus,
}

/// Trials of suspected tasks in a placement pass, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct TrialStatus {
    /// Workers without runs.
    pub(super) empty: usize,
    /// Workers on which tasks are tried.
    pub(super) tried: usize,
    /// Workers on which tasks may be tried.
    pub(super) limit: usize,
}

impl Caution {
    pub(super) fn note_silence(
        &mut self,
        jobs: &SlotMap<JobKey, Job>,
        (worker, rack): (WorkerKey, &str),
        suspects: &[Suspect],
        at: u64,
    ) {
        let early = suspects.iter().filter(|suspect| suspect.crash.is_early());
        let last = early.min_by_key(|suspect| suspect.crash.age);
        let blamed = last.and_then(|suspect| {
            let key = suspect.task.step.job;
            Some((key, jobs.get(key)?.queue.name.clone()))
        });
        let silence = Silence {
            worker,
            at,
            rack: rack.into(),
            started: last.is_some(),
            blamed,
            crashed: false,
        };
        match self.silences.binary_search_by_key(&worker, |s| s.worker) {
            Ok(found) => self.silences[found] = silence,
            Err(found) => self.silences.insert(found, silence),
        }
        self.stale = true;
    }

    /// Notes that a worker has crashed, whether or not its silence was noticed.
    pub(super) fn note_crash(
        &mut self,
        jobs: &SlotMap<JobKey, Job>,
        (worker, rack): (WorkerKey, &str),
        suspects: &[Suspect],
        at: u64,
    ) {
        let find = |s: &Silence| s.worker;
        if self.silences.binary_search_by_key(&worker, find).is_err() {
            self.note_silence(jobs, (worker, rack), suspects, at);
        }
        if let Ok(found) = self.silences.binary_search_by_key(&worker, find) {
            self.silences[found].crashed = true;
        }
    }

    /// Notes that a worker which was silent has not crashed.
    pub(super) fn note_report(&mut self, worker: WorkerKey) {
        if let Ok(found) = self.silences.binary_search_by_key(&worker, |s| s.worker)
            && !self.silences[found].crashed
        {
            self.silences.remove(found);
            self.stale = true;
        }
    }

    /// Whether other workers fell silent at the same time that had started nothing just before, so that
    /// the cause lies outside the tasks.
    pub(super) fn is_joint(&self, worker: WorkerKey) -> bool {
        let at = self.silences.binary_search_by_key(&worker, |s| s.worker);
        at.is_ok_and(|at| self.is_joint_at(at))
    }

    fn is_joint_at(&self, index: usize) -> bool {
        let this = &self.silences[index];
        let others = self.silences.iter().enumerate().filter(|(i, other)| {
            *i != index && !other.started && other.at.abs_diff(this.at) <= JOINT_MS
        });
        let (mut all, mut near) = (0, 0);
        for (_, other) in others {
            all += 1;
            near += usize::from(other.rack == this.rack);
        }
        near >= JOINT_OF_RACK || all >= JOINT_WORKERS
    }

    /// Determines the queues whose starts crash workers.
    fn refresh(&mut self, now: u64) {
        let recent = |s: &Silence| s.at + WINDOW_MS > now;
        let before = self.silences.len();
        self.silences.retain(recent);
        if !self.stale && before == self.silences.len() {
            return;
        }
        self.stale = false;
        let single = (0..self.silences.len()).filter(|at| !self.is_joint_at(*at));
        let mut blamed: Vec<(CompactString, JobKey)> = single
            .filter_map(|at| self.silences[at].blamed.clone())
            .map(|(job, queue)| (queue, job))
            .collect();
        blamed.sort();
        blamed.dedup();
        let counted = blamed.chunk_by(|(one, _), (other, _)| one == other);
        self.careful = counted
            .filter(|jobs| jobs.len() >= CAREFUL_JOBS)
            .map(|jobs| jobs[0].0.clone())
            .collect();
    }

    /// Whether a queue is placed with caution.
    pub(super) fn is_careful(&self, queue: &str) -> bool {
        let found = self
            .careful
            .binary_search_by(|name| name.as_str().cmp(queue));
        found.is_ok()
    }

    /// Queues that are placed with caution, sorted.
    pub(super) fn careful(&self) -> &[CompactString] {
        &self.careful
    }
}

/// Restriction on the workers that a step may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Care {
    /// None, but for workers that are set apart.
    None,
    /// Workers without other jobs.
    Alone,
    /// Workers that only queues placed with caution use.
    Apart,
}

/// What a worker is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Purpose {
    /// Any task.
    Open,
    /// No new tasks but those that need a worker without other jobs.
    Vacant,
    /// A task that is tried alone.
    Trial,
    /// Tasks of queues that are placed with caution.
    Apart,
}

/// Numbers of workers that may still be set apart.
#[derive(Debug, Clone, Default)]
pub(super) struct Allowance {
    /// Workers on which suspected tasks may be tried.
    pub(super) trials: usize,
    /// Trials that each queue may have at a time.
    pub(super) queue_trials: usize,
    /// Trials that each job may have at a time.
    pub(super) job_trials: usize,
    /// Trials under way, by queue, sorted.
    pub(super) under_way: Vec<(CompactString, usize)>,
    /// Empty workers that careful queues may take.
    pub(super) apart: usize,
    /// Workers that careful queues may use in all.
    pub(super) most_apart: usize,
    /// Whether suspected tasks may share a worker, since none becomes empty.
    pub(super) shared: bool,
}

impl Allowance {
    /// Whether a task of the queue may be tried.
    pub(super) fn admits(&self, queue: &str) -> bool {
        let find = |(name, _): &(CompactString, usize)| name.as_str().cmp(queue);
        let count = self.under_way.binary_search_by(find);
        self.trials > 0 && count.map_or(0, |at| self.under_way[at].1) < self.queue_trials
    }

    /// Counts a trial of a queue.
    pub(super) fn take(&mut self, queue: &CompactString) {
        self.trials = self.trials.saturating_sub(1);
        count(&mut self.under_way, queue);
    }
}

fn count(list: &mut Vec<(CompactString, usize)>, queue: &CompactString) {
    match list.binary_search_by(|(name, _)| name.cmp(queue)) {
        Ok(at) => list[at].1 += 1,
        Err(at) => list.insert(at, (queue.clone(), 1)),
    }
}

/// Use of the workers by suspected tasks and careful queues.
pub(super) struct Apartness {
    /// Purpose of each worker of the pass.
    pub(super) purposes: Vec<Purpose>,
    pub(super) allowance: Allowance,
}

impl Engine {
    /// Determines what the workers `slots` are used for, given the steps that wait, of which the first
    /// `timely` can still be of use; `None` if no task or queue needs caution.
    pub(super) fn set_apart(
        &mut self,
        slots: &[WorkerKey],
        waiting: &[StepKey],
        timely: usize,
        now: u64,
    ) -> Option<Apartness> {
        self.caution.refresh(now);
        let trials = self.trials_in(waiting);
        let under_way = self.cluster.runs.values().any(|run| run.trial);
        if trials == 0 && !under_way && self.caution.careful.is_empty() {
            self.caution.trials = TrialStatus::default();
            return None;
        }
        let total = self.cluster.workers.values().filter(|w| w.registered);
        let total = total.count();
        let mut allowance = Allowance {
            most_apart: (total / CAREFUL_DIVISOR).max(1),
            ..Allowance::default()
        };
        let mut purposes = vec![Purpose::Open; slots.len()];
        let (mut tried, mut apart) = (0, 0);
        for (key, worker) in &self.cluster.workers {
            let (purpose, queue) = self.purpose(&worker.runs);
            if let Some(queue) = queue.filter(|_| purpose == Purpose::Trial) {
                count(&mut allowance.under_way, queue);
            }
            tried += usize::from(purpose == Purpose::Trial);
            let careful = queue.is_some() && purpose != Purpose::Trial;
            apart += usize::from(careful);
            if let Ok(at) = slots.binary_search(&key)
                && (purpose != Purpose::Apart || apart <= allowance.most_apart)
            {
                purposes[at] = purpose;
            }
        }
        let workers = &self.cluster.workers;
        let empty = slots.iter().filter(|key| workers[**key].runs.is_empty());
        let empty = empty.count();
        let (jobs, others) = self.jobs_on_trial(waiting);
        let vacant = if others { empty / 2 } else { empty };
        let most = (total / TRIAL_DIVISOR).max(vacant).max(1);
        allowance.trials = most.saturating_sub(tried);
        self.caution.trials = TrialStatus {
            empty,
            tried,
            limit: most,
        };
        allowance.job_trials = (most / jobs.max(1)).max(1);
        // One queue leaves half of the trials to the others, if they have any.
        allowance.queue_trials = match self.queues_on_trial(waiting) {
            0 | 1 => most,
            _ => most.div_ceil(2),
        };
        allowance.apart = allowance.most_apart.saturating_sub(apart);
        // Where each worker runs something that lasts, no worker ever becomes empty.
        allowance.shared = empty == 0 && self.is_mostly_free(slots);
        let most = (total / VACANT_DIVISOR).max(1);
        let steps = waiting[..timely].iter();
        let steps = steps.filter(|key| self.trials_in(&[**key]) > 0);
        for key in steps.take(allowance.trials.min(most)) {
            self.vacate(slots, &mut purposes, Some(*key));
        }
        if !self.caution.careful.is_empty() {
            for _ in 0..allowance.apart.min(most) {
                self.vacate(slots, &mut purposes, None);
            }
        }
        Some(Apartness {
            purposes,
            allowance,
        })
    }

    /// What a worker with these runs is used for, and the queue that is tried or careful there.
    fn purpose(&self, runs: &[RunKey]) -> (Purpose, Option<&CompactString>) {
        let mut found = None;
        let mut mixed = false;
        for run in runs.iter().map(|run| &self.cluster.runs[*run]) {
            let job = run.task.and_then(|task| self.jobs.get(task.step.job));
            let name = job.map(|job| &job.queue.name);
            if run.trial {
                return (Purpose::Trial, name);
            }
            match name.filter(|name| self.caution.is_careful(name)) {
                Some(name) => found = Some(name),
                None => mixed = true,
            }
        }
        match (found, mixed) {
            (Some(_), false) => (Purpose::Apart, found),
            // Other queues go on here; the careful ones do not.
            _ => (Purpose::Open, found),
        }
    }

    /// Whether less than half of the CPU of the workers is in use.
    fn is_mostly_free(&self, slots: &[WorkerKey]) -> bool {
        let workers = slots.iter().map(|key| &self.cluster.workers[*key]);
        let (used, all) = workers.fold((0_u64, 0_u64), |(used, all), worker| {
            let capacity = worker.registration.capacity.millicores;
            (
                used + u64::from(worker.used.millicores),
                all + u64::from(capacity),
            )
        });
        used * 2 < all
    }

    /// Keeps the worker with the least work free of new tasks of other queues, among those that may
    /// run `step`.
    fn vacate(&self, slots: &[WorkerKey], purposes: &mut [Purpose], step: Option<StepKey>) {
        let useful = |key: &WorkerKey| step.is_none_or(|step| self.may_run(step, *key));
        let least = slots
            .iter()
            .enumerate()
            .filter(|(at, key)| purposes[*at] == Purpose::Open && useful(key))
            .min_by_key(|(_, key)| (self.cluster.workers[**key].used.millicores, **key));
        if let Some((at, _)) = least {
            purposes[at] = Purpose::Vacant;
        }
    }

    /// Number of jobs with tasks that wait to run alone, and whether jobs without such tasks wait.
    fn jobs_on_trial(&self, waiting: &[StepKey]) -> (usize, bool) {
        let suspected = |key: &&StepKey| self.jobs.get(key.job).is_some_and(|job| job.suspected);
        let mut jobs: Vec<JobKey> = waiting.iter().filter(suspected).map(|k| k.job).collect();
        let others = jobs.len() < waiting.len();
        jobs.sort();
        jobs.dedup();
        (jobs.len(), others)
    }

    /// Number of queues with tasks that wait to run alone.
    fn queues_on_trial(&self, waiting: &[StepKey]) -> usize {
        let names = waiting.iter().filter_map(|key| {
            let job = self.jobs.get(key.job)?;
            let waits = job.step(*key).is_some_and(|step| step.trials() > 0);
            waits.then_some(job.queue.name.as_str())
        });
        let mut queues: Vec<&str> = names.collect();
        queues.sort_unstable();
        queues.dedup();
        queues.len()
    }

    /// Number of queues that are placed with caution.
    #[must_use]
    pub fn careful_queues(&self) -> usize {
        self.caution.careful().len()
    }
}
