//! Actor that keeps this instance's replica of the state up to date with the log.
//!
//! The actor tails the log, applies every entry in order, appends records by group commit and
//! replies to each sender with the effects of its records. While the log is unavailable, committed
//! entries are taken from peers; they are the same entries in the same order as in the log.

use std::{
    rc::Rc,
    sync::{
        Arc,
        PoisonError,
        RwLock,
        atomic::{
            AtomicBool,
            Ordering, //
        }, //
    },
    time::Duration, //
};

use actix::{
    Actor,
    ActorFutureExt,
    Addr,
    AsyncContext,
    Context,
    Recipient,
    SpawnHandle,
    WrapFuture, //
};
use tokio::{
    sync::oneshot,
    time::Instant, //
};

use crate::{
    configs,
    ids::{
        ChangeId,
        Offset, //
    },
    ledger::{
        effect::{
            Applied,
            Effect, //
        },
        follower::Follower,
        queue::Queue,
        record,
        snapshots,
        state::State, //
    },
    remote,
    settings,
    wire::log, //
};

mod append;
mod catch_up;
mod messages;

pub use messages::{
    Append,
    ApplyTail,
    GetStatus,
    GetTail,
    PeerOffset,
    Status,
    Subscribe,
    Unavailable, //
};

/// Interval of the checks for expired deadlines, waiting records and catch-up.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Handle to a running replica.
#[derive(Debug, Clone)]
pub struct Handle {
    /// The state; only the replica writes to it.
    pub state: Arc<RwLock<State>>,
    /// Address of the actor.
    pub addr: Addr<Replica>,
    caught_up: Arc<AtomicBool>,
}

impl Handle {
    /// Whether the replica has caught up since its start. Before that, the state may show outdated
    /// versions and must not be used for decisions.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.caught_up.load(Ordering::Acquire)
    }

    /// Whether this release supports every entry that the replica has applied. Otherwise, a skipped
    /// entry may have claimed a task or a key, and the state must not be used for claims.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.read(State::complete)
    }

    /// Calls a function with the state under the read lock. The function must be short, because it
    /// blocks the application of entries.
    pub fn read<T>(&self, look: impl FnOnce(&State) -> T) -> T {
        look(&self.state.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Writes records in one append and waits until they are applied to this replica.
    ///
    /// # Errors
    ///
    /// Fails when the records were not applied within `limit`, or the replica has stopped.
    pub async fn append(
        &self,
        records: Vec<record::Record>,
        limit: Duration,
    ) -> Result<Vec<Effect>, Unavailable> {
        let deadline = Instant::now() + limit;
        let append = Append { records, deadline };
        let answer = self.addr.send(append).await;
        answer.unwrap_or(Err(Unavailable::Pending))
    }
}

/// The replica's actor. It runs on the thread that started it.
pub struct Replica {
    cfg: configs::log::Log,
    log: Rc<remote::log::Client>,
    follower: Follower,
    queue: Queue<oneshot::Sender<Result<Vec<Effect>, Unavailable>>>,
    /// The batch that is being appended, also during the backoff between two appends.
    appending: Option<ChangeId>,
    batch_timer: Option<SpawnHandle>,
    failures: u32,
    last_read: Instant,
    catch_up: catch_up::CatchUp,
    snapshots: snapshots::Schedule,
    subscribers: Vec<Recipient<Applied>>,
}

impl Replica {
    /// Starts a replica on this thread's actor system.
    #[must_use]
    pub fn start(entry: &settings::Entry, by: record::Author) -> Handle {
        let state = Arc::new(RwLock::new(State::new()));
        let catch_up = catch_up::CatchUp::new();
        let caught_up = catch_up.flag();
        let cfg = entry.log.clone();
        let replica = Self {
            log: Rc::new(remote::log::Client::new(
                entry.platform,
                &entry.zone,
                cfg.clone(),
            )),
            follower: Follower::new(state.clone()),
            queue: Queue::new(by.clone(), usize::try_from(cfg.batch).unwrap_or(1)),
            appending: None,
            batch_timer: None,
            failures: 0,
            last_read: Instant::now(),
            catch_up,
            snapshots: snapshots::Schedule::new(&by, cfg.clone()),
            subscribers: Vec::new(),
            cfg,
        };
        Handle {
            state,
            addr: Actor::start(replica),
            caught_up,
        }
    }

    fn poll(&mut self, ctx: &mut Context<Self>) {
        let log = self.log.clone();
        let from = self.follower.fetch_offset();
        let failures = self.failures;
        let read = async move { log.read(from, failures).await };
        ctx.spawn(read.into_actor(self).map(move |result, actor, ctx| {
            match result {
                Ok(page) => actor.handle_page(from, page, ctx),
                Err(e) => actor.handle_read_error(&e, ctx),
            };
        }));
    }

    fn handle_read_error(&mut self, e: &remote::link::Error, ctx: &mut Context<Self>) {
        self.failures = self.failures.saturating_add(1);
        if self.failures == 1 {
            ::log::warn!(error:% = e; "cannot read the log");
        }
        let pause = remote::log::backoff(self.cfg.backoff, self.failures);
        ctx.run_later(pause, Self::poll);
    }

    fn handle_page(&mut self, from: Offset, page: log::Page, ctx: &mut Context<Self>) {
        if self.failures > 0 {
            ::log::info!(failures = self.failures; "log reads succeed again");
        }
        self.failures = 0;
        self.last_read = Instant::now();
        self.snapshots.set_log_start(page.first);
        if page.next < from {
            ::log::error!(next = page.next.0; "end of the log is below the offset already read");
            ctx.run_later(self.cfg.poll, Self::poll);
            return;
        }
        let end = page.next;
        for applied in self.follower.apply_page(from, page) {
            self.publish(&applied, ctx);
        }
        if self.follower.loaded() {
            self.catch_up.log_read(self.follower.next(), end);
        }
        self.schedule_snapshot(ctx);
        self.poll(ctx);
    }

    /// Checks whether the replica has caught up with its peers.
    fn check_peers(&mut self) {
        if self.follower.loaded() {
            self.catch_up.check_peers(self.follower.next());
        }
    }

    fn publish(&mut self, applied: &Applied, ctx: &mut Context<Self>) {
        for effect in &applied.effects {
            if let Effect::Skipped(finding) = effect {
                ::log::warn!(offset = applied.offset.0; "{finding}");
            }
        }
        for (reply, effects) in self.queue.complete(applied) {
            // A sender that stopped waiting has dropped its receiver.
            let _ = reply.send(Ok(effects));
        }
        self.subscribers.retain(Recipient::connected);
        for subscriber in &self.subscribers {
            subscriber.do_send(applied.clone());
        }
        // A batch that was read back needs no acknowledgement: the next one can be appended.
        self.appending
            .take_if(|id| !self.queue.is_unacknowledged(id));
        self.schedule_append(ctx);
    }
}

impl Actor for Replica {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        ctx.run_interval(CHECK_INTERVAL, |actor, ctx| {
            actor.expire();
            actor.schedule_append(ctx);
            actor.check_peers();
        });
        self.poll(ctx);
    }
}
