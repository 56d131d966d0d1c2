//! What one placement of a task costs the planner, in real time on one core.

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

/// Workers of the large cell, all held by one instance.
const LARGE: usize = 29_000;

/// Tasks of a job.
const TASKS: u32 = 20;

/// Slots that run tasks in the large cell before the placements that are counted.
const FILLED: u32 = 220_000;

/// What a run showed.
struct Cost {
    /// Placements a second.
    rate: f64,
    /// 99th percentile of a placement: of a round, divided by its placements, in milliseconds.
    tail: f64,
}

/// Runs the measure.
///
/// # Errors
///
/// Returns what is wrong with the experiment's own names.
pub fn run(options: &Options) -> Result<Vec<Line>, Error> {
    let small = cost(WORKERS, "best_fit", 0, 12)?;
    let plain = cost(WORKERS, "first_fit", 0, 12)?;
    let filled = options.span(u64::from(FILLED), u64::from(FILLED) / 4);
    let workers = options.span(LARGE as u64, LARGE as u64 / 4) as usize;
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
            ours: small.tail,
            baseline: plain.tail,
            against: "first fit".to_owned(),
            judged: small.tail,
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

/// Fills `filled` slots, then counts the placements of `jobs` jobs.
fn cost(workers: usize, pack: &str, filled: u32, jobs: u32) -> Result<Cost, Error> {
    let demand = Resources {
        millicores: 250,
        memory: 256,
        accelerators: 0,
        slots: 1,
        connections: 0,
    };
    let mut cell = Cell::new(workers, CAPACITY, pack)?;
    for _ in 0..filled / TASKS {
        cell.accept(TASKS, demand)?;
    }
    while !cell.place().is_empty() {}
    for _ in 0..jobs {
        cell.accept(TASKS, demand)?;
    }
    let mut tails = Histogram::<u64>::new_with_bounds(1, 60_000_000_000, 3);
    let mut placed = 0;
    let begin = Instant::now();
    loop {
        let round = Instant::now();
        let claims = cell.place();
        let count: usize = claims.iter().map(|c| c.tasks.len()).sum();
        if count == 0 {
            break;
        }
        placed += count;
        let each = round.elapsed().as_nanos() as u64 / count as u64;
        if let Ok(tails) = &mut tails {
            tails.saturating_record_n(each, count as u64);
        }
    }
    let took = begin.elapsed().as_secs_f64();
    let tail = tails.map_or(f64::NAN, |t| t.value_at_quantile(0.99) as f64 / 1e6);
    Ok(Cost {
        rate: placed as f64 / took,
        tail,
    })
}
