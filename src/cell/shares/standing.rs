//! Who is owed service in a placement pass: weighted dominant resource fairness.

use super::{
    Key,
    Shares,
    amounts::{
        Amounts,
        KINDS, //
    },
    usage::Usage, //
};

/// Resources and weights that the shares of a placement pass relate to.
#[derive(Debug, Default)]
pub(super) struct Standing {
    /// Resources of the schedulable workers.
    pub(super) total: Amounts,
    /// Sum of the weights of the organisations that take part.
    weights: f64,
    /// Organisations that have waiting steps or runs, sorted.
    present: Vec<Key>,
}

impl Shares {
    /// Begins a placement pass on workers with the resources `total`, for organisations with waiting
    /// steps or runs.
    pub fn begin_pass(&mut self, total: Amounts, mut waiting: Vec<Key>, usage: &Usage) {
        let running = self.keys().filter(|key| usage.runs(*key) > 0);
        waiting.extend(running);
        waiting.sort_unstable();
        waiting.dedup();
        let weights = waiting.iter().map(|key| self.weight(*key)).sum();
        self.standing = Standing {
            total,
            weights,
            present: waiting,
        };
    }

    /// Part of the cell that an organisation is entitled to.
    #[must_use]
    pub fn entitlement(&self, organisation: Key) -> f64 {
        let weight = self.weight(organisation);
        let present = &self.standing.present;
        let weights = match present.binary_search(&organisation) {
            Ok(_) => self.standing.weights,
            Err(_) => self.standing.weights + weight,
        };
        match weights > 0.0 {
            true => weight / weights,
            false => 0.0,
        }
    }

    /// Part of the cell that the runs of an organisation take, of the resource that they take most of.
    #[must_use]
    pub fn share(&self, organisation: Key, usage: &Usage) -> f64 {
        usage.of(organisation).dominant(self.standing.total)
    }

    /// Number of tasks of `demand` that bring an organisation to its entitlement; 0 if it is there.
    #[must_use]
    pub fn owed_tasks(&self, organisation: Key, usage: &Usage, demand: Amounts) -> u32 {
        let entitlement = self.entitlement(organisation);
        if self.share(organisation, usage) >= entitlement {
            return 0;
        }
        let (used, total) = (usage.of(organisation), self.standing.total);
        let missing = |at: usize| {
            let target = entitlement * total.0[at] as f64;
            ((target - used.0[at] as f64) / demand.0[at] as f64).ceil() as u32
        };
        let counted = (0..KINDS).filter(|at| demand.0[*at] > 0 && total.0[*at] > 0);
        counted.map(missing).min().unwrap_or(u32::MAX).max(1)
    }
}
