//! Chooses a worker for one task through the `pack` plug-in of its profile.

use crate::{
    context,
    ids::{
        Millis,
        RackId, //
    },
    kernel::{
        Offer,
        WorkerKey,
        WorkerPool,
        workers::Workers, //
    },
    ledger::jobs::job::Job,
    modules::{
        self,
        Point, //
    },
    profile::{
        Policies,
        Profile,
        Racks, //
    }, //
};

/// Number of workers that a plug-in chooses from: half of them are those with the fewest free
/// slots, the other half are random.
const MAX_CANDIDATES: usize = 16;

/// The `pack` plug-in of one profile.
pub(super) struct Policy {
    decide: Option<fn(&context::Pack<'_>) -> Option<usize>>,
}

impl Policy {
    /// Returns the plug-in that a profile names, or the default plug-in without a profile.
    pub(super) fn new(profile: Option<&Profile>) -> Self {
        let default = Policies::default().pack;
        let name = profile.map_or(&default, |p| &p.policies.pack);
        let decide = match modules::find("pack", name).map(|p| p.point) {
            Some(Point::Pack(decide)) => Some(decide),
            _ => None,
        };
        Self { decide }
    }

    /// Chooses a worker among the offers, if there are any.
    pub(super) fn choose(
        &self,
        offers: &[Offer],
        job: &Job,
        racks: &RackCounts,
        workers: &Workers,
        random: u64,
    ) -> Option<WorkerKey> {
        if offers.is_empty() {
            return None;
        }
        let nodes: Vec<_> = offers.iter().map(|o| node(o, racks, workers)).collect();
        let ctx = context::Pack {
            nodes: &nodes,
            demand: job.spec.demand,
            racks: job.spec.terms.racks,
            random,
        };
        let at = match self.decide {
            Some(decide) => decide(&ctx)?,
            None => 0,
        };
        offers.get(at).map(|o| o.worker)
    }
}

fn node(offer: &Offer, racks: &RackCounts, workers: &Workers) -> context::Node {
    let entry = workers.get(offer.worker);
    context::Node {
        free: offer.free,
        capacity: offer.capacity,
        rack_peers: entry.map_or(0, |w| racks.count_in(&w.rack)),
        errors: entry.map_or(0.0, |w| w.errors),
    }
}

/// Returns workers that fit the next task of a job and are not excluded. Only those in the racks
/// that the profile of the job prefers are returned, whatever the plug-in.
pub(super) fn candidates(
    now: Millis,
    workers: &Workers,
    job: &Job,
    racks: &RackCounts,
    random: u64,
    excluded: impl Fn(WorkerKey) -> bool,
) -> Vec<Offer> {
    let demand = &job.spec.demand;
    let mut offers = Vec::with_capacity(MAX_CANDIDATES * 2);
    workers.sample_tight(now, demand, random, MAX_CANDIDATES / 2, &mut offers);
    workers.sample(now, demand, random, MAX_CANDIDATES / 2, &mut offers);
    if let Racks::Together = job.spec.terms.racks
        && let Some(rack) = racks.fullest()
    {
        workers.sample_rack(now, demand, rack, MAX_CANDIDATES, &mut offers);
    }
    offers.retain(|o| !excluded(o.worker));
    let count = |o: &Offer| workers.get(o.worker).map_or(0, |w| racks.count_in(&w.rack));
    let best = match job.spec.terms.racks {
        Racks::Any => None,
        Racks::Spread => offers.iter().map(count).min(),
        Racks::Together => offers.iter().map(count).max(),
    };
    offers.retain(|o| best.is_none_or(|best| count(o) == best));
    offers
}

/// Keeps only workers on which nothing runs, if there are any: a task whose worker crashed may crash
/// the next one, too.
pub(super) fn prefer_empty(offers: &mut Vec<Offer>) {
    let empty = |o: &Offer| o.free == o.capacity;
    if offers.iter().any(empty) {
        offers.retain(empty);
    }
}

/// Number of tasks of one job in each rack, sorted by rack.
#[derive(Debug, Default)]
pub(super) struct RackCounts {
    rows: Vec<(RackId, u32)>,
}

impl RackCounts {
    /// Counts the claimed tasks of a job.
    pub(super) fn count_job(&mut self, job: &Job, workers: &Workers) {
        for (_, place) in job.assignments() {
            let entry = workers.key(&place.worker).and_then(|key| workers.get(key));
            if let Some(entry) = entry {
                self.add(&entry.rack);
            }
        }
    }

    /// Counts one more task in a rack.
    pub(super) fn add(&mut self, rack: &RackId) {
        match self.rows.binary_search_by(|row| row.0.cmp(rack)) {
            Ok(at) => self.rows[at].1 += 1,
            Err(at) => self.rows.insert(at, (rack.clone(), 1)),
        }
    }

    /// Returns the rack with the most tasks.
    fn fullest(&self) -> Option<&RackId> {
        let most = self.rows.iter().max_by_key(|row| row.1);
        most.map(|row| &row.0)
    }

    /// Returns the number of tasks in a rack.
    fn count_in(&self, rack: &RackId) -> u32 {
        let found = self.rows.binary_search_by(|row| row.0.cmp(rack));
        found.map_or(0, |at| self.rows[at].1)
    }
}

/// Returns a pseudorandom number derived from a counter.
pub(super) fn hash(turn: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&turn.to_le_bytes())
}
