//! Settings of an instance of the cell, as provided by the platform.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use compact_str::CompactString;

use super::access;

/// CPU share that keeps up with one megabit per second of an owner's traffic, in millicores.
const MILLICORES_PER_MBIT: u32 = 10;

/// Settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Cell {
    /// Name of the instance.
    pub instance: CompactString,
    /// Availability zone of the instance.
    pub zone: CompactString,
    /// CPU share of the instance, in millicores.
    pub cpu_millicores: u32,
    /// Bandwidth of the instance's network link, in kilobits per second; `None` if not limited.
    pub link_kbps: Option<u32>,
    /// Number of connections that the process may have open.
    pub max_connections: usize,
    /// Listening address for callers.
    pub front: SocketAddr,
    /// Listening address for readiness checks.
    pub ready: SocketAddr,
    /// Listening address for metrics, if configured.
    pub admin: Option<SocketAddr>,
    /// Listening address for other instances.
    pub peer: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the placement policy, if there is one.
    pub policy: Option<SocketAddr>,
    /// Maximum size of one append to the store, in bytes.
    pub max_append: usize,
    /// Time between the request to stop and the kill of the process.
    pub shutdown_grace: Duration,
    /// Longest lease that a worker grants.
    pub max_lease: Duration,
    /// Longest time that a task takes to stop.
    pub stop_timeout: Duration,
    /// Time for which a member of a gang waits for the others.
    pub gang_timeout: Duration,
    /// Retention time for the state of a finished job.
    pub retention: Duration,
    /// Time after which a worker's registration must be known.
    pub contact: Duration,
    /// Rules for the keys of callers.
    pub access: access::Rules,
    /// Whether tasks that slow each other down are detected and kept apart.
    pub sharing: bool,
}

impl Cell {
    /// Capacity of the instance to own the cell, in millicores: the CPU share, or less if the
    /// network link is the bottleneck.
    #[must_use]
    pub fn strength(&self) -> u32 {
        let link = self.link_kbps.unwrap_or(u32::MAX);
        let carried = u64::from(link) * u64::from(MILLICORES_PER_MBIT) / 1_000;
        self.cpu_millicores
            .min(u32::try_from(carried.max(1)).unwrap_or(u32::MAX))
    }

    /// Bandwidth of the instance's network link, in bytes per second.
    #[must_use]
    pub fn link_bytes(&self) -> Option<u64> {
        self.link_kbps.map(|kbps| u64::from(kbps) * 125)
    }
}
