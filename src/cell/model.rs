//! What the cell schedules, on what, and under which rules: plain data without any wire format.

use std::time::Duration;

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::{
    DurationMilliSeconds,
    serde_as, //
};

use crate::resources::Resources;

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// One step of a job: tasks that are alike.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Step {
    /// Number of tasks, at least 1.
    pub count: u32,
    /// What each task takes on a worker.
    pub demand: Resources,
    /// The caller's estimate of a task's run time, in milliseconds; may be far off.
    pub estimate: u64,
    /// Steps of the same job that must have succeeded before.
    #[serde(rename = "after", skip_serializing_if = "is_default")]
    pub depends_on: Vec<u32>,
    /// Whether the tasks run only together.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether a gang is slowed down when it spans racks.
    #[serde(skip_serializing_if = "is_default")]
    pub compact: bool,
    /// Label that the worker must carry; empty for none.
    #[serde(skip_serializing_if = "is_default")]
    pub label: CompactString,
    /// Rack that holds the data; empty for none. Tasks elsewhere are slower.
    #[serde(rename = "rack", skip_serializing_if = "is_default")]
    pub data_rack: CompactString,
    /// Most tasks of the step on one worker; 0 for no limit.
    #[serde(rename = "spread", skip_serializing_if = "is_default")]
    pub max_per_worker: u32,
    /// Whether copies of a task may run in parallel.
    #[serde(skip_serializing_if = "is_default")]
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting", skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// Whether the tasks save checkpoints.
    #[serde(rename = "saves", skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether the tasks use only processors that others leave idle.
    #[serde(rename = "fills", skip_serializing_if = "is_default")]
    pub opportunistic: bool,
    /// Most tasks of a lasting step that may be away through the system's doing.
    #[serde(rename = "away", skip_serializing_if = "is_default")]
    pub max_unavailable: u32,
}

/// A job as its caller describes it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Submission {
    /// Opaque text that is handed to each task.
    pub spec: String,
    /// The steps.
    pub steps: Vec<Step>,
    /// When the first occurrence is due, in Unix milliseconds; 0 for at once.
    #[serde(rename = "first", skip_serializing_if = "is_default")]
    pub first_due: u64,
    /// Milliseconds between occurrences.
    #[serde(rename = "every", skip_serializing_if = "is_default")]
    pub interval: u64,
    /// Number of occurrences; 0 for a job that runs once, at once.
    #[serde(rename = "times", skip_serializing_if = "is_default")]
    pub occurrences: u32,
}

/// What one question to the placement policy of a queue costs.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PolicyCost {
    /// Milliseconds for each question.
    pub base: f64,
    /// Milliseconds for each worker named in it.
    #[serde(rename = "each")]
    pub per_worker: f64,
    /// How long a permit is valid.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "valid")]
    pub validity: Duration,
}

/// A queue that callers submit jobs to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: CompactString,
    /// Host that selects it.
    pub host: CompactString,
    /// Beginning of the paths that select it.
    pub prefix: CompactString,
    /// Service whose workers run its tasks.
    pub service: CompactString,
    /// Precedence; 0 is the highest.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub attempts: u32,
    /// Latency objective as a multiple of the job's longest chain of run times.
    pub stretch: f64,
    /// Milliseconds added to that multiple.
    pub target: u64,
    /// Cost of the placement policy; none where any worker of the service may run anything.
    #[serde(rename = "advice")]
    pub policy_cost: Option<PolicyCost>,
}

/// A pool of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: CompactString,
    /// Whether its workers reject what does not fit.
    pub enforces_capacity: bool,
}

/// Bounds on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest body, in bytes.
    pub body: usize,
    /// Longest wait for a request's head.
    pub header: Duration,
    /// Longest idle time of a caller's connection.
    pub idle: Duration,
}

/// One version of the operator's configuration, sorted by queue host and prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Catalog {
    /// Its version; rises with each change.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The services.
    pub services: Vec<Service>,
    /// Bounds on callers.
    pub limits: Limits,
}

impl Catalog {
    /// The queue that a request belongs to: that of its host with the longest matching prefix.
    #[must_use]
    pub fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |q: &&Queue| q.host == host && path.starts_with(q.prefix.as_str());
        self.queues
            .iter()
            .filter(fits)
            .max_by_key(|q| q.prefix.len())
    }
}

/// Whether a worker takes new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// It does.
    Ready,
    /// It is about to leave.
    Draining,
}

/// A worker's registration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The worker.
    pub id: CompactString,
    /// Its life: the Unix millisecond of its start; 0 when the entry does not say.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Its service.
    pub service: CompactString,
    /// `IP:port` for orders.
    pub address: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
    /// Whether it takes new tasks.
    #[serde(rename = "standing")]
    pub availability: Availability,
    /// Its room.
    pub capacity: Resources,
    /// Its kind and its rack.
    pub labels: Vec<CompactString>,
}

impl Registration {
    /// The rack: the last label.
    #[must_use]
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", CompactString::as_str)
    }
}

/// How a run ended, by the worker's word.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the other members of its gang.
    Alone,
}

/// Names one task: job, occurrence, step, index.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskName {
    /// The job.
    pub job: CompactString,
    /// The occurrence, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u32,
    /// The task within the step, from 0.
    pub index: u32,
}

/// A run that a worker reports.
#[derive(Debug, Clone, PartialEq)]
pub struct LiveRun {
    /// The task.
    pub task: TaskName,
    /// The run's number.
    pub run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: CompactString,
    /// Processors used over the last half second, in millicores, where the worker says so.
    pub used: Option<f64>,
}

/// An end that a worker reports until it is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Its number in the worker's life, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The run's number.
    pub run: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// Newest checkpoint; empty for none.
    pub checkpoint: CompactString,
}

/// What a worker says runs and ended on it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// The worker's life; 0 when it does not say.
    pub incarnation: u64,
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// What runs.
    pub running: Vec<LiveRun>,
    /// What ended and was not acknowledged.
    pub ended: Vec<EndedRun>,
}

/// What a worker answered to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Done, or done before.
    Accepted,
    /// A higher fencing token was seen there.
    Fenced,
    /// A run that is not newer than one that ended or was stopped there.
    Old,
    /// The order had expired.
    Late,
    /// No room.
    Full,
    /// The permit is not valid.
    Permit,
    /// The worker refuses for now and has done nothing.
    Unwell,
    /// Another life of the worker answers at this address.
    Reborn,
    /// The worker cannot make sense of the order.
    Invalid,
}

/// A worker's answer to an order, with its clock in milliseconds where it says so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reply {
    /// What became of the order.
    pub verdict: Verdict,
    /// The worker's clock.
    pub clock: Option<u64>,
}

/// A permit of the placement policy for one step on one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// The worker.
    pub worker: CompactString,
    /// What the worker wants to see.
    #[serde(rename = "ticket")]
    pub token: CompactString,
}

/// State of a job as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// No task has started.
    Pending,
    /// A task has started.
    Running,
    /// All tasks have succeeded.
    Completed,
    /// A task has failed too often.
    Failed,
    /// The caller has cancelled it.
    Cancelled,
}

impl State {
    /// Whether nothing of the job runs any more.
    #[must_use]
    pub fn is_final(self) -> bool {
        !matches!(self, State::Pending | State::Running)
    }
}
