//! Resource usage and quotas of teams.

use crate::{
    ids::TeamId,
    resources::Resources, //
};

slotmap::new_key_type! {
    /// Arena key of a team.
    pub struct TeamKey;
}

/// State of one team at this instance.
#[derive(Debug, Clone)]
pub struct Team {
    /// Id of the team.
    pub id: TeamId,
    /// Total resources held by the team's profiles that have a quota.
    pub held: Resources,
    /// Sum of the quotas of the team's profiles.
    pub quota: Resources,
    /// Slot time used by the team, in milliseconds of virtual time.
    pub virtual_time: u64,
}

/// Status of a request with respect to the quotas; the lower is dispatched first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// The request is within the profile's own quota, or the profile has none.
    Own,
    /// The request exceeds the profile's quota, but fits into what the team's other profiles leave
    /// unused.
    Borrowed,
    /// The request exceeds the team's quota, possibly because other profiles of the team borrowed.
    Exceeded,
}

impl Team {
    /// Creates a team that holds no resources.
    #[must_use]
    pub fn new(id: TeamId) -> Self {
        Self {
            id,
            held: Resources::default(),
            quota: Resources::default(),
            virtual_time: 0,
        }
    }

    /// Virtual start time of the team's next request, at least the virtual clock `floor`.
    #[must_use]
    pub fn virtual_start(&self, floor: u64) -> u64 {
        self.virtual_time.max(floor)
    }

    /// Quota status of a profile that holds `held` and asks for `demand` in addition.
    #[must_use]
    pub fn status(
        &self,
        quota: Option<&Resources>,
        held: &Resources,
        demand: &Resources,
    ) -> Status {
        let Some(quota) = quota else {
            return Status::Own;
        };
        if !self.held.plus(demand).fits(&self.quota) {
            return Status::Exceeded;
        }
        if held.plus(demand).fits(quota) {
            return Status::Own;
        }
        Status::Borrowed
    }
}
