//! Schedules of a run: seeded random faults, which may overlap, and planned maintenance.

use std::time::Duration;

use rand::{
    Rng,
    rngs::SmallRng, //
};

use super::{
    delivery::{
        Manners,
        PathCut, //
    },
    proxy::Mode,
    standin::StoreFault, //
};

/// Longest time in which an instance must stop when asked, in milliseconds: the timeout of its
/// settings plus a margin for a busy machine.
pub(super) const STOP_MS: u64 = 6_500;

/// Time after which leases on a silent worker have lapsed, in milliseconds, with a margin.
const LEASE_MS: u64 = 7_500;

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
    /// The worker crashes and starts again under its id, within a second.
    Restart(usize),
    /// The worker loses its connection to the store, and so its registration, and keeps running.
    Unlist(usize),
    /// The worker announces that it leaves, stops, and is replaced by another one.
    Leave(usize),
    /// A new version of the configuration is published.
    Configure,
    /// The process is paused while answers of the store to it are on their way; they arrive once it
    /// goes on.
    HoldAndFreeze(usize),
    /// The present owner and those that follow it are paused or killed, each soon after its claim.
    Succession([Blow; 3]),
    /// Paths between instances and workers are cut.
    Cut(PathCut),
    /// Paths from the present owner are cut, or those from all other instances.
    OwnerCut { others: bool, cut: PathCut },
    /// Some workers, one bit each, carry commands out late or not at all.
    Manners(u64, Manners),
    /// The worker announces that it leaves and loses its registration, but runs on for a while.
    Retire(usize),
    /// The worker runs on without a registration, stops, and is replaced by another one.
    Retired(usize),
    /// The worker's capacity shrinks to some eighths of the usual one.
    Shrink(usize, u32),
}

/// Fault of an owner's process.
#[derive(Debug, Clone, Copy)]
pub(super) struct Blow {
    /// Time after the owner's claim, in milliseconds.
    pub(super) delay: u64,
    /// Time for which the process is paused or gone, in milliseconds.
    pub(super) duration: u64,
    /// Whether the process is killed, not paused.
    pub(super) kill: bool,
    /// Whether answers of the store are held back before the pause.
    pub(super) hold: bool,
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

/// Draws outages of the store, and beside them pauses, kills and stops of instances, that start before
/// `until`, in milliseconds.
pub(super) fn outages(
    rng: &mut SmallRng,
    instances: usize,
    _workers: usize,
    until: u64,
) -> Vec<Scheduled> {
    let mut scheduled = Vec::new();
    let mut at = 1_000;
    while at < until {
        let down = StoreFault {
            down: true,
            ..StoreFault::default()
        };
        scheduled.push(Scheduled {
            at,
            duration: rng.random_range(1_200..3_000),
            fault: Fault::Store(down),
        });
        let i = rng.random_range(0..instances);
        let fault = match rng.random_range(0..6) {
            0 => Some(Fault::Kill(i)),
            1 => Some(Fault::Freeze(i)),
            2 => Some(Fault::Stop(i)),
            _ => None,
        };
        scheduled.extend(fault.map(|fault| Scheduled {
            at: at + rng.random_range(0..3_000),
            duration: rng.random_range(500..3_000),
            fault,
        }));
        at += rng.random_range(2_500..4_500);
    }
    scheduled.sort_by_key(|scheduled| scheduled.at);
    scheduled
}

/// Draws kills of instances and crashes of workers that start before `until`, in milliseconds.
pub(super) fn crashes(
    rng: &mut SmallRng,
    instances: usize,
    workers: usize,
    until: u64,
) -> Vec<Scheduled> {
    let mut scheduled = Vec::new();
    let mut at = 2_000;
    while at < until {
        let fault = match rng.random_range(0..5) {
            0 => Fault::Kill(rng.random_range(0..instances)),
            _ => Fault::Crash(rng.random_range(0..workers)),
        };
        scheduled.push(Scheduled {
            at,
            duration: rng.random_range(2_000..4_000),
            fault,
        });
        at += rng.random_range(500..3_500);
    }
    scheduled
}

/// Draws random faults, and beside them workers whose capacity shrinks, to nothing at times.
pub(super) fn shrinking_faults(
    rng: &mut SmallRng,
    instances: usize,
    workers: usize,
    until: u64,
) -> Vec<Scheduled> {
    let mut scheduled = random_faults(rng, instances, workers, until);
    let mut at = 500;
    while at < until {
        let fault = Fault::Shrink(rng.random_range(0..workers), rng.random_range(0..8));
        scheduled.push(Scheduled {
            at,
            duration: rng.random_range(500..9_000),
            fault,
        });
        at += rng.random_range(200..1_500);
    }
    scheduled.sort_by_key(|scheduled| scheduled.at);
    scheduled
}

/// Draws faults that let former owners, their successors and workers know different things, and
/// that start before `until`, in milliseconds.
pub(super) fn split_faults(
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
        let (fault, longest) = match rng.random_range(0..24) {
            0 | 1 => {
                scheduled.extend(eclipse(rng, workers, at));
                at += rng.random_range(300..2_500);
                continue;
            }
            2 | 3 => (succession(rng), 0),
            4..=7 => {
                let some = half(rng, workers);
                let cut = path_cut(rng, i, some);
                if rng.random() {
                    // The other half is reached by this owner alone.
                    let rest = !some & ((1 << workers) - 1);
                    let cut = path_cut(rng, i, rest);
                    scheduled.push(Scheduled {
                        at,
                        duration: rng.random_range(2_000..15_000),
                        fault: Fault::OwnerCut { others: true, cut },
                    });
                }
                let others = rng.random_range(0..3) == 0;
                (Fault::OwnerCut { others, cut }, 15_000)
            }
            8 | 9 => (Fault::Cut(path_cut(rng, i, 1 << w)), 15_000),
            10..=15 => {
                let some = match rng.random_range(0..3) {
                    0 => 1 << w,
                    1 => half(rng, workers),
                    _ => (1 << workers) - 1,
                };
                (Fault::Manners(some, manners(rng)), 8_000)
            }
            16..=18 => (Fault::Retire(w), 0),
            19 => (Fault::Unlist(w), 8_000),
            20 => (Fault::Crash(w), 2_000),
            _ => (Fault::Store(late_store(rng)), 5_000),
        };
        scheduled.push(Scheduled {
            at,
            duration: rng.random_range(2_000..=longest.max(2_000)),
            fault,
        });
        // What a worker or path does matters most while the owner changes.
        if rng.random() {
            let duration = 0;
            let (at, fault) = (at + rng.random_range(0..2_500), succession(rng));
            scheduled.push(Scheduled {
                at,
                duration,
                fault,
            });
        }
        at += rng.random_range(300..2_500);
    }
    scheduled.sort_by_key(|scheduled| scheduled.at);
    scheduled
}

/// Draws a pause of the owner that lasts longer than leases, after which it reaches the workers that
/// its successors do not reach, and no others.
fn eclipse(rng: &mut SmallRng, workers: usize, at: u64) -> Vec<Scheduled> {
    let all = (1 << workers) - 1;
    let dark = half(rng, workers);
    let duration = rng.random_range(15_000..20_000);
    let cut = |others: bool, workers: u64| Scheduled {
        at,
        duration,
        fault: Fault::OwnerCut {
            others,
            cut: PathCut {
                instances: 0,
                workers,
                answers: false,
            },
        },
    };
    let mut blows = blows(rng);
    blows[0] = Blow {
        delay: 0,
        duration: rng.random_range(2_000..15_000),
        kill: false,
        hold: rng.random(),
    };
    vec![
        cut(true, dark),
        cut(false, all & !dark),
        Scheduled {
            at,
            duration: 0,
            fault: Fault::Succession(blows),
        },
    ]
}

/// Draws a cut between the owner and half of the workers that is longer than a lease and leaves 3 s
/// of `span`, in milliseconds; none if the span is too short.
pub(super) fn last_cut(rng: &mut SmallRng, workers: usize, span: u64) -> Vec<Scheduled> {
    let longest = span.saturating_sub(3_000);
    if longest <= LEASE_MS {
        return Vec::new();
    }
    let half = half(rng, workers);
    let cut = path_cut(rng, 0, half);
    vec![Scheduled {
        at: 0,
        duration: rng.random_range(LEASE_MS..longest),
        fault: Fault::OwnerCut { others: false, cut },
    }]
}

pub(super) fn succession(rng: &mut SmallRng) -> Fault {
    Fault::Succession(blows(rng))
}

fn blows(rng: &mut SmallRng) -> [Blow; 3] {
    std::array::from_fn(|_| Blow {
        delay: rng.random_range(0..2_000),
        duration: rng.random_range(2_000..9_000),
        kill: rng.random_range(0..3) == 0,
        hold: rng.random(),
    })
}

fn path_cut(rng: &mut SmallRng, instance: usize, workers: u64) -> PathCut {
    PathCut {
        instances: 1 << instance,
        workers,
        answers: rng.random_range(0..3) == 0,
    }
}

/// Draws half of the workers, one bit each.
fn half(rng: &mut SmallRng, workers: usize) -> u64 {
    let drawn = rand::seq::index::sample(rng, workers, workers / 2);
    drawn.into_iter().fold(0, |set, at| set | 1 << at)
}

fn manners(rng: &mut SmallRng) -> Manners {
    Manners {
        late: rng.random_range(50..500),
        unwell: rng.random_range(0..500),
    }
}

fn late_store(rng: &mut SmallRng) -> StoreFault {
    let mut fault = StoreFault::default();
    match rng.random_range(0..3) {
        0 => fault.slow = rng.random_range(50..300),
        1 => fault.lossy = rng.random_range(150..500),
        _ => fault.behind = true,
    }
    fault
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
