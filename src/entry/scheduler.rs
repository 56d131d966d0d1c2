//! The actor that holds the kernels of one entry instance and does their I/O.
//!
//! It lives on one thread. Callers' threads send it messages; it answers with the turns of each
//! request and calls workers, peers and the log.

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
    Gone,
    Landed,
    Landing,
    Open,
    Turn, //
};
pub use stopping::Drain;

/// How often timers of requests are looked at.
const TICK: Duration = Duration::from_millis(5);

/// How often leases and heartbeats are looked at.
const BEAT: Duration = Duration::from_millis(50);

/// How often outcome counts are offered to the log.
const COUNT: Duration = Duration::from_secs(2);

/// How long control connections may stay idle.
const IDLE: Duration = Duration::from_secs(10);

/// The kernels and shells of one entry instance.
pub struct Scheduler {
    settings: Arc<settings::Entry>,
    ledger: replica::Handle,
    metrics: Arc<metrics::Metrics>,
    incarnation: Incarnation,
    start: Instant,
    members: members::Members,
    workers: workers::Workers,
    requests: requests::Requests,
    runs: runs::Runs,
    tally: tally::Tally,
    open: SecondaryMap<requests::RequestKey, serving::Request>,
    links: SecondaryMap<WorkerKey, Rc<Link>>,
    platform: Rc<Link>,
    peers: Vec<peers::Client>,
    listing: bool,
    tallying: bool,
    draining: bool,
    /// Capacities of workers that peers have told, sorted.
    heard: Vec<Resources>,
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
        let me = members::Me {
            id: settings.id.clone(),
            incarnation,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        };
        let platform = settings.platform.to_string();
        let scheduler = Self {
            members: members::Members::new(settings.membership.clone(), me.clone()),
            workers: workers::Workers::new(settings.lease.clone(), me.clone()),
            requests: requests::Requests::new(settings.requests.clone(), incarnation.0),
            runs: runs::Runs::new(settings.runs.clone(), &settings.lease, me),
            tally: tally::Tally::default(),
            open: SecondaryMap::new(),
            links: SecondaryMap::new(),
            platform: Rc::new(Link::new(&platform, &settings.zone, IDLE)),
            peers: Vec::new(),
            listing: false,
            tallying: false,
            draining: false,
            heard: Vec::new(),
            start: Instant::now(),
            settings,
            ledger,
            metrics,
            incarnation,
        };
        Scheduler::create(|ctx| {
            crate::entry::attach(ctx, calls);
            scheduler
        })
    }

    /// The kernels' clock: milliseconds since the start.
    fn now(&self) -> Millis {
        let span = self.start.elapsed().as_millis();
        Millis(u64::try_from(span).unwrap_or(u64::MAX))
    }

    /// The runtime's time of a point on the kernels' clock.
    fn instant(&self, at: Millis) -> Instant {
        self.start + Duration::from_millis(at.0)
    }

    /// The connections to a worker.
    fn link(&mut self, key: WorkerKey) -> Option<Rc<Link>> {
        if let Some(link) = self.links.get(key) {
            return Some(link.clone());
        }
        let worker = self.workers.get(key)?;
        let link = Rc::new(Link::new(&worker.address, &self.settings.zone, IDLE));
        self.links.insert(key, link.clone());
        Some(link)
    }

    /// Offers the counts of ended work to the log.
    fn count(&mut self, ctx: &mut Context<Self>) {
        if self.tallying {
            return;
        }
        let Some(outcomes) = self.tally.take(wall()) else {
            return;
        };
        self.tallying = true;
        let seq = outcomes.seq;
        let ledger = self.ledger.clone();
        let written = async move {
            let records = vec![record::Record::Outcomes(outcomes)];
            ledger.append(records, COUNT * 5).await
        };
        self.then(ctx, written, move |actor, written, _| {
            actor.tallying = false;
            if written.is_ok() {
                actor.tally.committed(seq);
            }
        });
    }

    /// Runs a future and passes its result back to the actor.
    fn then<T: 'static>(
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

    /// Brings the gauges up to date.
    fn measure(&self) {
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

/// Adapts the order of arguments to what actor futures expect.
fn next_with<A: Actor, T>(
    next: impl FnOnce(&mut A, T, &mut A::Context) + 'static,
) -> impl FnOnce(T, &mut A, &mut A::Context) + 'static {
    move |result, actor, ctx| next(actor, result, ctx)
}

/// Adds a capacity to sorted ones.
fn learn(known: &mut Vec<Resources>, shape: Resources) {
    let found = known.binary_search_by_key(&shape.parts(), Resources::parts);
    if let Err(at) = found {
        known.insert(at, shape);
    }
}

/// The wall clock, in milliseconds since 1970.
fn wall() -> Millis {
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
        ctx.run_interval(TICK, |actor, ctx| actor.tick(ctx));
        ctx.run_interval(BEAT, |actor, ctx| actor.beat(ctx));
        ctx.run_interval(COUNT, |actor, ctx| actor.count(ctx));
        ctx.run_interval(self.settings.runs.tick, |actor, ctx| actor.place(ctx));
        ctx.run_interval(self.settings.membership.list, |actor, ctx| actor.list(ctx));
        self.list(ctx);
        self.greet_seeds(ctx);
    }
}

/// Asks for the state of the instance.
#[derive(Debug, Clone, Copy, Message)]
#[rtype(result = "Status")]
pub struct Inspect;

/// The state of the instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The instance.
    pub id: InstanceId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// This life.
    pub incarnation: Incarnation,
    /// Whether it may get work.
    pub ready: bool,
    /// Whether it is shutting down.
    pub draining: bool,
    /// The first log offset that it has not applied yet: everything below is in force here.
    pub next: Offset,
    /// Workers whose placement leases it holds, sorted.
    pub held: Vec<WorkerId>,
    /// Requests that wait.
    pub queued: u32,
    /// Attempts of requests in progress.
    pub active: usize,
    /// Peers that are alive, sorted.
    pub alive: Vec<InstanceId>,
}

impl Handler<Inspect> for Scheduler {
    type Result = MessageResult<Inspect>;

    fn handle(&mut self, _: Inspect, _: &mut Context<Self>) -> Self::Result {
        self.measure();
        let now = self.now();
        let held = self.workers.iter().filter(|(_, w)| w.valid(now).is_some());
        let mut held: Vec<_> = held.map(|(_, w)| w.id.clone()).collect();
        held.sort();
        let peers = self.members.peers().iter();
        let alive = peers.filter(|p| self.members.standing(now, p) == members::Standing::Alive);
        let alive: Vec<_> = alive.map(|p| p.id.clone()).collect();
        let next = self.ledger.read(|state| state.next());
        let useful = !self.shapes().is_empty() && (!held.is_empty() || !alive.is_empty());
        MessageResult(Status {
            id: self.settings.id.clone(),
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
            ready: !self.draining && self.ledger.is_caught_up() && useful,
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
    /// The capacities of the workers that this instance and its peers know, sorted.
    fn shapes(&self) -> Vec<Resources> {
        let mut known = self.heard.clone();
        for (shape, _) in self.workers.shapes() {
            learn(&mut known, *shape);
        }
        known
    }

    /// What this instance tells its peers.
    fn heartbeat(&self) -> peer::Heartbeat {
        use crate::kernel::Room;
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
            shapes: self.shapes(),
        }
    }
}
