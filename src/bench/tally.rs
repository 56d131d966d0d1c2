//! Collects the outcomes of a simulation run.

use hdrhistogram::Histogram;

use crate::bench::{
    arrivals::{
        Request,
        Work, //
    },
    sim::{
        Completion,
        Start, //
    },
};

/// Width of a goodput bucket, in milliseconds.
pub const BUCKET_MS: u64 = 500;

/// Longest time that a histogram records; longer times count as this.
const MAX_TIME_MS: u64 = 3_600_000;

/// Outcome of one arrival.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    /// Time of its first placement on a worker, in milliseconds.
    pub placed: Option<u64>,
    /// Time of its completion, in milliseconds.
    pub ended: Option<u64>,
    /// Whether the request was answered.
    pub answered: bool,
}

/// The outcomes of all arrivals.
#[derive(Debug, Clone)]
pub struct Tally {
    requests: Vec<Request>,
    deadlines: Vec<u64>,
    outcomes: Vec<Outcome>,
    /// Number of attempts beyond the first of each request.
    pub repeats: u64,
}

impl Tally {
    /// Creates a tally in which no arrival has an outcome yet.
    #[must_use]
    pub fn new(works: &[Work], requests: &[Request]) -> Self {
        let deadlines = works.iter().map(|w| w.profile.objective.deadline);
        Self {
            requests: requests.to_vec(),
            deadlines: deadlines.collect(),
            outcomes: vec![Outcome::default(); requests.len()],
            repeats: 0,
        }
    }

    /// Records the start of an attempt.
    pub fn started<A>(&mut self, now: u64, start: &Start<A>) {
        self.repeats += u64::from(start.repeat);
        self.outcomes[start.index].placed.get_or_insert(now);
    }

    /// Records the completion of a request.
    pub fn ended(&mut self, now: u64, completion: &Completion) {
        let outcome = &mut self.outcomes[completion.index];
        outcome.ended.get_or_insert(now);
        outcome.answered |= completion.answered;
    }

    /// Returns the number of arrivals.
    #[must_use]
    pub fn total(&self) -> usize {
        self.requests.len()
    }

    /// Returns the times from arrival to placement, in milliseconds, for arrivals in `span`. A
    /// request that was never placed counts with its whole deadline, so that refusing requests does
    /// not improve the figure.
    #[must_use]
    pub fn wait_times(&self, work: Option<usize>, span: std::ops::Range<u64>) -> Histogram<u64> {
        let mut waits = histogram();
        for (request, outcome) in self.select(work, span) {
            let waited = outcome.placed.map(|at| at - request.at);
            waits.saturating_record(waited.unwrap_or(self.deadlines[request.work]));
        }
        waits
    }

    /// Returns the times from arrival to the answer, in milliseconds, for arrivals in `span`. A
    /// request that was not answered counts with at least its deadline.
    #[must_use]
    pub fn latencies(&self, work: Option<usize>, span: std::ops::Range<u64>) -> Histogram<u64> {
        let mut totals = histogram();
        for (request, outcome) in self.select(work, span) {
            let deadline = self.deadlines[request.work];
            let took = outcome.ended.map_or(deadline, |at| at - request.at);
            totals.saturating_record(if outcome.answered {
                took
            } else {
                took.max(deadline)
            });
        }
        totals
    }

    /// Returns the share of arrivals in `span` that were answered before their deadline.
    #[must_use]
    pub fn in_time(&self, work: Option<usize>, span: std::ops::Range<u64>) -> f64 {
        let (mut all, mut good) = (0_u32, 0_u32);
        for (request, outcome) in self.select(work, span) {
            all += 1;
            good += u32::from(self.is_good(request, outcome));
        }
        f64::from(good) / f64::from(all.max(1))
    }

    /// Returns the slot time within `span` that was spent on requests answered before their
    /// deadline, in milliseconds. Only the part of a run that lies in the span counts.
    #[must_use]
    pub fn useful_time(&self, span: std::ops::Range<u64>) -> f64 {
        let mut useful = 0;
        for (request, outcome) in self.requests.iter().zip(&self.outcomes) {
            let Some(ended) = outcome.ended.filter(|_| self.is_good(request, outcome)) else {
                continue;
            };
            let from = ended.saturating_sub(request.run_time).max(span.start);
            useful += ended.min(span.end).saturating_sub(from);
        }
        useful as f64
    }

    /// Returns the number of requests answered before their deadline, by the bucket of their end.
    #[must_use]
    pub fn goodput(&self, end: u64) -> Vec<u32> {
        let mut buckets = vec![0; (end / BUCKET_MS) as usize + 1];
        for (request, outcome) in self.requests.iter().zip(&self.outcomes) {
            let Some(ended) = outcome.ended.filter(|_| self.is_good(request, outcome)) else {
                continue;
            };
            if let Some(count) = buckets.get_mut((ended / BUCKET_MS) as usize) {
                *count += 1;
            }
        }
        buckets
    }

    fn is_good(&self, request: &Request, outcome: &Outcome) -> bool {
        let in_time = |at: u64| at - request.at <= self.deadlines[request.work];
        outcome.answered && outcome.ended.is_some_and(in_time)
    }

    fn select(
        &self,
        work: Option<usize>,
        span: std::ops::Range<u64>,
    ) -> impl Iterator<Item = (&Request, &Outcome)> {
        let pairs = self.requests.iter().zip(&self.outcomes);
        pairs.filter(move |(request, _)| {
            span.contains(&request.at) && work.is_none_or(|work| work == request.work)
        })
    }
}

/// Creates a histogram with three significant digits.
fn histogram() -> Histogram<u64> {
    let made = Histogram::new_with_bounds(1, MAX_TIME_MS, 3);
    made.unwrap_or_else(|_| unreachable!("the bounds are constants within the allowed range"))
}
