//! Reacts to the effects of log records and to the answers to starts.

use crate::{
    ids::{
        Millis,
        RunId,
        Token,
        WorkerId, //
    },
    kernel::{
        WorkerKey,
        runs::{
            Command,
            Profiles,
            Runs,
            outcomes,
            pending::{
                Entry,
                Pending,
                Stage, //
            },
            reports, //
        },
        workers::Workers, //
    },
    ledger::{
        effect::Effect,
        jobs::{
            Jobs,
            job::Job, //
        },
        record, //
    },
    wire::worker::{
        Launch,
        Signal,
        StartResponse,
        Started,
        TaskId, //
    }, //
};

/// Milliseconds after which an unanswered claim proposal releases its allocation.
const PROPOSAL_TIMEOUT_MS: u64 = 5_000;

/// Maximum number of doublings of the backoff between attempts.
const MAX_BACKOFF_DOUBLINGS: u32 = 10;

impl Runs {
    /// Handles the effect of a record that has already been applied to `jobs`.
    pub fn on_effect(
        &mut self,
        now: Millis,
        effect: &Effect,
        jobs: &Jobs,
        workers: &mut Workers,
        profiles: &impl Profiles,
    ) -> Vec<Command> {
        match effect {
            Effect::Accepted { run, .. } => {
                self.enqueue(now, run, jobs, profiles);
                Vec::new()
            }
            Effect::Claim { by, claim, won } => {
                if *won {
                    self.add_usage(claim, jobs);
                }
                match (self.author(by), *won) {
                    (true, true) => self.start_claim(now, claim, jobs, workers),
                    (true, false) => {
                        self.release_claim(claim, workers);
                        Vec::new()
                    }
                    _ => Vec::new(),
                }
            }
            Effect::Ended { finish, worker } => {
                self.attempt_ended(now, (finish, worker), jobs, workers, profiles)
            }
            Effect::Stopped { run, .. } => stop_job(now, run, jobs, workers),
            _ => Vec::new(),
        }
    }

    /// Handles the answer to a start; `None` means that no answer arrived in time.
    pub fn on_start_answer(
        &mut self,
        now: Millis,
        worker: WorkerKey,
        tasks: &[TaskId],
        answer: Option<&StartResponse>,
        workers: &mut Workers,
    ) -> Vec<Command> {
        let mut refused = Vec::new();
        for (at, id) in tasks.iter().enumerate() {
            match answer.and_then(|a| a.results.get(at)) {
                Some(Started::Started) => {
                    workers.confirm(worker, id);
                    self.pending.remove(id);
                }
                Some(_) => refused.push(id.clone()),
                None => {
                    let since = now;
                    self.pending.set(id, Stage::Unknown { since });
                }
            }
        }
        self.on_start_unsent(now, &refused, workers)
    }

    /// Ends attempts whose start was refused by the worker, or was not sent and never will be.
    pub fn on_start_unsent(
        &mut self,
        now: Millis,
        tasks: &[TaskId],
        workers: &mut Workers,
    ) -> Vec<Command> {
        let mut finishes = Vec::new();
        for id in tasks {
            // A report may already have resolved the start; the report takes precedence.
            let Some(entry) = self.pending.remove(id) else {
                continue;
            };
            workers.cancel_allocation(entry.worker, id);
            self.proposals.propose(now, id);
            finishes.push(outcomes::unstarted(
                id.clone(),
                "the start was not sent or refused",
            ));
        }
        reports::append_outcomes(finishes)
    }

    /// Releases the allocations of a claim that lost or that certainly never reached the log.
    pub fn release_claim(&mut self, claim: &record::Claim, workers: &mut Workers) {
        for placement in &claim.tasks {
            let entry = self.pending.get(workers, &claim.run, placement);
            let Some(entry) = entry.filter(|e| is_proposed(e)).cloned() else {
                continue;
            };
            self.pending.remove(&entry.id);
            workers.cancel_allocation(entry.worker, &entry.id);
        }
    }

    /// Removes expired state. Must be called periodically.
    pub fn tick(&mut self, now: Millis, workers: &mut Workers) {
        self.proposals.tick(now);
        self.backoffs.tick(now);
        self.reservation.tick(now);
        self.expire_proposals(now, workers);
        let (limit, max_ejected) = (self.cfg.eject, self.cfg.floor);
        self.health.tick(now, workers, limit, max_ejected);
    }

    /// Releases the allocations of claims that the log has not answered in time. Such a claim is
    /// not started even if it wins later.
    fn expire_proposals(&mut self, now: Millis, workers: &mut Workers) {
        let expired = self.pending.iter().filter(|e| match e.stage {
            Stage::Proposed { since } => now.since(since) >= PROPOSAL_TIMEOUT_MS,
            _ => false,
        });
        let expired: Vec<_> = expired.cloned().collect();
        for entry in expired {
            self.pending.remove(&entry.id);
            workers.cancel_allocation(entry.worker, &entry.id);
        }
    }

    fn enqueue(&mut self, now: Millis, run: &RunId, jobs: &Jobs, profiles: &impl Profiles) {
        let Some(job) = jobs.get(run) else {
            return;
        };
        if !job.waiting().is_empty() {
            self.queue.add(now, run, job, profiles);
        }
    }

    fn add_usage(&mut self, claim: &record::Claim, jobs: &Jobs) {
        if let Some(job) = jobs.get(&claim.run) {
            let tasks = u32::try_from(claim.tasks.len()).unwrap_or(u32::MAX);
            self.quota.add(&job.spec.profile, &job.spec.demand, tasks);
        }
    }

    /// Starts the tasks of a claim that this instance won. Attempts that may no longer be started
    /// end as unstarted; for a gang, all of them do.
    fn start_claim(
        &mut self,
        now: Millis,
        claim: &record::Claim,
        jobs: &Jobs,
        workers: &mut Workers,
    ) -> Vec<Command> {
        let Some(job) = jobs.get(&claim.run) else {
            return Vec::new();
        };
        let mut starts: Vec<(WorkerKey, Token, Launch)> = Vec::new();
        let mut unstarted = Vec::new();
        for placement in &claim.tasks {
            let id = Pending::id(&claim.run, placement);
            match self.pending.get(workers, &claim.run, placement) {
                Some(e) if !is_proposed(e) => {}
                Some(e) if workers.may_start(now, e.worker, e.token) => {
                    let launch = launch(job, id, self.task_ttl);
                    starts.push((e.worker, e.token, launch));
                }
                _ => unstarted.push(id),
            }
        }
        if !unstarted.is_empty() && job.spec.terms.kind == crate::profile::Kind::Gang {
            unstarted.extend(starts.drain(..).map(|s| s.2.id));
        }
        for (_, _, launch) in &starts {
            self.pending.set(&launch.id, Stage::Sending { since: now });
        }
        let mut commands = self.end_unstarted(now, unstarted, workers);
        commands.extend(group_by_worker(starts));
        commands
    }

    /// Ends attempts of won claims that this instance never started.
    fn end_unstarted(
        &mut self,
        now: Millis,
        ids: Vec<TaskId>,
        workers: &mut Workers,
    ) -> Vec<Command> {
        let mut finishes = Vec::new();
        for id in ids {
            if let Some(entry) = self.pending.remove(&id) {
                workers.cancel_allocation(entry.worker, &id);
            }
            self.proposals.propose(now, &id);
            finishes.push(outcomes::unstarted(
                id,
                "the lease was lost before the start",
            ));
        }
        reports::append_outcomes(finishes)
    }

    fn attempt_ended(
        &mut self,
        now: Millis,
        (finish, worker): (&record::FinishedAttempt, &WorkerId),
        jobs: &Jobs,
        workers: &mut Workers,
        profiles: &impl Profiles,
    ) -> Vec<Command> {
        let id = &finish.id;
        self.proposals.confirm(id);
        if let Some(entry) = self.pending.remove(id) {
            // The claim of another instance for the same attempt may have won and ended.
            workers.cancel_allocation(entry.worker, id);
        }
        if let Some(job) = jobs.get(&id.run) {
            self.quota.subtract(&job.spec.profile, &job.spec.demand, 1);
            if finish.end == record::Outcome::Failed || finish.crashed() {
                let until = now.plus(self.backoff(job, id));
                self.backoffs.add(&id.run, id.index, until);
            }
        }
        self.enqueue(now, &id.run, jobs, profiles);
        let Some(key) = workers.key(worker) else {
            return Vec::new();
        };
        workers.release_allocation(key, id);
        let failed = finish.end == record::Outcome::Failed && !finish.crashed();
        if failed || finish.end == record::Outcome::Done {
            self.health.record_outcome(workers, key, &id.run, failed);
        }
        let acknowledged = matches!(
            finish.end,
            record::Outcome::Done | record::Outcome::Failed | record::Outcome::Stopped
        );
        if !acknowledged || workers.signal_token(now, key).is_none() {
            return Vec::new();
        }
        vec![Command::Forget {
            worker: key,
            tasks: vec![id.clone()],
        }]
    }

    /// Returns the backoff before the next attempt at a task, in milliseconds, with jitter.
    fn backoff(&self, job: &Job, id: &TaskId) -> u64 {
        let failures = job.tasks.get(id.index as usize).map_or(1, |t| t.failures);
        let base = u64::try_from(self.cfg.backoff.as_millis()).unwrap_or(u64::MAX);
        let doublings = failures.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS);
        let span = base.saturating_mul(1 << doublings);
        let seed = u64::from(id.index) << 32 | u64::from(id.attempt);
        let random = xxhash_rust::xxh3::xxh3_64_with_seed(id.run.as_str().as_bytes(), seed);
        span / 2 + random % (span / 2 + 1)
    }
}

fn is_proposed(entry: &Entry) -> bool {
    matches!(entry.stage, Stage::Proposed { .. })
}

fn launch(job: &Job, id: TaskId, ttl: u64) -> Launch {
    let resume = job.tasks.get(id.index as usize).map_or(0, |t| t.checkpoint);
    Launch {
        id,
        demand: job.spec.demand,
        ttl,
        resume,
        payload: job.spec.payload.clone(),
    }
}

/// Groups launches into one start command for each worker and token.
fn group_by_worker(mut starts: Vec<(WorkerKey, Token, Launch)>) -> Vec<Command> {
    starts.sort_by_key(|s| (s.0, s.1));
    let rows = starts.chunk_by(|a, b| (a.0, a.1) == (b.0, b.1));
    rows.map(|row| Command::Start {
        worker: row[0].0,
        token: row[0].1,
        launches: row.iter().map(|s| s.2.clone()).collect(),
    })
    .collect()
}

/// Returns stop signals for the claimed attempts of a job on workers whose lease this instance
/// holds.
fn stop_job(now: Millis, run: &RunId, jobs: &Jobs, workers: &Workers) -> Vec<Command> {
    let Some(job) = jobs.get(run) else {
        return Vec::new();
    };
    let mut tasks: Vec<(WorkerKey, TaskId)> = Vec::new();
    for (index, place) in job.assignments() {
        let Some(key) = workers.key(&place.worker) else {
            continue;
        };
        if workers.signal_token(now, key).is_none() {
            continue;
        }
        let attempt = job.tasks[index as usize].attempt;
        let run = run.clone();
        tasks.push((
            key,
            TaskId {
                run,
                index,
                attempt,
            },
        ));
    }
    tasks.sort_unstable();
    let rows = tasks.chunk_by(|a, b| a.0 == b.0);
    rows.map(|row| Command::Signal {
        worker: row[0].0,
        tasks: row.iter().map(|t| (t.1.clone(), Signal::Stop)).collect(),
    })
    .collect()
}
