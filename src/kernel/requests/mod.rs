//! Request scheduling: admission, queues, dispatch to free slots, retries, hedging and outlier
//! ejection.
//!
//! Requests wait here in one bounded queue per profile and are bound late to a free slot of a
//! worker; there are no queues inside workers. The surrounding actor calls [`Requests::submit`] for
//! each arrival, [`Requests::dispatch`] after each arrival and whenever a slot became free,
//! [`Requests::finish_attempt`] for each attempt, and [`Requests::tick`] every few milliseconds.

use rand::{
    RngCore,
    SeedableRng,
    rngs::SmallRng, //
};
use slotmap::SlotMap;

use crate::{
    configs, context,
    ids::{
        IdempotencyKey,
        Millis,
        ProfileName, //
    },
    kernel::{
        self,
        WorkerPool, //
    },
};

mod admit;
pub mod budget;
mod dispatch;
pub mod estimate;
mod finish;
mod forward;
mod hedge;
pub mod limit;
pub mod profile_state;
pub mod quota;
mod request;
mod tick;
pub mod timers;
mod types;
pub mod workers;

pub use types::{
    Action,
    Arrival,
    AttemptKey,
    AttemptKind,
    Dispatch,
    Forward,
    ForwardTarget,
    Notice,
    Outcome,
    RequestKey,
    Stats, //
};

/// Number of priority levels of profiles, 0 to 9.
const PRIORITIES: usize = 10;

/// All unfinished requests of one entry instance, with the statistics of profiles and workers.
#[derive(Debug)]
pub struct Requests {
    cfg: configs::requests::Requests,
    random: SmallRng,
    profiles: SlotMap<profile_state::ProfileKey, profile_state::ProfileState>,
    by_name: Vec<(ProfileName, profile_state::ProfileKey)>,
    backlogged: Vec<profile_state::ProfileKey>,
    teams: SlotMap<quota::TeamKey, quota::Team>,
    requests: SlotMap<RequestKey, request::Request>,
    attempts: SlotMap<AttemptKey, request::Attempt>,
    worker_stats: workers::StatsTable,
    deadline_timers: timers::Timers<RequestKey>,
    backoff_timers: timers::Timers<RequestKey>,
    hedge_timers: timers::Timers<AttemptKey>,
    straggler_timers: timers::Timers<AttemptKey>,
    notices: Vec<Notice>,
    slots: Slots,
    queued: u32,
    seq: u64,
    virtual_clock: u64,
    last_review: Millis,
    draining: bool,
    offers: Vec<kernel::Offer>,
    targets: Vec<context::Target>,
}

/// Slot counts at the last update, for estimating waiting times.
#[derive(Debug, Clone, Copy, Default)]
struct Slots {
    /// Slots held by all work on the workers.
    held: u32,
    /// Slots held by requests, by priority.
    by_priority: [u32; PRIORITIES],
    /// Total number of slots.
    total: u32,
}

impl Slots {
    /// Number of slots that requests hold or could get.
    fn usable(self) -> u32 {
        let own: u32 = self.by_priority.iter().sum();
        let others = self.held.saturating_sub(own);
        self.total.saturating_sub(others)
    }

    /// Number of slots held by requests of a higher priority.
    fn held_above(self, priority: u8) -> u64 {
        let higher = self.by_priority.iter().skip(usize::from(priority) + 1);
        higher.map(|held| u64::from(*held)).sum()
    }

    fn acquire(&mut self, priority: u8, slots: u32) {
        if let Some(own) = self.by_priority.get_mut(usize::from(priority)) {
            *own += slots;
        }
    }

    fn release(&mut self, priority: u8, slots: u32) {
        if let Some(own) = self.by_priority.get_mut(usize::from(priority)) {
            *own = own.saturating_sub(slots);
        }
    }
}

impl Requests {
    /// Creates a scheduler without requests. `seed` seeds the backoff jitter and the order in which
    /// workers are tried.
    #[must_use]
    pub fn new(cfg: configs::requests::Requests, seed: u64) -> Self {
        Self {
            cfg,
            random: SmallRng::seed_from_u64(seed),
            profiles: SlotMap::with_key(),
            by_name: Vec::new(),
            backlogged: Vec::new(),
            teams: SlotMap::with_key(),
            requests: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            worker_stats: workers::StatsTable::default(),
            deadline_timers: timers::Timers::default(),
            backoff_timers: timers::Timers::default(),
            hedge_timers: timers::Timers::default(),
            straggler_timers: timers::Timers::default(),
            notices: Vec::new(),
            slots: Slots::default(),
            queued: 0,
            seq: 0,
            virtual_clock: 0,
            last_review: Millis(0),
            draining: false,
            offers: Vec::new(),
            targets: Vec::new(),
        }
    }

    /// Refuses all further arrivals. Admitted requests continue.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns whether no request waits or is in progress.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of unfinished requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether there are no unfinished requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Number of requests that wait for a slot.
    #[must_use]
    pub fn queued(&self) -> u32 {
        self.queued
    }

    /// Number of open attempts, including those of unknown outcome.
    #[must_use]
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Idempotency key of a request, if the caller sent one.
    #[must_use]
    pub fn idempotency_key(&self, key: RequestKey) -> Option<&IdempotencyKey> {
        self.requests.get(key)?.idempotency_key.as_ref()
    }

    /// Number of ejected workers.
    #[must_use]
    pub fn ejected(&self) -> u32 {
        self.worker_stats.ejected()
    }

    /// Statistics of a worker.
    #[must_use]
    pub fn worker_stats(&self, key: kernel::WorkerKey) -> workers::WorkerStats {
        self.worker_stats.get(key)
    }

    /// Statistics of each profile, sorted by name.
    #[must_use]
    pub fn stats(&self) -> Vec<Stats> {
        let profiles = self.by_name.iter().map(|(_, key)| &self.profiles[*key]);
        profiles.map(profile_state::ProfileState::stats).collect()
    }

    /// Time of the next deadline, retry or hedged attempt, at which [`Requests::tick`] or
    /// [`Requests::dispatch`] has work to do if nothing happens before. Straggler timers and the
    /// classification of profiles are not considered.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Millis> {
        let due = [
            self.deadline_timers.next_due(),
            self.backoff_timers.next_due(),
            self.hedge_timers.next_due(),
        ];
        due.into_iter().flatten().min()
    }

    /// Updates the slot counts that waiting times are estimated from.
    fn refresh_slots(&mut self, pool: &dyn WorkerPool) {
        let (held, total) = pool.slots();
        self.slots.held = held;
        self.slots.total = total;
    }

    fn next_random(&mut self) -> u64 {
        self.random.next_u64()
    }
}
