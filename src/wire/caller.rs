//! API for callers and operators, over HTTP and JSON.
//!
//! `POST /v1/requests/{profile}` passes the body of a request through unchanged. `POST /v1/jobs`,
//! `GET /v1/jobs/{id}` and `DELETE /v1/jobs/{id}` submit, show and cancel a job.

use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    findings,
    ids::{
        IdempotencyKey,
        Millis,
        ProfileName,
        RunId,
        ZoneId, //
    },
    resources::Resources, //
};

/// Maximum number of tasks in one job.
pub const MAX_TASKS: u32 = 10_000;

/// Error code: why the system refused or could not finish a request or job.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The input is malformed.
    BadInput,
    /// The body is larger than the profile allows.
    TooLarge,
    /// No profile of that name is published, or the profile is for another kind of work.
    UnknownProfile,
    /// No job with that id is known.
    UnknownJob,
    /// The demand exceeds the capacity of every worker.
    Impossible,
    /// The queue is full.
    QueueFull,
    /// The deadline cannot be met, or passed while the request waited.
    Deadline,
    /// The quota of the team or the profile is exhausted.
    Quota,
    /// The work needs the platform's log, which cannot be reached.
    LogUnavailable,
    /// No worker can be reached.
    NoWorker,
    /// The instance is shutting down.
    Draining,
    /// The idempotency key was used before, and this instance does not know the response.
    Duplicate,
    /// The work was sent, and no complete response came back.
    OutcomeUnknown,
    /// The backend server responded with an error.
    Backend,
    /// The change was based on a version that is no longer current.
    Conflict,
    /// The token does not allow the operation.
    Forbidden,
    /// Internal error of the system.
    Internal,
}

/// Whether a request or job ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The work ran.
    Yes,
    /// The work did not run and will not run.
    No,
    /// The work may have run.
    Unknown,
}

/// Error response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Refusal {
    /// Error code.
    pub code: Code,
    /// Whether the work ran.
    pub ran: Ran,
    /// Human-readable message of one sentence.
    pub message: String,
    /// Delay before a retry, in milliseconds; absent when a retry would not help.
    pub retry: Option<u64>,
    /// Errors in the input, when it is malformed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<findings::Finding>,
}

/// Submission of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Profile of the job.
    pub profile: ProfileName,
    /// Number of tasks.
    #[serde(default = "default_tasks")]
    #[schemars(range(min = 1, max = 10_000))]
    pub tasks: u32,
    /// Resources that each task takes; absent for the demand of the profile.
    #[serde(default)]
    pub demand: Option<Resources>,
    /// Expected run time of a task, in milliseconds; a hint.
    #[serde(default)]
    pub estimate: u64,
    /// Maximum time from acceptance to completion, in milliseconds; absent for the deadline of the
    /// profile.
    #[serde(default)]
    pub deadline: Option<u64>,
    /// Idempotency key. A repeated submission with the same key is the same job.
    #[serde(default)]
    pub key: Option<IdempotencyKey>,
    /// Payload for the tasks, opaque to the system.
    #[serde(default)]
    pub payload: serde_json::Value,
}

fn default_tasks() -> u32 {
    1
}

impl findings::Check for Job {
    fn check(&self, source: &str, findings: &mut findings::Findings) {
        if self.demand.is_some_and(|d| d.slots == 0) {
            findings.add(
                source,
                "/demand/slots",
                "found 0, at least 1 is needed".to_owned(),
                "every task takes at least one slot",
            );
        }
    }
}

/// Response to an accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Accepted {
    /// Id of the job.
    pub id: RunId,
    /// Whether an earlier submission with the same idempotency key was found.
    pub repeated: bool,
}

/// State of a job.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has started.
    Waiting,
    /// At least one task has started.
    Running,
    /// All tasks succeeded.
    Done,
    /// A task failed permanently.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

/// Status of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// Id of the job.
    pub id: RunId,
    /// Profile of the job.
    pub profile: ProfileName,
    /// Version of the profile under which the job was accepted.
    pub version: u32,
    /// Home zone of the job.
    pub zone: ZoneId,
    /// State of the job.
    pub state: JobState,
    /// Number of waiting tasks.
    pub waiting: u32,
    /// Number of tasks that run or may run.
    pub running: u32,
    /// Number of tasks that succeeded.
    pub done: u32,
    /// Time of acceptance, in milliseconds since 1970 on the platform's clock.
    pub accepted: Millis,
    /// Why the job failed; empty otherwise.
    pub reason: String,
}
