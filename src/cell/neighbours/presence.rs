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
const TOUCHED_SHARE: f64 = 0.1;

/// Presence of a kind on a worker since the worker was last empty.
#[derive(Debug, Clone, Copy)]
struct Stay {
    kind: Kind,
    /// Number of runs.
    count: u32,
    /// Local time up to which the sums are counted, in milliseconds.
    counted: u64,
    /// Time with at least one run, in milliseconds.
    one: u64,
    /// Time with at least two runs, in milliseconds.
    two: u64,
}

impl Stay {
    fn count_up_to(&mut self, now: u64) {
        let time = now.saturating_sub(self.counted);
        self.counted = now;
        self.one += if self.count >= 1 { time } else { 0 };
        self.two += if self.count >= 2 { time } else { 0 };
    }

    /// Time for which the kind was beside runs of kind `own`, in milliseconds.
    fn beside(&self, own: Kind) -> u64 {
        match self.kind == own {
            true => self.two,
            false => self.one,
        }
    }
}

/// Kinds on a worker.
#[derive(Debug, Default)]
struct Company {
    /// Stays, sorted by kind.
    stays: Vec<Stay>,
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
    /// Sums of the kinds' stays at that time, in milliseconds; `None` if the run is not measured.
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
    pub touched: u64,
}

/// Runs and their kinds on all workers.
#[derive(Debug, Default)]
pub struct Presence {
    workers: SecondaryMap<WorkerKey, Company>,
    runs: SecondaryMap<RunKey, Entry>,
}

impl Presence {
    /// Notes a run of `kind` on a worker.
    pub fn begin(&mut self, run: RunKey, worker: WorkerKey, kind: Kind, measured: bool, now: u64) {
        let Some(company) = self.workers.entry(worker) else {
            return;
        };
        let company = company.or_default();
        for stay in &mut company.stays {
            stay.count_up_to(now);
        }
        let before = measured.then(|| {
            let stays = company.stays.iter();
            stays.map(|stay| (stay.kind, stay.beside(kind))).collect()
        });
        let at = company.stays.binary_search_by_key(&kind, |s| s.kind);
        let at = at.unwrap_or_else(|at| {
            let stay = Stay {
                kind,
                count: 0,
                counted: now,
                one: 0,
                two: 0,
            };
            company.stays.insert(at, stay);
            at
        });
        company.stays[at].count += 1;
        company.present |= kind.bit();
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
        let company = self.workers.get_mut(entry.worker)?;
        for stay in &mut company.stays {
            stay.count_up_to(now);
        }
        let mut overlap = Overlap {
            kind: entry.kind,
            measured: entry.before.is_some(),
            beside: 0,
            touched: 0,
        };
        let took = now.saturating_sub(entry.since).max(1) as f64;
        let before = entry.before.unwrap_or_default();
        for stay in &company.stays {
            let at = before.binary_search_by_key(&stay.kind, |(kind, _)| *kind);
            let base = at.map_or(0, |at| before[at].1);
            let share = stay.beside(entry.kind).saturating_sub(base) as f64 / took;
            if share >= BESIDE_SHARE {
                overlap.beside |= stay.kind.bit();
            }
            if share > TOUCHED_SHARE {
                overlap.touched |= stay.kind.bit();
            }
        }
        if let Ok(at) = company.stays.binary_search_by_key(&entry.kind, |s| s.kind) {
            let stay = &mut company.stays[at];
            stay.count = stay.count.saturating_sub(1);
            if stay.count == 0 {
                company.present &= !entry.kind.bit();
            }
        }
        if company.present == 0 {
            self.workers.remove(entry.worker);
        }
        Some(overlap)
    }

    /// Drops the sums of a kind without runs, whose place goes to another one.
    pub fn reset(&mut self, kind: Kind) {
        for company in self.workers.values_mut() {
            company.stays.retain(|stay| stay.kind != kind);
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
        let Some(company) = self.workers.get(worker) else {
            return 0;
        };
        let at = company.stays.binary_search_by_key(&kind, |s| s.kind);
        at.map_or(0, |at| company.stays[at].count)
    }

    /// Number of runs that are tracked.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.runs.len()
    }
}
