//! What a plug-in may see. Plug-ins get one of these values and reach for nothing else.

use crate::{
    ids::Millis,
    resources::Resources, //
};

/// How far a candidate is from where the work arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The same availability zone.
    Zone,
    /// Another availability zone of the region.
    Region,
    /// Another region; the traffic is billed by volume.
    Remote,
}

/// A worker that a request could be sent to. All candidates have room for it.
#[derive(Debug, Clone, Copy)]
pub struct Target {
    /// What is free on the worker.
    pub free: Resources,
    /// Requests in progress there.
    pub active: u32,
    /// Moving average of answer times, in microseconds; zero when unknown.
    pub latency: u64,
    /// Moving average of the share of failed answers, 0 to 1.
    pub errors: f64,
    /// How far it is.
    pub distance: Distance,
}

/// What a `route` plug-in sees.
#[derive(Debug)]
pub struct Route<'a> {
    /// The candidates; never empty.
    pub targets: &'a [Target],
    /// A random number, fresh for each decision.
    pub random: u64,
    /// Counts decisions of this profile, for rotating policies.
    pub turn: u64,
}

/// What an `order` plug-in sees of one waiting piece of work.
#[derive(Debug, Clone, Copy)]
pub struct Order {
    /// When it arrived.
    pub arrived: Millis,
    /// When it must have finished.
    pub deadline: Millis,
    /// The profile's priority, 0 to 9; a higher value is more urgent.
    pub priority: u8,
    /// How long it is expected to run, in milliseconds.
    pub estimate: u64,
    /// The slot time that the work's team had used at the arrival, in milliseconds of a virtual
    /// time that passes at the pace of the team served least.
    pub share: u64,
}

/// What a `shed` plug-in sees of a request that asks for admission.
#[derive(Debug, Clone, Copy)]
pub struct Shed {
    /// Now.
    pub now: Millis,
    /// When the request must have finished.
    pub deadline: Millis,
    /// How long it is expected to run, in milliseconds.
    pub estimate: u64,
    /// The run time that nearly all requests of the profile stay within, in milliseconds.
    pub tail: u64,
    /// How long it is expected to wait for a slot, in milliseconds.
    pub wait: u64,
    /// Requests of the profile that wait already.
    pub queued: u32,
    /// The most that may wait.
    pub limit: u32,
    /// The profile's priority, 0 to 9.
    pub priority: u8,
    /// How full the instance is with waiting requests of all profiles, in thousandths.
    pub crowd: u32,
}

/// A worker that a task could be placed on. All candidates have room for it.
#[derive(Debug, Clone, Copy)]
pub struct Node {
    /// What is free on the worker.
    pub free: Resources,
    /// What the worker has in all.
    pub capacity: Resources,
    /// Tasks of the same job that are placed in the same rack already.
    pub rack_peers: u32,
    /// Moving average of the share of failed tasks, 0 to 1.
    pub errors: f64,
}

/// What a `pack` plug-in sees.
#[derive(Debug)]
pub struct Pack<'a> {
    /// The candidates; never empty.
    pub nodes: &'a [Node],
    /// What the task takes.
    pub demand: Resources,
    /// How the job's tasks are laid over racks.
    pub racks: crate::profile::Racks,
    /// A random number, fresh for each decision.
    pub random: u64,
}
