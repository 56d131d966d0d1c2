//! API of a worker, over HTTP.
//!
//! `POST /v1/lease` acquires, renews and releases the placement lease and reports the worker's
//! state; `POST /v1/tasks/start`, `/v1/tasks/signal` and `/v1/tasks/forget` act on tasks;
//! `POST /v1/serve/{profile}` passes a request to the backend server.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
        Incarnation,
        InstanceId,
        RunId,
        Token, //
        WorkerIncarnation,
    },
    resources::Resources, //
};

/// Identifies one attempt of one task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Job of the task.
    pub run: RunId,
    /// Index of the task in the job.
    pub index: u32,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

/// Request to acquire, renew or release the placement lease of a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Instance that sends the request.
    pub holder: InstanceId,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
    /// Current fencing token, for a renewal; absent to acquire the lease.
    pub token: Option<Token>,
    /// Duration of the lease from its grant, in milliseconds; zero releases the lease.
    pub ttl: u64,
    /// How long every running task continues without another renewal, in milliseconds.
    pub task_ttl: u64,
}

/// Response to a lease request.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum LeaseResponse {
    /// The sender holds the lease.
    Granted(Report),
    /// Another instance holds the lease.
    Held {
        /// Instance that holds the lease.
        holder: InstanceId,
        /// Remaining duration of its lease, in milliseconds.
        left: u64,
    },
    /// The fencing token is not the current one: the sender has lost the lease.
    Fenced,
}

/// State of a worker, reported to the holder of its placement lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// Fencing token that every message to the worker must carry.
    pub token: Token,
    /// Incarnation of the worker.
    #[serde(rename = "boot")]
    pub incarnation: WorkerIncarnation,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Whether the worker is about to be removed and accepts no new work.
    pub leaving: bool,
    /// All running tasks, and all ended tasks that the holder has not told the worker to forget.
    pub tasks: Vec<Task>,
    /// Number of requests in progress.
    pub requests: u32,
    /// Number of requests in progress that were sent with an earlier token; absent when the worker
    /// does not know, so that any of them may have been.
    #[serde(default)]
    pub earlier: Option<u32>,
    /// Measured resource usage; lags behind the actual usage.
    pub usage: Resources,
}

/// State of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The task runs.
    Running,
    /// The task was told to stop and still runs.
    Stopping,
    /// The task succeeded.
    Done,
    /// The task ended with an error.
    Failed,
    /// The task was stopped.
    Stopped,
    /// The lease of the task expired, so the worker ended the task.
    Lapsed,
}

impl State {
    /// Returns whether the task may still execute.
    #[must_use]
    pub fn active(self) -> bool {
        matches!(self, State::Running | State::Stopping)
    }
}

/// Report on one task of a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Task {
    /// Id of the task attempt.
    pub id: TaskId,
    /// Resources that the task takes.
    pub demand: Resources,
    /// State of the task.
    pub state: State,
    /// Progress at the last checkpoint, in milliseconds of run time.
    pub checkpoint: u64,
    /// Why the task ended; empty while it runs.
    pub reason: CompactString,
}

/// Request to start tasks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Start {
    /// Fencing token of the placement lease.
    pub token: Token,
    /// Tasks to start.
    pub tasks: Vec<Launch>,
}

/// One task to start.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Launch {
    /// Id of the task attempt.
    pub id: TaskId,
    /// Resources that the task takes.
    pub demand: Resources,
    /// How long the task continues without a renewal, in milliseconds.
    pub ttl: u64,
    /// Checkpoint to resume from, in milliseconds of run time.
    pub resume: u64,
    /// Payload for the task, opaque to the system.
    pub payload: serde_json::Value,
}

/// Result of one start. A repeated start of a task that did start gives `Started` again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Started {
    /// The task runs, or has run.
    Started,
    /// The fencing token is not the current one; the task did not run.
    Fenced,
    /// The worker lacks free resources; the task did not run.
    Full,
    /// The worker is about to be removed; the task did not run.
    Leaving,
}

/// Response to a request to start tasks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartResponse {
    /// One result for each task, in the order of the request.
    pub results: Vec<Started>,
}

/// Signal to a running task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Signal {
    /// Stop gracefully.
    Stop,
    /// Save a checkpoint and continue.
    Checkpoint,
    /// Save a checkpoint and stop.
    Suspend,
    /// Run at half speed.
    Throttle,
}

/// Request to signal tasks. The report of the next lease renewal shows the effect.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SignalTasks {
    /// Fencing token of the placement lease.
    pub token: Token,
    /// Tasks and the signal to each.
    pub tasks: Vec<(TaskId, Signal)>,
}

/// Request to drop ended tasks from the worker's reports, once their outcome is in the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Forget {
    /// Fencing token of the placement lease.
    pub token: Token,
    /// Ended tasks to drop.
    pub tasks: Vec<TaskId>,
}

/// Response to a request to signal or forget tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ack {
    /// The worker accepted the request.
    Ok,
    /// The fencing token is not the current one.
    Fenced,
}
