//! Callers and operators, by HTTP and JSON.
//!
//! `POST /v1/requests/{profile}` carries a request's body as it is. `POST /v1/jobs`,
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

/// Most tasks in one job.
pub const MAX_TASKS: u32 = 10_000;

/// Why the system refused or could not finish a piece of work.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The input is malformed.
    BadInput,
    /// The body is larger than the profile allows.
    TooLarge,
    /// No profile of that name is published, or it is for another form of work.
    UnknownProfile,
    /// No job of that id is known.
    UnknownJob,
    /// No worker could ever hold the work.
    Impossible,
    /// The queue is full.
    QueueFull,
    /// The deadline cannot be met, or passed while the request waited.
    Deadline,
    /// The team's or the profile's quota is used up.
    Quota,
    /// The platform's log cannot be reached and the work needs it.
    LogUnavailable,
    /// No worker can be reached.
    NoWorker,
    /// The instance is shutting down.
    Draining,
    /// The idempotency key was used before and its answer is not known here.
    Duplicate,
    /// The work was sent and no whole answer came back.
    OutcomeUnknown,
    /// The backend server answered with an error.
    Backend,
    /// The change was based on a version that is no longer current.
    Conflict,
    /// The token does not allow the operation.
    Forbidden,
    /// An error inside the system.
    Internal,
}

/// Whether a piece of work ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It ran.
    Yes,
    /// It did not run and will not.
    No,
    /// It may have run.
    Unknown,
}

/// A refusal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// Whether the work ran.
    pub ran: Ran,
    /// One sentence for people.
    pub message: String,
    /// When to try again, in milliseconds; absent when that would not help.
    pub retry: Option<u64>,
    /// The faults of the input, if it was malformed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<findings::Finding>,
}

/// A job as a caller submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// The profile it runs under.
    pub profile: ProfileName,
    /// How many tasks it has.
    #[serde(default = "one")]
    #[schemars(range(min = 1, max = 10_000))]
    pub tasks: u32,
    /// What each task takes; absent for the profile's demand.
    #[serde(default)]
    pub demand: Option<Resources>,
    /// How long a task is expected to run, in milliseconds; a hint.
    #[serde(default)]
    pub estimate: u64,
    /// From acceptance to the end, in milliseconds; absent for the profile's deadline.
    #[serde(default)]
    pub deadline: Option<u64>,
    /// A repeat with the same key is the same job.
    #[serde(default)]
    pub key: Option<IdempotencyKey>,
    /// What the tasks are told; the system does not look into it.
    #[serde(default)]
    pub payload: serde_json::Value,
}

fn one() -> u32 {
    1
}

impl findings::Check for Job {
    fn check(&self, source: &str, findings: &mut findings::Findings) {
        if self.demand.is_some_and(|d| d.slots == 0) {
            findings.add(
                source,
                "/demand/slots",
                "found 0, at least 1 is needed".to_owned(),
                "every task takes a slot",
            );
        }
    }
}

/// Answer to an accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Accepted {
    /// The job's id.
    pub id: RunId,
    /// Whether an earlier submission with the same key was found.
    pub repeated: bool,
}

/// How a job stands.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has started.
    Waiting,
    /// Some task has started.
    Running,
    /// All tasks ended well.
    Done,
    /// A task failed for good.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// A job's status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// The job's id.
    pub id: RunId,
    /// Its profile.
    pub profile: ProfileName,
    /// The profile version that it was accepted under.
    pub version: u32,
    /// Its home.
    pub zone: ZoneId,
    /// How it stands.
    pub state: JobState,
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks that run, or may run.
    pub running: u32,
    /// Tasks that ended well.
    pub done: u32,
    /// When it was accepted, on the platform's clock since 1970.
    pub accepted: Millis,
    /// Why it failed; empty otherwise.
    pub reason: String,
}
