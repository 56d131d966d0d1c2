//! Decides which lease message is due for a worker: request, renewal or release.

use std::time::Duration;

use crate::{
    configs::lease,
    ids::{
        Millis,
        RunId, //
    },
    kernel::{
        members::{
            Identity,
            Members, //
        },
        workers::worker::{
            HeldLease,
            LeaseState,
            Reason,
            Worker, //
        }, //
    },
    wire::{
        list,
        worker::Lease, //
    }, //
};

/// Number of lease TTLs that a worker stays unheld before the instance of second rank requests its
/// lease, since the instance of first rank may be unable to reach the worker.
const SECOND_RANK_DELAY_TTLS: u64 = 4;

/// Number of lease TTLs that a lease is held before it may be released for rebalancing.
const MIN_HELD_TTLS: u64 = 2;

/// Maximum number of doublings of the minimum holding time for a worker whose lease keeps coming
/// back.
const MAX_HELD_DOUBLINGS: u8 = 6;

/// Inputs of a step of one worker.
pub(super) struct Context<'a> {
    pub(super) cfg: &'a lease::Lease,
    pub(super) me: &'a Identity,
    pub(super) now: Millis,
    pub(super) members: &'a Members,
    /// Gang for which the worker is consolidated, if any.
    pub(super) gang: Option<&'a RunId>,
}

impl Context<'_> {
    /// Returns the message that is due for a worker, if any.
    pub(super) fn step(&self, entry: &mut Worker) -> Option<Lease> {
        let now = self.now;
        if entry.lease.held().is_some_and(|t| now >= t.expires) {
            entry.end_lease(now, now);
        }
        match entry.lease {
            LeaseState::Unheld { since, next } if now >= next => self.request(entry, since),
            LeaseState::Requesting { sent, .. }
                if now.since(sent) > millis(self.cfg.timeout) * 2 =>
            {
                entry.lease = LeaseState::Unheld {
                    since: now,
                    next: now,
                };
                None
            }
            LeaseState::Held(held) => self.renew_or_drain(entry, held),
            LeaseState::Draining {
                held,
                since,
                reason,
            } => self.drain(entry, held, since, reason),
            _ => None,
        }
    }

    /// Returns the rank of this instance among those that should hold the lease of the worker.
    fn rank(&self, entry: &Worker) -> Option<usize> {
        let key = self.gang.map_or(entry.id.as_str(), RunId::as_str);
        self.members.rank(self.now, key, &entry.zone)
    }

    /// Requests the lease of a worker that this instance should hold.
    fn request(&self, entry: &mut Worker, since: Millis) -> Option<Lease> {
        if entry.listed_state == list::State::Gone {
            return None;
        }
        let delay = millis(self.cfg.ttl) * SECOND_RANK_DELAY_TTLS;
        match self.rank(entry)? {
            0 => {}
            1 if self.now.since(since) >= delay => {}
            _ => return None,
        }
        let sent = self.now;
        entry.lease = LeaseState::Requesting { since, sent };
        Some(self.message(None))
    }

    /// Renews a lease, or starts to drain it before its release.
    fn renew_or_drain(&self, entry: &mut Worker, held: HeldLease) -> Option<Lease> {
        if self.members.is_leaving() {
            return self.start_drain(entry, held, Reason::Shutdown);
        }
        if !self.renewal_due(&held) {
            return None;
        }
        let held_ms = self.now.since(held.since);
        if entry.orphaned() && held_ms >= millis(self.cfg.ttl) {
            return self.start_drain(entry, held, Reason::Reacquire);
        }
        if self.rank(entry) != Some(0) && held_ms >= self.min_held_ms(entry) {
            return self.start_drain(entry, held, Reason::Rebalance);
        }
        self.renew(entry)
    }

    /// Returns the minimum time in milliseconds for which a lease is held before it may be released
    /// for rebalancing.
    fn min_held_ms(&self, entry: &Worker) -> u64 {
        if self.gang.is_some() {
            return 0;
        }
        (millis(self.cfg.ttl) * MIN_HELD_TTLS) << entry.handovers.min(MAX_HELD_DOUBLINGS)
    }

    fn start_drain(&self, entry: &mut Worker, held: HeldLease, reason: Reason) -> Option<Lease> {
        let since = self.now;
        entry.lease = LeaseState::Draining {
            held,
            since,
            reason,
        };
        None
    }

    /// Releases a lease once no start is in flight or the lease TTL has passed, and renews it until
    /// then. A lease that is reacquired is released at once.
    fn drain(
        &self,
        entry: &mut Worker,
        held: HeldLease,
        since: Millis,
        reason: Reason,
    ) -> Option<Lease> {
        let waited = self.now.since(since) >= millis(self.cfg.ttl);
        if reason == Reason::Reacquire || entry.all_confirmed() || waited {
            return self.release(entry, held, reason);
        }
        if !self.renewal_due(&held) {
            return None;
        }
        self.renew(entry)
    }

    fn release(&self, entry: &mut Worker, held: HeldLease, reason: Reason) -> Option<Lease> {
        let wait = match reason {
            Reason::Reacquire => 1,
            _ => millis(self.cfg.ttl),
        };
        if reason == Reason::Rebalance && self.gang.is_none() {
            entry.handovers = entry.handovers.saturating_add(1);
        }
        entry.end_lease(self.now, self.now.plus(wait));
        let mut message = self.message(Some(held));
        message.ttl = 0;
        Some(message)
    }

    fn renew(&self, entry: &mut Worker) -> Option<Lease> {
        let held = entry.lease.held_mut()?;
        held.sent = self.now;
        held.awaiting_answer = true;
        let held = *held;
        Some(self.message(Some(held)))
    }

    /// Returns whether a renewal is due: the interval has passed and no answer is awaited, or the
    /// awaited answer is overdue.
    fn renewal_due(&self, held: &HeldLease) -> bool {
        let elapsed = self.now.since(held.sent);
        if held.awaiting_answer {
            return elapsed > millis(self.cfg.timeout) * 2;
        }
        elapsed >= millis(self.cfg.renew)
    }

    fn message(&self, held: Option<HeldLease>) -> Lease {
        Lease {
            holder: self.me.id.clone(),
            incarnation: self.me.incarnation,
            token: held.map(|t| t.token),
            ttl: millis(self.cfg.ttl),
            task_ttl: millis(self.cfg.task),
        }
    }
}

/// Converts a duration to whole milliseconds.
pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
