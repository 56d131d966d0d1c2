//! Resource vectors: capacity of workers and demand of work.

use schemars::JsonSchema;
use serde::{
    Deserialize,
    Serialize, //
};

/// An amount of each resource of a worker, used for capacity, demand and free resources.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Resources {
    /// CPU, in thousandths of a core.
    pub millicores: u32,
    /// Memory, in MiB.
    pub memory: u32,
    /// Accelerators, in whole devices.
    pub accelerators: u32,
    /// Execution slots. Each task and each request in progress takes one or more.
    pub slots: u32,
    /// Connections for requests.
    pub connections: u32,
}

/// Names of the resources, in the order of [`Resources::parts`].
pub const NAMES: [&str; 5] = [
    "millicores",
    "memory",
    "accelerators",
    "slots",
    "connections",
];

impl Resources {
    /// Returns the amounts in the order of [`NAMES`].
    #[must_use]
    pub fn parts(&self) -> [u32; 5] {
        [
            self.millicores,
            self.memory,
            self.accelerators,
            self.slots,
            self.connections,
        ]
    }

    /// Creates a value from amounts in the order of [`NAMES`].
    #[must_use]
    pub fn from_parts(parts: [u32; 5]) -> Self {
        let [millicores, memory, accelerators, slots, connections] = parts;
        Self {
            millicores,
            memory,
            accelerators,
            slots,
            connections,
        }
    }

    /// Returns whether every amount of this demand is at most that of `available`.
    #[must_use]
    pub fn fits(&self, available: &Self) -> bool {
        let available = available.parts();
        self.parts()
            .iter()
            .zip(available)
            .all(|(need, have)| *need <= have)
    }

    /// Subtracts `demand`; returns `None` when an amount would become negative.
    #[must_use]
    pub fn minus(&self, demand: &Self) -> Option<Self> {
        let mut left = self.parts();
        for (have, need) in left.iter_mut().zip(demand.parts()) {
            *have = have.checked_sub(need)?;
        }
        Some(Self::from_parts(left))
    }

    /// Adds `other`, saturating at the maximum of each amount.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        let mut sum = self.parts();
        for (a, b) in sum.iter_mut().zip(other.parts()) {
            *a = a.saturating_add(b);
        }
        Self::from_parts(sum)
    }

    /// Returns the larger of both amounts of each resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        let mut max = self.parts();
        for (a, b) in max.iter_mut().zip(other.parts()) {
            *a = (*a).max(b);
        }
        Self::from_parts(max)
    }

    /// Returns the names of the resources of which this demand exceeds `available`.
    #[must_use]
    pub fn excess(&self, available: &Self) -> Vec<&'static str> {
        let pairs = self.parts().into_iter().zip(available.parts()).zip(NAMES);
        pairs
            .filter(|((need, have), _)| need > have)
            .map(|(_, name)| name)
            .collect()
    }
}
