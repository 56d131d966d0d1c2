//! Estimate of how much longer runs take beside another kind, from two groups of runs.
//!
//! The groups are compared by weighted medians, so that single late reports and estimates that are far
//! off have no effect. Only a difference that is clear by several standard errors counts: a pair that
//! is believed without cause costs placements, and one that is missed costs nothing new.

use crate::cell::job::{
    JobKey,
    WorkerKey, //
};

/// Age from which a sample does not count, in milliseconds.
pub const MAX_AGE_MS: u64 = 60_000;

/// Age at which a sample counts half, in milliseconds.
const HALF_LIFE_MS: f64 = 20_000.0;

/// Fewest workers on which the runs of each group ran.
const MIN_WORKERS: usize = 4;

/// Fewest jobs of the runs of each group.
const MIN_JOBS: usize = 4;

/// Fewest independent runs beside the other kind.
const MIN_BESIDE: f64 = 6.0;

/// Fewest independent runs without the other kind.
const MIN_APART: f64 = 8.0;

/// Fewest workers on which the runs beside the other kind ran if the own slowdown of too few is known:
/// it is unlikely that most of so many are slow, and a kind that never leaves its workers would not be
/// noticed otherwise.
const MIN_UNKNOWN_WORKERS: usize = 12;

/// Most runs on one worker that count as independent: what slows a worker for some time affects all of
/// them.
const MOST_ON_WORKER: usize = 3;

/// Smallest ratio of run times that counts as interference.
const MIN_RATIO: f64 = 1.3;

/// Smallest difference that counts as interference, in standard errors. Some thousand comparisons a
/// minute are made, and none of them may pass by chance.
const MIN_SCORE: f64 = 5.0;

/// Spread of the logarithm of run times that is assumed before there are samples.
const ASSUMED_SPREAD: f64 = 0.5;

/// Number of runs that the assumed spread counts for.
const ASSUMED_RUNS: f64 = 4.0;

/// Standard deviation of a normal distribution as a multiple of its median absolute deviation.
const DEVIATION_SCALE: f64 = 1.482_6;

/// Variance of a median as a multiple of that of a mean.
const MEDIAN_VARIANCE: f64 = 1.57;

/// Duration of a run, compared with its estimate.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Worker of the run.
    pub worker: WorkerKey,
    /// Job of the run.
    pub job: JobKey,
    /// Local time of the end, in milliseconds.
    pub at: u64,
    /// Natural logarithm of the duration relative to the estimate.
    pub value: f64,
    /// Whether the worker's own slowdown is known and was removed.
    pub baselined: bool,
    /// Kinds that ran beside the run for more than a tenth of its time.
    pub overlapped: u64,
}

impl Sample {
    /// Whether the sample still counts at local time `now`, in milliseconds.
    #[must_use]
    pub fn is_recent(&self, now: u64) -> bool {
        self.at + MAX_AGE_MS > now
    }
}

/// Difference between the runs beside a kind and those without it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Difference {
    /// Typical run time beside the kind, relative to that without it.
    pub ratio: f64,
    /// Difference in standard errors.
    pub score: f64,
    /// Number of runs beside the kind.
    pub runs: usize,
    /// Number of workers on which they ran.
    pub workers: usize,
    /// Number of their jobs.
    pub jobs: usize,
    /// Number of runs without the kind.
    pub others: usize,
}

impl Difference {
    /// Whether the kind slows the runs down beyond doubt.
    #[must_use]
    pub fn is_clear(&self) -> bool {
        self.ratio >= MIN_RATIO && self.score >= MIN_SCORE
    }
}

/// Median of the values; 0 if there are none.
#[must_use]
pub fn median(values: impl Iterator<Item = f64>) -> f64 {
    weighted_median(values.map(|value| (value, 1.0)).collect())
}

/// Value at which half of the weight is reached.
fn weighted_median(mut values: Vec<(f64, f64)>) -> f64 {
    values.sort_by(|(one, _), (other, _)| one.total_cmp(other));
    let half = values.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let mut sum = 0.0;
    for (i, (value, weight)) in values.iter().enumerate() {
        sum += weight;
        let next = values.get(i + 1).map_or(*value, |(next, _)| *next);
        if sum > half {
            return *value;
        }
        if sum == half {
            return (value + next) / 2.0;
        }
    }
    0.0
}

fn weight(sample: &Sample, now: u64) -> f64 {
    (-(now.saturating_sub(sample.at) as f64) / HALF_LIFE_MS).exp2()
}

/// Group of runs.
struct Group {
    median: f64,
    /// Median absolute deviation, scaled to a standard deviation.
    spread: f64,
    /// Number of independent runs that the group is worth.
    size: f64,
    runs: usize,
    workers: usize,
    jobs: usize,
}

impl Group {
    fn new(samples: &[Sample], now: u64) -> Self {
        let weights: Vec<f64> = samples.iter().map(|s| weight(s, now)).collect();
        let pairs = |value: &dyn Fn(&Sample) -> f64| {
            let values = samples.iter().map(value);
            values.zip(weights.iter().copied()).collect::<Vec<_>>()
        };
        let median = weighted_median(pairs(&|s| s.value));
        let spread = weighted_median(pairs(&|s| (s.value - median).abs())) * DEVIATION_SCALE;
        let sum: f64 = weights.iter().sum();
        let squares: f64 = weights.iter().map(|weight| weight * weight).sum();
        let weighted = if squares > 0.0 {
            sum * sum / squares
        } else {
            0.0
        };
        let mut jobs: Vec<JobKey> = samples.iter().map(|s| s.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        let mut workers: Vec<WorkerKey> = samples.iter().map(|s| s.worker).collect();
        workers.sort_unstable();
        let (mut count, mut independent) = (0, 0);
        for runs in workers.chunk_by(|one, other| one == other) {
            count += 1;
            independent += runs.len().min(MOST_ON_WORKER);
        }
        // The estimates of one job are wrong in the same way.
        let independent = independent.min(jobs.len());
        Self {
            median,
            spread,
            size: weighted.min(independent as f64),
            runs: samples.len(),
            workers: count,
            jobs: jobs.len(),
        }
    }

    fn is_broad(&self, least: f64) -> bool {
        self.size >= least && self.workers >= MIN_WORKERS && self.jobs >= MIN_JOBS
    }

    /// Variance of the values, with `assumed` for what few samples cannot show.
    fn variance(&self, assumed: f64) -> f64 {
        let shown = self.size * self.spread * self.spread;
        (shown + ASSUMED_RUNS * assumed) / (self.size + ASSUMED_RUNS)
    }
}

/// Compares runs `beside` a kind with those `apart` from it; `None` if there are too few.
#[must_use]
pub fn compare(beside: &[Sample], apart: &[Sample], now: u64) -> Option<Difference> {
    let baselined = beside.iter().filter(|s| s.baselined).copied();
    let baselined = Group::new(&baselined.collect::<Vec<_>>(), now);
    let all = Group::new(beside, now);
    let far = Group::new(apart, now);
    let near = match baselined.is_broad(MIN_BESIDE) {
        false if all.workers >= MIN_UNKNOWN_WORKERS => all,
        _ => baselined,
    };
    if !near.is_broad(MIN_BESIDE) || !far.is_broad(MIN_APART) {
        return None;
    }
    let usual = far.variance(ASSUMED_SPREAD * ASSUMED_SPREAD);
    let variance = near.variance(usual) / near.size + usual / far.size;
    let difference = near.median - far.median;
    Some(Difference {
        ratio: difference.exp(),
        score: difference / (MEDIAN_VARIANCE * variance).sqrt(),
        runs: near.runs,
        workers: near.workers,
        jobs: near.jobs,
        others: apart.len(),
    })
}
