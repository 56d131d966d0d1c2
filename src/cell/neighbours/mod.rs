//! Tasks that slow each other down on one machine: which kinds do, and which workers a task had better
//! not use.
//!
//! Handles noisy neighbours: tasks whose use of caches, memory bandwidth or disks no reservation
//! expresses. Workers report no such use, so that the only evidence is how long runs take; see
//! [`estimate`]. All of it is lost with the owner and learned again, and nothing depends on it: a pair
//! only changes the choice among workers that could take a task anyway, see [`preference`].

use std::cell::Cell;

use compact_str::CompactString;
use log::info;

use self::{
    estimate::Difference,
    evidence::{
        Evidence,
        Verdict, //
    },
    kinds::{
        Found,
        Kind,
        Kinds, //
    },
    preference::View,
    presence::Presence, //
};

use super::{
    job::{
        JobKey,
        RunKey,
        WorkerKey, //
    },
    model,
};

mod comparison;
pub mod estimate;
pub mod evidence;
pub mod kinds;
pub mod preference;
pub mod presence;

/// Maximum number of log lines about pairs in [`LOG_INTERVAL_MS`].
const MAX_LINES: u32 = 16;

/// Interval of the log lines about placements that a pair changed, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Task whose run begins.
#[derive(Debug, Clone, Copy)]
pub struct Task<'a> {
    /// Queue of the job.
    pub queue: &'a model::Queue,
    /// Step of the task.
    pub step: &'a model::Step,
    /// Number of the step in the job, from 0.
    pub number: u32,
    /// Time at which the job was accepted, in Unix milliseconds.
    pub accepted: u64,
    /// Whether the duration of the run can be compared with that of others.
    pub measured: bool,
}

/// Run that has succeeded.
#[derive(Debug, Clone, Copy)]
pub struct Success {
    /// Worker of the run.
    pub worker: WorkerKey,
    /// Job of the run.
    pub job: JobKey,
    /// Duration of the run, in milliseconds.
    pub took: u64,
    /// Estimate of the duration, in milliseconds.
    pub estimate: u64,
}

/// Pair of kinds that are known to interfere.
#[derive(Debug, Clone, PartialEq)]
pub struct Pair {
    /// Name of the kind that is slowed down.
    pub slowed: CompactString,
    /// Name of the kind that slows it down.
    pub by: CompactString,
    /// Newest estimate.
    pub difference: Difference,
}

/// What the owner knows about tasks that slow each other down.
#[derive(Debug, Default)]
pub struct Neighbours {
    active: bool,
    kinds: Kinds,
    presence: Presence,
    evidence: Evidence,
    /// Number of placements that a pair changed. Placement counts them while it reads the pairs.
    moves: Cell<u64>,
    /// Number of these that a metric has counted.
    counted_moves: u64,
    /// Number of these that the log has shown.
    logged_moves: u64,
    /// Local time of the last line about them, in milliseconds.
    logged_at: u64,
    /// Lines about pairs since then.
    lines: u32,
    /// Whether known pairs have changed since they were last shown.
    changed: bool,
}

impl Neighbours {
    /// Observes runs from now on. Until then nothing is recorded.
    pub fn activate(&mut self) {
        self.active = true;
        self.changed = true;
    }

    /// Whether runs are observed.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Notes that a run begins on a worker.
    pub fn begin(&mut self, run: RunKey, worker: WorkerKey, task: &Task<'_>, now: u64) {
        if !self.active {
            return;
        }
        let step = (task.step, task.number);
        let Some(found) = self.kinds.enter(task.queue, step, task.accepted, now) else {
            return;
        };
        match found {
            Found::Known(_) => {}
            Found::Changed(kind) => self.evidence.forget(kind),
            Found::New(kind) => {
                self.evidence.forget(kind);
                self.presence.reset(kind);
            }
        }
        let kind = found.kind();
        self.presence.begin(run, worker, kind, task.measured, now);
    }

    /// Notes that a run has ended; `success` describes it if its duration says something.
    pub fn end(&mut self, run: RunKey, success: Option<Success>, now: u64) {
        let Some(overlap) = self.presence.end(run, now) else {
            return;
        };
        self.kinds.leave(overlap.kind, now);
        let Some(success) = success.filter(|s| overlap.measured && s.estimate > 0) else {
            return;
        };
        let ratio = success.took.max(1) as f64 / success.estimate as f64;
        let (worker, job) = (success.worker, success.job);
        self.evidence.add(worker, job, ratio.ln(), &overlap, now);
    }

    /// Examines what has ended since the last call.
    pub fn tick(&mut self, now: u64) {
        if !self.active {
            return;
        }
        self.evidence.tick(now);
        if now >= self.logged_at + LOG_INTERVAL_MS {
            self.logged_at = now;
            self.lines = 0;
            // The estimates are refined meanwhile.
            self.changed |= self.evidence.has_pairs();
            let moved = self.moves.get() - self.logged_moves;
            self.logged_moves += moved;
            if moved > 0 {
                info!(placed = moved, pairs = self.evidence.pairs().count(); "placements kept tasks apart");
            }
        }
        for change in self.evidence.take_changes() {
            self.changed = true;
            self.lines += 1;
            if self.lines > MAX_LINES {
                continue;
            }
            let (slowed, by) = (self.kinds.label(change.slowed), self.kinds.label(change.by));
            let Difference {
                ratio,
                score,
                runs,
                workers,
                jobs,
                others,
            } = change.difference;
            match change.verdict {
                Verdict::Learned => {
                    info!(slowed, by, ratio, score, runs, workers, jobs, others; "tasks take longer beside others");
                }
                verdict => {
                    info!(slowed, by, ratio, runs, reason:? = verdict; "tasks no longer kept apart");
                }
            }
        }
    }

    /// Whether any pair is known to interfere.
    #[must_use]
    pub fn has_pairs(&self) -> bool {
        self.active && self.evidence.has_pairs()
    }

    /// Workers as the tasks of a step see them; `None` if the step's kind is in no known pair.
    #[must_use]
    pub fn view(&self, queue: &str, step: &model::Step, number: u32) -> Option<View<'_>> {
        if !self.has_pairs() {
            return None;
        }
        let kind = self.kinds.find(queue, step, number)?;
        View::new(kind, &self.presence, &self.evidence)
    }

    /// Counts placements that a pair changed.
    pub fn count_moves(&self, count: u64) {
        self.moves.set(self.moves.get() + count);
    }

    /// Number of placements that a pair changed.
    #[must_use]
    pub fn moves(&self) -> u64 {
        self.moves.get()
    }

    /// Takes the number of placements that a pair changed since the last call, for metrics.
    pub fn take_moves(&mut self) -> u64 {
        let moves = self.moves.get() - self.counted_moves;
        self.counted_moves += moves;
        moves
    }

    /// Known pairs if they have changed since the last call, for metrics.
    pub fn take_changed(&mut self) -> Option<Vec<Pair>> {
        std::mem::take(&mut self.changed).then(|| self.pairs())
    }

    /// Pairs that are known to interfere.
    #[must_use]
    pub fn pairs(&self) -> Vec<Pair> {
        let name = |kind: Kind| self.kinds.label(kind).into();
        let pairs = self.evidence.pairs();
        let pairs = pairs.map(|(slowed, by, difference)| Pair {
            slowed: name(slowed),
            by: name(by),
            difference,
        });
        pairs.collect()
    }

    /// Numbers of kinds, runs, pairs with samples, and samples.
    #[must_use]
    pub fn sizes(&self) -> [usize; 4] {
        let (_, pairs, _, samples) = self.evidence.sizes();
        [self.kinds.len(), self.presence.runs(), pairs, samples]
    }
}
