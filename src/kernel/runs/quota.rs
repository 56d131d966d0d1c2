//! Tracks the resources used by the claimed tasks of each profile, on all workers.

use crate::{
    ids::ProfileName,
    resources::Resources, //
};

/// Resources used by each profile, as 64-bit sums that cannot overflow.
#[derive(Debug, Default)]
pub(super) struct Usage {
    rows: Vec<(ProfileName, [u64; 5])>,
}

impl Usage {
    /// Adds the demand of `count` tasks.
    pub(super) fn add(&mut self, profile: &ProfileName, demand: &Resources, count: u32) {
        let at = match self.rows.binary_search_by(|row| row.0.cmp(profile)) {
            Ok(at) => at,
            Err(at) => {
                self.rows.insert(at, (profile.clone(), [0; 5]));
                at
            }
        };
        for (sum, part) in self.rows[at].1.iter_mut().zip(demand.parts()) {
            *sum += u64::from(part) * u64::from(count);
        }
    }

    /// Subtracts the demand of `count` tasks.
    pub(super) fn subtract(&mut self, profile: &ProfileName, demand: &Resources, count: u32) {
        let Ok(at) = self.rows.binary_search_by(|row| row.0.cmp(profile)) else {
            return;
        };
        for (sum, part) in self.rows[at].1.iter_mut().zip(demand.parts()) {
            *sum = sum.saturating_sub(u64::from(part) * u64::from(count));
        }
    }

    /// Returns how many more tasks the quota of the profile allows.
    pub(super) fn remaining(
        &self,
        profile: &ProfileName,
        demand: &Resources,
        quota: &Resources,
    ) -> u32 {
        let found = self.rows.binary_search_by(|row| row.0.cmp(profile));
        let used = found.map_or([0; 5], |at| self.rows[at].1);
        let parts = demand.parts().into_iter().zip(quota.parts()).zip(used);
        let counts = parts
            .filter(|((need, _), _)| *need > 0)
            .map(|((need, most), used)| u64::from(most).saturating_sub(used) / u64::from(need));
        let least = counts.min().unwrap_or(u64::MAX);
        u32::try_from(least).unwrap_or(u32::MAX)
    }
}
