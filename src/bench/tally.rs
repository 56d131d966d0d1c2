//! What an experiment counts.

use hdrhistogram::Histogram;

use crate::bench::{
    arrivals::{
        Job,
        Work, //
    },
    sim::{
        Final,
        Start, //
    },
};

/// Width of a goodput bucket, in milliseconds.
pub const BUCKET: u64 = 500;

/// Largest time that is told apart, in milliseconds.
const MOST: u64 = 3_600_000;

/// What became of one arrival.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fate {
    /// When it was first placed, in milliseconds.
    pub placed: Option<u64>,
    /// When it got its final step, in milliseconds.
    pub ended: Option<u64>,
    /// Whether that was an answer.
    pub answered: bool,
}

/// The fates of all arrivals.
#[derive(Debug, Clone)]
pub struct Tally {
    jobs: Vec<Job>,
    deadlines: Vec<u64>,
    fates: Vec<Fate>,
    /// Attempts beyond the first of a request.
    pub again: u64,
}

impl Tally {
    /// Nothing has happened yet.
    #[must_use]
    pub fn new(works: &[Work], jobs: &[Job]) -> Self {
        let deadlines = works.iter().map(|w| w.profile.objective.deadline);
        Self {
            jobs: jobs.to_vec(),
            deadlines: deadlines.collect(),
            fates: vec![Fate::default(); jobs.len()],
            again: 0,
        }
    }

    /// Counts a start.
    pub fn started<A>(&mut self, now: u64, start: &Start<A>) {
        self.again += u64::from(start.again);
        self.fates[start.index].placed.get_or_insert(now);
    }

    /// Counts a final step.
    pub fn ended(&mut self, now: u64, last: &Final) {
        let fate = &mut self.fates[last.index];
        fate.ended.get_or_insert(now);
        fate.answered |= last.answered;
    }

    /// How many arrivals there were.
    #[must_use]
    pub fn total(&self) -> usize {
        self.jobs.len()
    }

    /// Times from the intended send to the placement, for arrivals in `span`. What was never
    /// placed counts with its whole deadline, so that refusing does not look like speed.
    #[must_use]
    pub fn waits(&self, work: Option<usize>, span: std::ops::Range<u64>) -> Histogram<u64> {
        let mut waits = histogram();
        for (job, fate) in self.chosen(work, span) {
            let waited = fate.placed.map(|at| at - job.at);
            waits.saturating_record(waited.unwrap_or(self.deadlines[job.work]));
        }
        waits
    }

    /// Times from the intended send to the answer; what was not answered counts with its deadline
    /// at least.
    #[must_use]
    pub fn totals(&self, work: Option<usize>, span: std::ops::Range<u64>) -> Histogram<u64> {
        let mut totals = histogram();
        for (job, fate) in self.chosen(work, span) {
            let deadline = self.deadlines[job.work];
            let took = fate.ended.map_or(deadline, |at| at - job.at);
            totals.saturating_record(if fate.answered {
                took
            } else {
                took.max(deadline)
            });
        }
        totals
    }

    /// The share of arrivals in `span` that were answered in time.
    #[must_use]
    pub fn in_time(&self, work: Option<usize>, span: std::ops::Range<u64>) -> f64 {
        let (mut all, mut good) = (0_u32, 0_u32);
        for (job, fate) in self.chosen(work, span) {
            all += 1;
            good += u32::from(self.is_good(job, fate));
        }
        f64::from(good) / f64::from(all.max(1))
    }

    /// Slot time in `span` that was spent on work answered in time, in milliseconds. A run counts
    /// with the part of it that lies in the span.
    #[must_use]
    pub fn useful(&self, span: std::ops::Range<u64>) -> f64 {
        let mut useful = 0;
        for (job, fate) in self.jobs.iter().zip(&self.fates) {
            let Some(ended) = fate.ended.filter(|_| self.is_good(job, fate)) else {
                continue;
            };
            let from = ended.saturating_sub(job.takes).max(span.start);
            useful += ended.min(span.end).saturating_sub(from);
        }
        useful as f64
    }

    /// Requests answered in time, by the bucket of their end.
    #[must_use]
    pub fn goodput(&self, end: u64) -> Vec<u32> {
        let mut buckets = vec![0; (end / BUCKET) as usize + 1];
        for (job, fate) in self.jobs.iter().zip(&self.fates) {
            let Some(ended) = fate.ended.filter(|_| self.is_good(job, fate)) else {
                continue;
            };
            if let Some(count) = buckets.get_mut((ended / BUCKET) as usize) {
                *count += 1;
            }
        }
        buckets
    }

    fn is_good(&self, job: &Job, fate: &Fate) -> bool {
        let in_time = |at: u64| at - job.at <= self.deadlines[job.work];
        fate.answered && fate.ended.is_some_and(in_time)
    }

    fn chosen(
        &self,
        work: Option<usize>,
        span: std::ops::Range<u64>,
    ) -> impl Iterator<Item = (&Job, &Fate)> {
        let pairs = self.jobs.iter().zip(&self.fates);
        pairs.filter(move |(job, _)| {
            span.contains(&job.at) && work.is_none_or(|work| work == job.work)
        })
    }
}

/// A histogram with three digits.
fn histogram() -> Histogram<u64> {
    let made = Histogram::new_with_bounds(1, MOST, 3);
    made.unwrap_or_else(|_| unreachable!("the bounds are constants within the allowed range"))
}
