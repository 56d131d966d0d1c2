//! Brings workers together in one instance's hands for a gang that no instance can hold.
//!
//! A gang is claimed whole by one instance on workers that it holds. When one waits for long, every
//! instance of the availability zone works out the same gang and the same workers for it, and the
//! workers go to the instance that should look after the gang instead of the one that should look
//! after the worker.

use crate::{
    ids::{
        Millis,
        RunId, //
    },
    kernel::workers::{
        Workers,
        consolidation::Target, //
    },
    ledger::jobs::job::Job, //
};

/// How long a gang waits before workers are brought together for it, in milliseconds.
const HOME_DELAY_MS: u64 = 1_000;

/// How much longer it waits in availability zones other than its home, in milliseconds.
const REMOTE_DELAY_MS: u64 = 8_000;

/// How long it takes for the number of workers to double, in milliseconds.
const DOUBLING_INTERVAL_MS: u64 = 4_000;

/// The most doublings.
const MAX_DOUBLINGS: u64 = 4;

/// How long a gang goes before those accepted later, in milliseconds of log time. One that cannot be
/// placed for some other reason then lets the next one have its turn.
const TURN_MS: u64 = 60_000;

/// Slots that a worker is taken to have. All instances must work out the same number of workers.
const ASSUMED_WORKER_SLOTS: u64 = 8;

/// Chooses the gang of one round. The order depends on the log alone, so that all instances choose
/// the same one, also one that has just started.
#[derive(Debug, Default)]
pub(super) struct GangSelector {
    best: Option<(u64, Millis, Target)>,
}

impl GangSelector {
    /// Looks at a gang that waits at the log's time `clock`. The one with the fewest turns is chosen,
    /// and of those the one that was accepted first.
    pub(super) fn consider(
        &mut self,
        run: &RunId,
        job: &Job,
        clock: Millis,
        (waited, home): (u64, bool),
    ) {
        let delay = if home {
            HOME_DELAY_MS
        } else {
            HOME_DELAY_MS + REMOTE_DELAY_MS
        };
        let Some(overdue) = waited.checked_sub(delay) else {
            return;
        };
        let turns = clock.since(job.accepted) / TURN_MS;
        let order = (turns, job.accepted, run);
        let best = self.best.as_ref();
        if best.is_some_and(|best| (best.0, best.1, &best.2.run) <= order) {
            return;
        }
        let target = Target {
            run: run.clone(),
            count: worker_count(job, overdue),
        };
        self.best = Some((turns, job.accepted, target));
    }

    /// Tells the lease table which workers to bring together.
    pub(super) fn apply(self, workers: &mut Workers) {
        workers.consolidate(self.best.map(|best| best.2));
    }
}

/// How many workers a gang gets: twice what it needs, and twice as many again with time.
fn worker_count(job: &Job, overdue: u64) -> usize {
    let slots = u64::from(job.spec.demand.slots) * u64::from(job.spec.tasks);
    let base = (slots * 2).div_ceil(ASSUMED_WORKER_SLOTS).max(1);
    let count = base << (overdue / DOUBLING_INTERVAL_MS).min(MAX_DOUBLINGS);
    usize::try_from(count).unwrap_or(usize::MAX)
}
