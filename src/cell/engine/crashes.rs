//! Crashes of workers: which tasks they speak against, and what follows for them.

use log::{
    info,
    warn, //
};

use super::Engine;
use crate::cell::{
    cluster::{
        RunState,
        Suspect, //
        Worker,
    },
    job::{
        Phase,
        RunKey,
        StepKey,
        TaskKey,
        WorkerKey, //
    },
    model::State,
    suspicion::{
        self,
        Crash,
        Exposure,
        SOON_MS, //
    },
};

/// Time after which a run that lasts shows that the earlier crashes had other causes, in
/// milliseconds.
const ACQUITTAL_MS: u64 = 10_000;

/// Time since a worker's last answer within which it was probably up when a start command that it did
/// not answer was sent, in milliseconds.
const ANSWER_AGE_MS: u64 = 1_000;

/// What a crash of a worker means for a task that was on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// The task ran alone: the next crash of this kind convicts it.
    Alone,
    /// The crash followed the start of the task closely, beside other jobs.
    Early,
    /// The task was one of many.
    Shared,
    /// The task is convicted, and its job fails.
    Convicted,
}

impl Evidence {
    /// Name of the evidence in metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Evidence::Alone => "alone",
            Evidence::Early => "early",
            Evidence::Shared => "shared",
            Evidence::Convicted => "convicted",
        }
    }
}

impl Engine {
    /// Tasks that were on a worker that has crashed by local time `now`, in milliseconds: those of runs
    /// that it had confirmed, and of start commands that may have arrived. Runs confirmed from
    /// `before` on belong to a later incarnation.
    fn suspects_on(&self, worker: &Worker, before: u64, now: u64) -> Vec<Suspect> {
        let at = worker.crashed_at(now);
        let mut alone = true;
        let mut job = None;
        let mut suspects = Vec::new();
        for run in worker.runs.iter().map(|key| &self.cluster.runs[*key]) {
            let (started, confirmed) = match run.state {
                RunState::Confirmed(at) => (at, true),
                RunState::Sent | RunState::Unanswered => (run.ordered_at, false),
            };
            let sent = confirmed || run.start_expires > 0;
            // The worker may have been down already when the command was sent.
            let seen = confirmed || run.ordered_at <= worker.last_answer + ANSWER_AGE_MS;
            if !sent || confirmed && started >= before || run.ordered_at > at {
                continue;
            }
            alone &= **job.get_or_insert(&run.name.job) == run.name.job;
            suspects.extend(run.task.map(|task| Suspect {
                task,
                crash: Crash {
                    run: run.number,
                    age: match confirmed && run.start_expires == 0 {
                        // The run of an earlier owner began some time before it was reported.
                        true => Some((at - started.min(at)).max(SOON_MS + 1)),
                        // A run that was confirmed during a silence crashed the worker later.
                        false => at.checked_sub(started),
                    },
                    alone: seen,
                    joint: false,
                    wave: false,
                    unsure: !confirmed,
                },
                confirmed,
            }));
        }
        for suspect in &mut suspects {
            suspect.crash.alone &= alone;
        }
        suspects
    }

    /// Notes that a worker fell silent. If it has crashed, a later owner learns from the store which
    /// tasks it had started not long before.
    pub(super) fn note_silence(&mut self, key: WorkerKey, now: u64) {
        let worker = &self.cluster.workers[key];
        // A command that is under way says nothing yet: the silence may be that of the path.
        let mut suspects = self.suspects_on(worker, u64::MAX, now);
        suspects.retain(|suspect| suspect.confirmed);
        let (id, incarnation) = (worker.registration.id.clone(), worker.incarnation);
        for suspect in suspects.iter().filter(|suspect| suspect.crash.is_soon()) {
            let job = &mut self.jobs[suspect.task.step.job];
            let Some(task) = job.task_mut(suspect.task) else {
                continue;
            };
            task.exposure = Some(Exposure {
                worker: id.clone(),
                incarnation,
                crash: suspect.crash,
            });
            self.mark_dirty(suspect.task.step.job);
        }
        let rack = self.cluster.workers[key].registration.rack();
        self.caution
            .note_silence(&self.jobs, (key, rack), &suspects, now);
        self.note_in_wave(key, &suspects, now);
    }

    /// Keeps the tasks of runs that are presumed over on a silent worker: should it turn out that the
    /// worker has crashed, that counts against them.
    pub(super) fn keep_suspects(&mut self, key: WorkerKey, now: u64) {
        let worker = &self.cluster.workers[key];
        let suspects = self.suspects_on(worker, u64::MAX, now);
        self.cluster.workers[key].lapsed.extend(suspects);
    }

    /// Notes that a worker has crashed, as a later incarnation or another worker at its address shows
    /// in reply to a command of local time `sent`, in milliseconds.
    pub(super) fn note_crash(&mut self, key: WorkerKey, sent: u64, now: u64) {
        let Some(worker) = self.cluster.workers.get_mut(key) else {
            return;
        };
        let lapsed = std::mem::take(&mut worker.lapsed);
        let worker = &self.cluster.workers[key];
        let id = worker.registration.id.clone();
        if worker.drained > 0 && worker.drained >= worker.incarnation {
            return;
        }
        let at = worker.crashed_at(now);
        let left = self.suspects_on(worker, sent, now);
        let company = left.len();
        // What ran beside a task counts as of the time at which the first run was presumed over.
        let suspects: Vec<Suspect> = lapsed.into_iter().chain(left).collect();
        let rack = worker.registration.rack();
        self.caution
            .note_crash(&self.jobs, (key, rack), &suspects, at);
        let joint = self.caution.is_joint(key);
        self.note_in_wave(key, &suspects, now);
        let wave = self.is_in_wave(Some(key), now);
        info!(worker = id.as_str(), suspects = company, joint, wave, ago = now.saturating_sub(at); "worker crashed");
        for mut suspect in suspects {
            suspect.crash.joint = joint;
            suspect.crash.wave = wave;
            self.count_crash(&suspect, &id, company, now);
        }
        self.count_exposures(&id, u64::MAX, now);
    }

    /// Settles what earlier owners stored about a worker that reports incarnation `incarnation`, or
    /// has crashed.
    pub(super) fn count_exposures(&mut self, id: &str, incarnation: u64, now: u64) {
        let of_worker = self.exposed.extract_if(.., |(worker, _)| worker == id);
        let tasks: Vec<TaskKey> = of_worker.map(|(_, task)| task).collect();
        let wave = !tasks.is_empty() && self.is_in_wave(self.cluster.find_worker(id), now);
        for task in tasks {
            let state = self
                .jobs
                .get_mut(task.step.job)
                .and_then(|job| job.task_mut(task));
            let exposure = state.and_then(|state| state.exposure.take_if(|e| e.worker == id));
            if let Some(exposure) = exposure
                && exposure.incarnation < incarnation
            {
                let crash = Crash {
                    wave,
                    ..exposure.crash
                };
                let suspect = Suspect {
                    task,
                    crash,
                    confirmed: true,
                };
                self.count_crash(&suspect, id, 1, now);
            }
        }
    }

    /// Collects the tasks whose workers may have crashed under earlier owners.
    pub(super) fn load_exposures(&mut self) {
        for (key, job) in &self.jobs {
            for (o, occurrence) in job.occurrences.iter().enumerate() {
                for (s, step) in occurrence.steps.iter().enumerate() {
                    let tasks = step.tasks.iter().enumerate();
                    self.exposed.extend(tasks.filter_map(|(index, task)| {
                        let task_key = TaskKey::new(key, o, s, index);
                        let worker = task.exposure.as_ref()?.worker.clone();
                        Some((worker, task_key))
                    }));
                }
            }
        }
    }

    /// Counts a crash against a task; its job fails if the task is convicted.
    fn count_crash(&mut self, suspect: &Suspect, worker: &str, company: usize, now: u64) {
        let key = suspect.task;
        let Some(job) = self.jobs.get_mut(key.step.job) else {
            return;
        };
        let lasting = job
            .definition(key.step)
            .is_some_and(|step| step.long_running);
        if job.state.is_final() {
            return;
        }
        let id = job.id.clone();
        job.suspected = true;
        let Some(step) = job.step_mut(key.step) else {
            return;
        };
        step.suspected = true;
        let Some(task) = step.tasks.get_mut(key.index as usize) else {
            return;
        };
        if task.phase == Phase::Done {
            return;
        }
        if lasting && suspect.crash.age.is_some_and(|age| age > ACQUITTAL_MS) {
            task.crashes.clear();
        }
        let crash = suspect.crash;
        let Err(at) = task.crashes.binary_search_by_key(&crash.run, |c| c.run) else {
            return;
        };
        task.crashes.insert(at, crash);
        task.last_run = task.last_run.max(crash.run);
        task.exposure = None;
        task.released = false;
        self.waves.note_suspicion();
        let (convicted, crashes) = (
            suspicion::is_convicted(&task.crashes),
            task.crashes.len() as u64,
        );
        info!(job = id.as_str(), step = key.step.step, task = key.index, run = crash.run, worker, age:? = crash.age,
            early = crash.is_early(), alone = crash.alone, joint = crash.joint, wave = crash.wave, company, crashes; "worker crashed under a task");
        self.evidence.push(match (convicted, crash) {
            (true, _) => Evidence::Convicted,
            (_, crash) if crash.joint => Evidence::Shared,
            (_, crash) if crash.alone => Evidence::Alone,
            (_, crash) if crash.is_early() => Evidence::Early,
            _ => Evidence::Shared,
        });
        self.mark_dirty(key.step.job);
        if convicted {
            warn!(job = id.as_str(), step = key.step.step, task = key.index, crashes; "task crashes the workers that start it; job fails");
            self.finish_job(key.step.job, State::Failed, now);
        }
    }

    /// Notes in the job's record where a run is tried that may crash its worker.
    pub(super) fn expose(&mut self, key: RunKey) {
        let run = &self.cluster.runs[key];
        let Some(task) = run.task else {
            return;
        };
        let worker = &self.cluster.workers[run.worker];
        let exposure = Exposure {
            worker: worker.registration.id.clone(),
            incarnation: worker.incarnation,
            crash: Crash {
                run: run.number,
                age: None,
                alone: true,
                joint: false,
                wave: false,
                unsure: true,
            },
        };
        if let Some(state) = self.jobs[task.step.job].task_mut(task) {
            state.exposure = Some(exposure);
        }
        self.mark_dirty(task.step.job);
    }

    /// Ends the trials of runs that have lasted: other jobs may share their workers.
    pub(super) fn end_trials(&mut self, now: u64) {
        let mut ended = Vec::new();
        for run in self.cluster.runs.values_mut().filter(|run| run.trial) {
            let silent = self.cluster.workers.get(run.worker);
            let silent = silent.is_some_and(|worker| worker.silent_since.is_some());
            if matches!(run.state, RunState::Confirmed(at) if now > at + ACQUITTAL_MS && !silent) {
                run.trial = false;
                ended.extend(run.task);
            }
        }
        self.pass_needed |= !ended.is_empty();
        for task in ended {
            self.clear_exposure(task);
        }
    }

    /// Forgets where a task ran: its run there has ended without a crash, or lasts.
    pub(super) fn clear_exposure(&mut self, task: TaskKey) {
        let Some(job) = self.jobs.get_mut(task.step.job) else {
            return;
        };
        let state = job.task_mut(task);
        if state.is_some_and(|state| state.exposure.take().is_some()) && !job.state.is_final() {
            self.mark_dirty(task.step.job);
        }
    }

    /// Takes the evidence since the last call, for metrics.
    pub fn take_evidence(&mut self) -> Vec<Evidence> {
        std::mem::take(&mut self.evidence)
    }

    /// Number of tasks that wait to be tried alone.
    #[must_use]
    pub fn waiting_trials(&self) -> usize {
        self.trials_in(&self.backlog)
    }

    /// Number of tasks of `steps` that wait to be tried alone.
    pub(super) fn trials_in(&self, steps: &[StepKey]) -> usize {
        let steps = steps.iter();
        let steps = steps.filter_map(|key| self.jobs.get(key.job)?.step(*key));
        steps.map(|step| step.trials()).sum()
    }
}
