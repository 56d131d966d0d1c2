//! Settings of an instance of the cell, as the platform hands them out.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use compact_str::CompactString;

/// Settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Cell {
    /// Name of the instance.
    pub instance: CompactString,
    /// Its availability zone.
    pub zone: CompactString,
    /// Processor share of the instance, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address that says whether the instance takes callers.
    pub ready: SocketAddr,
    /// Address for metrics, where one is given.
    pub admin: Option<SocketAddr>,
    /// Address for other instances.
    pub peer: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the placement policy, where there is one.
    pub policy: Option<SocketAddr>,
    /// Most bytes of one append to the store.
    pub max_append: usize,
    /// Time from the request to stop until the process is killed.
    pub shutdown_grace: Duration,
    /// Longest lease that a worker grants.
    pub max_lease: Duration,
    /// Longest time that a task takes to stop.
    pub stop_timeout: Duration,
    /// How long a member of a gang waits for the others.
    pub gang_timeout: Duration,
    /// How long the state of a finished job is kept.
    pub retention: Duration,
}
