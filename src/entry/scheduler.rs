//! Actor that owns the kernels of one entry instance and performs their I/O.
//!
//! The actor runs on a single thread. HTTP handlers send it messages; the actor sends the events of
//! each request back and calls workers, peers and the log.

use std::{
    rc::Rc,
    sync::Arc,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    }, //
};

use actix::{
    Actor,
    Addr,
    AsyncContext,
    Context,
    Handler,
    Message,
    MessageResult, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use slotmap::SecondaryMap;
use tokio::time::Instant;

use crate::{
    entry::metrics,
    ids::{
        Incarnation,
        InstanceId,
        Millis,
        Offset,
        WorkerId,
        ZoneId, //
    },
    kernel::{
        WorkerKey,
        members,
        requests,
        runs,
        tally,
        workers, //
    },
    ledger::{
        record,
        replica, //
    },
    remote::link::Link,
    resources::Resources,
    settings,
    wire::peer, //
};

mod jobs;
mod leases;
mod peers;
mod serving;
mod stopping;

pub use jobs::{
    Cancel,
    List,
    Show,
    Submit, //
};
pub use peers::Calls;
pub use serving::{
    Admit,
    AttemptEnded,
    AttemptOutcome,
    Closed,
    Event, //
};
pub use stopping::Drain;

/// Interval at which the timers of requests are checked.
const REQUEST_TICK: Duration = Duration::from_millis(5);

/// Interval at which leases and heartbeats are checked.
const LEASE_TICK: Duration = Duration::from_millis(50);

/// Interval at which outcome counts are appended to the log.
const TALLY_INTERVAL: Duration = Duration::from_secs(2);

/// How long control connections may stay idle.
const CONNECTION_IDLE: Duration = Duration::from_secs(10);

/// The scheduler actor: the kernels of one entry instance with their connections.
pub struct Scheduler {
    settings: Arc<settings::Entry>,
    ledger: replica::Handle,
    metrics: Arc<metrics::Metrics>,
    incarnation: Incarnation,
    started_at: Instant,
    members: members::Members,
    workers: workers::Workers,
    requests: requests::Requests,
    runs: runs::Runs,
    tally: tally::Tally,
    open_requests: SecondaryMap<requests::RequestKey, serving::Request>,
    links: SecondaryMap<WorkerKey, Rc<Link>>,
    platform: Rc<Link>,
    peer_clients: Vec<peers::Client>,
    listing_pending: bool,
    tally_pending: bool,
    draining: bool,
    /// Capacities of the workers that peers have reported, sorted.
    peer_capacities: Vec<Resources>,
}

impl Scheduler {
    /// Starts the scheduler on this thread's actor system.
    #[must_use]
    pub fn start(
        settings: Arc<settings::Entry>,
        ledger: replica::Handle,
        metrics: Arc<metrics::Metrics>,
        incarnation: Incarnation,
        calls: peers::Calls,
    ) -> Addr<Self> {
        let identity = members::Identity {
            id: settings.id.clone(),
            incarnation,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        };
        let platform = settings.platform.to_string();
        let scheduler = Self {
            members: members::Members::new(settings.membership.clone(), identity.clone()),
            workers: workers::Workers::new(settings.lease.clone(), identity.clone()),
            requests: requests::Requests::new(settings.requests.clone(), incarnation.0),
            runs: runs::Runs::new(settings.runs.clone(), &settings.lease, identity),
            tally: tally::Tally::default(),
            open_requests: SecondaryMap::new(),
            links: SecondaryMap::new(),
            platform: Rc::new(Link::new(&platform, &settings.zone, CONNECTION_IDLE)),
            peer_clients: Vec::new(),
            listing_pending: false,
            tally_pending: false,
            draining: false,
            peer_capacities: Vec::new(),
            started_at: Instant::now(),
            settings,
            ledger,
            metrics,
            incarnation,
        };
        Scheduler::create(|ctx| {
            crate::entry::add_call_stream(ctx, calls);
            scheduler
        })
    }

    /// Time on the kernels' clock: milliseconds since the start of the scheduler.
    fn now(&self) -> Millis {
        let span = self.started_at.elapsed().as_millis();
        Millis(u64::try_from(span).unwrap_or(u64::MAX))
    }

    /// Converts a time on the kernels' clock to a time of the runtime.
    fn instant(&self, at: Millis) -> Instant {
        self.started_at + Duration::from_millis(at.0)
    }

    /// Returns the connection to a worker; opens one at first use.
    fn link(&mut self, key: WorkerKey) -> Option<Rc<Link>> {
        if let Some(link) = self.links.get(key) {
            return Some(link.clone());
        }
        let worker = self.workers.get(key)?;
        let link = Rc::new(Link::new(
            &worker.address,
            &self.settings.zone,
            CONNECTION_IDLE,
        ));
        self.links.insert(key, link.clone());
        Some(link)
    }

    /// Appends the counts of ended work to the log.
    fn append_tally(&mut self, ctx: &mut Context<Self>) {
        if self.tally_pending {
            return;
        }
        let Some(outcomes) = self.tally.next_record(wall_clock()) else {
            return;
        };
        self.tally_pending = true;
        let seq = outcomes.seq;
        let ledger = self.ledger.clone();
        let appended = async move {
            let records = vec![record::Record::Outcomes(outcomes)];
            ledger.append(records, TALLY_INTERVAL * 5).await
        };
        self.spawn_then(ctx, appended, move |actor, result, _| {
            actor.tally_pending = false;
            if result.is_ok() {
                actor.tally.committed(seq);
            }
        });
    }

    /// Runs a future and passes its result back to the actor.
    fn spawn_then<T: 'static>(
        &self,
        ctx: &mut Context<Self>,
        future: impl Future<Output = T> + 'static,
        next: impl FnOnce(&mut Self, T, &mut Context<Self>) + 'static,
    ) {
        use actix::{
            ActorFutureExt,
            WrapFuture, //
        };
        let future = future.into_actor(self);
        ctx.spawn(future.map(next_with(next)));
    }

    /// Updates the gauges.
    fn update_gauges(&self) {
        let queued = i64::from(self.requests.queued());
        let active = i64::try_from(self.requests.attempts()).unwrap_or(i64::MAX);
        let held = i64::try_from(self.workers.usable_count()).unwrap_or(i64::MAX);
        let next = self.ledger.read(|state| state.next().0);
        self.metrics.queued.set(queued);
        self.metrics.active.set(active);
        self.metrics.leases.set(held);
        self.metrics
            .offset
            .set(i64::try_from(next).unwrap_or(i64::MAX));
    }
}

/// Adapts a callback to the order of arguments that actor futures expect.
fn next_with<A: Actor, T>(
    next: impl FnOnce(&mut A, T, &mut A::Context) + 'static,
) -> impl FnOnce(T, &mut A, &mut A::Context) + 'static {
    move |result, actor, ctx| next(actor, result, ctx)
}

/// Inserts a capacity into a sorted list unless the list contains it.
fn insert_capacity(known: &mut Vec<Resources>, capacity: Resources) {
    let found = known.binary_search_by_key(&capacity.parts(), Resources::parts);
    if let Err(index) = found {
        known.insert(index, capacity);
    }
}

/// Returns the wall clock, in milliseconds since 1970.
fn wall_clock() -> Millis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let span = since.map_or(0, |span| span.as_millis());
    Millis(u64::try_from(span).unwrap_or(u64::MAX))
}

impl Actor for Scheduler {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.set_mailbox_capacity(4_096);
        let applied = ctx.address().recipient();
        self.ledger.addr.do_send(replica::Subscribe(applied));
        ctx.run_interval(REQUEST_TICK, |actor, ctx| actor.check_timers(ctx));
        ctx.run_interval(LEASE_TICK, |actor, ctx| actor.lease_tick(ctx));
        ctx.run_interval(TALLY_INTERVAL, |actor, ctx| actor.append_tally(ctx));
        ctx.run_interval(self.settings.runs.tick, |actor, ctx| actor.plan_round(ctx));
        ctx.run_interval(self.settings.membership.list, |actor, ctx| actor.list(ctx));
        self.list(ctx);
        self.contact_seeds(ctx);
    }
}

/// Message that requests the status of the instance.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "Status")]
pub struct GetStatus;

/// Status of the instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Id of the instance.
    pub id: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Whether the instance may receive work.
    pub ready: bool,
    /// Whether the instance is shutting down.
    pub draining: bool,
    /// First log offset that is not applied yet; all records below this offset are in force here.
    pub next: Offset,
    /// Workers whose placement leases the instance holds, sorted.
    pub held: Vec<WorkerId>,
    /// Number of requests waiting in the queue.
    pub queued: u32,
    /// Number of request attempts in progress.
    pub active: usize,
    /// Peers that are alive, sorted.
    pub alive: Vec<InstanceId>,
}

impl Handler<GetStatus> for Scheduler {
    type Result = MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _: &mut Context<Self>) -> Self::Result {
        self.update_gauges();
        let now = self.now();
        let held = self.workers.iter().filter(|(_, w)| w.valid(now).is_some());
        let mut held: Vec<_> = held.map(|(_, w)| w.id.clone()).collect();
        held.sort();
        let peers = self.members.peers().iter();
        let alive = peers.filter(|p| self.members.liveness(now, p) == members::Liveness::Alive);
        let alive: Vec<_> = alive.map(|p| p.id.clone()).collect();
        let next = self.ledger.read(|state| state.next());
        let can_place =
            !self.known_capacities().is_empty() && (!held.is_empty() || !alive.is_empty());
        MessageResult(Status {
            id: self.settings.id.clone(),
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
            ready: !self.draining && self.ledger.is_caught_up() && can_place,
            draining: self.draining,
            next,
            held,
            queued: self.requests.queued(),
            active: self.requests.attempts(),
            alive,
        })
    }
}

impl Scheduler {
    /// Returns the capacities of the workers that this instance and its peers know, sorted.
    fn known_capacities(&self) -> Vec<Resources> {
        let mut known = self.peer_capacities.clone();
        for (capacity, _) in self.workers.shapes() {
            insert_capacity(&mut known, *capacity);
        }
        known
    }

    /// Returns the heartbeat that this instance sends to its peers.
    fn heartbeat(&self) -> peer::Heartbeat {
        use crate::kernel::WorkerPool;
        let (held, total) = self.workers.slots();
        peer::Heartbeat {
            id: self.settings.id.clone(),
            incarnation: self.incarnation,
            zone: self.settings.zone.clone(),
            region: self.settings.region.clone(),
            address: compact_str::ToCompactString::to_compact_string(&self.settings.listen),
            peer: compact_str::ToCompactString::to_compact_string(&self.settings.peer),
            next: self.ledger.read(|state| state.next()),
            leaving: self.draining,
            free: total
                .saturating_sub(held)
                .saturating_sub(self.requests.queued()),
            held: u32::try_from(self.workers.usable_count()).unwrap_or(u32::MAX),
            shapes: self.known_capacities(),
        }
    }
}
