//! What teams hold, and what they may hold.

use crate::{
    ids::TeamId,
    resources::Resources, //
};

slotmap::new_key_type! {
    /// A team in the kernel's arena.
    pub struct TeamKey;
}

/// The state of one team at this instance.
#[derive(Debug, Clone)]
pub struct Team {
    /// Its id.
    pub id: TeamId,
    /// What its profiles with a quota hold together.
    pub held: Resources,
    /// The sum of its profiles' quotas.
    pub quota: Resources,
    /// Slot time used, in milliseconds of virtual time.
    pub used: u64,
}

/// How a piece of work stands to the quotas; the lower goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Within the profile's own quota, or the profile has none.
    Own,
    /// Beyond it, but within what the team's other profiles leave unused.
    Borrowed,
    /// Beyond what the team may hold; also when others of the team have borrowed it.
    Exceeded,
}

impl Team {
    /// A team that holds nothing.
    #[must_use]
    pub fn new(id: TeamId) -> Self {
        Self {
            id,
            held: Resources::default(),
            quota: Resources::default(),
            used: 0,
        }
    }

    /// The virtual time at which the team's next work starts, when the others are at `floor`.
    #[must_use]
    pub fn share(&self, floor: u64) -> u64 {
        self.used.max(floor)
    }

    /// How `demand` on top of what a profile holds stands to its quota and the team's.
    #[must_use]
    pub fn standing(
        &self,
        quota: Option<&Resources>,
        held: &Resources,
        demand: &Resources,
    ) -> Standing {
        let Some(quota) = quota else {
            return Standing::Own;
        };
        if !self.held.plus(demand).fits(&self.quota) {
            return Standing::Exceeded;
        }
        if held.plus(demand).fits(quota) {
            return Standing::Own;
        }
        Standing::Borrowed
    }
}
