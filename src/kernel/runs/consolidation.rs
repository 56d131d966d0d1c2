//! Consolidates the leases of enough workers at one instance for a gang that fits no instance.
//!
//! A gang is claimed as a whole by one instance, on workers whose leases that instance holds. When
//! a gang waits for long, every instance of the availability zone computes the same gang and the
//! same set of workers. These workers are then assigned to the instance responsible for the gang
//! instead of the instance responsible for each worker.

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

/// Milliseconds that a gang waits before workers are consolidated for it.
const HOME_DELAY_MS: u64 = 1_000;

/// Additional milliseconds that a gang waits in availability zones other than its home.
const REMOTE_DELAY_MS: u64 = 8_000;

/// Milliseconds after which the number of consolidated workers doubles.
const DOUBLING_INTERVAL_MS: u64 = 4_000;

/// Maximum number of doublings of the number of consolidated workers.
const MAX_DOUBLINGS: u64 = 4;

/// Milliseconds of log time for which a gang takes precedence over gangs accepted later. After
/// that, the next gang gets a turn, since this one may be unplaceable for some other reason.
const TURN_MS: u64 = 60_000;

/// Assumed number of slots of a worker. A constant, because all instances must compute the same
/// number of workers.
const ASSUMED_WORKER_SLOTS: u64 = 8;

/// Selects the gang of one planning round. The order depends on the log alone, so that all
/// instances, including one that has just started, select the same gang.
#[derive(Debug, Default)]
pub(super) struct GangSelector {
    best: Option<(u64, Millis, Target)>,
}

impl GangSelector {
    /// Considers a gang that is waiting at the log time `clock`. The gang with the fewest turns is
    /// selected, and among those the one accepted first.
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

    /// Passes the selected gang to the worker table.
    pub(super) fn apply(self, workers: &mut Workers) {
        workers.consolidate(self.best.map(|best| best.2));
    }
}

/// Returns the number of workers for a gang: twice the number it needs, doubled again as it waits
/// longer.
fn worker_count(job: &Job, overdue: u64) -> usize {
    let slots = u64::from(job.spec.demand.slots) * u64::from(job.spec.tasks);
    let base = (slots * 2).div_ceil(ASSUMED_WORKER_SLOTS).max(1);
    let count = base << (overdue / DOUBLING_INTERVAL_MS).min(MAX_DOUBLINGS);
    usize::try_from(count).unwrap_or(usize::MAX)
}
