//! The jobs in the log: which attempts are claimed, which have ended, and the state of each job.
//!
//! Readers that apply the same records in the same order hold equal values.

use std::collections::VecDeque;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
        Boot,
        IdempotencyKey,
        Millis,
        ProfileName,
        RunId,
        WorkerId, //
    },
    ledger::{
        effect::Effect,
        record, //
    },
    wire::{
        caller,
        worker::TaskId, //
    }, //
};

pub mod claims;
pub mod job;

/// Retention of an ended job, in milliseconds of log time.
pub const RETENTION_MS: u64 = 3_600_000;

/// All jobs that are active or within [`RETENTION_MS`] after their end.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "Stored")]
pub struct Jobs {
    entries: Vec<Entry>,
    ended: VecDeque<(Millis, RunId)>,
    clock: Millis,
    #[serde(skip)]
    keys: Vec<(ProfileName, IdempotencyKey, RunId)>,
    #[serde(skip)]
    claims: claims::Claims,
}

/// One job under its id. The job is boxed, so that an insertion moves few bytes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Entry {
    run: RunId,
    job: Box<job::Job>,
}

/// Serialised form in a snapshot; the indexes are rebuilt from it.
#[derive(Deserialize)]
struct Stored {
    entries: Vec<Entry>,
    ended: VecDeque<(Millis, RunId)>,
    #[serde(default)]
    clock: Millis,
}

impl From<Stored> for Jobs {
    fn from(stored: Stored) -> Self {
        let mut jobs = Self {
            entries: stored.entries,
            ended: stored.ended,
            clock: stored.clock,
            ..Self::default()
        };
        for entry in &mut jobs.entries {
            entry.job.rebuild_waiting();
            for (index, assignment) in entry.job.assignments() {
                let worker = &assignment.worker;
                jobs.claims.add(worker, assignment.boot, &entry.run, index);
            }
            if let Some(key) = &entry.job.spec.key {
                let profile = entry.job.spec.profile.clone();
                jobs.keys.push((profile, key.clone(), entry.run.clone()));
            }
        }
        jobs.keys.sort_unstable();
        jobs
    }
}

impl Jobs {
    /// Applies one record that the log appended at `at`, on the platform's clock. Records of other
    /// kinds have no effect.
    pub fn apply(
        &mut self,
        at: Millis,
        author: &record::Author,
        record: &record::Record,
    ) -> Vec<Effect> {
        self.clock = self.clock.max(at);
        self.prune(at);
        match record {
            record::Record::Accepted(accepted) => vec![self.accept(at, accepted)],
            record::Record::Claim(claim) => vec![self.claim(at, author, claim)],
            record::Record::Ended(ended) => {
                let finishes = ended.tasks.iter();
                finishes.flat_map(|finish| self.end(at, finish)).collect()
            }
            record::Record::Cancel { run } => self.cancel(at, run),
            _ => Vec::new(),
        }
    }

    /// The time of the latest record, on the platform's clock.
    #[must_use]
    pub fn clock(&self) -> Millis {
        self.clock
    }

    /// The job with an id.
    #[must_use]
    pub fn get(&self, run: &RunId) -> Option<&job::Job> {
        let at = self.entries.binary_search_by(|e| e.run.cmp(run)).ok()?;
        self.entries.get(at).map(|e| e.job.as_ref())
    }

    /// All jobs, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = (&RunId, &job::Job)> {
        self.entries.iter().map(|e| (&e.run, e.job.as_ref()))
    }

    /// The claimed attempts on a worker, as job id and task index.
    #[must_use]
    pub fn claimed_on(&self, worker: &WorkerId) -> &[(RunId, u32)] {
        self.claims.for_worker(worker)
    }

    /// A lower bound on the incarnations of a worker for which attempts are claimed; `None` if no
    /// attempt is claimed on the worker.
    #[must_use]
    pub fn oldest_incarnation(&self, worker: &WorkerId) -> Option<Boot> {
        self.claims.oldest_incarnation(worker)
    }

    /// The workers on which attempts are claimed, sorted.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.claims.workers()
    }

    /// The assignment of an attempt, if the attempt is claimed.
    #[must_use]
    pub fn assignment(&self, id: &TaskId) -> Option<&job::Assignment> {
        self.get(&id.run)?.assignment(id.index, id.attempt)
    }

    /// The job that was accepted under an idempotency key of a profile.
    #[must_use]
    pub fn by_key(&self, profile: &ProfileName, key: &IdempotencyKey) -> Option<&RunId> {
        let at = self.key_position(profile, key).ok()?;
        self.keys.get(at).map(|k| &k.2)
    }

    /// The status of a job for its caller.
    #[must_use]
    pub fn status(&self, run: &RunId) -> Option<caller::Status> {
        self.get(run).map(|job| job.status(run))
    }

    fn accept(&mut self, at: Millis, spec: &record::Accepted) -> Effect {
        let proposed = spec.run.clone();
        let known = spec
            .key
            .as_ref()
            .and_then(|key| self.by_key(&spec.profile, key));
        if let Some(run) = known {
            let run = run.clone();
            return Effect::Accepted { run, proposed };
        }
        if let Err(position) = self.entries.binary_search_by(|e| e.run.cmp(&proposed)) {
            let job = Box::new(job::Job::new(at, spec.clone()));
            let run = proposed.clone();
            self.entries.insert(position, Entry { run, job });
            self.add_key(spec);
        }
        let run = proposed.clone();
        Effect::Accepted { run, proposed }
    }

    fn claim(&mut self, at: Millis, author: &record::Author, claim: &record::Claim) -> Effect {
        let job = self.get_mut(&claim.run);
        let won = job.is_some_and(|job| job.claim(at, &claim.tasks));
        if won {
            for task in &claim.tasks {
                let worker = &task.worker;
                self.claims.add(worker, task.boot, &claim.run, task.index);
            }
        }
        Effect::Claim {
            by: author.clone(),
            claim: claim.clone(),
            won,
        }
    }

    fn end(&mut self, at: Millis, finish: &record::FinishedAttempt) -> Vec<Effect> {
        let run = &finish.id.run;
        let Some(job) = self.get_mut(run) else {
            return Vec::new();
        };
        let Some(ended) = job.end(finish) else {
            return Vec::new();
        };
        let closed = job.close();
        self.claims.remove(&ended.worker, run, finish.id.index);
        if closed {
            self.ended.push_back((at, run.clone()));
        }
        let mut effects = vec![Effect::Ended {
            finish: finish.clone(),
            worker: ended.worker,
        }];
        let run = run.clone();
        effects.extend(ended.stopped.map(|state| Effect::Stopped { run, state }));
        effects
    }

    fn cancel(&mut self, at: Millis, run: &RunId) -> Vec<Effect> {
        let Some(job) = self.get_mut(run) else {
            return Vec::new();
        };
        if !job.cancel() {
            return Vec::new();
        }
        if job.close() {
            self.ended.push_back((at, run.clone()));
        }
        vec![Effect::Stopped {
            run: run.clone(),
            state: caller::JobState::Cancelled,
        }]
    }

    /// Removes jobs that ended more than [`RETENTION_MS`] ago.
    fn prune(&mut self, at: Millis) {
        while let Some((ended, _)) = self.ended.front()
            && at.since(*ended) > RETENTION_MS
        {
            let Some((_, run)) = self.ended.pop_front() else {
                return;
            };
            self.remove(&run);
        }
    }

    fn remove(&mut self, run: &RunId) {
        let Ok(at) = self.entries.binary_search_by(|e| e.run.cmp(run)) else {
            return;
        };
        let entry = self.entries.remove(at);
        let spec = &entry.job.spec;
        let Some(key) = &spec.key else {
            return;
        };
        if let Ok(at) = self.key_position(&spec.profile, key) {
            self.keys.remove(at);
        }
    }

    fn add_key(&mut self, spec: &record::Accepted) {
        let Some(key) = &spec.key else {
            return;
        };
        if let Err(at) = self.key_position(&spec.profile, key) {
            let row = (spec.profile.clone(), key.clone(), spec.run.clone());
            self.keys.insert(at, row);
        }
    }

    fn key_position(&self, profile: &ProfileName, key: &IdempotencyKey) -> Result<usize, usize> {
        self.keys
            .binary_search_by(|k| (&k.0, &k.1).cmp(&(profile, key)))
    }

    fn get_mut(&mut self, run: &RunId) -> Option<&mut job::Job> {
        let at = self.entries.binary_search_by(|e| e.run.cmp(run)).ok()?;
        self.entries.get_mut(at).map(|e| e.job.as_mut())
    }
}
