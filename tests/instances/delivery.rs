//! Faults on the way of commands: paths between single instances and single workers that are cut,
//! and workers that carry commands out late or are unwell.

use std::ops::Range;

use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};

/// Delays of commands that are carried out late, in milliseconds: as long as a start command stays
/// valid, and longer.
const LATE_MS: [Range<u64>; 2] = [500..2_500, 2_500..12_000];

/// Paths that are cut, between each of some instances and each of some workers. Both are sets of
/// numbers, one bit each; [`ALL_INSTANCES`] stands for every sender, also an unknown one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct PathCut {
    pub(super) instances: u64,
    pub(super) workers: u64,
    /// Whether commands arrive and only their answers are lost.
    pub(super) answers: bool,
}

/// Senders of a cut that no command passes.
pub(super) const ALL_INSTANCES: u64 = u64::MAX;

/// Treatment of commands by a worker, each in commands per thousand.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Manners {
    /// Carried out late and never answered.
    pub(super) late: u64,
    /// Answered with status 503 and not carried out.
    pub(super) unwell: u64,
}

/// What becomes of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Delivery {
    /// It is carried out and answered.
    Prompt,
    /// It is never carried out.
    Lost,
    /// It is answered with status 503.
    Unwell,
    /// It is carried out after a delay in milliseconds, and never answered.
    Late(u64),
    /// It is carried out once the commands that are held back are released, and never answered.
    Held,
}

/// Faults of all paths and workers.
#[derive(Debug)]
pub(super) struct Faults {
    /// Cuts that are in force; they may overlap.
    pub(super) cuts: Vec<PathCut>,
    /// Treatment of commands by each worker; those beyond the end are well.
    pub(super) manners: Vec<Manners>,
    /// Number of commands that are still to be carried out late.
    pub(super) late: usize,
    /// Worker whose commands at a path are held back.
    pub(super) held: Option<(usize, &'static str)>,
    /// Number of commands held back so far that have an expiry: starts, and polls that renew leases.
    pub(super) expiries_held: usize,
    /// Whether the commands that were held back are released.
    pub(super) released: bool,
    /// Delays of commands that are carried out late, in milliseconds; each range is drawn as often.
    pub(super) late_ms: [Range<u64>; 2],
    rng: SmallRng,
}

impl Faults {
    /// Returns paths and workers without a fault; later draws follow from the seed.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            cuts: Vec::new(),
            manners: Vec::new(),
            late: 0,
            held: None,
            expiries_held: 0,
            released: false,
            late_ms: LATE_MS,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Draws what becomes of a command at a path from an instance to a worker.
    pub(super) fn draw(&mut self, instance: Option<usize>, worker: usize, path: &str) -> Delivery {
        if self.is_cut(instance, worker, false) {
            return Delivery::Lost;
        }
        if self.held == Some((worker, path)) {
            return Delivery::Held;
        }
        let manners = self.manners.get(worker).copied().unwrap_or_default();
        let draw = self.rng.random_range(0..1_000);
        if draw < manners.late {
            let range = self.late_ms[self.rng.random_range(0..LATE_MS.len())].clone();
            Delivery::Late(self.rng.random_range(range))
        } else if draw < manners.late + manners.unwell {
            Delivery::Unwell
        } else {
            Delivery::Prompt
        }
    }

    /// Whether the path is cut for commands, or for their answers.
    pub(super) fn is_cut(&self, instance: Option<usize>, worker: usize, answer: bool) -> bool {
        let sends = |cut: &PathCut| match instance {
            Some(instance) => cut.instances >> instance & 1 == 1,
            None => cut.instances == ALL_INSTANCES,
        };
        self.cuts.iter().any(|cut| {
            let both = sends(cut) && cut.workers >> worker & 1 == 1;
            both && (answer || !cut.answers)
        })
    }

    /// Sets the treatment of commands by some workers.
    pub(super) fn set_manners(&mut self, workers: u64, manners: Manners) {
        self.manners.resize(u64::BITS as usize, Manners::default());
        let each = self.manners.iter_mut().enumerate();
        each.filter(|(at, _)| workers >> at & 1 == 1)
            .for_each(|(_, treatment)| *treatment = manners);
    }

    /// Ends one cut like `cut`.
    pub(super) fn heal(&mut self, cut: &PathCut) {
        if let Some(at) = self.cuts.iter().position(|active| active == cut) {
            self.cuts.swap_remove(at);
        }
    }
}
