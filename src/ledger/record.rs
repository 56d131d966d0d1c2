//! The records that the system writes to the platform's log.
//!
//! One log entry holds a [`Batch`] as JSON, so that many records share one append.

use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
        Boot,
        ChangeId,
        IdempotencyKey,
        Incarnation,
        InstanceId,
        Millis,
        Offset,
        ProfileName,
        RequestId,
        RunId,
        Token,
        WorkerId,
        ZoneId, //
    },
    profile,
    resources::Resources,
    wire::{
        caller::Ran,
        worker, //
    }, //
};

/// The format that this version writes. A reader skips an entry with a higher one, with a finding.
pub const FORMAT: u32 = 1;

/// The content of one log entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// The format of the records.
    pub format: u32,
    /// Unique for each append, so that one whose answer was lost is found by reading back.
    pub id: ChangeId,
    /// Who appended it.
    pub by: Author,
    /// The records, in order. Unknown ones are skipped with a finding.
    pub records: Vec<serde_json::Value>,
}

/// One life of a writing process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Author {
    /// The instance.
    pub instance: InstanceId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// One fact. Whether it takes effect depends on the state at its place in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum Record {
    /// An operator's change of a profile. Takes effect when `base` is the current version.
    Profile(ProfileChange),
    /// An accepted job. A second one with the same id or key has no effect.
    Accepted(Accepted),
    /// An intent to start attempts. Takes effect when every task named is waiting for just that
    /// attempt and its job goes on; for a gang all its tasks must be named.
    Claim(Claim),
    /// Proof that attempts have ended. Takes effect for each attempt that is claimed.
    Ended(Ended),
    /// A caller's wish to end a job. Waiting tasks end at once.
    Cancel {
        /// The job.
        run: RunId,
    },
    /// An intent to send a non-idempotent request. The first one for a key takes effect.
    Key(Key),
    /// The answer that a key's request got.
    Answer(Answer),
    /// What became of work since the instance's last one, for the service-level report.
    Outcomes(OutcomeCounts),
    /// A part of the whole state, appended again before retention drops what led to it.
    Snapshot(SnapshotPart),
}

/// One part of the whole state before an offset. An author appends all parts in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotPart {
    /// The first offset that is not in the state.
    pub next: Offset,
    /// Which part, from zero.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// The part of the state's JSON text.
    pub text: String,
}

/// An operator's change of a profile.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProfileChange {
    /// Unique for each change.
    pub change: ChangeId,
    /// The profile.
    pub name: ProfileName,
    /// The version it is based on; zero for a new profile.
    pub base: u32,
    /// The profile as JSON, or null to withdraw it.
    pub body: serde_json::Value,
    /// The operator.
    pub operator: CompactString,
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// The job.
    pub run: RunId,
    /// Its profile.
    pub profile: ProfileName,
    /// The profile version it is treated under.
    pub version: u32,
    /// Its home.
    pub zone: ZoneId,
    /// How many tasks it has.
    pub tasks: u32,
    /// What each task takes.
    pub demand: Resources,
    /// How the profile version treats it.
    #[serde(default)]
    pub terms: Terms,
    /// Declared run time of a task, in milliseconds.
    pub estimate: u64,
    /// From acceptance to the end, in milliseconds.
    pub deadline: u64,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// What the tasks are told.
    pub payload: serde_json::Value,
}

/// What decides on a job, copied from its profile version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Terms {
    /// The form of work.
    pub kind: profile::Kind,
    /// 0 to 9; a higher value goes first.
    pub priority: u8,
    /// The longest promised wait from acceptance to the first start, in milliseconds.
    pub wait: u64,
    /// Attempts of a task that may fail before its job has failed.
    pub attempts: u32,
    /// How far from home tasks may be placed.
    pub spill: profile::Spill,
    /// How tasks are laid over racks.
    pub racks: profile::Racks,
}

impl Default for Terms {
    fn default() -> Self {
        Self {
            kind: profile::Kind::Run,
            priority: 0,
            wait: profile::Objective::default().wait,
            attempts: 5,
            spill: profile::Spill::Region,
            racks: profile::Racks::Any,
        }
    }
}

impl From<&profile::Profile> for Terms {
    fn from(profile: &profile::Profile) -> Self {
        Self {
            kind: profile.kind,
            priority: profile.priority,
            wait: profile.objective.wait,
            attempts: profile.attempts,
            spill: profile.spill,
            racks: profile.racks,
        }
    }
}

/// One attempt to start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// The task's index.
    pub index: u32,
    /// The attempt, one above the last.
    pub attempt: u32,
    /// Where.
    pub worker: WorkerId,
    /// The token under which alone it is started.
    #[serde(default)]
    pub token: Token,
    /// The worker's life in which alone it is started.
    #[serde(default)]
    pub boot: Boot,
}

/// An intent to start attempts of one job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// The job.
    pub run: RunId,
    /// The attempts.
    pub tasks: Vec<Placement>,
}

/// Why an attempt is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The worker says it ended well.
    Done,
    /// The worker says it failed.
    Failed,
    /// The worker says it was stopped or its lease lapsed.
    Stopped,
    /// It never started and now never can: the worker says so under a later token, or the claimant
    /// never sent it, or the worker answered its only sending with a refusal.
    Unstarted,
    /// The worker restarted, or the platform ended it.
    Lost,
}

/// One ended attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FinishedAttempt {
    /// Which.
    pub id: worker::TaskId,
    /// Why.
    pub end: Outcome,
    /// Work saved, in milliseconds of run time.
    pub checkpoint: u64,
    /// The worker's words.
    pub reason: CompactString,
}

/// Proof that attempts have ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ended {
    /// The attempts.
    pub tasks: Vec<FinishedAttempt>,
}

/// An intent to send a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The profile; keys of different profiles are different.
    pub profile: ProfileName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The request that holds it.
    pub request: RequestId,
}

/// The answer that a key's request got.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// The profile.
    pub profile: ProfileName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The request that got it.
    pub request: RequestId,
    /// HTTP status.
    pub status: u16,
    /// Whether it ran.
    pub ran: Ran,
    /// The body, if it was text and short.
    pub body: Option<String>,
}

/// What became of work under one profile version in one span of time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tally {
    /// The profile.
    pub profile: ProfileName,
    /// Its version.
    pub version: u32,
    /// Pieces of work that ended.
    pub total: u64,
    /// Those that were placed, ran once and finished in time.
    pub good: u64,
    /// The others, each under exactly one cause; sorted by cause.
    pub bad: Vec<(Cause, u64)>,
    /// The sum of waits to be placed, in milliseconds.
    pub waited: u64,
}

/// The one reason for which a piece of work does not count as good.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It was refused for want of room.
    Refused,
    /// It was never placed before its deadline.
    Unplaced,
    /// It started later than the objective's wait.
    Waited,
    /// It ended after its deadline.
    Late,
    /// It ran and failed.
    Failed,
    /// It ran more than once.
    Repeated,
    /// It may have run.
    Unknown,
    /// A caller cancelled it.
    Cancelled,
}

/// What became of work since the instance's last record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutcomeCounts {
    /// Rises by one with each record of this life; a repeat is skipped.
    pub seq: u64,
    /// The end of the span, on the instance's wall clock since 1970.
    pub at: Millis,
    /// The tallies, sorted by profile and version.
    pub rows: Vec<Tally>,
}
