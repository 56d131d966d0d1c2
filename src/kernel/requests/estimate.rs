//! Run-time estimate of a profile, from the responses to its requests.

/// Histogram buckets per doubling of the run time.
const BUCKETS_PER_DOUBLING: u64 = 4;

/// Total number of buckets; the last one begins above a day.
const BUCKETS: usize = 112;

/// Number of samples before the estimate is used for decisions.
const MIN_SAMPLES: u32 = 8;

/// Quantile that is used where nearly all requests have to finish in time.
const LIKELY_QUANTILE: f64 = 0.95;

/// Number of samples after which the weight of the older ones is halved.
const DECAY_SAMPLES: u32 = 2_048;

/// Histogram of run times with logarithmic buckets, in which older samples lose weight.
#[derive(Debug, Clone)]
pub struct Estimate {
    counts: [u32; BUCKETS],
    total: u32,
    sum: u64,
    prior: u64,
}

impl Estimate {
    /// Creates an estimate that returns `prior` milliseconds until the first sample.
    #[must_use]
    pub fn new(prior: u64) -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
            sum: 0,
            prior: prior.max(1),
        }
    }

    /// Adds a sample, in milliseconds.
    pub fn record(&mut self, took: u64) {
        if self.total >= DECAY_SAMPLES {
            self.decay();
        }
        if let Some(count) = self.counts.get_mut(bucket(took)) {
            *count += 1;
            self.total += 1;
            self.sum = self.sum.saturating_add(took.max(1));
        }
    }

    /// Quantile `q` of the run time, in milliseconds.
    #[must_use]
    pub fn quantile(&self, q: f64) -> u64 {
        if self.total == 0 {
            return self.prior;
        }
        let rank = (f64::from(self.total) * q).ceil() as u32;
        let mut seen = 0;
        for (i, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= rank.max(1) {
                return bucket_max(i);
            }
        }
        bucket_max(BUCKETS - 1)
    }

    /// Mean run time, in milliseconds.
    #[must_use]
    pub fn mean(&self) -> u64 {
        match self.total {
            0 => self.prior,
            total => (self.sum / u64::from(total)).max(1),
        }
    }

    /// Median run time in milliseconds, or zero while there are too few samples: no request may be
    /// refused because of a guess.
    #[must_use]
    pub fn median_or_zero(&self) -> u64 {
        match self.is_known() {
            true => self.quantile(0.5),
            false => 0,
        }
    }

    /// 95th percentile of the run time in milliseconds, or zero while there are too few samples.
    #[must_use]
    pub fn p95_or_zero(&self) -> u64 {
        match self.is_known() {
            true => self.quantile(LIKELY_QUANTILE),
            false => 0,
        }
    }

    /// Expected slot time of a request: the mean run time in milliseconds, or one while there are
    /// too few samples.
    #[must_use]
    pub fn cost(&self) -> u64 {
        match self.is_known() {
            true => self.mean(),
            false => 1,
        }
    }

    /// Returns whether there are enough samples to base decisions on.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.total >= MIN_SAMPLES
    }

    fn decay(&mut self) {
        let before = u64::from(self.total);
        for count in &mut self.counts {
            *count /= 2;
        }
        self.total = self.counts.iter().sum();
        self.sum = self.sum.saturating_mul(u64::from(self.total)) / before.max(1);
    }
}

/// Index of the bucket of a run time in milliseconds.
fn bucket(took: u64) -> usize {
    if took < BUCKETS_PER_DOUBLING {
        return took as usize;
    }
    let power = u64::from(took.ilog2());
    let step = (took >> (power - 2)) & (BUCKETS_PER_DOUBLING - 1);
    let at = (power - 1) * BUCKETS_PER_DOUBLING + step;
    (at as usize).min(BUCKETS - 1)
}

/// Largest run time of a bucket, in milliseconds.
fn bucket_max(at: usize) -> u64 {
    let at = at as u64;
    if at < BUCKETS_PER_DOUBLING {
        return at.max(1);
    }
    let power = at / BUCKETS_PER_DOUBLING + 1;
    let step = at % BUCKETS_PER_DOUBLING;
    ((BUCKETS_PER_DOUBLING + step + 1) << (power - 2)) - 1
}
