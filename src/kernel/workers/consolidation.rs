//! Selects the workers whose leases are consolidated at one instance for a gang.

use xxhash_rust::xxh3;

use crate::{
    ids::RunId,
    kernel::workers::Workers,
    wire::list, //
};

/// Gang for which workers are consolidated at the instance responsible for the gang.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Identifier of the gang.
    pub run: RunId,
    /// Number of workers to consolidate.
    pub count: usize,
}

impl Workers {
    /// Marks the workers to consolidate for a gang, or clears the marks if there is none.
    pub fn consolidate(&mut self, target: Option<Target>) {
        if self.consolidation == target {
            return;
        }
        self.consolidation = target;
        let mut ranked = Vec::new();
        for (key, entry) in &mut self.arena {
            entry.consolidated = false;
            let Some(target) = &self.consolidation else {
                continue;
            };
            if entry.zone == self.me.zone && entry.listed_state == list::State::Live {
                let seed = xxh3::xxh3_64(target.run.as_str().as_bytes());
                let weight = xxh3::xxh3_64_with_seed(entry.id.as_str().as_bytes(), seed);
                ranked.push((weight, key));
            }
        }
        ranked.sort_unstable();
        let count = self.consolidation.as_ref().map_or(0, |t| t.count);
        for (_, key) in ranked.into_iter().take(count) {
            if let Some(entry) = self.arena.get_mut(key) {
                entry.consolidated = true;
            }
        }
    }
}
