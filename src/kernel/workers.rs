//! The placement leases that this instance holds at workers, and the room that they give it.
//!
//! A worker's own register says who holds it; rendezvous hashing over the members only says who
//! asks. A lease counts from the moment when its message was *sent*, less a margin, and is checked
//! right before each use. All times are on the local monotonic clock.

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
            Me,
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

/// A lease message to send. The answer goes to [`Workers::on_answer`] with the same `sent`, and its
/// absence to [`Workers::on_timeout`].
#[derive(Debug, Clone)]
pub struct LeaseMessage {
    /// The worker.
    pub worker: WorkerKey,
    /// `IP:port` of its HTTP server.
    pub address: CompactString,
    /// The message.
    pub message: Lease,
    /// When it counts as sent: not later than it really is.
    pub sent: Millis,
}

/// The table of workers.
#[derive(Debug, Clone)]
pub struct Workers {
    cfg: lease::Lease,
    me: Me,
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
    /// A table without workers.
    #[must_use]
    pub fn new(cfg: lease::Lease, me: Me) -> Self {
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

    /// Sets what each request of an earlier holder counts for: the largest demand of any request,
    /// since a worker reports only their number.
    pub fn set_request_demand(&mut self, demand: Resources) {
        self.request_demand = demand;
        let keys: Vec<_> = self.arena.keys().collect();
        for key in keys {
            self.update_free(key);
        }
    }

    /// The settings.
    #[must_use]
    pub fn cfg(&self) -> &lease::Lease {
        &self.cfg
    }

    /// A worker.
    #[must_use]
    pub fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.arena.get(key)
    }

    /// All workers, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.arena.iter()
    }

    /// The key of a worker.
    #[must_use]
    pub fn key(&self, id: &WorkerId) -> Option<WorkerKey> {
        let at = self.ids.binary_search_by(|e| e.0.cmp(id)).ok()?;
        self.ids.get(at).map(|e| e.1)
    }

    /// How many workers are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether no worker is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Workers that new work may be planned on.
    #[must_use]
    pub fn usable_count(&self) -> usize {
        self.index.len()
    }

    /// The token to send new work with at `now`; `None` means that the work must not be sent. To be
    /// asked right before each send. A request carries the token that was held when its room was
    /// reserved, so that it is refused when it comes after a change of token.
    #[must_use]
    pub fn send_token(&self, now: Millis, key: WorkerKey) -> Option<Token> {
        let entry = self.arena.get(key)?;
        if entry.leaving || entry.listed_state != list::State::Live {
            return None;
        }
        entry.valid(now).map(|t| t.token)
    }

    /// Whether work whose room was taken under `token` may be sent at `now`. To be asked right
    /// before each send.
    #[must_use]
    pub fn may_start(&self, now: Millis, key: WorkerKey, token: Token) -> bool {
        self.send_token(now, key) == Some(token)
    }

    /// The token for signals, which leaving workers get too.
    #[must_use]
    pub fn signal_token(&self, now: Millis, key: WorkerKey) -> Option<Token> {
        self.arena.get(key)?.valid(now).map(|t| t.token)
    }

    /// Holds room for an attempt that is about to be claimed. Returns the token and the worker's
    /// life under which alone it may be started, or `None` when there is no room.
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

    /// Gives back the room of an attempt that this instance does not start. It stays when the worker
    /// runs the attempt, since another instance may have claimed and started the same one there.
    pub fn cancel_allocation(&mut self, key: WorkerKey, id: &TaskId) {
        if let Some(entry) = self.arena.get_mut(key) {
            entry.release_unconfirmed(id);
            self.update_free(key);
        }
    }

    /// Gives back the room of an attempt whose end is proven.
    pub fn release_allocation(&mut self, key: WorkerKey, id: &TaskId) {
        if let Some(entry) = self.arena.get_mut(key) {
            entry.release(id);
            self.update_free(key);
        }
    }

    /// Notes that the worker has started an attempt that room is held for.
    pub fn confirm(&mut self, key: WorkerKey, id: &TaskId) {
        let Some(entry) = self.arena.get_mut(key) else {
            return;
        };
        if let Ok(at) = entry.allocations().binary_search_by(|a| a.id.cmp(id)) {
            let demand = entry.allocations()[at].demand;
            entry.allocate(id.clone(), demand, true);
        }
    }

    /// Turns the room of one of this instance's requests into that of a request which may go on at
    /// the worker although its connection is closed. The lease is taken anew to learn of it.
    pub fn orphan(&mut self, key: WorkerKey, demand: &Resources) {
        let grown = self.request_demand.parts().into_iter().zip(demand.parts());
        let mut unit = self.request_demand.parts();
        for (part, (a, b)) in unit.iter_mut().zip(grown) {
            *part = a.max(b);
        }
        self.request_demand = Resources::from_parts(unit);
        if let Some(entry) = self.arena.get_mut(key) {
            entry.orphan(demand);
            self.update_free(key);
        }
    }

    /// Gives up a lease and takes it again, so that starts of unknown outcome are settled: under
    /// the new token, what the worker does not report can never start.
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

    /// Counts the end of a task for the worker's error average.
    pub fn record_outcome(&mut self, key: WorkerKey, failed: bool) {
        const WEIGHT: f64 = 0.3;
        if let Some(entry) = self.arena.get_mut(key) {
            let sample = if failed { 1.0 } else { 0.0 };
            entry.errors += WEIGHT * (sample - entry.errors);
        }
    }

    /// Lowers a worker's error average to `most`.
    pub fn cap_errors(&mut self, key: WorkerKey, most: f64) {
        if let Some(entry) = self.arena.get_mut(key) {
            entry.errors = entry.errors.min(most);
        }
    }

    /// Takes in an answer to the message that was sent at `sent`. Returns the report when it is
    /// one under the token that is held now; it may then be used as proof.
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

    /// Notes that the message which was sent at `sent` got no answer in time.
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

    /// The lease messages that are due: asks for workers that this instance should hold, renewals,
    /// and leases given up for rebalancing or at shutdown.
    pub fn tick(&mut self, now: Millis, members: &Members) -> Vec<LeaseMessage> {
        let mut actions = Vec::new();
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
                actions.push(LeaseMessage {
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
        actions
    }

    /// Whether no lease is held, so that a shutdown may go on.
    #[must_use]
    pub fn holds_none(&self) -> bool {
        self.arena.values().all(|w| w.lease.held().is_none())
    }
}
