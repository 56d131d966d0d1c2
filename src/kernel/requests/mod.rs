//! Requests: admission, queues, dispatch to free slots, retries, hedging and ejection.
//!
//! Requests wait here in bounded queues by profile and are bound late to a free slot of a worker;
//! nothing waits inside a worker. The shell calls [`Requests::submit`] for every arrival,
//! [`Requests::next`] whenever something arrived or a slot became free, [`Requests::finished`] for
//! every attempt, and [`Requests::tick`] every few milliseconds.

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
    Arrival,
    AttemptKey,
    Dispatch,
    Forward,
    Gauge,
    Kind,
    Notice,
    Outcome,
    Peer,
    RequestKey,
    Step, //
};

/// Priorities of profiles, 0 to 9.
const PRIORITIES: usize = 10;

/// All requests of one entry instance that have not got their final step, and what was learned.
#[derive(Debug)]
pub struct Requests {
    cfg: configs::requests::Requests,
    random: SmallRng,
    classes: SlotMap<profile_state::ClassKey, profile_state::Class>,
    names: Vec<(ProfileName, profile_state::ClassKey)>,
    busy: Vec<profile_state::ClassKey>,
    teams: SlotMap<quota::TeamKey, quota::Team>,
    requests: SlotMap<RequestKey, request::Request>,
    attempts: SlotMap<AttemptKey, request::Attempt>,
    workers: workers::Workers,
    deadlines: timers::Timers<RequestKey>,
    delayed: timers::Timers<RequestKey>,
    slow: timers::Timers<AttemptKey>,
    stragglers: timers::Timers<AttemptKey>,
    notices: Vec<Notice>,
    slots: Slots,
    queued: u32,
    seq: u64,
    pace: u64,
    reviewed: Millis,
    draining: bool,
    offers: Vec<kernel::Offer>,
    targets: Vec<context::Target>,
}

/// Slots as last seen, for estimates of waiting.
#[derive(Debug, Clone, Copy, Default)]
struct Slots {
    /// Held by all work on the workers.
    held: u32,
    /// Held by requests, by their priority.
    own: [u32; PRIORITIES],
    /// In all.
    total: u32,
}

impl Slots {
    /// Slots that requests hold or could hold.
    fn usable(self) -> u32 {
        let own: u32 = self.own.iter().sum();
        let others = self.held.saturating_sub(own);
        self.total.saturating_sub(others)
    }

    /// Slots that requests of a higher priority hold.
    fn above(self, priority: u8) -> u64 {
        let higher = self.own.iter().skip(usize::from(priority) + 1);
        higher.map(|held| u64::from(*held)).sum()
    }

    fn take(&mut self, priority: u8, slots: u32) {
        if let Some(own) = self.own.get_mut(usize::from(priority)) {
            *own += slots;
        }
    }

    fn give(&mut self, priority: u8, slots: u32) {
        if let Some(own) = self.own.get_mut(usize::from(priority)) {
            *own = own.saturating_sub(slots);
        }
    }
}

impl Requests {
    /// A kernel without requests. `seed` decides jitter and the order in which workers are tried.
    #[must_use]
    pub fn new(cfg: configs::requests::Requests, seed: u64) -> Self {
        Self {
            cfg,
            random: SmallRng::seed_from_u64(seed),
            classes: SlotMap::with_key(),
            names: Vec::new(),
            busy: Vec::new(),
            teams: SlotMap::with_key(),
            requests: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            workers: workers::Workers::default(),
            deadlines: timers::Timers::default(),
            delayed: timers::Timers::default(),
            slow: timers::Timers::default(),
            stragglers: timers::Timers::default(),
            notices: Vec::new(),
            slots: Slots::default(),
            queued: 0,
            seq: 0,
            pace: 0,
            reviewed: Millis(0),
            draining: false,
            offers: Vec::new(),
            targets: Vec::new(),
        }
    }

    /// Refuses all further arrivals. What was admitted goes on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether no request waits or is in progress.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    /// Requests that have not got their final step.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Requests that wait for a slot.
    #[must_use]
    pub fn queued(&self) -> u32 {
        self.queued
    }

    /// Attempts that hold a slot, with those of unknown outcome.
    #[must_use]
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// The idempotency key that a request came with.
    #[must_use]
    pub fn idempotency_key(&self, key: RequestKey) -> Option<&IdempotencyKey> {
        self.requests.get(key)?.key.as_ref()
    }

    /// How many workers are ejected.
    #[must_use]
    pub fn ejected(&self) -> u32 {
        self.workers.ejected()
    }

    /// What is known of a worker.
    #[must_use]
    pub fn worker(&self, key: kernel::WorkerKey) -> workers::Worker {
        self.workers.get(key)
    }

    /// Figures of each profile, sorted by name.
    #[must_use]
    pub fn gauges(&self) -> Vec<Gauge> {
        let classes = self.names.iter().map(|(_, key)| &self.classes[*key]);
        classes.map(profile_state::Class::gauge).collect()
    }

    /// When [`Requests::tick`] or [`Requests::next`] has something to do next, if nothing happens
    /// before.
    #[must_use]
    pub fn wake(&self) -> Option<Millis> {
        let due = [
            self.deadlines.first(),
            self.delayed.first(),
            self.slow.first(),
        ];
        due.into_iter().flatten().min()
    }

    /// Looks at the room, for estimates of waiting.
    fn note_slots(&mut self, room: &dyn WorkerPool) {
        let (held, total) = room.slots();
        self.slots.held = held;
        self.slots.total = total;
    }

    fn draw(&mut self) -> u64 {
        self.random.next_u64()
    }
}
