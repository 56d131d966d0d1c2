//! The choice of a worker for one task, through the profile's `pack` plug-in.

use crate::{
    context,
    ids::{
        Millis,
        RackId, //
    },
    kernel::{
        Offer,
        Room,
        WorkerKey,
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

/// Workers that a plug-in chooses from: half of them those with the least room, half random ones.
const CANDIDATES: usize = 16;

/// The plug-in of one profile.
pub(super) struct Chooser {
    decide: Option<fn(&context::Pack<'_>) -> Option<usize>>,
}

impl Chooser {
    /// The plug-in that a profile names, or the default one without a profile.
    pub(super) fn new(profile: Option<&Profile>) -> Self {
        let fallback = Policies::default().pack;
        let name = profile.map_or(&fallback, |p| &p.policies.pack);
        let decide = match modules::find("pack", name).map(|p| p.point) {
            Some(Point::Pack(decide)) => Some(decide),
            _ => None,
        };
        Self { decide }
    }

    /// Chooses one of the offers, if there is any.
    pub(super) fn choose(
        &self,
        offers: &[Offer],
        job: &Job,
        racks: &Peers,
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

fn node(offer: &Offer, racks: &Peers, workers: &Workers) -> context::Node {
    let entry = workers.get(offer.worker);
    context::Node {
        free: offer.free,
        capacity: offer.capacity,
        rack_peers: entry.map_or(0, |w| racks.at(&w.rack)),
        errors: entry.map_or(0.0, |w| w.errors),
    }
}

/// Workers with room for a job's next task that are not barred. Of them only those in the racks
/// that the job's profile prefers, whatever the plug-in.
pub(super) fn offers(
    now: Millis,
    workers: &Workers,
    job: &Job,
    racks: &Peers,
    random: u64,
    barred: impl Fn(WorkerKey) -> bool,
) -> Vec<Offer> {
    let demand = &job.spec.demand;
    let mut offers = Vec::with_capacity(CANDIDATES * 2);
    workers.sample_tight(now, demand, random, CANDIDATES / 2, &mut offers);
    workers.sample(now, demand, random, CANDIDATES / 2, &mut offers);
    if let Racks::Together = job.spec.terms.racks
        && let Some(rack) = racks.fullest()
    {
        workers.sample_rack(now, demand, rack, CANDIDATES, &mut offers);
    }
    offers.retain(|o| !barred(o.worker));
    let peers = |o: &Offer| workers.get(o.worker).map_or(0, |w| racks.at(&w.rack));
    let best = match job.spec.terms.racks {
        Racks::Any => None,
        Racks::Spread => offers.iter().map(peers).min(),
        Racks::Together => offers.iter().map(peers).max(),
    };
    offers.retain(|o| best.is_none_or(|best| peers(o) == best));
    offers
}

/// Tasks of one job by rack, sorted.
#[derive(Debug, Default)]
pub(super) struct Peers {
    rows: Vec<(RackId, u32)>,
}

impl Peers {
    /// Counts a job's claimed tasks.
    pub(super) fn count(&mut self, job: &Job, workers: &Workers) {
        for (_, place) in job.assignments() {
            let entry = workers.key(&place.worker).and_then(|key| workers.get(key));
            if let Some(entry) = entry {
                self.add(&entry.rack);
            }
        }
    }

    /// Counts one more task.
    pub(super) fn add(&mut self, rack: &RackId) {
        match self.rows.binary_search_by(|row| row.0.cmp(rack)) {
            Ok(at) => self.rows[at].1 += 1,
            Err(at) => self.rows.insert(at, (rack.clone(), 1)),
        }
    }

    /// The rack with the most tasks.
    fn fullest(&self) -> Option<&RackId> {
        let most = self.rows.iter().max_by_key(|row| row.1);
        most.map(|row| &row.0)
    }

    /// The tasks in a rack.
    fn at(&self, rack: &RackId) -> u32 {
        let found = self.rows.binary_search_by(|row| row.0.cmp(rack));
        found.map_or(0, |at| self.rows[at].1)
    }
}

/// A well mixed number from a counter.
pub(super) fn scramble(turn: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&turn.to_le_bytes())
}
