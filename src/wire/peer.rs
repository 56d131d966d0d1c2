//! Between entry instances, by JSON-RPC over HTTP.

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

/// What an instance tells its peers every heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who.
    pub id: InstanceId,
    /// Which life.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// `IP:port` for callers.
    pub address: CompactString,
    /// `IP:port` for peers.
    pub peer: CompactString,
    /// The first offset that it has not applied yet.
    pub next: Offset,
    /// Whether it is shutting down and gives up its leases.
    pub leaving: bool,
    /// Slots free on the workers it holds.
    pub free: u32,
    /// Workers it holds.
    pub held: u32,
    /// The different capacities of workers that it knows, sorted.
    #[serde(default)]
    pub shapes: Vec<Resources>,
}

/// Committed entries from a peer, for an instance that cannot reach the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Tail {
    /// The entries from the offset asked for, in order; empty when the peer has none.
    pub entries: Vec<log::Entry>,
    /// Set when the entries asked for are no longer kept: the whole state instead.
    pub snapshot: Option<Snapshot>,
}

/// The ledger's state up to an offset.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Snapshot {
    /// The first offset that is not in the state.
    pub next: Offset,
    /// The state.
    pub state: serde_json::Value,
}
