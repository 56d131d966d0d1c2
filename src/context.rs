//! Inputs of the plug-ins. A plug-in decides from one of these values alone and accesses nothing
//! else.

use crate::{
    ids::Millis,
    resources::Resources, //
};

/// Network distance of a candidate from the instance where the work arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The same availability zone.
    Zone,
    /// Another availability zone of the region.
    Region,
    /// Another region; traffic between regions is billed by volume.
    Remote,
}

/// A worker that a request could be sent to. All candidates have enough free resources.
#[derive(Debug, Clone, Copy)]
pub struct Target {
    /// Free resources of the worker.
    pub free: Resources,
    /// Number of requests in progress on the worker.
    pub active: u32,
    /// Moving average of response times, in microseconds; zero when unknown.
    pub latency: u64,
    /// Moving average of the share of failed responses, 0 to 1.
    pub errors: f64,
    /// Network distance of the worker.
    pub distance: Distance,
}

/// Input of a `route` plug-in.
#[derive(Debug)]
pub struct Route<'a> {
    /// Candidates; never empty.
    pub targets: &'a [Target],
    /// Random number, drawn anew for each decision.
    pub random: u64,
    /// Sequence number of the decision among those of this profile, for round-robin policies.
    pub sequence: u64,
}

/// Input of an `order` plug-in: one waiting request or job.
#[derive(Debug, Clone, Copy)]
pub struct Order {
    /// Time of arrival.
    pub arrived: Millis,
    /// Time by which the work must be finished.
    pub deadline: Millis,
    /// Priority of the profile, 0 to 9; a higher value is more urgent.
    pub priority: u8,
    /// Expected run time, in milliseconds.
    pub estimate: u64,
    /// Virtual start time of start-time fair queueing, in milliseconds: the slot time that the team
    /// had used at the arrival, on a virtual clock that advances with the team served least.
    pub virtual_start: u64,
}

/// Input of a `shed` plug-in: a request at admission.
#[derive(Debug, Clone, Copy)]
pub struct Shed {
    /// Current time.
    pub now: Millis,
    /// Time by which the request must be finished.
    pub deadline: Millis,
    /// Expected run time, in milliseconds.
    pub estimate: u64,
    /// 95th percentile of the profile's run times, in milliseconds; zero when unknown.
    pub p95: u64,
    /// Expected waiting time for a slot, in milliseconds.
    pub wait: u64,
    /// Number of requests of the profile that already wait.
    pub queued: u32,
    /// Maximum number of waiting requests of the profile.
    pub limit: u32,
    /// Priority of the profile, 0 to 9.
    pub priority: u8,
    /// Share of the instance's queue capacity in use by all profiles, in thousandths.
    pub queue_fill: u32,
}

/// A worker that a task could be placed on. All candidates have enough free resources.
#[derive(Debug, Clone, Copy)]
pub struct Node {
    /// Free resources of the worker.
    pub free: Resources,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Number of tasks of the same job that are already placed in the worker's rack.
    pub rack_peers: u32,
    /// Moving average of the share of failed tasks, 0 to 1.
    pub errors: f64,
}

/// Input of a `pack` plug-in.
#[derive(Debug)]
pub struct Pack<'a> {
    /// Candidates; never empty.
    pub nodes: &'a [Node],
    /// Resources that the task takes.
    pub demand: Resources,
    /// How the tasks of the job are distributed over racks.
    pub racks: crate::profile::Racks,
    /// Random number, drawn anew for each decision.
    pub random: u64,
}
