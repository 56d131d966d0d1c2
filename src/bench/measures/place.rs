//! Measures the CPU cost of placing a task in the planner, on one core.

use std::time::Instant;

use hdrhistogram::Histogram;

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

/// Number of workers of the large cell, all leased by one instance.
const LARGE_WORKERS: usize = 29_000;

/// Number of tasks of a job.
const TASKS_PER_JOB: u32 = 20;

/// Number of occupied slots in the large cell before the measured placements.
const FILLED_SLOTS: u32 = 220_000;

/// Result of a run.
struct Cost {
    /// Placements per second.
    rate: f64,
    /// 99th percentile of the time of a placement, in milliseconds. The time of a round is divided
    /// by its placements.
    p99: f64,
}

/// Runs the measure.
///
/// # Errors
///
/// Returns an error if a name in the benchmark is invalid.
pub fn run(options: &Options) -> Result<Vec<Line>, Error> {
    let small = cost(WORKERS, "best_fit", 0, 12)?;
    let plain = cost(WORKERS, "first_fit", 0, 12)?;
    let filled = options.choose(u64::from(FILLED_SLOTS), u64::from(FILLED_SLOTS) / 4);
    let workers = options.choose(LARGE_WORKERS as u64, LARGE_WORKERS as u64 / 4) as usize;
    let large = cost(workers, "best_fit", filled as u32, 300)?;
    Ok(vec![
        Line {
            measure: "PLACE.rate",
            unit: "tasks placed a second, 48 workers, one core",
            ours: small.rate,
            baseline: plain.rate,
            against: "first fit".to_owned(),
            judged: small.rate,
            target: Target::Least(5_000.0),
        },
        Line {
            measure: "PLACE.p99",
            unit: "p99 of a placement, 48 workers, ms",
            ours: small.p99,
            baseline: plain.p99,
            against: "first fit".to_owned(),
            judged: small.p99,
            target: Target::Most(1.0),
        },
        Line {
            measure: "PLACE.scale",
            unit: "microseconds a placement in the large cell (a quarter of it in quick runs)",
            ours: 1e6 / large.rate,
            baseline: 1e6 / small.rate,
            against: "ours at 48 workers".to_owned(),
            judged: small.rate / large.rate,
            target: Target::Most(3.0),
        },
    ])
}

/// Fills `filled` slots, then measures the placement of `jobs` jobs.
fn cost(workers: usize, pack: &str, filled: u32, jobs: u32) -> Result<Cost, Error> {
    let demand = Resources {
        millicores: 250,
        memory: 256,
        accelerators: 0,
        slots: 1,
        connections: 0,
    };
    let mut cell = Cell::new(workers, CAPACITY, pack)?;
    for _ in 0..filled / TASKS_PER_JOB {
        cell.accept(TASKS_PER_JOB, demand)?;
    }
    while !cell.plan().is_empty() {}
    for _ in 0..jobs {
        cell.accept(TASKS_PER_JOB, demand)?;
    }
    let mut latencies = Histogram::<u64>::new_with_bounds(1, 60_000_000_000, 3);
    let mut placed = 0;
    let begin = Instant::now();
    loop {
        let round = Instant::now();
        let claims = cell.plan();
        let count: usize = claims.iter().map(|c| c.tasks.len()).sum();
        if count == 0 {
            break;
        }
        placed += count;
        let each = round.elapsed().as_nanos() as u64 / count as u64;
        if let Ok(latencies) = &mut latencies {
            latencies.saturating_record_n(each, count as u64);
        }
    }
    let took = begin.elapsed().as_secs_f64();
    let p99 = latencies.map_or(f64::NAN, |l| l.value_at_quantile(0.99) as f64 / 1e6);
    Ok(Cost {
        rate: placed as f64 / took,
        p99,
    })
}
