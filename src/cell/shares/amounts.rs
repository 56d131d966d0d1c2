//! Sums of the resources that organisations share.

use crate::resources::Resources;

/// Number of kinds of resources that organisations share: CPU, memory and accelerators.
pub const KINDS: usize = 3;

/// Resources of many tasks: CPU in millicores, memory in MiB and accelerators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Amounts(pub [u64; KINDS]);

impl Amounts {
    /// Amounts of one demand, cap or capacity.
    #[must_use]
    pub fn of(resources: &Resources) -> Self {
        let parts = [
            resources.millicores,
            resources.memory,
            resources.accelerators,
        ];
        Self(parts.map(u64::from))
    }

    /// CPU, in millicores.
    #[must_use]
    pub fn millicores(&self) -> u64 {
        self.0[0]
    }

    /// Adds `other`.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self(std::array::from_fn(|at| {
            self.0[at].saturating_add(other.0[at])
        }))
    }

    /// Subtracts `other`; no amount becomes negative.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        Self(std::array::from_fn(|at| {
            self.0[at].saturating_sub(other.0[at])
        }))
    }

    /// The smaller of each amount and that of `other`.
    #[must_use]
    pub fn at_most(self, other: Self) -> Self {
        Self(std::array::from_fn(|at| self.0[at].min(other.0[at])))
    }

    /// The larger of each amount and that of `other`.
    #[must_use]
    pub fn at_least(self, other: Self) -> Self {
        Self(std::array::from_fn(|at| self.0[at].max(other.0[at])))
    }

    /// Amounts of `count` times as much.
    #[must_use]
    pub fn times(self, count: u64) -> Self {
        Self(self.0.map(|amount| amount.saturating_mul(count)))
    }

    /// Amounts that are larger by `share` of themselves, rounded down.
    #[must_use]
    pub fn raised(self, share: f64) -> Self {
        Self(self.0.map(|amount| amount + (amount as f64 * share) as u64))
    }

    /// Number of tasks of `demand` that fit under this cap beside `used`. A cap of 0 is no limit.
    #[must_use]
    pub fn room(self, used: Self, demand: Self) -> u32 {
        let fits = |at: usize| match (self.0[at], demand.0[at]) {
            (0, _) | (_, 0) => u32::MAX,
            (cap, demand) => {
                let left = cap.saturating_sub(used.0[at]);
                u32::try_from(left / demand).unwrap_or(u32::MAX)
            }
        };
        (0..KINDS).map(fits).min().unwrap_or(u32::MAX)
    }

    /// Whether no amount exceeds `cap`. A cap of 0 is no limit.
    #[must_use]
    pub fn is_within(self, cap: Self) -> bool {
        let mut pairs = self.0.into_iter().zip(cap.0);
        pairs.all(|(used, cap)| cap == 0 || used <= cap)
    }

    /// Largest part of `total` that one of the amounts is.
    #[must_use]
    pub fn dominant(self, total: Self) -> f64 {
        let pairs = self.0.into_iter().zip(total.0);
        let parts = pairs.filter(|(_, total)| *total > 0);
        let parts = parts.map(|(used, total)| used as f64 / total as f64);
        parts.fold(0.0, f64::max)
    }
}
