//! Samples of run times, and the pairs of kinds that are known to interfere.

use slotmap::SecondaryMap;

use crate::cell::job::{
    JobKey,
    WorkerKey, //
};

use super::{
    estimate::{
        self,
        Difference,
        Sample, //
    },
    kinds::{
        Kind,
        MAX_KINDS, //
    },
    presence::Overlap, //
};

/// Maximum number of pairs with samples.
pub const MAX_PAIRS: usize = 512;

/// Maximum number of samples of a kind.
const KIND_SAMPLES: usize = 128;

/// Maximum number of samples of a pair.
const PAIR_SAMPLES: usize = 48;

/// Maximum number of samples of a worker.
const WORKER_SAMPLES: usize = 24;

/// Interval at which a kind's pairs are examined, in milliseconds.
const EXAMINE_MS: u64 = 200;

/// Interval at which old samples are dropped, in milliseconds.
const SWEEP_MS: u64 = 1_000;

/// Ratio below which a known pair is given up. It is below the ratio at which a pair is learned, so
/// that no pair comes and goes with each sample.
pub(super) const REFUTED_RATIO: f64 = 1.15;

/// Largest excess of a pair, in hundredths of a run time.
const MAX_EXCESS: f64 = 10_000.0;

/// Kinds of which one may slow down the other.
#[derive(Debug)]
pub(super) struct Pair {
    pub(super) slowed: Kind,
    pub(super) by: Kind,
    /// Runs of the one kind beside the other.
    pub(super) beside: Vec<Sample>,
    /// Whether there are samples that were not examined.
    fresh: bool,
    /// Newest estimate, once the pair is known to interfere.
    known: Option<Difference>,
}

/// What has become of a pair.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// The pair is known to interfere.
    Learned,
    /// Newer runs do not confirm it.
    Refuted,
    /// The newest run of the pair is too old.
    Expired,
    /// One of the kinds has changed.
    Reset,
}

/// Change of a known pair.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// Kind that is slowed down.
    pub slowed: Kind,
    /// Kind that slows it down.
    pub by: Kind,
    /// What has become of the pair.
    pub verdict: Verdict,
    /// Newest estimate.
    pub difference: Difference,
}

/// Samples and known pairs.
#[derive(Debug)]
pub struct Evidence {
    /// Samples of each kind.
    pub(super) kinds: Vec<Vec<Sample>>,
    /// Sorted by both kinds.
    pub(super) pairs: Vec<Pair>,
    /// Samples of each worker.
    pub(super) workers: SecondaryMap<WorkerKey, Vec<(Kind, Sample)>>,
    /// Kinds that slow down each kind.
    pub(super) slowed_by: [u64; MAX_KINDS],
    /// Kinds that each kind slows down.
    slows: [u64; MAX_KINDS],
    /// Kinds with samples that were not examined.
    due: u64,
    examined_at: [u64; MAX_KINDS],
    swept_at: u64,
    changes: Vec<Change>,
}

impl Default for Evidence {
    fn default() -> Self {
        Self {
            kinds: vec![Vec::new(); MAX_KINDS],
            pairs: Vec::new(),
            workers: SecondaryMap::new(),
            slowed_by: [0; MAX_KINDS],
            slows: [0; MAX_KINDS],
            due: 0,
            examined_at: [0; MAX_KINDS],
            swept_at: 0,
            changes: Vec::new(),
        }
    }
}

/// Makes room for a sample at local time `now` in a list of at most `most`; returns whether it is to be
/// added. Once the list is half full, samples are spread over the time for which they count, so that
/// many runs in a short time do not displace all others.
fn make_room<T>(list: &mut Vec<T>, sample: impl Fn(&T) -> &Sample, most: usize, now: u64) -> bool {
    let spacing = estimate::MAX_AGE_MS / most as u64;
    let last = list.last().map(&sample);
    if list.len() >= most / 2 && last.is_some_and(|last| now < last.at + spacing) {
        return false;
    }
    list.retain(|s| sample(s).is_recent(now));
    if list.len() >= most {
        list.remove(0);
    }
    true
}

impl Evidence {
    pub(super) fn position(&self, slowed: Kind, by: Kind) -> Result<usize, usize> {
        let find = |pair: &Pair| (pair.slowed, pair.by).cmp(&(slowed, by));
        self.pairs.binary_search_by(find)
    }

    /// Adds a run that has ended on a worker; `value` is the logarithm of its duration relative to its
    /// estimate.
    pub fn add(&mut self, worker: WorkerKey, job: JobKey, value: f64, overlap: &Overlap, now: u64) {
        let kind = overlap.kind;
        let sample = Sample {
            worker,
            job,
            at: now,
            value,
            baselined: true,
            overlapped: overlap.overlapped,
        };
        for by in Kind::all_of(overlap.beside) {
            self.add_to_pair(kind, by, sample);
        }
        let list = &mut self.kinds[kind.index()];
        if make_room(list, |s| s, KIND_SAMPLES, now) {
            list.push(sample);
        }
        self.due |= kind.bit();
        if let Some(list) = self.workers.entry(worker) {
            let list = list.or_default();
            if make_room(list, |(_, s)| s, WORKER_SAMPLES, now) {
                list.push((kind, sample));
            }
        }
    }

    fn add_to_pair(&mut self, slowed: Kind, by: Kind, sample: Sample) {
        let at = match self.position(slowed, by) {
            Ok(at) => at,
            Err(_) if self.pairs.len() >= MAX_PAIRS => return,
            Err(at) => {
                let pair = Pair {
                    slowed,
                    by,
                    beside: Vec::new(),
                    fresh: false,
                    known: None,
                };
                self.pairs.insert(at, pair);
                at
            }
        };
        let pair = &mut self.pairs[at];
        if make_room(&mut pair.beside, |s| s, PAIR_SAMPLES, sample.at) {
            pair.beside.push(sample);
            pair.fresh = true;
        }
    }

    /// Examines the pairs in which a kind is slowed down. At most one pair is learned at a time, that
    /// with the clearest difference: it may explain the others.
    fn examine(&mut self, kind: Kind, now: u64) {
        let start = self.pairs.partition_point(|pair| pair.slowed < kind);
        let end = self.pairs.partition_point(|pair| pair.slowed <= kind);
        let mut clear: Vec<(usize, Difference)> = Vec::new();
        for at in start..end {
            let pair = &mut self.pairs[at];
            if !std::mem::take(&mut pair.fresh) && pair.known.is_none() {
                continue;
            }
            let pair = &self.pairs[at];
            let Some(difference) = self.compare(pair, 0, now) else {
                continue;
            };
            if pair.known.is_none() {
                clear.extend(Some((at, difference)).filter(|(_, d)| d.is_clear()));
                continue;
            }
            self.pairs[at].known = Some(difference);
            if difference.ratio < REFUTED_RATIO {
                self.give_up(at, Verdict::Refuted);
            }
        }
        clear.sort_by(|(_, one), (_, other)| other.score.total_cmp(&one.score));
        let mut clear = clear.into_iter();
        let Some((at, difference)) = clear.find(|(at, _)| self.is_cause(&self.pairs[*at], now))
        else {
            return;
        };
        let pair = &mut self.pairs[at];
        pair.known = Some(difference);
        self.slowed_by[pair.slowed.index()] |= pair.by.bit();
        self.slows[pair.by.index()] |= pair.slowed.bit();
        self.changes.push(Change {
            slowed: pair.slowed,
            by: pair.by,
            verdict: Verdict::Learned,
            difference,
        });
        // The others are examined again, without the runs beside this kind.
        for pair in &mut self.pairs[start..end] {
            pair.fresh = true;
        }
        self.due |= kind.bit();
    }

    /// Forgets that a pair interferes.
    fn give_up(&mut self, at: usize, verdict: Verdict) {
        let pair = &mut self.pairs[at];
        let Some(difference) = pair.known.take() else {
            return;
        };
        self.slowed_by[pair.slowed.index()] &= !pair.by.bit();
        self.slows[pair.by.index()] &= !pair.slowed.bit();
        self.changes.push(Change {
            slowed: pair.slowed,
            by: pair.by,
            verdict,
            difference,
        });
    }

    /// Examines new samples and drops old ones.
    pub fn tick(&mut self, now: u64) {
        for kind in Kind::all_of(self.due) {
            if now >= self.examined_at[kind.index()] + EXAMINE_MS {
                self.examined_at[kind.index()] = now;
                self.due &= !kind.bit();
                self.examine(kind, now);
            }
        }
        if now >= self.swept_at + SWEEP_MS {
            self.swept_at = now;
            self.sweep(now);
        }
    }

    fn sweep(&mut self, now: u64) {
        for at in 0..self.pairs.len() {
            self.pairs[at].beside.retain(|s| s.is_recent(now));
            if self.pairs[at].beside.is_empty() {
                self.give_up(at, Verdict::Expired);
            }
        }
        self.pairs.retain(|pair| !pair.beside.is_empty());
        for list in &mut self.kinds {
            list.retain(|s| s.is_recent(now));
        }
        for list in self.workers.values_mut() {
            list.retain(|(_, s)| s.is_recent(now));
        }
        self.workers.retain(|_, list| !list.is_empty());
    }

    /// Drops all that is known about the runs of a kind and about those beside it.
    pub fn forget(&mut self, kind: Kind) {
        for at in 0..self.pairs.len() {
            if self.pairs[at].slowed == kind || self.pairs[at].by == kind {
                self.give_up(at, Verdict::Reset);
            }
        }
        self.pairs
            .retain(|pair| pair.slowed != kind && pair.by != kind);
        self.kinds[kind.index()].clear();
        for list in self.workers.values_mut() {
            list.retain(|(other, s)| *other != kind && s.overlapped & kind.bit() == 0);
        }
        // A run that is beside the changed kind from now on is compared only with newer ones.
        let pairs = self.pairs.iter_mut().map(|pair| &mut pair.beside);
        for list in self.kinds.iter_mut().chain(pairs) {
            list.retain(|s| s.overlapped & kind.bit() == 0);
        }
    }

    /// Kinds that slow down a kind.
    #[must_use]
    pub fn slowed_by(&self, kind: Kind) -> u64 {
        self.slowed_by[kind.index()]
    }

    /// Kinds that a kind slows down.
    #[must_use]
    pub fn slows(&self, kind: Kind) -> u64 {
        self.slows[kind.index()]
    }

    /// Additional run time of a kind beside another one, in hundredths of its run time; 0 if the pair is
    /// not known to interfere.
    #[must_use]
    pub fn excess(&self, slowed: Kind, by: Kind) -> u32 {
        if self.slowed_by(slowed) & by.bit() == 0 {
            return 0;
        }
        let known = self.position(slowed, by).ok();
        let known = known.and_then(|at| self.pairs[at].known);
        let excess = known.map_or(0.0, |d| (d.ratio - 1.0) * 100.0);
        excess.clamp(0.0, MAX_EXCESS) as u32
    }

    /// Whether any pair is known to interfere.
    #[must_use]
    pub fn has_pairs(&self) -> bool {
        self.slows.iter().any(|set| *set != 0)
    }

    /// Pairs that are known to interfere: the kind that is slowed down, the one that slows it down, and
    /// the newest estimate.
    pub fn pairs(&self) -> impl Iterator<Item = (Kind, Kind, Difference)> {
        let known = |pair: &Pair| Some((pair.slowed, pair.by, pair.known?));
        self.pairs.iter().filter_map(known)
    }

    /// Numbers of kinds, pairs and workers with samples, and of all samples.
    #[must_use]
    pub fn sizes(&self) -> (usize, usize, usize, usize) {
        let kinds = self.kinds.iter().filter(|list| !list.is_empty()).count();
        let samples = self.kinds.iter().map(Vec::len).sum::<usize>()
            + self
                .pairs
                .iter()
                .map(|pair| pair.beside.len())
                .sum::<usize>()
            + self.workers.values().map(Vec::len).sum::<usize>();
        (kinds, self.pairs.len(), self.workers.len(), samples)
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }
}
