//! State of one profile at this instance: queue, limits, budgets and run-time estimate.

use std::{
    cmp::Reverse,
    sync::Arc, //
};

use crate::{
    context,
    ids::{
        Millis,
        ProfileName, //
    },
    kernel::requests::{
        budget::Budget,
        estimate::Estimate,
        limit::Limit,
        quota::TeamKey,
        types::{
            Arrival,
            AttemptKind,
            RequestKey,
            Stats, //
        },
    },
    modules::{
        self,
        Point, //
    },
    profile::Profile,
    resources::Resources, //
};

/// Divisor of a profile's deadline that gives the assumed run time until a sample arrives.
const PRIOR_DEADLINE_DIVISOR: u64 = 10;

slotmap::new_key_type! {
    /// Arena key of a profile's state.
    pub struct ProfileKey;
}

/// Sort key of a request in a queue; the lowest is dispatched first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Sort key returned by the profile's `order` plug-in.
    pub order: u64,
    /// Sequence number of the arrival, which breaks ties.
    pub seq: u64,
}

/// Plug-ins that a profile selects.
#[derive(Debug, Clone, Copy)]
pub struct Plugins {
    /// Selects a worker.
    pub route: fn(&context::Route<'_>) -> Option<usize>,
    /// Computes the sort key of a request in the queue.
    pub order: fn(&context::Order) -> u64,
    /// Decides whether to refuse a request at admission.
    pub shed: fn(&context::Shed) -> bool,
}

/// State of one profile.
#[derive(Debug)]
pub struct ProfileState {
    /// Name of the profile.
    pub name: ProfileName,
    /// Number of the current version.
    pub version: u32,
    /// Content of the current version.
    pub profile: Arc<Profile>,
    /// Team of the profile.
    pub team: TeamKey,
    /// Number of slots on each worker that the profile's requests leave free for others; declared
    /// in the profile or set when it is classified as long-running.
    pub reserve: u32,
    /// Plug-ins of the profile.
    pub plugins: Plugins,
    /// Waiting requests; the last one is dispatched next.
    pub queue: Vec<(Reverse<Position>, RequestKey)>,
    /// Number of open attempts, including those of unknown outcome.
    pub active: u32,
    /// Resources that the open attempts hold.
    pub held: Resources,
    /// Adaptive concurrency limit.
    pub limit: Limit,
    /// Run-time estimate.
    pub estimate: Estimate,
    /// Retry budget.
    pub retry: Budget,
    /// Budget for hedged attempts.
    pub hedge: Budget,
    /// Number of routing decisions so far.
    pub routed: u64,
    /// Counters for metrics.
    pub counts: Counts,
}

/// Counters of one profile since the start.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// First attempts.
    pub first: u64,
    /// Retries.
    pub retries: u64,
    /// Hedged attempts.
    pub hedges: u64,
    /// Requests refused for lack of capacity or time.
    pub shed: u64,
}

impl ProfileState {
    /// Creates the state of a profile at its first arrival.
    #[must_use]
    pub fn new(name: ProfileName, team: TeamKey, arrival: &Arrival) -> Self {
        let profile = &arrival.profile;
        let mut state = Self {
            name,
            version: arrival.version,
            profile: Arc::clone(profile),
            team,
            reserve: profile.limits.reserve,
            plugins: find_plugins(profile),
            queue: Vec::new(),
            active: 0,
            held: Resources::default(),
            limit: Limit::new(profile.limits.concurrency),
            estimate: Estimate::new(profile.objective.deadline / PRIOR_DEADLINE_DIVISOR),
            retry: Budget::default(),
            hedge: Budget::default(),
            routed: 0,
            counts: Counts::default(),
        };
        state.set_budgets();
        state
    }

    /// Returns whether an arrival carries a newer version.
    #[must_use]
    pub fn is_older(&self, arrival: &Arrival) -> bool {
        self.version < arrival.version
    }

    /// Switches to a newer version. Waiting requests keep their positions.
    pub fn update(&mut self, team: TeamKey, arrival: &Arrival) {
        let profile = &arrival.profile;
        self.version = arrival.version;
        self.team = team;
        self.reserve = self.reserve.max(profile.limits.reserve);
        self.profile = Arc::clone(profile);
        self.plugins = find_plugins(profile);
        self.limit.set_max(profile.limits.concurrency);
        self.set_budgets();
    }

    /// Adds a request to the queue.
    pub fn enqueue(&mut self, position: Position, key: RequestKey) {
        let entry = Reverse(position);
        let at = self.queue.partition_point(|(p, _)| *p < entry);
        self.queue.insert(at, (entry, key));
    }

    /// Removes a request from the queue. Returns whether it was queued.
    pub fn dequeue(&mut self, position: Position) -> bool {
        let entry = Reverse(position);
        let Ok(at) = self.queue.binary_search_by_key(&entry, |(p, _)| *p) else {
            return false;
        };
        self.queue.remove(at);
        true
    }

    /// Position and key of the request that is dispatched next.
    #[must_use]
    pub fn head(&self) -> Option<(Position, RequestKey)> {
        let (Reverse(position), key) = self.queue.last()?;
        Some((*position, *key))
    }

    /// Expected slot time of all waiting requests, in milliseconds.
    #[must_use]
    pub fn backlog(&self) -> u64 {
        self.queue.len() as u64 * self.estimate.cost()
    }

    /// Sort key of a request, as returned by the `order` plug-in.
    #[must_use]
    pub fn order(&self, arrived: Millis, deadline: Millis, share: u64) -> u64 {
        (self.plugins.order)(&context::Order {
            arrived,
            deadline,
            priority: self.profile.priority,
            estimate: self.estimate.median_or_zero(),
            share,
        })
    }

    /// Counts an attempt. A first attempt adds to the budgets; other attempts have been charged
    /// already.
    pub fn count_send(&mut self, kind: AttemptKind) {
        match kind {
            AttemptKind::First => {
                self.counts.first += 1;
                self.retry.earn();
                self.hedge.earn();
            }
            AttemptKind::Retry => self.counts.retries += 1,
            AttemptKind::Hedge => self.counts.hedges += 1,
        }
    }

    /// Run time after which an attempt counts as a straggler, in milliseconds.
    #[must_use]
    pub fn straggler_after(&self, factor: f64) -> u64 {
        (self.estimate.quantile(0.9) as f64 * factor) as u64
    }

    /// Delay before a hedged attempt, in milliseconds, if the profile allows hedging and its run
    /// times are known.
    #[must_use]
    pub fn hedge_after(&self) -> Option<u64> {
        let hedge = &self.profile.hedge;
        let wanted = hedge.budget > 0.0 && self.estimate.is_known();
        wanted.then(|| self.estimate.quantile(hedge.quantile))
    }

    /// Statistics for metrics.
    #[must_use]
    pub fn stats(&self) -> Stats {
        Stats {
            profile_name: self.name.clone(),
            queued: self.queue.len() as u32,
            active: self.active,
            limit: self.limit.get(),
            mean: self.estimate.mean(),
            tail: self.estimate.quantile(0.99),
            first: self.counts.first,
            retries: self.counts.retries,
            hedges: self.counts.hedges,
            shed: self.counts.shed,
        }
    }

    fn set_budgets(&mut self) {
        self.retry.set_share(self.profile.retry.budget);
        self.hedge.set_share(self.profile.hedge.budget);
    }
}

/// Looks up the plug-ins of a profile. An unknown name falls back to a baseline: the profile was
/// validated by the instance that accepted it, which may run another version of this program.
fn find_plugins(profile: &Profile) -> Plugins {
    let policies = &profile.policies;
    let mut found = Plugins {
        route: |_| Some(0),
        order: |o| o.arrived.0,
        shed: |s| s.queued >= s.limit,
    };
    let chosen = [
        ("route", &policies.route),
        ("order", &policies.order),
        ("shed", &policies.shed),
    ];
    for (point, name) in chosen {
        match modules::find(point, name).map(|p| p.point) {
            Some(Point::Route(f)) => found.route = f,
            Some(Point::Order(f)) => found.order = f,
            Some(Point::Shed(f)) => found.shed = f,
            Some(Point::Pack(_)) | None => {}
        }
    }
    found
}
