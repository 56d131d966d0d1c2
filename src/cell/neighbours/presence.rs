//! Which kinds of tasks run on each worker, and for how long each run had them beside it.

use slotmap::SecondaryMap;

use crate::cell::job::{
    RunKey,
    WorkerKey, //
};

use super::kinds::Kind;

/// Share of a run's time from which a kind was beside it.
const BESIDE_SHARE: f64 = 0.5;

/// Share of a run's time up to which a kind was not beside it. Runs between both shares are compared
/// with neither.
const OVERLAP_SHARE: f64 = 0.1;

/// Presence of a kind on a worker since the worker was last empty.
#[derive(Debug, Clone, Copy)]
struct Occupancy {
    kind: Kind,
    /// Number of runs.
    count: u32,
    /// Local time up to which the sums are counted, in milliseconds.
    counted: u64,
    /// Time with at least one run, in milliseconds.
    any_run: u64,
    /// Time with at least two runs, in milliseconds.
    several_runs: u64,
}

impl Occupancy {
    fn count_up_to(&mut self, now: u64) {
        let time = now.saturating_sub(self.counted);
        self.counted = now;
        self.any_run += if self.count >= 1 { time } else { 0 };
        self.several_runs += if self.count >= 2 { time } else { 0 };
    }

    /// Time for which the kind was beside runs of kind `own`, in milliseconds.
    fn beside(&self, own: Kind) -> u64 {
        match self.kind == own {
            true => self.several_runs,
            false => self.any_run,
        }
    }
}

/// Kinds on a worker.
#[derive(Debug, Default)]
struct Occupants {
    /// Occupancies, sorted by kind.
    occupancies: Vec<Occupancy>,
    /// Kinds with at least one run.
    present: u64,
}

/// Run on a worker.
#[derive(Debug)]
struct Entry {
    worker: WorkerKey,
    kind: Kind,
    /// Local time at which the run was placed, in milliseconds.
    since: u64,
    /// Sums of the kinds' occupancies at that time, in milliseconds; `None` if the run is not measured.
    before: Option<Vec<(Kind, u64)>>,
}

/// Kinds that ran beside a run that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Overlap {
    /// Kind of the run.
    pub kind: Kind,
    /// Whether the duration of the run counts.
    pub measured: bool,
    /// Kinds that were there for at least half of the time.
    pub beside: u64,
    /// Kinds that were there for more than a tenth of the time.
    pub overlapped: u64,
}

/// Runs and their kinds on all workers.
#[derive(Debug, Default)]
pub struct Presence {
    workers: SecondaryMap<WorkerKey, Occupants>,
    runs: SecondaryMap<RunKey, Entry>,
}

impl Presence {
    /// Notes a run of `kind` on a worker.
    pub fn begin(&mut self, run: RunKey, worker: WorkerKey, kind: Kind, measured: bool, now: u64) {
        let Some(occupants) = self.workers.entry(worker) else {
            return;
        };
        let occupants = occupants.or_default();
        for occupancy in &mut occupants.occupancies {
            occupancy.count_up_to(now);
        }
        let before = measured.then(|| {
            let occupancies = occupants.occupancies.iter();
            occupancies
                .map(|occupancy| (occupancy.kind, occupancy.beside(kind)))
                .collect()
        });
        let at = occupants
            .occupancies
            .binary_search_by_key(&kind, |s| s.kind);
        let at = at.unwrap_or_else(|at| {
            let occupancy = Occupancy {
                kind,
                count: 0,
                counted: now,
                any_run: 0,
                several_runs: 0,
            };
            occupants.occupancies.insert(at, occupancy);
            at
        });
        occupants.occupancies[at].count += 1;
        occupants.present |= kind.bit();
        let entry = Entry {
            worker,
            kind,
            since: now,
            before,
        };
        self.runs.insert(run, entry);
    }

    /// Notes the end of a run; returns the kinds that ran beside it.
    pub fn end(&mut self, run: RunKey, now: u64) -> Option<Overlap> {
        let entry = self.runs.remove(run)?;
        let occupants = self.workers.get_mut(entry.worker)?;
        for occupancy in &mut occupants.occupancies {
            occupancy.count_up_to(now);
        }
        let mut overlap = Overlap {
            kind: entry.kind,
            measured: entry.before.is_some(),
            beside: 0,
            overlapped: 0,
        };
        let took = now.saturating_sub(entry.since).max(1) as f64;
        let before = entry.before.unwrap_or_default();
        for occupancy in &occupants.occupancies {
            let at = before.binary_search_by_key(&occupancy.kind, |(kind, _)| *kind);
            let base = at.map_or(0, |at| before[at].1);
            let share = occupancy.beside(entry.kind).saturating_sub(base) as f64 / took;
            if share >= BESIDE_SHARE {
                overlap.beside |= occupancy.kind.bit();
            }
            if share > OVERLAP_SHARE {
                overlap.overlapped |= occupancy.kind.bit();
            }
        }
        if let Ok(at) = occupants
            .occupancies
            .binary_search_by_key(&entry.kind, |s| s.kind)
        {
            let occupancy = &mut occupants.occupancies[at];
            occupancy.count = occupancy.count.saturating_sub(1);
            if occupancy.count == 0 {
                occupants.present &= !entry.kind.bit();
            }
        }
        if occupants.present == 0 {
            self.workers.remove(entry.worker);
        }
        Some(overlap)
    }

    /// Drops the sums of a kind without runs, whose place goes to another one.
    pub fn reset(&mut self, kind: Kind) {
        for occupants in self.workers.values_mut() {
            occupants
                .occupancies
                .retain(|occupancy| occupancy.kind != kind);
        }
        for before in self.runs.values_mut().filter_map(|e| e.before.as_mut()) {
            before.retain(|(other, _)| *other != kind);
        }
    }

    /// Kinds with runs on a worker.
    #[must_use]
    pub fn kinds_on(&self, worker: WorkerKey) -> u64 {
        self.workers.get(worker).map_or(0, |c| c.present)
    }

    /// Number of runs of a kind on a worker.
    #[must_use]
    pub fn count(&self, worker: WorkerKey, kind: Kind) -> u32 {
        let Some(occupants) = self.workers.get(worker) else {
            return 0;
        };
        let at = occupants
            .occupancies
            .binary_search_by_key(&kind, |s| s.kind);
        at.map_or(0, |at| occupants.occupancies[at].count)
    }

    /// Number of runs that are tracked.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.runs.len()
    }
}
