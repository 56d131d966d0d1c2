//! Carries out the decisions on what the clients of one address may take of the machine.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    time::Duration, //
};

use log::warn;
use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge, //
    },
    registry::Registry, //
};
use slotmap::SecondaryMap;
use tokio::{
    sync::Notify,
    task::AbortHandle,
    time, //
};

use crate::cell::settings;

use super::{
    Shared,
    gate::Gate,
    intake::{
        ConnectionKey,
        Limit,
        budget::{
            self,
            Budget, //
        },
        connections::{
            Connections,
            Stage,
            Times, //
        },
        notes::Notes, //
    }, //
};

/// Interval at which deadlines are checked, in milliseconds. The clock of the decisions advances by
/// it, so that a pause of the process ends no connection.
const TICK_MS: u64 = 100;

/// Size up to which a head is part of what a connection is charged with, in bytes.
const FREE_HEAD: usize = 4 << 10;

/// Longest wait until a connection that makes room for a new one is closed.
const EVICT_TIMEOUT: Duration = Duration::from_millis(500);

/// Labels of the limits that were reached.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LimitLabels {
    /// Name of the limit.
    pub limit: &'static str,
}

/// Labels of what is in use.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AddressLabels {
    /// Purpose of the listening address.
    pub address: &'static str,
}

/// Metrics of the limits.
#[derive(Debug, Clone, Default)]
pub struct Counters {
    reached: Family<LimitLabels, Counter>,
    connections: Family<AddressLabels, Gauge>,
    bytes: Family<AddressLabels, Gauge>,
    /// Estimated memory of the accepted jobs, in bytes.
    pub job_bytes: Gauge,
}

impl Counters {
    /// Adds the metrics to a registry.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "limits_reached",
            "Connections closed and requests refused, by limit",
            self.reached.clone(),
        );
        registry.register(
            "connections",
            "Open connections of clients and instances, by address",
            self.connections.clone(),
        );
        registry.register(
            "request_bytes",
            "Bytes that requests hold, by address",
            self.bytes.clone(),
        );
        registry.register(
            "job_bytes",
            "Estimated bytes of the accepted jobs at the owner",
            self.job_bytes.clone(),
        );
    }
}

#[derive(Debug)]
struct Slot {
    gate: Rc<Gate>,
    task: Option<AbortHandle>,
}

/// Clients of one address.
#[derive(Debug)]
pub struct Guard {
    address: &'static str,
    clock: Cell<u64>,
    times: Times,
    /// Largest head of a request, in bytes.
    pub(super) head_bytes: usize,
    budget: RefCell<Budget>,
    connections: RefCell<Connections>,
    slots: RefCell<SecondaryMap<ConnectionKey, Slot>>,
    notes: RefCell<Notes>,
    counters: Counters,
    closed: Notify,
}

impl Guard {
    fn new(
        address: &'static str,
        share: settings::Share,
        limits: &settings::Limits,
        counters: &Counters,
    ) -> Rc<Self> {
        Rc::new(Self {
            address,
            clock: Cell::new(0),
            times: Times {
                head: limits.head_time,
                body: limits.body_time,
                body_span: limits.body_span,
                answer: limits.answer_time,
                closing: limits.close_time,
            },
            head_bytes: limits.head_bytes,
            budget: RefCell::new(Budget::new(share.bytes)),
            connections: RefCell::new(Connections::new(share.connections)),
            slots: RefCell::default(),
            notes: RefCell::default(),
            counters: counters.clone(),
            closed: Notify::new(),
        })
    }

    /// Makes room for a new connection and adds it; `None` if all others have complete requests.
    pub(super) async fn open(self: &Rc<Self>) -> Option<Rc<Gate>> {
        if self.connections.borrow().is_full() {
            self.note(Limit::Connections);
            let victim = self.connections.borrow_mut().evict()?;
            self.abort(victim);
            // Its descriptor is free once its task has ended.
            let room = async {
                while self.connections.borrow().is_full() {
                    self.closed.notified().await;
                }
            };
            time::timeout(EVICT_TIMEOUT, room).await.ok()?;
        }
        let key = self.connections.borrow_mut().open(self.clock.get());
        let gate = Rc::new(Gate::new(self.clone(), key));
        let slot = Slot {
            gate: gate.clone(),
            task: None,
        };
        self.slots.borrow_mut().insert(key, slot);
        Some(gate)
    }

    /// Notes the task that serves a connection.
    pub(super) fn attach(&self, key: ConnectionKey, task: AbortHandle) {
        if let Some(slot) = self.slots.borrow_mut().get_mut(key) {
            slot.task = Some(task);
        }
    }

    /// Removes a connection that is closed.
    pub(super) fn close(&self, key: ConnectionKey) {
        self.connections.borrow_mut().close(key);
        self.slots.borrow_mut().remove(key);
        self.release(key);
        self.closed.notify_one();
    }

    fn abort(&self, key: ConnectionKey) {
        if let Some(Slot {
            task: Some(task), ..
        }) = self.slots.borrow().get(key)
        {
            task.abort();
        }
    }

    fn gate(&self, key: ConnectionKey) -> Option<Rc<Gate>> {
        self.slots.borrow().get(key).map(|slot| slot.gate.clone())
    }

    /// Counts a limit that was reached, and logs it within bounds.
    pub(super) fn note(&self, limit: Limit) {
        let label = limit.label();
        let labels = LimitLabels { limit: label };
        self.counters.reached.get_or_create(&labels).inc();
        let Some(count) = self.notes.borrow_mut().note(limit, self.clock.get()) else {
            return;
        };
        let (bytes, waiting) = {
            let budget = self.budget.borrow();
            (budget.used(), budget.waiting())
        };
        warn!(address = self.address, limit = label, count, connections = self.connections.borrow().len(), bytes, waiting; "limit reached: connection closed or request refused");
    }

    pub(super) fn enter(&self, key: ConnectionKey, stage: Stage) {
        let now = self.clock.get();
        self.connections.borrow_mut().enter(key, stage, now);
    }

    /// Notes that the client has taken a part of an answer.
    pub(super) fn answer_progress(&self, key: ConnectionKey) {
        let now = self.clock.get();
        self.connections.borrow_mut().progress(key, now);
    }

    pub(super) fn charge_head(&self, key: ConnectionKey, bytes: usize) -> bool {
        let mut budget = self.budget.borrow_mut();
        bytes <= FREE_HEAD || budget.charge_head(key, bytes, self.clock.get())
    }

    pub(super) fn begin_body(&self, key: ConnectionKey, most: usize) {
        let small = most <= budget::SMALL_BYTES;
        let mut budget = self.budget.borrow_mut();
        budget.begin(key, small, self.clock.get());
    }

    pub(super) fn charge(&self, key: ConnectionKey, bytes: usize) -> bool {
        let mut budget = self.budget.borrow_mut();
        budget.charge(key, bytes, self.clock.get())
    }

    pub(super) fn replace(&self, key: ConnectionKey, bytes: usize) -> bool {
        let granted = self.budget.borrow_mut().replace(key, bytes);
        self.grant();
        granted
    }

    pub(super) fn body_progress(&self, key: ConnectionKey) {
        let now = self.clock.get();
        self.budget.borrow_mut().progress(key, now);
        self.connections.borrow_mut().progress(key, now);
    }

    pub(super) fn body_complete(&self, key: ConnectionKey) {
        self.budget.borrow_mut().complete(key);
        self.enter(key, Stage::Serving);
    }

    /// Releases what a request holds.
    pub(super) fn release(&self, key: ConnectionKey) {
        self.budget.borrow_mut().release(key);
        self.grant();
    }

    /// Lets requests go on for which there is room.
    fn grant(&self) {
        if self.budget.borrow().waiting() == 0 {
            return;
        }
        loop {
            let granted = self.budget.borrow_mut().grant(self.clock.get());
            let Some(key) = granted else { return };
            if let Some(gate) = self.gate(key) {
                gate.grant();
            }
        }
    }

    /// Ends what has reached a limit.
    fn tick(&self) {
        let now = self.clock.get() + TICK_MS;
        self.clock.set(now);
        let overdue: Vec<_> = {
            let connections = self.connections.borrow();
            connections.overdue(&self.times, now).collect()
        };
        for (key, limit) in overdue {
            match (limit, self.gate(key)) {
                // Its handler answers.
                (Limit::BodyTime, Some(gate)) if gate.given_up().is_none() => {
                    self.note(limit);
                    gate.give_up(limit);
                }
                (Limit::BodyTime, _) => {}
                _ => {
                    self.note(limit);
                    self.abort(key);
                }
            }
        }
        loop {
            let chosen = self.budget.borrow_mut().give_up(now);
            let Some(key) = chosen else { break };
            self.note(Limit::Bytes);
            if let Some(gate) = self.gate(key) {
                gate.give_up(Limit::Bytes);
            }
        }
        let labels = AddressLabels {
            address: self.address,
        };
        let gauge = self.counters.connections.get_or_create(&labels).clone();
        gauge.set(self.connections.borrow().len() as i64);
        let gauge = self.counters.bytes.get_or_create(&labels).clone();
        gauge.set(self.budget.borrow().used() as i64);
    }
}

/// Guards of all addresses. None can take what another one has.
#[derive(Debug)]
pub struct Guards {
    /// Of the address for callers.
    pub callers: Rc<Guard>,
    /// Of the address for readiness checks.
    pub ready: Rc<Guard>,
    /// Of the address for other instances.
    pub peers: Rc<Guard>,
    /// Of the address for metrics.
    pub admin: Rc<Guard>,
}

impl Guards {
    /// Creates the guards by the limits of the machine.
    #[must_use]
    pub fn new(limits: &settings::Limits, counters: &Counters) -> Self {
        let guard = |address, share| Guard::new(address, share, limits, counters);
        Self {
            callers: guard("callers", limits.callers),
            ready: guard("ready", limits.ready),
            peers: guard("instances", limits.peers),
            admin: guard("admin", limits.ready),
        }
    }
}

/// Checks the deadlines of all clients until the process ends.
pub(super) async fn run(shared: Rc<Shared>) {
    let mut ticks = time::interval(Duration::from_millis(TICK_MS));
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let guards = &shared.guards;
        [&guards.callers, &guards.ready, &guards.peers, &guards.admin]
            .into_iter()
            .for_each(|guard| guard.tick());
        let owner = shared.owner.borrow();
        let bytes = owner.as_ref().map_or(0, |o| o.engine.borrow().job_bytes());
        shared.metrics.limits.job_bytes.set(bytes as i64);
    }
}
