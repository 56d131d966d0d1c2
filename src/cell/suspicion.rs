//! Evidence that a task crashes the workers that start it, and the verdict on it.
//!
//! A worker that crashes takes down all tasks that run on it, and most of them are innocent. Evidence
//! is strong where the worker crashed right after the start, and where the task shared it with no
//! other job.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

/// Time after the start of a run within which a crash of its worker points to this run, in
/// milliseconds: the way of the command and of the notice that the connection is gone, and some work.
pub const EARLY_MS: u64 = 100;

/// Crashes that convict a task that ran alone in one of them, if all followed its starts closely.
const EARLY_CRASHES: usize = 2;

/// Crashes that convict a task that ran alone in one of them.
const ALONE_CRASHES: usize = 3;

/// Crashes that convict a task whatever ran beside it.
const MAX_CRASHES: usize = 4;

fn is_false(value: &bool) -> bool {
    !*value
}

/// Crash of a worker under a run of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Number of the run.
    pub run: u32,
    /// Whether the worker crashed within [`EARLY_MS`] of the start.
    #[serde(default, skip_serializing_if = "is_false")]
    pub early: bool,
    /// Whether the worker ran no task of another job.
    #[serde(default, skip_serializing_if = "is_false")]
    pub alone: bool,
    /// Whether other workers went down with this one, so that the cause lies outside the tasks.
    #[serde(default, skip_serializing_if = "is_false")]
    pub joint: bool,
}

/// Run whose worker may have crashed under it, stored so that a later owner can tell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exposure {
    /// Id of the worker.
    pub worker: CompactString,
    /// Incarnation of the worker; a later one shows that it has crashed.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// What counts if it has.
    #[serde(flatten)]
    pub crash: Crash,
}

/// Whether the crashes under a task show that the task causes them.
#[must_use]
pub fn is_convicted(crashes: &[Crash]) -> bool {
    let alone = crashes.iter().any(|crash| crash.alone);
    let early = crashes.iter().all(|crash| crash.early);
    let needed = match (alone, early) {
        (true, true) => EARLY_CRASHES,
        (true, false) => ALONE_CRASHES,
        (false, _) => MAX_CRASHES,
    };
    crashes.len() >= needed
}

/// Whether a task must run on a worker without other jobs: the next crash then shows whether the task
/// causes them, and takes down nothing else.
#[must_use]
pub fn needs_trial(crashes: &[Crash]) -> bool {
    let single = crashes.iter().filter(|crash| !crash.joint);
    single.count() >= 2 || crashes.iter().any(|crash| crash.early)
}
