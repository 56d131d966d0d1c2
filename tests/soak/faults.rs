//! The faults of a run: a seeded series that overlaps.

use std::time::Duration;

use rand::{
    Rng,
    rngs::SmallRng, //
};

use super::{
    proxy::Mode,
    standin::StoreFault, //
};

/// Longest time that an instance takes to stop when asked, in milliseconds: its settings, and a
/// little for a busy machine.
pub(super) const GRACE: u64 = 6_500;

/// One fault, or one piece of planned work.
#[derive(Debug, Clone, Copy)]
pub(super) enum Fault {
    /// The process is killed.
    Kill(usize),
    /// All processes are killed at once.
    KillAll,
    /// The process stands still.
    Freeze(usize),
    /// The process is asked to stop, and started again once it has ended.
    Stop(usize),
    /// The process is told that its settings have changed.
    Reload(usize),
    /// The path from an instance to the store is disturbed.
    StoreLink(usize, Mode),
    /// The path from callers to an instance is disturbed.
    FrontLink(usize, Mode),
    /// Open connections of callers to an instance are reset.
    FrontReset(usize),
    /// The path from all instances to a worker is disturbed.
    WorkerLink(usize, Mode),
    /// Open connections to a worker are reset.
    WorkerReset(usize),
    /// The store misbehaves for all.
    Store(StoreFault),
    /// The worker loses power and starts anew.
    Crash(usize),
    /// The worker loses the store, and with it its registration, and runs on.
    Unlist(usize),
    /// The worker says that it leaves, goes, and another one comes.
    Leave(usize),
    /// The configuration changes.
    Configure,
}

/// A fault with its times, in milliseconds from the beginning.
#[derive(Debug, Clone, Copy)]
pub(super) struct Planned {
    pub(super) at: u64,
    pub(super) lasts: u64,
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

/// Unplanned faults until `until`, milliseconds.
pub(super) fn series(
    rng: &mut SmallRng,
    instances: usize,
    workers: usize,
    until: u64,
) -> Vec<Planned> {
    let mut planned = Vec::new();
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
        let lasts = rng.random_range(200..4_000);
        planned.push(Planned { at, lasts, fault });
        at += rng.random_range(100..1_800);
    }
    planned
}

/// Planned work alone until `until`, milliseconds.
pub(super) fn upkeep(
    rng: &mut SmallRng,
    instances: usize,
    workers: usize,
    until: u64,
) -> Vec<Planned> {
    let mut planned = Vec::new();
    let mut at = 0;
    while at < until {
        let fault = match rng.random_range(0..5) {
            0 | 1 => Fault::Stop(rng.random_range(0..instances)),
            2 => Fault::Reload(rng.random_range(0..instances)),
            3 => Fault::Leave(rng.random_range(0..workers)),
            _ => Fault::Configure,
        };
        planned.push(Planned {
            at,
            lasts: 0,
            fault,
        });
        at += rng.random_range(200..1_500);
    }
    planned
}
