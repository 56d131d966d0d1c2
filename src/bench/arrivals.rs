//! Generates arrivals with a time-varying rate and heavy-tailed run times.

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

/// Highest rate factor that [`generate`] supports, as a multiple of the load of a kind of work.
pub const MAX_RATE: f64 = 20.0;

/// One kind of work in an experiment.
#[derive(Debug, Clone)]
pub struct Work {
    /// Name of the profile.
    pub name: ProfileName,
    /// Profile of the requests.
    pub profile: Arc<Profile>,
    /// Distribution of run times.
    pub times: RunTimes,
    /// Share of all slots that the work keeps busy at a rate factor of one.
    pub load: f64,
}

/// A distribution of run times.
#[derive(Debug, Clone, Copy)]
pub enum RunTimes {
    /// Log-normal distribution.
    LogNormal {
        /// Mean run time, in milliseconds.
        mean: f64,
        /// Standard deviation of the natural logarithm.
        sigma: f64,
    },
    /// Pareto distribution, truncated at `most`.
    Pareto {
        /// Shortest run time, in milliseconds.
        least: f64,
        /// Longest run time, in milliseconds.
        most: f64,
        /// Tail exponent.
        alpha: f64,
    },
}

/// One request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Arrival time, in milliseconds from the start.
    pub at: u64,
    /// Index of the kind of work.
    pub work: usize,
    /// Run time, in milliseconds.
    pub run_time: u64,
}

impl RunTimes {
    /// Returns the mean run time, in milliseconds.
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

/// Generates the arrivals of all kinds of work until `end` milliseconds, sorted by time.
///
/// `rate` returns the factor on the load of a kind of work, given its index and a time in
/// milliseconds. Every kind has its own random stream, so that adding one leaves the arrivals of
/// the others unchanged.
#[must_use]
pub fn generate(
    works: &[Work],
    slots: u32,
    end: u64,
    seed: u64,
    rate: &dyn Fn(usize, u64) -> f64,
) -> Vec<Request> {
    let mut requests = Vec::new();
    for (i, work) in works.iter().enumerate() {
        let mut random = SmallRng::seed_from_u64(seed ^ (i as u64).wrapping_mul(0x9e37_79b9));
        let unit = work.load * f64::from(slots) / work.times.mean();
        let mut at = 0.0;
        loop {
            // Thinning: candidates arrive at the highest rate and are kept with the probability
            // that gives the current rate.
            at += -(1.0 - random.random::<f64>()).ln() / (MAX_RATE * unit);
            if at >= end as f64 {
                break;
            }
            if random.random::<f64>() * MAX_RATE >= rate(i, at as u64) {
                continue;
            }
            requests.push(Request {
                at: at as u64,
                work: i,
                run_time: work.times.draw(&mut random),
            });
        }
    }
    requests.sort_by_key(|r| r.at);
    requests
}

/// Draws a standard normal value with the Box-Muller transform.
fn normal(random: &mut SmallRng) -> f64 {
    let u: f64 = 1.0 - random.random::<f64>();
    let v: f64 = random.random();
    (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}
