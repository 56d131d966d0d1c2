//! Figures over all samples.

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

/// The longest time that is told apart, in microseconds: one hour.
const MAX_MICROS: u64 = 3_600_000_000;

/// Significant digits of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// The most faults that are kept in detail.
const MAX_FAULTS: usize = 50;

/// Percentiles of some times, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Percentiles {
    /// How many times there are.
    pub count: u64,
    /// The median.
    pub p50: u64,
    /// 90 in a hundred are below.
    pub p90: u64,
    /// 99 in a hundred are below.
    pub p99: u64,
    /// 999 in a thousand are below.
    pub p999: u64,
    /// The longest.
    pub max: u64,
}

/// Figures of one profile, or of a part of its work.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The profile.
    pub profile: CompactString,
    /// Whether it counts only what fell into the high part of bursts.
    pub crest: bool,
    /// Pieces of work.
    pub sent: u64,
    /// How many ended in each class, in the order of [`CLASSES`].
    pub classes: [u64; 8],
    /// The share that was good, 0 to 1.
    pub good: f64,
    /// Percentiles from the intended time to the whole answer or the end.
    pub latency: Percentiles,
    /// Percentiles from the intended time until a job was seen to run.
    pub wait: Percentiles,
}

/// Figures of one second of intended times.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Second {
    /// Pieces of work.
    pub sent: u64,
    /// Those that were good.
    pub good: u64,
    /// Percentiles of those that were answered.
    pub latency: Percentiles,
}

/// How often a code was told to callers of a profile.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RefusalCount {
    /// The profile.
    pub profile: CompactString,
    /// The code; absent when the answer held none.
    pub code: Option<Code>,
    /// The outcome.
    pub class: Class,
    /// How often.
    pub count: u64,
}

/// A wrong or doubled answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The work.
    pub work: CompactString,
    /// The outcome.
    pub class: Class,
    /// What is wrong.
    pub detail: String,
}

/// The whole report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Rows by profile, with a second row for the crest where there are bursts.
    pub rows: Vec<Row>,
    /// How much later than intended work was sent.
    pub lag: Percentiles,
    /// What was refused or failed, sorted.
    pub refused: Vec<RefusalCount>,
    /// Wrong and doubled answers; the first fifty are kept.
    pub faults: Vec<Fault>,
    /// One for each second from the start.
    pub seconds: Vec<Second>,
    /// What the stand-in's judge found, if it was asked.
    pub judge: Option<Verdict>,
}

impl Report {
    /// Works out the figures.
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

    /// Whether no answer was wrong or doubled and the judge found no violation.
    #[must_use]
    pub fn passed(&self) -> bool {
        let judged = self.judge.as_ref();
        self.faults.is_empty() && judged.is_none_or(|j| j.counters.violations == 0)
    }
}

/// Whether there is a whole answer, or an end of a job, whose time counts.
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
