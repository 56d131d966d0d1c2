//! Commands and state documents of the control API.

use compact_str::CompactString;
use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
        InstanceId,
        Offset,
        WorkerId,
        WorkerIncarnation,
        ZoneId, //
    },
    standin::{
        faults,
        settings, //
    },
    wire::list, //
};

/// Workers that a command applies to: those named and those of the named zones, or all if both
/// lists are empty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Select {
    /// Workers by id.
    pub workers: Vec<WorkerId>,
    /// Workers by availability zone.
    pub zones: Vec<ZoneId>,
}

/// Command of the control API. `on` switches a fault on or off.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Sets the availability of the log.
    Log {
        /// Available, or the kind of outage.
        mode: faults::Mode,
    },
    /// Sets the availability of the list of instances.
    List {
        /// Available, or the kind of outage.
        mode: faults::Mode,
    },
    /// Stops or resumes updates of the list of instances.
    FreezeList {
        /// Whether updates are stopped.
        on: bool,
    },
    /// Sets the lag of the list of instances.
    ListLag {
        /// Lag, in milliseconds.
        lag: u64,
    },
    /// Applies the next appends but withholds their answers.
    LoseAppends {
        /// Number of appends.
        count: u32,
        /// What the callers of these appends see.
        mode: faults::Mode,
    },
    /// Delays every append before it takes effect.
    DelayAppends {
        /// Delay, in milliseconds.
        delay: u64,
    },
    /// Crashes the workers' processes.
    Crash {
        /// Workers that the command applies to.
        #[serde(default)]
        target: Select,
    },
    /// Restarts the workers' processes, each as a new incarnation.
    Restart {
        /// Workers that the command applies to.
        #[serde(default)]
        target: Select,
    },
    /// Pauses the workers' processes, or resumes them with the messages that arrived meanwhile.
    Hang {
        /// Workers that the command applies to.
        #[serde(default)]
        target: Select,
        /// Whether the processes are paused.
        on: bool,
    },
    /// Makes every task and request on the workers fail immediately.
    Failing {
        /// Workers that the command applies to.
        #[serde(default)]
        target: Select,
        /// Whether tasks and requests fail.
        on: bool,
    },
    /// Makes the workers do their work and answer with errors that leave the outcome unknown.
    Errors {
        /// Workers that the command applies to.
        #[serde(default)]
        target: Select,
        /// Whether the fault is active.
        on: bool,
    },
    /// Makes the workers send only half of each answer.
    CutAnswers {
        /// Workers that the command applies to.
        #[serde(default)]
        target: Select,
        /// Whether the fault is active.
        on: bool,
    },
    /// Delays the workers' answers after the work is done.
    Late {
        /// Workers that the command applies to.
        #[serde(default)]
        target: Select,
        /// Delay, in milliseconds; zero for none.
        delay: u64,
    },
    /// Slows the workers down.
    Slow {
        /// Workers that the command applies to.
        #[serde(default)]
        target: Select,
        /// Slowdown factor, in hundredths; 100 is normal speed.
        factor: u64,
    },
    /// Announces that the workers leave, or withdraws that.
    Leaving {
        /// Workers that the command applies to.
        #[serde(default)]
        target: Select,
        /// Whether the workers leave.
        on: bool,
    },
    /// Removes the workers for good.
    Gone {
        /// Workers that the command applies to.
        #[serde(default)]
        target: Select,
    },
    /// Silences the open connections to the workers; new ones work.
    Silence {
        /// Workers that the command applies to.
        #[serde(default)]
        target: Select,
    },
    /// Silences the open connections to the platform; new ones work.
    SilencePlatform,
    /// Cuts an availability zone off from the platform and all other zones, or reconnects it.
    CutZone {
        /// Availability zone.
        zone: ZoneId,
        /// Whether the zone is cut off.
        on: bool,
    },
    /// Cuts an availability zone off from the platform alone, or reconnects it.
    CutPlatform {
        /// Availability zone.
        zone: ZoneId,
        /// Whether the zone is cut off.
        on: bool,
    },
    /// Cuts two availability zones off from each other, or reconnects them.
    CutPair {
        /// First availability zone.
        one: ZoneId,
        /// Second availability zone.
        other: ZoneId,
        /// Whether the zones are cut off from each other.
        on: bool,
    },
    /// Sets the service time of requests whose body sets none.
    Service {
        /// New service time.
        time: settings::Service,
    },
    /// Changes an entry instance in the list.
    Entry {
        /// Id of the entry instance.
        id: InstanceId,
        /// State that the list shows.
        #[schemars(with = "String")]
        state: list::State,
        /// Incarnation that the list shows; absent to leave it unchanged.
        #[serde(default)]
        boot: Option<WorkerIncarnation>,
    },
}

/// State of a worker, as the control API returns it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// Id of the worker.
    pub id: WorkerId,
    /// Availability zone of the worker.
    pub zone: ZoneId,
    /// Whether the worker's process is alive.
    pub up: bool,
    /// Incarnation of the worker.
    pub boot: WorkerIncarnation,
    /// Whether the worker is about to leave.
    pub leaving: bool,
    /// Active faults of the worker.
    pub faults: faults::Worker,
    /// Number of tasks that may be executing.
    pub tasks: usize,
    /// Number of requests in progress.
    pub requests: usize,
}

/// State of the stand-in, as the control API returns it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Faults of the platform.
    pub platform: faults::Platform,
    /// Links between availability zones that are cut.
    pub cuts: faults::Cuts,
    /// Whether updates of the list are stopped.
    pub frozen: bool,
    /// Lag of the list, in milliseconds.
    pub lag: u64,
    /// Oldest offset that the log keeps.
    pub first: Offset,
    /// Next offset of the log.
    pub next: Offset,
    /// Service time of requests whose body sets none.
    pub service: settings::Service,
    /// Workers, in the order of their ports.
    pub workers: Vec<WorkerView>,
}

/// Refusal of a command that names an unknown worker, instance or zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnknownName {
    /// First unknown name in the command.
    #[serde(rename = "unknown")]
    pub name: CompactString,
}

/// Answer to a command: what it reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reached {
    /// Number of workers, instances or connections that the command reached.
    pub reached: usize,
}

/// Work whose callers were told that it did not run, by the names in the request bodies.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RefusedWork {
    /// Names of the work.
    pub refused: Vec<CompactString>,
}
