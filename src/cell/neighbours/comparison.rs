//! Comparison of the runs of a pair with other runs of the same kind.

use super::{
    estimate::{
        self,
        Difference,
        Sample, //
    },
    evidence::{
        Evidence,
        Pair,
        REFUTED_RATIO, //
    },
    kinds::{
        Kind,
        MAX_KINDS, //
    },
};

/// Number of runs of a kind after which its usual ratio is known.
const USUAL_RUNS: usize = 6;

/// Time before and after a run from which samples show the worker's own slowdown, in milliseconds.
const WORKER_SPAN_MS: u64 = 15_000;

/// Time by which a run without the other kind may precede the first run beside it, in milliseconds:
/// what has changed since would count as interference.
const MATCH_MS: u64 = 10_000;

/// Number of runs of a pair after which it is learned although another kind was there each time.
const TOGETHER_RUNS: usize = 32;

/// Share of the runs of a pair from which another kind that was there may be the cause. A kind that was
/// there less often does not move the median.
const RIVAL_SHARE: f64 = 0.5;

/// Share by which such a kind was there more often than beside the runs that they are compared with.
const RIVAL_EXCESS: f64 = 0.4;

/// Number of runs before a run, and after it, that show what is usual at its time.
const LEVEL_RUNS: usize = 5;

/// Fewest such runs on each side. With 3, a pair with a ratio of 2 was learned from 21 of its runs instead
/// of at most 20.
const MIN_LEVEL_RUNS: usize = 2;

/// Time before and after a run in which they end, in milliseconds.
const LEVEL_SPAN_MS: u64 = 5_000;

/// What is usual at a time, from runs without the other kind in order of their ends: the larger one of
/// the medians before and after, so that a change on all workers does not count as interference.
/// `None` if there are too few.
fn level(apart: &[Sample], at: u64) -> Option<f64> {
    let first = apart.partition_point(|s| s.at + LEVEL_SPAN_MS < at);
    let last = apart.partition_point(|s| s.at <= at + LEVEL_SPAN_MS);
    let (from, to) = (
        apart.partition_point(|s| s.at < at),
        apart.partition_point(|s| s.at <= at),
    );
    let before = &apart[first.max(to.saturating_sub(LEVEL_RUNS))..to];
    let after = &apart[from..last.min(from + LEVEL_RUNS)];
    let median = |runs: &[Sample]| estimate::median(runs.iter().map(|s| s.value));
    let known = before.len().min(after.len()) >= MIN_LEVEL_RUNS;
    known.then(|| median(before).max(median(after)))
}

/// Runs relative to what is usual at their time, as far as that is known.
fn relative_to(apart: &[Sample], runs: impl Iterator<Item = Sample>) -> Vec<Sample> {
    let relative = runs.filter_map(|s| {
        let value = s.value - level(apart, s.at)?;
        Some(Sample { value, ..s })
    });
    relative.collect()
}

impl Evidence {
    /// Usual values of the kinds of a set, each over its runs that were not beside kind `by`.
    fn usual_without(&self, by: Kind, kinds: u64) -> [Option<f64>; MAX_KINDS] {
        let mut usual = [None; MAX_KINDS];
        for kind in Kind::all_of(kinds) {
            let slowed = by.bit() | self.slowed_by[kind.index()];
            let runs = self.kinds[kind.index()].iter();
            let runs = runs.filter(|s| s.overlapped & slowed == 0);
            let values: Vec<f64> = runs.map(|s| s.value).collect();
            if values.len() >= USUAL_RUNS {
                usual[kind.index()] = Some(estimate::median(values.into_iter()));
            }
        }
        usual
    }

    /// Own slowdown of a worker around the time of a run beside kind `by`, as a logarithm, from runs of
    /// other kinds that were not beside that kind; `None` if there are none. A kind that slows down all
    /// others would look like a slow worker otherwise, and what is usual for a kind that only uses slow
    /// workers is slow.
    fn slowdown(&self, run: &Sample, by: Kind, usual: &[Option<f64>; MAX_KINDS]) -> Option<f64> {
        let list = self.workers.get(run.worker)?;
        let clean = |(kind, s): &&(Kind, Sample)| {
            let slowed = s.overlapped & (by.bit() | self.slowed_by[kind.index()]) != 0;
            *kind != by && s.at.abs_diff(run.at) <= WORKER_SPAN_MS && !slowed
        };
        let deviations = list.iter().filter(clean);
        let deviations = deviations.filter_map(|(kind, s)| Some(s.value - usual[kind.index()]?));
        let deviations: Vec<f64> = deviations.collect();
        (!deviations.is_empty()).then(|| estimate::median(deviations.into_iter()))
    }

    /// Compares the runs of a pair with those of the same kind that were not beside the other one. Runs
    /// beside `others`, and beside kinds that are known to slow them down, are left out of both.
    pub(super) fn compare(&self, pair: &Pair, others: u64, now: u64) -> Option<Difference> {
        let (beside, apart) = self.groups(pair, others, now)?;
        estimate::compare(&beside, &apart, now)
    }

    /// Runs of a pair, and those that they are compared with, both relative to what is usual at their
    /// time.
    fn groups(&self, pair: &Pair, others: u64, now: u64) -> Option<(Vec<Sample>, Vec<Sample>)> {
        let known = self.slowed_by[pair.slowed.index()];
        let excluded = (known | others) & !pair.by.bit();
        let counts = |s: &&Sample| s.is_recent(now) && s.overlapped & excluded == 0;
        let beside = pair.beside.iter().filter(counts);
        let lists = beside.clone().filter_map(|s| self.workers.get(s.worker));
        let kinds = lists.flatten().fold(0, |set, (kind, _)| set | kind.bit());
        let usual = self.usual_without(pair.by, kinds);
        let beside = beside.map(|s| {
            // Nothing is added for a fast worker, so that a mistake makes the difference smaller.
            let slowdown = self.slowdown(s, pair.by, &usual);
            Sample {
                value: s.value - slowdown.unwrap_or(0.0).max(0.0),
                baselined: slowdown.is_some(),
                ..*s
            }
        });
        let beside: Vec<Sample> = beside.collect();
        let first = beside.iter().map(|s| s.at).min()?;
        let apart = self.kinds[pair.slowed.index()].iter().filter(counts);
        let apart = apart.filter(|s| s.overlapped & pair.by.bit() == 0);
        let apart: Vec<Sample> = apart.copied().collect();
        let matched = apart.iter().filter(|s| s.at + MATCH_MS >= first);
        let matched = relative_to(&apart, matched.copied());
        let beside = relative_to(&apart, beside.into_iter());
        Some((beside, matched))
    }

    /// Whether no other kind that was often there explains the difference of a pair.
    pub(super) fn is_cause(&self, pair: &Pair, now: u64) -> bool {
        let Some((beside, apart)) = self.groups(pair, 0, now) else {
            return false;
        };
        let share = |list: &[Sample], kind: Kind| {
            let there = list.iter().filter(|s| s.overlapped & kind.bit() != 0);
            there.count() as f64 / list.len().max(1) as f64
        };
        let there = beside.iter().fold(0, |set, s| set | s.overlapped);
        let rivals = Kind::all_of(there & !pair.by.bit()).filter(|kind| {
            let often = share(&beside, *kind);
            often >= RIVAL_SHARE && often >= share(&apart, *kind) + RIVAL_EXCESS
        });
        let slows = |d: Difference| d.ratio >= REFUTED_RATIO;
        let together = pair.beside.len() >= TOGETHER_RUNS;
        rivals.into_iter().all(|rival| {
            let own = self.compare(pair, rival.bit(), now).map(slows);
            let other = self.position(pair.slowed, rival).ok();
            let other = other.and_then(|at| self.compare(&self.pairs[at], pair.by.bit(), now));
            let theirs = other.map(slows);
            // Of two kinds that stay together for many runs, either may be the cause.
            own.unwrap_or(theirs == Some(false) || theirs.is_none() && together)
        })
    }
}
