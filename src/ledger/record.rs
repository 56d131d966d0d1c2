//! Records that the system writes to the platform's log.
//!
//! One log entry holds a [`Batch`] as JSON, so that several records share one append.

use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
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
        WorkerIncarnation,
        ZoneId, //
    },
    profile,
    resources::Resources,
    wire::{
        caller::Ran,
        worker, //
    }, //
};

/// The record format that this release writes. A reader skips entries of a higher format, with a
/// finding.
pub const FORMAT: u32 = 1;

/// The reason of an attempt that ended with a crash of its worker: a new incarnation without notice.
pub const CRASHED: &str = "the worker crashed while the task was assigned to it";

/// The content of one log entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    /// The format of the records.
    pub format: u32,
    /// Unique id of the batch, so that an append whose response was lost is found by reading back.
    pub id: ChangeId,
    /// Author of the batch.
    pub by: Author,
    /// The records, in order. Unknown records are skipped with a finding.
    pub records: Vec<serde_json::Value>,
}

/// One incarnation of a process that writes to the log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Author {
    /// Id of the instance.
    pub instance: InstanceId,
    /// Incarnation of the instance.
    pub incarnation: Incarnation,
}

/// One record. Whether a record takes effect depends on the state at its offset in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case", deny_unknown_fields)]
pub enum Record {
    /// A change of a profile by an operator. Takes effect if `base` is the current version.
    Profile(ProfileChange),
    /// An accepted job. A second record with the same id or key has no effect.
    Accepted(Accepted),
    /// An intent to start attempts. Takes effect if the job is active and every named task is
    /// waiting for exactly that attempt; for a gang, all its tasks must be named.
    Claim(Claim),
    /// Proof that attempts have ended. Takes effect for each attempt that is claimed.
    Ended(Ended),
    /// A cancellation of a job by its caller. Waiting tasks end at once.
    Cancel {
        /// Id of the job.
        run: RunId,
    },
    /// An intent to send a non-idempotent request. The first record for a key takes effect.
    Key(Key),
    /// The response to the request that holds a key.
    Answer(Answer),
    /// Outcomes of work since the instance's previous record, for the service-level report.
    Outcomes(OutcomeCounts),
    /// A part of a snapshot of the state, appended before retention drops the entries that it
    /// covers.
    Snapshot(SnapshotPart),
}

/// One part of a snapshot of the state before an offset. An author appends all parts in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SnapshotPart {
    /// The first offset that is not included in the state.
    pub next: Offset,
    /// Index of the part, from 0.
    pub part: u32,
    /// Number of parts of the snapshot.
    pub parts: u32,
    /// This part of the state's JSON text.
    pub text: String,
}

/// A change of a profile by an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProfileChange {
    /// Unique id of the change.
    pub change: ChangeId,
    /// Name of the profile.
    pub name: ProfileName,
    /// The version on which the change is based; 0 for a new profile.
    pub base: u32,
    /// The profile as JSON, or null to withdraw it.
    pub body: serde_json::Value,
    /// The operator who made the change.
    pub operator: CompactString,
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// Id of the job.
    pub run: RunId,
    /// Name of the job's profile.
    pub profile: ProfileName,
    /// The profile version that applies to the job.
    pub version: u32,
    /// Home availability zone of the job.
    pub zone: ZoneId,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task requests.
    pub demand: Resources,
    /// Scheduling terms from the profile version.
    #[serde(default)]
    pub terms: Terms,
    /// Declared run time of a task, in milliseconds.
    pub estimate: u64,
    /// Deadline for the end of the job after its acceptance, in milliseconds.
    pub deadline: u64,
    /// The caller's idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Payload for the tasks.
    pub payload: serde_json::Value,
}

/// Scheduling terms of a job, copied from its profile version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Terms {
    /// Kind of work.
    pub kind: profile::Kind,
    /// Priority from 0 to 9; jobs with a higher value are scheduled first.
    pub priority: u8,
    /// Objective for the wait from acceptance to the first start, in milliseconds.
    pub wait: u64,
    /// Number of failed attempts of a task at which its job fails.
    pub attempts: u32,
    /// How far from the home availability zone tasks may be placed.
    pub spill: profile::Spill,
    /// How tasks are distributed over racks.
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

/// Placement of one attempt on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Index of the task.
    pub index: u32,
    /// Number of the attempt, one above the task's last attempt.
    pub attempt: u32,
    /// The worker that runs the attempt.
    pub worker: WorkerId,
    /// The fencing token that the start of the attempt must carry.
    #[serde(default)]
    pub token: Token,
    /// The only incarnation of the worker in which the attempt may start.
    #[serde(default)]
    pub boot: WorkerIncarnation,
}

/// An intent to start attempts of one job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Id of the job.
    pub run: RunId,
    /// The attempts to start.
    pub tasks: Vec<Placement>,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The worker reported that the attempt completed.
    Done,
    /// The worker reported that the attempt failed.
    Failed,
    /// The worker reported that the attempt was stopped or that its lease expired.
    Stopped,
    /// The attempt did not start and can no longer start: the worker reported so under a later
    /// token, or the claimant never sent it, or the worker rejected the only request to start it.
    Unstarted,
    /// The worker restarted, or the platform terminated it.
    Lost,
}

/// One ended attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FinishedAttempt {
    /// Id of the task, with the attempt.
    pub id: worker::TaskId,
    /// Outcome of the attempt.
    pub end: Outcome,
    /// Last checkpoint, in milliseconds of run time.
    pub checkpoint: u64,
    /// Reason that the worker reported.
    pub reason: CompactString,
}

impl FinishedAttempt {
    /// Returns whether the attempt ended with a crash of its worker.
    #[must_use]
    pub fn crashed(&self) -> bool {
        matches!(self.end, Outcome::Lost | Outcome::Failed) && self.reason == CRASHED
    }
}

/// Proof that attempts have ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ended {
    /// The ended attempts.
    pub tasks: Vec<FinishedAttempt>,
}

/// An intent to send a non-idempotent request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name of the profile; each profile has its own key space.
    pub profile: ProfileName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The request that asks to hold the key.
    pub request: RequestId,
}

/// The response to the request that holds a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Answer {
    /// Name of the profile.
    pub profile: ProfileName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The request to which the response belongs.
    pub request: RequestId,
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran.
    pub ran: Ran,
    /// The body of the response, if it is short text.
    pub body: Option<String>,
}

/// Outcome counts of work under one profile version in one time interval.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tally {
    /// Name of the profile.
    pub profile: ProfileName,
    /// Version of the profile.
    pub version: u32,
    /// Number of jobs and requests that ended.
    pub total: u64,
    /// Number of those that were placed, ran once and finished in time.
    pub good: u64,
    /// Numbers of the others by cause, each counted under exactly one cause; sorted by cause.
    pub bad: Vec<(Cause, u64)>,
    /// Sum of the waits for placement, in milliseconds.
    pub waited: u64,
}

/// The single reason why a job or request does not count as good.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// The work was refused for lack of capacity.
    Refused,
    /// The work was not placed before its deadline.
    Unplaced,
    /// The work started later than the objective's wait.
    Waited,
    /// The work ended after its deadline.
    Late,
    /// The work ran and failed.
    Failed,
    /// The work ran more than once.
    Repeated,
    /// The work may have run.
    Unknown,
    /// The caller cancelled the work.
    Cancelled,
}

/// Outcomes of work since the instance's previous record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutcomeCounts {
    /// Sequence number, one higher with each record of this incarnation; a duplicate is skipped.
    pub seq: u64,
    /// End of the interval, on the instance's wall clock in milliseconds since 1970.
    pub at: Millis,
    /// The tallies, sorted by profile and version.
    pub rows: Vec<Tally>,
}
