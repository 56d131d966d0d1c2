//! Preference for workers on which tasks slow each other down less.

use std::cmp::Reverse;

use crate::cell::job::WorkerKey;

use super::{
    evidence::Evidence,
    kinds::Kind,
    presence::Presence, //
};

/// Workers as a task of one kind sees them.
#[derive(Debug, Clone, Copy)]
pub struct View<'a> {
    kind: Kind,
    /// Kinds that are in a pair with this one.
    relevant: u64,
    presence: &'a Presence,
    evidence: &'a Evidence,
}

impl<'a> View<'a> {
    /// View of a kind; `None` if it is in no pair.
    pub(super) fn new(kind: Kind, presence: &'a Presence, evidence: &'a Evidence) -> Option<Self> {
        let relevant = evidence.slowed_by(kind) | evidence.slows(kind);
        (relevant != 0).then_some(Self {
            kind,
            relevant,
            presence,
            evidence,
        })
    }

    /// How much one more task of the kind would be slowed down on a worker, and slow down those
    /// there, in hundredths of a run time.
    #[must_use]
    pub fn cost(&self, worker: WorkerKey) -> u32 {
        let there = self.presence.kinds_on(worker) & self.relevant;
        let costs = Kind::all_of(there).map(|other| {
            let own = self.evidence.excess(self.kind, other);
            let theirs = self.evidence.excess(other, self.kind);
            let count = self.presence.count(worker, other);
            own.saturating_add(theirs.saturating_mul(count))
        });
        costs.fold(0, u32::saturating_add)
    }
}

/// Selects the workers of a gang of `need` members from pairs of index and number of members that fit,
/// sorted by preference with the largest number first. Uses as few workers as possible and, among as
/// few, those with the lowest cost.
pub fn choose(
    offers: &[(usize, u32)],
    need: u32,
    cost: impl Fn(usize) -> u32,
) -> Vec<(usize, u32)> {
    let mut offers: Vec<(usize, u32, u32)> =
        offers.iter().map(|(i, n)| (*i, *n, cost(*i))).collect();
    offers.sort_by_key(|(_, count, cost)| (Reverse(*count), *cost));
    let mut left = need;
    let mut chosen = Vec::new();
    let mut rest = offers.as_slice();
    while let Some(((at, count, _), others)) = rest.split_first().filter(|_| left > 0) {
        if *count >= left {
            // One more worker is enough.
            let last = rest.iter().filter(|(_, count, _)| *count >= left);
            let last = last.min_by_key(|(_, _, cost)| *cost);
            chosen.extend(last.map(|(at, _, _)| (*at, left)));
            break;
        }
        chosen.push((*at, *count));
        left -= count;
        rest = others;
    }
    chosen
}
