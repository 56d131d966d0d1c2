//! Schedules of a run: seeded random faults, which may overlap, and planned maintenance.

use std::time::Duration;

use rand::{
    Rng,
    rngs::SmallRng, //
};

use super::{
    proxy::Mode,
    standin::StoreFault, //
};

/// Longest time in which an instance must stop when asked, in milliseconds: the timeout of its
/// settings plus a margin for a busy machine.
pub(super) const STOP_MS: u64 = 6_500;

/// Fault or maintenance action.
#[derive(Debug, Clone, Copy)]
pub(super) enum Fault {
    /// The instance's process is killed.
    Kill(usize),
    /// The processes of all instances are killed at once.
    KillAll,
    /// The process is paused.
    Freeze(usize),
    /// The process is asked to stop, and restarted once it has ended.
    Stop(usize),
    /// The process is asked to reload its settings.
    Reload(usize),
    /// The link from an instance to the store is disturbed.
    StoreLink(usize, Mode),
    /// The link from callers to an instance is disturbed.
    FrontLink(usize, Mode),
    /// The open connections of callers to an instance are reset.
    FrontReset(usize),
    /// The link from all instances to a worker is disturbed.
    WorkerLink(usize, Mode),
    /// The open connections to a worker are reset.
    WorkerReset(usize),
    /// The store is faulty for all its clients.
    Store(StoreFault),
    /// The worker loses power and restarts.
    Crash(usize),
    /// The worker loses its connection to the store, and so its registration, and keeps running.
    Unlist(usize),
    /// The worker announces that it leaves, stops, and is replaced by another one.
    Leave(usize),
    /// A new version of the configuration is published.
    Configure,
}

/// Fault with its start, in milliseconds from the start of the schedule, and its duration in
/// milliseconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct Scheduled {
    pub(super) at: u64,
    pub(super) duration: u64,
    pub(super) fault: Fault,
}

fn link(rng: &mut SmallRng) -> Mode {
    match rng.random_range(0..4) {
        0 => Mode::Silent,
        1 => Mode::OneWay,
        2 => Mode::Refuse,
        _ => Mode::Delay(Duration::from_millis(rng.random_range(20..400))),
    }
}

fn store_fault(rng: &mut SmallRng) -> StoreFault {
    let mut fault = StoreFault::default();
    match rng.random_range(0..3) {
        0 => fault.down = true,
        1 => fault.slow = rng.random_range(50..300),
        _ => fault.lossy = rng.random_range(150..500),
    }
    fault
}

/// Draws random faults that start before `until`, in milliseconds.
pub(super) fn random_faults(
    rng: &mut SmallRng,
    instances: usize,
    workers: usize,
    until: u64,
) -> Vec<Scheduled> {
    let mut scheduled = Vec::new();
    let mut at = 1_000;
    while at < until {
        let i = rng.random_range(0..instances);
        let w = rng.random_range(0..workers);
        let fault = match rng.random_range(0..22) {
            0..=2 => Fault::Kill(i),
            3 => Fault::KillAll,
            4 | 5 => Fault::Freeze(i),
            6 => Fault::Stop(i),
            7 => Fault::Reload(i),
            8 | 9 => Fault::StoreLink(i, link(rng)),
            10 => Fault::FrontLink(i, link(rng)),
            11 => Fault::FrontReset(i),
            12 | 13 => Fault::WorkerLink(w, link(rng)),
            14 => Fault::WorkerReset(w),
            15 | 16 => Fault::Store(store_fault(rng)),
            17 => Fault::Crash(w),
            18 => Fault::Leave(w),
            19 | 20 => Fault::Unlist(w),
            _ => Fault::Configure,
        };
        let duration = rng.random_range(200..4_000);
        scheduled.push(Scheduled {
            at,
            duration,
            fault,
        });
        at += rng.random_range(100..1_800);
    }
    scheduled
}

/// Draws maintenance actions that start before `until`, in milliseconds, without faults.
pub(super) fn maintenance(
    rng: &mut SmallRng,
    instances: usize,
    workers: usize,
    until: u64,
) -> Vec<Scheduled> {
    let mut scheduled = Vec::new();
    let mut at = 0;
    while at < until {
        let fault = match rng.random_range(0..5) {
            0 | 1 => Fault::Stop(rng.random_range(0..instances)),
            2 => Fault::Reload(rng.random_range(0..instances)),
            3 => Fault::Leave(rng.random_range(0..workers)),
            _ => Fault::Configure,
        };
        scheduled.push(Scheduled {
            at,
            duration: 0,
            fault,
        });
        at += rng.random_range(200..1_500);
    }
    scheduled
}
