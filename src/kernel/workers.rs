//! Manages the placement leases that this instance holds on workers, and the free resources on
//! these workers.
//!
//! The worker itself records which instance holds its lease; rendezvous hashing over the members
//! only decides which instance requests it. A lease is valid from the time at which its message was
//! *sent*, less a margin, and is checked right before each use. All times are on the local
//! monotonic clock.

use compact_str::CompactString;
use slotmap::SlotMap;

use crate::{
    configs::lease,
    ids::{
        Boot,
        Millis,
        RackId,
        Token,
        WorkerId, //
    },
    kernel::{
        WorkerKey,
        members::{
            Identity,
            Members, //
        }, //
    },
    resources::Resources,
    wire::{
        list,
        worker::{
            Grant,
            Lease,
            Report,
            TaskId, //
        }, //
    }, //
};

mod accounting;
mod answers;
pub mod consolidation;
pub mod index;
mod listing;
pub mod offers;
mod steps;
pub mod worker;

use consolidation::Target;
use worker::{
    LeaseState,
    Reason,
    Worker, //
};

/// Lease message to send. The answer is passed to [`Workers::on_answer`] with the same `sent`, and
/// its absence to [`Workers::on_timeout`].
#[derive(Debug, Clone)]
pub struct LeaseMessage {
    /// Worker that receives the message.
    pub worker: WorkerKey,
    /// `IP:port` of the worker's HTTP server.
    pub address: CompactString,
    /// Content of the message.
    pub message: Lease,
    /// Time at which the message counts as sent; never later than the actual time.
    pub sent: Millis,
}

/// Table of workers with their leases and free resources.
#[derive(Debug, Clone)]
pub struct Workers {
    cfg: lease::Lease,
    me: Identity,
    arena: SlotMap<WorkerKey, Worker>,
    ids: Vec<(WorkerId, WorkerKey)>,
    racks: Vec<(RackId, Vec<WorkerKey>)>,
    shapes: Vec<(Resources, u32)>,
    index: index::Index,
    request_demand: Resources,
    consolidation: Option<Target>,
    used_slots: u32,
    total_slots: u32,
}

impl Workers {
    /// Creates a table without workers.
    #[must_use]
    pub fn new(cfg: lease::Lease, me: Identity) -> Self {
        let request_demand = Resources {
            slots: 1,
            connections: 1,
            ..Resources::default()
        };
        Self {
            cfg,
            me,
            arena: SlotMap::with_key(),
            ids: Vec::new(),
            racks: Vec::new(),
            shapes: Vec::new(),
            index: index::Index::default(),
            request_demand,
            consolidation: None,
            used_slots: 0,
            total_slots: 0,
        }
    }

    /// Sets the demand that is assumed for each request of an earlier holder of a lease. It must be
    /// the largest demand of any request, because a worker reports only the number of requests.
    pub fn set_request_demand(&mut self, demand: Resources) {
        self.request_demand = demand;
        let keys: Vec<_> = self.arena.keys().collect();
        for key in keys {
            self.update_free(key);
        }
    }

    /// Returns the lease settings.
    #[must_use]
    pub fn cfg(&self) -> &lease::Lease {
        &self.cfg
    }

    /// Returns a worker.
    #[must_use]
    pub fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.arena.get(key)
    }

    /// Returns all workers, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.arena.iter()
    }

    /// Returns the key of a worker.
    #[must_use]
    pub fn key(&self, id: &WorkerId) -> Option<WorkerKey> {
        let at = self.ids.binary_search_by(|e| e.0.cmp(id)).ok()?;
        self.ids.get(at).map(|e| e.1)
    }

    /// Returns the number of known workers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns whether no worker is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Returns the number of workers on which new work may be planned.
    #[must_use]
    pub fn usable_count(&self) -> usize {
        self.index.len()
    }

    /// Returns the token under which new work may be sent at `now`; `None` means that the work must
    /// not be sent. Must be called right before each send. A request carries the token under which
    /// its resources were reserved, so that the worker refuses it after a change of token.
    #[must_use]
    pub fn send_token(&self, now: Millis, key: WorkerKey) -> Option<Token> {
        let entry = self.arena.get(key)?;
        if entry.leaving || entry.listed_state != list::State::Live {
            return None;
        }
        entry.valid(now).map(|t| t.token)
    }

    /// Returns whether work whose resources were allocated under `token` may be sent at `now`. Must
    /// be called right before each send.
    #[must_use]
    pub fn may_start(&self, now: Millis, key: WorkerKey, token: Token) -> bool {
        self.send_token(now, key) == Some(token)
    }

    /// Returns the token for signals, which are also sent to leaving workers.
    #[must_use]
    pub fn signal_token(&self, now: Millis, key: WorkerKey) -> Option<Token> {
        self.arena.get(key)?.valid(now).map(|t| t.token)
    }

    /// Allocates resources for an attempt that is about to be claimed. Returns the only token and
    /// worker incarnation under which the attempt may be started, or `None` if it does not fit.
    pub fn allocate(
        &mut self,
        now: Millis,
        key: WorkerKey,
        id: &TaskId,
        demand: &Resources,
    ) -> Option<(Token, Boot)> {
        let entry = self.arena.get_mut(key)?;
        let held = *entry.valid(now)?;
        if !entry.usable() || !demand.fits(&entry.free) {
            return None;
        }
        entry.allocate(id.clone(), *demand, false);
        self.update_free(key);
        Some((held.token, held.incarnation))
    }

    /// Releases the allocation of an attempt that this instance does not start. The allocation is
    /// kept if the worker runs the attempt, since another instance may have claimed and started the
    /// same attempt there.
    pub fn cancel_allocation(&mut self, key: WorkerKey, id: &TaskId) {
        if let Some(entry) = self.arena.get_mut(key) {
            entry.release_unconfirmed(id);
            self.update_free(key);
        }
    }

    /// Releases the allocation of an attempt whose outcome is proven.
    pub fn release_allocation(&mut self, key: WorkerKey, id: &TaskId) {
        if let Some(entry) = self.arena.get_mut(key) {
            entry.release(id);
            self.update_free(key);
        }
    }

    /// Confirms that the worker has started an attempt that has an allocation.
    pub fn confirm(&mut self, key: WorkerKey, id: &TaskId) {
        let Some(entry) = self.arena.get_mut(key) else {
            return;
        };
        if let Ok(at) = entry.allocations().binary_search_by(|a| a.id.cmp(id)) {
            let demand = entry.allocations()[at].demand;
            entry.allocate(id.clone(), demand, true);
        }
    }

    /// Replaces the reservation of a request of this instance by that of an orphaned request, which
    /// may still run on the worker although its connection is closed. The lease is reacquired later
    /// to learn whether it does.
    pub fn orphan(&mut self, key: WorkerKey, demand: &Resources) {
        let pairs = self.request_demand.parts().into_iter().zip(demand.parts());
        let mut largest = self.request_demand.parts();
        for (part, (a, b)) in largest.iter_mut().zip(pairs) {
            *part = a.max(b);
        }
        self.request_demand = Resources::from_parts(largest);
        if let Some(entry) = self.arena.get_mut(key) {
            entry.orphan(demand);
            self.update_free(key);
        }
    }

    /// Releases a lease and acquires it again, which resolves starts of unknown result: under the
    /// new token, an attempt that the worker does not report can never start.
    pub fn reacquire(&mut self, now: Millis, key: WorkerKey) {
        if let Some(entry) = self.arena.get_mut(key)
            && let LeaseState::Held(held) = entry.lease
        {
            entry.lease = LeaseState::Draining {
                held,
                since: now,
                reason: Reason::Reacquire,
            };
            self.update_free(key);
        }
    }

    /// Adds the outcome of a task to the error average of the worker.
    pub fn record_outcome(&mut self, key: WorkerKey, failed: bool) {
        const WEIGHT: f64 = 0.3;
        if let Some(entry) = self.arena.get_mut(key) {
            let sample = if failed { 1.0 } else { 0.0 };
            entry.errors += WEIGHT * (sample - entry.errors);
        }
    }

    /// Lowers the error average of a worker to at most `most`.
    pub fn cap_errors(&mut self, key: WorkerKey, most: f64) {
        if let Some(entry) = self.arena.get_mut(key) {
            entry.errors = entry.errors.min(most);
        }
    }

    /// Handles the answer to the message that was sent at `sent`. Returns the report if it was made
    /// under the current token; only then does it prove the outcomes of attempts.
    pub fn on_answer(
        &mut self,
        sent: Millis,
        now: Millis,
        key: WorkerKey,
        grant: Grant,
    ) -> Option<Report> {
        let entry = self.arena.get_mut(key)?;
        entry.unanswered = 0;
        let report = match grant {
            Grant::Granted(report) => answers::granted(&self.cfg, entry, sent, now, report),
            Grant::Held { left, .. } => {
                answers::refused(&self.cfg, entry, sent, now, left);
                None
            }
            Grant::Fenced => {
                answers::fenced(entry, sent, now);
                None
            }
        };
        if let Some(report) = &report {
            self.count_shape(key, report.capacity);
        }
        self.update_free(key);
        report
    }

    /// Handles the absence of an answer to the message that was sent at `sent`.
    pub fn on_timeout(&mut self, sent: Millis, now: Millis, key: WorkerKey) {
        let Some(entry) = self.arena.get_mut(key) else {
            return;
        };
        match &mut entry.lease {
            LeaseState::Requesting {
                sent: requested,
                since,
            } if *requested == sent => {
                let since = *since;
                let wait = steps::millis(self.cfg.renew) << entry.unanswered.min(4);
                entry.unanswered = entry.unanswered.saturating_add(1);
                let next = now.plus(wait);
                entry.lease = LeaseState::Unheld { since, next };
            }
            lease => {
                if let Some(held) = lease.held_mut()
                    && held.sent == sent
                {
                    held.awaiting_answer = false;
                }
            }
        }
    }

    /// Returns the lease messages that are due: requests for workers that this instance should
    /// hold, renewals, and releases for rebalancing, reacquisition or shutdown.
    pub fn tick(&mut self, now: Millis, members: &Members) -> Vec<LeaseMessage> {
        let mut messages = Vec::new();
        let keys: Vec<_> = self.ids.iter().map(|e| e.1).collect();
        for key in keys {
            let Some(entry) = self.arena.get_mut(key) else {
                continue;
            };
            if entry.zone != self.me.zone {
                continue;
            }
            let before = entry.lease;
            let gang = self.consolidation.as_ref().filter(|_| entry.consolidated);
            let step = steps::Context {
                cfg: &self.cfg,
                me: &self.me,
                now,
                members,
                gang: gang.map(|g| &g.run),
            };
            let message = step.step(entry);
            if let Some(message) = message {
                messages.push(LeaseMessage {
                    worker: key,
                    address: entry.address.clone(),
                    message,
                    sent: now,
                });
            }
            if entry.lease != before {
                self.update_free(key);
            }
        }
        messages
    }

    /// Returns whether no lease is held, which allows a shutdown to proceed.
    #[must_use]
    pub fn holds_none(&self) -> bool {
        self.arena.values().all(|w| w.lease.held().is_none())
    }
}
