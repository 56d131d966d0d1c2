//! The state of one profile at this instance.

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

/// The part of a profile's deadline that is taken for its run time until something is learned.
const PRIOR_DEADLINE_DIVISOR: u64 = 10;

slotmap::new_key_type! {
    /// A profile in the kernel's arena.
    pub struct ProfileKey;
}

/// A place in a queue; the lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The key that the profile's `order` plug-in gave.
    pub order: u64,
    /// Rises with every arrival.
    pub seq: u64,
}

/// The plug-ins that decide for a profile.
#[derive(Debug, Clone, Copy)]
pub struct Plugins {
    /// Chooses the worker.
    pub route: fn(&context::Route<'_>) -> Option<usize>,
    /// Orders the queue.
    pub order: fn(&context::Order) -> u64,
    /// Refuses at admission.
    pub shed: fn(&context::Shed) -> bool,
}

/// The state of one profile.
#[derive(Debug)]
pub struct ProfileState {
    /// Its name.
    pub name: ProfileName,
    /// The number of the version in force.
    pub version: u32,
    /// The version in force.
    pub profile: Arc<Profile>,
    /// Its team.
    pub team: TeamKey,
    /// Slots of each worker that its work leaves to others, as declared or learned.
    pub reserve: u32,
    /// Its plug-ins.
    pub plugins: Plugins,
    /// What waits, the next one last.
    pub queue: Vec<(Reverse<Position>, RequestKey)>,
    /// Attempts in progress, with those of unknown outcome.
    pub active: u32,
    /// What they hold.
    pub held: Resources,
    /// The concurrency limit.
    pub limit: Limit,
    /// Run times.
    pub estimate: Estimate,
    /// Allows retries.
    pub retry: Budget,
    /// Allows hedged copies.
    pub hedge: Budget,
    /// Counts routing decisions.
    pub routed: u64,
    /// Counts what was done, for metrics.
    pub counts: Counts,
}

/// Counters of one profile since the start.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// First sends.
    pub first: u64,
    /// Retries.
    pub retries: u64,
    /// Hedged copies.
    pub hedges: u64,
    /// Refusals for want of room or time.
    pub shed: u64,
}

impl ProfileState {
    /// The state of a profile that is seen for the first time.
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

    /// Whether an arrival brings a newer version.
    #[must_use]
    pub fn is_older(&self, arrival: &Arrival) -> bool {
        self.version < arrival.version
    }

    /// Puts a newer version in force. What waits keeps its place.
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

    /// Takes a request out of the queue. Returns whether it was there.
    pub fn dequeue(&mut self, position: Position) -> bool {
        let entry = Reverse(position);
        let Ok(at) = self.queue.binary_search_by_key(&entry, |(p, _)| *p) else {
            return false;
        };
        self.queue.remove(at);
        true
    }

    /// The place of the request that goes next.
    #[must_use]
    pub fn head(&self) -> Option<(Position, RequestKey)> {
        let (Reverse(position), key) = self.queue.last()?;
        Some((*position, *key))
    }

    /// Work that waits, in milliseconds of slot time.
    #[must_use]
    pub fn backlog(&self) -> u64 {
        self.queue.len() as u64 * self.estimate.cost()
    }

    /// What the `order` plug-in sees of a request.
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

    /// Counts a send, which earns or has spent a budget.
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

    /// The run time after which an attempt counts as long work, in milliseconds.
    #[must_use]
    pub fn straggler_after(&self, factor: f64) -> u64 {
        (self.estimate.quantile(0.9) as f64 * factor) as u64
    }

    /// The time after which a hedged copy is sent, in milliseconds, if the profile wants any.
    #[must_use]
    pub fn hedge_after(&self) -> Option<u64> {
        let hedge = &self.profile.hedge;
        let wanted = hedge.budget > 0.0 && self.estimate.is_known();
        wanted.then(|| self.estimate.quantile(hedge.quantile))
    }

    /// Figures for metrics.
    #[must_use]
    pub fn stats(&self) -> Stats {
        Stats {
            name: self.name.clone(),
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

/// Looks the plug-ins up. A name that is unknown here falls back to a baseline: the profile was
/// checked by the instance that accepted it, which may run another version of this program.
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
