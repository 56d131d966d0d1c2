//! Generated arrivals: a rate that changes over time, and run times with heavy tails.

use std::sync::Arc;

use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

use crate::{
    ids::ProfileName,
    profile::Profile, //
};

/// The highest factor on a load.
pub const MAX_RATE: f64 = 20.0;

/// One kind of work in an experiment.
#[derive(Debug, Clone)]
pub struct Work {
    /// The name of its profile.
    pub name: ProfileName,
    /// Its profile.
    pub profile: Arc<Profile>,
    /// Its run times.
    pub times: RunTimes,
    /// The share of all slots that it keeps busy at a rate of one.
    pub load: f64,
}

/// A distribution of run times.
#[derive(Debug, Clone, Copy)]
pub enum RunTimes {
    /// Log-normal, by the mean in milliseconds and the deviation of the logarithm.
    LogNormal {
        /// Mean, in milliseconds.
        mean: f64,
        /// Standard deviation of the logarithm.
        sigma: f64,
    },
    /// Pareto, cut off at `most`.
    Pareto {
        /// Least, in milliseconds.
        least: f64,
        /// Most, in milliseconds.
        most: f64,
        /// The exponent of the tail.
        alpha: f64,
    },
}

/// One arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Job {
    /// When it is sent, in milliseconds.
    pub at: u64,
    /// The index of its kind of work.
    pub work: usize,
    /// How long it runs, in milliseconds.
    pub run_time: u64,
}

impl RunTimes {
    /// The mean, in milliseconds.
    #[must_use]
    pub fn mean(&self) -> f64 {
        match *self {
            RunTimes::LogNormal { mean, .. } => mean,
            RunTimes::Pareto { least, most, alpha } => {
                let cut = (least / most).powf(alpha);
                let scale = least * alpha / (alpha - 1.0) / (1.0 - cut);
                scale * (1.0 - (least / most).powf(alpha - 1.0))
            }
        }
    }

    fn draw(&self, random: &mut SmallRng) -> u64 {
        let value = match *self {
            RunTimes::LogNormal { mean, sigma } => {
                let middle = mean.ln() - sigma * sigma / 2.0;
                (middle + sigma * normal(random)).exp()
            }
            RunTimes::Pareto { least, most, alpha } => {
                let cut = 1.0 - (least / most).powf(alpha);
                let u = random.random::<f64>() * cut;
                least / (1.0 - u).powf(1.0 / alpha)
            }
        };
        value.round().max(1.0) as u64
    }
}

/// The arrivals of all kinds of work until `end` milliseconds, sorted by time.
///
/// `rate` gives the factor on a kind's load, by its index, at a point of time; every kind has its own random
/// stream, so that adding one kind leaves the others' arrivals as they are.
#[must_use]
pub fn generate(
    works: &[Work],
    slots: u32,
    end: u64,
    seed: u64,
    rate: &dyn Fn(usize, u64) -> f64,
) -> Vec<Job> {
    let mut jobs = Vec::new();
    for (i, work) in works.iter().enumerate() {
        let mut random = SmallRng::seed_from_u64(seed ^ (i as u64).wrapping_mul(0x9e37_79b9));
        let unit = work.load * f64::from(slots) / work.times.mean();
        let mut at = 0.0;
        loop {
            // Candidates come at the highest rate and are kept with the share that is due now.
            at += -(1.0 - random.random::<f64>()).ln() / (MAX_RATE * unit);
            if at >= end as f64 {
                break;
            }
            if random.random::<f64>() * MAX_RATE >= rate(i, at as u64) {
                continue;
            }
            jobs.push(Job {
                at: at as u64,
                work: i,
                run_time: work.times.draw(&mut random),
            });
        }
    }
    jobs.sort_by_key(|j| j.at);
    jobs
}

/// A standard normal value (Box and Muller).
fn normal(random: &mut SmallRng) -> f64 {
    let u: f64 = 1.0 - random.random::<f64>();
    let v: f64 = random.random();
    (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}
