//! The commands of the control port, and what it shows.

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

/// Which workers a command is for: those named and those of the zones named; with neither, all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Select {
    /// Workers by id.
    pub workers: Vec<WorkerId>,
    /// Workers by availability zone.
    pub zones: Vec<ZoneId>,
}

/// One command. `on` switches a fault on or off.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Sets how the log behaves.
    Log {
        /// Up, or out in some way.
        mode: faults::Mode,
    },
    /// Sets how the list behaves.
    List {
        /// Up, or out in some way.
        mode: faults::Mode,
    },
    /// Stops or resumes updates of the list.
    FreezeList {
        /// Whether updates stop.
        on: bool,
    },
    /// Sets the list's lag.
    ListLag {
        /// In milliseconds.
        lag: u64,
    },
    /// Lets the next appends take effect without an answer.
    LoseAppends {
        /// How many.
        count: u32,
        /// What their callers see.
        mode: faults::Mode,
    },
    /// Lets every append wait before it takes effect.
    DelayAppends {
        /// In milliseconds.
        delay: u64,
    },
    /// Ends the workers' processes.
    Crash {
        /// Which workers.
        #[serde(default)]
        target: Select,
    },
    /// Ends the workers' processes and begins new lives.
    Restart {
        /// Which workers.
        #[serde(default)]
        target: Select,
    },
    /// Pauses the workers' processes, or lets them go on with what came in meanwhile.
    Hang {
        /// Which workers.
        #[serde(default)]
        target: Select,
        /// Whether they pause.
        on: bool,
    },
    /// Lets the workers fail everything at once.
    Failing {
        /// Which workers.
        #[serde(default)]
        target: Select,
        /// Whether they fail.
        on: bool,
    },
    /// Lets the workers do their work and answer with errors that say nothing of the outcome.
    Errors {
        /// Which workers.
        #[serde(default)]
        target: Select,
        /// Whether they do.
        on: bool,
    },
    /// Lets the workers send only half of each answer.
    CutAnswers {
        /// Which workers.
        #[serde(default)]
        target: Select,
        /// Whether they do.
        on: bool,
    },
    /// Lets the workers hold their answers back after the work.
    Late {
        /// Which workers.
        #[serde(default)]
        target: Select,
        /// In milliseconds; zero for none.
        delay: u64,
    },
    /// Makes the workers slower.
    Slow {
        /// Which workers.
        #[serde(default)]
        target: Select,
        /// How many times, in hundredths; 100 is normal.
        factor: u64,
    },
    /// Lets the workers leave, or stay after all.
    Leaving {
        /// Which workers.
        #[serde(default)]
        target: Select,
        /// Whether they leave.
        on: bool,
    },
    /// Ends the workers for good.
    Gone {
        /// Which workers.
        #[serde(default)]
        target: Select,
    },
    /// Silences the connections to the workers that are open now.
    Silence {
        /// Which workers.
        #[serde(default)]
        target: Select,
    },
    /// Silences the connections to the platform that are open now.
    SilencePlatform,
    /// Cuts an availability zone off from the platform and from all other zones, or mends that.
    CutZone {
        /// Which.
        zone: ZoneId,
        /// Whether it is cut off.
        on: bool,
    },
    /// Cuts an availability zone off from the platform alone, or mends that.
    CutPlatform {
        /// Which.
        zone: ZoneId,
        /// Whether it is cut off.
        on: bool,
    },
    /// Cuts two availability zones off from each other, or mends that.
    CutPair {
        /// One.
        one: ZoneId,
        /// The other.
        other: ZoneId,
        /// Whether they are cut off.
        on: bool,
    },
    /// Sets the service time of requests that do not say.
    Service {
        /// The new time.
        time: settings::Service,
    },
    /// Sets what the list says of an entry instance.
    Entry {
        /// Which.
        id: InstanceId,
        /// What the platform believes of it.
        #[schemars(with = "String")]
        state: list::State,
        /// Its life; absent to leave it as it is.
        #[serde(default)]
        boot: Option<WorkerIncarnation>,
    },
}

/// What a worker shows at the control port.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// Its id.
    pub id: WorkerId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether its process is alive.
    pub up: bool,
    /// Its life.
    pub boot: WorkerIncarnation,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Its faults.
    pub faults: faults::Worker,
    /// Tasks that may execute.
    pub tasks: usize,
    /// Requests in progress.
    pub requests: usize,
}

/// All that the control port shows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Faults of the platform.
    pub platform: faults::Platform,
    /// Links that are cut.
    pub cuts: faults::Cuts,
    /// Whether the list is frozen.
    pub frozen: bool,
    /// The list's lag, in milliseconds.
    pub lag: u64,
    /// The oldest offset that the log keeps.
    pub first: Offset,
    /// The next offset of the log.
    pub next: Offset,
    /// The service time of requests.
    pub service: settings::Service,
    /// The workers, in the order of their ports.
    pub workers: Vec<WorkerView>,
}

/// Why a command was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unknown {
    /// The first name in it that is not known.
    #[serde(rename = "unknown")]
    pub name: CompactString,
}

/// How many workers, instances or connections a command reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reached {
    /// How many.
    pub reached: usize,
}

/// Work that its callers were told did not run, by the names in the bodies of its requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Witness {
    /// The names.
    pub refused: Vec<CompactString>,
}
