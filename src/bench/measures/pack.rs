//! Measures how tightly tasks are packed when the demand exceeds the capacity.

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

/// Number of waiting jobs of one task each: about twice what the workers can hold.
const JOB_COUNT: usize = 800;

/// Number of consecutive rounds without a placement after which the packing is complete.
const IDLE_ROUNDS: usize = 3;

/// Runs the measure.
///
/// # Errors
///
/// Returns an error if a name in the benchmark is invalid.
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

/// Draws the demands of tasks: a third CPU-heavy, a third memory-heavy and a third small.
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

/// Returns the used share of the resource with the highest use, divided by the highest share that
/// any packing could reach.
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

/// Returns the largest share of the workers' total capacity over all resources.
fn share(amounts: [f64; 5]) -> f64 {
    let pairs = amounts.into_iter().zip(CAPACITY.parts());
    let shares = pairs
        .filter(|(_, capacity)| *capacity > 0)
        .map(|(amount, capacity)| amount / (f64::from(capacity) * WORKERS as f64));
    shares.fold(0.0, f64::max)
}
