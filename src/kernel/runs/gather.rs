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
        Gather,
        Workers, //
    },
    ledger::jobs::job::Job, //
};

/// How long a gang waits before workers are brought together for it, in milliseconds.
const WAIT: u64 = 1_000;

/// How much longer it waits in availability zones other than its home, in milliseconds.
const AWAY: u64 = 8_000;

/// How long it takes for the number of workers to double, in milliseconds.
const DOUBLING: u64 = 4_000;

/// How long workers are brought together for one gang in each period, in milliseconds.
const SPELL: u64 = 20_000;

/// The period, in milliseconds. For the rest of it others may hold the workers again.
const PERIOD: u64 = 80_000;

/// Slots that a worker is taken to have. All instances must work out the same number of workers.
const SLOTS: u64 = 8;

/// Chooses the gang of one round.
#[derive(Debug, Default)]
pub(super) struct Chooser {
    best: Option<(Millis, RunId, Gather)>,
}

impl Chooser {
    /// Looks at a gang that waits. The one that was accepted first is chosen.
    pub(super) fn offer(&mut self, run: &RunId, job: &Job, waited: u64, home: bool) {
        let delay = if home { WAIT } else { WAIT + AWAY };
        let Some(spell) = waited.checked_sub(delay).map(|w| w % PERIOD) else {
            return;
        };
        let older = |best: &(Millis, RunId, Gather)| (best.0, &best.1) <= (job.accepted, run);
        if spell >= SPELL || self.best.as_ref().is_some_and(older) {
            return;
        }
        let gather = Gather {
            run: run.clone(),
            count: count(job, spell),
        };
        self.best = Some((job.accepted, run.clone(), gather));
    }

    /// Tells the lease table which workers to bring together.
    pub(super) fn finish(self, workers: &mut Workers) {
        workers.gather(self.best.map(|best| best.2));
    }
}

/// How many workers a gang gets: twice what it needs, and twice as many again with time.
fn count(job: &Job, spell: u64) -> usize {
    let slots = u64::from(job.spec.demand.slots) * u64::from(job.spec.tasks);
    let base = (slots * 2).div_ceil(SLOTS).max(1);
    let count = base << (spell / DOUBLING);
    usize::try_from(count).unwrap_or(usize::MAX)
}
