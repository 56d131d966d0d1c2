//! Jobs, workers and configuration of the cell, as plain data without any wire format.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::Duration, //
};

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

/// Maximum length of the name of an image, in bytes.
pub const MAX_IMAGE_BYTES: usize = 64;

/// One step of a job: a number of identical tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Step {
    /// Number of tasks, at least 1.
    pub count: u32,
    /// Resources that each task takes on a worker.
    pub demand: Resources,
    /// Caller's estimate of a task's run time, in milliseconds; may be far off.
    pub estimate: u64,
    /// Indices of the steps of the same job that must succeed first.
    #[serde(rename = "after", skip_serializing_if = "is_default")]
    pub depends_on: Vec<u32>,
    /// Whether the step is a gang, whose tasks only run together.
    #[serde(skip_serializing_if = "is_default")]
    pub gang: bool,
    /// Whether the gang runs slower when it spans racks.
    #[serde(skip_serializing_if = "is_default")]
    pub compact: bool,
    /// Label that a worker must carry; empty for none.
    #[serde(skip_serializing_if = "is_default")]
    pub label: CompactString,
    /// Rack that holds the data; empty for none. Tasks in other racks run slower.
    #[serde(rename = "rack", skip_serializing_if = "is_default")]
    pub data_rack: CompactString,
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    #[serde(rename = "spread", skip_serializing_if = "is_default")]
    pub max_per_worker: u32,
    /// Image of the tasks, at most [`MAX_IMAGE_BYTES`] bytes; empty if none is named. Tasks of one
    /// queue and image are of one kind.
    #[serde(skip_serializing_if = "is_default")]
    pub image: CompactString,
    /// Whether duplicate runs of a task may run in parallel.
    #[serde(skip_serializing_if = "is_default")]
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting", skip_serializing_if = "is_default")]
    pub long_running: bool,
    /// Whether the tasks save checkpoints.
    #[serde(rename = "saves", skip_serializing_if = "is_default")]
    pub checkpoints: bool,
    /// Whether the tasks use only CPU that other tasks leave idle.
    #[serde(rename = "fills", skip_serializing_if = "is_default")]
    pub opportunistic: bool,
    /// Maximum number of a long-running step's tasks that the system may make unavailable at a
    /// time.
    #[serde(rename = "away", skip_serializing_if = "is_default")]
    pub max_unavailable: u32,
}

/// Job as submitted by its caller.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Submission {
    /// Opaque text that is passed to each task.
    pub spec: String,
    /// Steps of the job.
    pub steps: Vec<Step>,
    /// Due time of the first occurrence, in Unix milliseconds; 0 for immediately.
    #[serde(rename = "first", skip_serializing_if = "is_default")]
    pub first_due: u64,
    /// Interval between occurrences, in milliseconds.
    #[serde(rename = "every", skip_serializing_if = "is_default")]
    pub interval: u64,
    /// Number of occurrences; 0 for a job that runs once, immediately.
    #[serde(rename = "times", skip_serializing_if = "is_default")]
    pub occurrences: u32,
}

/// Cost of one query to the placement policy of a queue.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PolicyCost {
    /// Fixed time of a query, in milliseconds.
    pub base: f64,
    /// Additional time for each worker named in a query, in milliseconds.
    #[serde(rename = "each")]
    pub per_worker: f64,
    /// Time for which a permit is valid.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "valid")]
    pub validity: Duration,
}

/// Queue that callers submit jobs to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue.
    pub name: CompactString,
    /// Host that selects the queue.
    pub host: CompactString,
    /// Path prefix that selects the queue.
    pub prefix: CompactString,
    /// Service whose workers run the tasks.
    pub service: CompactString,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails.
    pub attempts: u32,
    /// Latency objective as a multiple of the job's critical path.
    pub stretch: f64,
    /// Constant added to the latency objective, in milliseconds.
    pub target: u64,
    /// Cost of the placement policy; `None` if any worker of the service may run any task.
    #[serde(rename = "advice")]
    pub policy_cost: Option<PolicyCost>,
}

/// Pool of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: CompactString,
    /// Whether its workers refuse tasks that exceed their free capacity.
    pub enforces_capacity: bool,
}

/// Digest of an API key.
pub type KeyDigest = [u8; 32];

/// Organisation whose callers submit jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: CompactString,
    /// Share of the cell while there is too little room, relative to the weights of the others. It
    /// is also the number of jobs a second that the organisation is entitled to.
    pub weight: f64,
    /// Most resources that its tasks take over all workers; 0 in one of them for no limit.
    pub cap: Resources,
}

/// Limits on requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest body, in bytes.
    pub body: usize,
    /// Longest wait for the header of a request.
    pub header: Duration,
    /// Longest idle time of a caller's connection.
    pub idle: Duration,
}

/// One version of the operator's configuration, sorted by queue host and prefix.
#[derive(Debug, Clone, PartialEq)]
pub struct Catalog {
    /// Version number; increases with each change.
    pub version: u64,
    /// Queues.
    pub queues: Vec<Queue>,
    /// Services.
    pub services: Vec<Service>,
    /// Limits on requests of callers.
    pub limits: Limits,
    /// Organisations.
    pub organisations: Vec<Organisation>,
    /// Digests of the keys of all organisations, each with the position of its organisation, sorted.
    pub keys: Vec<(KeyDigest, u32)>,
    /// Names of the queues that need no key, sorted.
    pub public_queues: Vec<CompactString>,
}

impl Catalog {
    /// Organisation that has a key.
    #[must_use]
    pub fn organisation(&self, key: &KeyDigest) -> Option<&Organisation> {
        let at = self.keys.binary_search_by_key(key, |(key, _)| *key).ok()?;
        self.organisations.get(self.keys[at].1 as usize)
    }

    /// Whether requests to a queue need no key.
    #[must_use]
    pub fn is_public(&self, queue: &str) -> bool {
        let public = &self.public_queues;
        public
            .binary_search_by(|name| name.as_str().cmp(queue))
            .is_ok()
    }

    /// Queue of a request: the longest matching prefix among the queues of the host.
    #[must_use]
    pub fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |q: &&Queue| q.host == host && path.starts_with(q.prefix.as_str());
        self.queues
            .iter()
            .filter(fits)
            .max_by_key(|q| q.prefix.len())
    }
}

/// Whether a worker accepts new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// The worker accepts new tasks.
    Ready,
    /// The worker is about to leave and accepts none.
    Draining,
}

/// Maximum length of the name of a job, a segment or a worker, in bytes: with its prefix, the name
/// fits into a key of the store.
const MAX_NAME_BYTES: usize = 254;

/// Maximum amount of a resource of one worker, so that sums over all workers fit into 32 bits.
const MAX_AMOUNT: u32 = 1 << 22;

/// Resources that no worker exceeds.
pub const MAX_RESOURCES: Resources = Resources {
    millicores: MAX_AMOUNT,
    memory: MAX_AMOUNT,
    accelerators: MAX_AMOUNT,
    slots: 0,
    connections: 0,
};

/// Latest time that counts as one, in milliseconds: the year 2100. A worker's incarnation or clock
/// beyond it would never be exceeded.
pub const MAX_TIME_MS: u64 = 4_102_444_800_000;

/// Whether an address is the IPv4 address of one host with a port.
fn is_host(address: &str) -> bool {
    let Ok(address) = address.parse::<SocketAddrV4>() else {
        return false;
    };
    let ip = *address.ip();
    address.port() > 0 && !ip.is_unspecified() && !ip.is_multicast() && ip != Ipv4Addr::BROADCAST
}

/// Registration of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Id of the worker.
    pub id: CompactString,
    /// Incarnation of the worker: its start in Unix milliseconds; 0 if the registration does not
    /// say.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Service that the worker belongs to.
    pub service: CompactString,
    /// Address for commands, as `IP:port`.
    pub address: CompactString,
    /// Availability zone of the worker.
    pub zone: CompactString,
    /// Whether the worker accepts new tasks.
    #[serde(rename = "standing")]
    pub availability: Availability,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Kind of the worker, followed by its rack.
    pub labels: Vec<CompactString>,
}

impl Registration {
    /// Checks that the registration can be that of a worker.
    ///
    /// # Errors
    ///
    /// Returns what no worker has.
    pub fn check(&self) -> Result<(), &'static str> {
        let id = self.id.as_bytes();
        let printable = id.iter().all(|b| b.is_ascii_graphic() && *b != b'/');
        if id.is_empty() || id.len() > MAX_NAME_BYTES || !printable {
            return Err("the key is not an id");
        }
        if !is_host(&self.address) {
            return Err("the address is not IP:port of one host");
        }
        if self
            .capacity
            .parts()
            .iter()
            .any(|amount| *amount > MAX_AMOUNT)
        {
            return Err("the capacity is out of range");
        }
        if self.incarnation > MAX_TIME_MS {
            return Err("the start is out of range");
        }
        Ok(())
    }

    /// Rack of the worker: its last label.
    #[must_use]
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", CompactString::as_str)
    }
}

/// Outcome of a run, as reported by its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The run succeeded.
    Done,
    /// The run failed through its own fault or the worker's.
    Failed,
    /// The run was stopped by a command.
    Stopped,
    /// The lease of the run expired.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The other members of the gang did not arrive in time.
    Alone,
}

/// Name of one task: job, occurrence, step and index.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskName {
    /// Id of the job.
    pub job: CompactString,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u32,
    /// Index of the task within the step, from 0.
    pub index: u32,
}

/// Running run in a worker's report.
#[derive(Debug, Clone, PartialEq)]
pub struct LiveRun {
    /// Name of the task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Newest checkpoint; empty for none.
    pub checkpoint: CompactString,
    /// CPU used over the last half second, in millicores, if the worker reports it.
    pub used: Option<f64>,
}

/// Ended run that a worker reports until it is acknowledged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedRun {
    /// Number of the ended run within the worker's incarnation, from 1.
    pub number: u64,
    /// Name of the task.
    pub task: TaskName,
    /// Number of the run.
    pub run: u32,
    /// Outcome of the run.
    pub outcome: Outcome,
    /// Newest checkpoint; empty for none.
    pub checkpoint: CompactString,
}

/// Report of a worker about its running and ended runs.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Incarnation of the worker; 0 if the report does not say.
    pub incarnation: u64,
    /// Clock of the worker, in milliseconds.
    pub clock: u64,
    /// Running runs.
    pub running: Vec<LiveRun>,
    /// Ended runs that were not acknowledged.
    pub ended: Vec<EndedRun>,
    /// Whether more ended runs may follow once these are acknowledged.
    pub partial: bool,
    /// Lowest number of an ended run that could not be read, if there is one.
    pub unread: Option<u64>,
}

/// Verdict of a worker on a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The command was carried out, now or before.
    Accepted,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// The run is not newer than one that has ended or was stopped on the worker.
    Old,
    /// The command had expired.
    Late,
    /// The worker has too little free capacity.
    Full,
    /// The permit is not valid.
    Permit,
    /// The worker refuses commands for now and has done nothing.
    Unwell,
    /// Another incarnation of the worker answers at this address.
    Reborn,
    /// The worker does not understand the command.
    Invalid,
}

/// Reply of a worker to a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Verdict on the command.
    pub verdict: Verdict,
    /// Clock of the worker, in milliseconds, if the reply contains it.
    pub clock: Option<u64>,
}

/// Permit of the placement policy for one step on one worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Permit {
    /// Id of the worker.
    pub worker: CompactString,
    /// Opaque token that the worker expects with the start command.
    #[serde(rename = "ticket")]
    pub token: CompactString,
}

/// State of a job as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// No task has started.
    Pending,
    /// At least one task has started.
    Running,
    /// All tasks have succeeded.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl State {
    /// Whether the job has ended and runs no more tasks.
    #[must_use]
    pub fn is_final(self) -> bool {
        !matches!(self, State::Pending | State::Running)
    }
}
