//! Messages between entry instances, as JSON-RPC over HTTP.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
        Incarnation,
        InstanceId,
        Offset,
        RegionId,
        ZoneId, //
    },
    resources::Resources,
    wire::log, //
};

/// Heartbeat that an instance sends to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Id of the sender.
    pub id: InstanceId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Availability zone of the sender.
    pub zone: ZoneId,
    /// Region of the sender.
    pub region: RegionId,
    /// `IP:port` at which the sender serves callers.
    pub address: CompactString,
    /// `IP:port` at which the sender serves peers.
    pub peer: CompactString,
    /// First offset that the sender has not applied yet.
    pub next: Offset,
    /// Whether the sender is shutting down and releasing its leases.
    pub leaving: bool,
    /// Free slots on the workers whose leases the sender holds.
    pub free: u32,
    /// Number of workers whose leases the sender holds.
    pub held: u32,
    /// Distinct worker capacities that the sender knows, sorted.
    #[serde(default)]
    pub shapes: Vec<Resources>,
}

/// Committed log entries from a peer, for an instance that cannot reach the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Tail {
    /// Entries from the requested offset, in order; empty when the peer has none.
    pub entries: Vec<log::Entry>,
    /// Snapshot of the state, set when the peer no longer keeps the requested entries.
    pub snapshot: Option<Snapshot>,
}

/// State of the ledger up to an offset.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Snapshot {
    /// First offset that the state does not include.
    pub next: Offset,
    /// Serialised state of the ledger.
    pub state: serde_json::Value,
}
