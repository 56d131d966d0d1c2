//! The platform's lagging list of instances, by HTTP: `GET /v1/instances`.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::ids::{
    Boot,
    Millis,
    RackId,
    RegionId,
    ZoneId, //
};

/// What an instance is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Runs an entry process.
    Entry,
    /// Runs tasks and a backend server.
    Worker,
}

/// What the platform believes of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In service; also while it cannot be reached.
    Live,
    /// About to leave: it must get no new work.
    Leaving,
    /// Ended by the platform for good, with everything that ran there.
    Gone,
}

/// One instance of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its id: an `InstanceId` or a `WorkerId` by role.
    pub id: CompactString,
    /// What it is for.
    pub role: Role,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Its rack.
    pub rack: RackId,
    /// `IP:port` of its HTTP server.
    pub address: CompactString,
    /// `IP:port` for other entry instances; empty for a worker.
    pub peer: CompactString,
    /// What the platform believes of it.
    pub state: State,
    /// Its life; a restart raises it.
    pub boot: Boot,
}

/// The list.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Listing {
    /// When the list was true, on the platform's clock since 1970.
    pub at: Millis,
    /// The instances, sorted by id.
    pub instances: Vec<Instance>,
}
