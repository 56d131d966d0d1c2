//! What the tracked runs of each organisation take.

use super::{
    Key,
    amounts::Amounts, //
};

/// What a run counts for, from its start command until its end is known.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Charge {
    /// Organisation of the run's job.
    pub organisation: Key,
    /// Declared demand of the task, including the CPU of an opportunistic one.
    pub demand: Amounts,
}

/// Sums over the tracked runs, by organisation.
#[derive(Debug, Default)]
pub struct Usage {
    /// Demand and number of the runs of each organisation.
    sums: Vec<(Amounts, u64)>,
}

impl Usage {
    /// Counts a run.
    pub fn add(&mut self, charge: &Charge) {
        let at = charge.organisation.index();
        if self.sums.len() <= at {
            self.sums.resize(at + 1, Default::default());
        }
        let (sum, runs) = &mut self.sums[at];
        *sum = sum.plus(charge.demand);
        *runs += 1;
    }

    /// Counts a run no longer.
    pub fn remove(&mut self, charge: &Charge) {
        if let Some((sum, runs)) = self.sums.get_mut(charge.organisation.index()) {
            *sum = sum.minus(charge.demand);
            *runs = runs.saturating_sub(1);
        }
    }

    /// Demand of the runs of an organisation.
    #[must_use]
    pub fn of(&self, organisation: Key) -> Amounts {
        let sum = self.sums.get(organisation.index());
        sum.map_or_else(Amounts::default, |(sum, _)| *sum)
    }

    /// Number of runs of an organisation.
    #[must_use]
    pub fn runs(&self, organisation: Key) -> u64 {
        let sum = self.sums.get(organisation.index());
        sum.map_or(0, |(_, runs)| *runs)
    }
}
