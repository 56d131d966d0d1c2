//! How tightly tasks are packed when more work waits than there is room for.

use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

use crate::{
    bench::{
        cell::Cell,
        measures::{
            CAPACITY,
            Error,
            Options,
            WORKERS, //
        },
        report::{
            Line,
            Target, //
        }, //
    },
    resources::Resources, //
};

/// Jobs that wait, each of one task: about twice what there is room for.
const JOB_COUNT: usize = 800;

/// Rounds without a placement after which nothing more fits.
const IDLE_ROUNDS: usize = 3;

/// Runs the measure.
///
/// # Errors
///
/// Returns what is wrong with the experiment's own names.
pub fn run(options: &Options) -> Result<Vec<Line>, Error> {
    let demands = demands(options.seed);
    let ours = packing_ratio("best_fit", &demands)?;
    let plain = packing_ratio("first_fit", &demands)?;
    Ok(vec![Line {
        measure: "PACK",
        unit: "share of the scarcest resource in use, of the offline bound",
        ours,
        baseline: plain,
        against: "first fit".to_owned(),
        judged: ours,
        target: Target::Least(0.95),
    }])
}

/// Tasks of mixed shape: heavy in processors, heavy in memory, small ones.
fn demands(seed: u64) -> Vec<Resources> {
    let mut random = SmallRng::seed_from_u64(seed);
    let draw = |_| {
        let (millicores, memory) = match random.random_range(0..3) {
            0 => (
                random.random_range(3_000..9_000),
                random.random_range(1_024..8_192),
            ),
            1 => (
                random.random_range(500..2_500),
                random.random_range(12_000..34_000),
            ),
            _ => (
                random.random_range(250..1_500),
                random.random_range(256..4_096),
            ),
        };
        Resources {
            millicores,
            memory,
            accelerators: 0,
            slots: 1,
            connections: 0,
        }
    };
    (0..JOB_COUNT).map(draw).collect()
}

/// The share in use of the resource that is used most, over the share that any packing could use.
fn packing_ratio(pack: &str, demands: &[Resources]) -> Result<f64, Error> {
    let mut cell = Cell::new(WORKERS, CAPACITY, pack)?;
    for demand in demands {
        cell.accept(1, *demand)?;
    }
    let mut idle = 0;
    while idle < IDLE_ROUNDS {
        idle = match cell.plan().is_empty() {
            true => idle + 1,
            false => 0,
        };
    }
    let held = cell.workers.iter().filter(|(_, w)| w.usable());
    let used = held.fold([0.0; 5], |sum, (_, w)| add(sum, &w.capacity, &w.free));
    let shares = share(used);
    let wanted = demands
        .iter()
        .fold([0.0; 5], |sum, d| add(sum, d, &Resources::default()));
    let bound = share(wanted).min(1.0);
    Ok(shares / bound)
}

fn add(sum: [f64; 5], from: &Resources, less: &Resources) -> [f64; 5] {
    let mut sum = sum;
    let pairs = from.parts().into_iter().zip(less.parts());
    for (total, (a, b)) in sum.iter_mut().zip(pairs) {
        *total += f64::from(a.saturating_sub(b));
    }
    sum
}

/// The largest share of all workers' capacity in any dimension.
fn share(amounts: [f64; 5]) -> f64 {
    let pairs = amounts.into_iter().zip(CAPACITY.parts());
    let shares = pairs
        .filter(|(_, capacity)| *capacity > 0)
        .map(|(amount, capacity)| amount / (f64::from(capacity) * WORKERS as f64));
    shares.fold(0.0, f64::max)
}
