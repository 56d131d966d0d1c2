//! Measures the CPU cost of a scheduling decision for a request, on one core.

use std::{
    sync::Arc,
    time::Instant, //
};

use hdrhistogram::Histogram;

use crate::{
    bench::{
        arrivals::Work,
        measures::{
            self,
            Error,
            Options, //
        },
        pool::Pool,
        report::{
            Line,
            Target, //
        },
    },
    ids::Millis,
    kernel::{
        WorkerPool,
        requests::{
            Arrival,
            AttemptKey,
            Outcome,
            Requests, //
        }, //
    }, //
};

/// Number of workers of the large cell.
const LARGE_WORKERS: usize = 29_000;

/// Number of tasks that run in the large cell.
const LARGE_TASKS: u32 = 220_000;

/// Number of profiles in the large cell: three for each of 140 teams.
const LARGE_PROFILES: usize = 420;

/// Number of requests in progress in each cell.
const IN_PROGRESS: usize = 12;

/// Number of decisions per millisecond of simulated time.
const DECISIONS_PER_MS: usize = 5;

/// Result of a run.
struct Cost {
    /// Decisions per second.
    rate: f64,
    /// 99th percentile of the time of one decision, in milliseconds.
    p99: f64,
}

/// Runs the measure.
///
/// # Errors
///
/// Returns an error if a name or profile in the benchmark is invalid.
pub fn run(options: &Options) -> Result<Vec<Line>, Error> {
    let works = [measures::checks(0.5)?, measures::notices(0.5)?];
    let count = options.choose(1_000_000, 200_000) as usize;
    let share = f64::from(LARGE_TASKS) / (LARGE_WORKERS as f64 * f64::from(measures::SLOTS));
    let small = cost(&works, measures::WORKERS, share, count)?;
    let large = cost(&replicate(&works)?, LARGE_WORKERS, share, count)?;
    let plain = measures::plain(
        &works,
        &serde_json::json!({"route": "random", "order": "fifo", "shed": "full_queue"}),
    )?;
    let baseline = cost(&plain, measures::WORKERS, share, count)?;
    let against = "random route, FIFO, no shedding".to_owned();
    Ok(vec![
        Line {
            measure: "DECIDE.rate",
            unit: "requests a second through submit, next and finished, 48 workers, one core",
            ours: small.rate,
            baseline: baseline.rate,
            against: against.clone(),
            judged: small.rate,
            target: Target::Least(5_000.0),
        },
        Line {
            measure: "DECIDE.p99",
            unit: "p99 of submit and next, 48 workers, ms",
            ours: small.p99,
            baseline: baseline.p99,
            against,
            judged: small.p99,
            target: Target::Most(1.0),
        },
        Line {
            measure: "DECIDE.scale",
            unit: "cost of a request at 29,000 workers and 420 profiles, over that at 48 workers (both in us)",
            ours: 1e6 / large.rate,
            baseline: 1e6 / small.rate,
            against: "ours at 48 workers".to_owned(),
            judged: small.rate / large.rate,
            target: Target::Most(3.0),
        },
    ])
}

/// Repeats the given kinds of work under new names until there is one for each profile of the large
/// cell.
fn replicate(works: &[Work]) -> Result<Vec<Work>, Error> {
    let mut many = Vec::with_capacity(LARGE_PROFILES);
    for (i, work) in works.iter().cycle().take(LARGE_PROFILES).enumerate() {
        let mut work = work.clone();
        work.name = format!("{}-{i}", work.name).parse()?;
        many.push(work);
    }
    Ok(many)
}

/// Runs `count` requests through a kernel whose workers have `share` of their slots occupied.
fn cost(works: &[Work], workers: usize, share: f64, count: usize) -> Result<Cost, Error> {
    let mut pool = Pool::new(workers, measures::CAPACITY);
    fill(&mut pool, works, share);
    let mut kernel = Requests::new(Default::default(), 1);
    let mut open: Vec<AttemptKey> = Vec::with_capacity(IN_PROGRESS);
    let mut times = Histogram::<u64>::new_with_max(10_000_000_000, 3)
        .unwrap_or_else(|_| unreachable!("the bounds are constants within the allowed range"));
    let id: crate::ids::RequestId = "bench".parse()?;
    let begin = Instant::now();
    for i in 0..count {
        let now = Millis((i / DECISIONS_PER_MS) as u64);
        let work = &works[i % works.len()];
        let arrival = Arrival {
            id: id.clone(),
            profile_name: work.name.clone(),
            version: 1,
            profile: Arc::clone(&work.profile),
            deadline: 10_000,
            idempotency_key: None,
            forwarded: false,
        };
        let start = Instant::now();
        let admitted = kernel.submit(now, arrival).is_ok();
        let sends = kernel.dispatch(now, &mut pool);
        times.saturating_record(start.elapsed().as_nanos() as u64);
        debug_assert!(admitted && sends.len() == 1);
        open.extend(sends.into_iter().map(|d| d.attempt));
        if open.len() >= IN_PROGRESS {
            let done = open.swap_remove(i % IN_PROGRESS);
            kernel.finish_attempt(now, done, Outcome::Answered { took: 2 }, &mut pool);
        }
        if i % DECISIONS_PER_MS == 0 {
            kernel.tick(now);
        }
    }
    let rate = count as f64 / begin.elapsed().as_secs_f64();
    let p99 = times.value_at_quantile(0.99) as f64 / 1e6;
    Ok(Cost { rate, p99 })
}

/// Reserves a share of all slots, evenly across the workers.
fn fill(pool: &mut Pool, works: &[Work], share: f64) {
    let keys = pool.keys();
    let demand = works[0].profile.demand;
    let wanted = (pool.slots().1 as f64 * share) as usize;
    for i in 0..wanted {
        pool.reserve(keys[i % keys.len()], &demand);
    }
}
