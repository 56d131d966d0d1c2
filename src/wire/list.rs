//! The platform's list of instances, over HTTP: `GET /v1/instances`. The list lags behind the
//! actual state.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::ids::{
    Millis,
    RackId,
    RegionId,
    WorkerIncarnation,
    ZoneId, //
};

/// Role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The instance runs an entry process.
    Entry,
    /// The instance runs tasks and a backend server.
    Worker,
}

/// State of an instance as the platform sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In service, also while the instance cannot be reached.
    Live,
    /// About to be removed; the instance must not get new work.
    Leaving,
    /// Terminated permanently by the platform, with everything that ran on the instance.
    Gone,
}

/// Entry of the list: one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Id of the instance: an `InstanceId` or a `WorkerId`, depending on the role.
    pub id: CompactString,
    /// Role of the instance.
    pub role: Role,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Region of the instance.
    pub region: RegionId,
    /// Rack of the instance.
    pub rack: RackId,
    /// `IP:port` of the HTTP server of the instance.
    pub address: CompactString,
    /// `IP:port` that serves other entry instances; empty for a worker.
    pub peer: CompactString,
    /// State of the instance as the platform sees it.
    pub state: State,
    /// Incarnation of the instance; raised by every restart.
    #[serde(rename = "boot")]
    pub incarnation: WorkerIncarnation,
}

/// List of all instances at one point in time.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Listing {
    /// Time that the list describes, in milliseconds since 1970 on the platform's clock.
    pub at: Millis,
    /// Instances, sorted by id.
    pub instances: Vec<Instance>,
}
