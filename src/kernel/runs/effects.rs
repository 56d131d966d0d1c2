//! What follows from the effects of records, and from the answers to starts.

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
            ends,
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
        StartAnswer,
        Started,
        TaskId, //
    }, //
};

/// How long the log's word on a claim is awaited before its room is given back, in milliseconds.
const PROPOSAL: u64 = 5_000;

/// The most doublings of the backoff between attempts.
const DOUBLINGS: u32 = 10;

impl Runs {
    /// Takes in the effect of a record. `jobs` has the record applied already.
    pub fn applied(
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
                    self.count(claim, jobs);
                }
                match (self.author(by), *won) {
                    (true, true) => self.won(now, claim, jobs, workers),
                    (true, false) => {
                        self.dropped(claim, workers);
                        Vec::new()
                    }
                    _ => Vec::new(),
                }
            }
            Effect::Ended { finish, worker } => {
                self.ended(now, (finish, worker), jobs, workers, profiles)
            }
            Effect::Stopped { run, .. } => stop(now, run, jobs, workers),
            _ => Vec::new(),
        }
    }

    /// Takes in the answer to a start, or `None` when it got none in time.
    pub fn started(
        &mut self,
        now: Millis,
        worker: WorkerKey,
        tasks: &[TaskId],
        answer: Option<&StartAnswer>,
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
        self.unsent(now, &refused, workers)
    }

    /// Notes that starts were not sent and never will be, or that the worker refused them.
    pub fn unsent(&mut self, now: Millis, tasks: &[TaskId], workers: &mut Workers) -> Vec<Command> {
        let mut finishes = Vec::new();
        for id in tasks {
            // A report may have settled it in the meantime; then its word stands.
            let Some(entry) = self.pending.remove(id) else {
                continue;
            };
            workers.unplan(entry.worker, id);
            self.ends.propose(now, id);
            finishes.push(ends::unstarted(
                id.clone(),
                "the start was not sent or refused",
            ));
        }
        reports::end(finishes)
    }

    /// Gives back the room of a claim that lost, or that surely never reached the log.
    pub fn dropped(&mut self, claim: &record::Claim, workers: &mut Workers) {
        for placement in &claim.tasks {
            let entry = self.pending.get(workers, &claim.run, placement);
            let Some(entry) = entry.filter(|e| proposed(e)).cloned() else {
                continue;
            };
            self.pending.remove(&entry.id);
            workers.unplan(entry.worker, &entry.id);
        }
    }

    /// Drops what is out of date. To be called now and then.
    pub fn tick(&mut self, now: Millis, workers: &mut Workers) {
        self.ends.tick(now);
        self.rests.tick(now);
        self.hold.tick(now);
        self.withdraw(now, workers);
        let (limit, floor) = (self.cfg.eject, self.cfg.floor);
        self.health.tick(now, workers, limit, floor);
    }

    /// Gives back the room of claims that the log has not answered for long. One that wins after all
    /// is not started.
    fn withdraw(&mut self, now: Millis, workers: &mut Workers) {
        let late = self.pending.iter().filter(|e| match e.stage {
            Stage::Proposed { since } => now.since(since) >= PROPOSAL,
            _ => false,
        });
        let late: Vec<_> = late.cloned().collect();
        for entry in late {
            self.pending.remove(&entry.id);
            workers.unplan(entry.worker, &entry.id);
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

    fn count(&mut self, claim: &record::Claim, jobs: &Jobs) {
        if let Some(job) = jobs.get(&claim.run) {
            let tasks = u32::try_from(claim.tasks.len()).unwrap_or(u32::MAX);
            self.quota.take(&job.spec.profile, &job.spec.demand, tasks);
        }
    }

    /// Starts an own claim that was won, or says of each attempt that it was not started.
    fn won(
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
        let mut voids = Vec::new();
        for placement in &claim.tasks {
            let id = Pending::id(&claim.run, placement);
            match self.pending.get(workers, &claim.run, placement) {
                Some(e) if !proposed(e) => {}
                Some(e) if workers.may_start(now, e.worker, e.token) => {
                    let launch = launch(job, id, self.task_ttl);
                    starts.push((e.worker, e.token, launch));
                }
                _ => voids.push(id),
            }
        }
        if !voids.is_empty() && job.spec.terms.kind == crate::profile::Kind::Gang {
            voids.extend(starts.drain(..).map(|s| s.2.id));
        }
        for (_, _, launch) in &starts {
            self.pending.set(&launch.id, Stage::Sending { since: now });
        }
        let mut commands = self.void(now, voids, workers);
        commands.extend(group(starts));
        commands
    }

    /// Ends attempts of won claims that this instance never started.
    fn void(&mut self, now: Millis, ids: Vec<TaskId>, workers: &mut Workers) -> Vec<Command> {
        let mut finishes = Vec::new();
        for id in ids {
            if let Some(entry) = self.pending.remove(&id) {
                workers.unplan(entry.worker, &id);
            }
            self.ends.propose(now, &id);
            finishes.push(ends::unstarted(id, "the lease was lost before the start"));
        }
        reports::end(finishes)
    }

    fn ended(
        &mut self,
        now: Millis,
        (finish, worker): (&record::FinishedAttempt, &WorkerId),
        jobs: &Jobs,
        workers: &mut Workers,
        profiles: &impl Profiles,
    ) -> Vec<Command> {
        let id = &finish.id;
        self.ends.settle(id);
        if let Some(entry) = self.pending.remove(id) {
            // Another instance's claim of the same attempt may have won and ended.
            workers.unplan(entry.worker, id);
        }
        if let Some(job) = jobs.get(&id.run) {
            self.quota.give(&job.spec.profile, &job.spec.demand, 1);
            if finish.end == record::Outcome::Failed {
                let until = now.plus(self.backoff(job, id));
                self.rests.add(&id.run, id.index, until);
            }
        }
        self.enqueue(now, &id.run, jobs, profiles);
        let Some(key) = workers.key(worker) else {
            return Vec::new();
        };
        workers.ended(key, id);
        let failed = finish.end == record::Outcome::Failed;
        if failed || finish.end == record::Outcome::Done {
            self.health.ended(workers, key, &id.run, failed);
        }
        let told = matches!(
            finish.end,
            record::Outcome::Done | record::Outcome::Failed | record::Outcome::Stopped
        );
        if !told || workers.may_signal(now, key).is_none() {
            return Vec::new();
        }
        vec![Command::Forget {
            worker: key,
            tasks: vec![id.clone()],
        }]
    }

    /// The rest before a task's next attempt, in milliseconds, with jitter.
    fn backoff(&self, job: &Job, id: &TaskId) -> u64 {
        let failures = job.tasks.get(id.index as usize).map_or(1, |t| t.failures);
        let base = u64::try_from(self.cfg.backoff.as_millis()).unwrap_or(u64::MAX);
        let doublings = failures.saturating_sub(1).min(DOUBLINGS);
        let span = base.saturating_mul(1 << doublings);
        let seed = u64::from(id.index) << 32 | u64::from(id.attempt);
        let random = xxhash_rust::xxh3::xxh3_64_with_seed(id.run.as_str().as_bytes(), seed);
        span / 2 + random % (span / 2 + 1)
    }
}

fn proposed(entry: &Entry) -> bool {
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

/// One start a worker.
fn group(mut starts: Vec<(WorkerKey, Token, Launch)>) -> Vec<Command> {
    starts.sort_by_key(|s| (s.0, s.1));
    let rows = starts.chunk_by(|a, b| (a.0, a.1) == (b.0, b.1));
    rows.map(|row| Command::Start {
        worker: row[0].0,
        token: row[0].1,
        launches: row.iter().map(|s| s.2.clone()).collect(),
    })
    .collect()
}

/// Stops for the claimed attempts of a job on the workers that this instance holds.
fn stop(now: Millis, run: &RunId, jobs: &Jobs, workers: &Workers) -> Vec<Command> {
    let Some(job) = jobs.get(run) else {
        return Vec::new();
    };
    let mut tasks: Vec<(WorkerKey, TaskId)> = Vec::new();
    for (index, place) in job.assignments() {
        let Some(key) = workers.key(&place.worker) else {
            continue;
        };
        if workers.may_signal(now, key).is_none() {
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
