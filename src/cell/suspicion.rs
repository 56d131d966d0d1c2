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

/// Time after the start of a run within which few workers crash for causes of their own, in
/// milliseconds: a crash that gives no notice is seen by a time-out.
pub const SOON_MS: u64 = 2_000;

/// Fewest crashes under confirmed runs of a task that is given up early.
const SURE_CRASHES: usize = 2;

/// Crashes that convict a task that ran alone in one of them, if all were early.
const EARLY_CRASHES: usize = 2;

/// Crashes that convict a task that ran alone in one of them, if all came soon and after a similar
/// time.
const SOON_CRASHES: usize = 3;

/// Crashes that convict a task whatever ran beside it, if all came soon and after a similar time: a gang
/// may be too wide to run alone.
const SHARED_CRASHES: usize = 4;

/// Greatest difference between similar times, in milliseconds: a crash without a notice is seen by the
/// time-out of a poll, which a worker may hold for a second.
const SPREAD_MS: u64 = 1_000;

/// Crashes that convict a task that ran alone in one of them, if all came soon, and whatever crashed
/// beside its workers.
const ANY_CRASHES: usize = 5;

/// Crashes that convict a task whatever ran beside it: no start is free for ever.
const MAX_CRASHES: usize = 8;

/// Crashes that convict a task that ran alone in [`LATE_ALONE`] of them.
const LATE_CRASHES: usize = 5;

/// See [`LATE_CRASHES`].
const LATE_ALONE: usize = 2;

fn is_false(value: &bool) -> bool {
    !*value
}

/// Crash of a worker under a run of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Number of the run.
    pub run: u32,
    /// Time from the start of the run to the crash, in milliseconds, if known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age: Option<u64>,
    /// Whether the worker ran no task of another job.
    #[serde(default, skip_serializing_if = "is_false")]
    pub alone: bool,
    /// Whether other workers went down with this one, so that the cause lies outside the tasks.
    #[serde(default, skip_serializing_if = "is_false")]
    pub joint: bool,
    /// Whether many other workers crashed within the seconds before, so that the crash says little about
    /// the task.
    #[serde(default, skip_serializing_if = "is_false")]
    pub wave: bool,
    /// Whether the worker had not confirmed the run, and may have been down before it.
    #[serde(default, skip_serializing_if = "is_false")]
    pub unsure: bool,
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

impl Crash {
    /// Whether the crash points to the run: it followed the start closely, and other workers did not
    /// crash with this one.
    #[must_use]
    pub fn is_early(&self) -> bool {
        self.age.is_some_and(|age| age <= EARLY_MS) && !self.joint
    }

    /// Whether the crash came so soon after the start that another cause is unlikely.
    #[must_use]
    pub fn is_soon(&self) -> bool {
        self.age.is_none_or(|age| age <= SOON_MS)
    }
}

/// Crashes that may have been caused by the task.
fn single(crashes: &[Crash]) -> impl Iterator<Item = &Crash> {
    crashes.iter().filter(|crash| !crash.joint)
}

/// Difference between the longest and the shortest time from a start to the crash, in milliseconds.
fn spread(crashes: &[Crash]) -> u64 {
    let ages = || single(crashes).filter_map(|crash| crash.age);
    ages().max().unwrap_or(0) - ages().min().unwrap_or(0)
}

/// Whether the crashes under a task show that the task causes them.
#[must_use]
pub fn is_convicted(crashes: &[Crash]) -> bool {
    let count = single(crashes).count();
    let alone = single(crashes).filter(|crash| crash.alone).count();
    let sure = single(crashes).filter(|crash| !crash.unsure).count() >= SURE_CRASHES;
    let early = single(crashes).all(Crash::is_early);
    let soon = crashes.iter().all(Crash::is_soon);
    let similar = single(crashes).all(Crash::is_soon) && spread(crashes) <= SPREAD_MS;
    sure && alone >= 1 && (early && count >= EARLY_CRASHES || similar && count >= SOON_CRASHES)
        || sure && similar && count >= SHARED_CRASHES
        || soon && crashes.len() >= ANY_CRASHES && crashes.iter().any(|crash| crash.alone)
        || alone >= LATE_ALONE && count >= LATE_CRASHES
        || crashes.len() >= MAX_CRASHES
}

/// Whether a task must run on a worker without other jobs: the next crash then shows whether the task
/// causes them, and takes down nothing else.
#[must_use]
pub fn needs_trial(crashes: &[Crash]) -> bool {
    let count = single(crashes).count();
    let soon = crashes.iter().all(Crash::is_soon);
    single(crashes).any(Crash::is_early)
        || soon && count >= SOON_CRASHES - 1
        || crashes.len() >= LATE_CRASHES - LATE_ALONE
}

/// Whether a wave explains the crashes under a task: without those of waves, the task would not need a trial.
/// A task whose last crash came outside of a wave is not explained, however many others were in one.
#[must_use]
pub fn is_explained(crashes: &[Crash]) -> bool {
    let others: Vec<Crash> = crashes
        .iter()
        .filter(|crash| !crash.wave)
        .copied()
        .collect();
    crashes.last().is_some_and(|crash| crash.wave) && !needs_trial(&others)
}
