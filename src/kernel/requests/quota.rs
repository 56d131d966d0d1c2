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
    pub virtual_time: u64,
}

/// How a piece of work stands to the quotas; the lower goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
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
            virtual_time: 0,
        }
    }

    /// The virtual time at which the team's next work starts, when the others are at `floor`.
    #[must_use]
    pub fn virtual_start(&self, floor: u64) -> u64 {
        self.virtual_time.max(floor)
    }

    /// How `demand` on top of what a profile holds stands to its quota and the team's.
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
