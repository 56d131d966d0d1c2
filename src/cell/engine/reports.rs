//! Applies worker reports and run outcomes to tasks and jobs.

use log::{
    info,
    warn, //
};

use super::{
    Action,
    Engine,
    commands,
    losses::Loss, //
};
use crate::cell::{
    cluster::{
        self,
        Run, //
        RunState,
    },
    fencing,
    job::{
        JobKey,
        Phase,
        RunKey,
        StepKey,
        TaskKey,
        WorkerKey, //
    },
    model::{
        self,
        Outcome,
        State, //
    }, //
};

/// Share of the gang timeout after which an incomplete gang is stopped; the rest of the timeout is
/// left for the stop commands.
const GANG_TIMEOUT_SHARE: f64 = 0.6;

/// Time allowed to workers to end the other members of a broken gang before they are told to stop
/// them, in milliseconds.
const GANG_EXIT_MS: u64 = 400;

impl Engine {
    /// Applies a worker's report. The poll was sent at local time `sent`, in milliseconds, and
    /// acknowledged ended runs up to number `seen`.
    pub fn apply_report(
        &mut self,
        key: WorkerKey,
        sent: u64,
        seen: u64,
        report: &model::Report,
        now: u64,
    ) {
        let Some(worker) = self.cluster.workers.get_mut(key) else {
            return;
        };
        worker.polling = false;
        let same = report.incarnation == 0 || report.incarnation == worker.incarnation;
        if report.incarnation > 0
            && worker.incarnation > 0
            && report.incarnation != worker.incarnation
        {
            if report.incarnation < worker.incarnation {
                worker.poll_after = now + commands::POLL_RETRY_MS;
                return;
            }
            self.change_incarnation(key, report.incarnation, sent, now);
        }
        self.record_clock(key, Some(report.clock), sent, now);
        if same {
            self.cluster.workers[key].lapsed.clear();
            self.caution.note_report(key);
            self.waves.forget(key);
        }
        if report.incarnation > 0 && !self.exposed.is_empty() {
            let id = self.cluster.workers[key].registration.id.clone();
            self.count_exposures(&id, report.incarnation, now);
        }
        // The poll may have been meant for a former incarnation, which had seen the token, or have been
        // answered by one.
        let registered = self.cluster.workers[key].registration.incarnation;
        let newest = report.incarnation == 0 || report.incarnation >= registered;
        // The ends of runs of earlier owners may be on the next page.
        let conclusive = newest && !report.partial;
        let proven = conclusive && self.has_fresh_proof(sent);
        let worker = &mut self.cluster.workers[key];
        // After a poll with an earlier token, late commands to the former incarnation may still act.
        let current = worker.poll_token == worker.token;
        worker.last_report = now;
        worker.incarnation = worker.incarnation.max(report.incarnation);
        if !worker.fenced && !current {
            worker.poll_after = now;
        } else if !worker.fenced && !proven {
            worker.poll_after = now + commands::POLL_RETRY_MS;
        } else if !worker.fenced {
            worker.fenced = true;
            worker.token_for = Some(worker.incarnation);
            // An earlier owner may have renewed leases just before.
            let longest = cluster::local_duration(self.times.lease);
            worker.leases_end = worker.leases_end.max(now + longest);
            self.pass_needed = true;
            self.lift_cordon(key);
        }
        let worker = &mut self.cluster.workers[key];
        if same {
            worker.acknowledged = worker.acknowledged.max(seen);
        }
        let known = worker.applied();
        let above = &worker.applied_above;
        let is_new = |end: &&model::EndedRun| {
            end.number > known && above.binary_search(&end.number).is_err()
        };
        let mut new_ends: Vec<&model::EndedRun> = report.ended.iter().filter(is_new).collect();
        new_ends.sort_by_key(|end| end.number);
        let any_new = !new_ends.is_empty();
        for end in new_ends {
            self.apply_end(key, end, now);
        }
        if any_new {
            // What follows from the ended runs is stored with the batch being gathered, or with one
            // in flight.
            let last = match self.dirty_jobs.is_empty() {
                true => self.open_batch - 1,
                false => self.open_batch,
            };
            let worker = &mut self.cluster.workers[key];
            worker.outcome_batch = worker.outcome_batch.max(last);
        }
        self.note_unapplied(key, report);
        self.compare_runs(key, sent, report, now);
        let worker = &self.cluster.workers[key];
        if worker.applied() <= worker.acknowledged {
            self.remove_if_empty(key);
        }
    }

    /// Notes from which number on ends were not all applied. A full page is acknowledged in any case: the
    /// ends after it would never be seen.
    fn note_unapplied(&mut self, key: WorkerKey, report: &model::Report) {
        let unread = |end: &&model::EndedRun| self.is_unread(&end.task.job);
        let of_unread = report.ended.iter().filter(unread);
        let lowest = of_unread.map(|end| end.number).chain(report.unread).min();
        let worker = &mut self.cluster.workers[key];
        worker.unapplied = lowest.filter(|_| !report.partial);
        worker.applied_above.clear();
        if worker.unapplied.is_none() {
            return;
        }
        let numbers = report.ended.iter().map(|end| end.number);
        worker.applied_above.extend(numbers);
        worker.applied_above.sort_unstable();
    }

    /// Applies one ended run from a report.
    fn apply_end(&mut self, worker: WorkerKey, end: &model::EndedRun, now: u64) {
        let last = &mut self.cluster.workers[worker].last_outcome;
        *last = end.number.max(*last);
        let run = self.cluster.find_run(worker, &end.task, end.run);
        match run.map(|key| (key, self.cluster.runs[key].task)) {
            Some((key, Some(_))) => self.end_run(key, end.outcome, &end.checkpoint, now),
            Some((key, None)) => {
                // No task waits for the run, but its outcome is acknowledged and must count.
                self.end_run(key, end.outcome, &end.checkpoint, now);
                self.apply_untracked_end(worker, end, now);
            }
            None => self.apply_untracked_end(worker, end, now),
        }
    }

    /// Applies the end of a run that is not tracked: a run of an earlier owner, or one that was
    /// given up.
    fn apply_untracked_end(&mut self, worker: WorkerKey, end: &model::EndedRun, now: u64) {
        self.begin_reported(&end.task);
        let Some(task) = self.find_task(&end.task) else {
            return;
        };
        let job = &mut self.jobs[task.step.job];
        // Whatever is stored now would replace the progress that could not be read.
        if job.state.is_final() || job.unread {
            return;
        }
        let Some(state) = job.task_mut(task) else {
            return;
        };
        state.last_run = state.last_run.max(end.run);
        if state.phase == Phase::Done {
            return;
        }
        let live = matches!(state.phase, Phase::Active(_));
        info!(job = end.task.job.as_str(), step = end.task.step, task = end.task.index, run = end.run,
            worker = self.cluster.workers[worker].registration.id.as_str(), how:? = end.outcome; "untracked run ended");
        if live && end.outcome != Outcome::Done {
            // A later run is active; a failure counts nevertheless.
            if end.outcome == Outcome::Failed {
                self.count_failure(task, worker, end.run, now);
            }
            return;
        }
        self.apply_outcome(task, worker, end.run, end.outcome, &end.checkpoint, now);
    }

    /// Finds the task of a name.
    pub(super) fn find_task(&self, name: &model::TaskName) -> Option<TaskKey> {
        let job = self.find_job(&name.job)?;
        let occurrences = &self.jobs[job].occurrences;
        let occurrence = occurrences
            .iter()
            .position(|o| o.number == name.occurrence)?;
        let step = occurrences[occurrence].steps.get(name.step as usize)?;
        step.tasks.get(name.index as usize)?;
        Some(TaskKey {
            step: StepKey {
                job,
                occurrence: occurrence as u32,
                step: name.step,
            },
            index: name.index,
        })
    }

    /// Compares the runs that a worker reports with the tracked runs.
    fn compare_runs(&mut self, key: WorkerKey, sent: u64, report: &model::Report, now: u64) {
        let booked = self.cluster.workers[key].runs.clone();
        let mut listed: Vec<RunKey> = Vec::new();
        for live in &report.running {
            match self.cluster.find_run(key, &live.task, live.run) {
                Some(run) => {
                    listed.push(run);
                    self.confirm_run(run, live, now);
                }
                None => self.adopt_run(key, live, now),
            }
        }
        if report.partial {
            // The end of a run that is not listed may be on the next page.
            return;
        }
        listed.sort();
        for run in booked {
            if listed.binary_search(&run).is_ok() || !self.cluster.runs.contains_key(run) {
                continue;
            }
            let loss = match self.cluster.runs[run].state {
                RunState::Confirmed(at) if at < sent => Loss::Unlisted,
                RunState::Unanswered if self.is_expired(run, report.clock) => Loss::CommandExpired,
                _ => continue,
            };
            self.lose_run(run, loss, now);
        }
    }

    fn confirm_run(&mut self, key: RunKey, live: &model::LiveRun, now: u64) {
        let run = &mut self.cluster.runs[key];
        if !matches!(run.state, RunState::Confirmed(_)) {
            run.state = RunState::Confirmed(now);
        }
        let Some(task) = run.task else {
            return;
        };
        if run.stopping && !run.in_flight && now >= run.retry_after {
            self.actions.push(Action::Stop(key));
        }
        self.mark_started(task);
        if let Some(state) = self.jobs[task.step.job].task_mut(task)
            && !live.checkpoint.is_empty()
        {
            state.checkpoint = live.checkpoint.clone();
        }
    }

    /// Tracks a reported run that is not known yet: a run of an earlier owner is adopted, any other
    /// run is stopped.
    fn adopt_run(&mut self, worker: WorkerKey, live: &model::LiveRun, now: u64) {
        self.begin_reported(&live.task);
        let task = self.find_task(&live.task).filter(|task| {
            let job = &self.jobs[task.step.job];
            let state = job
                .step(task.step)
                .and_then(|s| s.tasks.get(task.index as usize));
            !job.state.is_final() && !job.unread && state.is_some_and(|t| t.phase == Phase::Waiting)
        });
        let id = self.cluster.workers[worker].registration.id.clone();
        let demand = self.find_task(&live.task).map(|task| {
            let job = &self.jobs[task.step.job];
            super::demand(&job.submission.steps[task.step.step as usize])
        });
        let charge = self.charge(&live.task);
        info!(job = live.task.job.as_str(), step = live.task.step, task = live.task.index, run = live.run,
            worker = id.as_str(), kept = task.is_some(); "untracked run found on worker");
        let key = self.cluster.add_run(Run {
            task,
            name: live.task.clone(),
            number: live.run,
            worker,
            // An unknown run may use the whole capacity of the worker, also once it has grown.
            demand: demand.unwrap_or(model::MAX_RESOURCES),
            charge,
            state: RunState::Confirmed(now),
            start_expires: 0,
            ordered_at: now,
            permit: Default::default(),
            stopping: task.is_none(),
            retry_after: 0,
            in_flight: false,
            repeated: false,
            sent_to: 0,
            sent_at: 0,
            token: fencing::Token::default(),
            trial: false,
            after_batch: 0,
        });
        let Some(task) = task else {
            self.actions.push(Action::Stop(key));
            return;
        };
        self.note_begin(key, now);
        self.mark_started(task);
        if let Some(state) = self.jobs[task.step.job].task_mut(task) {
            state.phase = Phase::Active(key);
            state.last_run = state.last_run.max(live.run);
            state.checkpoint = live.checkpoint.clone();
        }
    }

    /// Records that a task of a job has started.
    pub(super) fn mark_started(&mut self, task: TaskKey) {
        let job = &mut self.jobs[task.step.job];
        if job.started {
            return;
        }
        job.started = true;
        if job.state == State::Pending {
            job.state = State::Running;
            // The state is visible before it is stored: it promises nothing to the caller, and a
            // later owner learns it from the workers.
            job.visible_state = State::Running;
        }
    }

    /// Ends a run: frees its resources and applies the outcome to its task.
    pub(super) fn end_run(&mut self, key: RunKey, outcome: Outcome, checkpoint: &str, now: u64) {
        let Some(run) = self.cluster.remove_run(key) else {
            return;
        };
        self.pass_needed = true;
        self.note_end(key, &run, outcome, now);
        let Some(task) = run.task else {
            return;
        };
        if !self.jobs.contains_key(task.step.job) {
            return;
        }
        info!(job = run.name.job.as_str(), step = run.name.step, task = run.name.index, run = run.number,
            worker = self.worker_id(run.worker), how:? = outcome, took = now - run.ordered_at; "run ended");
        if let Some(state) = self.jobs[task.step.job].task_mut(task)
            && state.phase == Phase::Active(key)
        {
            state.phase = Phase::Waiting;
        }
        if outcome == Outcome::Done {
            self.note_overtaken(task, &run);
        }
        self.apply_outcome(task, run.worker, run.number, outcome, checkpoint, now);
    }

    pub(super) fn worker_id(&self, key: WorkerKey) -> &str {
        self.cluster
            .workers
            .get(key)
            .map_or("", |w| w.registration.id.as_str())
    }

    /// Applies the outcome of a run to its task.
    fn apply_outcome(
        &mut self,
        task: TaskKey,
        worker: WorkerKey,
        run: u32,
        outcome: Outcome,
        checkpoint: &str,
        now: u64,
    ) {
        let job = &mut self.jobs[task.step.job];
        let Some(definition) = job.definition(task.step) else {
            return;
        };
        let (gang, long_running) = (definition.gang, definition.long_running);
        let id = job.id.clone();
        if outcome != Outcome::Lapsed {
            self.clear_exposure(task);
        }
        let job = &mut self.jobs[task.step.job];
        if !checkpoint.is_empty()
            && outcome != Outcome::Done
            && let Some(state) = job.task_mut(task)
        {
            state.checkpoint = checkpoint.into();
        }
        match outcome {
            Outcome::Done if !long_running => {
                if let Some(worker) = self.cluster.workers.get_mut(worker) {
                    worker.record_success();
                }
                self.complete_task(task, gang, now);
            }
            Outcome::Failed => {
                let suspect = self.cluster.workers.get_mut(worker);
                if suspect.is_some_and(|w| w.record_failure(&id, now)) {
                    warn!(worker = self.worker_id(worker); "worker suspended: runs of several jobs failed on it");
                }
                self.count_failure(task, worker, run, now);
            }
            _ => {}
        }
        self.requeue(task.step, gang, now);
    }

    /// Records that a task has succeeded; in a gang, all tasks succeed together.
    fn complete_task(&mut self, task: TaskKey, gang: bool, now: u64) {
        let job = &mut self.jobs[task.step.job];
        let Some(step) = job.step_mut(task.step) else {
            return;
        };
        let mut finished = Vec::new();
        for (i, state) in step.tasks.iter_mut().enumerate() {
            if !gang && i as u32 != task.index {
                continue;
            }
            match state.phase {
                Phase::Done => continue,
                Phase::Active(run) => finished.push(run),
                Phase::Waiting => {}
            }
            state.phase = Phase::Done;
            step.left -= 1;
        }
        let step_done = step.left == 0;
        for run in finished {
            if let Some(run) = self.cluster.runs.get_mut(run) {
                // The worker reports the end of this run soon, and no task waits for it.
                run.task = None;
                run.stopping = !gang;
            }
        }
        self.mark_dirty(task.step.job);
        if step_done {
            self.backlog.retain(|step| *step != task.step);
            self.step_completed(task.step.job, now);
        }
    }

    fn step_completed(&mut self, key: JobKey, now: u64) {
        if self.jobs[key].is_done() {
            self.finish_job(key, State::Completed, now);
        } else {
            self.advance(key, now);
        }
    }

    /// Counts a failed run; the job fails when a task has no attempts left.
    fn count_failure(&mut self, task: TaskKey, worker: WorkerKey, run: u32, now: u64) {
        let job = &mut self.jobs[task.step.job];
        let Some(definition) = job.definition(task.step) else {
            return;
        };
        let (gang, long_running) = (definition.gang, definition.long_running);
        let attempts = job.queue.attempts;
        let Some(step) = job.step_mut(task.step) else {
            return;
        };
        // The failures of a gang are counted on its first task.
        let index = if gang { 0 } else { task.index };
        let Some(state) = step.tasks.get_mut(index as usize) else {
            return;
        };
        if state.phase == Phase::Done {
            return;
        }
        let Err(at) = state.failed_runs.binary_search(&run) else {
            return;
        };
        state.failed_runs.insert(at, run);
        let fails = state.failed_runs.len() as u32;
        if let Some(state) = step.tasks.get_mut(task.index as usize) {
            state.failed_on.push(worker);
        }
        self.mark_dirty(task.step.job);
        if !long_running && fails >= attempts {
            info!(job = self.jobs[task.step.job].id.as_str(), step = task.step.step, task = task.index, fails; "task has no attempts left; job fails");
            self.finish_job(task.step.job, State::Failed, now);
        }
    }

    /// Returns a step to the backlog; a gang only after all runs of its members have ended.
    fn requeue(&mut self, key: StepKey, gang: bool, now: u64) {
        let job = &mut self.jobs[key.job];
        if job.state.is_final() {
            return;
        }
        let Some(step) = job.step_mut(key) else {
            return;
        };
        if step.left == 0 || step.waiting() == 0 {
            return;
        }
        if gang && step.active() > 0 {
            step.broken = true;
            self.stop_gang(key, now);
            return;
        }
        step.broken = false;
        self.enqueue(key);
    }

    /// Stops the remaining members of a gang that has lost one.
    fn stop_gang(&mut self, key: StepKey, now: u64) {
        let Some(step) = self.jobs.get(key.job).and_then(|job| job.step(key)) else {
            return;
        };
        for task in &step.tasks {
            let Phase::Active(run) = task.phase else {
                continue;
            };
            let Some(state) = self.cluster.runs.get_mut(run) else {
                continue;
            };
            if state.stopping {
                continue;
            }
            state.stopping = true;
            // Workers end the other members of a broken gang on their own.
            let confirmed = matches!(state.state, RunState::Confirmed(_));
            state.retry_after = if confirmed { now + GANG_EXIT_MS } else { now };
            if !confirmed {
                self.actions.push(Action::Stop(run));
            }
        }
    }

    /// Stops gangs that are still incomplete after their share of the gang timeout.
    pub(super) fn stop_stuck_gangs(&mut self, now: u64) {
        let limit = (self.times.gang as f64 * GANG_TIMEOUT_SHARE) as u64;
        let mut stuck: Vec<StepKey> = Vec::new();
        for run in self.cluster.runs.values() {
            let waits = !matches!(run.state, RunState::Confirmed(_)) && !run.stopping;
            let Some(task) = run.task.filter(|_| waits && now > run.ordered_at + limit) else {
                continue;
            };
            let definition = self
                .jobs
                .get(task.step.job)
                .and_then(|job| job.definition(task.step));
            if definition.is_some_and(|definition| definition.gang) && !stuck.contains(&task.step) {
                stuck.push(task.step);
            }
        }
        for key in stuck {
            warn!(job = self.jobs[key.job].id.as_str(), step = key.step; "gang is still incomplete after its timeout; stopping its members");
            if let Some(step) = self.jobs[key.job].step_mut(key) {
                step.broken = true;
            }
            self.stop_gang(key, now);
        }
    }
}

/// Stops the remaining members of a gang that has lost some.
pub(super) fn stop_incomplete_gang(engine: &mut Engine, key: StepKey, now: u64) {
    let job = &engine.jobs[key.job];
    let (Some(definition), Some(step)) = (job.definition(key), job.step(key)) else {
        return;
    };
    if definition.gang && step.active() > 0 && step.waiting() > 0 {
        engine.requeue(key, true, now);
    }
}
