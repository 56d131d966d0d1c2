//! What is due for one worker's lease.

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
            Life,
            Reason,
            Tenure,
            Worker, //
        }, //
    },
    wire::{
        list,
        worker::Lease, //
    }, //
};

/// How many lease times a worker may stay unheld before the second in line asks for it: the first
/// may be cut off from it.
const PATIENCE: u64 = 4;

/// How many lease times a worker is held at least before it is given up for rebalancing.
const TENURE: u64 = 2;

/// How many times the least tenure may double for a worker that keeps coming back.
const DOUBLINGS: u8 = 6;

/// What the step of one worker may see.
pub(super) struct Context<'a> {
    pub(super) cfg: &'a lease::Lease,
    pub(super) me: &'a Identity,
    pub(super) now: Millis,
    pub(super) members: &'a Members,
    /// The gang for which the worker is brought together with others.
    pub(super) gang: Option<&'a RunId>,
}

impl Context<'_> {
    /// The message that is due for a worker, if any.
    pub(super) fn step(&self, entry: &mut Worker) -> Option<Lease> {
        let now = self.now;
        if entry.life.tenure().is_some_and(|t| now >= t.until) {
            entry.lose(now, now);
        }
        match entry.life {
            Life::Unheld { since, next } if now >= next => self.ask(entry, since),
            Life::Asking { sent, .. } if now.since(sent) > millis(self.cfg.timeout) * 2 => {
                entry.life = Life::Unheld {
                    since: now,
                    next: now,
                };
                None
            }
            Life::Held(tenure) => self.hold(entry, tenure),
            Life::Draining {
                tenure,
                since,
                reason,
            } => self.drain(entry, tenure, since, reason),
            _ => None,
        }
    }

    /// This instance's place in the order of those that should hold the worker.
    fn rank(&self, entry: &Worker) -> Option<usize> {
        let key = self.gang.map_or(entry.id.as_str(), RunId::as_str);
        self.members.rank(self.now, key, &entry.zone)
    }

    /// Asks for a worker that this instance should hold.
    fn ask(&self, entry: &mut Worker, since: Millis) -> Option<Lease> {
        if entry.listed == list::State::Gone {
            return None;
        }
        let patience = millis(self.cfg.ttl) * PATIENCE;
        match self.rank(entry)? {
            0 => {}
            1 if self.now.since(since) >= patience => {}
            _ => return None,
        }
        let sent = self.now;
        entry.life = Life::Asking { since, sent };
        Some(self.message(None))
    }

    /// Renews a lease, or starts to give it up.
    fn hold(&self, entry: &mut Worker, tenure: Tenure) -> Option<Lease> {
        if self.members.is_leaving() {
            return self.start_drain(entry, tenure, Reason::Shutdown);
        }
        if !self.due(&tenure) {
            return None;
        }
        let held = self.now.since(tenure.since);
        if entry.orphaned() && held >= millis(self.cfg.ttl) {
            return self.start_drain(entry, tenure, Reason::Refresh);
        }
        if self.rank(entry) != Some(0) && held >= self.least(entry) {
            return self.start_drain(entry, tenure, Reason::Rebalance);
        }
        self.renew(entry)
    }

    /// How long a worker is held at least before it is given up for rebalancing, in milliseconds.
    fn least(&self, entry: &Worker) -> u64 {
        if self.gang.is_some() {
            return 0;
        }
        (millis(self.cfg.ttl) * TENURE) << entry.yields.min(DOUBLINGS)
    }

    fn start_drain(&self, entry: &mut Worker, tenure: Tenure, reason: Reason) -> Option<Lease> {
        let since = self.now;
        entry.life = Life::Draining {
            tenure,
            since,
            reason,
        };
        None
    }

    /// Gives a lease up once no start is on the way, and renews it until then.
    fn drain(
        &self,
        entry: &mut Worker,
        tenure: Tenure,
        since: Millis,
        reason: Reason,
    ) -> Option<Lease> {
        let waited = self.now.since(since) >= millis(self.cfg.ttl);
        if reason == Reason::Refresh || entry.settled() || waited {
            return self.give_up(entry, tenure, reason);
        }
        if !self.due(&tenure) {
            return None;
        }
        self.renew(entry)
    }

    fn give_up(&self, entry: &mut Worker, tenure: Tenure, reason: Reason) -> Option<Lease> {
        let wait = match reason {
            Reason::Refresh => 1,
            _ => millis(self.cfg.ttl),
        };
        if reason == Reason::Rebalance && self.gang.is_none() {
            entry.yields = entry.yields.saturating_add(1);
        }
        entry.lose(self.now, self.now.plus(wait));
        let mut message = self.message(Some(tenure));
        message.ttl = 0;
        Some(message)
    }

    fn renew(&self, entry: &mut Worker) -> Option<Lease> {
        let tenure = entry.life.tenure_mut()?;
        tenure.sent = self.now;
        tenure.pending = true;
        let tenure = *tenure;
        Some(self.message(Some(tenure)))
    }

    /// Whether a renewal is due: the interval has passed and no answer is awaited.
    fn due(&self, tenure: &Tenure) -> bool {
        let quiet = self.now.since(tenure.sent);
        if tenure.pending {
            return quiet > millis(self.cfg.timeout) * 2;
        }
        quiet >= millis(self.cfg.renew)
    }

    fn message(&self, tenure: Option<Tenure>) -> Lease {
        Lease {
            holder: self.me.id.clone(),
            incarnation: self.me.incarnation,
            token: tenure.map(|t| t.token),
            ttl: millis(self.cfg.ttl),
            task_ttl: millis(self.cfg.task),
        }
    }
}

/// A span in whole milliseconds.
pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
