//! Schedule of the mode `reborn`: workers that start again under their ids while commands to them
//! are carried out late, and are cut off soon after.

use rand::{
    Rng,
    rngs::SmallRng,
    seq::IndexedRandom, //
};

use super::{
    delivery::{
        ALL_INSTANCES,
        Manners,
        PathCut, //
    },
    faults::{
        self,
        Fault,
        Scheduled, //
    }, //
};

/// Draws such workers, and owners that are killed or paused meanwhile, from faults that start before
/// `until`, in milliseconds.
pub(super) fn reborn_faults(
    rng: &mut SmallRng,
    instances: usize,
    workers: usize,
    until: u64,
) -> Vec<Scheduled> {
    let mut scheduled = Vec::new();
    // End of the last series of each worker.
    let mut ends = vec![0; workers];
    let mut at = 1_000;
    while at < until {
        let free: Vec<usize> = (0..workers).filter(|w| ends[*w] <= at).collect();
        if let Some(w) = free.choose(rng) {
            let (series, end) = rebirth(rng, *w, at);
            scheduled.extend(series);
            ends[*w] = end;
        }
        at += rng.random_range(500..2_000);
    }
    let mut at = rng.random_range(4_000..8_000);
    while at < until {
        let i = rng.random_range(0..instances);
        let fault = match rng.random_range(0..5) {
            0 | 1 => Fault::Kill(i),
            2 | 3 => Fault::Freeze(i),
            _ => faults::succession(rng),
        };
        scheduled.push(Scheduled {
            at,
            duration: rng.random_range(1_000..6_000),
            fault,
        });
        at += rng.random_range(3_000..9_000);
    }
    scheduled.sort_by_key(|scheduled| scheduled.at);
    scheduled
}

/// Draws one series of faults of a worker: some commands to it are carried out late, it starts again
/// under its id, all instances lose it, and at times it starts once more meanwhile. Returns the end
/// of the series too, in milliseconds.
fn rebirth(rng: &mut SmallRng, worker: usize, at: u64) -> (Vec<Scheduled>, u64) {
    let manners = Manners {
        late: rng.random_range(100..=400),
        unwell: 0,
    };
    let crash = at + rng.random_range(1_000..2_500);
    let down = rng.random_range(300..1_000);
    let cut_at = crash + down + rng.random_range(500..2_500);
    let dark = rng.random_range(4_000..9_000);
    let cut = PathCut {
        instances: ALL_INSTANCES,
        workers: 1 << worker,
        answers: false,
    };
    let entry = |at: u64, duration: u64, fault: Fault| Scheduled {
        at,
        duration,
        fault,
    };
    let mut series = vec![
        entry(at, cut_at - at, Fault::Manners(1 << worker, manners)),
        entry(crash, down, Fault::Restart(worker)),
        entry(cut_at, dark, Fault::Cut(cut)),
    ];
    if rng.random_range(0..3) == 0 {
        let crash = cut_at + rng.random_range(500..3_000);
        let down = rng.random_range(300..1_000);
        series.push(entry(crash, down, Fault::Restart(worker)));
    }
    (series, cut_at + dark)
}
