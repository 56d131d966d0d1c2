//! A worker of the platform, by HTTP.
//!
//! `POST /v1/lease` takes, renews and gives up the placement lease and reports the worker's state;
//! `POST /v1/tasks/start`, `/v1/tasks/signal` and `/v1/tasks/forget` act on tasks;
//! `POST /v1/serve/{profile}` passes a request to the backend server.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
        Boot,
        Incarnation,
        InstanceId,
        RunId,
        Token, //
    },
    resources::Resources, //
};

/// Identifies one attempt of one task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub run: RunId,
    /// The task's index in the job.
    pub index: u32,
    /// The attempt, from 1.
    pub attempt: u32,
}

/// Asks for the placement lease of a worker, renews it or gives it up.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Lease {
    /// Who asks.
    pub holder: InstanceId,
    /// Which life of the holder asks.
    pub incarnation: Incarnation,
    /// The token held, for a renewal; absent to take the lease.
    pub token: Option<Token>,
    /// How long the lease lasts from its grant, in milliseconds; zero gives it up.
    pub ttl: u64,
    /// How long every running task goes on without another renewal, in milliseconds.
    pub task_ttl: u64,
}

/// Answer to a lease message.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum Grant {
    /// The caller holds the lease.
    Granted(Report),
    /// Another instance holds it.
    Held {
        /// Who.
        holder: InstanceId,
        /// For how long yet, in milliseconds.
        left: u64,
    },
    /// The token is not the current one: the lease was lost.
    Fenced,
}

/// The state of a worker, told to the holder of its placement lease.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Report {
    /// The token to carry on every message.
    pub token: Token,
    /// The worker's life.
    pub boot: Boot,
    /// What it has.
    pub capacity: Resources,
    /// Whether it is about to leave and takes no new work.
    pub leaving: bool,
    /// Every task that runs, and every ended one that was not forgotten yet.
    pub tasks: Vec<Task>,
    /// Requests in progress.
    pub requests: u32,
    /// Those of them that came under an earlier token. Absent: any of them may have.
    #[serde(default)]
    pub earlier: Option<u32>,
    /// What is really used, some time ago.
    pub usage: Resources,
}

/// How a task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It runs.
    Running,
    /// It was asked to stop and still runs.
    Stopping,
    /// It ended well.
    Done,
    /// It ended with an error.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease lapsed, so the worker ended it.
    Lapsed,
}

impl State {
    /// Whether the task may still execute.
    #[must_use]
    pub fn active(self) -> bool {
        matches!(self, State::Running | State::Stopping)
    }
}

/// One task on a worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Task {
    /// Which.
    pub id: TaskId,
    /// What it takes.
    pub demand: Resources,
    /// How it stands.
    pub state: State,
    /// Work done at the last checkpoint, in milliseconds of run time.
    pub checkpoint: u64,
    /// Why it ended, if it did.
    pub reason: CompactString,
}

/// Starts tasks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Start {
    /// The token of the placement lease.
    pub token: Token,
    /// The tasks.
    pub tasks: Vec<Launch>,
}

/// One task to start.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Launch {
    /// Which.
    pub id: TaskId,
    /// What it takes.
    pub demand: Resources,
    /// How long it goes on without a renewal, in milliseconds.
    pub ttl: u64,
    /// The checkpoint to resume from, in milliseconds of run time.
    pub resume: u64,
    /// What the task is told; the system does not look into it.
    pub payload: serde_json::Value,
}

/// What became of one start. A repeat of a start that took effect answers `Started`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Started {
    /// It runs, or did run.
    Started,
    /// The token is not the current one; it did not run.
    Fenced,
    /// The worker has no room; it did not run.
    Full,
    /// The worker is leaving; it did not run.
    Leaving,
}

/// Answer to a start, in the order of the tasks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartAnswer {
    /// One result a task.
    pub results: Vec<Started>,
}

/// What a task can be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Signal {
    /// End soon.
    Stop,
    /// Save progress, then go on.
    Checkpoint,
    /// Save progress, then end.
    Suspend,
    /// Run at half speed.
    Throttle,
}

/// Signals tasks. The report of the next renewal shows the effect.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SignalTasks {
    /// The token of the placement lease.
    pub token: Token,
    /// Which tasks, and what they are told.
    pub tasks: Vec<(TaskId, Signal)>,
}

/// Lets the worker drop ended tasks, once their end stands in the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Forget {
    /// The token of the placement lease.
    pub token: Token,
    /// Which tasks.
    pub tasks: Vec<TaskId>,
}

/// Answer to a signal or a forget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ack {
    /// Taken.
    Ok,
    /// The token is not the current one.
    Fenced,
}
