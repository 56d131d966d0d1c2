//! The judge: an account of broken promises that shares no books with the scheduler.

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

/// The most violations that are kept in detail; more are only counted.
const MAX_DETAILED: usize = 1_000;

/// A broken promise.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A worker was sent more than it has room for.
    OverCommit,
    /// Two attempts of one task executed at the same time.
    DoubleExecution,
    /// One attempt was executed a second time.
    RepeatedAttempt,
    /// A non-idempotent request, or its key, was executed a second time.
    RepeatedRequest,
    /// Work that its caller was told did not run was executed.
    RanThoughRefused,
    /// Work was sent to a worker long after it was shown as leaving.
    SentToLeaving,
}

/// A broken promise with its particulars.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Which promise.
    pub kind: Kind,
    /// When, in milliseconds since the stand-in's start.
    pub at: Millis,
    /// The worker.
    pub worker: WorkerId,
    /// What happened.
    pub detail: String,
}

/// What was seen, in numbers.
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
    /// Leases granted, taken or renewed.
    pub granted: u64,
    /// Lease messages that found another holder or a stale token.
    pub denied: u64,
    /// Task attempts that began to execute.
    pub starts: u64,
    /// Starts repeated for an attempt that the worker still knew.
    pub repeats: u64,
    /// Starts of an attempt that the worker had been told to forget; they did not run.
    pub forgotten: u64,
    /// Starts, signals and requests refused for a stale token.
    pub fenced: u64,
    /// Starts and requests refused by a leaving worker.
    pub leaving: u64,
    /// Starts and requests refused for want of room.
    pub full: u64,
    /// Requests that began to execute.
    pub requests: u64,
    /// Of these, the non-idempotent ones.
    pub nonidempotent: u64,
    /// Requests that executed to their end.
    pub finished: u64,
    /// Answers that were sent whole.
    pub whole: u64,
    /// Answers that were cut short by a fault.
    pub cut: u64,
    /// Answers that a fault withheld after the work was done.
    pub lost: u64,
    /// Violations, also those that are not kept in detail.
    pub violations: u64,
}

/// The judge's findings.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// The violations, in order of time; the first thousand are kept.
    pub violations: Vec<Violation>,
    /// What was seen.
    pub counters: Counters,
    /// Bytes by route and zones, sorted.
    pub traffic: Vec<traffic::Row>,
}

/// One execution of a task that may go on.
#[derive(Debug, Clone)]
struct Execution {
    run: RunId,
    index: u32,
    /// The worker's index.
    worker: usize,
    id: TaskId,
}

/// The judge's state.
#[derive(Debug, Default)]
pub struct Judge {
    /// What was seen.
    pub counters: Counters,
    /// Bytes moved.
    pub traffic: traffic::Traffic,
    violations: Vec<Violation>,
    /// Every attempt that ever executed, sorted.
    attempts: Vec<TaskId>,
    /// Executions that may go on, sorted by run and index.
    active: Vec<Execution>,
    /// Ids of non-idempotent requests that executed, sorted.
    requests: Vec<CompactString>,
    /// Profiles and keys of non-idempotent requests that executed, sorted.
    keys: Vec<(CompactString, CompactString)>,
    /// Names of work that executed and on which worker; sorted only when they are looked up.
    works: Vec<(CompactString, WorkerId)>,
}

impl Judge {
    /// Records a violation.
    pub fn record(&mut self, kind: Kind, at: Millis, worker: &WorkerId, detail: String) {
        log::error!(kind:? = kind, worker:% = worker, detail = detail.as_str(); "violation");
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

    /// The findings so far.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        Verdict {
            violations: self.violations.clone(),
            counters: self.counters,
            traffic: self.traffic.rows(),
        }
    }

    /// Notes an execution that begins. Returns whether the attempt had never executed before.
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

    /// The executions of a task that may go on: the worker's index and the attempt.
    #[must_use]
    pub fn executions(&self, id: &TaskId) -> Vec<(usize, TaskId)> {
        let run = (&id.run, id.index);
        let first = self.active.partition_point(|e| (&e.run, e.index) < run);
        let same = self.active[first..].iter();
        same.take_while(|e| (&e.run, e.index) == run)
            .map(|e| (e.worker, e.id.clone()))
            .collect()
    }

    /// Notes that an execution has ended.
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

    /// Notes a non-idempotent request that executes. Returns whether its id and key are new.
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

    /// Notes the name of work that executes.
    pub fn record_work(&mut self, work: &str, worker: &WorkerId) {
        self.works.push((work.into(), worker.clone()));
    }

    /// Accuses whoever refused work that executed. Returns how much there was.
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

    /// Drops the violations and counters; what has executed is still remembered.
    pub fn clear(&mut self) {
        self.counters = Counters::default();
        self.traffic = traffic::Traffic::default();
        self.violations.clear();
    }
}

/// Puts a value into a sorted vector. Returns whether it was not there.
fn insert<T: Ord>(sorted: &mut Vec<T>, value: T) -> bool {
    let Err(at) = sorted.binary_search(&value) else {
        return false;
    };
    sorted.insert(at, value);
    true
}
