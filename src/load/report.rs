//! Aggregates samples into the report.

use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    load::{
        sample::{
            CLASSES,
            Class,
            Sample, //
        },
        schedule::Arrival, //
    },
    standin::judge::Verdict,
    wire::caller::Code, //
};

/// Longest time that a histogram records, in microseconds: one hour. Longer times count as this.
const MAX_MICROS: u64 = 3_600_000_000;

/// Significant decimal digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Microseconds per second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Most faults that the report lists in detail.
const MAX_FAULTS: usize = 50;

/// Percentiles of a set of times, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Number of times.
    pub count: u64,
    /// Median, in microseconds.
    pub p50: u64,
    /// 90th percentile, in microseconds.
    pub p90: u64,
    /// 99th percentile, in microseconds.
    pub p99: u64,
    /// 99.9th percentile, in microseconds.
    pub p999: u64,
    /// Maximum, in microseconds.
    pub max: u64,
}

/// Figures of one profile, over all its arrivals or over those at the peak of bursts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Name of the profile.
    pub profile: CompactString,
    /// Whether the row covers only the arrivals at the peak of bursts.
    pub crest: bool,
    /// Number of arrivals that were sent.
    pub sent: u64,
    /// Number of arrivals in each outcome class, in the order of [`CLASSES`].
    pub classes: [u64; 8],
    /// Share of arrivals in [`Class::Good`], 0 to 1.
    pub good: f64,
    /// Times from the intended send time to the complete response or the end of the job, for the
    /// arrivals that were answered.
    pub latency: Percentiles,
    /// Times from the intended send time until a job was seen to have left the queue.
    pub wait: Percentiles,
}

/// Figures of the arrivals whose intended send time lies in one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Number of arrivals that were sent.
    pub sent: u64,
    /// Number of arrivals in [`Class::Good`].
    pub good: u64,
    /// Latencies of the arrivals that were answered.
    pub latency: Percentiles,
}

/// Number of arrivals of a profile with a given outcome class and error code.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RefusalCount {
    /// Name of the profile.
    pub profile: CompactString,
    /// Error code; absent when the response held none.
    pub code: Option<Code>,
    /// Class of the outcome.
    pub class: Class,
    /// Number of arrivals.
    pub count: u64,
}

/// A response in [`Class::Wrong`] or [`Class::Doubled`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Name of the work.
    pub work: CompactString,
    /// Class of the outcome.
    pub class: Class,
    /// Human-readable description of the fault.
    pub detail: String,
}

/// Report of a run of the load generator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Rows sorted by profile, with a second row for the peak where the profile has bursts.
    pub rows: Vec<Row>,
    /// Delays between the intended and the actual send times.
    pub lag: Percentiles,
    /// Counts of the arrivals that were not answered, by profile, code and class, sorted.
    pub refused: Vec<RefusalCount>,
    /// Wrong and doubled responses; only the first fifty are listed.
    pub faults: Vec<Fault>,
    /// Figures of each second from the start.
    pub seconds: Vec<Second>,
    /// Verdict of the stand-in's judge, if it was requested.
    pub judge: Option<Verdict>,
}

impl Report {
    /// Computes the report from the arrivals and their samples.
    #[must_use]
    pub fn new(arrivals: &[Arrival], samples: &[Sample], judge: Option<Verdict>) -> Self {
        Self {
            rows: rows(arrivals, samples),
            lag: percentiles(samples.iter().map(|s| s.lag)),
            refused: refusals(arrivals, samples),
            faults: faults(arrivals, samples),
            seconds: seconds(samples),
            judge,
        }
    }

    /// Returns whether no response was wrong or doubled and the judge found no violation.
    #[must_use]
    pub fn passed(&self) -> bool {
        let judged = self.judge.as_ref();
        self.faults.is_empty() && judged.is_none_or(|j| j.counters.violations == 0)
    }
}

/// Returns whether the latency of a sample counts: its request got a complete response, or its job
/// succeeded.
fn answered(sample: &&Sample) -> bool {
    matches!(sample.class, Class::Good | Class::Late)
}

fn rows(arrivals: &[Arrival], samples: &[Sample]) -> Vec<Row> {
    let profile = |s: &Sample| arrivals[s.index].profile.as_str();
    let mut sorted: Vec<&Sample> = samples.iter().collect();
    sorted.sort_by_key(|s| profile(s));
    let mut rows = Vec::new();
    for group in sorted.chunk_by(|a, b| profile(a) == profile(b)) {
        rows.push(row(profile(group[0]), false, group));
        let crest = group.iter().filter(|s| arrivals[s.index].crest);
        let crest: Vec<&Sample> = crest.copied().collect();
        if !crest.is_empty() {
            rows.push(row(profile(group[0]), true, &crest));
        }
    }
    rows
}

fn row(profile: &str, crest: bool, samples: &[&Sample]) -> Row {
    let count = |class| samples.iter().filter(|s| s.class == class).count() as u64;
    let classes = CLASSES.map(count);
    let ended = samples.iter().copied().filter(answered);
    Row {
        profile: profile.into(),
        crest,
        sent: samples.len() as u64,
        classes,
        good: classes[0] as f64 / samples.len().max(1) as f64,
        latency: percentiles(ended.map(|s| s.latency)),
        wait: percentiles(samples.iter().filter_map(|s| s.wait)),
    }
}

fn seconds(samples: &[Sample]) -> Vec<Second> {
    let second = |s: &Sample| s.at / MICROS_PER_SECOND;
    let mut sorted: Vec<&Sample> = samples.iter().collect();
    sorted.sort_by_key(|s| s.at);
    let Some(last) = sorted.last() else {
        return Vec::new();
    };
    let mut seconds = vec![Second::default(); second(last) as usize + 1];
    for group in sorted.chunk_by(|a, b| second(a) == second(b)) {
        let ended = group.iter().copied().filter(answered);
        let good = group.iter().filter(|s| s.class == Class::Good);
        seconds[second(group[0]) as usize] = Second {
            sent: group.len() as u64,
            good: good.count() as u64,
            latency: percentiles(ended.map(|s| s.latency)),
        };
    }
    seconds
}

fn refusals(arrivals: &[Arrival], samples: &[Sample]) -> Vec<RefusalCount> {
    let failed = |s: &&Sample| !matches!(s.class, Class::Good | Class::Late);
    let one = |s: &Sample| RefusalCount {
        profile: arrivals[s.index].profile.as_str().into(),
        code: s.code,
        class: s.class,
        count: 1,
    };
    let mut all: Vec<_> = samples.iter().filter(failed).map(one).collect();
    all.sort();
    all.dedup_by(|next, kept| {
        let same = (&next.profile, next.code, next.class) == (&kept.profile, kept.code, kept.class);
        kept.count += u64::from(same);
        same
    });
    all
}

fn faults(arrivals: &[Arrival], samples: &[Sample]) -> Vec<Fault> {
    let faulty = |s: &&Sample| matches!(s.class, Class::Wrong | Class::Doubled);
    let one = |s: &Sample| Fault {
        work: arrivals[s.index].work.clone(),
        class: s.class,
        detail: s.detail.clone(),
    };
    let found = samples.iter().filter(faulty);
    found.take(MAX_FAULTS).map(one).collect()
}

fn percentiles(values: impl Iterator<Item = u64>) -> Percentiles {
    let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
    else {
        return Percentiles::default();
    };
    for value in values {
        histogram.saturating_record(value);
    }
    Percentiles {
        count: histogram.len(),
        p50: histogram.value_at_quantile(0.5),
        p90: histogram.value_at_quantile(0.9),
        p99: histogram.value_at_quantile(0.99),
        p999: histogram.value_at_quantile(0.999),
        max: histogram.max(),
    }
}
