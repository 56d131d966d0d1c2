//! One worker: the life cycle of its placement lease and the account of its room.

use compact_str::CompactString;

use crate::{
    ids::{
        Boot,
        Millis,
        RackId,
        RegionId,
        Token,
        WorkerId,
        ZoneId, //
    },
    kernel::workers::index,
    resources::Resources,
    wire::{
        list,
        worker::{
            Report,
            TaskId, //
        }, //
    }, //
};

/// The time in which this instance holds a worker's lease under one token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// The fencing token.
    pub token: Token,
    /// The worker's life.
    pub incarnation: Boot,
    /// When the lease was taken.
    pub since: Millis,
    /// When it must not be used any more, unless it is renewed.
    pub expires: Millis,
    /// When the message that took it was sent.
    pub requested: Millis,
    /// When the last message was sent.
    pub sent: Millis,
    /// Whether the answer to that message is awaited.
    pub awaiting_answer: bool,
    /// When the message was sent whose report was last taken in.
    pub reported: Millis,
}

/// Why a lease is being given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Another instance should hold it.
    Rebalance,
    /// This instance is shutting down.
    Shutdown,
    /// Starts of unknown outcome are settled under a new token.
    Reacquire,
}

/// The life cycle of a worker's lease, as this instance sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// Not held.
    Unheld {
        /// Since when.
        since: Millis,
        /// When it may be asked for.
        next: Millis,
    },
    /// Asked for.
    Requesting {
        /// Since when it has not been held.
        since: Millis,
        /// When the message was sent.
        sent: Millis,
    },
    /// Held.
    Held(HeldLease),
    /// Held, but about to be given up: no new work.
    Draining {
        /// The tenure.
        held: HeldLease,
        /// Since when.
        since: Millis,
        /// Why.
        reason: Reason,
    },
}

impl LeaseState {
    /// The tenure, if there is one.
    #[must_use]
    pub fn held(&self) -> Option<&HeldLease> {
        match self {
            LeaseState::Held(held) | LeaseState::Draining { held, .. } => Some(held),
            _ => None,
        }
    }

    /// The tenure, if there is one.
    pub fn held_mut(&mut self) -> Option<&mut HeldLease> {
        match self {
            LeaseState::Held(held) | LeaseState::Draining { held, .. } => Some(held),
            _ => None,
        }
    }
}

/// Room held for one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allocation {
    /// The attempt.
    pub id: TaskId,
    /// What it takes.
    pub demand: Resources,
    /// Whether the worker is known to have started it.
    pub confirmed: bool,
}

/// A worker's place in the index, with what it adds to the sums.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IndexEntry {
    pub(super) position: index::Position,
    pub(super) used: u32,
    pub(super) total: u32,
}

/// One worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Its id.
    pub id: WorkerId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// Its rack.
    pub rack: RackId,
    /// `IP:port` of its HTTP server.
    pub address: CompactString,
    /// What the list says of it.
    pub listed_state: list::State,
    /// Its latest life that is known.
    pub incarnation: Boot,
    /// Its lease.
    pub lease: LeaseState,
    /// The highest token that this instance has held and lost or given up.
    pub last_token: Token,
    /// What it has; zero until it was held once.
    pub capacity: Resources,
    /// Whether the worker itself said that it is about to leave.
    pub leaving: bool,
    /// What is free.
    pub free: Resources,
    /// Moving average of the share of failed tasks, 0 to 1.
    pub errors: f64,
    /// How often in a row the lease was given up for rebalancing and came back.
    pub handovers: u8,
    /// Whether it is brought together with others for a gang.
    pub consolidated: bool,
    /// How often in a row it did not answer.
    pub unanswered: u8,
    pub(super) indexed: Option<IndexEntry>,
    pub(super) shape: Option<Resources>,
    allocations: Vec<Allocation>,
    request_used: Resources,
    earlier_used: Resources,
    earlier_requests: u32,
    orphaned_requests: u32,
}

impl Worker {
    /// A worker as the list names it.
    #[must_use]
    pub fn new(now: Millis, id: WorkerId, instance: &list::Instance) -> Self {
        Self {
            id,
            zone: instance.zone.clone(),
            region: instance.region.clone(),
            rack: instance.rack.clone(),
            address: instance.address.clone(),
            listed_state: instance.state,
            incarnation: instance.boot,
            lease: LeaseState::Unheld {
                since: now,
                next: now,
            },
            last_token: Token(0),
            capacity: Resources::default(),
            leaving: false,
            free: Resources::default(),
            errors: 0.0,
            handovers: 0,
            consolidated: false,
            unanswered: 0,
            indexed: None,
            shape: None,
            allocations: Vec::new(),
            request_used: Resources::default(),
            earlier_used: Resources::default(),
            earlier_requests: 0,
            orphaned_requests: 0,
        }
    }

    /// Whether new work may be planned on it.
    #[must_use]
    pub fn usable(&self) -> bool {
        let stays = !self.leaving && self.listed_state == list::State::Live;
        stays && matches!(self.lease, LeaseState::Held(_))
    }

    /// The tenure, if it may still be used at `now`.
    #[must_use]
    pub fn valid(&self, now: Millis) -> Option<&HeldLease> {
        self.lease.held().filter(|t| now < t.expires)
    }

    /// The attempts that room is held for, sorted.
    #[must_use]
    pub fn allocations(&self) -> &[Allocation] {
        &self.allocations
    }

    /// Whether nothing of this instance's depends on the entry.
    #[must_use]
    pub fn idle(&self) -> bool {
        let none = Resources::default();
        self.lease.held().is_none() && self.request_used == none && self.earlier_used == none
    }

    /// Whether every start was either seen by the worker or taken back.
    #[must_use]
    pub fn all_confirmed(&self) -> bool {
        self.allocations
            .iter()
            .all(|allocation| allocation.confirmed)
    }

    /// Ends the tenure. Requests in progress stay in the account until they are released.
    pub fn end_lease(&mut self, now: Millis, next: Millis) {
        if let Some(held) = self.lease.held() {
            self.last_token = self.last_token.max(held.token);
        }
        self.lease = LeaseState::Unheld { since: now, next };
    }

    /// Ends the tenure because the worker's life has ended, with all that ran there.
    pub fn end_incarnation(&mut self, now: Millis) {
        self.end_lease(now, now);
        self.allocations.clear();
        self.earlier_requests = 0;
        self.orphaned_requests = 0;
    }

    /// Takes in the first report under a new token. It names all that was ever started under
    /// earlier ones, so that holds for other attempts are void. Requests of this instance that it
    /// sent under earlier ones are in the report's number.
    pub fn apply_first_report(&mut self, report: &Report) {
        self.allocations.clear();
        self.earlier_used = self.earlier_used.plus(&self.request_used);
        self.request_used = Resources::default();
        self.orphaned_requests = 0;
        self.earlier_requests = report.requests;
        self.apply_report(report);
    }

    /// Takes in a report under the token held. What is absent stays held: its start may be on the
    /// way.
    pub fn apply_report(&mut self, report: &Report) {
        self.incarnation = self.incarnation.max(report.boot);
        self.capacity = report.capacity;
        self.leaving = report.leaving;
        for task in &report.tasks {
            if task.state.active() {
                self.allocate(task.id.clone(), task.demand, true);
            } else {
                self.release(&task.id);
            }
        }
        self.earlier_requests = self
            .earlier_requests
            .min(report.earlier.unwrap_or(report.requests));
    }

    /// Holds room for an attempt, or marks one that is held as seen.
    pub fn allocate(&mut self, id: TaskId, demand: Resources, confirmed: bool) {
        match self.allocations.binary_search_by(|a| a.id.cmp(&id)) {
            Ok(at) => self.allocations[at].confirmed |= confirmed,
            Err(at) => self.allocations.insert(
                at,
                Allocation {
                    id,
                    demand,
                    confirmed,
                },
            ),
        }
    }

    /// Gives back the room that is held for an attempt.
    pub fn release(&mut self, id: &TaskId) {
        if let Ok(at) = self.allocations.binary_search_by(|a| a.id.cmp(id)) {
            self.allocations.remove(at);
        }
    }

    /// Gives back the room that is held for an attempt, unless the worker has started it.
    pub fn release_unconfirmed(&mut self, id: &TaskId) {
        self.allocations.retain(|a| a.confirmed || a.id != *id);
    }

    /// Takes room for a request of this instance.
    pub fn take_request(&mut self, demand: &Resources) {
        self.request_used = self.request_used.plus(demand);
    }

    /// Gives back the room of a request of this instance. It is taken for one sent under an earlier
    /// token as long as there are any, so that the room of the others is never freed too early.
    pub fn release_request(&mut self, demand: &Resources) {
        let rest = minus(demand, &self.earlier_used);
        self.earlier_used = minus(&self.earlier_used, demand);
        self.request_used = minus(&self.request_used, &rest);
    }

    /// Whether a request may go on that this instance does not wait for any more.
    #[must_use]
    pub fn orphaned(&self) -> bool {
        self.orphaned_requests > 0
    }

    /// Counts a request whose connection was dropped: it may run, or arrive late and then run,
    /// until the lease is taken under a new token.
    pub fn orphan(&mut self, demand: &Resources) {
        self.release_request(demand);
        self.orphaned_requests += 1;
    }

    /// Works out what is free. Each request that is known by number alone takes `unit`.
    pub fn update_free(&mut self, unit: &Resources) {
        let mut free = minus(&self.capacity, &self.request_used);
        for allocation in &self.allocations {
            free = minus(&free, &allocation.demand);
        }
        let unattributed = self.earlier_requests.saturating_add(self.orphaned_requests);
        self.free = minus(&free, &times(unit, unattributed));
    }
}

fn minus(from: &Resources, amount: &Resources) -> Resources {
    let mut left = from.parts();
    for (have, need) in left.iter_mut().zip(amount.parts()) {
        *have = have.saturating_sub(need);
    }
    Resources::from_parts(left)
}

fn times(unit: &Resources, count: u32) -> Resources {
    Resources::from_parts(unit.parts().map(|part| part.saturating_mul(count)))
}
