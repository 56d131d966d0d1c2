//! Settings of an instance of the cell, as provided by the platform.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use compact_str::CompactString;

use super::access;

/// CPU share that keeps up with one megabit per second of an owner's traffic, in millicores.
const MILLICORES_PER_MBIT: u32 = 10;

/// Largest message between instances, in bytes.
const MAX_PEER_BODY: usize = 4 << 20;

/// What one connection takes without its request's body, in bytes: the buffers of the HTTP library
/// and the state of its task.
const CONNECTION_BYTES: usize = 32 << 10;

/// What the clients of one address may take of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Number of connections.
    pub connections: usize,
    /// Bytes of the heads and bodies of requests, and of decoded jobs.
    pub bytes: usize,
}

/// Limits on what clients, other instances and accepted jobs take of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Share of callers. Default: half of the descriptors for connections, as far as these fit into an
    /// eighth of the memory, and another eighth of the memory.
    pub callers: Share,
    /// Share of readiness checks, and that of metrics. Default: a sixteenth of the descriptors, 8 to
    /// 64, and 1/64 of the memory.
    pub ready: Share,
    /// Share of other instances. Default: a quarter of the descriptors, and a sixteenth of the memory,
    /// at least two messages of the largest size.
    pub peers: Share,
    /// Memory of the jobs that an owner accepts, by estimate, in bytes. Default: a quarter.
    pub job_bytes: usize,
    /// Memory of the specifications that an instance keeps to relay start commands, in bytes.
    /// Default: 1/32, at most 4 MiB.
    pub spec_bytes: usize,
    /// Largest head of a request, in bytes. Default: 32 KiB, twice the platform's limit of headers.
    pub head_bytes: usize,
    /// Time for a head, in milliseconds. Default: 3,000, the platform's limit.
    pub head_time: u64,
    /// Time without a byte of a body, in milliseconds. Default: 5,000, more than a caller's usual
    /// deadline.
    pub body_time: u64,
    /// Time for a whole body, in milliseconds. Default: 30,000.
    pub body_span: u64,
    /// Time without a byte of an answer that is taken, in milliseconds. Default: 5,000.
    pub answer_time: u64,
    /// Time to close a connection whose client still sends, in milliseconds. Default: 2,000.
    pub close_time: u64,
}

impl Limits {
    /// Limits of a machine with `memory` bytes whose process may open `connections`.
    #[must_use]
    pub fn new(memory: usize, connections: usize) -> Self {
        let part = memory / 8;
        Self {
            callers: Share {
                connections: (connections / 2).min(part / CONNECTION_BYTES).max(16),
                bytes: part,
            },
            ready: Share {
                connections: (connections / 16).clamp(8, 64),
                bytes: memory / 64,
            },
            peers: Share {
                connections: (connections / 4).max(16),
                bytes: (memory / 16).max(2 * MAX_PEER_BODY),
            },
            job_bytes: memory / 4,
            spec_bytes: (memory / 32).min(4 << 20),
            head_bytes: 32 << 10,
            head_time: 3_000,
            body_time: 5_000,
            body_span: 30_000,
            answer_time: 5_000,
            close_time: 2_000,
        }
    }
}

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
    /// Limits on clients, other instances and accepted jobs.
    pub limits: Limits,
    /// Part by which the running tasks of an organisation may exceed its cap.
    pub cap_overage: f64,
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
