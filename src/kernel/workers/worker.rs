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
pub struct Tenure {
    /// The fencing token.
    pub token: Token,
    /// The worker's life.
    pub boot: Boot,
    /// When the lease was taken.
    pub since: Millis,
    /// When it must not be used any more, unless it is renewed.
    pub until: Millis,
    /// When the message that took it was sent.
    pub asked: Millis,
    /// When the last message was sent.
    pub sent: Millis,
    /// Whether the answer to that message is awaited.
    pub pending: bool,
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
    Refresh,
}

/// The life cycle of a worker's lease, as this instance sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Life {
    /// Not held.
    Unheld {
        /// Since when.
        since: Millis,
        /// When it may be asked for.
        next: Millis,
    },
    /// Asked for.
    Asking {
        /// Since when it has not been held.
        since: Millis,
        /// When the message was sent.
        sent: Millis,
    },
    /// Held.
    Held(Tenure),
    /// Held, but about to be given up: no new work.
    Draining {
        /// The tenure.
        tenure: Tenure,
        /// Since when.
        since: Millis,
        /// Why.
        reason: Reason,
    },
}

impl Life {
    /// The tenure, if there is one.
    #[must_use]
    pub fn tenure(&self) -> Option<&Tenure> {
        match self {
            Life::Held(tenure) | Life::Draining { tenure, .. } => Some(tenure),
            _ => None,
        }
    }

    /// The tenure, if there is one.
    pub fn tenure_mut(&mut self) -> Option<&mut Tenure> {
        match self {
            Life::Held(tenure) | Life::Draining { tenure, .. } => Some(tenure),
            _ => None,
        }
    }
}

/// Room held for one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hold {
    /// The attempt.
    pub id: TaskId,
    /// What it takes.
    pub demand: Resources,
    /// Whether the worker is known to have started it.
    pub seen: bool,
}

/// A worker's place in the index, with what it adds to the sums.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Counted {
    pub(super) spot: index::Spot,
    pub(super) taken: u32,
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
    pub listed: list::State,
    /// Its latest life that is known.
    pub boot: Boot,
    /// Its lease.
    pub life: Life,
    /// The highest token that this instance has held and lost or given up.
    pub floor: Token,
    /// What it has; zero until it was held once.
    pub capacity: Resources,
    /// Whether the worker itself said that it is about to leave.
    pub leaving: bool,
    /// What is free.
    pub free: Resources,
    /// Moving average of the share of failed tasks, 0 to 1.
    pub errors: f64,
    /// How often in a row the lease was given up for rebalancing and came back.
    pub yields: u8,
    /// Whether it is brought together with others for a gang.
    pub consolidated: bool,
    /// How often in a row it did not answer.
    pub misses: u8,
    pub(super) spot: Option<Counted>,
    pub(super) shape: Option<Resources>,
    holds: Vec<Hold>,
    own: Resources,
    old: Resources,
    earlier: u32,
    orphans: u32,
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
            listed: instance.state,
            boot: instance.boot,
            life: Life::Unheld {
                since: now,
                next: now,
            },
            floor: Token(0),
            capacity: Resources::default(),
            leaving: false,
            free: Resources::default(),
            errors: 0.0,
            yields: 0,
            consolidated: false,
            misses: 0,
            spot: None,
            shape: None,
            holds: Vec::new(),
            own: Resources::default(),
            old: Resources::default(),
            earlier: 0,
            orphans: 0,
        }
    }

    /// Whether new work may be planned on it.
    #[must_use]
    pub fn usable(&self) -> bool {
        let stays = !self.leaving && self.listed == list::State::Live;
        stays && matches!(self.life, Life::Held(_))
    }

    /// The tenure, if it may still be used at `now`.
    #[must_use]
    pub fn valid(&self, now: Millis) -> Option<&Tenure> {
        self.life.tenure().filter(|t| now < t.until)
    }

    /// The attempts that room is held for, sorted.
    #[must_use]
    pub fn holds(&self) -> &[Hold] {
        &self.holds
    }

    /// Whether nothing of this instance's depends on the entry.
    #[must_use]
    pub fn idle(&self) -> bool {
        let none = Resources::default();
        self.life.tenure().is_none() && self.own == none && self.old == none
    }

    /// Whether every start was either seen by the worker or taken back.
    #[must_use]
    pub fn settled(&self) -> bool {
        self.holds.iter().all(|hold| hold.seen)
    }

    /// Ends the tenure. Requests in progress stay in the account until they are released.
    pub fn lose(&mut self, now: Millis, next: Millis) {
        if let Some(tenure) = self.life.tenure() {
            self.floor = self.floor.max(tenure.token);
        }
        self.life = Life::Unheld { since: now, next };
    }

    /// Ends the tenure because the worker's life has ended, with all that ran there.
    pub fn end_life(&mut self, now: Millis) {
        self.lose(now, now);
        self.holds.clear();
        self.earlier = 0;
        self.orphans = 0;
    }

    /// Takes in the first report under a new token. It names all that was ever started under
    /// earlier ones, so that holds for other attempts are void. Requests of this instance that it
    /// sent under earlier ones are in the report's number.
    pub fn take_over(&mut self, report: &Report) {
        self.holds.clear();
        self.old = self.old.plus(&self.own);
        self.own = Resources::default();
        self.orphans = 0;
        self.earlier = report.requests;
        self.take_report(report);
    }

    /// Takes in a report under the token held. What is absent stays held: its start may be on the
    /// way.
    pub fn take_report(&mut self, report: &Report) {
        self.boot = self.boot.max(report.boot);
        self.capacity = report.capacity;
        self.leaving = report.leaving;
        for task in &report.tasks {
            if task.state.active() {
                self.hold(task.id.clone(), task.demand, true);
            } else {
                self.drop_hold(&task.id);
            }
        }
        self.earlier = self.earlier.min(report.earlier.unwrap_or(report.requests));
    }

    /// Holds room for an attempt, or marks one that is held as seen.
    pub fn hold(&mut self, id: TaskId, demand: Resources, seen: bool) {
        match self.holds.binary_search_by(|h| h.id.cmp(&id)) {
            Ok(at) => self.holds[at].seen |= seen,
            Err(at) => self.holds.insert(at, Hold { id, demand, seen }),
        }
    }

    /// Gives back the room that is held for an attempt.
    pub fn drop_hold(&mut self, id: &TaskId) {
        if let Ok(at) = self.holds.binary_search_by(|h| h.id.cmp(id)) {
            self.holds.remove(at);
        }
    }

    /// Gives back the room that is held for an attempt, unless the worker has started it.
    pub fn drop_unseen(&mut self, id: &TaskId) {
        self.holds.retain(|h| h.seen || h.id != *id);
    }

    /// Takes room for a request of this instance.
    pub fn take(&mut self, demand: &Resources) {
        self.own = self.own.plus(demand);
    }

    /// Gives back the room of a request of this instance. It is taken for one sent under an earlier
    /// token as long as there are any, so that the room of the others is never freed too early.
    pub fn give(&mut self, demand: &Resources) {
        let rest = less(demand, &self.old);
        self.old = less(&self.old, demand);
        self.own = less(&self.own, &rest);
    }

    /// Whether a request may go on that this instance does not wait for any more.
    #[must_use]
    pub fn orphaned(&self) -> bool {
        self.orphans > 0
    }

    /// Counts a request whose connection was dropped: it may run, or arrive late and then run,
    /// until the lease is taken under a new token.
    pub fn orphan(&mut self, demand: &Resources) {
        self.give(demand);
        self.orphans += 1;
    }

    /// Works out what is free. Each request that is known by number alone takes `unit`.
    pub fn settle_account(&mut self, unit: &Resources) {
        let mut free = less(&self.capacity, &self.own);
        for hold in &self.holds {
            free = less(&free, &hold.demand);
        }
        let strays = self.earlier.saturating_add(self.orphans);
        self.free = less(&free, &times(unit, strays));
    }
}

fn less(from: &Resources, amount: &Resources) -> Resources {
    let mut left = from.parts();
    for (have, need) in left.iter_mut().zip(amount.parts()) {
        *have = have.saturating_sub(need);
    }
    Resources::from_parts(left)
}

fn times(unit: &Resources, count: u32) -> Resources {
    Resources::from_parts(unit.parts().map(|part| part.saturating_mul(count)))
}
