//! A worker: the state of its placement lease and the accounting of its resources.

use compact_str::CompactString;

use crate::{
    ids::{
        Millis,
        RackId,
        RegionId,
        Token,
        WorkerId,
        WorkerIncarnation,
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

/// Lease of a worker that this instance holds under one token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLease {
    /// Fencing token of the lease.
    pub token: Token,
    /// Incarnation of the worker.
    pub incarnation: WorkerIncarnation,
    /// Time at which the lease was acquired.
    pub since: Millis,
    /// Time from which the lease must not be used, unless it is renewed.
    pub expires: Millis,
    /// Time at which the message that acquired the lease was sent.
    pub requested: Millis,
    /// Time at which the last message was sent.
    pub sent: Millis,
    /// Whether the answer to the last message is awaited.
    pub awaiting_answer: bool,
    /// Time at which the message was sent whose report was applied last.
    pub reported: Millis,
}

/// Reason why a lease is being released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Another instance should hold the lease.
    Rebalance,
    /// This instance is shutting down.
    Shutdown,
    /// The lease is acquired again, so that starts of unknown result are resolved and orphaned
    /// requests are counted under a new token.
    Reacquire,
}

/// State of the lease of a worker, from the view of this instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// The lease is not held.
    Unheld {
        /// Time since which the lease has not been held.
        since: Millis,
        /// Time from which the lease may be requested.
        next: Millis,
    },
    /// The lease was requested.
    Requesting {
        /// Time since which the lease has not been held.
        since: Millis,
        /// Time at which the request was sent.
        sent: Millis,
    },
    /// The lease is held.
    Held(HeldLease),
    /// The lease is held, but about to be released; the worker receives no new work.
    Draining {
        /// Lease that is about to be released.
        held: HeldLease,
        /// Time at which draining began.
        since: Millis,
        /// Reason for the release.
        reason: Reason,
    },
}

impl LeaseState {
    /// Returns the lease if it is held, even if it has expired or is draining.
    #[must_use]
    pub fn held(&self) -> Option<&HeldLease> {
        match self {
            LeaseState::Held(held) | LeaseState::Draining { held, .. } => Some(held),
            _ => None,
        }
    }

    /// Mutable variant of [`LeaseState::held`].
    pub fn held_mut(&mut self) -> Option<&mut HeldLease> {
        match self {
            LeaseState::Held(held) | LeaseState::Draining { held, .. } => Some(held),
            _ => None,
        }
    }
}

/// Resources allocated to one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Allocation {
    /// Identifier of the attempt.
    pub id: TaskId,
    /// Allocated resources.
    pub demand: Resources,
    /// Whether the worker is known to have started the attempt.
    pub confirmed: bool,
}

/// Position of a worker in the index, and the slots that it adds to the sums of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IndexEntry {
    pub(super) position: index::Position,
    pub(super) used: u32,
    pub(super) total: u32,
}

/// A worker as this instance knows it.
#[derive(Debug, Clone)]
pub struct Worker {
    /// Identifier of the worker.
    pub id: WorkerId,
    /// Availability zone of the worker.
    pub zone: ZoneId,
    /// Region of the worker.
    pub region: RegionId,
    /// Rack of the worker.
    pub rack: RackId,
    /// `IP:port` of the worker's HTTP server.
    pub address: CompactString,
    /// State of the worker in the platform's list.
    pub listed_state: list::State,
    /// Latest known incarnation of the worker.
    pub incarnation: WorkerIncarnation,
    /// State of the worker's lease.
    pub lease: LeaseState,
    /// Highest token that this instance has held and then lost or released.
    pub last_token: Token,
    /// Total resources of the worker; zero until its lease has been held once.
    pub capacity: Resources,
    /// Whether the worker has reported that it is about to leave.
    pub leaving: bool,
    /// Latest incarnation that announced its end, or that the platform ended.
    pub left: Option<WorkerIncarnation>,
    /// Free resources of the worker.
    pub free: Resources,
    /// Moving average of the share of failed tasks, from 0 to 1.
    pub errors: f64,
    /// Number of consecutive times that the lease was released for rebalancing and came back.
    pub handovers: u8,
    /// Whether the worker is being consolidated with others for a gang.
    pub consolidated: bool,
    /// Number of consecutive lease requests without an answer.
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
    /// Creates a worker from its entry in the platform's list.
    #[must_use]
    pub fn new(now: Millis, id: WorkerId, instance: &list::Instance) -> Self {
        Self {
            id,
            zone: instance.zone.clone(),
            region: instance.region.clone(),
            rack: instance.rack.clone(),
            address: instance.address.clone(),
            listed_state: instance.state,
            incarnation: instance.incarnation,
            lease: LeaseState::Unheld {
                since: now,
                next: now,
            },
            last_token: Token(0),
            capacity: Resources::default(),
            leaving: false,
            left: (instance.state != list::State::Live).then_some(instance.incarnation),
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

    /// Returns whether new work may be planned on the worker.
    #[must_use]
    pub fn usable(&self) -> bool {
        let stays = !self.leaving && self.listed_state == list::State::Live;
        stays && matches!(self.lease, LeaseState::Held(_))
    }

    /// Returns whether an incarnation that has ended crashed: it gave no notice, and the platform
    /// did not end it.
    #[must_use]
    pub fn crashed(&self, ended: WorkerIncarnation) -> bool {
        self.left < Some(ended)
    }

    /// Returns the held lease if it has not expired at `now`.
    #[must_use]
    pub fn valid(&self, now: Millis) -> Option<&HeldLease> {
        self.lease.held().filter(|t| now < t.expires)
    }

    /// Returns the allocations, sorted by attempt.
    #[must_use]
    pub fn allocations(&self) -> &[Allocation] {
        &self.allocations
    }

    /// Returns whether this instance neither holds the lease nor has requests on the worker.
    #[must_use]
    pub fn idle(&self) -> bool {
        let none = Resources::default();
        self.lease.held().is_none() && self.request_used == none && self.earlier_used == none
    }

    /// Returns whether every allocation is confirmed, so that no start is in flight.
    #[must_use]
    pub fn all_confirmed(&self) -> bool {
        self.allocations
            .iter()
            .all(|allocation| allocation.confirmed)
    }

    /// Stops holding the lease. Requests in progress stay accounted for until they are released.
    pub fn end_lease(&mut self, now: Millis, next: Millis) {
        if let Some(held) = self.lease.held() {
            self.last_token = self.last_token.max(held.token);
        }
        self.lease = LeaseState::Unheld { since: now, next };
    }

    /// Stops holding the lease because the incarnation of the worker has ended, and with it
    /// everything that ran there.
    pub fn end_incarnation(&mut self, now: Millis) {
        self.end_lease(now, now);
        self.allocations.clear();
        self.earlier_requests = 0;
        self.orphaned_requests = 0;
    }

    /// Applies the first report under a new token. The report names every attempt that was ever
    /// started under earlier tokens, so that allocations of other attempts are void. Its number of
    /// requests includes those that this instance sent under earlier tokens.
    pub fn apply_first_report(&mut self, report: &Report) {
        self.allocations.clear();
        self.earlier_used = self.earlier_used.plus(&self.request_used);
        self.request_used = Resources::default();
        self.orphaned_requests = 0;
        self.earlier_requests = report.requests;
        self.apply_report(report);
    }

    /// Applies a report under the current token. An attempt that is absent from the report keeps
    /// its allocation, because its start may be in flight.
    pub fn apply_report(&mut self, report: &Report) {
        self.incarnation = self.incarnation.max(report.incarnation);
        self.capacity = report.capacity;
        self.leaving = report.leaving;
        if report.leaving {
            self.left = self.left.max(Some(report.incarnation));
        }
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

    /// Allocates resources to an attempt. If the attempt already has an allocation, only its
    /// confirmation is updated.
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

    /// Releases the allocation of an attempt.
    pub fn release(&mut self, id: &TaskId) {
        if let Ok(at) = self.allocations.binary_search_by(|a| a.id.cmp(id)) {
            self.allocations.remove(at);
        }
    }

    /// Releases the allocation of an attempt unless the worker has started the attempt.
    pub fn release_unconfirmed(&mut self, id: &TaskId) {
        self.allocations.retain(|a| a.confirmed || a.id != *id);
    }

    /// Reserves resources for a request of this instance.
    pub fn take_request(&mut self, demand: &Resources) {
        self.request_used = self.request_used.plus(demand);
    }

    /// Releases the resources of a request of this instance. As long as there are requests that
    /// were sent under an earlier token, the released request is assumed to be one of them, so that
    /// the resources of the others are never freed too early.
    pub fn release_request(&mut self, demand: &Resources) {
        let rest = minus(demand, &self.earlier_used);
        self.earlier_used = minus(&self.earlier_used, demand);
        self.request_used = minus(&self.request_used, &rest);
    }

    /// Returns whether a request may still be running for which this instance no longer waits.
    #[must_use]
    pub fn orphaned(&self) -> bool {
        self.orphaned_requests > 0
    }

    /// Counts a request whose connection was dropped. The request may be running, or may arrive
    /// late and then run, until the lease is acquired under a new token.
    pub fn orphan(&mut self, demand: &Resources) {
        self.release_request(demand);
        self.orphaned_requests += 1;
    }

    /// Computes the free resources. A request of unknown demand counts as `unit`.
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
