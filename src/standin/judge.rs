//! Judge: detects violations of the scheduler's guarantees from its own record of executions, which
//! shares no state with the scheduler.

use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
        Millis,
        RunId,
        WorkerId, //
    },
    standin::traffic,
    wire::worker::TaskId, //
};

/// Number of violations that are kept in detail; further ones are only counted.
const MAX_DETAILED: usize = 1_000;

/// Kind of a violation.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A worker was sent more than its free capacity.
    OverCommit,
    /// Two attempts of one task executed at the same time.
    DoubleExecution,
    /// One attempt was executed a second time.
    RepeatedAttempt,
    /// A non-idempotent request, or another with its idempotency key, was executed a second time.
    RepeatedRequest,
    /// Work was executed although its caller was told that it did not run.
    RanThoughRefused,
    /// Work was sent to a worker long after the list showed it as leaving.
    SentToLeaving,
}

/// Violation of one of the scheduler's guarantees.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Kind of the violation.
    pub kind: Kind,
    /// Time of the violation, in milliseconds since the start of the stand-in.
    pub at: Millis,
    /// Worker on which it happened.
    pub worker: WorkerId,
    /// Description of the violation.
    pub detail: String,
}

/// Counts of what the judge has seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counters {
    /// Entries appended to the log.
    pub appends: u64,
    /// Appends refused by the rate limit.
    pub limited: u64,
    /// Reads of the log.
    pub reads: u64,
    /// Reads of the list.
    pub lists: u64,
    /// Leases granted or renewed.
    pub granted: u64,
    /// Lease messages refused for another holder or a stale token.
    pub denied: u64,
    /// Task attempts that started to execute.
    pub starts: u64,
    /// Repeated starts of an attempt that the worker still lists.
    pub repeats: u64,
    /// Starts of an attempt that the worker had been told to forget; these did not run.
    pub forgotten: u64,
    /// Starts, signals and requests refused for a stale token.
    pub fenced: u64,
    /// Starts and requests refused by a leaving worker.
    pub leaving: u64,
    /// Starts and requests refused for lack of capacity.
    pub full: u64,
    /// Requests that started to execute.
    pub requests: u64,
    /// Non-idempotent requests that started to execute.
    pub nonidempotent: u64,
    /// Requests that executed to their end.
    pub finished: u64,
    /// Complete answers sent.
    pub whole: u64,
    /// Answers truncated by a fault.
    pub cut: u64,
    /// Answers withheld by a fault after the work was done.
    pub lost: u64,
    /// Violations, including those that are not kept in detail.
    pub violations: u64,
}

/// Findings of the judge.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Violations in order of time; only the first thousand are kept.
    pub violations: Vec<Violation>,
    /// Counts of what the judge has seen.
    pub counters: Counters,
    /// Traffic by route and zones, sorted.
    pub traffic: Vec<traffic::Row>,
}

/// Execution of a task attempt that may still be in progress.
#[derive(Debug, Clone)]
struct Execution {
    run: RunId,
    index: u32,
    /// Index of the worker.
    worker: usize,
    id: TaskId,
}

/// Record of executions and violations.
#[derive(Debug, Default)]
pub struct Judge {
    /// Counts of what the judge has seen.
    pub counters: Counters,
    /// Traffic by route and zones.
    pub traffic: traffic::Traffic,
    violations: Vec<Violation>,
    /// Every attempt that has ever executed, sorted.
    attempts: Vec<TaskId>,
    /// Executions that may still be in progress, sorted by run and index.
    active: Vec<Execution>,
    /// Ids of the non-idempotent requests that have executed, sorted.
    requests: Vec<CompactString>,
    /// Profiles and idempotency keys of the non-idempotent requests that have executed, sorted.
    keys: Vec<(CompactString, CompactString)>,
    /// Names of executed work with the worker; sorted only before a lookup.
    works: Vec<(CompactString, WorkerId)>,
}

impl Judge {
    /// Records a violation.
    pub fn record(&mut self, kind: Kind, at: Millis, worker: &WorkerId, detail: String) {
        log::error!(kind:? = kind, worker:% = worker, detail = detail.as_str(); "guarantee violated");
        self.counters.violations += 1;
        if self.violations.len() >= MAX_DETAILED {
            return;
        }
        self.violations.push(Violation {
            kind,
            at,
            worker: worker.clone(),
            detail,
        });
    }

    /// Returns the findings so far.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        Verdict {
            violations: self.violations.clone(),
            counters: self.counters,
            traffic: self.traffic.rows(),
        }
    }

    /// Records the start of an execution. Returns whether the attempt had never executed before.
    pub fn begin_execution(&mut self, id: &TaskId, worker: usize) -> bool {
        let run = (&id.run, id.index);
        let at = self.active.partition_point(|e| (&e.run, e.index) <= run);
        self.active.insert(
            at,
            Execution {
                run: id.run.clone(),
                index: id.index,
                worker,
                id: id.clone(),
            },
        );
        insert(&mut self.attempts, id.clone())
    }

    /// Returns the executions of a task that may still be in progress: worker's index and attempt.
    #[must_use]
    pub fn executions(&self, id: &TaskId) -> Vec<(usize, TaskId)> {
        let run = (&id.run, id.index);
        let first = self.active.partition_point(|e| (&e.run, e.index) < run);
        let same = self.active[first..].iter();
        same.take_while(|e| (&e.run, e.index) == run)
            .map(|e| (e.worker, e.id.clone()))
            .collect()
    }

    /// Records the end of an execution.
    pub fn end_execution(&mut self, id: &TaskId, worker: usize) {
        let run = (&id.run, id.index);
        let first = self.active.partition_point(|e| (&e.run, e.index) < run);
        let found = self.active[first..]
            .iter()
            .take_while(|e| (&e.run, e.index) == run)
            .position(|e| e.worker == worker && e.id == *id);
        if let Some(at) = found {
            self.active.remove(first + at);
        }
    }

    /// Records the execution of a non-idempotent request. Returns whether its id and key are new.
    pub fn record_nonidempotent(
        &mut self,
        request: &str,
        profile: &str,
        key: Option<&str>,
    ) -> bool {
        let id = request.is_empty() || insert(&mut self.requests, request.into());
        let Some(key) = key else {
            return id;
        };
        insert(&mut self.keys, (profile.into(), key.into())) && id
    }

    /// Records the execution of named work.
    pub fn record_work(&mut self, work: &str, worker: &WorkerId) {
        self.works.push((work.into(), worker.clone()));
    }

    /// Records a violation for each piece of `refused` work that has executed. Returns the number.
    pub fn check_refused(&mut self, now: Millis, refused: &[CompactString]) -> usize {
        self.works.sort();
        let mut found = Vec::new();
        for work in refused {
            if let Ok(at) = self.works.binary_search_by(|w| w.0.cmp(work)) {
                found.push(self.works[at].clone());
            }
        }
        for (work, worker) in &found {
            let detail = format!("{work} was refused as not run");
            self.record(Kind::RanThoughRefused, now, worker, detail);
        }
        found.len()
    }

    /// Clears violations, counters and traffic; the record of executions is kept.
    pub fn clear(&mut self) {
        self.counters = Counters::default();
        self.traffic = traffic::Traffic::default();
        self.violations.clear();
    }
}

/// Inserts a value into a sorted vector. Returns whether it was absent.
fn insert<T: Ord>(sorted: &mut Vec<T>, value: T) -> bool {
    let Err(at) = sorted.binary_search(&value) else {
        return false;
    };
    sorted.insert(at, value);
    true
}
